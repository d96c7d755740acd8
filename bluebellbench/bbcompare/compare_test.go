package bbcompare

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"

	"github.com/google/go-cmp/cmp"
)

func rulesOf(t *testing.T) *bbrule.RuleSet {
	t.Helper()
	text, err := os.ReadFile("../../examples/khangai/rules.txt")
	if err != nil {
		t.Fatal(err)
	}
	rules, findings := bbrule.Parse(string(text))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return rules
}

func TestCapacity(t *testing.T) {
	rules := &bbrule.RuleSet{
		Endpoints: []bbrule.Endpoint{
			{Model: "a", WarmSlots: engineSlots},
			{Model: "a", WarmSlots: engineSlots},
			{Model: "b", WarmSlots: engineSlots},
		},
	}
	// A step takes 24 ms, so a slot makes 2 completions of 20 tokens in 0.96 s.
	kinds := []bbload.Kind{
		{Weight: 1, Model: "a", MaxTokens: 20},
		{Weight: 1, Model: "b", MaxTokens: 20},
		{Weight: 2},
	}
	// A quarter of the requests are for model b, whose slots are full at 4/0.48 of them a second.
	if got, want := Capacity(rules, kinds), 4*4/0.48; got < want-0.01 || got > want+0.01 {
		t.Errorf("capacity %v, want %v", got, want)
	}
}

func TestScenarios(t *testing.T) {
	rules := rulesOf(t)
	names := map[string]bool{}
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			p, err := plan(shrink(rules, s.Deadline), s, 1)
			if err != nil {
				t.Fatal(err)
			}
			if len(p.load) == 0 || names[s.Name] {
				t.Errorf("%d requests, named before: %v", len(p.load), names[s.Name])
			}
			names[s.Name] = true
		})
	}
	if p, _ := plan(shrink(rules, 0), Scenario{Load: 1, Duration: time.Second, Kinds: withPoison}, 1); !hasPoison(p.load) {
		t.Error("no request crashes endpoints")
	}
}

// hasPoison reports whether the requests that crash engines all have the same content and are at least two.
func hasPoison(load []bbload.Request) bool {
	counts := map[string]int{}
	for _, q := range load {
		if q.Mark == poison && bytes.Contains(q.Body, []byte(poison)) {
			counts[string(q.Body)]++
		}
	}
	return len(counts) == 1 && counts[string(firstPoison(load))] > 1
}

func firstPoison(load []bbload.Request) []byte {
	for _, q := range load {
		if q.Mark == poison {
			return q.Body
		}
	}
	return nil
}

// TestMeasures sends a few calls directly to fake endpoints and checks what is counted.
func TestMeasures(t *testing.T) {
	fleet, cleanup, err := bbfleet.Start(fleetSettings(1), bbrule.Format(rulesOf(t)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	s := &side{
		fleet: fleet,
		home:  func(_, caller string) string { return caller },
	}
	begin := time.Now()
	kind := bbload.Kind{Account: "altai-mills", Region: "central", Service: "ledger", Path: "v1/confirmations", Once: true, Deadline: time.Hour}
	var results []bbload.Result
	add := func(id string, outcome bbmsg.Outcome, endpoints ...string) {
		body := []byte(`{"prompt":"` + id + `"}`)
		for _, name := range endpoints {
			call(t, fleet.Endpoints[name].Address(), id, body)
		}
		results = append(results, bbload.Result{
			Request: bbload.Request{Kind: kind, Body: body},
			Reply:   bbload.Reply{Outcome: outcome, IDs: []string{id}},
		})
	}
	add("tag-1", bbmsg.OutcomeAnswered, "ledger-1")
	add("tag-2", bbmsg.OutcomeAnswered, "ledger-1", "ledger-2")
	add("tag-3", bbmsg.OutcomeAnswered)
	add("tag-4", bbmsg.OutcomeNotRun, "ledger-1")
	add("tag-5", bbmsg.OutcomeNotRun)
	add("tag-6", bbmsg.OutcomeUnknown, "ledger-2")
	m := measure(s, Scenario{Duration: time.Second}, baseCounts{}, begin, results)
	got := map[string]int{
		"once": m.AtMostOnce, "doubled": m.DuplicateRuns, "lost": m.Lost, "false": m.FalseNotRun,
		"in time": m.Summary.InTime, "large": m.Large.Requests, "small": m.Small.Requests,
		"ledger": m.Exchanges["ledger"],
	}
	want := map[string]int{
		"once": 6, "doubled": 1, "lost": 1, "false": 1, "in time": 3, "large": 6, "small": 0, "ledger": 5,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("measures (-want +got):\n%s", diff)
	}
	crossed := int64(0)
	for _, x := range fleet.Endpoints["ledger-2"].Exchanges() {
		crossed += x.BytesIn + x.BytesOut
	}
	if m.CrossBytes != crossed || crossed == 0 {
		t.Errorf("%d bytes between regions, want %d", m.CrossBytes, crossed)
	}
	if got := lastWorkDelay(s, begin, time.Now()); got <= 0 {
		t.Errorf("quiet after %s though the domain had work", got)
	}
	if got := lastWorkDelay(s, time.Now(), time.Now()); got != -1 {
		t.Errorf("quiet after %s though the domain had no work", got)
	}
}

func TestWrite(t *testing.T) {
	var out strings.Builder
	m := Measures{
		Summary: bbload.Summary{Sent: 10, InTime: 5, Outcomes: map[string]int{"answered": 5}},
		Seconds: 2,
	}
	base := m
	base.Summary.InTime = 2
	Write(&out, 1, []Pair{{Scenario: Scenario{Title: "Steady"}, System: m, Baseline: base}})
	for _, want := range []string{
		"| Steady | 50.0% | 20.0% | 2.5/s | 1.0/s | 2.50 |\n",
		"| wrong answers | 0 | 0 | - |\n",
		"Outcomes, system: answered 5; baseline: answered 5.\n",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "NaN") {
		t.Errorf("NaN in\n%s", out.String())
	}
}

// TestRunKeepsGuarantees measures both sides briefly under a fault. It fails only if the system violates a
// guarantee, whatever the performance figures.
func TestRunKeepsGuarantees(t *testing.T) {
	pair, err := Run(context.Background(), rulesOf(t), Scenario{
		Load:     0.3,
		Duration: time.Second,
		Steps:    []Step{{At: time.Second / 3, Do: crashFirstEndpoints}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	m := pair.System
	got := []int{m.DuplicateRuns, m.Lost, m.FalseNotRun, m.Summary.Wrong}
	if diff := cmp.Diff([]int{0, 0, 0, 0}, got); diff != "" {
		t.Errorf("doubled, lost, refused and run, wrong (-want +got):\n%s", diff)
	}
	if sent := pair.Baseline.Summary.Sent; sent != m.Summary.Sent || sent == 0 {
		t.Errorf("%d requests to the system, %d to the baseline", m.Summary.Sent, sent)
	}
}
