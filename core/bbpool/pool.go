// Package bbpool batches stage work: it decides which pieces go into the next call and which endpoint
// gets it. One pool holds the pieces of all requests for a service, because an endpoint runs one call
// at a time and a full call takes little longer than one with a single piece.
package bbpool

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bburgency"
)

const (
	// lateSlack is how long after its expected end a call is usually answered at the latest.
	lateSlack = 80 * time.Millisecond
	// roundTrip is the usual round-trip time to another failure domain. moveCost is the cost of moving
	// a megabyte there, expressed as the request delay of equal cost.
	roundTrip = 10 * time.Millisecond
	moveCost  = 40 * time.Millisecond
	// largeResultDivisor defines large results: fewer than this many fit into an endpoint's memory. It
	// is several times the pieces of the largest call in the deployment specifications.
	largeResultDivisor = 400
	// startedBoost moves stages that are partly done ahead of all others: it is longer than callers wait.
	startedBoost = time.Minute
	// splitBytes is the result size from which the pieces of one request stay in one call: moving larger
	// results between failure domains costs more than an unused place in a call.
	splitBytes = 500e3
	// slowThreshold is the measured slowness from which an endpoint gets work only when no other
	// endpoint would finish it sooner.
	slowThreshold = 1.8
	// slownessWeight is the weight of the newest call in the moving average of the slowness.
	slownessWeight = 0.3
	// memoryFullHold is how long an endpoint without memory for a result counts as full: a fraction of
	// a call's time, within which some results are usually freed.
	memoryFullHold = 150 * time.Millisecond
	// queueFullBackoff is how long an endpoint that refused a call because its queue was full gets no
	// calls: a fraction of a call's usual time.
	queueFullBackoff = 80 * time.Millisecond
	// inputFetchTime is how long after its expected start on the endpoint a call should have fetched
	// its inputs: the network delay of the call and of the inputs, whose transfer takes some milliseconds.
	inputFetchTime = 120 * time.Millisecond
	// MemoryUtilization is the fraction of an endpoint's result memory that is filled, since result
	// sizes are approximate.
	MemoryUtilization = 0.965
	// A call is overdue after overdueFactor times its expected duration and overdueSlack. Its pieces
	// are then sent to another endpoint as well.
	overdueFactor = 1.7
	overdueSlack  = 150 * time.Millisecond
)

// Call is a batch of pieces for one endpoint.
type Call struct {
	ID       uint64
	Service  string
	Endpoint string
	Address  string
	Pieces   []Piece
	// Sizes has the size of each piece's result in bytes.
	Sizes []float64
	// Limits has the time left until the deadline of each piece's request.
	Limits []time.Duration
	// Sent is when the call was composed.
	Sent time.Duration
	// Expected is when the answer is expected.
	Expected time.Duration
	// Bytes is the sum of Sizes: the memory reserved for the results.
	Bytes float64
	// running is true once the endpoint should be executing the call, from runningSince on.
	running      bool
	runningSince time.Duration
	// inputsFetched is true once the call was returned by TakeInputsFetched.
	inputsFetched bool
	// Overdue is true once its pieces were released for other endpoints too.
	Overdue bool
}

// Remove removes the pieces that satisfy a predicate, and returns them.
func (c *Call) Remove(matches func(piece Piece) bool) []Piece {
	var removed []Piece
	kept := 0
	for i, piece := range c.Pieces {
		if matches(piece) {
			removed = append(removed, piece)
			c.Bytes -= c.Sizes[i]
			continue
		}
		c.Pieces[kept], c.Limits[kept], c.Sizes[kept] = piece, c.Limits[i], c.Sizes[i]
		kept++
	}
	c.Pieces, c.Limits, c.Sizes = c.Pieces[:kept], c.Limits[:kept], c.Sizes[:kept]
	return removed
}

// fetchesInputs reports whether the endpoint may still be fetching the inputs. Of an overdue call that doesn't
// matter: another one needs the same inputs.
func (c *Call) fetchesInputs() bool {
	return c.running && !c.inputsFetched && !c.Overdue
}

// Endpoint is an endpoint that may get calls now.
type Endpoint struct {
	ID, Address, Zone string
	// Born is the start of the endpoint's process in Unix milliseconds; 0 if unknown.
	Born int64
	// Limited endpoints have named a limit, which LimitedCallsPerSecond of the pool counts.
	Limited bool
}

