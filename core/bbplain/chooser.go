// Package bbplain chooses the endpoint of requests that need neither stages nor an engine. Each
// VM chooses for its own callers, without coordination: such requests are short and the endpoints
// have spare capacity.
package bbplain

import (
	"time"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbspeed"
)

const (
	// inFlightCost is added for each request of this VM in progress at an endpoint.
	inFlightCost = 10 * time.Millisecond
	// regionCost and zoneCost are the round-trip times to another region and to another failure
	// domain of the same region, as long as they aren't measured.
	regionCost = 24 * time.Millisecond
	zoneCost   = 3 * time.Millisecond
	// failureCost is the time lost by a failed request; it is multiplied by the recent share of failures.
	failureCost = 2 * time.Second
	// fullPenalty is added to the cost of an endpoint that was full, for as long after that. It
	// is several times the usual duration of a request, so that the endpoint comes last.
	fullPenalty = 150 * time.Millisecond
	// maxEndpoints bounds the table; at the bound, entries without requests are evicted.
	maxEndpoints = 4096
)

// Endpoint is an endpoint that may be chosen.
type Endpoint struct {
	ID, Address, Zone, Region string
	// Born is the start of the endpoint's process in Unix milliseconds; 0 if unknown.
	Born int64
	// Cold endpoints have little capacity.
	Cold bool
}

// Location is where the VM is that chooses.
type Location struct {
	Zone, Region string
}

type record struct {
	inFlight int
	fullAt   time.Duration
	full     bool
	health   bbhealth.Record
	// service is that of the endpoint, which last answered at answeredAt; empty if it has not answered.
	service    string
	answeredAt time.Duration
	// born is the start of the process that speed and load are of. Load is its last report, which arrived at loadAt.
	born   int64
	speed  bbspeed.Estimate
	load   bbspeed.Report
	loadAt time.Duration
}

// Chooser records the requests in progress and the outcomes at endpoints.
type Chooser struct {
	// IntN returns a random number from 0 to n-1; nil for rand.IntN.
	IntN    func(n int) int
	records map[string]*record
	// services has the measurements of each service.
	services map[string]*service
}

// NewChooser returns a chooser without records.
func NewChooser() *Chooser {
	return &Chooser{
		records:  make(map[string]*record),
		services: make(map[string]*service),
	}
}

// Choose returns the endpoint with the lowest cost that is neither to be avoided nor paused
// after failures, and counts the request; false if there is none.
func (c *Chooser) Choose(now time.Duration, list []Endpoint, from Location, avoid map[string]bool) (Endpoint, bool) {
	best := -1
	var bestCost time.Duration
	for i, e := range list {
		r := c.record(e.ID)
		if avoid[e.ID] || r.health.Paused(now) {
			continue
		}
		cost := c.cost(now, r, e, from)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Endpoint{}, false
	}
	c.record(list[best].ID).inFlight++
	return list[best], true
}

// Done records the outcome of a request at an endpoint.
func (c *Chooser) Done(now time.Duration, id string, o bbhealth.Outcome) {
	r := c.record(id)
	r.inFlight = max(0, r.inFlight-1)
	r.health.Observe(now, o)
	r.full = o == bbhealth.OutcomeFull
	r.fullAt = now
}

func (c *Chooser) cost(now time.Duration, r *record, e Endpoint, from Location) time.Duration {
	cost := time.Duration(r.inFlight)*inFlightCost + defaultDistance(e, from)
	if r.full && now-r.fullAt < fullPenalty {
		cost += fullPenalty
	}
	return cost + time.Duration(r.health.Failures(now)*float64(failureCost))
}

// defaultDistance returns the round-trip time to an endpoint if none has been measured.
func defaultDistance(e Endpoint, from Location) time.Duration {
	switch {
	case e.Region != from.Region:
		return regionCost
	case e.Zone != from.Zone:
		return zoneCost
	}
	return 0
}

func (c *Chooser) record(id string) *record {
	r := c.records[id]
	if r == nil {
		if len(c.records) >= maxEndpoints {
			c.evictIdle()
		}
		r = new(record)
		c.records[id] = r
	}
	return r
}

// evictIdle removes the records of endpoints without requests in progress.
func (c *Chooser) evictIdle() {
	for id, r := range c.records {
		if r.inFlight == 0 {
			delete(c.records, id)
		}
	}
}
