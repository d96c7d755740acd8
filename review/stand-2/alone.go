package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case, and the factor by which many users come at once.
const (
	usualLoad   = 22
	burstFactor = 2.5
)

// zoneShares are the parts of the load by zone, as in the smallest site file.
var zoneShares = []float64{0.396, 0.307, 0.297}

// alone: two VMs are cut off from all other VMs, each by itself. Workers, clients and the store reach all. Meanwhile a
// worker becomes cold and says so with its next beat.
func alone(r *record) int {
	f := newFleet(r)
	cold := newArrivals()
	var mu sync.Mutex
	coldUntil := make(map[string]time.Time)
	newWorker := func(id string, i int) *worker {
		return &worker{
			id:      id,
			service: "bluebell-llm",
			zone:    zones[i%len(zones)],
			address: f.workerAddress(i),
			run: func(w *worker, q request, c net.Conn) {
				mu.Lock()
				until := coldUntil[w.id]
				mu.Unlock()
				id := q.header.Get("X-Attempt-Id")
				if q.at.Before(until) {
					n := cold.add(w.id, q.at)
					r.line("worker %s, cold, runs %s: %d in the last second", w.id, id, n)
				}
				h := w.signed(q)
				h["Content-Type"] = "text/event-stream"
				h["Transfer-Encoding"] = "chunked"
				writeHead(c, 200, h)
				for n := 1; n <= 4; n++ {
					time.Sleep(25 * time.Millisecond)
					text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
					fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
				}
				fmt.Fprint(c, "0\r\n\r\n")
			},
		}
	}
	var workers []*worker
	var stops []context.CancelFunc
	for i := range 3 {
		w := newWorker(fmt.Sprintf("i-llm%d", i), i)
		w.start()
		ctx, stop := context.WithCancel(context.Background())
		go f.beat(ctx, w, 96, time.Now())
		workers, stops = append(workers, w), append(stops, stop)
		atEnd(func() { stop(); w.crash() })
	}
	f.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "chat", "hostname": "lots.example", "prefix": "/chat/", "kind": "streaming", "timeoutMs": 6000, "sloMs": 1400,
			"priority": 1, "service": "bluebell-llm", "maxAttempts": 1, "phases": []any{}, "anonymous": false, "sticky": true, "resumable": false, "itlTargetMs": 250,
		}},
		"services": []any{map[string]any{
			"name": "bluebell-llm", "healthPath": "/healthz", "maxConnections": 490, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerS,
			"runtime": map[string]any{"slots": 96, "kvCapacity": 255091},
		}},
		"limits":  limits,
		"tenants": tenants,
	})
	f.addVMs()
	f.startVMs()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var answers counts
	c := client(64)
	var number atomic.Int64
	ask := func(_ int, v *vm) {
		k := number.Add(1)
		answers.add(get(c, v, "POST", fmt.Sprintf("/chat/%d", k), fmt.Sprintf("chat-%d", k), 6*time.Second, map[string]string{
			"X-Model": "m", "X-Token-Usage": "600,16", "X-Prefix-Hash": fmt.Sprintf("a1:100,b%d:500", k), "X-Length-Hint": "16",
		}))
	}
	for z, share := range zoneShares {
		load(ctx, &group, f.vmsOf(z), share*usualLoad, ask)
	}
	time.Sleep(3 * time.Second)
	if trouble() {
		f.links.split(map[*vm]int{f.vms[1]: 1, f.vms[2]: 2})
		r.line("cut: %s and %s, each from all other VMs", f.vms[1].name, f.vms[2].name)
	}
	time.Sleep(5 * time.Second)
	w := workers[0]
	stops[0]()
	mu.Lock()
	until := time.Now().Add(coldStart)
	coldUntil[w.id] = until
	mu.Unlock()
	r.line("worker %s becomes cold for %v", w.id, coldStart)
	crowd, leave := context.WithTimeout(ctx, 3*time.Second)
	defer leave()
	for z, share := range zoneShares {
		load(crowd, &group, f.vmsOf(z), share*usualLoad*(burstFactor-1), ask)
	}
	beats, stop := context.WithCancel(context.Background())
	atEnd(stop)
	time.AfterFunc(1200*time.Millisecond, func() {
		r.line("worker %s beats", w.id)
		f.beat(beats, w, 96, until)
	})
	time.Sleep(4 * time.Second)
	f.links.split(nil)
	r.line("the cut heals")
	time.Sleep(2 * time.Second)
	cancel()
	group.Wait()
	id, most := cold.worst()
	r.line("answers by status: %v", answers.String())
	r.line("most requests in one second at a cold worker: %d at %s; the rule allows %.1f", most, id, coldBound)
	if answers.by[200] == 0 {
		cannotRun("no request was served")
	}
	if float64(most) > coldBound {
		return broken
	}
	return held
}
