// Package bbpool decides which pieces of stage work go into the next call of which
// endpoint. Pieces of all requests meet here, because an endpoint works on one call at a
// time and a full call takes little longer than one with a single piece.
package bbpool

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
)

const (
	// lateSlack is how much longer than expected a call usually takes at most.
	lateSlack = 80 * time.Millisecond
	// roundTrip is the usual way to another failure domain and back, and moveCost what a
	// megabyte that goes there costs, as the delay of a request that is worth as much.
	roundTrip = 10 * time.Millisecond
	moveCost  = 40 * time.Millisecond
	// scarceParts is the number of results from which on their room doesn't matter: several
	// times the pieces of the largest call on the users' sheets.
	largeResultDivisor = 400
	// begunAdvance puts groups of which a part is done before all others: it is longer than
	// callers wait.
	startedBoost = time.Minute
	// splitBytes is the size of a result from which pieces of one request stay together:
	// moving larger ones between failure domains costs more than a place in a call.
	splitBytes = 500e3
	// slowFactor is the learned slowness from which an endpoint gets work only when no
	// other would be done sooner.
	slowThreshold = 1.8
	// learnRate is the weight of the newest call in the learned slowness.
	slownessWeight = 0.3
	// slowHalfLife is the time in which slowness that was not seen again is half forgotten,
	// so that an endpoint that has recovered is tried again.
	slowHalfLife = 2500 * time.Millisecond
	// crowdedFor is how long an endpoint that had no room counts as full: a part of a call, in
	// which some results are usually freed.
	memoryFullHold = 150 * time.Millisecond
	// fullPause is how long an endpoint that had no place for a call is left alone: a part
	// of a call's usual time.
	queueFullBackoff = 80 * time.Millisecond
	// fetchTime is how long after its turn a call should have its inputs: the call's way, and
	// the inputs' way over links that carry them in some milliseconds.
	inputFetchTime = 120 * time.Millisecond
	// roomPart is the part of an endpoint's room that is filled: sizes are approximate.
	memoryUtilization = 0.965
	// overdueFactor and overdueSlack tell when a call is so late that its pieces go to
	// another endpoint as well.
	overdueFactor = 1.7
	overdueSlack  = 150 * time.Millisecond
)

// Call is work for one endpoint.
type Call struct {
	ID       uint64
	Service  string
	Endpoint string
	Address  string
	Pieces   []Piece
	// Sizes has the bytes that each result takes.
	Sizes []float64
	// Limits has the time that each piece's request has left.
	Limits []time.Duration
	// Sent is when the call was decided.
	Sent time.Duration
	// Expected is when the answer should be there.
	Expected time.Duration
	// Bytes is the room that its results take.
	Bytes float64
	// turned is true once the endpoint should be working on the call, since turnAt.
	running      bool
	runningSince time.Duration
	// fetched is true once the call was returned by Fetched.
	inputsFetched bool
	// Overdue is true once its pieces were given to others as well.
	Overdue bool
}

// Endpoint is one that may get calls now.
type Endpoint struct {
	ID, Address, Zone string
}

// Pool has the work and the endpoints of one service.
type Pool struct {
	Service string
	// Spec is the capacity of one endpoint.
	Spec bbcatalog.Pool
	// Lead is how long before the expected end of a call the next one is sent, so that
	// the endpoint doesn't wait for the network.
	Lead time.Duration
	// BackAt is when an endpoint may get calls again, where none may and that is known; otherwise 0.
	AvailableAt time.Duration
	groups      []*Group
	workers     map[string]*worker
	// endpoints are those that may get calls, as last told.
	endpoints []Endpoint
}

// NewPool returns an empty pool.
func NewPool(service string, spec bbcatalog.Pool) *Pool {
	return &Pool{
		Service: service,
		Spec:    spec,
		workers: make(map[string]*worker),
	}
}

// Add puts work into the pool.
func (p *Pool) Add(g *Group) {
	p.groups = append(p.groups, g)
}

// Drop takes all work of a request out of the pool.
func (p *Pool) Drop(job string) {
	kept := p.groups[:0]
	for _, g := range p.groups {
		if g.Job != job {
			kept = append(kept, g)
		}
	}
	clear(p.groups[len(kept):])
	p.groups = kept
}

