package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// regionsLoad is the usual number of requests a second in the case of two regions, with two workers.
const regionsLoad = 28

// regions: two regions lose each other; the third reaches both, and so do the workers, which stand in the third. A worker
// becomes cold and says so at once.
func regions(r *record) int {
	f := newFleet(r)
	cold := newArrivals()
	var mu sync.Mutex
	coldUntil := make(map[string]time.Time)
	newWorker := func(id string, i int) *worker {
		return &worker{
			id:      id,
			service: "bluebell-llm",
			zone:    zones[2],
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
	for i := range 2 {
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
		load(ctx, &group, f.vmsOf(z), share*regionsLoad, ask)
	}
	time.Sleep(3 * time.Second)
	if trouble() {
		f.links.set(func(a, b *vm) bool {
			return a.zone == zones[0] && b.zone == zones[1] || a.zone == zones[1] && b.zone == zones[0]
		})
		r.line("%s and %s lose each other", zones[0], zones[1])
	}
	time.Sleep(6 * time.Second)
	w := workers[0]
	stops[0]()
	mu.Lock()
	until := time.Now().Add(coldStart)
	coldUntil[w.id] = until
	mu.Unlock()
	r.line("worker %s becomes cold for %v", w.id, coldStart)
	beats, stop := context.WithCancel(context.Background())
	atEnd(stop)
	go f.beat(beats, w, 96, until)
	crowd, leave := context.WithTimeout(ctx, 3*time.Second)
	defer leave()
	for z, share := range zoneShares {
		load(crowd, &group, f.vmsOf(z), share*regionsLoad*(burstFactor-1), ask)
	}
	time.Sleep(4 * time.Second)
	f.links.split(nil)
	r.line("they reach each other again")
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
