// Package bbcoordinator schedules requests through their stages to an engine. One VM of a cell runs
// it for all, so that pieces of different requests can be batched. It holds only scheduling state and
// makes the decisions; the VM that holds the caller's connection keeps the bodies and does the sending.
package bbcoordinator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbdispatch"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbhistory"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbplacement"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbprogress"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbsupply"
	"bluebellhall/core/bbsuspect"
	"bluebellhall/core/bburgency"
)

// Environment has the functions through which the coordinator queries and informs its VM.
type Environment struct {
	// Service returns the service of a name, or nil.
	Service func(name string) *bbcatalog.Service
	// Endpoints returns the endpoints of a service that may get new work.
	Endpoints func(service string) []*bbregistry.Entry
	// Region returns the region of a failure domain.
	Region func(zone string) string
	// Regions returns the regions in which requests of a route and an account may be served by the configuration in force,
	// and its version. It returns false if the VM doesn't know both; nil knows none.
	Regions func(route, account string) (regions []string, version uint64, ok bool)
	// Heard reports whether a VM gives signs of life or is unknown; nil if all do.
	Heard func(vm string) bool
	// Majority reports whether this VM reaches most of the others.
	Majority func() bool
	// SoleCoordinator reports whether no other VM coordinates these endpoints or did so recently.
	SoleCoordinator func() bool
	// Suspicion returns the verdict on content that may crash endpoints; nil means that no content is
	// restricted.
	Suspicion func(fingerprint uint64) bbsuspect.Verdict
	// RefusesPrompt reports whether a prompt with the given parts must not run, because one has crashed engines;
	// nil refuses none.
	RefusesPrompt func(parts []uint64) bool
	// RecordLoss records a run that ended with the crash of its endpoint; nil ignores it.
	RecordLoss func(fingerprint uint64, run bbsuspect.Run)
	// Answered records that an endpoint answered; nil ignores it.
	Answered func(endpoint string)
	// BackoffUntil returns the end of the backoff that an endpoint requested of this VM, which makes
	// the calls of stages; 0 if there is none. Nil means that no endpoint has requested any.
	BackoffUntil func(endpoint string) time.Duration
	// Pace counts the requests to endpoints that have named a limit.
	Pace bbsupply.Pace
	// Share returns the fraction of the fleet's retry budget that this coordinator may use;
	// nil for all of it.
	Share func() float64
	// Spill returns the coordinator of another cell that is expected to serve an order sooner than this
	// one, which needs the duration own, and the expected duration there. The name is empty if there is
	// none. Nil in a fleet of one cell.
	Spill func(o bbjob.Order, own time.Duration, allowed func(zone string) bool) (name string, expected time.Duration)
	// Features turn optional behaviour on; the zero value turns all of it off.
	Features bbfeature.Settings
}

// Limits configure the retry budget of the coordinator.
type Limits struct {
	// RetryRatio, RetrySlack and RetrySpan bound the retried calls to a service.
	RetryRatio float64
	RetrySlack float64
	RetrySpan  time.Duration
}

// Coordinator holds the requests in progress and the tables of pools and engines.
type Coordinator struct {
	env    Environment
	limits Limits
	jobs   map[string]*bbprogress.Job
	pools  map[string]*bbpool.Pool
	// engines has the engine table of each service.
	engines map[string]*bbplacement.Table
	retries bballowance.Windows
	calls   map[uint64]*runningCall
	// held are the failed calls whose pieces wait for the retry budget, by service.
	held map[string][]*heldCall
	// freed are handles of results to be freed, by the address of their producer.
	freed map[string][]string
	// waiting are the jobs whose stages are done and that have no grant of an engine.
	waiting map[string]*bbprogress.Job
	// sharedMachines is true once an endpoint of the pools has stated the speed of its machine.
	sharedMachines bool
	// learned has the statistics of each route.
	learned bbhistory.RouteStatsTable
	// latest has the needs of the latest order for each service of engines.
	latest   map[string]bbplacement.Need
	refused  *bbhistory.Refusals
	lastCall uint64
	// lastEviction is the time of the last periodic eviction, see evictionInterval.
	lastEviction time.Duration
	// sweptAt is when all requests were last checked for having to be refused, expiredAt when results were last
	// checked for having expired.
	sweptAt, expiredAt time.Duration
	// placedAt is when the requests that wait for an engine were last placed.
	placedAt time.Duration
	// lastFuture is the last result of future, as of futureAt.
	lastFuture map[string]bburgency.Profile
	futureAt   time.Duration
	// unread are the granted requests whose engines may not have fetched their inputs yet.
	unread map[string]*bbprogress.Job
	// supply lists the endpoints that may get work.
	supply *bbsupply.Supply
	// room has the requests that have started nothing and wait for capacity, shares what accounts got of the
	// endpoints. startedAt is when requests last were started from the room.
	room      *bbdispatch.Room
	shares    *bbdispatch.Shares
	startedAt time.Duration
	// late are the requests in progress that can't be on time, as far as noticed.
	late map[string]lateJob
	// leaving is true while this coordinator drains and returns its requests to their origins.
	leaving bool
	// examined counts the requests that decisions have looked at.
	examined uint64
	out      bbdecision.Output
}

