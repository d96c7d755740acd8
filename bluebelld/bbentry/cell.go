package bbentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

// cellPeriod is how often a coordinator tells others what it expects of its cell, and looks
// whether it still has one.
const cellPeriod = 150 * time.Millisecond

// maxChosen bounds the services whose endpoints are kept as chosen.
const maxCachedServices = 1000

// cell has the endpoints that this VM coordinates, as they were last chosen.
type cell struct {
	mu sync.Mutex
	// version is that of the fleet's cells.
	version time.Duration
	// services has the endpoints of each service.
	services map[string]ownEndpoints
}

// coordinated has those of some endpoints that this VM coordinates.
type ownEndpoints struct {
	all, own []*bbregistry.Entry
}

// coordinated returns the endpoints of a service that this VM coordinates and that may get new
// work. Callers must not change them.
func (e *Entry) coordinated(service string) []*bbregistry.Entry {
	all := e.Knowledge.Usable(service)
	split, mine, version := e.fleet.Cells()
	if !split || len(all) == 0 {
		return all
	}
	c := &e.cell
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != version || c.services == nil || len(c.services) >= maxCachedServices {
		c.version = version
		c.services = make(map[string]ownEndpoints)
	}
	if known := c.services[service]; len(known.all) == len(all) && known.all[0] == all[0] {
		return known.own
	}
	chosen := make([]*bbregistry.Entry, 0, len(all))
	for _, entry := range all {
		if mine(entry.Zone) {
			chosen = append(chosen, entry)
		}
	}
	c.services[service] = ownEndpoints{
		all: all,
		own: chosen,
	}
	return chosen
}

// serves tells whether a failure domain has endpoints of a service that may get work.
func (e *Entry) serves(service, zone string) bool {
	return slices.ContainsFunc(e.Knowledge.Usable(service), func(entry *bbregistry.Entry) bool { return entry.Zone == zone })
}

// share returns the part of the fleet's allowance for repeats of this VM's coordinator.
func (e *Entry) budgetShare() float64 {
	return 1 / float64(e.fleet.Coordinators())
}

// coordinate takes in an order. One that arrives where no cell is coordinated goes to the
// coordinator that this VM sees.
func (e *Entry) coordinate(ctx context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error {
	split, _, _ := e.fleet.Cells()
	works, other := e.fleet.Coordinates(o.Zone)
	if !split || works {
		return e.hub.Order(ctx, o, pass)
	}
	return pass(bbjob.Update{
		Verdict: &bbjob.Verdict{
			Elsewhere: true,
			Cell:      other.Name,
		},
	})
}

// cellLoop tells other coordinators what this one expects. When this VM no longer coordinates a
// cell, the requests that wait go to the next coordinator.
func (e *Entry) cellLoop(ctx context.Context) {
	ticker := time.NewTicker(cellPeriod)
	defer ticker.Stop()
	worked := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		split, _, _ := e.fleet.Cells()
		works, _ := e.fleet.Coordinates(e.settings.Self.Zone)
		works = works || !split
		if split && works {
			e.fleet.SetLoadEstimate(e.hub.LoadEstimate())
		}
		if works == worked || e.leaving.Load() {
			continue
		}
		worked = works
		e.log.Event(bbevent.CellsChanged).Bool("works", works).Send()
		if works {
			e.hub.Resume()
		} else {
			e.hub.Leave()
		}
	}
}
