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

// cellPeriod is how often a coordinator publishes its load estimate to the other coordinators, and checks
// whether it still coordinates a cell, and how often a VM adapts its share of the retries to the number of VMs.
const cellPeriod = 150 * time.Millisecond

// maxCachedServices bounds the services in the cache of coordinated endpoints.
const maxCachedServices = 1000

// cell caches the endpoints that this VM coordinates.
type cell struct {
	mu sync.Mutex
	// version is the version of the fleet's cells that the cache is based on.
	version time.Duration
	// services has the endpoints of each service.
	services map[string]ownEndpoints
}

// ownEndpoints has all usable endpoints of a service, and those of them that this VM coordinates.
type ownEndpoints struct {
	all, own []*bbregistry.Entry
}

// coordinated returns the endpoints of a service that this VM coordinates and that may get new work. The
// result is shared: callers must not modify it.
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
	own := make([]*bbregistry.Entry, 0, len(all))
	for _, entry := range all {
		if mine(entry.Zone) {
			own = append(own, entry)
		}
	}
	c.services[service] = ownEndpoints{
		all: all,
		own: own,
	}
	return own
}

// serves reports whether a failure domain has endpoints of a service that may get new work.
func (e *Entry) serves(service, zone string) bool {
	return slices.ContainsFunc(e.Knowledge.Usable(service), func(entry *bbregistry.Entry) bool { return entry.Zone == zone })
}

// servesVersion reports whether a failure domain has endpoints of a service with a version of the software that may
// get new work.
func (e *Entry) servesVersion(service, version, zone string) bool {
	return slices.ContainsFunc(e.Knowledge.Usable(service), func(entry *bbregistry.Entry) bool {
		return entry.Zone == zone && entry.Version == version
	})
}

// budgetShare returns the share of the fleet's retry budget that this VM's coordinator may use.
func (e *Entry) budgetShare() float64 {
	return 1 / float64(e.fleet.Coordinators())
}

// coordinate handles an order sent to this VM as the coordinator. If the fleet has several cells and this VM
// coordinates none, the verdict names the coordinator of the order's failure domain, as this VM sees it. For an order that
// needs a version it names that of a cell with an engine of it.
func (e *Entry) coordinate(ctx context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error {
	split, _, _ := e.fleet.Cells()
	active, other := e.fleet.Coordinates(o.Zone)
	if !split || active {
		return e.hub.Order(ctx, o, pass)
	}
	if o.Version != "" {
		other = e.fleet.HomeCoordinator(o)
	}
	return pass(bbjob.Update{
		Verdict: &bbjob.Verdict{
			Elsewhere: true,
			Cell:      other.Name,
		},
	})
}

// cellLoop publishes this coordinator's load estimate, and adapts this VM's share of the fixed allowance of retries. When this VM no longer coordinates a cell, its
// requests are handed back to their origins, which send them to the next coordinator.
func (e *Entry) cellLoop(ctx context.Context) {
	ticker := time.NewTicker(cellPeriod)
	defer ticker.Stop()
	wasActive := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.Gateway.SetRetrySlack(e.retrySlack())
		split, _, _ := e.fleet.Cells()
		active, _ := e.fleet.Coordinates(e.settings.Self.Zone)
		active = active || !split
		if split && active {
			e.fleet.SetLoadEstimate(e.hub.LoadEstimate())
		}
		if active == wasActive || e.leaving.Load() {
			continue
		}
		wasActive = active
		e.log.Event(bbevent.CellsChanged).Bool("works", active).Send()
		if active {
			e.hub.Resume()
		} else {
			e.hub.Leave()
		}
	}
}