// Pool holds the pending work and the endpoints of one service.
type Pool struct {
	Service string
	// Spec is the capacity of one endpoint.
	Spec bbcatalog.Pool
	// Lead is how long before the expected end of a call the next one is sent, so that the endpoint
	// isn't idle for a network delay between calls.
	Lead time.Duration
	// AvailableAt is when an endpoint may get calls again, if none may now and the time is known;
	// otherwise 0.
	AvailableAt time.Duration
	// LimitedCallsPerSecond is the rate that all endpoints with a limit take together.
	LimitedCallsPerSecond float64
	// SaveRepeats is true while the retry budget is short. Endpoints on probation are then tried seldom as long as
	// others are sound: a call that fails costs one repeat.
	SaveRepeats bool
	// Examined counts the queued groups that decisions and estimates have looked at.
	Examined uint64
	// groups are the queue. The first ordered of them are in the order of urgency as of orderedAt, and profile
	// is that of the queue then. The others have been added since.
	groups    []*Group
	ordered   int
	orderedAt time.Duration
	profile   bburgency.Profile
	// waiting counts the queued pieces, resultSizes the queued groups by the size of their results.
	waiting     int
	resultSizes map[float64]int
	workers     map[string]*worker
	// nextUnsoundCall is when the next call may be sent while no endpoint is sound.
	nextUnsoundCall time.Duration
	// endpoints are those that may get calls, as last passed to SetEndpoints.
	endpoints []Endpoint
}

// NewPool returns an empty pool.
func NewPool(service string, spec bbcatalog.Pool) *Pool {
	return &Pool{
		Service: service,
		Spec:    spec,
		workers: make(map[string]*worker),

		resultSizes: make(map[float64]int),
	}
}

// Drop removes all queued work of a request.
func (p *Pool) Drop(job string) {
	p.remove(func(g *Group) bool { return g.Job == job })
}

// Withdraw removes the queued pieces of one stage of a request and returns their numbers.
func (p *Pool) Withdraw(job string, stage int) []int {
	var numbers []int
	p.remove(func(g *Group) bool {
		if g.Job != job || g.Stage != stage {
			return false
		}
		numbers = append(numbers, g.Left...)
		return true
	})
	return numbers
}

// Remove removes a queued piece. It does nothing if the piece isn't queued.
func (p *Pool) Remove(piece Piece) {
	for _, g := range p.groups {
		if g.Job != piece.Job || g.Stage != piece.Stage {
			continue
		}
		if k := slices.Index(g.Left, piece.Piece); k >= 0 {
			g.Left = slices.Delete(g.Left, k, k+1)
			p.waiting--
		}
	}
	p.remove(func(g *Group) bool { return len(g.Left) == 0 })
}

// IsLargeResult reports whether a result of that size takes a notable part of an endpoint's memory.
func (p *Pool) IsLargeResult(bytes float64) bool {
	return bytes*largeResultDivisor > p.Spec.ResultMemoryBytes
}

// Waiting returns the number of queued pieces, which are in no call.
func (p *Pool) Waiting() int {
	return p.waiting
}

