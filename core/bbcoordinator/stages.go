package bbcoordinator

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
)

// maxPieceTries bounds the calls that one piece may be in.
const maxPieceTries = 4

// estimate returns when the first token of a request that has just arrived is expected,
// and fills in its tails.
func (c *Coordinator) estimate(now time.Duration, j *job) time.Duration {
	o := &j.order
	learned := c.learnedOf(o.Route)
	c.measureTails(j, learned.engine)
	finished := make([]time.Duration, len(o.Stages))
	last := now
	future := c.future(now)
	for i, s := range o.Stages {
		begin := now
		for _, before := range s.After {
			begin = max(begin, finished[before])
		}
		finished[i] = begin
		p := c.pool(s.Service)
		if s.Pieces == 0 || p == nil {
			continue
		}
		urgency := j.dueOf(i).Urgency(now)
		wait := p.Wait(now, urgency, future.before(s.Service, urgency))
		finished[i] = begin + max(0, wait-(begin-now)) + p.Duration(c.usualBatch(p, s.Pieces))
		last = max(last, finished[i])
	}
	need := c.need(j)
	engines := c.listEngines(o.Service)
	j.wish = c.table(o.Service).Best(now, need, engines)
	j.estimated = last + c.table(o.Service).Wait(now, need, engines)
	return j.estimated + learned.bias
}

// usualBatch is the number of pieces that a call with a group of n is expected to have.
func (c *Coordinator) usualBatch(p *bbpool.Pool, n int) int {
	return min(p.Spec.Batch, max(n, p.Spec.Batch/2))
}

// measureTails fills in the time from the start of each stage to the first token.
func (c *Coordinator) measureTails(j *job, engine time.Duration) {
	for i := len(j.order.Stages) - 1; i >= 0; i-- {
		s := j.order.Stages[i]
		rest := engine
		for k := i + 1; k < len(j.order.Stages); k++ {
			for _, before := range j.order.Stages[k].After {
				if before == i && j.order.Stages[k].Pieces > 0 {
					rest = max(rest, j.tails[k])
				}
			}
		}
		j.tails[i] = rest
		if p := c.pool(s.Service); p != nil && s.Pieces > 0 {
			j.tails[i] += p.Duration(c.usualBatch(p, s.Pieces))
		}
	}
}

// dueOf returns when a stage has to begin.
func (j *job) dueOf(stage int) bbpool.Due {
	left := float64(j.tails[stage]) / float64(max(j.objective, 1))
	return bbpool.Due{
		StartBy:   j.due - j.tails[stage],
		LastStart: j.limit - j.tails[stage],
		// What has come far takes room already and goes before what has not.
		Rank: time.Duration(min(1, left) * float64(rank(j.order.Priority))),
	}
}

// rank is how much later a request of a priority goes.
func rank(priority int) time.Duration {
	return time.Duration(priority) * rankStep
}

// futureWork is the pieces that requests in progress will bring to pools later.
type futureWork map[string][]futurePieces

type futurePieces struct {
	urgency time.Duration
	pieces  int
}

// future returns the work that is still to come.
func (c *Coordinator) future(now time.Duration) futureWork {
	f := make(futureWork)
	for _, j := range c.jobs {
		for i, s := range j.order.Stages {
			if j.stages[i].released || s.Pieces == 0 {
				continue
			}
			f[s.Service] = append(f[s.Service], futurePieces{
				urgency: j.dueOf(i).Urgency(now),
				pieces:  s.Pieces,
			})
		}
	}
	return f
}

// before counts the pieces for a service that go before an urgency.
func (f futureWork) before(service string, urgency time.Duration) int {
	n := 0
	for _, w := range f[service] {
		if w.urgency <= urgency {
			n += w.pieces
		}
	}
	return n
}

// release puts the stages of a request that may begin into their pools. Results that only
// the engine needs are made last, so that they don't take room while others are waited for.
func (c *Coordinator) release(j *job) {
	for i, s := range j.order.Stages {
		st := &j.stages[i]
		if st.released || s.Pieces == 0 || !j.ready(i) || j.early(i) {
			continue
		}
		st.released = true
		var left []int
		for k := range st.pieces {
			if st.pieces[k].wanted() {
				left = append(left, k)
			}
		}
		if len(left) > 0 {
			c.addGroup(j, i, left)
		}
	}
	if j.done() {
		c.waiting[j.order.ID] = j
	}
}