// Withdraw takes the waiting pieces of a stage of a request out of the pool and returns their
// numbers.
func (p *Pool) Withdraw(job string, stage int) []int {
	var numbers []int
	p.groups = slices.DeleteFunc(p.groups, func(g *Group) bool {
		if g.Job != job || g.Stage != stage {
			return false
		}
		numbers = append(numbers, g.Left...)
		return true
	})
	return numbers
}

// Scarce tells whether results of a size take a notable part of an endpoint's room.
func (p *Pool) IsLargeResult(bytes float64) bool {
	return bytes*largeResultDivisor > p.Spec.ResultMemoryBytes
}

// Waiting returns the number of pieces that are in no call.
func (p *Pool) Waiting() int {
	n := 0
	for _, g := range p.groups {
		n += len(g.Left)
	}
	return n
}

// Endpoints tells which endpoints may get calls from now on.
func (p *Pool) SetEndpoints(list []Endpoint) {
	p.endpoints = list
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		if p.workers[e.ID] == nil {
			p.workers[e.ID] = &worker{
				calls:    make(map[uint64]*Call),
				slowness: 1,
				results:  make(map[string]result),
			}
		}
	}
	for id, w := range p.workers {
		if !present[id] && len(w.calls) == 0 {
			delete(p.workers, id)
		}
	}
}

// Duration returns the nominal time of a call with n pieces.
func (p *Pool) Duration(n int) time.Duration {
	return p.Spec.CallTime + time.Duration(n)*p.Spec.PieceTime
}

// remaining is the time until a worker's calls in progress should be done.
func (p *Pool) remaining(now time.Duration, w *worker) time.Duration {
	if len(w.calls) < max(1, p.Spec.Slots) {
		return 0
	}
	var last time.Duration
	for _, c := range w.calls {
		last = max(last, c.Expected-now)
	}
	return max(0, last)
}

// room is what a worker has left for results, in bytes.
func (p *Pool) freeMemory(w *worker) float64 {
	return memoryUtilization*p.Spec.ResultMemoryBytes - w.used
}

// UsualBatch returns the number of pieces that a call with a group of n is expected to have.
func (p *Pool) ExpectedBatchSize(n int) int {
	return min(p.Spec.Batch, max(n, p.Spec.Batch/2))
}

// Start notes that a call is being made.
func (p *Pool) Start(now time.Duration, c *Call, id uint64) {
	w := p.workers[c.Endpoint]
	c.ID = id
	c.Expected = now + p.remaining(now, w) + time.Duration(float64(p.Duration(len(c.Pieces)))*w.currentSlowness(now))
	c.running = len(w.calls) < max(1, p.Spec.Slots)
	c.runningSince = now
	w.calls[id] = c
	w.used += c.Bytes
}

