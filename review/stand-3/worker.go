package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of one worker. It registers itself, checks X-Expect-Instance, answers its health path and
// signs its answers.
type worker struct {
	id, service, zone, address string
	slots, queue               int
	store                      *store
	// work is how long a plain request runs; engine is true for workers that write streams.
	work   time.Duration
	engine bool
	// pause is the time between the events of a stream; 0 for eventPause.
	pause time.Duration
	// onArrival is called with each request that reaches the worker and names it; a worker that answers 421 doesn't
	// call it. It returns true if the worker crashes by it.
	onArrival func(w *worker, id string) (crashes bool)

	mu      sync.Mutex
	server  *http.Server
	up      bool
	version string
	born    int64
	cold    time.Time
	stop    chan struct{}
	running int
	waiting int
	slot    chan struct{}
	beats   int
}

// boot starts the worker under a version of its software; its first entry in the store is written after firstBeat.
func (w *worker) boot(version string, coldFor, firstBeat time.Duration) {
	l, err := net.Listen("tcp", w.address)
	for i := 0; err != nil && i < 40; i++ {
		time.Sleep(25 * time.Millisecond)
		l, err = net.Listen("tcp", w.address)
	}
	if err != nil {
		cannotRun("worker %s: %v", w.id, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version, w.born, w.cold = version, time.Now().UnixMilli(), time.Now().Add(coldFor)
	w.up, w.stop, w.running, w.waiting = true, make(chan struct{}), 0, 0
	w.slot = make(chan struct{}, w.slots)
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	record("worker %s up version=%s cold=%v", w.id, version, coldFor)
	go w.beat(w.stop, firstBeat)
}

// beat writes the worker's entry about every heartbeat.
func (w *worker) beat(stop chan struct{}, first time.Duration) {
	wait := first
	for {
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		w.mu.Lock()
		w.beats++
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots,
			"state": "ready", "coldLeftMs": max(0, time.Until(w.cold).Milliseconds()), "sequence": w.beats, "born": w.born,
		}
		w.mu.Unlock()
		if w.store.put("servers/"+w.id, entry) && w.beats == 1 || wait == first {
			record("worker %s wrote its entry version=%s", w.id, entry["version"])
		}
		wait = heartbeat
	}
}

// crash ends the worker at once, with all its channels.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	close(w.stop)
	_ = w.server.Close()
	record("worker %s crashed", w.id)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	version, cold, stop, slot := w.version, w.cold, w.stop, w.slot
	running, waiting := w.running, w.waiting
	w.mu.Unlock()
	if r.URL.Path == "/healthz" {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.Header().Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", running, waiting, w.slots))
		if left := time.Until(cold); left > 0 {
			rw.Header().Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	if r.URL.Path == "/bluebellhall/report" {
		writeJSON(rw, map[string]any{"phase": "both", "modelList": []any{map[string]any{"name": "m", "version": 1, "loras": []any{}}},
			"busy": false, "sequence": 0, "queued": waiting, "active": running, "kvInUse": 0, "kvSize": 250000, "handles": 0, "born": w.born})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.onArrival != nil && w.onArrival(w, id) {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	if id == "" {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	full := w.running >= w.slots && w.waiting >= w.queue
	if !full {
		w.waiting++
	}
	w.mu.Unlock()
	if full {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	dropped := false
	select {
	case slot <- struct{}{}:
	case <-r.Context().Done():
		dropped = true
	case <-stop:
		dropped = true
	}
	w.mu.Lock()
	w.waiting--
	if !dropped {
		w.running++
	}
	w.mu.Unlock()
	if dropped {
		panic(http.ErrAbortHandler)
	}
	defer func() {
		<-slot
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	record("run %s at %s", id, w.id)
	rw.Header().Set("X-Response-Signature", "sig."+id+"."+w.id)
	if w.engine {
		w.stream(rw, r, id, version, stop)
		return
	}
	select {
	case <-time.After(w.work):
	case <-stop:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	text := fmt.Sprintf("%s %s %d", id, r.RequestURI, len(body))
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
}

const eventPause = 60 * time.Millisecond

// stream writes the events after Last-Event-Id. Each names the version of the software that wrote it.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id, version string, stop chan struct{}) {
	_, text, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, err := strconv.Atoi(text)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Weight-Versions", "1")
	c := http.NewResponseController(rw)
	for n := last + 1; n <= tokens/4; n++ {
		select {
		case <-time.After(cmp.Or(w.pause, eventPause)):
		case <-stop:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: software=%s worker=%s n=%d of=%d\n\n", n, version, w.id, n, tokens/4); err != nil {
			return
		}
		if c.Flush() != nil {
			return
		}
	}
}
