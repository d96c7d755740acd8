// Package bbhedgemodel is a model of VMs and endpoints of one plain service in virtual time, by which ways to
// hedge slow requests are compared. The VMs use bbhedge for their decisions.
package bbhedgemodel

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbhedge"
)

const (
	// places and queue are the numbers of requests that an endpoint runs and that may wait there.
	places = 6
	queue  = 12
	// maxOffers bounds the endpoints to which a request is offered.
	maxOffers = 4
	// retryAfterFactor times the objective is the time after which the first attempt of an idempotent
	// request ends if it was not hedged.
	retryAfterFactor = 1.5
	// minTravel and maxTravel bound the time of a message in one direction.
	minTravel = time.Millisecond
	maxTravel = 12 * time.Millisecond
	// minWork and maxWork bound the time that an endpoint works on a request at its usual speed.
	minWork = 60 * time.Millisecond
	maxWork = 140 * time.Millisecond
	// deadline is the time limit of a request.
	deadline = 2 * time.Second
	// binSpan is the resolution of Result.InFlight.
	binSpan = 100 * time.Millisecond
)

// Policy is a way to hedge.
type Policy struct {
	// Delay returns the time after which a request is hedged; nil never hedges.
	Delay func(h *bbhedge.Hedger, now, objective time.Duration) time.Duration
	// Tied enqueues slow requests at two endpoints at once; the one that begins first has the other one
	// drop the request.
	Tied bool
	// Unlimited ignores what bbhedge.Hedger.Take says.
	Unlimited bool
	// Share is the operators' bound.
	Share float64
}

// Scene is a deployment and its load.
type Scene struct {
	Seed      uint64
	VMs       int
	Endpoints int
	Span      time.Duration
	Objective time.Duration
	// Rate returns the number of requests per second of all VMs at a time.
	Rate func(now time.Duration) float64
	// Idempotent is the fraction of the requests that may be hedged.
	Idempotent float64
	// Slowness returns by how much longer work takes that begins at an endpoint at a time; 1 is usual.
	Slowness func(endpoint int, now time.Duration) float64
	// Measured lets VMs take the better of two random endpoints by the average of their response times.
	Measured bool
	// Reaches reports whether a VM reaches an endpoint; nil if all do.
	Reaches func(vm, endpoint int, now time.Duration) bool
}

// Result is what a run gave.
type Result struct {
	// Times are the response times of the answered requests that arrived after the first tenth of the
	// run, sorted; IdempotentTimes are those of idempotent requests.
	Times, IdempotentTimes []time.Duration
	// Requests and Unanswered count requests, Hedges the hedges sent, Won those that gave the answer.
	Requests, Unanswered, Hedges, Won int
	// OnTime counts the answers within the objective.
	OnTime int
	// RequestsAt are the arrivals and HedgesAt the hedges of each VM, in order of time.
	RequestsAt, HedgesAt [][]time.Duration
	// InFlight are the requests in progress at the end of each tenth of a second.
	InFlight []int
	// largest is the largest of LargestShare.
	largest float64
	// Denied counts the slow requests that were not hedged, by reason.
	Denied map[bbhedge.Reason]int
}

// event is something that happens at a time; seq orders those of the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(v any) { *e = append(*e, v.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// endpoint runs requests and has a queue.
type endpoint struct {
	running int
	waiting []*attempt
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	request  *request
	endpoint int
	sent     time.Duration
	hedge    bool
	// begun and ended are true once the endpoint has begun the work, and once the attempt needs no more.
	begun, ended bool
}

type request struct {
	vm         int
	arrived    time.Duration
	idempotent bool
	attempts   []*attempt
	done       bool
}

// open returns the attempts of a request that have not ended.
func (r *request) open() []*attempt {
	return slices.DeleteFunc(slices.Clone(r.attempts), func(a *attempt) bool { return a.ended })
}

// vm is the state of one VM.
type vm struct {
	hedger    *bbhedge.Hedger
	allowance bballowance.Window
	// average is the moving average of the response times of each endpoint; 0 before the first.
	average []time.Duration
}

// averageWeight is the weight of a new response time in an average.
const averageWeight = 0.3

// measure records the response time of an endpoint.
func (v *vm) measure(endpoint int, took time.Duration) {
	if v.average[endpoint] == 0 {
		v.average[endpoint] = took
	}
	v.average[endpoint] += time.Duration(averageWeight * float64(took-v.average[endpoint]))
}

// world is a run of a scene with a policy.
type world struct {
	scene     Scene
	policy    Policy
	random    *rand.Rand
	now       time.Duration
	seq       int
	events    events
	endpoints []endpoint
	vms       []vm
	inFlight  int
	result    Result
}

// serviceName is the name of the only service; its two routes are named by whether they are idempotent.
const serviceName = "s"

var routeNames = map[bool]string{true: "read", false: "once"}