const (
	// maxJobs bounds the requests in progress.
	maxJobs = 20000
	// admissionSlack is how late a request may be expected to be and still be admitted, as a
	// fraction of its objective.
	admissionSlack = 0.25
	// malformedRetryAfter is for orders that no coordinator of this version can handle.
	malformedRetryAfter = 5 * time.Second
	// minRetryAfter keeps refused callers from retrying before anything has changed.
	minRetryAfter = 150 * time.Millisecond
	// minReturnShare and maxReturnShare bound the part of the time left after which late callers should retry: callers
	// wait at most a third of it, and what remains must be enough to be served.
	minReturnShare = 0.2
	maxReturnShare = 0.33
	// returnSpreadSteps is the resolution of the spread of callers.
	returnSpreadSteps = 1000
	// interRegionLead is a round trip between regions plus some processing at both ends.
	interRegionLead = 15 * time.Millisecond
	// evictionInterval is how often expired entries are removed from the engine tables and the share of
	// the retry budget is updated.
	evictionInterval = time.Second
	// resultExpiryInterval is how often the pools drop results that have expired after some seconds.
	resultExpiryInterval = 10 * time.Millisecond
	// overdueCheckInterval is how often calls are checked for being overdue.
	overdueCheckInterval = 50 * time.Millisecond
)

// New returns a coordinator without requests.
func New(k Environment, l Limits) *Coordinator {
	if k.Share == nil {
		k.Share = func() float64 { return 1 }
	}
	if k.Regions == nil {
		k.Regions = func(string, string) ([]string, uint64, bool) { return nil, 0, false }
	}
	if k.Heard == nil {
		k.Heard = func(string) bool { return true }
	}
	if k.Suspicion == nil {
		k.Suspicion = func(uint64) bbsuspect.Verdict { return bbsuspect.Clear }
	}
	if k.RefusesPrompt == nil {
		k.RefusesPrompt = func([]uint64) bool { return false }
	}
	if k.RecordLoss == nil {
		k.RecordLoss = func(uint64, bbsuspect.Run) {}
	}
	if k.Answered == nil {
		k.Answered = func(string) {}
	}
	if k.BackoffUntil == nil {
		k.BackoffUntil = func(string) time.Duration { return 0 }
	}
	if k.Pace.Rate == nil {
		k.Pace = bbsupply.Pace{
			Rate:        func(string) (float64, bool) { return 0, false },
			AvailableAt: func(string) time.Duration { return 0 },
			Take:        func(string) {},
		}
	}
	if k.Spill == nil {
		k.Spill = func(bbjob.Order, time.Duration, func(string) bool) (string, time.Duration) { return "", 0 }
	}
	c := &Coordinator{
		env:     k,
		limits:  l,
		jobs:    make(map[string]*bbprogress.Job),
		pools:   make(map[string]*bbpool.Pool),
		engines: make(map[string]*bbplacement.Table),
		retries: bballowance.Windows{
			New: func() *bballowance.Window {
				return &bballowance.Window{
					Span:  l.RetrySpan,
					Ratio: l.RetryRatio,
					Slack: l.RetrySlack * k.Share(),
				}
			},
		},
		calls:   make(map[uint64]*runningCall),
		held:    make(map[string][]*heldCall),
		freed:   make(map[string][]string),
		waiting: make(map[string]*bbprogress.Job),
		unread:  make(map[string]*bbprogress.Job),
		learned: make(bbhistory.RouteStatsTable),
		latest:  make(map[string]bbplacement.Need),
		refused: bbhistory.NewRefusals(),
		shares:  bbdispatch.NewShares(),
		late:    make(map[string]lateJob),
	}
	c.room = bbdispatch.NewRoom(c.shares)
	c.supply = bbsupply.New(bbsupply.Hooks{
		Endpoints:    func(service string) []*bbregistry.Entry { return c.env.Endpoints(service) },
		BackoffUntil: func(endpoint string) time.Duration { return c.env.BackoffUntil(endpoint) },
		Pace:         func() bbsupply.Pace { return c.env.Pace },
	})
	return c
}

