package bbregistry

import (
	"maps"
	"slices"
	"time"

	"bluebellhall/core/bbrevision"
)

const (
	// operatorSettleTime is how long after the store has come back from an older copy a known evacuation
	// outlives a copy that lacks it. It is enough for operators to write again what the copy lacks.
	operatorSettleTime = 10 * time.Second
	// endedSettleTime is how long the known end of an evacuation outlives a copy that still has the evacuation.
	// It is half of the time within which an evacuation has to be in force, because a new evacuation may have
	// got the revision of the former one.
	endedSettleTime = 2500 * time.Millisecond
	// maxZones bounds the failure domains whose evacuations are remembered.
	maxZones = 1024
)

// Evacuation is an evacuated failure domain, as listed by the platform.
type Evacuation struct {
	Zone string
	// Number is the number of the revision of the evacuation.
	Number uint64
}

// ZoneUpdate is one change of an evacuation.
type ZoneUpdate struct {
	Zone string
	// Number is the number of the change's revision.
	Number uint64
	// Ended is true if the evacuation has ended.
	Ended bool
}

// zoneState is what is known of the evacuation of a failure domain.
type zoneState struct {
	// listed is true while the platform has the evacuation, number is that of its revision.
	listed bool
	number uint64
	// ended is the number of the revision of the evacuation that ended last; 0 if there is none.
	ended uint64
	// held is true while the opposite of listed holds, since it was confirmed before the store came back from
	// an older copy.
	held bool
}

// evacuated reports whether the failure domain gets no new work.
func (s *zoneState) evacuated() bool {
	return s.listed != s.held
}

// zones are the evacuations of failure domains.
type zones struct {
	states map[string]*zoneState
	// settleAt is when evacuations end that the platform's list lacks, endedSettleAt when those begin again that
	// have ended and that the list still has; 0 if that time has passed.
	settleAt, endedSettleAt time.Duration
	// ahead is true if evacuations may be known that the VM whose deltas are applied doesn't know.
	ahead bool
	// generation counts the changes of the set of evacuated failure domains.
	generation uint64
	// onChange is called when a failure domain is evacuated or taken back; it may be nil.
	onChange func(zone string, evacuated bool, source string)
}

// state returns the state of a failure domain.
func (z *zones) state(zone string) *zoneState {
	s := z.states[zone]
	if s == nil {
		z.forgetEnded()
		s = &zoneState{}
		z.states[zone] = s
	}
	return s
}

// forgetEnded removes the states that matter only if an evacuation comes back from a copy, if there are too many.
func (z *zones) forgetEnded() {
	if len(z.states) < maxZones {
		return
	}
	for zone, s := range z.states {
		if !s.listed && !s.held {
			delete(z.states, zone)
		}
	}
}

// set changes the state of a failure domain.
func (z *zones) set(zone, source string, change func(s *zoneState)) {
	s := z.state(zone)
	before := s.evacuated()
	change(s)
	if s.evacuated() == before {
		return
	}
	z.generation++
	if z.onChange != nil {
		z.onChange(zone, s.evacuated(), source)
	}
}

// view is the state of a failure domain in a complete list. Those that the list doesn't have are neither listed nor
// evacuated.
type view struct {
	// evacuated is the opposite of listed if another VM holds that.
	listed, evacuated bool
	// number is that of the evacuation's revision; 0 if unknown.
	number uint64
}

// replace applies a complete list. Hold is true if the list may come from an older copy: then a confirmed
// evacuation that it lacks goes on, and one that is known to have ended doesn't begin again, each for its time.
func (z *zones) replace(list map[string]view, source string, hold bool) {
	for _, zone := range slices.Sorted(maps.Keys(list)) {
		v := list[zone]
		z.set(zone, source, func(s *zoneState) {
			evacuated := v.evacuated
			if s.evacuated() && (v.listed || hold && z.settleAt > 0) {
				evacuated = true
			}
			if hold && !s.evacuated() && z.endedSettleAt > 0 && v.number > 0 && v.number == s.ended {
				evacuated = false
			}
			s.listed = v.listed
			s.held = v.listed != evacuated
			if v.number > 0 {
				s.number = v.number
			}
		})
	}
	for _, zone := range slices.Sorted(maps.Keys(z.states)) {
		if _, known := list[zone]; known || !z.states[zone].listed {
			continue
		}
		z.set(zone, source, func(s *zoneState) {
			s.held = hold && s.evacuated() && z.settleAt > 0
			s.listed = false
			if !s.held {
				s.ended = s.number
			}
		})
	}
}

// hold begins the times for which what is known outlives a list that may come from an older copy.
func (z *zones) hold(now time.Duration) {
	z.settleAt = now + operatorSettleTime
	z.endedSettleAt = now + endedSettleTime
}

// settle ends what is held if the platform had the evacuations that are known now after its time had passed.
func (z *zones) settle(asOf time.Duration) {
	if z.endedSettleAt > 0 && asOf >= z.endedSettleAt {
		z.endedSettleAt = 0
		z.release(true)
	}
	if z.settleAt > 0 && asOf >= z.settleAt {
		z.settleAt = 0
		z.release(false)
	}
}

