package bbcoordinator

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbprogress"
	"bluebellhall/core/bbsuspect"
)

// runningCall is a call that has not ended.
type runningCall struct {
	*bbpool.Call
	// jobs has the request of each piece.
	jobs []*bbprogress.Job
}

// newRunningCall returns a call with the requests of its pieces.
func (c *Coordinator) newRunningCall(call *bbpool.Call) *runningCall {
	r := &runningCall{
		Call: call,
		jobs: make([]*bbprogress.Job, 0, len(call.Pieces)),
	}
	for _, piece := range call.Pieces {
		r.jobs = append(r.jobs, c.jobs[piece.Job])
	}
	return r
}

// job returns the request of the piece at an index of a call; nil once it has ended. A request that its origin
// ordered again after that is another one: its pieces aren't those of the call.
func (c *Coordinator) job(call *runningCall, i int) *bbprogress.Job {
	if j := call.jobs[i]; j != nil && c.jobs[j.Order.ID] == j {
		return j
	}
	return nil
}

// CallDone handles the end of a call. Results are in the order of its pieces; there are
// none unless the outcome is good.
func (c *Coordinator) CallDone(now time.Duration, id uint64, zone string, o bbhealth.Outcome, results []bbdecision.PieceResult) bbdecision.Output {
	call := c.calls[id]
	if call == nil {
		return c.decide(now)
	}
	delete(c.calls, id)
	p := c.pool(call.Service)
	made, full := bbdecision.ResultSizes(call.Call, results)
	counts := !full && p.CanHaveBegun(now, call.Call, o)
	before := p.Probation(call.Endpoint)
	p.Done(now, call.Call, o, made)
	if full && o == bbhealth.OutcomeGood {
		p.MarkMemoryFull(now, call.Endpoint)
	}
	c.log(bbdecision.Event{
		Number:   bbevent.CallDone,
		Call:     id,
		Endpoint: call.Endpoint,
		Service:  call.Service,
		Pieces:   len(call.Pieces),
		Detail:   bbdecision.Describe(call.Call, o, results),
		Value:    now - call.Sent,
	})
	c.logProbation(now, call.Call, o, before, p.Probation(call.Endpoint))
	switch o {
	case bbhealth.OutcomeBroken:
		c.reportLostCall(now, call)
	case bbhealth.OutcomeGood, bbhealth.OutcomeFull:
		c.env.Answered(call.Endpoint)
	}
	if o == bbhealth.OutcomeFull || o == bbhealth.OutcomeHeld {
		// The endpoint may have requested backoff.
		c.supply.Update(call.Service, p)
	}
	retry := make(bbpool.ByJob)
	for i, piece := range call.Pieces {
		j := c.job(call, i)
		if j != nil && !call.Overdue {
			j.Stages[piece.Stage].Pieces[piece.Piece].Calls--
		}
		if i < len(results) && results[i].Handle != "" {
			c.storeResult(now, call.Call, zone, j, piece, results[i].Handle)
			continue
		}
		if j == nil || j.Stages[piece.Stage].Pieces[piece.Piece].Handle != "" || !j.Needed(piece.Stage) {
			continue
		}
		if i < len(results) && results[i].Expired {
			c.refuse(piece.Job, "deadline", minRetryAfter, now-j.Arrived)
			c.drop(j)
			continue
		}
		if i < len(results) && results[i].InputMissing {
			c.loseInputs(j, piece.Stage, call.Sent)
		}
		if !j.Stages[piece.Stage].Pieces[piece.Piece].Wanted() {
			continue
		}
		retry.Add(piece)
	}
	mayRepeat := len(retry) == 0 || full || !o.Sent() || c.retries.Of(call.Service).Take(now, 1)
	sound := p.HasSound(now)
	var held *heldCall
	if !mayRepeat && sound {
		held = c.hold(call.Service)
	}
	for _, job := range slices.Sorted(maps.Keys(retry)) {
		c.retryPieces(now, c.jobs[job], retry[job], failedCall{
			counts: counts,
			// An endpoint that answered did not fail: the cause may be the piece.
			final:  o == bbhealth.OutcomeGood || !sound,
			denied: !mayRepeat && !sound,
			held:   held,
		})
	}
	var previous *bbprogress.Job
	for i := range call.Pieces {
		j := c.job(call, i)
		// The pieces of a request are next to each other.
		if j != nil && j != previous {
			c.schedule(j)
		}
		previous = j
	}
	return c.decide(now)
}