// Len returns the number of requests in progress.
func (c *Coordinator) Len() int {
	return len(c.jobs)
}

// Submit handles an order. Its verdict is in the returned output or a later one.
func (c *Coordinator) Submit(now time.Duration, o bbjob.Order) bbdecision.Output {
	if err := o.Check(); err != nil {
		c.log(bbdecision.Event{
			Number: bbevent.OrderMalformed,
			Job:    o.ID,
			Detail: err.Error(),
		})
		c.refuse(o.ID, "malformed", malformedRetryAfter, 0)
		return c.flush()
	}
	if j := c.jobs[o.ID]; j != nil {
		c.resubmit(now, j, o)
		return c.decide(now)
	}
	if c.env.Service(o.Service) == nil {
		c.refuse(o.ID, "noService", minRetryAfter, 0)
		return c.flush()
	}
	if len(c.jobs) >= maxJobs {
		c.refuse(o.ID, "tableFull", minRetryAfter, 0)
		return c.flush()
	}
	if c.leaving {
		c.sendElsewhere(o.ID, "")
		return c.flush()
	}
	j := bbprogress.NewJob(now, o)
	c.updateRegions(j)
	if reason := c.quarantineReason(j); reason != "" {
		c.refuse(o.ID, reason, bbsuspect.RetryAfter, 0)
		return c.flush()
	}
	c.importResults(now, j)
	if first, ok := c.refused.FirstArrival(now, j.Content); ok {
		j.Returning = true
		j.Due = min(j.Due, first+o.Objective)
	}
	expected := c.estimate(now, j)
	if c.spill(now, j, expected) {
		return c.flush()
	}
	if c.lacksVersion(j) {
		c.refuse(o.ID, noVersion, versionRetryAfter, 0)
		return c.flush()
	}
	judged := admissionTime(j, expected)
	waits := c.mustWait(now, j, judged)
	retryAfter, reason := c.checkAdmission(j, judged)
	if waits {
		retryAfter, reason = c.checkWaiting(now, j)
	}
	if reason != "" {
		c.refused.Add(now, j.Content)
		c.refuse(o.ID, reason, retryAfter, expected-now)
		return c.flush()
	}
	c.jobs[o.ID] = j
	c.countRequest(now, o)
	accepted := bbevent.OrderAccepted
	if j.Returning {
		accepted = bbevent.OrderReturned
	}
	c.log(bbdecision.Event{
		Number: accepted,
		Job:    o.ID,
		Detail: o.Route,
		Value:  expected - now,
	})
	if waits {
		c.wait(now, j)
	}
	c.schedule(j)
	return c.decide(now)
}

// Resume makes the coordinator accept orders again after Leave.
func (c *Coordinator) Resume() {
	c.leaving = false
}

// spill redirects an order that would be late here to another cell, if one is expected to be sooner.
// An order is redirected only once. One that has results stays in the cell that stores them.
func (c *Coordinator) spill(now time.Duration, j *bbprogress.Job, expected time.Duration) bool {
	if j.Order.Spilled || len(j.Order.Results) > 0 || expected <= j.Due {
		return false
	}
	name, elsewhere := c.env.Spill(j.Order, j.Estimated-now, c.allowed(j))
	if name == "" {
		return false
	}
	c.log(bbdecision.Event{
		Number: bbevent.OrderSpilled,
		Job:    j.Order.ID,
		Detail: fmt.Sprintf("%s here=%dms there=%dms", name, (expected - now).Milliseconds(), elsewhere.Milliseconds()),
		Value:  expected - now,
	})
	c.sendElsewhere(j.Order.ID, name)
	return true
}

// Leave starts to drain: it hands back all requests without running calls; the others follow when
// their calls end.
func (c *Coordinator) Leave() bbdecision.Output {
	c.leaving = true
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		c.handBack(c.jobs[id])
	}
	return c.flush()
}

