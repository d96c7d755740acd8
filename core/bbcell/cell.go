// Package bbcell splits the endpoints of a fleet into cells. A cell has the endpoints of one
// or more failure domains and one VM that coordinates them. Each VM works the split out of the
// VMs that it reaches; nothing is agreed on. VMs with different views may name different
// coordinators for a while, which everything that the coordinators decide has to bear.
package bbcell

import (
	"maps"
	"slices"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
)

const (
	// splitSize is the number of VMs from which each failure domain is a cell of its own. One
	// coordinator took 0.30 cores for a fleet of 65 VMs, and the largest VMs have 0.8.
	splitThreshold = 120
	// joinSize is the number of VMs below which all endpoints are one cell again. VMs that are
	// lost stay known for a minute, so that outages don't change the split.
	mergeThreshold = 90
)

// Split tells whether a fleet has a cell for each failure domain. The zero value has one cell.
type Split struct {
	// ByZone is true for a cell for each failure domain, false for one in all.
	ByZone bool
}

// Resize takes in the number of VMs of the fleet.
func (s *Split) Resize(vms int) {
	switch {
	case vms >= splitThreshold:
		s.ByZone = true
	case vms < mergeThreshold:
		s.ByZone = false
	}
}

// Map has the VM that works for each failure domain. The zero value is empty.
type Map struct {
	// Zones has the VM of each failure domain. It is the same for all in a fleet of one cell.
	Zones map[string]bbgossip.Member
}

// New returns the map of a fleet. Regions has the region of each failure domain. A failure
// domain without a VM falls to one of another, in its region if there is any.
func New(vms []bbgossip.Member, regions map[string]string, byZone bool) Map {
	m := Map{
		Zones: make(map[string]bbgossip.Member, len(regions)),
	}
	best := make(map[string]bbgossip.Member)
	for _, vm := range vms {
		place := ""
		if byZone {
			place = vm.Zone
		}
		if b, ok := best[place]; !ok || bbgossip.HasPriority(vm, b) {
			best[place] = vm
		}
	}
	for zone, region := range regions {
		if vm, ok := substitute(best, zone, region, byZone); ok {
			m.Zones[zone] = vm
		}
	}
	return m
}

// substitute returns the VM that works for a failure domain: its own, or one of another.
func substitute(best map[string]bbgossip.Member, zone, region string, byZone bool) (bbgossip.Member, bool) {
	if !byZone {
		vm, ok := best[""]
		return vm, ok
	}
	if vm, ok := best[zone]; ok {
		return vm, true
	}
	others := PreferNear(slices.Sorted(maps.Keys(best)), func(other string) bool { return best[other].Region == region })
	other, ok := bbhash.Pick(others, zone)
	return best[other], ok
}

// PreferNear returns those that are near, or all if none is.
func PreferNear[T any](all []T, isNear func(T) bool) []T {
	var near []T
	for _, one := range all {
		if isNear(one) {
			near = append(near, one)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

// Of returns the VM of a failure domain. One that isn't in the map falls to the same VM on all
// VMs with the same map.
func (m Map) Of(zone string) (bbgossip.Member, bool) {
	if vm, ok := m.Zones[zone]; ok {
		return vm, true
	}
	other, ok := bbhash.Pick(slices.Sorted(maps.Keys(m.Zones)), zone)
	return m.Zones[other], ok
}

// Works tells whether a VM works for a failure domain.
func (m Map) Coordinates(name, zone string) bool {
	vm, ok := m.Of(zone)
	return ok && vm.Name == name
}

// WorksAny tells whether a VM works for any failure domain.
func (m Map) CoordinatesAny(name string) bool {
	for _, vm := range m.Zones {
		if vm.Name == name {
			return true
		}
	}
	return false
}

// Equal tells whether two maps name the same processes.
func (m Map) Equal(o Map) bool {
	return maps.EqualFunc(m.Zones, o.Zones, func(a, b bbgossip.Member) bool {
		return a.Name == b.Name && a.Boot == b.Boot
	})
}

// VMs returns the VMs that work for failure domains, in the order of their names.
func (m Map) VMs() []bbgossip.Member {
	byName := make(map[string]bbgossip.Member, len(m.Zones))
	for _, vm := range m.Zones {
		byName[vm.Name] = vm
	}
	vms := make([]bbgossip.Member, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		vms = append(vms, byName[name])
	}
	return vms
}
