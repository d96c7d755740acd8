package bbcell

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

const (
	// outlookAge is how old an outlook may be to be used: some rounds of exchange between
	// coordinators.
	maxEstimateAge = 1500 * time.Millisecond
	// spillGain is the time by which another cell has to be sooner: about a call of a stage
	// worker, which the outlook may lag behind.
	minSpillGain = 200 * time.Millisecond
	// farTime is what another region costs: the order's way there, the request's way to the
	// engine and the way back of its first token.
	crossRegionDelay = 60 * time.Millisecond
	// nearTime is what another failure domain of the region costs.
	crossZoneDelay = 10 * time.Millisecond
)

// Outlook is what a coordinator expects of its cell, told to the others several times a
// second.
type LoadEstimate struct {
	// Services has the work that waits for each service of stage workers.
	Services map[string]Backlog `cbor:"1,keyasint,omitempty"`
	// Engines has the time until an engine of each service reads a new prompt.
	Engines map[string]time.Duration `cbor:"2,keyasint,omitempty"`
}

// Backlog is the work that waits for the stage workers of a service.
type Backlog struct {
	// Wait is the time until new work would begin.
	Wait time.Duration `cbor:"1,keyasint,omitempty"`
	// PerSecond is the pieces that all its workers make in a second.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Call is the usual time of a call.
	Call time.Duration `cbor:"3,keyasint,omitempty"`
}

// told is an outlook with when it was heard.
type receivedEstimate struct {
	LoadEstimate
	at time.Duration
}

// Neighbours has what the coordinators of other cells told of themselves.
type CellEstimates struct {
	// Pick returns a random number below n.
	Pick          func(n int) int
	byCoordinator map[string]receivedEstimate
}

// NewNeighbours returns a table of coordinators of which nothing is known.
func NewCellEstimates() *CellEstimates {
	return &CellEstimates{
		Pick:          rand.IntN,
		byCoordinator: make(map[string]receivedEstimate),
	}
}

// Hear takes in the outlook of a coordinator.
func (n *CellEstimates) Update(now time.Duration, name string, o LoadEstimate) {
	o.Services = maps.Clone(o.Services)
	n.byCoordinator[name] = receivedEstimate{
		LoadEstimate: o,
		at:           now,
	}
}

// Keep forgets all but some coordinators.
func (n *CellEstimates) Retain(vms []bbgossip.Member) {
	kept := make(map[string]receivedEstimate, len(vms))
	for _, vm := range vms {
		if t, ok := n.byCoordinator[vm.Name]; ok {
			kept[vm.Name] = t
		}
	}
	n.byCoordinator = kept
}

// Spill returns the coordinator of another cell that should take an order which its own cell
// expects to begin its answer after some time; none if no other is sooner by enough. Two that
// are drawn are compared, so that not all orders go to the same one, and the order is counted
// there until that coordinator tells anew.
func (n *CellEstimates) Spill(now time.Duration, o bbjob.Order, own time.Duration, cells []bbgossip.Member, allowed func(zone string) bool) (name string, expected time.Duration) {
	var candidates []bbgossip.Member
	for _, c := range cells {
		if t, ok := n.byCoordinator[c.Name]; ok && now-t.at <= maxEstimateAge && allowed(c.Zone) {
			candidates = append(candidates, c)
		}
	}
	for range min(2, len(candidates)) {
		i := n.Pick(len(candidates))
		c := candidates[i]
		candidates = slices.Delete(candidates, i, i+1)
		way := crossZoneDelay
		if c.Region != o.Region {
			way = crossRegionDelay
		}
		e, ok := n.byCoordinator[c.Name].timeToFirstToken(o)
		if ok && e+way+minSpillGain < own && (name == "" || e+way < expected) {
			name, expected = c.Name, e+way
		}
	}
	if name != "" {
		n.byCoordinator[name].addOrder(o)
	}
	return name, expected
}

// expect returns the time until the first token of an order; false if the cell can't serve it.
func (t receivedEstimate) timeToFirstToken(o bbjob.Order) (time.Duration, bool) {
	engine, ok := t.Engines[o.Service]
	if !ok {
		return 0, false
	}
	finished := make([]time.Duration, len(o.Stages))
	var last time.Duration
	for i, s := range o.Stages {
		for _, before := range s.After {
			finished[i] = max(finished[i], finished[before])
		}
		if s.Pieces == 0 {
			continue
		}
		b, ok := t.Services[s.Service]
		if !ok {
			return 0, false
		}
		finished[i] = max(finished[i], b.Wait) + b.Call
		last = max(last, finished[i])
	}
	return last + engine, true
}

// count adds an order to the work that waits.
func (t receivedEstimate) addOrder(o bbjob.Order) {
	for _, s := range o.Stages {
		b, ok := t.Services[s.Service]
		if !ok || b.PerSecond <= 0 {
			continue
		}
		b.Wait += time.Duration(float64(s.Pieces) / b.PerSecond * float64(time.Second))
		t.Services[s.Service] = b
	}
}
