// Package bbcell splits the endpoints of a fleet into cells. A cell has the endpoints of one or more failure
// domains and one VM that coordinates them. Each VM computes the split from the VMs that it can reach,
// without consensus. VMs with different views may compute different coordinators for a while, and the
// coordinators' decisions have to be safe in that case.
package bbcell

import (
	"maps"
	"slices"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
)

const (
	// splitThreshold is the number of VMs from which each failure domain is a cell of its own. One
	// coordinator took 0.30 cores for a fleet of 65 VMs, and the largest VMs have 0.8.
	splitThreshold = 120
	// mergeThreshold is the number of VMs below which all endpoints are one cell again. Lost VMs are
	// counted for another minute, so that outages don't change the split.
	mergeThreshold = 90
)

// Split decides whether a fleet has a cell for each failure domain. The zero value has one cell.
type Split struct {
	// ByZone is true for one cell per failure domain, false for a single cell.
	ByZone bool
}

// Resize updates the split for the number of VMs of the fleet.
func (s *Split) Resize(vms int) {
	switch {
	case vms >= splitThreshold:
		s.ByZone = true
	case vms < mergeThreshold:
		s.ByZone = false
	}
}

// Map has the coordinator of each failure domain. The zero value is empty.
type Map struct {
	// Zones has the coordinator by failure domain. In a fleet of one cell it is the same for all.
	Zones map[string]bbgossip.Member
}

// New returns the map of a fleet. Regions has the region of each failure domain. A failure domain without a
// VM gets the coordinator of another one, in its region if possible.
func New(vms []bbgossip.Member, regions map[string]string, byZone bool) Map {
	m := Map{
		Zones: make(map[string]bbgossip.Member, len(regions)),
	}
	best := make(map[string]bbgossip.Member)
	for _, vm := range vms {
		cell := ""
		if byZone {
			cell = vm.Zone
		}
		if b, ok := best[cell]; !ok || bbgossip.HasPriority(vm, b) {
			best[cell] = vm
		}
	}
	for zone, region := range regions {
		if vm, ok := substitute(best, zone, region, byZone); ok {
			m.Zones[zone] = vm
		}
	}
	return m
}

// substitute returns the coordinator of a failure domain: its own, or that of another.
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

// PreferNear returns the elements that are near, or all of them if none is.
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

// Of returns the coordinator of a failure domain. For one that isn't in the map it picks a coordinator by
// hash, so that VMs with the same map pick the same one.
func (m Map) Of(zone string) (bbgossip.Member, bool) {
	if vm, ok := m.Zones[zone]; ok {
		return vm, true
	}
	other, ok := bbhash.Pick(slices.Sorted(maps.Keys(m.Zones)), zone)
	return m.Zones[other], ok
}

// Coordinates reports whether a VM coordinates a failure domain.
func (m Map) Coordinates(name, zone string) bool {
	vm, ok := m.Of(zone)
	return ok && vm.Name == name
}

// CoordinatesAny reports whether a VM coordinates any failure domain.
func (m Map) CoordinatesAny(name string) bool {
	for _, vm := range m.Zones {
		if vm.Name == name {
			return true
		}
	}
	return false
}

// Equal reports whether two maps have the same processes as coordinators.
func (m Map) Equal(o Map) bool {
	return maps.EqualFunc(m.Zones, o.Zones, func(a, b bbgossip.Member) bool {
		return a.Name == b.Name && a.Boot == b.Boot
	})
}

// VMs returns the coordinators, sorted by name.
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
