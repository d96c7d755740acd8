package bbcoordinator

import (
	"fmt"
	"testing"
	"time"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbjob"
)

// newWaitingCoordinator returns a test coordinator in which late requests wait, and that has so many requests that a
// further one with three stages of work can't be on time.
func newWaitingCoordinator(t *testing.T) *Coordinator {
	t.Helper()
	c := newTestCoordinator("s1")
	c.env.Features.Waiting = bbfeature.ModeOn
	for i := range 16 {
		if out := c.Submit(0, testOrder(fmt.Sprint("before", i), 1)); len(out.Refusals) > 0 {
			t.Fatalf("request %d is refused: %+v", i, out.Refusals)
		}
	}
	return c
}

func lateOrder(id, account string, limit time.Duration) bbjob.Order {
	o := testOrder(id, 4)
	o.Account = account
	o.Objective = 300 * ms
	o.Limit = limit
	return o
}

// wantWaiting checks the number of requests of an account that wait.
func wantWaiting(t *testing.T, c *Coordinator, account string, want int) {
	t.Helper()
	if got := c.Status(0).WaitingRequests[account]; got != want {
		t.Errorf("%d requests of account %q wait, want %d", got, account, want)
	}
}

// finish runs the requests that a coordinator has until no call is in progress, and returns what it has put out.
func finish(c *Coordinator, now time.Duration) []bbdecision.Output {
	var outputs []bbdecision.Output
	for range 200 {
		now += 100 * ms
		outputs = append(outputs, c.Tick(now))
		for id, call := range c.calls {
			outputs = append(outputs, c.CallDone(now, id, "east", 0, good(call.Call)))
			break
		}
	}
	return outputs
}

// Load: more requests arrive within a moment than can be on time, with seconds left. Guards against refusing them.
func TestLateRequestWaitsAndIsServed(t *testing.T) {
	c := newWaitingCoordinator(t)
	before := len(c.calls)
	out := c.Submit(0, lateOrder("late", "a", 20*time.Second))
	if len(out.Refusals) > 0 || len(out.Calls) > 0 || len(c.calls) != before {
		t.Fatalf("refusals %+v, calls %d; want the request to wait and hold nothing", out.Refusals, len(out.Calls))
	}
	wantWaiting(t, c, "a", 1)
	granted := false
	for _, out := range finish(c, 0) {
		for _, g := range out.Grants {
			granted = granted || g.ID == "late"
		}
	}
	if !granted {
		t.Error("the request that waited got no engine")
	}
	wantWaiting(t, c, "a", 0)
}

// Guards against a request that is held although it is known that its deadline passes before its turn.
func TestRequestThatWouldWaitTooLongIsRefused(t *testing.T) {
	c := newWaitingCoordinator(t)
	for i := range 40 {
		c.Submit(0, lateOrder(fmt.Sprint("late", i), "a", 20*time.Second))
	}
	out := c.Submit(0, lateOrder("hopeless", "b", 30*time.Second))
	if len(out.Refusals) > 0 {
		t.Fatalf("refused %+v with 30 s left, want it to wait", out.Refusals)
	}
	for i := range 40 {
		c.Submit(0, lateOrder(fmt.Sprint("soon", i), "a", 4*time.Second))
	}
	out = c.Submit(0, lateOrder("hopeless2", "b", 4*time.Second))
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != "noCapacity" || out.Refusals[0].RetryAfter > time.Second {
		t.Errorf("refusals %+v, want one for lack of capacity with a delay of at most a quarter of the time left", out.Refusals)
	}
}

func TestWaitEnds(t *testing.T) {
	t.Run("when the caller leaves", func(t *testing.T) {
		c := newWaitingCoordinator(t)
		c.Submit(0, lateOrder("late", "a", 20*time.Second))
		c.Cancel(10*ms, "late")
		wantWaiting(t, c, "a", 0)
	})
	t.Run("when the coordinator leaves", func(t *testing.T) {
		c := newWaitingCoordinator(t)
		c.Submit(0, lateOrder("late", "a", 20*time.Second))
		elsewhere := false
		for _, r := range c.Leave().Redirects {
			elsewhere = elsewhere || r.ID == "late"
		}
		if !elsewhere {
			t.Error("a request that waits isn't handed back")
		}
		wantWaiting(t, c, "a", 0)
	})
	t.Run("when the deadline passes", func(t *testing.T) {
		c := newWaitingCoordinator(t)
		c.Submit(0, lateOrder("late", "a", 4*time.Second))
		out := c.Tick(3900 * ms)
		for _, r := range out.Refusals {
			if r.ID == "late" && r.Reason == "deadline" {
				wantWaiting(t, c, "a", 0)
				return
			}
		}
		t.Errorf("refusals %+v, want that of the request that waited", out.Refusals)
	})
}

// The earlier deployments are served as before: without the setting nothing waits.
func TestWithoutWaitingLateRequestsAreRefused(t *testing.T) {
	for _, mode := range []bbfeature.Mode{"", bbfeature.ModeOff, bbfeature.ModeAuto} {
		t.Run(string("mode "+mode), func(t *testing.T) {
			c := newWaitingCoordinator(t)
			c.env.Features.Waiting = mode
			if out := c.Submit(0, lateOrder("late", "a", 20*time.Second)); len(out.Refusals) != 1 || out.Refusals[0].Reason != "late" {
				t.Errorf("refusals %+v, want one because the request is late", out.Refusals)
			}
		})
	}
}
