package bbcoordinator

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

var regionSeeds = flag.Uint64("regionSeeds", 24, "the number of seeds of TestRandomEventsKeepRegions")

const (
	// simulatedRegions is the number of regions, each with one failure domain: z0 is in r0.
	simulatedRegions = 3
	simulatedVMs     = 4
	// catalogDelay is the longest time until a VM has a published configuration in force, listDelay that until it has
	// a change of the endpoints.
	catalogDelay = 2 * time.Second
	listDelay    = 400 * ms
)

// simulatedVM is what a VM knows.
type simulatedVM struct {
	index   *bbcatalog.Index
	entries []*bbregistry.Entry
}

// listed returns the entry of an endpoint, or nil.
func (v *simulatedVM) listed(id string) *bbregistry.Entry {
	if i := slices.IndexFunc(v.entries, func(e *bbregistry.Entry) bool { return e.ID == id }); i >= 0 {
		return v.entries[i]
	}
	return nil
}

// simulatedFleet has VMs that take over configurations and changes of endpoints at different times. Any of them may be
// the origin of a request, and some coordinate.
type simulatedFleet struct {
	*simulation
	vms [simulatedVMs]*simulatedVM
	// hosts has the VM of each coordinator; those in lost have ended without a word.
	hosts map[*Coordinator]*simulatedVM
	lost  map[*Coordinator]bool
	// origins has the VM of each request.
	origins  map[*simulatedRequest]*simulatedVM
	versions []*bbcatalog.Index
	// entries are the endpoints that are up, zones the failure domains of all that ever were.
	entries []*bbregistry.Entry
	zones   map[string]string
}

// newFleetSimulation returns a simulation with a fleet before its first event.
func newFleetSimulation(seed uint64) *simulation {
	s := newSimulation(seed)
	f := &simulatedFleet{
		simulation: s,
		hosts:      make(map[*Coordinator]*simulatedVM),
		lost:       make(map[*Coordinator]bool),
		origins:    make(map[*simulatedRequest]*simulatedVM),
		zones:      make(map[string]string),
	}
	for _, service := range []string{"first", "second", "second", "engine"} {
		for i := range simulatedRegions {
			id := fmt.Sprint(service, len(f.zones))
			f.list(service, id, "address of "+id, fmt.Sprint("z", i))
		}
	}
	f.versions = append(f.versions, f.newCatalog())
	for i := range f.vms {
		f.vms[i] = &simulatedVM{
			index:   f.versions[0],
			entries: slices.Clone(f.entries),
		}
	}
	s.fleet = f
	s.current = s.newCoordinator()
	return s
}

// list adds an endpoint that is up.
func (f *simulatedFleet) list(service, id, address, zone string) *bbregistry.Entry {
	e := &bbregistry.Entry{
		Endpoint: bbregistry.Endpoint{
			ID:      id,
			Service: service,
			Address: address,
			Zone:    zone,
		},
	}
	f.zones[id] = zone
	f.entries = append(f.entries, e)
	return e
}

// endpoints returns the IDs of all endpoints that ever were, in a fixed order.
func (f *simulatedFleet) endpoints() []string {
	return slices.Sorted(maps.Keys(f.zones))
}

// regionOf returns the region of a failure domain.
func regionOf(zone string) string {
	if zone == "" {
		return ""
	}
	return "r" + zone[1:]
}

// newCatalog returns the next configuration, with random regions of the routes and the account.
func (f *simulatedFleet) newCatalog() *bbcatalog.Index {
	c := bbcatalog.Catalog{
		Version:  uint64(len(f.versions) + 1),
		Accounts: []bbcatalog.Account{{Name: "acme", Regions: f.randomRegions()}},
	}
	for i := range 3 {
		c.Routes = append(c.Routes, bbcatalog.Route{
			Name:    fmt.Sprint("route", i),
			Regions: f.randomRegions(),
		})
	}
	return bbcatalog.NewIndex(c)
}

// randomRegions returns one or two regions, or none, which allows all.
func (f *simulatedFleet) randomRegions() []string {
	first := f.random.IntN(simulatedRegions)
	switch f.random.IntN(6) {
	case 0:
		return nil
	case 1, 2:
		return []string{fmt.Sprint("r", first)}
	}
	return []string{fmt.Sprint("r", first), fmt.Sprint("r", (first+1)%simulatedRegions)}
}

// place puts a new coordinator on a random VM.
func (f *simulatedFleet) place(c *Coordinator) {
	v := f.vms[f.random.IntN(simulatedVMs)]
	f.hosts[c] = v
	c.env.Region = regionOf
	c.env.Endpoints = func(service string) []*bbregistry.Entry {
		var entries []*bbregistry.Entry
		for _, e := range v.entries {
			if e.Service == service {
				entries = append(entries, e)
			}
		}
		return entries
	}
	c.env.Regions = func(route, account string) ([]string, uint64, bool) {
		regions, ok := v.index.RegionsOf(route, account)
		return regions, v.index.Catalog.Version, ok
	}
}

// schedule schedules the changes of the configuration, the endpoints and the coordinator.
func (f *simulatedFleet) schedule() {
	for at := time.Duration(0); at < arrivalTime; at += f.between(300*ms, 3*time.Second) {
		f.after(at, f.publish)
	}
	for at := time.Duration(0); at < arrivalTime; at += f.between(300*ms, 2*time.Second) {
		f.after(at, f.endEndpoint)
	}
	if f.chance(2) {
		f.after(f.between(0, arrivalTime), f.loseCoordinator)
	}
}

