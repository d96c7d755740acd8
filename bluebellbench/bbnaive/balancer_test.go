package bbnaive

import (
	"context"
	"os"
	"testing"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/bluebellfake/bbfleet"

	"github.com/google/go-cmp/cmp"
)

// startFleet starts fake endpoints of an example's rules, warm and on free ports.
func startFleet(t *testing.T) *bbfleet.Fleet {
	t.Helper()
	text, err := os.ReadFile("../../examples/khangai/rules.txt")
	if err != nil {
		t.Fatal(err)
	}
	s := bbfleet.Settings{
		FreePorts: true,
		Endpoints: bbfleet.EndpointSettings{
			StartWarm:        true,
			ServiceMillis:    1,
			BaseStepMicros:   10,
			StreamStepMicros: 10,
		},
	}
	f, cleanup, err := bbfleet.Start(s, string(text))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return f
}

func startBalancer(t *testing.T, f *bbfleet.Fleet) *Balancer {
	t.Helper()
	b, cleanup, err := Start(f.Platform.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return b
}

func TestBaselineAnswersAll(t *testing.T) {
	f := startFleet(t)
	b := startBalancer(t, f)
	plan, err := bbload.Plan(bbload.PlanSettings{
		Seed:     1,
		Rate:     400,
		Duration: time.Second / 2,
		Kinds:    bbload.DefaultKinds(f.Rules),
	})
	if err != nil {
		t.Fatal(err)
	}
	results := bbload.Run(context.Background(), bbload.RunSettings{Grace: time.Minute}, plan, b.Send)
	want := map[string]int{"answered": len(plan)}
	s := bbload.Summarize(results)
	if diff := cmp.Diff(want, s.Outcomes); diff != "" || s.Wrong > 0 {
		t.Errorf("%d wrong, outcomes (-want +got):\n%s", s.Wrong, diff)
	}
}

func TestBaselineRepeatsAnyCall(t *testing.T) {
	f := startFleet(t)
	b := startBalancer(t, f)
	crash := 1.0
	for _, name := range []string{"ledger-1", "ledger-2"} {
		f.Endpoints[name].Apply(bbendpoint.Faults{FailShare: &crash})
	}
	q := bbload.Request{
		Kind: bbload.Kind{
			Service:  "ledger",
			Path:     "v1/confirmations",
			Once:     true,
			Deadline: time.Minute,
		},
		Tag:  "tag-1",
		Body: []byte(`{"prompt":"tag-1"}`),
	}
	reply := b.Send(context.Background(), q, time.Now())
	if wrong := bbload.Verify(q, reply); wrong != "" || reply.Sends != 3 {
		t.Errorf("%d sends, wrong: %q", reply.Sends, wrong)
	}
}

func TestPickSkipsEndpointsThatAreNotLive(t *testing.T) {
	f := startFleet(t)
	f.SetLeaving("ledger-1", true)
	f.SetOut("khovd", true)
	b := startBalancer(t, f)
	var picked []string
	for range 2 {
		picked = append(picked, b.pick(target{service: "ledger"}).Name)
	}
	if diff := cmp.Diff([]string{"ledger-2", "ledger-2"}, picked); diff != "" {
		t.Errorf("picked (-want +got):\n%s", diff)
	}
	engines := target{service: "generators", model: "contract-13b"}
	var enginesPicked []string
	for range 3 {
		enginesPicked = append(enginesPicked, b.pick(engines).Name)
	}
	if diff := cmp.Diff([]string{"engine-5", "engine-7", "engine-5"}, enginesPicked); diff != "" {
		t.Errorf("picked (-want +got):\n%s", diff)
	}
	f.SetOut("arkhangai", true)
	f.SetOut("ulaanbaatar", true)
	if e := startBalancer(t, f).pick(engines); e != nil {
		t.Errorf("picked %s in a domain that is out", e.Name)
	}
}