// release ends what is held of the evacuations that are, or are not, listed.
func (z *zones) release(listed bool) {
	for _, zone := range slices.Sorted(maps.Keys(z.states)) {
		if s := z.states[zone]; s.held && s.listed == listed {
			z.set(zone, "settled", func(s *zoneState) { s.held = false })
		}
	}
}

// unsettled returns how much longer evacuations are held; 0 if there are none.
func (z *zones) unsettled(now time.Duration) time.Duration {
	return max(0, z.settleAt-now)
}

// evacuatedZones returns the evacuated failure domains, sorted.
func (z *zones) evacuatedZones() []string {
	return z.where((*zoneState).evacuated)
}

// heldZones returns the failure domains of which the platform lists the opposite, sorted.
func (z *zones) heldZones() []string {
	return z.where(func(s *zoneState) bool { return s.held })
}

// where returns the failure domains whose state has a property, sorted.
func (z *zones) where(has func(s *zoneState) bool) []string {
	var list []string
	for _, zone := range slices.Sorted(maps.Keys(z.states)) {
		if has(z.states[zone]) {
			list = append(list, zone)
		}
	}
	return list
}

// Evacuated reports whether a failure domain is evacuated.
func (t *Table) Evacuated(zone string) bool {
	s := t.zones.states[zone]
	return s != nil && s.evacuated()
}

// OnEvacuation sets the function that is called when a failure domain is evacuated or taken back, with what the
// change came from.
func (t *Table) OnEvacuation(changed func(zone string, evacuated bool, source string)) {
	t.zones.onChange = changed
}

// ApplyZoneUpdates applies the platform's changes of evacuations up to a revision, without those that are known
// already. It returns false if the changes don't continue the table, since it is of another era.
func (t *Table) ApplyZoneUpdates(now time.Duration, updates []ZoneUpdate, at bbrevision.Revision) bool {
	if at.Era != t.OperatorRevision.Era {
		return false
	}
	t.zones.ahead = true
	for _, u := range updates {
		if u.Number <= t.OperatorRevision.Number {
			continue
		}
		t.zones.set(u.Zone, "watch", func(s *zoneState) {
			if u.Ended && s.listed {
				s.ended = s.number
			}
			s.held = false
			s.listed = !u.Ended
			s.number = u.Number
		})
	}
	t.OperatorRevision = bbrevision.Latest(t.OperatorRevision, at)
	t.zones.settle(now)
	return true
}

// ReplaceEvacuated replaces the evacuations by a complete list of the platform's. It returns false if the list is
// of an earlier era than the table.
//
// A list of a later era comes from an older copy of the store: what was confirmed before outlives it until the
// operators have written it again, an evacuation for operatorSettleTime, the end of one for endedSettleTime.
func (t *Table) ReplaceEvacuated(now time.Duration, list []Evacuation, at bbrevision.Revision) bool {
	if at.Era < t.OperatorRevision.Era {
		return false
	}
	t.zones.ahead = true
	t.enterOperatorEra(now, now, at)
	views := make(map[string]view, len(list))
	for _, e := range list {
		views[e.Zone] = view{
			listed:    true,
			evacuated: true,
			number:    e.Number,
		}
	}
	t.zones.replace(views, "list", true)
	return true
}

// enterOperatorEra sets the revision of the evacuations, as the platform had them at the time asOf. From a later era
// on, what was known is held for a while.
func (t *Table) enterOperatorEra(now, asOf time.Duration, at bbrevision.Revision) {
	if at.Era > t.OperatorRevision.Era && !t.OperatorRevision.IsZero() {
		t.zones.hold(now)
	} else {
		t.zones.settle(asOf)
	}
	t.OperatorRevision = at
}

// mergeEvacuated applies another VM's evacuations unless they are older. Its endpoints may be newer than the ones
// here while its evacuations are older. A delta that continues the last one comes from a VM that has held whatever
// this one knew, unless this one has read the store since, so that an evacuation ends here when it ends there.
func (t *Table) mergeEvacuated(now, asOf time.Duration, d Delta, source string) {
	t.zones.ahead = t.zones.ahead || d.Whole
	if d.OperatorRevision.Before(t.OperatorRevision) {
		return
	}
	views := make(map[string]view, len(d.Evacuated))
	for _, zone := range d.Evacuated {
		views[zone] = view{
			listed:    true,
			evacuated: true,
		}
	}
	t.enterOperatorEra(now, asOf, d.OperatorRevision)
	if left := min(d.OperatorUnsettled, operatorSettleTime); left > 0 {
		t.zones.settleAt = max(t.zones.settleAt, now+left)
	}
	for _, zone := range d.HeldZones {
		v := views[zone]
		v.listed = !v.evacuated
		views[zone] = v
		if v.listed {
			t.zones.endedSettleAt = max(t.zones.endedSettleAt, now+endedSettleTime)
		}
	}
	t.zones.replace(views, source, t.zones.ahead)
	t.zones.ahead = false
}
