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
	// maxEstimateAge is the age up to which a load estimate is used: a few rounds of exchange between
	// coordinators.
	maxEstimateAge = 1500 * time.Millisecond
	// minSpillGain is the time by which another cell has to be faster: about one call of a stage worker,
	// by which an estimate may be out of date.
	minSpillGain = 200 * time.Millisecond
	// crossRegionDelay is the delay added by another region: the order's way there, the request's way to
	// the engine and the first token's way back.
	crossRegionDelay = 60 * time.Millisecond
	// crossZoneDelay is the delay added by another failure domain of the region.
	crossZoneDelay = 10 * time.Millisecond
)

// LoadEstimate is a coordinator's estimate of the queueing delays in its cell, which it sends to the other
// coordinators several times a second.
type LoadEstimate struct {
	// Services has the backlog of each service of stage workers.
	Services map[string]Backlog `cbor:"1,keyasint,omitempty"`
	// Engines has the time to first token of a new prompt for each engine service.
	Engines map[string]time.Duration `cbor:"2,keyasint,omitempty"`
}

// Backlog is the work queued for the stage workers of a service.
type Backlog struct {
	// Wait is the queueing delay of new work.
	Wait time.Duration `cbor:"1,keyasint,omitempty"`
	// PerSecond is the throughput of all its workers in pieces per second.
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Call is the usual duration of a call.
	Call time.Duration `cbor:"3,keyasint,omitempty"`
}

// receivedEstimate is a load estimate with the time at which it was received.
type receivedEstimate struct {
	LoadEstimate
	at time.Duration
}

// CellEstimates has the load estimates of the coordinators of other cells.
type CellEstimates struct {
	// Pick returns a random number below n.
	Pick          func(n int) int
	byCoordinator map[string]receivedEstimate
}

// NewCellEstimates returns an empty table.
func NewCellEstimates() *CellEstimates {
	return &CellEstimates{
		Pick:          rand.IntN,
		byCoordinator: make(map[string]receivedEstimate),
	}
}

// Update stores the load estimate received from a coordinator.
func (n *CellEstimates) Update(now time.Duration, name string, o LoadEstimate) {
	o.Services = maps.Clone(o.Services)
	n.byCoordinator[name] = receivedEstimate{
		LoadEstimate: o,
		at:           now,
	}
}

// Retain removes the estimates of all coordinators but the given ones.
func (n *CellEstimates) Retain(vms []bbgossip.Member) {
	kept := make(map[string]receivedEstimate, len(vms))
	for _, vm := range vms {
		if t, ok := n.byCoordinator[vm.Name]; ok {
			kept[vm.Name] = t
		}
	}
	n.byCoordinator = kept
}

// Spill returns the coordinator of another cell that should process an order, and its expected time to
// first token there; none if no cell beats the own expected time by minSpillGain. It compares two cells
// drawn at random, so that not all orders go to the same one, and adds the order to the chosen cell's
// backlog until that coordinator's next estimate.
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
		delay := crossZoneDelay
		if c.Region != o.Region {
			delay = crossRegionDelay
		}
		e, ok := n.byCoordinator[c.Name].timeToFirstToken(o)
		if ok && e+delay+minSpillGain < own && (name == "" || e+delay < expected) {
			name, expected = c.Name, e+delay
		}
	}
	if name != "" {
		n.byCoordinator[name].addOrder(o)
	}
	return name, expected
}

// timeToFirstToken estimates the time to first token of an order; false if the cell can't serve it.
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

// addOrder adds an order's pieces to the backlogs of their services.
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