// publish publishes a configuration, which each VM takes over at a time of its own.
func (f *simulatedFleet) publish() {
	x := f.newCatalog()
	f.versions = append(f.versions, x)
	for _, v := range f.vms {
		f.after(f.between(0, catalogDelay), func() {
			if x.Catalog.Version <= v.index.Catalog.Version {
				return
			}
			v.index = x
			for _, c := range []*Coordinator{f.leaving, f.current} {
				if c != nil && f.hosts[c] == v {
					f.apply(c, c.CatalogChanged(f.now))
				}
			}
		})
	}
}

// endEndpoint ends an endpoint or lets its entry lapse. Later it comes back, in the first case in another failure domain,
// with another ID at the same address.
func (f *simulatedFleet) endEndpoint() {
	if len(f.entries) == 0 {
		return
	}
	i := f.random.IntN(len(f.entries))
	e := f.entries[i]
	f.entries = slices.Delete(f.entries, i, i+1)
	for _, v := range f.vms {
		f.after(f.between(0, listDelay), func() {
			v.entries = slices.DeleteFunc(slices.Clone(v.entries), func(k *bbregistry.Entry) bool { return k == e })
		})
	}
	lapsed := f.chance(3)
	if !lapsed {
		for handle, r := range f.results {
			r.lost = r.lost || strings.HasPrefix(handle, e.ID+"/")
		}
	}
	f.after(f.between(listDelay, 2*time.Second), func() {
		id, zone := e.ID, e.Zone
		if !lapsed {
			id = fmt.Sprint(e.ID, "-", len(f.zones))
			zone = fmt.Sprint("z", f.random.IntN(simulatedRegions))
		}
		back := f.list(e.Service, id, e.Address, zone)
		for _, v := range f.vms {
			f.after(f.between(0, listDelay), func() { v.entries = append(slices.Clone(v.entries), back) })
		}
	})
}

// loseCoordinator ends the coordinator without a word. The origins notice it and send their orders to the next one.
func (f *simulatedFleet) loseCoordinator() {
	lost := f.current
	f.lost[lost] = true
	f.current = f.newCoordinator()
	for _, id := range slices.Sorted(maps.Keys(f.requests)) {
		q := f.requests[id]
		if q.ended || q.coordinator != lost {
			continue
		}
		q.coordinator = f.current
		q.order.Results = q.results
		for _, m := range q.results {
			f.results[m.Handle].offered = true
		}
		f.after(f.between(networkDelay, time.Second), func() {
			if !q.ended && q.engine == "" && f.current.jobs[id] == nil {
				f.submit(q)
			}
		})
	}
}

// arrive assigns a new request to a route, an account and a VM.
func (f *simulatedFleet) arrive(q *simulatedRequest) {
	q.order.Route = fmt.Sprint("route", f.random.IntN(3))
	if f.chance(2) {
		q.order.Account = "acme"
	}
	f.origins[q] = f.vms[f.random.IntN(simulatedVMs)]
}

// updateOrder sets the fields of an order that depend on the configuration in force at its origin.
func (f *simulatedFleet) updateOrder(q *simulatedRequest) {
	x := f.origins[q].index
	q.order.Regions, _ = x.RegionsOf(q.order.Route, q.order.Account)
	q.order.CatalogVersion = x.Catalog.Version
}

// checkDecision checks that a coordinator uses an endpoint in a region that the configuration in force on its VM allows,
// or a later one that the origin has stated.
func (f *simulatedFleet) checkDecision(what string, c *Coordinator, q *simulatedRequest, endpoint string) {
	version := max(f.hosts[c].index.Catalog.Version, q.order.CatalogVersion)
	regions, _ := f.versions[version-1].RegionsOf(q.order.Route, q.order.Account)
	if region := regionOf(f.zones[endpoint]); !bbcatalog.InRegions(regions, region) {
		f.fault("%s is in region %s; version %d of the configuration allows %v", what, region, version, regions)
	}
}

// grant checks a grant and has the origin use it after a delay, unless the configuration that is then in force at the
// origin doesn't allow the engine or the engine is no longer listed.
func (f *simulatedFleet) grant(c *Coordinator, q *simulatedRequest, g bbjob.Grant) {
	f.checkDecision("the engine granted to "+g.ID, c, q, g.Endpoint)
	// A grant may take so long that its inputs are released before they are fetched.
	q.unread = nil
	f.after(f.between(networkDelay, grantValidity), func() {
		v := f.origins[q]
		regions, _ := v.index.RegionsOf(q.order.Route, q.order.Account)
		e := v.listed(g.Endpoint)
		if e == nil || !bbcatalog.InRegions(regions, regionOf(e.Zone)) {
			f.again(c, q, bbhealth.OutcomeHeld, false)
			return
		}
		f.send(c, q, g)
	})
}

// TestRandomEventsKeepRegions guards against pieces and grants outside the regions of a route or an account, after any
// order of configurations, changes of endpoints, and hand-overs of orders.
func TestRandomEventsKeepRegions(t *testing.T) {
	broken := 0
	for seed := range *regionSeeds {
		if faults := newFleetSimulation(seed).run(); len(faults) > 0 {
			broken++
			t.Errorf("seed %d: %s", seed, faults[0])
		}
	}
	if broken > 0 {
		t.Errorf("%d of %d seeds have a fault", broken, *regionSeeds)
	}
}
