package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// stage is a worker of a stage: one call at a time, results named by its address and a count.
type stage struct {
	*worker
	slot chan struct{}

	mu     sync.Mutex
	count  int
	boot   int
	result map[string]result
}

// result is what a worker keeps under a handle.
type result struct {
	request string
	expires time.Time
}

type entry struct {
	ID      string   `json:"id"`
	Phase   int      `json:"phase"`
	Segment int      `json:"segment"`
	Key     string   `json:"key"`
	Inputs  []string `json:"inputs"`
}

// The figures of the stage, as in the site file.
const (
	stageCall = 200 * time.Millisecond
	stageItem = 21 * time.Millisecond
	stageTTL  = 4 * time.Second
	// handlesDown is the time from the crash to the use of the address by the next process; `reuseAfterS` is 2.
	handlesDown = 2100 * time.Millisecond
)

// call serves stage-run and stage-free.
func (s *stage) call(r *record, q request, c net.Conn) {
	if strings.HasSuffix(q.target, "/stage-free") {
		var named struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(q.body, &named)
		s.mu.Lock()
		for _, h := range named.Handles {
			delete(s.result, h)
		}
		s.mu.Unlock()
		r.line("worker %s frees %v", s.id, named.Handles)
		answer(c, 200, map[string]string{"Content-Type": "application/json"}, []byte("{}"))
		return
	}
	var call struct {
		Entries []entry `json:"entries"`
	}
	_ = json.Unmarshal(q.body, &call)
	select {
	case s.slot <- struct{}{}:
	case <-time.After(3 * time.Second):
		answer(c, 503, map[string]string{"X-Not-Executed": "1"}, nil)
		return
	}
	s.mu.Lock()
	boot := s.boot
	s.mu.Unlock()
	time.Sleep(stageCall + time.Duration(len(call.Entries))*stageItem)
	<-s.slot
	var made []map[string]string
	s.mu.Lock()
	if s.boot != boot {
		// The process that worked on the call has ended.
		s.mu.Unlock()
		return
	}
	for _, e := range call.Entries {
		s.count++
		handle := fmt.Sprintf("%s/%x", s.address, s.count)
		s.result[handle] = result{
			request: e.ID,
			expires: time.Now().Add(stageTTL),
		}
		made = append(made, map[string]string{"handle": handle})
		r.line("worker %s, boot %d, makes %s for %s", s.id, s.boot, handle, e.ID)
	}
	s.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"entries": made})
	answer(c, 200, map[string]string{"Content-Type": "application/json"}, data)
}

// fetch returns the request for which a kept result was made.
func (s *stage) fetch(handle string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, ok := s.result[handle]
	return kept.request, ok && time.Now().Before(kept.expires)
}

// begin starts a process of the worker, which knows nothing of a former one.
func (s *stage) begin() {
	s.mu.Lock()
	s.boot++
	s.count = 0
	s.result = make(map[string]result)
	s.mu.Unlock()
	s.start()
}

// newStage returns a worker of a stage that hasn't started.
func newStage(r *record, id, service, zone, address string) *stage {
	s := &stage{
		slot: make(chan struct{}, 1),
		worker: &worker{
			id:         id,
			service:    service,
			zone:       zone,
			address:    address,
			anyRequest: true,
		},
	}
	s.run = func(_ *worker, q request, c net.Conn) { s.call(r, q, c) }
	return s
}

// phase returns a route to the engines with one stage.
func phase(name, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": "lots.example", "prefix": "/" + name + "/", "kind": "streaming", "timeoutMs": 12000, "sloMs": 4000,
		"priority": 1, "service": "bluebell-llm", "maxAttempts": 1, "anonymous": false, "sticky": true, "resumable": false, "itlTargetMs": 300,
		"phases": []any{map[string]any{"service": service, "after": []int{}, "byteCount": 60000}},
	}
}

// segments returns a service of a stage.
func segments(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConnections": 490, "coldStartS": 0, "coldPerS": 0,
		"segments": map[string]any{"slots": 1, "queue": 2, "batch": 8, "callMs": 200, "itemMs": 21, "headroomMb": 18, "handleTtlS": stageTTL.Seconds(), "linkMbps": 10000},
	}
}

