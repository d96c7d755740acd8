package bbcoordinator

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbregistry"
)

var simulationSeeds = flag.Uint64("simulationSeeds", 100, "the number of seeds of TestRandomEventsKeepInputsAndGrants")

const (
	// arrivalTime is how long requests arrive, simulationEnd when the last of them must have ended.
	arrivalTime   = 24 * time.Second
	simulationEnd = arrivalTime + 12*time.Second
	// networkDelay is the network delay of a message.
	networkDelay = 5 * ms
)

// simulatedEngines are the engines of a simulation.
var simulatedEngines = []string{"e1", "e2", "e3"}

// simulatedResult is a result that a stage worker has made.
type simulatedResult struct {
	piece    bbpool.Piece
	released bool
	// offered is true if the origin named the result to a coordinator when an order was repeated, without
	// knowing whether it still exists.
	offered bool
	// lost is true once the worker no longer stores the result.
	lost bool
}

// simulatedRequest is the state of a request at its origin.
type simulatedRequest struct {
	order bbjob.Order
	// coordinator decides on the request; it changes when the first one leaves.
	coordinator *Coordinator
	// engine is the engine that the origin uses; empty if none. Unread are its inputs until it has fetched them.
	engine string
	unread []string
	// ended is true once the origin expects nothing more.
	ended   bool
	results []bbjob.StageResult
}

// simulation drives a coordinator through a random order of events and checks each call and each grant.
type simulation struct {
	// waiting is true if late requests wait instead of being refused.
	waiting bool
	random  *rand.Rand
	now     time.Duration
	events  []simulatedEvent
	made    int
	// backoff is the end of the backoff that each worker has requested.
	backoff map[string]time.Duration
	// busy is when each worker is done with the calls that it has.
	busy     map[string]time.Duration
	results  map[string]*simulatedResult
	requests map[string]*simulatedRequest
	// current gets new requests; leaving is the one before it that still has calls, or nil.
	current, leaving *Coordinator
	faults           []string
	// versions are the versions of the engines; nil if they have none and all are listed.
	versions *simulatedVersions
	// fleet has VMs whose views of endpoints and configurations change; nil if both stay.
	fleet *simulatedFleet
}

// simulatedEvent is a function that runs at a time.
type simulatedEvent struct {
	at  time.Duration
	run func()
}

// newSimulation returns a simulation before its first event.
func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewPCG(seed, 0)),
		backoff:  make(map[string]time.Duration),
		busy:     make(map[string]time.Duration),
		results:  make(map[string]*simulatedResult),
		requests: make(map[string]*simulatedRequest),
		waiting:  seed%2 == 1,
	}
	s.current = s.newCoordinator()
	return s
}

// newCoordinator returns a coordinator of the workers of the simulation.
func (s *simulation) newCoordinator() *Coordinator {
	c := newTestCoordinator("s1", "s2", "s3")
	if s.waiting {
		c.env.Features.Waiting = bbfeature.ModeOn
	}
	listed := c.env.Endpoints
	c.env.Endpoints = func(service string) []*bbregistry.Entry {
		entries := listed(service)
		if service != "engine" {
			return entries
		}
		if s.versions != nil {
			return s.versions.entries(*entries[0])
		}
		for _, id := range simulatedEngines[1:] {
			e := *entries[0]
			e.ID = id
			entries = append(entries, &e)
		}
		return entries
	}
	c.env.BackoffUntil = func(endpoint string) time.Duration {
		if until := s.backoff[endpoint]; until > s.now {
			return until
		}
		return 0
	}
	if s.fleet != nil {
		s.fleet.place(c)
	}
	return c
}

// fault records a broken invariant.
func (s *simulation) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// chance reports true in one of n cases.
func (s *simulation) chance(n int) bool { return s.random.IntN(n) == 0 }

// between returns a random duration.
func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// after schedules a function.
func (s *simulation) after(d time.Duration, run func()) {
	e := simulatedEvent{
		at:  s.now + d,
		run: run,
	}
	i, _ := slices.BinarySearchFunc(s.events, e, func(a, b simulatedEvent) int {
		// Events at the same time run in the order in which they were scheduled.
		return cmp.Or(cmp.Compare(a.at, b.at), -1)
	})
	s.events = slices.Insert(s.events, i, e)
}

