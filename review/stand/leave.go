package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bookPath = "/bobo563/lo7/"
	// bookWork is how long a booking takes, and leaveAfter when a client leaves: a third of the objective.
	bookWork   = 200 * time.Millisecond
	leaveAfter = 100 * time.Millisecond
)

// desk is a worker of a plain service. It drops a request whose channel closes.
type desk struct {
	test *test
	id   string
}

func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != d.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d.test.rec.add("%s runs %s", d.id, id)
	select {
	case <-time.After(bookWork):
	case <-r.Context().Done():
		d.test.rec.add("%s drops %s, whose channel was closed", d.id, id)
		return
	}
	w.Header().Set("X-Response-Signature", id+"."+d.id)
	_, _ = w.Write(append([]byte("booked "), body...))
}

// leave lets some clients leave before they have an answer: they close their side of the channel, and read until the
// other side is closed too.
func leave(t *test) {
	t.put("op/config", object{
		"version": 1,
		"routes": []object{{
			"name": "r-book", "hostname": host, "prefix": bookPath, "kind": "non_idempotent", "timeoutMs": 1500, "sloMs": 300, "priority": 2,
			"service": "wuno96b", "maxAttempts": 1, "phases": []object{}, "anonymous": false, "sticky": false, "resumable": false, "allowedRegions": []string{},
		}},
		"services": []object{{"name": "wuno96b", "healthPath": "/healthz", "maxConnections": 49, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": "bozi300", "apiKeys": []string{key}, "priority": 1, "allowedRegions": []string{}}},
	})
	for i, z := range zones {
		d := &desk{test: t, id: fmt.Sprintf("i-02d9e6b%d", i)}
		address := fmt.Sprintf("%s.%d:8080", t.network, 200+i)
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.unable("%v", err)
		}
		server := &http.Server{Handler: d}
		go func() { _ = server.Serve(l) }()
		t.cleanup(func() { _ = server.Close() })
		born := time.Now().UnixMilli()
		beat := func(sequence int) {
			t.put("servers/"+d.id, object{
				"service": "wuno96b", "address": address, "zone": z, "version": "v1", "slots": 6, "state": "ready",
				"coldLeftMs": 0, "sequence": sequence, "born": born,
			})
		}
		beat(1)
		stop := make(chan struct{})
		t.cleanup(func() { close(stop) })
		go func() {
			for n := 2; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(1200 * time.Millisecond):
					beat(n)
				}
			}
		}()
	}
	for _, z := range machineZones {
		t.addMachine(z)
	}
	t.startAll()
	time.Sleep(time.Second)
	var all sync.WaitGroup
	var wrong, good atomic.Int64
	for i := range 60 {
		all.Add(1)
		leaves := t.trouble && i%5 == 0
		time.AfterFunc(time.Duration(i)*100*time.Millisecond, func() {
			defer all.Done()
			status, signed := t.book(t.machines[i%len(t.machines)], leaves)
			switch {
			case status/100 == 2 && !signed:
				wrong.Add(1)
			case status/100 == 2:
				good.Add(1)
			}
		})
	}
	all.Wait()
	if good.Load() < 30 {
		t.unable("only %d of 60 bookings were served", good.Load())
	}
	t.verdict(wrong.Load() > 0, "%d clients got a success without a worker's receipt; %d bookings were served", wrong.Load(), good.Load())
}

// book sends a booking on a new channel, and returns the status of the answer and whether it has a receipt.
func (t *test) book(m *machine, leaves bool) (status int, signed bool) {
	id := newID()
	c, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return 0, false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	body := "blanket " + id
	t.rec.add("client sends %s to %s, leaves %t", id, m.name, leaves)
	fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		bookPath, host, id, key, len(body), body)
	if leaves {
		time.Sleep(leaveAfter)
		_ = c.(*net.TCPConn).CloseWrite()
		t.rec.add("client leaves %s", id)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.rec.add("client gets no answer to %s: %v", id, err)
		return 0, false
	}
	data, err := io.ReadAll(answer.Body)
	signed = answer.Header.Get("X-Response-Signature") != ""
	t.rec.add("client gets %d to %s, body %q, whole %t, receipt %t", answer.StatusCode, id, data, err == nil, signed)
	return answer.StatusCode, signed
}
