package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// stageSpec is the capacity of the workers of a stage service.
type stageSpec struct {
	batch      int
	call, item time.Duration
}

// stageQueue is the number of calls that may wait at a worker.
const stageQueue = 2

// handleTTL is how long a worker keeps a result.
const handleTTL = 4 * time.Second

// result is the result of a piece.
type result struct {
	id             string
	phase, segment int
	until          time.Time
}

// phases has the phases of the requests of a route: for each one those whose results its pieces need.
type phases [][]int

// bench has what the stage workers of a test know together, to judge what each is given.
type bench struct {
	test *test

	mu      sync.Mutex
	results map[string]result
	// routes has the phases of each request, pieces the number of its pieces.
	routes map[string]phases
	pieces map[string][]int
	wrong  []string
	// onCall is called when a worker begins a call.
	onCall func(w *stageWorker, entries []piece)
	// onDone is called before a worker answers a call.
	onDone func(w *stageWorker, entries []piece)
}

// expect registers a request before it is sent.
func (b *bench) expect(id string, route phases, pieces []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routes[id], b.pieces[id] = route, pieces
}

// check judges the inputs of a piece: it must have each result of each phase that its phase comes after, and no other.
// It reports whether all of them are kept.
func (b *bench) check(w *stageWorker, p piece) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := true
	route, known := b.routes[p.ID]
	if !known || p.Phase >= len(route) || p.Segment >= b.pieces[p.ID][p.Phase] {
		b.wrong = append(b.wrong, fmt.Sprintf("%s is asked for piece %d of phase %d of %q, which no client's request has", w.id, p.Segment, p.Phase, p.ID))
		return false
	}
	want := make(map[[2]int]bool)
	for _, before := range route[p.Phase] {
		for k := range b.pieces[p.ID][before] {
			want[[2]int{before, k}] = true
		}
	}
	for _, handle := range p.Inputs {
		r, ok := b.results[handle]
		place := [2]int{r.phase, r.segment}
		if !ok || r.id != p.ID || !want[place] {
			b.wrong = append(b.wrong, fmt.Sprintf("%s is given %q for piece %d of phase %d of %s: no such input of this request", w.id, handle, p.Segment, p.Phase, p.ID))
		}
		delete(want, place)
		kept = kept && ok && time.Now().Before(r.until)
	}
	if len(want) > 0 {
		b.wrong = append(b.wrong, fmt.Sprintf("%s is given the inputs %q for piece %d of phase %d of %s, %d are missing", w.id, p.Inputs, p.Segment, p.Phase, p.ID, len(want)))
		kept = false
	}
	return kept
}

// stageWorker runs the pieces of stages.
type stageWorker struct {
	test                       *test
	bench                      *bench
	spec                       stageSpec
	id, service, zone, address string
	born                       int64
	slot                       chan struct{}

	mu        sync.Mutex
	sequence  int
	running   int
	slow      float64
	restUntil time.Time
}

// addStageWorker starts a stage worker and its heartbeats.
func (b *bench) addStageWorker(id, service, zone, address string, spec stageSpec) *stageWorker {
	t := b.test
	w := &stageWorker{
		test: t, bench: b, spec: spec, id: id, service: service, zone: zone, address: address, born: time.Now().UnixMilli(),
		slot: make(chan struct{}, 1), slow: 1,
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.unable("%v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/bluebellhall/stage-run", w.run)
	mux.HandleFunc("/bluebellhall/stage-free", w.free)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	t.cleanup(func() { _ = server.Close() })
	w.beat()
	stop := make(chan struct{})
	t.cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				w.beat()
			}
		}
	}()
	return w
}

func (w *stageWorker) beat() {
	w.mu.Lock()
	w.sequence++
	entry := object{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 1, "state": "ready",
		"coldLeftMs": 0, "sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	w.test.put("servers/"+w.id, entry)
}

func (w *stageWorker) setSlow(x float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = x
}

// rest makes the worker turn calls away until a time, which it names.
func (w *stageWorker) rest(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restUntil = until
}

// piece is an item of a call.
type piece struct {
	ID          string   `json:"id"`
	Phase       int      `json:"phase"`
	Segment     int      `json:"segment"`
	RemainingMs float64  `json:"remainingMs"`
	Key         string   `json:"key"`
	Inputs      []string `json:"inputs"`
}

func (w *stageWorker) run(out http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var call struct {
		Entries []piece `json:"entries"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	for _, p := range call.Entries {
		w.test.rec.add("%s gets piece %d of phase %d of %s, key %q, inputs %q", w.id, p.Segment, p.Phase, p.ID, p.Key, p.Inputs)
	}
	w.mu.Lock()
	rest := time.Until(w.restUntil)
	if rest > 0 || w.running > stageQueue || len(call.Entries) > w.spec.batch {
		w.mu.Unlock()
		out.Header().Set("X-Not-Executed", "1")
		if rest > 0 {
			out.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', 3, 64))
		}
		out.WriteHeader(http.StatusServiceUnavailable)
		w.test.rec.add("%s turns the call away, rest %v", w.id, rest)
		return
	}
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	select {
	case w.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	type answered struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	w.bench.onCall(w, call.Entries)
	results := make([]answered, len(call.Entries))
	work := w.spec.call
	for i, p := range call.Entries {
		switch {
		case p.RemainingMs > 0 && time.Since(arrived) > time.Duration(p.RemainingMs*float64(time.Millisecond)):
			results[i].Reason = "late"
		case !w.bench.check(w, p):
			results[i].Reason = "gone"
		default:
			work += w.spec.item
		}
	}
	w.mu.Lock()
	slow := w.slow
	w.mu.Unlock()
	time.Sleep(time.Duration(slow * float64(work)))
	<-w.slot
	w.bench.mu.Lock()
	for i, p := range call.Entries {
		if results[i].Reason != "" {
			continue
		}
		var random [6]byte
		_, _ = rand.Read(random[:])
		results[i].Handle = w.address + "/" + hex.EncodeToString(random[:])
		w.bench.results[results[i].Handle] = result{id: p.ID, phase: p.Phase, segment: p.Segment, until: time.Now().Add(handleTTL)}
	}
	w.bench.mu.Unlock()
	w.bench.onDone(w, call.Entries)
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(object{"entries": results})
}

func (w *stageWorker) free(_ http.ResponseWriter, r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		return
	}
	w.bench.mu.Lock()
	defer w.bench.mu.Unlock()
	for _, h := range call.Handles {
		if one, ok := w.bench.results[h]; ok {
			one.until = time.Time{}
			w.bench.results[h] = one
		}
	}
}