// run runs all events and returns the broken invariants.
func (s *simulation) run() []string {
	for at := time.Duration(0); at < arrivalTime; at += s.between(20*ms, 500*ms) {
		s.after(at, s.arrive)
	}
	for at := time.Duration(0); at < arrivalTime; at += s.between(500*ms, 2*time.Second) {
		s.after(at, s.rest)
	}
	if s.chance(3) {
		s.after(s.between(0, arrivalTime), s.leave)
	}
	s.scheduleReleases()
	if s.fleet != nil {
		s.fleet.schedule()
	}
	s.after(0, s.tick)
	for len(s.events) > 0 && len(s.faults) == 0 {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.run()
		s.checkQueues()
	}
	if len(s.faults) == 0 {
		s.checkEnd()
	}
	return s.faults
}

// checkQueues checks that the pools hold the pieces which their requests take for queued.
func (s *simulation) checkQueues() {
	queued := make(map[string]int)
	for _, j := range s.current.jobs {
		for i := range j.Stages {
			for _, piece := range j.Stages[i].Pieces {
				if piece.Queued {
					queued[j.Order.Stages[i].Service]++
				}
				if piece.Calls < 0 {
					s.fault("%s has a piece of stage %d in %d calls", j.Order.ID, i, piece.Calls)
				}
			}
		}
	}
	for service, pool := range s.current.pools {
		if pool.Waiting() != queued[service] {
			s.fault("%d pieces wait for %s, want the %d that are queued", pool.Waiting(), service, queued[service])
		}
	}
}

// checkEnd checks that nothing is left of any request.
func (s *simulation) checkEnd() {
	if n := s.current.Len(); n > 0 {
		s.fault("%d requests are left", n)
	}
	engines := simulatedEngines
	if s.fleet != nil {
		engines = s.fleet.endpoints()
	}
	for _, id := range engines {
		if n := s.current.table("engine").Running(id); n > 0 {
			s.fault("%d requests count as running at %s", n, id)
		}
	}
}

// tick runs the timer work of the coordinators.
func (s *simulation) tick() {
	s.apply(s.current, s.current.Tick(s.now))
	s.checkNoneLacksVersion(s.current)
	if s.leaving != nil {
		s.apply(s.leaving, s.leaving.Tick(s.now))
		s.checkNoneLacksVersion(s.leaving)
	}
	if s.now < simulationEnd {
		s.after(10*ms, s.tick)
	}
}

// arrive submits a new request with a random chain of stages.
func (s *simulation) arrive() {
	o := testOrder(fmt.Sprintf("r%d", len(s.requests)), 1+s.random.IntN(6))
	o.Resumable = s.chance(2)
	third := bbjob.Stage{
		Service:     "second",
		After:       [][]int{{1}, {0}, {0, 1}}[s.random.IntN(3)],
		ResultBytes: 1e3,
		Pieces:      1 + s.random.IntN(6),
	}
	o.Stages = append(o.Stages, third)
	o.Version = s.drawVersion()
	q := &simulatedRequest{
		order: o,
	}
	s.requests[o.ID] = q
	if s.fleet != nil {
		s.fleet.arrive(q)
	}
	s.submit(q)
	if s.chance(20) {
		s.after(s.between(0, time.Second), func() { s.disconnect(q) })
	}
}

// submit sends the order of a request to the current coordinator.
func (s *simulation) submit(q *simulatedRequest) {
	q.coordinator = s.current
	s.order(q)
}

// order sends the order of a request to its coordinator.
func (s *simulation) order(q *simulatedRequest) {
	if s.fleet != nil {
		s.fleet.updateOrder(q)
	}
	s.apply(q.coordinator, q.coordinator.Submit(s.now, q.order))
}

// disconnect ends a request at its coordinator while calls may still work on it, because the caller has left or the
// connection to the origin broke; in the second case the origin orders again.
func (s *simulation) disconnect(q *simulatedRequest) {
	if q.ended || q.engine != "" {
		return
	}
	s.apply(q.coordinator, q.coordinator.Cancel(s.now, q.order.ID))
	if s.chance(2) {
		q.ended = true
		return
	}
	q.order.Results = q.results
	for _, m := range q.results {
		s.results[m.Handle].offered = true
	}
	s.submit(q)
}

// rest makes a worker of the later stages or the engine ask for a backoff.
func (s *simulation) rest() {
	endpoints := []string{"s1", "s2", "s3", "e1", "e2", "e3"}
	if s.fleet != nil {
		endpoints = s.fleet.endpoints()
	}
	endpoint := endpoints[s.random.IntN(len(endpoints))]
	s.backoff[endpoint] = s.now + s.between(200*ms, 700*ms)
}

// leave replaces the coordinator by another one.
func (s *simulation) leave() {
	s.leaving = s.current
	s.current = s.newCoordinator()
	s.apply(s.leaving, s.leaving.Leave())
}

