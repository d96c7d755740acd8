package bbcoordinator

import (
	"fmt"
	"testing"
	"time"
)

// Load: more requests arrive within a moment than can be on time. Guards against callers that come back into the same
// load, where they are refused for good, all at once, or too late to be served.
func TestLateCallersAreToldToComeBackLater(t *testing.T) {
	const limit = 20 * time.Second
	c := newTestCoordinator("s1")
	for i := range 16 {
		c.Submit(0, testOrder(fmt.Sprint("before", i), 1))
	}
	delays := make(map[time.Duration]bool)
	for i := range 20 {
		o := testOrder(fmt.Sprint("late", i), 4)
		o.Objective = 300 * ms
		o.Limit = limit
		out := c.Submit(0, o)
		if len(out.Refusals) != 1 || out.Refusals[0].Reason != "late" {
			t.Fatalf("refusals %+v, want one because the request is late", out.Refusals)
		}
		delay := out.Refusals[0].RetryAfter
		if delay < limit/5 || delay > limit/3 {
			t.Errorf("request %d should come back after %v, want a fifth to a third of its time, %v", i, delay, limit)
		}
		delays[delay] = true
	}
	if len(delays) < 10 {
		t.Errorf("%d different delays for 20 callers, want them spread", len(delays))
	}
}
