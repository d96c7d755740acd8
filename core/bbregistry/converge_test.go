package bbregistry

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bluebellhall/core/bbrevision"
)

// TestMain fixes the seed of rapid (-rapid.seed=0 draws one) and sets enough checks for rare orders to occur.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	// rewriteTime is the time after a return within which the model's writers have written again what they had
	// written, or the store has dropped the entries of processes that are gone.
	rewriteTime = 2 * time.Second
	modelVMs    = 3
)

var (
	modelZones     = []string{"east"}
	modelEndpoints = []string{"a", "b"}
)

// modelStore is a store that may come back from an older copy.
type modelStore struct {
	at bbrevision.Revision
	// endpoints and zones are the entries, numbers the revisions of evacuations.
	endpoints map[string]Endpoint
	zones     map[string]uint64
	updates   []Update
	evacuated []ZoneUpdate
}

func (s modelStore) clone() modelStore {
	s.endpoints = maps.Clone(s.endpoints)
	s.zones = maps.Clone(s.zones)
	s.updates = slices.Clone(s.updates)
	s.evacuated = slices.Clone(s.evacuated)
	return s
}

func (s *modelStore) putEndpoint(id string, e *Endpoint) {
	s.at.Number++
	u := Update{
		Endpoint: Endpoint{
			ID: id,
		},
		Number:  s.at.Number,
		Removed: e == nil,
	}
	if e == nil {
		delete(s.endpoints, id)
	} else {
		u.Endpoint = *e
		s.endpoints[id] = *e
	}
	s.updates = append(s.updates, u)
}

func (s *modelStore) putZone(zone string, evacuated bool) {
	s.at.Number++
	if evacuated {
		s.zones[zone] = s.at.Number
	} else {
		delete(s.zones, zone)
	}
	s.evacuated = append(s.evacuated, ZoneUpdate{
		Zone:   zone,
		Number: s.at.Number,
		Ended:  !evacuated,
	})
}

// modelVM is a VM that reads the store, or another VM, at some times.
type modelVM struct {
	table *Table
	// asOf is when the store had what the VM knows.
	asOf time.Duration
	// endpointsAt and operatorAt are the revisions that its watches continue from.
	endpointsAt, operatorAt bbrevision.Revision
	cursors                 [modelVMs]uint64
	// knowsEvacuated has the failure domains whose present evacuation the VM has read, knowsEnded the processes
	// of which it has read that they are leaving or gone.
	knowsEvacuated map[string]bool
	knowsEnded     map[process]bool
	// seen are the processes that the VM knows; false for those that are missing from its last list.
	seen map[process]bool
}

// model is a store, its writers and the VMs.
type model struct {
	now    time.Duration
	store  modelStore
	copies []modelStore
	// endpoints is what the endpoints last wrote; one that is gone is missing. evacuated is what the operators
	// last wrote. rewrites is when what the store lacks of both is written again.
	endpoints map[string]Endpoint
	evacuated map[string]bool
	rewriteAt time.Duration
	started   int64
	gone      []process
	vms       [modelVMs]*modelVM
}

func newModel() *model {
	m := &model{
		store: modelStore{
			at:        inEra(1, 10),
			endpoints: make(map[string]Endpoint),
			zones:     make(map[string]uint64),
		},
		endpoints: make(map[string]Endpoint),
		evacuated: make(map[string]bool),
	}
	for i := range m.vms {
		m.vms[i] = &modelVM{
			table:          NewTable(),
			knowsEvacuated: make(map[string]bool),
			knowsEnded:     make(map[process]bool),
			seen:           make(map[process]bool),
		}
	}
	return m
}

// modelVersion returns the version of the software of a process, which never changes.
func modelVersion(startedMillis int64) string {
	return []string{"", "v1", "v1.1"}[startedMillis%3]
}

// start starts a process of an endpoint in place of the former one.
func (m *model) start(id string) {
	if former, ok := m.endpoints[id]; ok {
		m.gone = append(m.gone, former.process())
	}
	m.started++
	e := endpoint(id)
	e.StartedMillis = m.started
	e.Version = modelVersion(m.started)
	m.endpoints[id] = e
	m.store.putEndpoint(id, &e)
}

// leave marks the process of an endpoint as leaving.
func (m *model) leave(id string) {
	e, ok := m.endpoints[id]
	if !ok || e.Leaving {
		return
	}
	e.Leaving = true
	m.endpoints[id] = e
	m.store.putEndpoint(id, &e)
}

// end ends the process of an endpoint.
func (m *model) end(id string) {
	if e, ok := m.endpoints[id]; ok {
		delete(m.endpoints, id)
		m.gone = append(m.gone, e.process())
		m.store.putEndpoint(id, nil)
	}
}