// apply carries out the decisions of a coordinator and checks them.
func (s *simulation) apply(c *Coordinator, out bbdecision.Output) {
	if s.fleet != nil && s.fleet.lost[c] {
		return
	}
	for _, e := range out.Events {
		if e.Number == bbevent.SendWithheld {
			s.fault("%+v, which would have been sent", e)
		}
	}
	for id, u := range out.Updates {
		q := s.requests[id]
		q.results = u.Apply(q.results)
	}
	for _, r := range out.Releases {
		for _, handle := range r.Handles {
			result := s.results[handle]
			result.released = true
			if q := s.requests[result.piece.Job]; slices.Contains(q.unread, handle) {
				s.fault("input %q of %s is released before its engine has fetched it", handle, q.order.ID)
			}
			s.after(networkDelay, func() { result.lost = true })
		}
	}
	for _, call := range out.Calls {
		s.call(c, call)
	}
	for _, r := range out.Refusals {
		s.checkRefusal(r)
		s.requests[r.ID].ended = true
	}
	for _, r := range out.Redirects {
		q := s.requests[r.ID]
		q.order.Results = q.results
		s.after(networkDelay, func() { s.submit(q) })
	}
	for _, g := range out.Grants {
		s.grant(c, g)
	}
}

// checkInputs checks that handles are those of all results of stages of a request, none of them released.
func (s *simulation) checkInputs(what string, o bbjob.Order, stages []int, handles []string) {
	var got, want []bbpool.Piece
	for _, handle := range handles {
		r := s.results[handle]
		switch {
		case r == nil:
			s.fault("%s is given input %q, which nobody made", what, handle)
		case r.released && !r.offered:
			s.fault("%s is given input %q, which was released before", what, handle)
		default:
			got = append(got, r.piece)
		}
	}
	for _, stage := range stages {
		for k := range o.Stages[stage].Pieces {
			want = append(want, bbpool.Piece{
				Job:   o.ID,
				Stage: stage,
				Piece: k,
			})
		}
	}
	if len(s.faults) == 0 && !slices.Equal(got, want) {
		s.fault("%s is given the results of %v, want %v", what, got, want)
	}
}

// call checks a call and schedules its end.
func (s *simulation) call(c *Coordinator, call *bbpool.Call) {
	inputs := make([][]string, len(call.Pieces))
	for i, piece := range call.Pieces {
		what := fmt.Sprintf("call %d to %s with %+v", call.ID, call.Endpoint, piece)
		if slices.Contains(call.Pieces[:i], piece) {
			s.fault("%s has that piece twice", what)
		}
		_, handles, ok := c.PieceInputs(piece)
		if !ok {
			s.fault("%s is for a request that has ended", what)
			continue
		}
		inputs[i] = handles
		if handle := c.jobs[piece.Job].Stages[piece.Stage].Pieces[piece.Piece].Handle; handle != "" {
			s.fault("%s is for a piece that has result %q", what, handle)
		}
		o := s.requests[piece.Job].order
		s.checkInputs(what, o, o.Stages[piece.Stage].After, handles)
		if s.fleet != nil {
			s.fleet.checkDecision(what, c, s.requests[piece.Job], call.Endpoint)
		}
	}
	zone := "east"
	if s.fleet != nil {
		zone = s.fleet.zones[call.Endpoint]
	}
	begins := max(s.now+networkDelay, s.busy[call.Endpoint])
	took := 200*ms + time.Duration(len(call.Pieces))*10*ms
	if s.chance(6) {
		took *= 4
	}
	outcome := bbhealth.OutcomeGood
	switch s.random.IntN(30) {
	case 0:
		outcome = bbhealth.OutcomeBroken
		took = s.between(0, took)
	case 1:
		outcome = bbhealth.OutcomeFull
		took = ms
	}
	s.busy[call.Endpoint] = begins + took
	s.after(begins-s.now, func() {
		results := s.work(call, inputs, outcome)
		s.after(took+networkDelay, func() {
			s.apply(c, c.CallDone(s.now, call.ID, zone, outcome, results))
		})
	})
}

