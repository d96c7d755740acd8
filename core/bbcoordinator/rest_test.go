package bbcoordinator

import (
	"testing"
	"time"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbregistry"
)

// Stage workers that had requested backoff were called again at once, and once all had requested it,
// requests waited until their deadline.
func TestStageWorkersThatRestGetNoCalls(t *testing.T) {
	c := newTestCoordinator()
	backoffs := make(map[string]time.Duration)
	now := time.Duration(0)
	c.env.BackoffUntil = func(endpoint string) time.Duration {
		if backoffs[endpoint] > now {
			return backoffs[endpoint]
		}
		return 0
	}
	reject := func(call *bbpool.Call, until time.Duration) []*bbpool.Call {
		t.Helper()
		backoffs[call.Endpoint] = until
		return c.CallDone(now, call.ID, "east", bbhealth.OutcomeFull, nil).Calls
	}
	calls := toSecond(t, c, testOrder("a", 1))
	now = 300 * ms
	calls = reject(calls[0], 20*time.Second)
	if len(calls) != 1 || backoffs[calls[0].Endpoint] > 0 {
		t.Fatalf("calls %+v after one worker requested backoff, want one to the other", calls)
	}
	now = 310 * ms
	if calls = reject(calls[0], 30*time.Second); len(calls) > 0 {
		t.Fatalf("calls %+v during the backoff of all workers, want none", calls)
	}
	if out := c.Tick(now); len(out.Refusals) != 1 || out.Refusals[0].ID != "a" || out.Refusals[0].RetryAfter != 20*time.Second-now {
		t.Errorf("refusals %+v of the request that waits for 6 s, want one at once with the end of the backoff", out.Refusals)
	}
	out := c.Submit(now, testOrder("b", 1))
	if len(out.Refusals) != 1 || out.Refusals[0].RetryAfter < 20*time.Second-now-testOrder("", 0).Limit {
		t.Errorf("refusals %+v while all workers back off for 20 s, want one at once with that delay", out.Refusals)
	}
	now = 20*time.Second + 1
	if out := c.Submit(now, testOrder("c", 1)); len(out.Refusals) > 0 {
		t.Errorf("refused as %s after the backoff of a worker ended", out.Refusals[0].Reason)
	}
}

// A request was refused because all known workers of its next stage had requested backoff, though
// another worker had joined since.
func TestNewStageWorkerEndsTheWait(t *testing.T) {
	c := newTestCoordinator("s1")
	backingOff := false
	c.env.BackoffUntil = func(endpoint string) time.Duration {
		if backingOff && endpoint == "s1" {
			return time.Minute
		}
		return 0
	}
	if out := c.Submit(0, testOrder("a", 1)); len(out.Refusals) > 0 {
		t.Fatalf("refused as %s, want the order to be admitted", out.Refusals[0].Reason)
	}
	backingOff = true
	usable := c.env.Endpoints
	c.pools["second"].AvailableAt = time.Minute
	c.env.Endpoints = func(service string) []*bbregistry.Entry {
		list := usable(service)
		if service == "second" {
			list = append(list, &bbregistry.Entry{Endpoint: bbregistry.Endpoint{ID: "s2", Service: "second", Zone: "east"}})
		}
		return list
	}
	if out := c.Tick(100 * ms); len(out.Refusals) > 0 {
		t.Errorf("refused as %s though a worker is available", out.Refusals[0].Reason)
	}
}
