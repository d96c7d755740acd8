package bbcoordinator

import (
	"testing"
	"time"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbregistry"
)

// Stage workers that had asked for rest were called again at once, and when all had, requests waited
// until their deadline.
func TestStageWorkersThatRestGetNoCalls(t *testing.T) {
	c := newTestCoordinator()
	rests := make(map[string]time.Duration)
	now := time.Duration(0)
	c.env.BackoffUntil = func(endpoint string) time.Duration {
		if rests[endpoint] > now {
			return rests[endpoint]
		}
		return 0
	}
	turnAway := func(call *bbpool.Call, until time.Duration) []*bbpool.Call {
		t.Helper()
		rests[call.Endpoint] = until
		return c.CallDone(now, call.ID, "east", bbhealth.OutcomeFull, nil).Calls
	}
	calls := toSecond(t, c, testOrder("a", 1))
	now = 300 * ms
	calls = turnAway(calls[0], 20*time.Second)
	if len(calls) != 1 || rests[calls[0].Endpoint] > 0 {
		t.Fatalf("calls %+v after one worker asked for rest, want one to the other", calls)
	}
	now = 310 * ms
	if calls = turnAway(calls[0], 30*time.Second); len(calls) > 0 {
		t.Fatalf("calls %+v while all workers rest, want none", calls)
	}
	if out := c.Tick(now); len(out.Refusals) != 1 || out.Refusals[0].ID != "a" || out.Refusals[0].RetryAfter != 20*time.Second-now {
		t.Errorf("refusals %+v of the request that waits for 6 s, want one at once until a worker rests no more", out.Refusals)
	}
	out := c.Submit(now, testOrder("b", 1))
	if len(out.Refusals) != 1 || out.Refusals[0].RetryAfter < 20*time.Second-now-testOrder("", 0).Limit {
		t.Errorf("refusals %+v while all workers rest for 20 s, want one at once that says so", out.Refusals)
	}
	now = 20*time.Second + 1
	if out := c.Submit(now, testOrder("c", 1)); len(out.Refusals) > 0 {
		t.Errorf("refused as %s once a worker rests no more", out.Refusals[0].Reason)
	}
}

// A request whose next stage had no worker awake was refused though another worker had come since.
func TestNewStageWorkerEndsTheWait(t *testing.T) {
	c := newTestCoordinator("s1")
	rests := false
	c.env.BackoffUntil = func(endpoint string) time.Duration {
		if rests && endpoint == "s1" {
			return time.Minute
		}
		return 0
	}
	if out := c.Submit(0, testOrder("a", 1)); len(out.Refusals) > 0 {
		t.Fatalf("refused as %s, want the order to be taken", out.Refusals[0].Reason)
	}
	rests = true
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
		t.Errorf("refused as %s though a worker is awake", out.Refusals[0].Reason)
	}
}