// addGroup puts pieces of a stage into its pool.
func (c *Coordinator) addGroup(j *job, stage int, pieces []int) {
	s := j.order.Stages[stage]
	p := c.pool(s.Service)
	if p == nil {
		c.refuse(j.order.ID, "noPool", minRetryAfter, 0)
		c.drop(j)
		return
	}
	for _, k := range pieces {
		j.stages[stage].pieces[k].queued = true
		j.stages[stage].pieces[k].fetched = false
	}
	p.Add(&bbpool.Group{
		Job:         j.order.ID,
		Stage:       stage,
		Left:        pieces,
		ResultBytes: s.ResultBytes,
		Due:         j.dueOf(stage),
		Begun:       len(pieces) < s.Pieces,
		Limit:       j.limit,
		Zone:        j.home(stage),
		MoveBytes:   j.moveBytes(stage, len(pieces)),
		Allowed:     c.allowed(j.order),
	})
}

// allowed returns the test of an order for failure domains.
func (c *Coordinator) allowed(o bbjob.Order) func(zone string) bool {
	return func(zone string) bool {
		if len(o.Regions) == 0 {
			return true
		}
		region := c.know.Region(zone)
		for _, r := range o.Regions {
			if r == region {
				return true
			}
		}
		return false
	}
}

// PieceInputs returns what a call has to say of a piece: the key of its request or the
// handles of its inputs. It is false when the request is gone.
func (c *Coordinator) PieceInputs(p bbpool.Piece) (key string, inputs []string, ok bool) {
	j := c.jobs[p.Job]
	if j == nil {
		return "", nil, false
	}
	if len(j.order.Stages[p.Stage].After) == 0 {
		return j.order.Key, nil, true
	}
	return "", j.inputs(p.Stage), true
}

// CallDone takes in the end of a call. Results are in the order of its pieces; there are
// none unless the outcome is good.
func (c *Coordinator) CallDone(now time.Duration, id uint64, zone string, o bbhealth.Outcome, results []PieceResult) Output {
	call := c.calls[id]
	if call == nil {
		return c.decide(now)
	}
	delete(c.calls, id)
	p := c.pool(call.Service)
	made, full := c.sizes(call, results)
	p.Done(now, call, o, made)
	if full && o == bbhealth.OutcomeGood {
		p.Crowded(now, call.Endpoint)
	}
	c.log(Event{
		Number:   bbevent.CallDone,
		Call:     id,
		Endpoint: call.Endpoint,
		Detail:   describe(call, o, results),
		Value:    now - call.Sent,
	})
	retry := make(map[string]map[int][]int)
	for i, piece := range call.Pieces {
		j := c.jobs[piece.Job]
		if j != nil {
			j.stages[piece.Stage].pieces[piece.Piece].calls--
		}
		if i < len(results) && results[i].Handle != "" {
			c.keep(now, call, zone, j, piece, results[i].Handle)
			continue
		}
		if j == nil || j.stages[piece.Stage].pieces[piece.Piece].handle != "" {
			continue
		}
		if i < len(results) && results[i].Late {
			c.refuse(piece.Job, "deadline", minRetryAfter, now-j.arrived)
			c.drop(j)
			continue
		}
		if i < len(results) && results[i].Gone {
			c.loseInputs(j, piece.Stage)
		}
		if !j.stages[piece.Stage].pieces[piece.Piece].wanted() {
			continue
		}
		if retry[piece.Job] == nil {
			retry[piece.Job] = make(map[int][]int)
		}
		retry[piece.Job][piece.Stage] = append(retry[piece.Job][piece.Stage], piece.Piece)
	}
	mayRepeat := len(retry) == 0 || full || o == bbhealth.OutcomeUnreachable || c.window(call.Service).Take(now, 1)
	for _, job := range sortedKeys(retry) {
		c.retryPieces(now, job, retry[job], mayRepeat, !full)
	}
	for _, piece := range call.Pieces {
		if j := c.jobs[piece.Job]; j != nil {
			if c.leaving {
				c.handBack(j)
				continue
			}
			c.release(j)
		}
	}
	return c.decide(now)
}