// handBack makes the origin of a request send it to the next coordinator, with the results so far. It
// does nothing while the request has a grant or running calls.
func (c *Coordinator) handBack(j *bbprogress.Job) {
	if j.Granted != "" || j.InCalls() {
		return
	}
	id := j.Order.ID
	delete(c.jobs, id)
	delete(c.waiting, id)
	c.room.Remove(id)
	for i := range j.Stages {
		if p := c.pools[j.Order.Stages[i].Service]; p != nil {
			p.Drop(id)
		}
	}
	c.log(bbdecision.Event{
		Number: bbevent.OrderElsewhere,
		Job:    id,
	})
	if len(j.UnreportedFreed) > 0 {
		c.update(j, nil)
	}
	c.sendElsewhere(id, "")
}

// checkAdmission returns why a request is refused and when the caller should retry; the reason is
// empty if it is admitted.
func (c *Coordinator) checkAdmission(j *bbprogress.Job, expected time.Duration) (time.Duration, string) {
	if expected > j.Limit {
		return max(minRetryAfter, expected-j.Limit), "limit"
	}
	slack := time.Duration(admissionSlack * float64(j.Objective))
	if expected > j.Due+slack && !j.Returning && len(j.Order.Results) == 0 {
		return max(minRetryAfter, expected-j.Due, returnDelay(j, j.Limit-j.Arrived)), "late"
	}
	return 0, ""
}

// returnDelay returns when the caller of a request that is late anyway should retry, given the time left until its
// deadline. A late answer is worth the same whenever it comes, so that the request had better come back when the load
// has fallen; until then it takes nothing here. Callers are spread, so that they don't come back all at once.
func returnDelay(j *bbprogress.Job, left time.Duration) time.Duration {
	spread := float64(j.Content%returnSpreadSteps) / returnSpreadSteps
	return time.Duration((minReturnShare + spread*(maxReturnShare-minReturnShare)) * float64(max(0, left)))
}

// Cancel removes a request whose caller has disconnected or whose origin is lost.
func (c *Coordinator) Cancel(now time.Duration, id string) bbdecision.Output {
	if j := c.jobs[id]; j != nil {
		c.log(bbdecision.Event{
			Number: bbevent.OrderCancelled,
			Job:    id,
			Value:  now - j.Arrived,
		})
		if j.Granted != "" {
			c.table(j.Order.Service).Ended(now, j.Granted, id, bbhealth.OutcomeFull)
		}
		c.drop(j)
	}
	return c.decide(now)
}

// Tick handles what has become due: overdue calls, and requests whose time limit has passed.
func (c *Coordinator) Tick(now time.Duration) bbdecision.Output {
	expires := now-c.expiredAt >= resultExpiryInterval
	if expires {
		c.expiredAt = now
	}
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[name]
		if expires {
			p.Expire(now)
		}
		for _, call := range p.TakeOverdue(now) {
			c.hedge(now, c.calls[call.ID])
		}
		for _, call := range p.TakeInputsFetched(now) {
			// Calls of another coordinator may be served before this one's, so that the estimate of
			// what has been fetched doesn't hold.
			if c.env.SoleCoordinator() {
				c.recordInputsFetched(c.calls[call.ID])
			}
		}
	}
	if now-c.lastEviction >= evictionInterval {
		c.lastEviction = now
		c.retries.SetSlack(c.limits.RetrySlack * c.env.Share())
		for service, t := range c.engines {
			t.EvictStale(now, c.supply.Engines(service))
		}
	}
	c.freeRead(now)
	c.releaseHeld(now)
	if now-c.sweptAt >= bburgency.RefreshInterval(len(c.jobs)) {
		c.sweptAt = now
		c.sweep(now)
	}
	return c.decide(now)
}

// freeRead releases the inputs that engines should have fetched.
func (c *Coordinator) freeRead(now time.Duration) {
	for id, j := range c.unread {
		switch {
		case c.jobs[id] != j || j.Granted == "" || j.Started:
			delete(c.unread, id)
		case now-j.GrantedAt > inputTransferTime:
			delete(c.unread, id)
			c.freeUsed(j)
		}
	}
}