// Fetched returns the calls whose endpoints should have the inputs by now and that were not
// returned before.
func (p *Pool) TakeInputsFetched(now time.Duration) []*Call {
	var list []*Call
	for _, w := range p.workers {
		for _, c := range w.calls {
			if c.running && !c.inputsFetched && now-c.runningSince >= inputFetchTime {
				c.inputsFetched = true
				list = append(list, c)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Overdue returns the calls that should have been answered long ago and were not returned
// before. Their pieces should be worked on elsewhere too.
func (p *Pool) TakeOverdue(now time.Duration) []*Call {
	var late []*Call
	for _, w := range p.workers {
		for _, c := range w.calls {
			allowed := time.Duration(float64(c.Expected-c.Sent)*overdueFactor) + overdueSlack
			if !c.Overdue && now-c.Sent > allowed {
				c.Overdue = true
				w.health.Observe(now, bbhealth.OutcomeBroken)
				w.slowness = max(w.currentSlowness(now), overdueFactor)
				w.slowAt = now
				late = append(late, c)
			}
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].ID < late[j].ID })
	return late
}

// Done notes the end of a call. Handles are those of its results, with their sizes.
func (p *Pool) Done(now time.Duration, c *Call, o bbhealth.Outcome, handles map[string]float64) {
	w := p.workers[c.Endpoint]
	if w == nil {
		return
	}
	delete(w.calls, c.ID)
	w.used -= c.Bytes
	for _, next := range w.calls {
		if !next.running {
			next.running = true
			next.runningSince = now
		}
	}
	w.health.Observe(now, o)
	switch o {
	case bbhealth.OutcomeFull, bbhealth.OutcomeHeld:
		w.pausedUntil = now + queueFullBackoff
	case bbhealth.OutcomeGood:
		w.observeSlowness(now, float64(now-max(c.Sent, c.runningSince))/float64(p.Duration(len(c.Pieces))))
	}
	for handle, bytes := range handles {
		w.results[handle] = result{
			bytes:   bytes,
			expires: now + p.Spec.ResultTTL,
		}
		w.used += bytes
	}
}

// Crowded notes that an endpoint had no room for some results: something takes room that
// this pool doesn't know of, such as results of a former coordinator.
func (p *Pool) MarkMemoryFull(now time.Duration, endpoint string) {
	w := p.workers[endpoint]
	if w == nil {
		return
	}
	unknown := max(0, p.freeMemory(w))
	w.unknown++
	w.results["unknown "+strconv.Itoa(w.unknown)] = result{
		bytes:   unknown,
		expires: now + memoryFullHold,
	}
	w.used += unknown
}

// Adopt notes a result that a former coordinator had made.
func (p *Pool) Adopt(now time.Duration, endpoint, handle string, bytes float64) {
	w := p.workers[endpoint]
	if w == nil {
		return
	}
	if _, ok := w.results[handle]; ok {
		return
	}
	w.results[handle] = result{
		bytes:   bytes,
		expires: now + p.Spec.ResultTTL,
	}
	w.used += bytes
}

// Free notes that a result takes no room any more.
func (p *Pool) Free(endpoint, handle string) {
	w := p.workers[endpoint]
	if w == nil {
		return
	}
	if r, ok := w.results[handle]; ok {
		w.used -= r.bytes
		delete(w.results, handle)
	}
}

// Expire drops results that have ended by themselves.
func (p *Pool) Expire(now time.Duration) {
	for _, w := range p.workers {
		for handle, r := range w.results {
			if now >= r.expires {
				w.used -= r.bytes
				delete(w.results, handle)
			}
		}
	}
}

// Wait estimates how long new work of a given urgency would wait, when future more pieces
// of requests in progress come before it.
func (p *Pool) Wait(now, urgency time.Duration, future int) time.Duration {
	ahead := future
	for _, g := range p.groups {
		if g.urgency(now) <= urgency {
			ahead += len(g.Left)
		}
	}
	soonest, perSecond := p.capacity(now)
	if perSecond == 0 {
		return max(p.Spec.ResultTTL, p.AvailableAt-now)
	}
	return soonest + time.Duration(float64(ahead)/perSecond*float64(time.Second))
}

// PerSecond returns the pieces that the endpoints make in a second with full calls.
func (p *Pool) PerSecond(now time.Duration) float64 {
	_, perSecond := p.capacity(now)
	return perSecond
}

// capacity returns when the first endpoint takes a call, and the pieces that all make in a
// second with full calls; 0 if there is none.
func (p *Pool) capacity(now time.Duration) (soonest time.Duration, perSecond float64) {
	full := p.Duration(p.Spec.Batch)
	for _, e := range p.endpoints {
		w := p.workers[e.ID]
		if w.health.Paused(now) {
			continue
		}
		left := p.remaining(now, w)
		if perSecond == 0 || left < soonest {
			soonest = left
		}
		perSecond += float64(p.Spec.Batch*max(1, p.Spec.Slots)) / (full.Seconds() * w.currentSlowness(now))
	}
	return soonest, perSecond
}

// NextChange returns when a call should have its inputs, or when a worker that is left alone
// or busy may take a call again if work waits.
func (p *Pool) NextChange(now time.Duration) (time.Duration, bool) {
	var next time.Duration
	for _, w := range p.workers {
		for _, c := range w.calls {
			if at := c.runningSince + inputFetchTime; c.running && !c.inputsFetched && (next == 0 || at < next) {
				next = max(at, now+time.Millisecond)
			}
		}
	}
	if len(p.groups) == 0 {
		return next, next > 0
	}
	for _, e := range p.endpoints {
		w := p.workers[e.ID]
		at := max(w.pausedUntil, now)
		if len(w.calls) > 0 {
			at = max(at, now+p.remaining(now, w)-p.Lead)
		}
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	return next, next > 0
}
