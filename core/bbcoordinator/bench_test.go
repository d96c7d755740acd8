package bbcoordinator

import (
	"fmt"
	"testing"
	"time"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
)

// play runs orders through all stages to their end, some at a time.
func play(c *Coordinator, now time.Duration, orders []bbjob.Order) {
	var calls []func() bbdecision.Output
	take := func(out bbdecision.Output) {
		for _, call := range out.Calls {
			calls = append(calls, func() bbdecision.Output {
				return c.CallDone(now, call.ID, "east", bbhealth.OutcomeGood, good(call))
			})
		}
		for _, g := range out.Grants {
			calls = append(calls, func() bbdecision.Output {
				return c.Progress(now, bbjob.Note{
					ID:       g.ID,
					Endpoint: g.Endpoint,
					Started:  true,
					Ended:    true,
				})
			})
		}
	}
	for _, o := range orders {
		take(c.Submit(now, o))
	}
	for len(calls) > 0 {
		next := calls[0]
		calls = calls[1:]
		take(next())
	}
}

// BenchmarkRequest measures all decisions on one request, with some hundred others in
// progress.
func BenchmarkRequest(b *testing.B) {
	const others = 300
	c := newTestCoordinator()
	var waiting []bbjob.Order
	for i := range others {
		o := testOrder(fmt.Sprint("waiting", i), 2)
		o.Objective = time.Hour
		o.Limit = 2 * time.Hour
		waiting = append(waiting, o)
	}
	for _, o := range waiting {
		c.Submit(0, o)
	}
	b.ResetTimer()
	b.ReportAllocs()
	for i := range b.N {
		o := testOrder(fmt.Sprint(i), 2)
		c.Submit(time.Duration(i)*time.Millisecond, o)
		c.Cancel(time.Duration(i)*time.Millisecond, o.ID)
	}
}

// BenchmarkWay measures all decisions for a request from its first of two stages to an engine.
func BenchmarkWay(b *testing.B) {
	c := newTestCoordinator()
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Second
		play(c, now, []bbjob.Order{testOrder(fmt.Sprint(i), 2)})
	}
	if c.Len() > 0 {
		b.Fatalf("%d requests are left, want none", c.Len())
	}
}