// sweep drops the requests that have ended unnoticed, and refuses those that can no longer be served.
func (c *Coordinator) sweep(now time.Duration) {
	c.examined += uint64(len(c.jobs))
	var expired []string
	for id, j := range c.jobs {
		switch {
		case j.Granted != "" && now > j.Limit+grantGrace:
			c.table(j.Order.Service).Ended(now, j.Granted, id, bbhealth.OutcomeFull)
			c.drop(j)
		case j.Granted == "":
			if cause, _ := c.dropReason(now, j); cause != "" {
				expired = append(expired, id)
			}
		}
	}
	if c.lateMayWait() {
		c.deferLate(now)
	}
	// In a fixed order, so that decisions can be replayed: each refusal shortens the queueing
	// delay of the others.
	slices.Sort(expired)
	for _, id := range expired {
		j := c.jobs[id]
		if cause, retryAfter := c.dropReason(now, j); cause != "" {
			c.refuse(id, cause, retryAfter, now-j.Arrived)
			c.drop(j)
		}
	}
}

// dropReason returns why a request is refused after its admission and when its caller should retry;
// the cause is empty if the request goes on.
func (c *Coordinator) dropReason(now time.Duration, j *bbprogress.Job) (cause string, retryAfter time.Duration) {
	if reason := c.quarantineReason(j); reason != "" {
		return reason, bbsuspect.RetryAfter
	}
	if c.lacksVersion(j) {
		return noVersion, versionRetryAfter
	}
	if now+j.RemainingToFirstToken() > j.Limit {
		return "deadline", minRetryAfter
	}
	if end := c.backoffEnd(j); end > j.Limit {
		return "resting", end - now
	}
	if c.waiting[j.Order.ID] != nil {
		if wait := c.supply.EngineWait(j.Order.Service, j.Order.Version, func() int { return c.countWaiting(j.Order.Version) }); now+wait > j.Limit {
			return "limited", wait
		}
	}
	if c.lateMayWait() {
		return "", 0
	}
	if wait := c.lateWait(now, j); wait > maxLateWait {
		return "backlog", max(wait, returnDelay(j, j.Limit-now))
	}
	return "", 0
}

// backoffEnd returns when each remaining stage of a request has an available endpoint again, if all
// endpoints of some stage have requested backoff; 0 if none is blocked this way.
func (c *Coordinator) backoffEnd(j *bbprogress.Job) time.Duration {
	var end time.Duration
	for i, s := range j.Order.Stages {
		p := c.pools[s.Service]
		if p == nil || p.AvailableAt == 0 || j.Stages[i].Left == 0 || !j.Needed(i) {
			continue
		}
		// Another endpoint may have joined since.
		c.supply.Update(s.Service, p)
		end = max(end, p.AvailableAt)
	}
	return end
}

// maxLateWait is the longest queueing delay for a stage of a request that can no longer meet its
// objective: one and a half calls. Its results take up memory that requests on time need, and after
// a few seconds they expire and have to be computed again.
const maxLateWait = 500 * time.Millisecond

// lateWait returns the longest queueing delay among the stages of a request that can no longer meet
// its objective.
func (c *Coordinator) lateWait(now time.Duration, j *bbprogress.Job) time.Duration {
	var longest time.Duration
	for _, i := range j.LateStages(now) {
		if p := c.pools[j.Order.Stages[i].Service]; p != nil {
			longest = max(longest, p.Wait(now, j.DueOf(i).Urgency(now)-1, 0))
		}
	}
	return longest
}

// inputTransferTime is the time after a grant within which the engine should have fetched its inputs:
// the grant travels to the origin, the request to the engine, and the inputs to the engine.
const inputTransferTime = 100 * time.Millisecond

// grantGrace is how long after its limit a granted request is kept.
const grantGrace = time.Second

// Next returns the latest time at which Tick should be called again.
func (c *Coordinator) Next(now time.Duration) (time.Duration, bool) {
	if len(c.jobs) == 0 {
		return 0, false
	}
	next := now + overdueCheckInterval
	if len(c.waiting) > 0 || c.room.Len() > 0 {
		next = now + placementInterval
	}
	for _, p := range c.pools {
		if at, ok := p.NextChange(now); ok && at < next {
			next = at
		}
	}
	return max(next, now+time.Millisecond), true
}

