package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a worker.
type arrival struct {
	id   string
	at   time.Time
	cold bool
}

// worker is a model worker: it answers with a stream of events.
type worker struct {
	test                       *test
	id, service, zone, address string
	born                       int64
	firstToken, pause          time.Duration

	mu        sync.Mutex
	server    *http.Server
	down      bool
	coldUntil time.Time
	sequence  int
	running   int
	arrivals  []arrival
	runs      map[string]int
}

const workerSlots = 96

// addWorker starts a model worker and its heartbeats.
func (t *test) addWorker(id, service, zone, address string) *worker {
	w := &worker{
		test: t, id: id, service: service, zone: zone, address: address,
		born: time.Now().UnixMilli(), firstToken: 40 * time.Millisecond, pause: 10 * time.Millisecond,
		runs: make(map[string]int),
	}
	w.listen()
	t.cleanup(func() { _ = w.current().Close() })
	w.beat()
	stop := make(chan struct{})
	t.cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				if !w.isDown() {
					w.beat()
				}
			}
		}
	}()
	return w
}

// listen serves the worker's address.
func (w *worker) listen() {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		w.test.unable("%v", err)
	}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(l) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.server = server
}

func (w *worker) current() *http.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server
}

func (w *worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// crash ends the worker with all that it runs. It is back under its id after a time, as a new process that is cold.
func (w *worker) crash(d time.Duration) {
	w.mu.Lock()
	w.down = true
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(d, func() {
		w.listen()
		w.mu.Lock()
		w.down = false
		w.born, w.sequence = time.Now().UnixMilli(), 0
		w.coldUntil = time.Now().Add(3 * time.Second)
		w.mu.Unlock()
		w.beat()
	})
}

// began returns when the worker began to run an attempt first, and whether it did.
func (w *worker) began(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.id == id {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// coldLeft returns how much longer the worker is cold; the caller holds the lock.
func (w *worker) coldLeft() time.Duration {
	return max(0, time.Until(w.coldUntil))
}

// beat writes the worker's entry.
func (w *worker) beat() {
	w.mu.Lock()
	w.sequence++
	entry := object{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": workerSlots, "state": "ready",
		"coldLeftMs": w.coldLeft().Milliseconds(), "sequence": w.sequence, "born": w.born,
		"phase": "both", "modelList": []object{{"name": "m", "version": 1, "loras": []string{}}},
	}
	w.mu.Unlock()
	w.test.put("servers/"+w.id, entry)
}

// turnCold makes the worker cold, which it tells at once.
func (w *worker) turnCold(d time.Duration) {
	w.mu.Lock()
	w.coldUntil = time.Now().Add(d)
	w.mu.Unlock()
	w.beat()
	w.test.rec.add("%s turns cold for %v", w.id, d)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		out.Header().Set("X-Not-Executed", "1")
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		w.test.rec.add("%s answers 421 to %s, which is for %s", w.id, id, want)
		return
	}
	w.mu.Lock()
	cold := w.coldLeft() > 0
	w.arrivals = append(w.arrivals, arrival{id: id, at: time.Now(), cold: cold})
	if id == "" || w.running >= workerSlots {
		w.mu.Unlock()
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	w.runs[id]++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	w.test.rec.add("%s runs %s, cold %t, %d bytes, time left %s ms", w.id, id, cold, len(body), r.Header.Get("X-Deadline-Ms"))
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	events, _ := strconv.Atoi(output)
	events = max(1, events/5)
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Response-Signature", id+"."+w.id)
	out.Header().Set("X-Weight-Versions", "1")
	flush := http.NewResponseController(out)
	time.Sleep(w.firstToken)
	// Without the header the stream begins at the first event.
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= events; i++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s %d of %d\n\n", i, id, i, events); err != nil || flush.Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(w.pause)
	}
}

// mostInASecond returns the largest number of arrivals in a second that reached the worker while it was cold, and
// when that second began.
func (w *worker) mostInASecond() (most int, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var cold []arrival
	for _, a := range w.arrivals {
		if a.cold {
			cold = append(cold, a)
		}
	}
	for i := range cold {
		n := 0
		for _, a := range cold[i:] {
			if a.at.Sub(cold[i].at) < time.Second {
				n++
			}
		}
		if n > most {
			most, from = n, cold[i].at
		}
	}
	return most, from
}