// reportLostCall records that the requests with pieces in a call may have crashed its endpoint, also those that have
// ended meanwhile.
func (c *Coordinator) reportLostCall(now time.Duration, call *runningCall) {
	reported := make(map[string]bool)
	for i, piece := range call.Pieces {
		j := call.jobs[i]
		if j == nil || reported[piece.Job] {
			continue
		}
		reported[piece.Job] = true
		c.env.RecordLoss(j.Order.Fingerprint, bbsuspect.Run{
			ID:       bbsuspect.RunID(piece.Job, strconv.FormatUint(call.ID, 10)+" at "+call.Endpoint),
			Endpoint: call.Endpoint,
			Began:    call.Sent,
			Ended:    now,
		})
	}
}

// loseInputs releases the inputs of a stage that existed when a call was sent, so that they are
// computed again: the call found some of them missing, and it isn't known which.
func (c *Coordinator) loseInputs(j *bbprogress.Job, stage int, sent time.Duration) {
	lost := false
	for _, before := range j.Order.Stages[stage].After {
		lost = c.free(j, before, func(p *bbprogress.Piece) bool { return p.CompletedAt <= sent }) || lost
	}
	if lost {
		c.log(bbdecision.Event{
			Number: bbevent.InputsGone,
			Job:    j.Order.ID,
			Detail: strconv.Itoa(stage),
		})
	}
}

// importResults takes over the results that an earlier coordinator obtained.
func (c *Coordinator) importResults(now time.Duration, j *bbprogress.Job) {
	for _, m := range j.Order.Results {
		if m.Stage >= len(j.Stages) || m.Piece >= len(j.Stages[m.Stage].Pieces) {
			continue
		}
		p := &j.Stages[m.Stage].Pieces[m.Piece]
		if p.Handle != "" {
			continue
		}
		p.Handle = m.Handle
		p.Producer = m.Producer
		p.Address = m.Address
		p.Zone = m.Zone
		p.CompletedAt = now
		p.Freed = m.Freed || (j.Order.InputsGone && j.FeedsEngineOnly(m.Stage))
		j.Stages[m.Stage].Left--
		if pool := c.pool(j.Order.Stages[m.Stage].Service); pool != nil && !m.Freed {
			pool.Adopt(now, m.Producer, m.Handle, j.Order.Stages[m.Stage].ResultBytes)
		}
	}
	// What has to be computed again determines which other results are needed.
	j.ResetMissing()
	c.freeUnneeded(j)
}

// storeResult stores the result of one piece, or frees it if it isn't needed.
func (c *Coordinator) storeResult(now time.Duration, call *bbpool.Call, zone string, j *bbprogress.Job, piece bbpool.Piece, handle string) {
	if j == nil || j.Stages[piece.Stage].Pieces[piece.Piece].Handle != "" || !j.Needed(piece.Stage) {
		c.freed[call.Address] = append(c.freed[call.Address], handle)
		c.pool(call.Service).Free(call.Endpoint, handle)
		return
	}
	st := &j.Stages[piece.Stage]
	made := &st.Pieces[piece.Piece]
	made.Handle = handle
	made.Producer = call.Endpoint
	made.Address = call.Address
	made.Zone = zone
	made.CompletedAt = now
	made.Expires = now + c.pool(call.Service).Spec.ResultTTL
	st.Left--
	if made.Queued {
		// The piece was queued again because this call is late.
		made.Queued = false
		c.pool(call.Service).Remove(piece)
	}
	if st.Left > 0 {
		return
	}
	c.log(bbdecision.Event{
		Number: bbevent.StageDone,
		Job:    piece.Job,
		Detail: strconv.Itoa(piece.Stage),
		Value:  now - j.Arrived,
	})
	c.update(j, j.ResultsOf(piece.Stage))
	// The inputs of a finished stage are released unless another stage needs them.
	c.freeUnneeded(j)
}