// evacuate writes an evacuation or its end.
func (m *model) evacuate(zone string, evacuated bool) {
	if m.evacuated[zone] == evacuated {
		return
	}
	m.evacuated[zone] = evacuated
	for _, vm := range m.vms {
		delete(vm.knowsEvacuated, zone)
	}
	m.store.putZone(zone, evacuated)
}

// restore brings the store back from a copy.
func (m *model) restore(c modelStore) {
	era := m.store.at.Era + 1
	m.store = c.clone()
	m.store.at.Era = era
	m.rewriteAt = m.now + rewriteTime
}

// rewrite writes again what the store lacks of an endpoint or a failure domain, or has though it is gone.
func (m *model) rewrite(name string) {
	if slices.Contains(modelZones, name) {
		if _, listed := m.store.zones[name]; listed != m.evacuated[name] {
			m.store.putZone(name, m.evacuated[name])
		}
		return
	}
	listed, isListed := m.store.endpoints[name]
	e, runs := m.endpoints[name]
	switch {
	case runs && (!isListed || listed != e):
		m.store.putEndpoint(name, &e)
	case !runs && isListed:
		m.store.putEndpoint(name, nil)
	}
}

// advance moves the clock. By rewriteAt everything has been written again.
func (m *model) advance(d time.Duration) {
	m.now += d
	if m.now >= m.rewriteAt {
		for _, name := range slices.Concat(modelZones, modelEndpoints) {
			m.rewrite(name)
		}
	}
	for _, vm := range m.vms {
		vm.table.Expire(m.now)
	}
}

// readEndpoints lets a VM list or watch the endpoints.
func (m *model) readEndpoints(vm *modelVM) {
	at := bbrevision.Latest(vm.endpointsAt, vm.table.Revision)
	switch {
	case vm.endpointsAt.IsZero() || at.Era != m.store.at.Era || at.Number > m.store.at.Number:
		s := Snapshot{
			Revision: m.store.at,
		}
		for _, id := range slices.Sorted(maps.Keys(m.store.endpoints)) {
			s.Endpoints = append(s.Endpoints, m.store.endpoints[id])
		}
		if !vm.table.ReplaceEndpoints(m.now, s, false) {
			return
		}
	default:
		updates := slices.DeleteFunc(slices.Clone(m.store.updates), func(u Update) bool { return u.Number <= at.Number })
		if !vm.table.ApplyUpdates(m.now, updates, m.store.at, false) {
			return
		}
	}
	vm.endpointsAt = m.store.at
	vm.asOf = m.now
	// What the store has now of processes that are leaving or gone is confirmed to the VM.
	for id, e := range m.endpoints {
		if e.Leaving && m.store.endpoints[id] == e {
			vm.knowsEnded[e.process()] = true
		}
	}
}

// note remembers which processes the VM has known and dropped since. Those that were only missing from a list may
// come back.
func (m *model) note(vm *modelVM) {
	for _, id := range modelEndpoints {
		if e := vm.table.entries[id]; e != nil {
			vm.seen[e.process()] = !e.lapsed
		}
	}
	for p := range vm.seen {
		if e, ok := vm.table.Listed(p.id); !ok || e.StartedMillis > p.startedMillis {
			vm.knowsEnded[p] = vm.seen[p] && slices.Contains(m.gone, p)
			delete(vm.seen, p)
		}
	}
}

// readZones lets a VM list or watch the evacuations.
func (m *model) readZones(vm *modelVM) {
	at := vm.operatorAt
	if at.IsZero() || at.Era != m.store.at.Era || at.Number > m.store.at.Number {
		var list []Evacuation
		for _, zone := range slices.Sorted(maps.Keys(m.store.zones)) {
			list = append(list, Evacuation{
				Zone:   zone,
				Number: m.store.zones[zone],
			})
		}
		if !vm.table.ReplaceEvacuated(m.now, list, m.store.at) {
			return
		}
	} else {
		updates := slices.DeleteFunc(slices.Clone(m.store.evacuated), func(u ZoneUpdate) bool { return u.Number <= at.Number })
		if !vm.table.ApplyZoneUpdates(m.now, updates, m.store.at) {
			return
		}
	}
	vm.operatorAt = m.store.at
	vm.asOf = m.now
	for zone, evacuated := range m.evacuated {
		if _, listed := m.store.zones[zone]; evacuated && listed && vm.table.Evacuated(zone) {
			vm.knowsEvacuated[zone] = true
		}
	}
}

