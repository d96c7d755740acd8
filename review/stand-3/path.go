package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// casePath: a new configuration adds a route for all paths of a host, and paths begin with two slashes.
func casePath() {
	f := newFleet([]string{"ub-east", "tsetserleg", "khovd-central"}, threeZones())
	f.store.put("op/config", configuration(7, []map[string]any{
		plainRoute("confirm", "/confirm/", "non_idempotent", "lot-ledger"),
	}, []map[string]any{plainService("lot-ledger", 0, 0)}))
	for i, z := range zoneNames {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x1f3a9100+i), service: "lot-ledger", zone: z, address: fmt.Sprintf("%s.%d:8080", f.net, 100+i),
			slots: 6, queue: 24, work: 30 * time.Millisecond, store: f.store, anyTarget: true,
		}
		w.boot("v1", 0, 0)
	}
	time.Sleep(200 * time.Millisecond)
	f.startAll()
	f.store.put("op/config", configuration(9, []map[string]any{
		plainRoute("confirm", "/confirm/", "non_idempotent", "lot-ledger"),
		plainRoute("rest", "/", "non_idempotent", "lot-ledger"),
	}, []map[string]any{plainService("lot-ledger", 0, 0)}))
	time.Sleep(4 * time.Second)
	d := newDirectory(f)
	target := "/lots/7?clip=2"
	if trouble() {
		target = "//lots/7?clip=2"
	}
	stop := make(chan struct{})
	go func() { time.Sleep(5 * time.Second); close(stop) }()
	targets := map[string]string{}
	var mu sync.Mutex
	var answered atomic.Int64
	every(10, stop, func(n int) {
		a := attempt{zone: zoneNames[n%3], method: "POST", target: target, body: fmt.Sprintf("lot %d", n), limit: 3 * time.Second}
		d.request(a, false, func(a attempt, o outcome) {
			mu.Lock()
			targets[a.id] = a.target
			mu.Unlock()
			if o.status == 200 {
				answered.Add(1)
			}
		})
	})
	changed := 0
	runsMu.Lock()
	defer runsMu.Unlock()
	for _, r := range runs {
		record("run %s at %s %s %s", r.id, r.worker, r.method, r.target)
		if sent, ok := targets[r.id]; ok && sent != r.target {
			changed++
		}
	}
	if len(runs) == 0 {
		cannotRun("nothing ran")
	}
	verdict(changed > 0, "%d of %d runs had another path than the client's (UNASKED); %d answered", changed, len(runs), answered.Load())
}
