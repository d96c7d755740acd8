package bbrule

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bluebellhall/core/bbline"
)

// seed is the default of -rapid.seed, so that every run generates the same sets.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

// TestRoundTrip checks that formatting and parsing a set gives an equal set, and that formatting is stable.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t)
		text := Format(set)
		read, findings := Parse(text)
		if len(findings) > 0 {
			t.Fatalf("findings %v in\n%s", findings, text)
		}
		if again := Format(read); again != text {
			t.Fatalf("formatted first as\n%s\nthen as\n%s", text, again)
		}
		if got, want := fmt.Sprintf("%+v", *read), fmt.Sprintf("%+v", *set); got != want {
			t.Fatalf("read\n%s\nwant\n%s", got, want)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add(valid)
	for _, k := range bbline.Kinds {
		f.Add(valid + k.Example)
	}
	f.Fuzz(func(t *testing.T, text string) {
		set, findings := Parse(text)
		if (set == nil) != (len(findings) > 0) {
			t.Fatalf("set %v with findings %v", set, findings)
		}
		lines := strings.Count(text, "\n") + 1
		for _, f := range findings {
			if f.Line < 1 || f.Line > lines || f.Column < 1 || f.Column > len(text)+1 || f.Text == "" {
				t.Fatalf("finding with a position outside of the text or without a message: %+v", f)
			}
		}
		if set == nil {
			return
		}
		written := Format(set)
		read, findings := Parse(written)
		if len(findings) > 0 || Format(read) != written {
			t.Fatalf("the formatted set does not parse to an equal one: %v\n%s", findings, written)
		}
	})
}

// drawSet generates a random valid set.
func drawSet(t *rapid.T) *RuleSet {
	asked := rapid.StringMatching(`[A-Za-zÀ-ÿ](([ -~])*[!-~])?`)
	ask := func() string { return asked.Draw(t, "asked") }
	count := func(low int) int { return rapid.IntRange(low, 4).Draw(t, "count") }
	deadline := func() time.Duration {
		return time.Duration(rapid.Int64Range(int64(minDeadline), int64(maxDeadline)).Draw(t, "deadline"))
	}
	size := func(high int64) int64 { return rapid.Int64Range(1, high).Draw(t, "size") }
	set := &RuleSet{}
	for i := range count(1) {
		d := Domain{Name: fmt.Sprintf("d%d", i), Region: "r.1", Out: rapid.Bool().Draw(t, "out"), AskedBy: ask()}
		if d.Out {
			d.OutAskedBy = ask()
		}
		set.Domains = append(set.Domains, d)
	}
	kinds := []ServiceKind{KindEngine, KindPool, KindPlain}
	for _, k := range kinds {
		set.Services = append(set.Services, Service{Name: string(k), Kind: k, ReportsLoad: rapid.Bool().Draw(t, "reports"), AskedBy: ask()})
	}
	for i := range count(1) {
		set.Calls = append(set.Calls, Call{Service: "plain", Path: fmt.Sprintf("v1/c%d", i), Idempotent: rapid.Bool().Draw(t, "idempotent"), Deadline: deadline(), AskedBy: ask()})
		set.Models = append(set.Models, Model{Name: fmt.Sprintf("m-%d", i), WeightBytes: size(maxBytes), AskedBy: ask()})
	}
	for i := range count(0) {
		warm := rapid.IntRange(1, maxSlots).Draw(t, "warm")
		e := Endpoint{
			Name: fmt.Sprintf("e%d", i), Service: string(rapid.SampledFrom(kinds).Draw(t, "kind")), Address: fmt.Sprintf("10.0.0.%d:80", i),
			Domain: rapid.SampledFrom(set.Domains).Draw(t, "domain").Name, WarmSlots: warm, ColdSlots: rapid.IntRange(1, warm).Draw(t, "cold"),
			ChecksFencing: rapid.Bool().Draw(t, "fencing"), AskedBy: ask(),
		}
		if e.Service == string(KindEngine) && rapid.Bool().Draw(t, "hasModel") {
			e.Model = "m-0"
		}
		set.Endpoints = append(set.Endpoints, e)
	}
	all := []Stage{{Service: "pool", Path: "v1/embeddings"}, {Service: "plain", Path: "v1/c0"}, {Service: "engine", Model: "m-0"}}
	for i := range count(0) {
		set.Pipelines = append(set.Pipelines, Pipeline{Name: fmt.Sprintf("p%d", i), Stages: rapid.SliceOfN(rapid.SampledFrom(all), 1, maxStages).Draw(t, "stages"), Deadline: deadline(), AskedBy: ask()})
		set.Accounts = append(set.Accounts, Account{Name: fmt.Sprintf("a%d", i), Weight: rapid.IntRange(1, maxWeight).Draw(t, "weight"), Priority: rapid.IntRange(0, maxPriority).Draw(t, "priority"), AskedBy: ask()})
	}
	set.Limits = Limits{
		RetryShare:      float64(rapid.Int64Range(0, maxRetryUnits).Draw(t, "share")) / bbline.ShareUnits,
		CrossRegionCost: float64(rapid.Int64Range(0, maxCostUnits).Draw(t, "cost")) / bbline.CostUnits,
		WeightStoreRate: size(maxBytes),
		AnswerTTL:       time.Duration(rapid.Int64Range(int64(minAnswer), int64(maxAnswer)).Draw(t, "answer")),
		BodyBytes:       size(maxBodyBytes),
		AskedBy:         LimitsAskedBy{RetryShare: ask(), CrossRegionCost: ask(), WeightStoreRate: ask(), AnswerTTL: ask(), BodyBytes: ask()},
	}
	return set
}
