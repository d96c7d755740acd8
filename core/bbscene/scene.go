// Package bbscene simulates a coordinator with modelled stage workers and engines under a manual clock. The
// models follow the deployment specifications: calls of several pieces with a fixed and a variable part of
// their duration, memory for results that expire, queues, and engines that process prompts one after another
// and have prefix caches.
package bbscene

import (
	"container/heap"
	"fmt"
	"strings"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbcoordinator"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbregistry"
)

// Settings describes the endpoints of a simulation.
type Settings struct {
	// Pools are the services that run stages.
	Pools []Pool
	// Engines is the number of engines of the service EngineService.
	Engines int
	// Zones are the failure domains over which endpoints are spread round-robin.
	Zones []string
	// Latency is the one-way network delay between any two VMs.
	Latency time.Duration
	// RetrySlack is the number of repeated calls allowed per ten seconds regardless of the requests.
	RetrySlack float64
	// RetryRefused is true if refused callers retry once, after the delay in the refusal, provided that
	// their deadline allows it.
	RetryRefused bool
	// InputCost is the processor time that the coordinator needs for each input, and ExaminationCost what it
	// needs more for each item in Status.Examined. Inputs wait for each other. Both may be 0.
	InputCost, ExaminationCost time.Duration
	// Features are the coordinator's settings of optional behaviour.
	Features bbfeature.Settings
	// Spells are the times in which stage workers are slow.
	Spells Spells
}

// Pool is a service that runs stages.
type Pool struct {
	Service string
	Spec    bbcatalog.Pool
	Workers int
}

// EngineService is the service of all simulated engines.
const EngineService = "engine"

// The capacity and timing of an engine, as in the deployment specifications.
const (
	engineSlots        = 96
	engineTokens       = 250e3
	prefillTokensPerMs = 38.4
	firstToken         = 40 * time.Millisecond
	answerTime         = 300 * time.Millisecond
	coldRate           = 9.4
)

// Outcome is the result of one order.
type Outcome struct {
	// Arrived and First are the times of arrival and of the first token; First is 0 if there was none.
	Arrived, First time.Duration
	// Refused is the reason of a refusal.
	Refused string
	// Grants counts how often the order was granted an engine.
	Grants int
}

// OnTime reports whether the first token was sent within an objective.
func (o Outcome) OnTime(objective time.Duration) bool {
	return o.First > 0 && o.First-o.Arrived <= objective
}

// Totals counts events at the endpoints.
type Totals struct {
	// Calls counts calls, Capacity the pieces that fit into them, and Pieces those that they contained
	// and that were computed.
	Calls, Capacity, Pieces int
	// MissingInputs counts pieces and engine requests whose inputs were no longer stored, StorageFull pieces
	// that were not computed because the worker had no memory, Unused results that nobody needed.
	MissingInputs, StorageFull, Unused int
}

// Scene is one simulation run.
type Scene struct {
	// Coordinator is the coordinator under test; Replace substitutes a new one.
	Coordinator *bbcoordinator.Coordinator
	// Now is the time of the manual clock.
	Now time.Duration
	// Outcomes has the outcome of each order by ID.
	Outcomes map[string]*Outcome
	// KnownResults has the stage results that each origin knows of, by order ID.
	KnownResults map[string][]bbjob.StageResult
	Totals       Totals
	// Failures has what the failures of workers have affected.
	Failures Failures
	// Trace is called with a line about each failure that should not happen; it may be nil.
	Trace func(line string)
	// HandedBack has the IDs of the orders that the coordinator handed back.
	HandedBack []string

	settings Settings
	services map[string]*bbcatalog.Service
	entries  map[string][]*bbregistry.Entry
	workers  map[string]*worker
	engines  map[string]*engine
	orders   map[string]bbjob.Order
	events   events
	sequence int
	alone    bool
	// inputs are those that wait for the coordinator's processor; deciding is true while it is busy, and
	// tickWaits while a tick is among the inputs.
	inputs    []func() bbdecision.Output
	deciding  bool
	tickWaits bool
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
		Failures: Failures{
			Pieces: make(map[string]int),
			failed: make(map[bbpool.Piece]*failedCall),
		},
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
			scene.workers[e.ID].spells = s.Spells.spellTimes(e.ID)
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

// Replace substitutes a coordinator with empty state for the current one.
func (s *Scene) Replace() {
	s.Coordinator = bbcoordinator.New(bbcoordinator.Environment{
		Service:         func(name string) *bbcatalog.Service { return s.services[name] },
		Endpoints:       func(service string) []*bbregistry.Entry { return s.entries[service] },
		Region:          func(zone string) string { return zone },
		Majority:        func() bool { return true },
		SoleCoordinator: func() bool { return s.alone },
		Features:        s.settings.Features,
	}, bbcoordinator.Limits{
		RetryRatio: 0.2,
		RetrySlack: s.settings.RetrySlack,
		RetrySpan:  10 * time.Second,
	})
}

// SetSoleCoordinator sets whether the coordinator is the only one that sends calls.
func (s *Scene) SetSoleCoordinator(alone bool) {
	s.alone = alone
}

// SetSlowdown multiplies the duration of an endpoint's calls by a factor.
func (s *Scene) SetSlowdown(endpoint string, factor float64) {
	s.workers[endpoint].factor = factor
}

// Arrive schedules the arrival of an order.
func (s *Scene) Arrive(at time.Duration, o bbjob.Order) {
	s.at(at, func() {
		if s.Outcomes[o.ID] == nil {
			s.Outcomes[o.ID] = &Outcome{
				Arrived: s.Now,
			}
		}
		s.orders[o.ID] = o
		s.decide(func() bbdecision.Output { return s.Coordinator.Submit(s.Now, o) })
	})
}

// At schedules a function.
func (s *Scene) At(at time.Duration, run func()) {
	s.at(at, run)
}

// tickInterval is the interval of the coordinator's Tick.
const tickInterval = 10 * time.Millisecond

// Run runs the simulation until a time.
func (s *Scene) Run(until time.Duration) {
	for at := s.Now; at < until; at += tickInterval {
		s.at(at, s.tick)
	}
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.Now = e.at
		e.run()
	}
	s.Now = until
}

