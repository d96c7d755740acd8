package bbcoordinator

import (
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbprogress"
	"bluebellhall/core/bbsuspect"
)

// maxPieceTries bounds the failed calls of one piece.
const maxPieceTries = 4

// schedule brings the queues in line with the results of a request, after any change of these: it has lost inputs
// computed again, takes pieces out of their pools that can't or needn't be sent now, and queues those that may start.
// Results that only the engine needs are computed last, so that they don't take up memory while others are pending.
func (c *Coordinator) schedule(j *bbprogress.Job) {
	if c.leaving {
		c.handBack(j)
		return
	}
	if c.room.Has(j.Order.ID) {
		return
	}
	j.ResetMissing()
	c.withdraw(j)
	for i, s := range j.Order.Stages {
		st := &j.Stages[i]
		if st.Released || s.Pieces == 0 || !j.InputsAvailable(i) || !j.Needed(i) || j.ShouldDefer(i) {
			continue
		}
		st.Released = true
		var left []int
		for k := range st.Pieces {
			if st.Pieces[k].Wanted() {
				left = append(left, k)
			}
		}
		if len(left) > 0 && !c.enqueue(j, i, left) {
			c.refuse(j.Order.ID, "noPool", minRetryAfter, 0)
			c.drop(j)
			return
		}
	}
	if j.Granted == "" && j.Done() {
		c.waiting[j.Order.ID] = j
	} else {
		delete(c.waiting, j.Order.ID)
	}
}

// The reasons of refusals of content that crashes endpoints, and of prompts with a part that crashes engines.
const (
	suspectReason     = "suspect"
	suspectPartReason = "suspectPart"
)

// suspicion returns the stricter of the verdicts of this VM and of the request's origin on the
// content of a request.
func (c *Coordinator) suspicion(j *bbprogress.Job) bbsuspect.Verdict {
	return max(c.env.Suspicion(j.Order.Fingerprint), j.Order.Suspicion)
}

// quarantineReason returns why a request must not reach any endpoint; empty if it may.
func (c *Coordinator) quarantineReason(j *bbprogress.Job) string {
	switch {
	case c.suspicion(j) == bbsuspect.Refused:
		return suspectReason
	case c.env.RefusesPrompt(j.Parts):
		return suspectPartReason
	}
	return ""
}

// enqueue puts pieces of a stage into its pool. It reports false if the service has none.
func (c *Coordinator) enqueue(j *bbprogress.Job, stage int, pieces []int) bool {
	s := j.Order.Stages[stage]
	p := c.pool(s.Service)
	if p == nil {
		return false
	}
	for _, k := range pieces {
		j.Stages[stage].Pieces[k].Queued = true
		j.Stages[stage].Pieces[k].Fetched = false
	}
	p.Add(&bbpool.Group{
		Job:         j.Order.ID,
		Stage:       stage,
		Left:        pieces,
		ResultBytes: s.ResultBytes,
		Due:         j.DueOf(stage),
		Started:     len(pieces) < s.Pieces,
		Watched:     c.suspicion(j) >= bbsuspect.Watched,
		Alone:       c.suspicion(j) >= bbsuspect.Alone,
		Limit:       j.Limit,
		Zone:        j.PreferredStageZone(stage),
		MoveBytes:   j.MoveBytes(stage, len(pieces)),
		Allowed:     c.allowed(j),
	})
	return true
}

// withdraw takes pieces out of their pools whose inputs are not available or whose results nothing needs any
// more. Those that are still needed are queued again once their inputs exist.
func (c *Coordinator) withdraw(j *bbprogress.Job) {
	for i, s := range j.Order.Stages {
		p := c.pools[s.Service]
		if p == nil || !j.Queued(i) || (j.Needed(i) && j.InputsAvailable(i)) {
			continue
		}
		for _, k := range p.Withdraw(j.Order.ID, i) {
			j.Stages[i].Pieces[k].Queued = false
			j.Stages[i].Released = false
		}
	}
}

// withhold removes the pieces from a call that must not be sent, and returns them, to be scheduled again. Schedule
// keeps such pieces out of the pools; if it fails to, no worker gets them.
func (c *Coordinator) withhold(call *bbpool.Call) []bbpool.Piece {
	removed := call.Remove(func(piece bbpool.Piece) bool { return !c.sendable(piece) })
	for _, piece := range removed {
		if j := c.jobs[piece.Job]; j != nil {
			j.Stages[piece.Stage].Pieces[piece.Piece].Queued = false
			j.Stages[piece.Stage].Released = false
		}
	}
	c.logPieces(removed, bbdecision.Event{
		Number:   bbevent.SendWithheld,
		Endpoint: call.Endpoint,
	})
	return removed
}

// sendable reports whether a piece may be sent: its request is in progress, it has no result, and its inputs exist.
func (c *Coordinator) sendable(piece bbpool.Piece) bool {
	j := c.jobs[piece.Job]
	return j != nil && j.Stages[piece.Stage].Pieces[piece.Piece].Handle == "" && j.InputsAvailable(piece.Stage)
}

// freeUnneeded releases the results of all stages that nothing needs any more.
func (c *Coordinator) freeUnneeded(j *bbprogress.Job) {
	for i := range j.Stages {
		if !j.Needed(i) {
			c.freeStage(j, i)
		}
	}
}

// PieceInputs returns the parameters of a piece in a call: the key of its request or the
// handles of its inputs. It returns false if the request no longer exists.
func (c *Coordinator) PieceInputs(p bbpool.Piece) (key string, inputs []string, ok bool) {
	j := c.jobs[p.Job]
	if j == nil {
		return "", nil, false
	}
	if len(j.Order.Stages[p.Stage].After) == 0 {
		return j.Order.Key, nil, true
	}
	return "", j.Inputs(p.Stage), true
}

// freeStage releases the results of a stage.
func (c *Coordinator) freeStage(j *bbprogress.Job, stage int) {
	c.free(j, stage, func(*bbprogress.Piece) bool { return true })
}

// free releases those results of a stage that satisfy a predicate. It reports whether there are
// any.
func (c *Coordinator) free(j *bbprogress.Job, stage int, which func(p *bbprogress.Piece) bool) bool {
	found := false
	for k := range j.Stages[stage].Pieces {
		p := &j.Stages[stage].Pieces[k]
		if p.Handle == "" || p.Freed || !which(p) {
			continue
		}
		p.Freed = true
		found = true
		c.freed[p.Address] = append(c.freed[p.Address], p.Handle)
		if pool := c.pools[j.Order.Stages[stage].Service]; pool != nil {
			pool.Free(p.Producer, p.Handle)
		}
	}
	if found {
		j.UnreportedFreed = append(j.UnreportedFreed, stage)
	}
	return found
}

// drop removes a request and releases its results.
func (c *Coordinator) drop(j *bbprogress.Job) {
	id := j.Order.ID
	delete(c.jobs, id)
	delete(c.waiting, id)
	c.room.Remove(id)
	for i := range j.Stages {
		c.freeStage(j, i)
		if p := c.pools[j.Order.Stages[i].Service]; p != nil {
			p.Drop(id)
		}
	}
}
