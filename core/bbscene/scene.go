// Package bbscene runs a coordinator against modelled stage workers and engines under a
// manual clock. The models follow the users' published pages: calls of several pieces with a
// fixed and a variable part, room for results that expire, queues, and engines that read
// prompts one after another and keep their parts.
package bbscene

import (
	"container/heap"
	"fmt"
	"strings"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbcoordinator"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

// Settings describe the endpoints of a scene.
type Settings struct {
	// Pools are the services that work on stages.
	Pools []Pool
	// Engines is the number of engines of the service EngineService.
	Engines int
	// Zones are the failure domains over which endpoints are spread in turn.
	Zones []string
	// Latency is the time of one way between any two VMs.
	Latency time.Duration
	// RetrySlack is the number of repeats that is free in ten seconds.
	RetrySlack float64
	// Returns is true when callers that are refused come back once, as told, if their time
	// allows.
	RetryRefused bool
}

// Pool is a service that works on stages.
type Pool struct {
	Service string
	Spec    bbcatalog.Pool
	Workers int
}

// EngineService is the service of all engines of a scene.
const EngineService = "engine"

// Engine figures, as on the users' sheets.
const (
	engineSlots        = 96
	engineTokens       = 250e3
	prefillTokensPerMs = 38.4
	firstToken         = 40 * time.Millisecond
	answerTime         = 300 * time.Millisecond
	coldRate           = 9.4
)

// Outcome is what became of one order.
type Outcome struct {
	// Arrived and First are the times of arrival and of the first token; First is 0 if
	// there was none.
	Arrived, First time.Duration
	// Refused is the reason of a refusal.
	Refused string
	// Grants counts the engines that the order was granted.
	Grants int
}

// OnTime tells whether the first token came within an objective.
func (o Outcome) OnTime(objective time.Duration) bool {
	return o.First > 0 && o.First-o.Arrived <= objective
}

// Totals count what the endpoints saw.
type Totals struct {
	// Calls have Places for pieces, of which Pieces were used.
	Calls, Capacity, Pieces int
	// Gone and NoRoom are pieces that were not made for want of inputs or of room, Unused
	// results that nobody needed.
	MissingInputs, StorageFull, Unused int
}

// Scene is one run.
type Scene struct {
	// Coordinator is the one under test; Replace puts another one in its place.
	Coordinator *bbcoordinator.Coordinator
	// Now is the manual time.
	Now time.Duration
	// Outcomes has what became of each order.
	Outcomes map[string]*Outcome
	// Made has the results that each origin knows of.
	KnownResults map[string][]bbjob.StageResult
	Totals       Totals
	// Trace takes in a line on what should not happen; nil for none.
	Trace func(line string)
	// Elsewhere are orders that the coordinator handed back.
	Elsewhere []string

	settings Settings
	services map[string]*bbcatalog.Service
	entries  map[string][]*bbregistry.Entry
	workers  map[string]*worker
	engines  map[string]*engine
	orders   map[string]bbjob.Order
	events   events
	sequence int
	alone    bool
}

// New returns a scene with a coordinator that knows all endpoints.
func New(s Settings) *Scene {
	scene := &Scene{
		Outcomes:     make(map[string]*Outcome),
		KnownResults: make(map[string][]bbjob.StageResult),
		settings:     s,
		services:     make(map[string]*bbcatalog.Service),
		entries:      make(map[string][]*bbregistry.Entry),
		workers:      make(map[string]*worker),
		engines:      make(map[string]*engine),
		orders:       make(map[string]bbjob.Order),
		alone:        true,
	}
	for _, p := range s.Pools {
		spec := p.Spec
		scene.services[p.Service] = &bbcatalog.Service{
			Name: p.Service,
			Pool: &spec,
		}
		for i := range p.Workers {
			e := scene.addEndpoint(p.Service, i)
			scene.workers[e.ID] = newWorker(spec)
		}
	}
	scene.services[EngineService] = &bbcatalog.Service{
		Name:     EngineService,
		ColdRate: coldRate,
		Engine: &bbcatalog.Engine{
			Slots:  engineSlots,
			Tokens: engineTokens,
		},
	}
	for i := range s.Engines {
		e := scene.addEndpoint(EngineService, i)
		scene.engines[e.ID] = newEngine()
	}
	scene.Replace()
	return scene
}

// addEndpoint lists an endpoint.
func (s *Scene) addEndpoint(service string, i int) *bbregistry.Entry {
	id := fmt.Sprintf("%s-%d", service, i)
	e := &bbregistry.Entry{
		Endpoint: bbregistry.Endpoint{
			ID:      id,
			Service: service,
			Address: id,
			Zone:    s.settings.Zones[i%len(s.settings.Zones)],
		},
	}
	s.entries[service] = append(s.entries[service], e)
	return e
}

// Replace puts a coordinator without memory in the place of the present one.
func (s *Scene) Replace() {
	s.Coordinator = bbcoordinator.New(bbcoordinator.Environment{
		Service:         func(name string) *bbcatalog.Service { return s.services[name] },
		Endpoints:       func(service string) []*bbregistry.Entry { return s.entries[service] },
		Region:          func(zone string) string { return zone },
		Majority:        func() bool { return true },
		SoleCoordinator: func() bool { return s.alone },
	}, bbcoordinator.Limits{
		RetryRatio: 0.2,
		RetrySlack: s.settings.RetrySlack,
		RetrySpan:  10 * time.Second,
	})
}

// SetAlone tells the coordinator whether others may send calls too.
func (s *Scene) SetSoleCoordinator(alone bool) {
	s.alone = alone
}

// Slow makes the calls of one endpoint take so many times as long.
func (s *Scene) SetSlowdown(endpoint string, factor float64) {
	s.workers[endpoint].factor = factor
}

// Arrive lets an order arrive at a time.
func (s *Scene) Arrive(at time.Duration, o bbjob.Order) {
	s.at(at, func() {
		if s.Outcomes[o.ID] == nil {
			s.Outcomes[o.ID] = &Outcome{
				Arrived: s.Now,
			}
		}
		s.orders[o.ID] = o
		s.apply(s.Coordinator.Submit(s.Now, o))
	})
}

// At runs a function at a time.
func (s *Scene) At(at time.Duration, run func()) {
	s.at(at, run)
}

// tick is how often the coordinator is asked to look.
const tick = 10 * time.Millisecond

// Run plays until a time.
func (s *Scene) Run(until time.Duration) {
	for at := s.Now; at < until; at += tick {
		s.at(at, func() { s.apply(s.Coordinator.Tick(s.Now)) })
	}
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = until
}

// Leave lets the coordinator hand its requests back.
func (s *Scene) Leave() {
	s.apply(s.Coordinator.Leave())
}

// apply carries out what the coordinator decided.
func (s *Scene) apply(out bbdecision.Output) {
	for id, u := range out.Updates {
		s.KnownResults[id] = u.Apply(s.KnownResults[id])
	}
	for _, e := range out.Redirects {
		s.Elsewhere = append(s.Elsewhere, e.ID)
	}
	for _, r := range out.Refusals {
		s.outcome(r.ID).Refused = r.Reason
		s.retryRefused(r)
	}
	for _, f := range out.Releases {
		s.after(s.settings.Latency, func() { s.workers[f.Address].free(f.Handles) })
	}
	for _, c := range out.Calls {
		s.call(c)
	}
	for _, g := range out.Grants {
		s.grant(g)
	}
}

// returned ends the ID of a caller's second try.
const retrySuffix = "~"

// outcome returns what became of an order, whichever try of its caller it was.
func (s *Scene) outcome(id string) *Outcome {
	return s.Outcomes[strings.TrimSuffix(id, retrySuffix)]
}

// comeBack lets a refused caller try again.
func (s *Scene) retryRefused(r bbjob.Refusal) {
	o := s.orders[r.ID]
	left := o.Limit - (s.Now - s.outcome(r.ID).Arrived)
	if !s.settings.RetryRefused || strings.HasSuffix(r.ID, retrySuffix) || left < 2*r.RetryAfter {
		return
	}
	o.ID += retrySuffix
	o.Limit = left - r.RetryAfter
	s.at(s.Now+r.RetryAfter, func() {
		s.orders[o.ID] = o
		s.apply(s.Coordinator.Submit(s.Now, o))
	})
}

// grant sends a request to its engine.
func (s *Scene) grant(g bbjob.Grant) {
	o := s.outcome(g.ID)
	o.Grants++
	e := s.engines[g.Endpoint]
	s.after(3*s.settings.Latency, func() {
		for _, handle := range g.Inputs {
			if !s.exists(handle) {
				s.Totals.MissingInputs++
				s.apply(s.Coordinator.Progress(s.Now, bbjob.Note{
					ID:       g.ID,
					Endpoint: g.Endpoint,
					Ended:    true,
					Again:    true,
					Outcome:  bbhealth.OutcomeFull,
				}))
				again := s.orders[g.ID]
				again.InputsGone = true
				s.apply(s.Coordinator.Submit(s.Now, again))
				return
			}
		}
		s.after(e.timeToFirstToken(s.Now, s.orders[g.ID].Prompt), func() {
			o.First = s.Now
			s.reportProgress(g, true, false)
			s.after(answerTime, func() { s.reportProgress(g, false, true) })
		})
	})
}

// note tells the coordinator of progress.
func (s *Scene) reportProgress(g bbjob.Grant, started, ended bool) {
	s.apply(s.Coordinator.Progress(s.Now, bbjob.Note{
		ID:       g.ID,
		Endpoint: g.Endpoint,
		Started:  started,
		Ended:    ended,
		Outcome:  bbhealth.OutcomeGood,
	}))
}

// exists tells whether a result is kept anywhere.
func (s *Scene) exists(handle string) bool {
	for _, w := range s.workers {
		if r, ok := w.results[handle]; ok && (r.expires == 0 || s.Now < r.expires) {
			return true
		}
	}
	return false
}