// handles: a worker of a stage crashes while requests wait for an engine, and its address is given to a worker of
// another stage. With SAME_ID=1 it starts again itself, under its id.
func handles(r *record) int {
	f := newFleet(r)
	var mu sync.Mutex
	var stages []*stage
	stops := make(map[*stage]context.CancelFunc)
	begin := func(s *stage) {
		s.begin()
		ctx, stop := context.WithCancel(context.Background())
		mu.Lock()
		stops[s] = stop
		mu.Unlock()
		go f.beat(ctx, s.worker, 1, time.Now())
		atEnd(func() { stop(); s.crash() })
	}
	for i, z := range zones {
		s := newStage(r, fmt.Sprintf("i-portal%d", i), "buyer-portal", z, f.workerAddress(i))
		begin(s)
		stages = append(stages, s)
	}
	desk := newStage(r, "i-desk0", "coop-desk", zones[1], f.workerAddress(5))
	begin(desk)
	stages = append(stages, desk)
	foreign, ran := 0, 0
	// asked has the requests that an engine has begun.
	asked := make(map[string]bool)
	for i := range 2 {
		w := &worker{
			id:      fmt.Sprintf("i-llm%d", i),
			service: "bluebell-llm",
			zone:    zones[i],
			address: f.workerAddress(10 + i),
			run: func(w *worker, q request, c net.Conn) {
				id := q.header.Get("X-Attempt-Id")
				mu.Lock()
				all := append([]*stage(nil), stages...)
				mu.Unlock()
				for _, h := range strings.Split(q.header.Get("X-Input-Count"), ",") {
					owner, ok := "", false
					for _, s := range all {
						if strings.HasPrefix(h, s.address+"/") {
							owner, ok = s.fetch(h)
						}
					}
					if !ok {
						r.line("engine %s: %s of %s no longer exists", w.id, h, id)
						answer(c, 409, map[string]string{"X-Not-Executed": "1"}, nil)
						return
					}
					mu.Lock()
					if owner != id {
						foreign++
					}
					mu.Unlock()
					r.line("engine %s runs %s with %s, the result of %s; its own: %t", w.id, id, h, owner, owner == id)
				}
				mu.Lock()
				ran++
				asked[id] = true
				mu.Unlock()
				head := w.signed(q)
				head["Content-Type"] = "text/event-stream"
				head["Transfer-Encoding"] = "chunked"
				writeHead(c, 200, head)
				for n := 1; n <= 18; n++ {
					time.Sleep(200 * time.Millisecond)
					text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
					fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
				}
				fmt.Fprint(c, "0\r\n\r\n")
			},
		}
		w.start()
		atEnd(w.crash)
		ctx, stop := context.WithCancel(context.Background())
		atEnd(stop)
		go f.beat(ctx, w, 2, time.Now())
	}
	f.store.put("op/config", map[string]any{
		"version": 7,
		"routes":  []any{phase("report", "buyer-portal"), phase("desk", "coop-desk")},
		"services": []any{
			map[string]any{
				"name": "bluebell-llm", "healthPath": "/healthz", "maxConnections": 490, "coldStartS": 0, "coldPerS": 0,
				"runtime": map[string]any{"slots": 2, "kvCapacity": 255091},
			},
			segments("buyer-portal"), segments("coop-desk"),
		},
		"limits":  limits,
		"tenants": tenants,
	})
	f.addVMs()
	f.startVMs()
	var group sync.WaitGroup
	var answers counts
	c := client(64)
	send := func(route, id string, n int) {
		group.Go(func() {
			v := f.vms[n%len(f.vms)]
			status := get(c, v, "POST", "/"+route+"/"+id, id, 12*time.Second, map[string]string{
				"X-Model": "m", "X-Token-Usage": "600,72", "X-Prefix-Hash": fmt.Sprintf("a1:100,%x:500", id), "X-Chunk-Count": "1", "X-Chunk-Key": "key-" + id,
			})
			answers.add(status)
			r.line("client: %s sent to %s ends with %d", id, v.name, status)
		})
	}
	// Eight requests, for engines with room for four: the others wait for more than three seconds.
	for n := range 8 {
		send("report", fmt.Sprintf("first%d", n), n)
	}
	time.Sleep(600 * time.Millisecond)
	second := "desk"
	if os.Getenv("SAME_ID") == "1" {
		second = "report"
	}
	if trouble() {
		// The worker that keeps most results of requests which wait.
		most, at := -1, 0
		for i, s := range stages {
			s.mu.Lock()
			mu.Lock()
			n := 0
			for _, kept := range s.result {
				if !asked[kept.request] {
					n++
				}
			}
			mu.Unlock()
			s.mu.Unlock()
			if n > most {
				most, at = n, i
			}
		}
		old := stages[at]
		stops[old]()
		old.crash()
		r.line("worker %s crashes; it had results of %d requests that wait", old.id, most)
		time.Sleep(handlesDown)
		next := old
		if second == "desk" {
			next = newStage(r, "i-desk1", "coop-desk", old.zone, old.address)
			time.AfterFunc(3600*time.Millisecond-handlesDown, func() { f.store.remove("servers/" + old.id) })
		}
		mu.Lock()
		stages[at] = next
		mu.Unlock()
		begin(next)
		r.line("worker %s of %s starts at the same address, born %d", next.id, next.service, next.born)
	} else {
		time.Sleep(handlesDown)
	}
	time.Sleep(100 * time.Millisecond)
	for n := range 14 {
		send(second, fmt.Sprintf("second%d", n), n)
	}
	group.Wait()
	r.line("answers by status: %v; %d requests were run, %d results of another request were given to a request", answers.String(), ran, foreign)
	if ran < 8 {
		cannotRun("only %d requests were run", ran)
	}
	if foreign > 0 {
		return broken
	}
	return held
}