// loseInputs gives up the results that a stage needs, so that they are made again.
func (c *Coordinator) loseInputs(j *job, stage int) {
	c.log(Event{
		Number: bbevent.InputsGone,
		Job:    j.order.ID,
		Detail: strconv.Itoa(stage),
	})
	for _, before := range j.order.Stages[stage].After {
		c.freeStage(j, before)
	}
	j.lose(stage)
}

// adopt takes in the results of a former coordinator.
func (c *Coordinator) adopt(now time.Duration, j *job) {
	for _, m := range j.order.Made {
		if m.Stage >= len(j.stages) || m.Piece >= len(j.stages[m.Stage].pieces) {
			continue
		}
		p := &j.stages[m.Stage].pieces[m.Piece]
		if p.handle != "" {
			continue
		}
		p.handle = m.Handle
		p.maker = m.Maker
		p.address = m.Address
		p.zone = m.Zone
		p.freed = m.Freed
		j.stages[m.Stage].left--
		if pool := c.pool(j.order.Stages[m.Stage].Service); pool != nil && !m.Freed {
			pool.Adopt(now, m.Maker, m.Handle, j.order.Stages[m.Stage].ResultBytes)
		}
	}
	for i := range j.stages {
		switch {
		case j.stages[i].left > 0:
		case c.consumed(j, i):
			c.freeStage(j, i)
		default:
			j.remake(i)
		}
	}
}

// sizes returns the results of a call with their sizes, and whether the endpoint had no
// room for some.
func (c *Coordinator) sizes(call *bbpool.Call, results []PieceResult) (made map[string]float64, full bool) {
	made = make(map[string]float64)
	for i := range min(len(results), len(call.Pieces)) {
		full = full || results[i].NoRoom
		if results[i].Handle != "" {
			made[results[i].Handle] = call.Sizes[i]
		}
	}
	return made, full
}

// keep takes in the result of one piece, or frees it when nobody needs it.
func (c *Coordinator) keep(now time.Duration, call *bbpool.Call, zone string, j *job, piece bbpool.Piece, handle string) {
	if j == nil || j.stages[piece.Stage].pieces[piece.Piece].handle != "" {
		c.freed[call.Address] = append(c.freed[call.Address], handle)
		c.pool(call.Service).Free(call.Endpoint, handle)
		return
	}
	st := &j.stages[piece.Stage]
	made := &st.pieces[piece.Piece]
	made.handle = handle
	made.maker = call.Endpoint
	made.address = call.Address
	made.zone = zone
	st.left--
	if st.left > 0 {
		return
	}
	c.log(Event{
		Number: bbevent.StageDone,
		Job:    piece.Job,
		Detail: strconv.Itoa(piece.Stage),
		Value:  now - j.arrived,
	})
	c.update(piece.Job, j.madeOf(piece.Stage))
	// The inputs of a finished stage are needed no more unless another stage needs them.
	for _, before := range j.order.Stages[piece.Stage].After {
		if c.consumed(j, before) {
			c.freeStage(j, before)
		}
	}
}

// consumed tells whether all stages that need the results of a stage are done.
func (c *Coordinator) consumed(j *job, stage int) bool {
	for i, s := range j.order.Stages {
		for _, before := range s.After {
			if before == stage && j.stages[i].left > 0 {
				return false
			}
		}
	}
	return !j.final(stage)
}

// retryPieces puts pieces of a failed call back, or ends their request. Tries that an
// endpoint turned away for want of room don't count.
func (c *Coordinator) retryPieces(now time.Duration, id string, stages map[int][]int, mayRepeat, counts bool) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for stage, pieces := range stages {
		for _, k := range pieces {
			p := &j.stages[stage].pieces[k]
			if counts {
				p.tries++
			}
			mayRepeat = mayRepeat && p.tries < maxPieceTries
		}
		j.rewind(stage)
	}
	if c.leaving {
		c.handBack(j)
		return
	}
	if !mayRepeat {
		c.refuse(id, "stageFailed", minRetryAfter, now-j.arrived)
		c.drop(j)
		return
	}
	c.release(j)
}

