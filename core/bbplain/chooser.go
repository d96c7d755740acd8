// Package bbplain chooses the endpoint for requests that need no stages and no engine. Each
// VM chooses for its own callers: such requests are short and the endpoints have room.
package bbplain

import (
	"time"

	"bluebellhall/core/bbhealth"
)

const (
	// waitCost is what each own request in progress at an endpoint adds.
	inFlightCost = 10 * time.Millisecond
	// regionCost and zoneCost are the round trips to another region and to another failure
	// domain of the same region.
	regionCost = 24 * time.Millisecond
	zoneCost   = 3 * time.Millisecond
	// failureCost is the time lost by a request that fails.
	failureCost = 2 * time.Second
	// fullPause is how long an endpoint that was full is the last choice: some times the
	// usual work.
	fullPenalty = 150 * time.Millisecond
	// maxEndpoints bounds the table; entries without requests are dropped first.
	maxEndpoints = 4096
)

// Endpoint is one that may get work.
type Endpoint struct {
	ID, Address, Zone, Region string
	// Cold endpoints carry only a little.
	Cold bool
}

// Place is where the caller's VM is.
type Location struct {
	Zone, Region string
}

type record struct {
	inFlight int
	fullAt   time.Duration
	full     bool
	health   bbhealth.Record
}

// Chooser remembers how endpoints did.
type Chooser struct {
	records map[string]*record
}

// NewChooser returns a chooser that knows no endpoint.
func NewChooser() *Chooser {
	return &Chooser{
		records: make(map[string]*record),
	}
}

// Choose returns the best endpoint that is not avoided and counts the request; false if
// there is none.
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

// Done takes in how a request at an endpoint ended.
func (c *Chooser) Done(now time.Duration, id string, o bbhealth.Outcome) {
	r := c.record(id)
	r.inFlight = max(0, r.inFlight-1)
	r.health.Observe(now, o)
	r.full = o == bbhealth.OutcomeFull
	r.fullAt = now
}

func (c *Chooser) cost(now time.Duration, r *record, e Endpoint, from Location) time.Duration {
	cost := time.Duration(r.inFlight) * inFlightCost
	switch {
	case e.Region != from.Region:
		cost += regionCost
	case e.Zone != from.Zone:
		cost += zoneCost
	}
	if r.full && now-r.fullAt < fullPenalty {
		cost += fullPenalty
	}
	return cost + time.Duration(r.health.Failures(now)*float64(failureCost))
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

// forget drops the records of endpoints without requests.
func (c *Chooser) evictIdle() {
	for id, r := range c.records {
		if r.inFlight == 0 {
			delete(c.records, id)
		}
	}
}