// Run runs a scene with a policy.
func Run(s Scene, p Policy) Result {
	w := &world{
		scene:     s,
		policy:    p,
		random:    rand.New(rand.NewPCG(s.Seed, 1)),
		endpoints: make([]endpoint, s.Endpoints),
		vms:       make([]vm, s.VMs),
		result: Result{
			RequestsAt: make([][]time.Duration, s.VMs),
			HedgesAt:   make([][]time.Duration, s.VMs),
			Denied:     make(map[bbhedge.Reason]int),
		},
	}
	for i := range w.vms {
		w.vms[i].hedger = bbhedge.NewHedger(w.random.Float64())
		w.vms[i].average = make([]time.Duration, s.Endpoints)
		w.vms[i].allowance = bballowance.Window{
			Span:  10 * time.Second,
			Ratio: 0.2,
			Slack: 174 / float64(s.VMs),
		}
	}
	// Arrivals have random numbers of their own, so that all policies get the same ones.
	arrivals := rand.New(rand.NewPCG(s.Seed, 2))
	for at := time.Duration(0); ; {
		at += time.Duration(arrivals.ExpFloat64() / s.Rate(at) * float64(time.Second))
		if at > s.Span {
			break
		}
		r := &request{
			vm:         arrivals.IntN(s.VMs),
			arrived:    at,
			idempotent: arrivals.Float64() < s.Idempotent,
		}
		w.schedule(at, func() { w.arrive(r) })
	}
	for at := binSpan; at <= s.Span; at += binSpan {
		w.schedule(at, func() { w.result.InFlight = append(w.result.InFlight, w.inFlight) })
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	for i := range w.vms {
		for reason, n := range w.vms[i].hedger.Counts()[serviceName].Denied {
			w.result.Denied[reason] += n
		}
	}
	slices.Sort(w.result.Times)
	slices.Sort(w.result.IdempotentTimes)
	return w.result
}

func (w *world) schedule(at time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{
		at:  at,
		seq: w.seq,
		do:  do,
	})
}

// later schedules something after a message's travel.
func (w *world) later(do func()) {
	w.schedule(w.now+minTravel+time.Duration(w.random.Int64N(int64(maxTravel-minTravel))), do)
}

func (w *world) arrive(r *request) {
	v := &w.vms[r.vm]
	w.inFlight++
	w.result.Requests++
	w.result.RequestsAt[r.vm] = append(w.result.RequestsAt[r.vm], w.now)
	v.allowance.Request(w.now)
	v.hedger.Request(w.now, serviceName, w.policy.Share)
	w.schedule(w.now+deadline, func() { w.finish(r, nil) })
	w.send(r, false)
	if !r.idempotent {
		return
	}
	if w.policy.Delay != nil {
		w.schedule(w.now+w.policy.Delay(v.hedger, w.now, w.scene.Objective), func() { w.hedge(r) })
	}
	first := r.attempts[0]
	w.schedule(w.now+time.Duration(retryAfterFactor*float64(w.scene.Objective)), func() {
		if !r.done && len(r.attempts) == 1 && v.allowance.Take(w.now, 1) {
			w.cancel(first)
			w.send(r, false)
		}
	})
}

// hedge sends a slow request to a second endpoint if that is permitted.
func (w *world) hedge(r *request) {
	if r.done || len(r.attempts) != 1 || r.attempts[0].ended {
		return
	}
	v := &w.vms[r.vm]
	if !w.policy.Unlimited {
		if reason := v.hedger.Take(w.now, serviceName, w.policy.Share, &v.allowance); reason != bbhedge.Permitted {
			v.hedger.Denied(serviceName, reason)
			return
		}
	}
	w.result.Hedges++
	w.result.HedgesAt[r.vm] = append(w.result.HedgesAt[r.vm], w.now)
	w.send(r, true)
}

// send sends a request to a random endpoint that hasn't had it.
func (w *world) send(r *request, hedge bool) {
	var free []int
	for e := range w.endpoints {
		tried := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.endpoint == e })
		if !tried && (w.scene.Reaches == nil || w.scene.Reaches(r.vm, e, w.now)) {
			free = append(free, e)
		}
	}
	if len(free) == 0 || len(r.attempts) >= maxOffers {
		if len(r.open()) == 0 {
			w.finish(r, nil)
		}
		return
	}
	chosen := free[w.random.IntN(len(free))]
	if v := &w.vms[r.vm]; w.scene.Measured {
		if other := free[w.random.IntN(len(free))]; v.average[other] < v.average[chosen] {
			chosen = other
		}
	}
	a := &attempt{
		request:  r,
		endpoint: chosen,
		sent:     w.now,
		hedge:    hedge,
	}
	r.attempts = append(r.attempts, a)
	w.later(func() { w.reach(a) })
}

// reach lets an attempt begin, wait or be rejected at its endpoint.
func (w *world) reach(a *attempt) {
	e := &w.endpoints[a.endpoint]
	switch {
	case a.ended:
	case e.running < places:
		w.begin(a)
	case len(e.waiting) < queue:
		e.waiting = append(e.waiting, a)
	default:
		a.ended = true
		w.later(func() {
			r := a.request
			w.vms[r.vm].hedger.Rejected(w.now, serviceName)
			if !r.done && !a.hedge && len(r.open()) == 0 && w.vms[r.vm].allowance.Take(w.now, 1) {
				w.send(r, false)
			} else if !r.done && len(r.open()) == 0 {
				w.finish(r, nil)
			}
		})
	}
}

