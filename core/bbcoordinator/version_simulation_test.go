package bbcoordinator

import (
	"maps"
	"slices"
	"testing"
	"time"

	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

// simulatedVersions are the versions of the software of the listed engines.
type simulatedVersions struct {
	listed map[string]string
	// granted, refused and waited count grants that needed a version, refusals for want of one, and those of them of
	// requests that had been accepted.
	granted, refused, waited int
}

// entries returns the entries of the engines, all like the given one.
func (v *simulatedVersions) entries(like bbregistry.Entry) []*bbregistry.Entry {
	var entries []*bbregistry.Entry
	for _, id := range slices.Sorted(maps.Keys(v.listed)) {
		e := like
		e.ID = id
		e.Version = v.listed[id]
		entries = append(entries, &e)
	}
	return entries
}

// has reports whether a listed engine that isn't to be avoided has a version.
func (v *simulatedVersions) has(version string, avoid []string) bool {
	for id, listed := range v.listed {
		if listed == version && !slices.Contains(avoid, id) {
			return true
		}
	}
	return false
}

// newVersionSimulation returns a simulation whose engines have versions that change.
func newVersionSimulation(seed uint64) *simulation {
	s := newSimulation(seed)
	s.versions = &simulatedVersions{
		listed: make(map[string]string),
	}
	for _, id := range simulatedEngines {
		s.versions.listed[id] = s.pickVersion()
	}
	return s
}

// pickVersion returns the version of an engine.
func (s *simulation) pickVersion() string {
	return []string{"", "v1", "v1.1", "v2"}[s.random.IntN(4)]
}

// drawVersion returns the version that a new order needs, mostly none.
func (s *simulation) drawVersion() string {
	if s.versions == nil || !s.chance(3) {
		return ""
	}
	return s.pickVersion()
}

// scheduleReleases schedules that engines leave and come back with other versions.
func (s *simulation) scheduleReleases() {
	if s.versions == nil {
		return
	}
	for at := time.Duration(0); at < arrivalTime; at += s.between(100*ms, 1500*ms) {
		s.after(at, func() {
			id := simulatedEngines[s.random.IntN(len(simulatedEngines))]
			if _, ok := s.versions.listed[id]; ok && len(s.versions.listed) > 1 {
				delete(s.versions.listed, id)
				return
			}
			s.versions.listed[id] = s.pickVersion()
		})
	}
}

// checkNoneLacksVersion checks that no request waits for a version that no engine has.
func (s *simulation) checkNoneLacksVersion(c *Coordinator) {
	if s.versions == nil {
		return
	}
	for id, j := range c.jobs {
		if version := j.Order.Version; version != "" && j.Granted == "" && !s.versions.has(version, j.Excluded) {
			s.fault("%s waits for version %q, which no engine has that it may use", id, version)
		}
	}
}

// checkVersion checks the version of a granted engine.
func (s *simulation) checkVersion(o bbjob.Order, g bbjob.Grant) {
	if s.versions == nil {
		return
	}
	version, ok := s.versions.listed[g.Endpoint]
	if !ok || g.Version != version {
		s.fault("%s is granted %s with version %q, which has %q (listed: %v)", g.ID, g.Endpoint, g.Version, version, ok)
	}
	if o.Version == "" {
		return
	}
	s.versions.granted++
	if version != o.Version {
		s.fault("%s needs version %q and is granted %s with %q", g.ID, o.Version, g.Endpoint, version)
	}
}

// checkRefusal checks that a request isn't refused for want of a version that an engine has.
func (s *simulation) checkRefusal(r bbjob.Refusal) {
	if s.versions == nil || r.Reason != noVersion {
		return
	}
	s.versions.refused++
	if r.Expected > 0 {
		s.versions.waited++
	}
	if o := s.requests[r.ID].order; s.versions.has(o.Version, o.Avoid) {
		s.fault("%s is refused for want of version %q, which an engine has that it may use", r.ID, o.Version)
	}
}

// keepVersion makes the order of a stream that has begun need the version of its engine.
func (s *simulation) keepVersion(q *simulatedRequest, g bbjob.Grant) {
	if g.Version != "" {
		q.order.Version = g.Version
	}
}

// TestRandomEventsKeepVersions guards against streams that go on at an engine of another version than the one that
// began them, and against requests that wait until their deadline for a version that no engine has any more, while
// engines leave and come back with other versions. The checks of TestRandomEventsKeepInputsAndGrants hold as well.
func TestRandomEventsKeepVersions(t *testing.T) {
	var total simulatedVersions
	for seed := range *simulationSeeds {
		s := newVersionSimulation(seed)
		if faults := s.run(); len(faults) > 0 {
			t.Errorf("seed %d: %s", seed, faults[0])
		}
		total.granted += s.versions.granted
		total.refused += s.versions.refused
		total.waited += s.versions.waited
	}
	if total.granted == 0 || total.refused == total.waited || total.waited == 0 {
		t.Errorf("%d grants with a version, %d refusals for want of one, %d of them later; want some of each kind", total.granted, total.refused, total.waited)
	}
	t.Logf("%d grants with a version, %d refusals for want of one, %d of them later", total.granted, total.refused, total.waited)
}