// decide issues all calls and grants that are possible now.
func (c *Coordinator) decide(now time.Duration) bbdecision.Output {
	if c.leaving {
		return c.flush()
	}
	c.place(now)
	c.startWaiting(now)
	var withheld []bbpool.Piece
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[name]
		if p.Waiting() == 0 {
			continue
		}
		c.supply.Update(name, p)
		for call := p.Next(now); call != nil && len(call.Pieces) > 0; call = p.Next(now) {
			withheld = append(withheld, c.withhold(call)...)
			if len(call.Pieces) == 0 {
				continue
			}
			c.lastCall++
			p.Start(now, call, c.lastCall)
			c.calls[call.ID] = c.newRunningCall(call)
			if _, limited := c.env.Pace.Rate(call.Endpoint); limited {
				c.env.Pace.Take(call.Endpoint)
				c.supply.Update(name, p)
			}
			c.recordCallStart(c.calls[call.ID])
			c.out.Calls = append(c.out.Calls, call)
			c.log(bbdecision.Event{
				Number:   bbevent.CallSent,
				Call:     call.ID,
				Endpoint: call.Endpoint,
				Service:  name,
				Pieces:   len(call.Pieces),
				Detail:   fmt.Sprintf("%s pieces=%d waiting=%d", name, len(call.Pieces), p.Waiting()),
				Value:    call.Expected - now,
			})
		}
	}
	for _, piece := range withheld {
		if j := c.jobs[piece.Job]; j != nil {
			c.schedule(j)
		}
	}
	return c.flush()
}

// flush returns and resets the output collected so far.
func (c *Coordinator) flush() bbdecision.Output {
	for _, address := range slices.Sorted(maps.Keys(c.freed)) {
		c.out.Releases = append(c.out.Releases, bbdecision.Release{
			Address: address,
			Handles: c.freed[address],
		})
	}
	clear(c.freed)
	out := c.out
	c.out = bbdecision.Output{}
	return out
}

// refuse adds the final refusal of a request to the output.
func (c *Coordinator) refuse(id, reason string, retryAfter, expected time.Duration) {
	c.log(bbdecision.Event{
		Number: bbevent.OrderRefused,
		Job:    id,
		Detail: reason,
		Value:  expected,
	})
	c.out.Refusals = append(c.out.Refusals, bbjob.Refusal{
		ID:         id,
		Reason:     reason,
		RetryAfter: retryAfter,
		Expected:   expected,
	})
}

// sendElsewhere redirects a request to the named coordinator, or to the next one of this cell.
func (c *Coordinator) sendElsewhere(id, cell string) {
	c.out.Redirects = append(c.out.Redirects, bbdecision.Redirect{
		ID:   id,
		Cell: cell,
	})
}

// update reports the results of a stage to the origin of a request, together with those released
// since the last update. Releases alone don't justify a message until the request is handed back.
func (c *Coordinator) update(j *bbprogress.Job, results []bbjob.StageResult) {
	if c.out.Updates == nil {
		c.out.Updates = make(map[string]bbjob.Update)
	}
	u := c.out.Updates[j.Order.ID]
	for i := range u.Results {
		if slices.Contains(j.UnreportedFreed, u.Results[i].Stage) {
			u.Results[i].Freed = true
		}
	}
	u.Results = append(u.Results, results...)
	u.Freed = append(u.Freed, j.UnreportedFreed...)
	j.UnreportedFreed = nil
	c.out.Updates[j.Order.ID] = u
}

// log adds an event to the output.
func (c *Coordinator) log(e bbdecision.Event) {
	c.out.Events = append(c.out.Events, e)
}

// pool returns the pool of a service, or nil if the service has none.
func (c *Coordinator) pool(service string) *bbpool.Pool {
	p := c.pools[service]
	s := c.env.Service(service)
	if p == nil {
		if s == nil || s.Pool == nil {
			return nil
		}
		p = bbpool.NewPool(service, *s.Pool)
		p.Lead = interRegionLead
		c.pools[service] = p
		c.supply.Update(service, p)
	} else if s != nil && s.Pool != nil {
		p.Spec = *s.Pool
	}
	return p
}

// table returns the engine table of a service.
func (c *Coordinator) table(service string) *bbplacement.Table {
	t := c.engines[service]
	s := c.env.Service(service)
	if t == nil {
		t = bbplacement.NewTable(bbcatalog.Engine{})
		c.engines[service] = t
	}
	if s != nil && s.Engine != nil {
		t.Spec = *s.Engine
	}
	return t
}
