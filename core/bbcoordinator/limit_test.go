package bbcoordinator

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpace"
	"bluebellhall/core/bbsupply"
)

// limitEndpoints makes the named endpoints take a rate, in requests per second, and returns the clock.
func limitEndpoints(c *Coordinator, perSecond float64, ids ...string) *time.Duration {
	now := new(time.Duration)
	var table bbpace.Table
	limited := make(map[string]bool)
	for _, id := range ids {
		limited[id] = true
	}
	c.env.Pace = bbsupply.Pace{
		Rate: func(id string) (float64, bool) { return perSecond, limited[id] },
		AvailableAt: func(id string) time.Duration {
			if wait := table.Wait(*now, id, perSecond); limited[id] && wait > 0 {
				return *now + wait
			}
			return 0
		},
		Take: func(id string) { table.Take(*now, id, perSecond) },
	}
	return now
}

// directOrder returns an order without stages.
func directOrder(id string) bbjob.Order {
	o := testOrder(id, 0)
	o.Stages = nil
	return o
}

// Engines that had named a limit were granted requests by load.
func TestLimitedEngineGetsItsRate(t *testing.T) {
	c := newTestCoordinator()
	now := limitEndpoints(c, 1, "e1")
	granted := make(map[string]int)
	for i := range 400 {
		*now = time.Duration(i) * 25 * ms
		out := c.Submit(*now, directOrder(fmt.Sprint(i)))
		for _, g := range out.Grants {
			granted[g.Endpoint]++
			if (g.Endpoint == "e1") != g.Paced {
				t.Fatalf("grant %+v, want only those of e1 to be counted against a limit", g)
			}
		}
		c.Cancel(*now, fmt.Sprint(i))
	}
	if n := granted["e1"]; n > 10 || n < 9 {
		t.Errorf("the engine with a limit of 1 a second was granted %d requests in 10 s, want 9 or 10", n)
	}
}

// Requests waited until their deadline while all engines had named a limit that left no room for them.
func TestRequestsBeyondTheLimitsOfAllEnginesAreRefused(t *testing.T) {
	c := newTestCoordinator()
	var engines []string
	for _, e := range c.env.Endpoints("engine") {
		engines = append(engines, e.ID)
	}
	now := limitEndpoints(c, 0.5, engines...)
	granted, refused := 0, 0
	for i := range 100 {
		*now = time.Duration(i) * 100 * ms
		out := c.Submit(*now, directOrder(fmt.Sprint(i)))
		granted += len(out.Grants) + len(c.Tick(*now).Grants)
		refused += len(out.Refusals)
		for _, r := range out.Refusals {
			if r.RetryAfter <= 0 {
				t.Fatalf("refusal %+v without a delay", r)
			}
		}
	}
	expected := int(0.5 * 10 * float64(len(engines)))
	if granted < expected-len(engines)-1 || granted > expected {
		t.Errorf("%d requests were granted to %d engines that take 0.5 a second, in 10 s; want about %d", granted, len(engines), expected)
	}
	if refused < 100-expected-20 {
		t.Errorf("%d of 100 requests were refused, want those that can't be granted before their deadline", refused)
	}
}

// Stage workers that had named a limit were called as soon as they were free.
func TestLimitedStageWorkersGetTheirRate(t *testing.T) {
	c := newTestCoordinator("s1")
	now := limitEndpoints(c, 2, "s1")
	calls := 0
	for i := range 400 {
		*now = time.Duration(i) * 25 * ms
		out := c.Submit(*now, testOrder(fmt.Sprint(i), 1))
		if i > 0 {
			out.Calls = append(out.Calls, c.Tick(*now).Calls...)
		}
		for _, call := range out.Calls {
			if call.Endpoint != "s1" {
				continue
			}
			calls++
		}
		for id, call := range c.calls {
			out := c.CallDone(*now, id, "east", 0, good(call.Call))
			for _, call := range out.Calls {
				if call.Endpoint == "s1" {
					calls++
				}
			}
		}
	}
	if calls > 20 || calls < 10 {
		t.Errorf("the worker with a limit of 2 a second got %d calls in 10 s, want between 10 and 20", calls)
	}
}

// Requests were admitted without regard to those that still had stages before them; they were refused after
// their stages had run.
func TestRequestsInStagesCountAgainstTheLimitsOfEngines(t *testing.T) {
	c := newTestCoordinator()
	limitEndpoints(c, 1, "e1")
	for i := range 40 {
		c.Submit(0, testOrder(fmt.Sprint(i), 1))
	}
	if n := c.Len(); n < 1 || n > 4 {
		t.Errorf("%d of 40 requests are admitted to one engine that takes one a second, within 2.5 s; want 1 to 4", n)
	}
}

// Guards against a frozen VM that is granted the engines which others need.
func TestSilentOriginIsNotGrantedEngines(t *testing.T) {
	c := newTestCoordinator()
	heard := false
	c.env.Heard = func(vm string) bool { return heard || vm != "silent" }
	for _, origin := range []string{"silent", "other"} {
		o := testOrder(origin, 0)
		o.Stages = o.Stages[:1]
		o.Origin = origin
		c.Submit(0, o)
	}
	var granted []string
	collect := func(out bbdecision.Output) {
		for _, g := range out.Grants {
			granted = append(granted, g.ID)
		}
	}
	done := silenceTolerance
	for len(c.calls) > 0 {
		done += 100 * ms
		for id, call := range maps.Clone(c.calls) {
			collect(c.CallDone(done, id, "east", bbhealth.OutcomeGood, good(call.Call)))
		}
	}
	collect(c.Tick(done + 50*ms))
	if diff := cmp.Diff([]string{"other"}, granted); diff != "" {
		t.Errorf("granted while one origin is silent (-want +got):\n%s", diff)
	}
	heard = true
	collect(c.Tick(done + 100*ms))
	if diff := cmp.Diff([]string{"other", "silent"}, granted); diff != "" {
		t.Errorf("granted after it is heard again (-want +got):\n%s", diff)
	}
}