func (w *world) begin(a *attempt) {
	e := &w.endpoints[a.endpoint]
	e.running++
	a.begun = true
	if w.policy.Tied {
		for _, other := range a.request.open() {
			if other != a {
				w.later(func() { w.drop(other) })
			}
		}
	}
	work := minWork + time.Duration(w.random.Int64N(int64(maxWork-minWork)))
	work = time.Duration(float64(work) * w.scene.Slowness(a.endpoint, w.now))
	w.schedule(w.now+work, func() {
		if a.ended {
			return
		}
		a.ended = true
		w.leave(a)
		w.later(func() { w.finish(a.request, a) })
	})
}

// leave frees the place of an attempt that had begun.
func (w *world) leave(a *attempt) {
	e := &w.endpoints[a.endpoint]
	e.running--
	for len(e.waiting) > 0 && e.running < places {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !next.ended {
			w.begin(next)
		}
	}
}

// cancel stops an attempt at its endpoint, where the message arrives later.
func (w *world) cancel(a *attempt) {
	w.later(func() {
		if a.ended {
			return
		}
		a.ended = true
		e := &w.endpoints[a.endpoint]
		if i := slices.Index(e.waiting, a); i >= 0 {
			e.waiting = slices.Delete(e.waiting, i, i+1)
		}
		if a.begun {
			w.leave(a)
		}
	})
}

// drop stops an attempt that still waits at its endpoint.
func (w *world) drop(a *attempt) {
	e := &w.endpoints[a.endpoint]
	if i := slices.Index(e.waiting, a); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		a.ended = true
	}
}

// finish ends a request with the answer of an attempt, or without one.
func (w *world) finish(r *request, a *attempt) {
	if r.done {
		return
	}
	r.done = true
	w.inFlight--
	for _, other := range r.open() {
		w.cancel(other)
		w.vms[r.vm].hedger.Answered(w.now, serviceName, routeNames[r.idempotent], w.now-other.sent)
		w.vms[r.vm].measure(other.endpoint, w.now-other.sent)
	}
	if a == nil {
		w.result.Unanswered++
		return
	}
	w.vms[r.vm].hedger.Answered(w.now, serviceName, routeNames[r.idempotent], w.now-a.sent)
	w.vms[r.vm].measure(a.endpoint, w.now-a.sent)
	if a.hedge {
		w.result.Won++
	}
	took := w.now - r.arrived
	if took <= w.scene.Objective {
		w.result.OnTime++
	}
	if r.arrived < w.scene.Span/10 {
		return
	}
	w.result.Times = append(w.result.Times, took)
	if r.idempotent {
		w.result.IdempotentTimes = append(w.result.IdempotentTimes, took)
	}
}

// LargestShare returns the largest ratio of hedges to requests of all VMs in any window of time that ends with a hedge.
func (r *Result) LargestShare(window time.Duration) float64 {
	requests := mergeSorted(nil, slices.Concat(r.RequestsAt...))
	hedges := mergeSorted(nil, slices.Concat(r.HedgesAt...))
	largest := 0.0
	for _, end := range hedges {
		if end > window {
			largest = max(largest, within(hedges, end, window)/max(1, within(requests, end, window)))
		}
	}
	return largest
}

// within counts the sorted times in a window that ends at a time, the end included.
func within(sorted []time.Duration, end, window time.Duration) float64 {
	from, _ := slices.BinarySearch(sorted, end-window+1)
	to, _ := slices.BinarySearch(sorted, end+1)
	return float64(to - from)
}

// Quantile returns a quantile of sorted times.
func Quantile(sorted []time.Duration, fraction float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(math.Floor(fraction*float64(len(sorted)))))]
}

// Steady returns a scene of the size of the deployments: 70 VMs, six endpoints and a constant load.
func Steady(seed uint64, span time.Duration) Scene {
	return Scene{
		Seed:       seed,
		VMs:        70,
		Endpoints:  6,
		Span:       span,
		Objective:  300 * time.Millisecond,
		Rate:       func(time.Duration) float64 { return 116 },
		Idempotent: 0.28,
		Slowness:   func(int, time.Duration) float64 { return 1 },
	}
}

// spellSpan is the length of the periods in which an endpoint that shares its machine is slow.
const spellSpan = 600 * time.Millisecond

// Spells returns slowness by a factor in a fraction of the periods of each endpoint, drawn by a seed.
func Spells(seed uint64, fraction, factor float64) func(int, time.Duration) float64 {
	return func(endpoint int, now time.Duration) float64 {
		draw := rand.New(rand.NewPCG(seed+uint64(endpoint)*7919, uint64(now/spellSpan)))
		if draw.Float64() < fraction {
			return factor
		}
		return 1
	}
}

// OneSlow returns slowness by a factor of the first endpoint.
func OneSlow(factor float64) func(int, time.Duration) float64 {
	return func(endpoint int, _ time.Duration) float64 {
		if endpoint == 0 {
			return factor
		}
		return 1
	}
}
