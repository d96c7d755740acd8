package bbscene

import (
	"time"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbpool"
)

// Failure is how a worker fails the calls that reach it.
type Failure struct {
	// Outcome is that of each call, After the time from its arrival to its end.
	Outcome bbhealth.Outcome
	After   time.Duration
}

// Failures counts what failures of workers have affected.
type Failures struct {
	// Calls counts the calls that failed, Pieces the pieces in them by endpoint.
	Calls  int
	Pieces map[string]int
	// Repeats has the time of each repeat: one for each failed call that may have reached its worker, when the
	// first of its pieces was sent again.
	Repeats []time.Duration
	// failed has the last failed call of each piece that has not been sent again.
	failed map[bbpool.Piece]*failedCall
}

// failedCall is a failed call that may have reached its worker.
type failedCall struct {
	repeated bool
}

// SetFailing makes a worker fail from now on. Its results are lost, and the calls that it has accepted break.
func (s *Scene) SetFailing(endpoint string, f Failure) {
	w := s.workers[endpoint]
	lost := w.queue
	if w.current != nil {
		lost = append([]workerCall{*w.current}, lost...)
	}
	w.failure = &f
	w.queue = nil
	w.current = nil
	clear(w.results)
	for _, call := range lost {
		call.breakOff()
	}
}

// SetWorking ends the failure of a worker.
func (s *Scene) SetWorking(endpoint string) {
	s.workers[endpoint].failure = nil
}

// countFailure counts a call that failed.
func (s *Scene) countFailure(c *bbpool.Call, o bbhealth.Outcome) {
	if o == bbhealth.OutcomeGood {
		return
	}
	s.Failures.Calls++
	s.Failures.Pieces[c.Endpoint] += len(c.Pieces)
	if !o.Sent() {
		return
	}
	f := &failedCall{}
	for _, piece := range c.Pieces {
		s.Failures.failed[piece] = f
	}
}

// countRepeats counts the failed calls whose pieces are sent again in a call.
func (s *Scene) countRepeats(c *bbpool.Call) {
	for _, piece := range c.Pieces {
		f := s.Failures.failed[piece]
		if f == nil {
			continue
		}
		delete(s.Failures.failed, piece)
		if !f.repeated {
			f.repeated = true
			s.Failures.Repeats = append(s.Failures.Repeats, s.Now)
		}
	}
}
