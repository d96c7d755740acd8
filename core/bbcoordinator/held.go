package bbcoordinator

import (
	"maps"
	"slices"
	"time"

	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbprogress"
)

// failedCall tells what the failure of a call means for its pieces.
type failedCall struct {
	// counts is true if it costs the pieces a try, because the endpoint can have begun them.
	counts bool
	// final is true if pieces without tries left are given up. Those of a call that was lost go on while the service
	// has a sound endpoint: content that crashes endpoints is found by the reports of lost calls.
	final bool
	// denied is true if the retry budget has no room for another call and the service has no sound endpoint.
	denied bool
	// held gets the pieces if the retry budget has no room and there is a sound endpoint; otherwise it is nil.
	held *heldCall
}

// heldCall has the pieces of a failed call that wait for the retry budget. They are charged as one repeat.
type heldCall struct {
	pieces []heldPiece
}

// heldPiece is a piece that waits for the retry budget.
type heldPiece struct {
	job   *bbprogress.Job
	piece bbpool.Piece
}

// hold adds a failed call without pieces to those that wait for the retry budget of a service.
func (c *Coordinator) hold(service string) *heldCall {
	h := &heldCall{}
	c.held[service] = append(c.held[service], h)
	return h
}

// add adds pieces of a request. Their inputs are kept meanwhile.
func (h *heldCall) add(j *bbprogress.Job, stages map[int][]int) {
	for _, stage := range slices.Sorted(maps.Keys(stages)) {
		for _, k := range stages[stage] {
			p := &j.Stages[stage].Pieces[k]
			p.Held = true
			p.Fetched = false
			h.pieces = append(h.pieces, heldPiece{
				job: j,
				piece: bbpool.Piece{
					Job:   j.Order.ID,
					Stage: stage,
					Piece: k,
				},
			})
		}
	}
}

// waits reports whether a piece still waits: its request has not ended, and no late call has computed it.
func (c *Coordinator) waits(p heldPiece) bool {
	if c.jobs[p.piece.Job] != p.job {
		return false
	}
	state := &p.job.Stages[p.piece.Stage].Pieces[p.piece.Piece]
	return state.Held && state.Handle == ""
}

// probationReserve is the number of repeats that calls to endpoints on probation leave to the failures of others: those
// of some endpoints that fail at the same time.
const probationReserve = 5

// releaseHeld queues the pieces of failed calls again for which the retry budget has room, those first that have
// waited longest, and charges it.
func (c *Coordinator) releaseHeld(now time.Duration) {
	if c.leaving {
		// The requests are handed back once their running calls have ended.
		return
	}
	for service, p := range c.pools {
		p.SaveRepeats = c.retries.Of(service).Left(now) < probationReserve
	}
	for _, service := range slices.Sorted(maps.Keys(c.held)) {
		list := c.held[service]
		for len(list) > 0 {
			if slices.ContainsFunc(list[0].pieces, c.waits) && !c.retries.Of(service).Take(now, 1) {
				break
			}
			c.release(list[0])
			list = list[1:]
		}
		if c.held[service] = list; len(list) == 0 {
			delete(c.held, service)
		}
	}
}

// release queues the pieces of a failed call again.
func (c *Coordinator) release(h *heldCall) {
	again := make(map[string]bool)
	for _, p := range h.pieces {
		if !c.waits(p) {
			continue
		}
		st := &p.job.Stages[p.piece.Stage]
		st.Pieces[p.piece.Piece].Held = false
		st.Released = false
		again[p.piece.Job] = true
	}
	for _, id := range slices.Sorted(maps.Keys(again)) {
		c.schedule(c.jobs[id])
	}
}

// countRequest counts a request once for each service that it uses, however many of its stages a service runs: the
// retry budget is a fraction of the requests.
func (c *Coordinator) countRequest(now time.Duration, o bbjob.Order) {
	services := map[string]bool{
		o.Service: true,
	}
	for _, s := range o.Stages {
		if s.Pieces > 0 {
			services[s.Service] = true
		}
	}
	for service := range services {
		c.retries.Of(service).Request(now)
	}
}

// countHeld returns the number of pieces that wait for the retry budget, by service; nil if none does.
func (c *Coordinator) countHeld() map[string]int {
	if len(c.held) == 0 {
		return nil
	}
	n := make(map[string]int, len(c.held))
	for service, list := range c.held {
		for _, h := range list {
			for _, p := range h.pieces {
				if c.waits(p) {
					n[service]++
				}
			}
		}
	}
	return n
}

// countProbation returns the number of endpoints on probation, by service; nil if none is.
func (c *Coordinator) countProbation() map[string]int {
	var n map[string]int
	for service, p := range c.pools {
		if on := p.OnProbation(); on > 0 {
			if n == nil {
				n = make(map[string]int)
			}
			n[service] = on
		}
	}
	return n
}
