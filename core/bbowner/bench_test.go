package bbowner

import (
	"fmt"
	"testing"
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// benchTable returns a table that owns the first of many endpoints, all warm.
func benchTable(endpoints, owned int) *Table {
	r := &bbrule.RuleSet{
		Domains:  []bbrule.Domain{{Name: "d", Region: "r"}},
		Services: []bbrule.Service{{Name: "s", Kind: bbrule.KindEngine}},
	}
	for i := range endpoints {
		r.Endpoints = append(r.Endpoints, bbrule.Endpoint{
			Name:      fmt.Sprintf("endpoint-%04d", i),
			Service:   "s",
			Domain:    "d",
			WarmSlots: 16,
			ColdSlots: 2,
		})
	}
	t := New(Settings{Self: "a", Incarnation: 1, ReportInterval: time.Hour})
	t.SetRules(1, r)
	t.SetOwned(1, func(name string) bool { return name < fmt.Sprintf("endpoint-%04d", owned) })
	for i := range owned {
		t.Report(1, bbmsg.LoadReport{Endpoint: r.Endpoints[i].Name, Boot: 1})
	}
	t.Tick(benchStart, true)
	t.TakeOutputs()
	return t
}

// benchStart is later than the end of every wait after a change of owner.
const benchStart = time.Minute

// forSizes runs a benchmark for 7, 50 and 330 nodes with three endpoints each.
func forSizes(b *testing.B, run func(b *testing.B, t *Table)) {
	for _, nodes := range []int{7, 50, 330} {
		b.Run(fmt.Sprintf("%d nodes", nodes), func(b *testing.B) { run(b, benchTable(3*nodes, 3)) })
	}
}

// BenchmarkIdleTick measures a Tick at which nothing is due.
func BenchmarkIdleTick(b *testing.B) {
	forSizes(b, func(b *testing.B, t *Table) {
		b.ReportAllocs()
		for b.Loop() {
			t.Tick(benchStart, true)
		}
	})
}

// BenchmarkDigests measures the digests that are sent with each probe.
func BenchmarkDigests(b *testing.B) {
	forSizes(b, func(b *testing.B, t *Table) {
		b.ReportAllocs()
		for b.Loop() {
			t.Digests(benchStart)
		}
	})
}

// BenchmarkAttempt measures an attempt from its offer over one token to its end.
func BenchmarkAttempt(b *testing.B) {
	forSizes(b, func(b *testing.B, t *Table) {
		now := benchStart
		b.ReportAllocs()
		for b.Loop() {
			now += 10 * time.Millisecond
			t.Offer(now, bbmsg.Dispatch{
				Attempt:      bbmsg.Attempt{ID: "ticket.nonce", Number: int(now)},
				Endpoint:     "endpoint-0001",
				BudgetMillis: 6000,
				Account:      "account",
				Weight:       1,
			}, "home")
			t.Tick(now, true)
			t.HandleCallUpdate(now, bbmsg.CallUpdate{Call: t.lastCall, Kind: bbmsg.UpdateTokens, Tokens: []string{"token"}})
			t.HandleCallUpdate(now, bbmsg.CallUpdate{Call: t.lastCall, Kind: bbmsg.UpdateDone})
			t.Tick(now, true)
			t.TakeOutputs()
		}
	})
}
