package bbscene

import (
	"fmt"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
)

// worker models an endpoint that runs one call after another.
type worker struct {
	spec bbcatalog.Pool
	// factor multiplies the duration of its calls; 1 is nominal.
	factor float64
	queue  []workerCall
	// current is the call in progress; nil if there is none.
	current *workerCall
	// failure is set while the worker fails.
	failure *Failure
	// spells are the times at which the worker's machine becomes slow.
	spells      []time.Duration
	results     map[string]storedResult
	resultCount int
}

// workerCall is a call that a worker has accepted.
type workerCall struct {
	run func()
	// breakOff answers it as broken.
	breakOff func()
}

// storedResult is a result in a worker's memory.
type storedResult struct {
	bytes float64
	// expires is 0 while the call that computes the result is in progress.
	expires time.Duration
}

func newWorker(spec bbcatalog.Pool) *worker {
	return &worker{
		spec:    spec,
		factor:  1,
		results: make(map[string]storedResult),
	}
}

// free deletes results.
func (w *worker) free(handles []string) {
	for _, h := range handles {
		delete(w.results, h)
	}
}

// used deletes expired results and returns the memory that the others take, in bytes.
func (w *worker) used(now time.Duration) float64 {
	sum := 0.0
	for h, r := range w.results {
		if r.expires > 0 && now >= r.expires {
			delete(w.results, h)
			continue
		}
		sum += r.bytes
	}
	return sum
}

// call sends a call to its endpoint.
func (s *Scene) call(c *bbpool.Call) {
	inputs := make([][]string, len(c.Pieces))
	for i, p := range c.Pieces {
		_, handles, _ := s.Coordinator.PieceInputs(p)
		inputs[i] = handles
	}
	coordinator := s.Coordinator
	s.countRepeats(c)
	answer := func(o bbhealth.Outcome, results []bbdecision.PieceResult) {
		s.countFailure(c, o)
		slowness, _ := s.slowness(s.workers[c.Endpoint])
		s.after(s.settings.Latency, func() {
			if s.Coordinator == coordinator {
				s.report(c.Endpoint, slowness)
				s.decide(func() bbdecision.Output { return coordinator.CallDone(s.Now, c.ID, s.zoneOf(c), o, results) })
			}
		})
	}
	w := s.workers[c.Endpoint]
	s.Totals.Calls++
	s.Totals.Capacity += w.spec.Batch
	s.after(2*s.settings.Latency, func() {
		if f := w.failure; f != nil {
			s.after(f.After, func() { answer(f.Outcome, nil) })
			return
		}
		if len(w.queue) >= w.spec.Queue {
			answer(bbhealth.OutcomeFull, nil)
			return
		}
		w.queue = append(w.queue, workerCall{
			run:      func() { s.work(w, c, inputs, answer) },
			breakOff: func() { answer(bbhealth.OutcomeBroken, nil) },
		})
		s.startNext(w)
	})
}

// zoneOf returns the failure domain of a call's endpoint.
func (s *Scene) zoneOf(c *bbpool.Call) string {
	for _, e := range s.entries[c.Service] {
		if e.ID == c.Endpoint {
			return e.Zone
		}
	}
	return ""
}

// startNext runs the next queued call of a worker if it is idle.
func (s *Scene) startNext(w *worker) {
	if w.current != nil || len(w.queue) == 0 {
		return
	}
	next := w.queue[0]
	w.current = &next
	w.queue = w.queue[1:]
	next.run()
}

// work runs the pieces of a call on a worker.
func (s *Scene) work(w *worker, c *bbpool.Call, inputs [][]string, answer func(bbhealth.Outcome, []bbdecision.PieceResult)) {
	results := make([]bbdecision.PieceResult, len(c.Pieces))
	room := w.spec.ResultMemoryBytes - w.used(s.Now)
	n := 0
	for i := range c.Pieces {
		for _, h := range inputs[i] {
			if !s.exists(h) {
				results[i].InputMissing = true
			}
		}
		switch {
		case results[i].InputMissing:
			s.countMissingInputs(c, i)
			continue
		case room < c.Sizes[i]:
			results[i].StorageFull = true
			s.Totals.StorageFull++
			continue
		}
		room -= c.Sizes[i]
		w.resultCount++
		n++
		results[i].Handle = fmt.Sprintf("%s/%d", c.Endpoint, w.resultCount)
		w.results[results[i].Handle] = storedResult{
			bytes: c.Sizes[i],
		}
	}
	s.Totals.Pieces += n
	took := s.workTime(w, w.spec.CallTime+time.Duration(n)*w.spec.PieceTime)
	if n == 0 {
		took = time.Millisecond
	}
	current := w.current
	s.after(took, func() {
		if w.current != current {
			// The worker has failed meanwhile.
			return
		}
		for _, r := range results {
			if k, ok := w.results[r.Handle]; ok {
				k.expires = s.Now + w.spec.ResultTTL
				w.results[r.Handle] = k
			}
		}
		w.current = nil
		answer(bbhealth.OutcomeGood, results)
		s.startNext(w)
	})
}

// countMissingInputs counts a piece whose inputs are no longer stored, unless its result was meanwhile
// computed in another call.
func (s *Scene) countMissingInputs(c *bbpool.Call, i int) {
	p := c.Pieces[i]
	for _, m := range s.KnownResults[p.Job] {
		if m.Stage == p.Stage && m.Piece == p.Piece {
			return
		}
	}
	s.Totals.MissingInputs++
	if s.Trace != nil {
		s.Trace(fmt.Sprintf("%v: inputs of %v in call %d of %s are no longer stored", s.Now, p, c.ID, c.Endpoint))
	}
}

// engine models an engine that processes one prompt after another and caches their parts.
type engine struct {
	// busyUntil is when the prefill of all prompts so far ends.
	busyUntil time.Duration
	cached    map[string]bool
}

func newEngine() *engine {
	return &engine{
		cached: make(map[string]bool),
	}
}

// timeToFirstToken adds a prompt that arrives now and returns the time until its first token.
func (e *engine) timeToFirstToken(now time.Duration, p bbjob.Prompt) time.Duration {
	unread := float64(p.Tokens)
	for _, part := range p.Parts {
		if !e.cached[part.ID] {
			break
		}
		unread -= float64(part.Tokens)
	}
	for _, part := range p.Parts {
		e.cached[part.ID] = true
	}
	e.busyUntil = max(e.busyUntil, now) + time.Duration(unread/prefillTokensPerMs*float64(time.Millisecond))
	return e.busyUntil - now + firstToken
}