// retryPieces queues the pieces of a failed call again, holds them until the retry budget has room, or refuses their
// request.
func (c *Coordinator) retryPieces(now time.Duration, j *bbprogress.Job, stages map[int][]int, failed failedCall) {
	if j == nil {
		return
	}
	refused := failed.denied
	for stage, pieces := range stages {
		for _, k := range pieces {
			p := &j.Stages[stage].Pieces[k]
			if failed.counts {
				p.Tries++
			}
			refused = refused || failed.final && p.Tries >= maxPieceTries
		}
		j.Stages[stage].Released = false
	}
	if c.leaving {
		c.handBack(j)
		return
	}
	id := j.Order.ID
	if refused {
		c.refuse(id, "stageFailed", minRetryAfter, now-j.Arrived)
		c.drop(j)
		return
	}
	if reason := c.quarantineReason(j); reason != "" {
		c.refuse(id, reason, bbsuspect.RetryAfter, now-j.Arrived)
		c.drop(j)
		return
	}
	if failed.held != nil {
		failed.held.add(j, stages)
	}
	c.schedule(j)
}

// hedge queues the pieces of an overdue call again, so that another endpoint computes them too.
func (c *Coordinator) hedge(now time.Duration, call *runningCall) {
	again := make(bbpool.ByJob)
	for i, piece := range call.Pieces {
		j := c.job(call, i)
		if j == nil {
			continue
		}
		p := &j.Stages[piece.Stage].Pieces[piece.Piece]
		p.Calls--
		if !p.Wanted() {
			continue
		}
		again.Add(piece)
	}
	for _, id := range slices.Sorted(maps.Keys(again)) {
		j := c.jobs[id]
		for _, stage := range slices.Sorted(maps.Keys(again[id])) {
			pieces := again[id][stage]
			detail := bbdecision.DescribePieces(stage, pieces)
			if j.Needed(stage) && j.InputsAvailable(stage) && c.retries.Of(j.Order.Stages[stage].Service).Take(now, 1) && c.enqueue(j, stage, pieces) {
				detail += " queued"
			}
			c.log(bbdecision.Event{
				Number:   bbevent.CallOverdue,
				Job:      id,
				Call:     call.ID,
				Endpoint: call.Endpoint,
				Detail:   detail,
				Value:    now - call.Sent,
			})
		}
	}
}

// recordCallStart records that a call is being sent.
func (c *Coordinator) recordCallStart(call *runningCall) {
	work := c.pools[call.Service].Duration(len(call.Pieces)) / time.Duration(len(call.Pieces))
	counts := c.lateMayWait()
	for i, piece := range call.Pieces {
		if j := c.job(call, i); j != nil {
			p := &j.Stages[piece.Stage].Pieces[piece.Piece]
			p.Queued = false
			p.Calls++
			if counts {
				c.shares.Served(call.Sent, j.Order.Account, work)
			}
		}
	}
	c.logPieces(call.Pieces, bbdecision.Event{
		Number:   bbevent.PiecesSent,
		Call:     call.ID,
		Endpoint: call.Endpoint,
	})
}

// logPieces logs an event for each stage of a request with pieces in a list. Those of one stage are next to each
// other.
func (c *Coordinator) logPieces(pieces []bbpool.Piece, e bbdecision.Event) {
	numbers := make([]int, 0, len(pieces))
	for i, piece := range pieces {
		numbers = append(numbers, piece.Piece)
		if i+1 < len(pieces) && pieces[i+1].Job == piece.Job && pieces[i+1].Stage == piece.Stage {
			continue
		}
		e.Job = piece.Job
		e.Detail = bbdecision.DescribePieces(piece.Stage, numbers)
		c.log(e)
		numbers = numbers[:0]
	}
}

// recordInputsFetched records that the endpoint of a call should have fetched its inputs, and releases
// the large ones that nothing else needs.
func (c *Coordinator) recordInputsFetched(call *runningCall) {
	for i, piece := range call.Pieces {
		j := c.job(call, i)
		if j == nil {
			continue
		}
		j.Stages[piece.Stage].Pieces[piece.Piece].Fetched = true
		for _, before := range j.Order.Stages[piece.Stage].After {
			maker := c.pools[j.Order.Stages[before].Service]
			if maker != nil && maker.IsLargeResult(j.Order.Stages[before].ResultBytes) && j.FetchedAll(before) {
				c.freeStage(j, before)
			}
		}
	}
}