// follow lets a VM ask another one.
func (m *model) follow(vm *modelVM, source int) {
	other := m.vms[source]
	if other == vm || other.table.Revision.IsZero() {
		return
	}
	if vm.table.HasReadStore() {
		vm.cursors = [modelVMs]uint64{}
	}
	d := other.table.Since(m.now, vm.cursors[source])
	if vm.table.Apply(m.now, other.asOf, d, "source") {
		vm.asOf = max(vm.asOf, other.asOf)
		vm.cursors = [modelVMs]uint64{}
		vm.cursors[source] = d.Sequence
	}
}

// check checks that nothing that a VM has read is undone.
func (m *model) check(t *rapid.T) {
	for i, vm := range m.vms {
		m.note(vm)
		for zone := range vm.knowsEvacuated {
			if !vm.table.Evacuated(zone) {
				t.Fatalf("VM %d has read the evacuation of %s, and uses it", i, zone)
			}
		}
		for _, id := range modelEndpoints {
			if e := vm.table.Usable(id); e != nil && vm.knowsEnded[e.process()] {
				t.Fatalf("VM %d has read that %+v is leaving or gone, and uses it", i, e.process())
			}
			if e, ok := vm.table.Listed(id); ok && e.Version != modelVersion(e.StartedMillis) {
				t.Fatalf("VM %d has version %q of %+v, want %q", i, e.Version, e.process(), modelVersion(e.StartedMillis))
			}
		}
	}
}

// settle lets everything be written again and read by all VMs, and the times pass.
func (m *model) settle() {
	m.advance(rewriteTime)
	for range 2 {
		for _, vm := range m.vms {
			m.readEndpoints(vm)
			m.readZones(vm)
		}
		m.advance(operatorSettleTime)
	}
}

// state is what matters of a VM's knowledge for scheduling.
func state(t *Table) string {
	var usable []string
	for _, id := range modelEndpoints {
		if e := t.Usable(id); e != nil {
			usable = append(usable, fmt.Sprint(e.process(), e.Version))
		}
	}
	return fmt.Sprint(usable, t.zones.evacuatedZones())
}

// truth is the same of what was written last.
func (m *model) truth() string {
	t := NewTable()
	for _, id := range slices.Sorted(maps.Keys(m.endpoints)) {
		t.Put(0, m.endpoints[id])
	}
	for zone, evacuated := range m.evacuated {
		t.zones.set(zone, "", func(s *zoneState) { s.listed = evacuated })
	}
	return state(t)
}

// Guards against VMs that undo what the store has confirmed, that know different things in the end, or that take a
// process for one of another version, in any order of writes, returns from older copies, lists, watches and deltas between VMs.
func TestVMsConvergeAfterReturnsOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		drawEndpoint := func(t *rapid.T) string { return rapid.SampledFrom(modelEndpoints).Draw(t, "endpoint") }
		drawZone := func(t *rapid.T) string { return rapid.SampledFrom(modelZones).Draw(t, "zone") }
		drawVM := func(t *rapid.T) *modelVM { return m.vms[rapid.IntRange(0, modelVMs-1).Draw(t, "VM")] }
		t.Repeat(map[string]func(t *rapid.T){
			"start":     func(t *rapid.T) { m.start(drawEndpoint(t)) },
			"leave":     func(t *rapid.T) { m.leave(drawEndpoint(t)) },
			"end":       func(t *rapid.T) { m.end(drawEndpoint(t)) },
			"evacuate":  func(t *rapid.T) { m.evacuate(drawZone(t), true) },
			"take back": func(t *rapid.T) { m.evacuate(drawZone(t), false) },
			"copy":      func(*rapid.T) { m.copies = append(m.copies, m.store.clone()) },
			"restore": func(t *rapid.T) {
				if len(m.copies) > 0 {
					m.restore(rapid.SampledFrom(m.copies).Draw(t, "copy"))
				}
			},
			"rewrite": func(t *rapid.T) {
				m.rewrite(rapid.SampledFrom(slices.Concat(modelZones, modelEndpoints)).Draw(t, "name"))
			},
			"advance": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			},
			"read endpoints": func(t *rapid.T) { m.readEndpoints(drawVM(t)) },
			"read zones":     func(t *rapid.T) { m.readZones(drawVM(t)) },
			"follow":         func(t *rapid.T) { m.follow(drawVM(t), rapid.IntRange(0, modelVMs-1).Draw(t, "source")) },
			"":               m.check,
		})
		m.settle()
		for i, vm := range m.vms {
			if diff := cmp.Diff(m.truth(), state(vm.table)); diff != "" {
				t.Fatalf("what VM %d knows in the end (-want +got):\n%s", i, diff)
			}
		}
	})
}
