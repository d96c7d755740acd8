package bbhistory

import (
	"testing"
	"time"

	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbprogress"
)

func testOrder(id string) bbjob.Order {
	return bbjob.Order{
		ID:        id,
		Route:     "route",
		Key:       "key of " + id,
		Objective: time.Second,
	}
}

func TestRetryAfterARefusalIsRecognized(t *testing.T) {
	r := NewRefusals()
	o := testOrder("a")
	r.Add(time.Second, o.Content())
	again := testOrder("b")
	again.Key = o.Key
	if first, ok := r.FirstArrival(2*time.Second, again.Content()); !ok || first != time.Second {
		t.Errorf("first refused at %v, known %v; want 1s, true", first, ok)
	}
	if _, ok := r.FirstArrival(2*time.Second, testOrder("c").Content()); ok {
		t.Error("another request is recognized as a retry")
	}
	if _, ok := r.FirstArrival(time.Second+refusalTTL+time.Millisecond, again.Content()); ok {
		t.Error("a refusal is remembered longer than its TTL")
	}
}

func TestBiasFollowsLateness(t *testing.T) {
	x := make(RouteStatsTable)
	for range 100 {
		j := bbprogress.NewJob(0, testOrder("a"))
		j.Granted = "e"
		j.Estimated = time.Second
		x.RecordFirstToken(1300*time.Millisecond, j)
		x.RecordFirstToken(9*time.Second, j)
	}
	if got := x.Of("route").Bias; got < 290*time.Millisecond || got > 310*time.Millisecond {
		t.Errorf("bias %v after a hundred requests that were 300 ms late, want about that", got)
	}
}

func TestBiasIsBounded(t *testing.T) {
	x := make(RouteStatsTable)
	for range 100 {
		j := bbprogress.NewJob(0, testOrder("a"))
		j.Granted = "e"
		x.RecordFirstToken(time.Minute, j)
	}
	if got := x.Of("route").Bias; got > 600*time.Millisecond {
		t.Errorf("bias %v, want at most a part of the objective of a second", got)
	}
}