// tick runs the coordinator's timer work, unless an earlier tick still waits for the processor.
func (s *Scene) tick() {
	if s.tickWaits {
		return
	}
	s.tickWaits = true
	s.decide(func() bbdecision.Output {
		s.tickWaits = false
		return s.Coordinator.Tick(s.Now)
	})
}

// decide gives the coordinator an input, and executes its decisions after the time that they take.
func (s *Scene) decide(input func() bbdecision.Output) {
	if s.settings.InputCost == 0 && s.settings.ExaminationCost == 0 {
		s.apply(input())
		return
	}
	s.inputs = append(s.inputs, input)
	if !s.deciding {
		s.deciding = true
		s.decideNext()
	}
}

// decideNext handles the first waiting input.
func (s *Scene) decideNext() {
	if len(s.inputs) == 0 {
		s.deciding = false
		return
	}
	input := s.inputs[0]
	s.inputs = s.inputs[1:]
	before := s.Coordinator.Status(s.Now).Examined
	out := input()
	examined := s.Coordinator.Status(s.Now).Examined - before
	s.after(s.settings.InputCost+time.Duration(examined)*s.settings.ExaminationCost, func() {
		s.apply(out)
		s.decideNext()
	})
}

// Leave makes the coordinator hand back its requests.
func (s *Scene) Leave() {
	s.apply(s.Coordinator.Leave())
}

// apply executes the decisions of the coordinator.
func (s *Scene) apply(out bbdecision.Output) {
	for id, u := range out.Updates {
		s.KnownResults[id] = u.Apply(s.KnownResults[id])
	}
	for _, e := range out.Redirects {
		s.HandedBack = append(s.HandedBack, e.ID)
	}
	for _, r := range out.Refusals {
		s.outcome(r.ID).Refused = r.Reason
		s.retryRefused(r)
	}
	for _, f := range out.Releases {
		s.after(s.settings.Latency, func() {
			s.workers[f.Address].free(f.Handles)
			slowness, _ := s.slowness(s.workers[f.Address])
			s.after(s.settings.Latency, func() { s.report(f.Address, slowness) })
		})
	}
	for _, c := range out.Calls {
		s.call(c)
	}
	for _, g := range out.Grants {
		s.grant(g)
	}
}

// retrySuffix marks the ID of a caller's retry.
const retrySuffix = "~"

// outcome returns the outcome of an order by its ID or that of its retry.
func (s *Scene) outcome(id string) *Outcome {
	return s.Outcomes[strings.TrimSuffix(id, retrySuffix)]
}

// retryRefused schedules the retry of a refused caller.
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
		s.decide(func() bbdecision.Output { return s.Coordinator.Submit(s.Now, o) })
	})
}

// grant sends a request to the engine that it was granted.
func (s *Scene) grant(g bbjob.Grant) {
	o := s.outcome(g.ID)
	o.Grants++
	e := s.engines[g.Endpoint]
	s.after(3*s.settings.Latency, func() {
		for _, handle := range g.Inputs {
			if !s.exists(handle) {
				s.Totals.MissingInputs++
				s.decide(func() bbdecision.Output {
					return s.Coordinator.Progress(s.Now, bbjob.Note{
						ID:       g.ID,
						Endpoint: g.Endpoint,
						Ended:    true,
						Again:    true,
						Outcome:  bbhealth.OutcomeFull,
					})
				})
				again := s.orders[g.ID]
				again.InputsGone = true
				s.decide(func() bbdecision.Output { return s.Coordinator.Submit(s.Now, again) })
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

// reportProgress reports a request's progress at its engine to the coordinator.
func (s *Scene) reportProgress(g bbjob.Grant, started, ended bool) {
	s.decide(func() bbdecision.Output {
		return s.Coordinator.Progress(s.Now, bbjob.Note{
			ID:       g.ID,
			Endpoint: g.Endpoint,
			Started:  started,
			Ended:    ended,
			Outcome:  bbhealth.OutcomeGood,
		})
	})
}

// exists reports whether a result is stored at any worker.
func (s *Scene) exists(handle string) bool {
	for _, w := range s.workers {
		if r, ok := w.results[handle]; ok && (r.expires == 0 || s.Now < r.expires) {
			return true
		}
	}
	return false
}