// SetEndpoints replaces the list of endpoints that may get calls.
func (p *Pool) SetEndpoints(list []Endpoint) {
	p.endpoints = list
	present := make(map[string]bool, len(list))
	for _, e := range list {
		present[e.ID] = true
		if p.workers[e.ID] == nil {
			p.workers[e.ID] = &worker{
				calls:   make(map[uint64]*Call),
				results: make(map[string]result),
			}
		}
		p.workers[e.ID].setProcess(e.Born)
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

// remaining returns the time until a worker's calls in progress should be done; 0 if it has a free slot.
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

// freeMemory returns the memory that a worker has left for results, in bytes.
func (p *Pool) freeMemory(w *worker) float64 {
	return MemoryUtilization*p.Spec.ResultMemoryBytes - w.used
}

// ExpectedBatchSize returns the expected number of pieces in a call that contains a group of n.
func (p *Pool) ExpectedBatchSize(n int) int {
	return min(p.Spec.Batch, max(n, p.Spec.Batch/2))
}

// Start records that a call is sent, and reserves memory for its results.
func (p *Pool) Start(now time.Duration, c *Call, id uint64) {
	w := p.workers[c.Endpoint]
	c.ID = id
	c.Expected = now + p.remaining(now, w) + time.Duration(float64(p.Duration(len(c.Pieces)))*w.currentSlowness(now))
	c.running = len(w.calls) < max(1, p.Spec.Slots)
	c.runningSince = now
	p.countUnsoundCall(now, w)
	w.calls[id] = c
	w.used += c.Bytes
}

// TakeInputsFetched returns each call once, as soon as its endpoint should have fetched the inputs. It leaves out
// overdue calls.
func (p *Pool) TakeInputsFetched(now time.Duration) []*Call {
	var list []*Call
	for _, w := range p.workers {
		for _, c := range w.calls {
			if c.fetchesInputs() && now-c.runningSince >= inputFetchTime {
				c.inputsFetched = true
				list = append(list, c)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// TakeOverdue returns each overdue call once, and counts it as a failure and as slowness of its endpoint.
// The caller should have its pieces computed on other endpoints too.
func (p *Pool) TakeOverdue(now time.Duration) []*Call {
	var late []*Call
	for _, w := range p.workers {
		for _, c := range w.calls {
			allowed := time.Duration(float64(c.Expected-c.Sent)*overdueFactor) + overdueSlack
			if !c.Overdue && now-c.Sent > allowed {
				c.Overdue = true
				w.health.Observe(now, bbhealth.OutcomeBroken)
				w.speed.Raise(now, overdueFactor)
				late = append(late, c)
			}
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].ID < late[j].ID })
	return late
}

// Done records the end of a call. Handles are those of its results, with their sizes.
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
	w.probation.observe(now, c.Sent, o)
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

// MarkMemoryFull records that an endpoint had no memory for some results: something takes memory that
// this pool doesn't account for, such as results made under a previous coordinator. The memory that
// seemed free counts as taken for memoryFullHold.
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

// Adopt records a result that was made under a previous coordinator.
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

// Free records that a result's memory was released.
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

// Expire drops results that the endpoints have evicted after their TTL.
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

// Wait estimates the queueing delay of new work of a given urgency, when future more pieces of requests
// in progress will be queued ahead of it.
func (p *Pool) Wait(now, urgency time.Duration, future int) time.Duration {
	queued := future + p.queuedBefore(now, urgency)
	soonest, perSecond := p.capacity(now)
	if perSecond == 0 {
		return max(p.Spec.ResultTTL, p.AvailableAt-now)
	}
	return soonest + time.Duration(float64(queued)/perSecond*float64(time.Second))
}

// PerSecond returns the throughput of all endpoints with full calls, in pieces per second.
func (p *Pool) PerSecond(now time.Duration) float64 {
	_, perSecond := p.capacity(now)
	return perSecond
}

// capacity returns the time until the first endpoint can take a call, and the throughput of all
// endpoints with full calls in pieces per second; 0 if there is no endpoint.
func (p *Pool) capacity(now time.Duration) (soonest time.Duration, perSecond float64) {
	full := p.Duration(p.Spec.Batch)
	found := false
	sound := p.hasSound(now, nil)
	for _, e := range p.endpoints {
		w := p.workers[e.ID]
		if w.health.Paused(now) {
			continue
		}
		left := p.remaining(now, w)
		if w.probation.active() {
			left = max(left, p.pauseEnd(w, sound)-now)
		}
		// Where others are sound, the first call of one on probation is small.
		if small := sound && w.probation.active(); !small && (!found || left < soonest) {
			soonest, found = left, true
		}
		if e.Limited {
			continue
		}
		if w.probation.active() {
			perSecond += p.probationPerSecond(now, w, sound)
			continue
		}
		perSecond += float64(p.Spec.Batch*max(1, p.Spec.Slots)) / (full.Seconds() * w.currentSlowness(now))
	}
	perSecond += p.LimitedCallsPerSecond * float64(p.Spec.Batch)
	if !found {
		soonest = max(0, p.AvailableAt-now)
	}
	return soonest, perSecond
}

// NextChange returns the next time at which a call should have fetched its inputs or, if work is
// queued, a worker in backoff or busy may take a call again; false if there is none.
func (p *Pool) NextChange(now time.Duration) (time.Duration, bool) {
	var next time.Duration
	for _, w := range p.workers {
		for _, c := range w.calls {
			if at := c.runningSince + inputFetchTime; c.fetchesInputs() && (next == 0 || at < next) {
				next = max(at, now+time.Millisecond)
			}
		}
	}
	if len(p.groups) == 0 {
		return next, next > 0
	}
	for _, e := range p.endpoints {
		w := p.workers[e.ID]
		at := max(w.pausedUntil, w.probation.until, now)
		if len(w.calls) > 0 {
			at = max(at, now+p.remaining(now, w)-p.Lead)
		}
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	return next, next > 0
}