// repeat gives the pieces of an overdue call to other endpoints as well.
func (c *Coordinator) repeat(now time.Duration, call *bbpool.Call) {
	again := make(map[string]map[int][]int)
	for _, piece := range call.Pieces {
		j := c.jobs[piece.Job]
		if j == nil {
			continue
		}
		p := &j.stages[piece.Stage].pieces[piece.Piece]
		if p.handle != "" || p.queued || p.calls > 1 {
			continue
		}
		if again[piece.Job] == nil {
			again[piece.Job] = make(map[int][]int)
		}
		again[piece.Job][piece.Stage] = append(again[piece.Job][piece.Stage], piece.Piece)
	}
	for _, id := range sortedKeys(again) {
		c.log(Event{
			Number:   bbevent.CallOverdue,
			Job:      id,
			Call:     call.ID,
			Endpoint: call.Endpoint,
			Value:    now - call.Sent,
		})
		j := c.jobs[id]
		for stage, pieces := range again[id] {
			if j.ready(stage) && c.inputsKept(j, stage) && c.window(j.order.Stages[stage].Service).Take(now, 1) {
				c.addGroup(j, stage, pieces)
			}
		}
	}
}

// inputsKept tells whether all results that a stage needs still exist.
func (c *Coordinator) inputsKept(j *job, stage int) bool {
	for _, before := range j.order.Stages[stage].After {
		for _, p := range j.stages[before].pieces {
			if p.freed {
				return false
			}
		}
	}
	return true
}

// begun notes that a call is being made.
func (c *Coordinator) begun(call *bbpool.Call) {
	sent := make(map[string]int)
	for _, piece := range call.Pieces {
		if j := c.jobs[piece.Job]; j != nil {
			p := &j.stages[piece.Stage].pieces[piece.Piece]
			p.queued = false
			p.calls++
			sent[piece.Job]++
		}
	}
	for _, id := range sortedKeys(sent) {
		c.log(Event{
			Number:   bbevent.PiecesSent,
			Job:      id,
			Call:     call.ID,
			Endpoint: call.Endpoint,
			Detail:   strconv.Itoa(sent[id]),
		})
	}
}

// fetched notes that the endpoint of a call should have its inputs, and gives up those that
// nothing else needs.
func (c *Coordinator) fetched(call *bbpool.Call) {
	for _, piece := range call.Pieces {
		j := c.jobs[piece.Job]
		if j == nil {
			continue
		}
		j.stages[piece.Stage].pieces[piece.Piece].fetched = true
		for _, before := range j.order.Stages[piece.Stage].After {
			maker := c.pools[j.order.Stages[before].Service]
			if maker != nil && maker.Scarce(j.order.Stages[before].ResultBytes) && j.fetchedAll(before) {
				c.freeStage(j, before)
			}
		}
	}
}

// freeStage gives up the results of a stage.
func (c *Coordinator) freeStage(j *job, stage int) {
	some := false
	for k := range j.stages[stage].pieces {
		p := &j.stages[stage].pieces[k]
		if p.handle == "" || p.freed {
			continue
		}
		p.freed = true
		some = true
		c.freed[p.address] = append(c.freed[p.address], p.handle)
		if pool := c.pools[j.order.Stages[stage].Service]; pool != nil {
			pool.Free(p.maker, p.handle)
		}
	}
	if some && c.jobs[j.order.ID] != nil {
		c.update(j.order.ID, nil, stage)
	}
}

// drop forgets a request and gives up its results.
func (c *Coordinator) drop(j *job) {
	id := j.order.ID
	delete(c.jobs, id)
	delete(c.waiting, id)
	for i := range j.stages {
		c.freeStage(j, i)
		if p := c.pools[j.order.Stages[i].Service]; p != nil {
			p.Drop(id)
		}
	}
}

// sortedKeys returns the keys of a map in order, so that decisions can be replayed.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// describe returns the end of a call as the log has it.
func describe(call *bbpool.Call, o bbhealth.Outcome, results []PieceResult) string {
	made, gone, crowded := 0, 0, 0
	for _, r := range results {
		switch {
		case r.Handle != "":
			made++
		case r.Gone:
			gone++
		case r.NoRoom:
			crowded++
		}
	}
	return fmt.Sprintf("%s outcome=%s results=%d of %d gone=%d noRoom=%d", call.Service, o, made, len(call.Pieces), gone, crowded)
}