// work returns what a worker answers to a call.
func (s *simulation) work(call *bbpool.Call, inputs [][]string, outcome bbhealth.Outcome) []bbdecision.PieceResult {
	if outcome != bbhealth.OutcomeGood {
		return nil
	}
	results := make([]bbdecision.PieceResult, len(call.Pieces))
	missing := s.chance(25)
	for i, piece := range call.Pieces {
		gone := piece.Stage > 0 && missing
		for _, handle := range inputs[i] {
			gone = gone || s.results[handle] == nil || s.results[handle].lost
		}
		if gone {
			results[i].InputMissing = true
			continue
		}
		s.made++
		results[i].Handle = fmt.Sprintf("%s/%d", call.Endpoint, s.made)
		s.results[results[i].Handle] = &simulatedResult{
			piece: piece,
		}
	}
	return results
}

// grant checks a grant and schedules what becomes of the request at its engine.
func (s *simulation) grant(c *Coordinator, g bbjob.Grant) {
	q := s.requests[g.ID]
	if q.engine != "" {
		s.fault("%s is granted %s while it uses %s", g.ID, g.Endpoint, q.engine)
	}
	s.checkVersion(q.order, g)
	q.engine = g.Endpoint
	q.unread = g.Inputs
	var finals []int
	for i := range q.order.Stages {
		if c.jobs[g.ID].FeedsEngineOnly(i) {
			finals = append(finals, i)
		}
	}
	s.checkInputs("the grant of "+g.ID, q.order, finals, g.Inputs)
	if s.fleet != nil {
		s.fleet.grant(c, q, g)
		return
	}
	s.send(c, q, g)
}

// send schedules what becomes of a request that its origin sends to an engine.
func (s *simulation) send(c *Coordinator, q *simulatedRequest, g bbjob.Grant) {
	s.after(3*networkDelay, func() {
		q.unread = nil
		missing := s.chance(20)
		for _, handle := range g.Inputs {
			missing = missing || s.results[handle] == nil || s.results[handle].lost
		}
		if missing {
			s.again(c, q, bbhealth.OutcomeFull, true)
			return
		}
		s.after(s.between(30*ms, 150*ms), func() { s.begin(c, q, g) })
	})
}

// begin schedules the rest of an answer that has begun.
func (s *simulation) begin(c *Coordinator, q *simulatedRequest, g bbjob.Grant) {
	started := bbjob.Note{
		ID:       g.ID,
		Endpoint: g.Endpoint,
		Started:  true,
	}
	// A note may be on its way longer than the order that follows it.
	s.after(s.between(networkDelay, 60*ms), func() { s.apply(c, c.Progress(s.now, started)) })
	s.after(s.between(networkDelay, 300*ms), func() {
		if s.chance(4) && q.order.Resumable {
			s.keepVersion(q, g)
			s.again(c, q, bbhealth.OutcomeBroken, false)
			return
		}
		q.ended = true
		q.engine = ""
		s.after(networkDelay, func() {
			s.apply(c, c.Progress(s.now, bbjob.Note{
				ID:       g.ID,
				Endpoint: g.Endpoint,
				Ended:    true,
				Outcome:  bbhealth.OutcomeGood,
			}))
		})
	})
}

// again reports a failed attempt at an engine and orders another one.
func (s *simulation) again(c *Coordinator, q *simulatedRequest, outcome bbhealth.Outcome, inputsGone bool) {
	note := bbjob.Note{
		ID:       q.order.ID,
		Endpoint: q.engine,
		Ended:    true,
		Again:    true,
		Outcome:  outcome,
	}
	s.after(s.between(networkDelay, 20*ms), func() { s.apply(c, c.Progress(s.now, note)) })
	if !inputsGone {
		q.order.Avoid = append(q.order.Avoid, q.engine)
	}
	q.engine = ""
	q.order.InputsGone = inputsGone
	q.order.Repeat = outcome.Sent()
	s.after(networkDelay, func() {
		if q.coordinator != s.current && s.current.jobs[q.order.ID] == nil {
			q.order.Results = q.results
		}
		s.order(q)
	})
}

// TestRandomEventsKeepInputsAndGrants guards against pieces that are sent although they have a result, pieces and
// grants with inputs that are empty, incomplete, of another stage or released, and second grants of a request that
// uses an engine.
func TestRandomEventsKeepInputsAndGrants(t *testing.T) {
	broken := 0
	for seed := range *simulationSeeds {
		if faults := newSimulation(seed).run(); len(faults) > 0 {
			broken++
			t.Errorf("seed %d: %s", seed, faults[0])
		}
	}
	if broken > 0 {
		t.Errorf("%d of %d seeds have a fault", broken, *simulationSeeds)
	}
}

// FuzzEvents simulates the order of events of a seed.
func FuzzEvents(f *testing.F) {
	f.Add(uint64(0))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if faults := newSimulation(seed).run(); len(faults) > 0 {
			t.Error(faults[0])
		}
	})
}
