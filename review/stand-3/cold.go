package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// caseCold: the workers of a zone are down and come back cold.
func caseCold() {
	const coldPerS, coldS = 4.0, 3.0
	bound := coldPerS*1.5 + 5
	f := newFleet(sevenVMs(), threeZones())
	f.store.put("op/config", configuration(7, []map[string]any{
		plainRoute("confirm", "/confirm/", "non_idempotent", "lot-ledger"),
		plainRoute("lookup", "/lookup/", "idempotent", "lot-ledger"),
	}, []map[string]any{plainService("lot-ledger", coldS, coldPerS)}))
	seen := newArrivals()
	var crashes atomic.Int64
	var workers []*worker
	for i, z := range zoneNames {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x1f3a9100+i), service: "lot-ledger", zone: z, address: fmt.Sprintf("%s.%d:8080", f.net, 100+i),
			slots: 6, queue: 24, work: 30 * time.Millisecond, store: f.store,
		}
		w.onArrival = func(w *worker, id string) bool {
			seen.add(w.id, id)
			w.mu.Lock()
			cold := w.cold
			w.mu.Unlock()
			// A cold worker crashes at a rate well above what it tolerates: here four times that in a second.
			if time.Now().Before(cold) && seen.most(w.id, time.Now().Add(-time.Second), time.Now().Add(time.Hour), time.Second) > 4*coldPerS {
				crashes.Add(1)
				record("worker %s crashes: more than %.0f requests in a second while it is cold", w.id, 4*coldPerS)
				return true
			}
			return false
		}
		w.boot("v1", 0, 0)
		workers = append(workers, w)
	}
	time.Sleep(200 * time.Millisecond)
	f.startAll()
	d := newDirectory(f)
	stop := make(chan struct{})
	var lost, answered, refused atomic.Int64
	victim := workers[0]
	var from, to time.Time
	go func() {
		time.Sleep(6 * time.Second)
		if trouble() {
			victim.crash()
			time.Sleep(4 * time.Second)
			// Most starts of a worker have a new id.
			f.store.remove("servers/" + victim.id)
			victim.id = "i-1f3a91c0"
			victim.boot("v1", time.Duration(coldS*float64(time.Second)), 0)
			from = time.Now()
			time.Sleep(time.Duration(coldS * float64(time.Second)))
			to = time.Now()
		} else {
			time.Sleep(7 * time.Second)
		}
		time.Sleep(2 * time.Second)
		close(stop)
	}()
	every(60, stop, func(n int) {
		a := attempt{zone: zoneNames[n%3], method: "POST", target: "/confirm/7", body: fmt.Sprintf("lot %d", n), limit: 3 * time.Second}
		idempotent := n%2 == 1
		if idempotent {
			a.method, a.target, a.body = "GET", "/lookup/7", ""
		}
		d.request(a, idempotent, func(_ attempt, o outcome) {
			switch {
			case o.status == 200 && o.whole:
				answered.Add(1)
			case o.promised():
				refused.Add(1)
			default:
				lost.Add(1)
			}
		})
	})
	if answered.Load() == 0 {
		cannotRun("nothing was answered")
	}
	most := 0
	if trouble() {
		most = seen.most(victim.id, from, to, time.Second)
	}
	verdict(float64(most) > bound, "a cold worker got up to %d requests in a second (more than %.1f break FAILBACK) and crashed %d times; %d answered, %d refused, %d failed", most, bound, crashes.Load(), answered.Load(), refused.Load(), lost.Load())
}
