package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// split: half of the VMs are cut off from the other half, and those that are cut off are restarted meanwhile. Workers,
// clients and the store reach both halves.
func split(r *record) int {
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
	for i := range 4 {
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
	// The last three VMs; a seed is among them, as among the others.
	off := f.vms[4:]
	if trouble() {
		groups := make(map[*vm]int)
		for _, v := range off {
			groups[v] = 1
		}
		f.links.split(groups)
		r.line("cut: %s, %s and %s from the others", off[0].name, off[1].name, off[2].name)
	}
	r.line("the workers in %s go down", zones[0])
	for i, w := range workers {
		if w.zone == zones[0] {
			stops[i]()
			w.crash()
		}
	}
	// Many users come at once, for six seconds.
	crowd, leave := context.WithTimeout(ctx, 6*time.Second)
	defer leave()
	for z, share := range zoneShares {
		load(crowd, &group, f.vmsOf(z), share*usualLoad*(burstFactor-1), ask)
	}
	if trouble() {
		for _, v := range off {
			v.kill()
		}
		r.line("those that are cut off are killed")
		time.Sleep(300 * time.Millisecond)
		for _, v := range off {
			v.start()
		}
		time.Sleep(2700 * time.Millisecond)
	} else {
		time.Sleep(3 * time.Second)
	}
	for i, old := range workers {
		if old.zone != zones[0] {
			continue
		}
		w := newWorker(old.id+"-again", i)
		mu.Lock()
		until := time.Now().Add(coldStart)
		coldUntil[w.id] = until
		mu.Unlock()
		w.start()
		atEnd(w.crash)
		beats, stop := context.WithCancel(context.Background())
		atEnd(stop)
		go f.beat(beats, w, 96, until)
		r.line("worker %s starts, cold for %v", w.id, coldStart)
		time.AfterFunc(600*time.Millisecond, func() { f.store.remove("servers/" + old.id) })
	}
	time.Sleep(2400 * time.Millisecond)
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
