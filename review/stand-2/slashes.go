package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// slashes: clients whose paths begin with two slashes, on a route with the prefix "/".
func slashes(r *record) int {
	f := newFleet(r)
	type sent struct{ method, target, body string }
	var mu sync.Mutex
	asked := make(map[string]sent)
	changedTargets, runs := 0, 0
	for i, z := range zones {
		w := &worker{
			id:      fmt.Sprintf("i-ledger%d", i),
			service: "lot-ledger",
			zone:    z,
			address: f.workerAddress(i),
			run: func(w *worker, q request, c net.Conn) {
				id := q.header.Get("X-Attempt-Id")
				mu.Lock()
				s := asked[id]
				runs++
				same := q.method == s.method && q.target == s.target && string(q.body) == s.body
				if !same {
					changedTargets++
				}
				mu.Unlock()
				r.line("worker %s runs %s: %s %q, the client sent %s %q, same: %t", w.id, id, q.method, q.target, s.method, s.target, same)
				time.Sleep(20 * time.Millisecond)
				answer(c, 200, w.signed(q), []byte("done "+id))
			},
		}
		w.start()
		atEnd(w.crash)
		f.putWorker(w.id, w.service, w.address, z, 6, 0, w.born)
	}
	f.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "confirm", "hostname": "lots.example", "prefix": "/", "kind": "non_idempotent", "timeoutMs": 1500, "sloMs": 200,
			"priority": 1, "service": "lot-ledger", "maxAttempts": 1, "phases": []any{}, "anonymous": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "lot-ledger", "healthPath": "/healthz", "maxConnections": 100, "coldStartS": 0, "coldPerS": 0}},
		"limits":   limits,
		"tenants":  tenants,
	})
	f.addVMs()
	f.startVMs()
	target := "/lots/%d?part=2"
	if trouble() {
		target = "//lots/%d?part=2"
	}
	for n := range 21 {
		v := f.vms[n%len(f.vms)]
		id := fmt.Sprintf("attempt-%d", n)
		s := sent{"POST", fmt.Sprintf(target, n), "lot " + id}
		mu.Lock()
		asked[id] = s
		mu.Unlock()
		status, body, err := exchange(v.front, s.method, s.target, id, s.body)
		r.line("client sent %s: %s %q to %s; answer %d %q %v", id, s.method, s.target, v.name, status, body, err)
	}
	mu.Lock()
	defer mu.Unlock()
	r.line("%d runs, %d of them with a changed method, path, query or body", runs, changedTargets)
	if runs < 21 && !trouble() {
		cannotRun("only %d of 21 requests were run", runs)
	}
	if changedTargets > 0 {
		return broken
	}
	return held
}

// exchange sends one request on a channel of its own, exactly as given.
func exchange(address, method, target, id, body string, headers ...string) (int, string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: lots.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-of-coop\r\nContent-Length: %d\r\n",
		method, target, id, len(body))
	for _, h := range headers {
		fmt.Fprintf(c, "%s\r\n", h)
	}
	fmt.Fprintf(c, "\r\n%s", body)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(a.Body)
	return a.StatusCode, string(data), err
}
