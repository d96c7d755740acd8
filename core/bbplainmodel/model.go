// Package bbplainmodel simulates entry VMs that choose endpoints of a plain service, under a manual clock. The
// endpoints run several requests at once, have a queue, and are slow at times.
package bbplainmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbplain"
	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

// The size of the model: each region has two failure domains, and each of these an endpoint.
const (
	vms       = 70
	endpoints = 6
	places    = 6
	queue     = 8
	maxOffers = 4
	service   = "plain"
)

// The round-trip times, and the mean time of a request at an endpoint, which varies by a half.
const (
	nearTrip   = time.Millisecond
	regionTrip = 4 * time.Millisecond
	farTrip    = 25 * time.Millisecond
	work       = 60 * time.Millisecond
)

// spell is how long an endpoint is slow at a time, and spellSlowness how slow.
const (
	spell         = 600 * time.Millisecond
	spellSlowness = 2.5
)

// Settings describe a simulation.
type Settings struct {
	// Measured is true if endpoints are chosen by measured times.
	Measured bool
	// PerSecond is the rate of requests of all VMs together.
	PerSecond float64
	// Crowded is the fraction of requests whose callers are in the first region, beyond its equal share.
	Crowded float64
	// SlowShare is the fraction of time in which each endpoint is in a slow spell.
	SlowShare float64
	// FirstSlowness is the constant slowness of the first endpoint; 0 for the usual speed.
	FirstSlowness float64
	// Seed selects the random numbers.
	Seed uint64
}

// Outcome is the result of a simulation.
type Outcome struct {
	// Took has the time of each answered request.
	Took []time.Duration
	// Refused counts the requests that no endpoint accepted.
	Refused int
	// Served counts the requests by endpoint.
	Served [endpoints]int
}

// endpoint is the model of an endpoint.
type endpoint struct {
	slowness float64
	running  int
	queue    []func()
}

// model is a simulation in progress.
type model struct {
	settings  Settings
	random    *rand.Rand
	now       time.Duration
	events    events
	sequence  int
	endpoints [endpoints]endpoint
	list      []bbplain.Endpoint
	choosers  [vms]*bbplain.Chooser
	outcome   Outcome
}

// Run simulates the requests of some time.
func Run(s Settings, until time.Duration) Outcome {
	m := &model{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
	}
	for i := range m.endpoints {
		e := &m.endpoints[i]
		e.slowness = 1
		m.list = append(m.list, bbplain.Endpoint{
			ID:     fmt.Sprint(i),
			Zone:   zone(i),
			Region: region(i),
		})
		if s.SlowShare > 0 {
			m.after(m.gap(), func() { m.slow(e) })
		}
	}
	if s.FirstSlowness > 0 {
		m.endpoints[0].slowness = s.FirstSlowness
	}
	for i := range m.choosers {
		m.choosers[i] = bbplain.NewChooser()
		m.choosers[i].IntN = m.random.IntN
	}
	m.arrive()
	for m.now < until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m.outcome
}

func zone(i int) string   { return fmt.Sprint("zone", i) }
func region(i int) string { return fmt.Sprint("region", i/2) }

// gap returns the time between two slow spells.
func (m *model) gap() time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(spell) * (1 - m.settings.SlowShare) / m.settings.SlowShare)
}

// slow begins a slow spell.
func (m *model) slow(e *endpoint) {
	e.slowness = spellSlowness
	m.after(spell, func() {
		e.slowness = 1
		m.after(m.gap(), func() { m.slow(e) })
	})
}

// arrive begins a request, and schedules the next one.
func (m *model) arrive() {
	m.after(time.Duration(m.random.ExpFloat64()/m.settings.PerSecond*float64(time.Second)), m.arrive)
	vm := m.random.IntN(vms)
	if m.random.Float64() < m.settings.Crowded {
		// The VMs are spread over the failure domains in turn; the first two are the first region.
		vm = vm/endpoints*endpoints + vm%2
	}
	m.offer(&request{
		began: m.now,
		vm:    vm,
		avoid: make(map[string]bool),
	})
}

// request is a request in progress.
type request struct {
	began time.Duration
	// vm is the number of the VM that has it, avoid the endpoints that have rejected it.
	vm    int
	avoid map[string]bool
}

// offer sends a request to an endpoint.
func (m *model) offer(r *request) {
	c := m.choosers[r.vm]
	home := r.vm % endpoints
	from := bbplain.Location{
		Zone:   zone(home),
		Region: region(home),
	}
	choose := func() (bbplain.Endpoint, bool) { return c.Choose(m.now, m.list, from, r.avoid) }
	if m.settings.Measured {
		choose = func() (bbplain.Endpoint, bool) { return c.ChooseMeasured(m.now, service, m.list, from, r.avoid) }
	}
	chosen, ok := choose()
	if !ok || len(r.avoid) >= maxOffers {
		m.outcome.Refused++
		return
	}
	var i int
	for m.list[i].ID != chosen.ID {
		i++
	}
	e := &m.endpoints[i]
	half := trip(home, i) / 2
	sent := m.now
	m.after(half, func() {
		if len(e.queue) >= queue {
			m.after(half, func() {
				c.Done(m.now, chosen.ID, bbhealth.OutcomeFull)
				r.avoid[chosen.ID] = true
				m.offer(r)
			})
			return
		}
		e.queue = append(e.queue, func() {
			took := time.Duration((0.5 + m.random.Float64()) * e.slowness * float64(work))
			m.after(took, func() {
				e.running--
				m.start(e)
				answer := bbplain.Answer{
					Process: bbstanding.Process{ID: chosen.ID},
					Good:    true,
					Load: bbspeed.Report{
						Running:  e.running,
						Waiting:  len(e.queue),
						Places:   places,
						Slowness: e.slowness,
						Valid:    true,
					},
				}
				m.after(half, func() {
					answer.Took = m.now - sent
					c.Answered(m.now, service, chosen, answer)
					c.Done(m.now, chosen.ID, bbhealth.OutcomeGood)
					m.outcome.Served[i]++
					m.outcome.Took = append(m.outcome.Took, m.now-r.began)
				})
			})
		})
		m.start(e)
	})
}

// start runs the next queued request if there is a free place.
func (m *model) start(e *endpoint) {
	if e.running >= places || len(e.queue) == 0 {
		return
	}
	next := e.queue[0]
	e.queue = e.queue[1:]
	e.running++
	next()
}

// trip returns the round-trip time between two failure domains.
func trip(a, b int) time.Duration {
	switch {
	case a == b:
		return nearTrip
	case region(a) == region(b):
		return regionTrip
	}
	return farTrip
}

// after schedules a function.
func (m *model) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{
		at:       m.now + d,
		sequence: m.sequence,
		run:      run,
	})
}

// event is a function scheduled at a time; events at the same time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of scheduled events.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
