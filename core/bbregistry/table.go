// Package bbregistry is the table of the endpoints registered with the platform, and of the evacuated failure
// domains. After a platform outage it keeps entries that expired meanwhile until their endpoints had time to
// register again. After the platform's store has come back from an older copy it holds what was confirmed before
// and what the copy has otherwise, until that is written again or a time has passed.
package bbregistry

import (
	"slices"
	"sort"
	"time"

	"bluebellhall/core/bbrevision"
)

// reregisterGrace is how long an entry may be missing after the platform is back: endpoints register again
// within two seconds.
const reregisterGrace = 1800 * time.Millisecond

// Endpoint is one process that serves requests.
type Endpoint struct {
	// ID is new for most starts of an endpoint; together with StartedMillis it identifies one process.
	ID string `json:"id"`
	// Service is the service that the endpoint belongs to.
	Service string `json:"service"`
	// Address is IP:PORT. It may later be reused by another endpoint.
	Address string `json:"address"`
	// Zone is the failure domain.
	Zone string `json:"zone"`
	// StartedMillis is the process's start time as a Unix time in milliseconds; 0 if unknown.
	StartedMillis int64 `json:"born"`
	// Version is the version of the endpoint's software; empty if its entry states none. Builds without versions
	// leave it out.
	Version string `json:"version,omitempty"`
	// Leaving endpoints are draining: they finish their requests and get no new ones.
	Leaving bool `json:"leaving"`
	// Cold is how much longer the endpoint takes only a low rate of requests, as of the listing.
	Cold time.Duration `json:"cold"`
	// Held is true if another VM shows an endpoint that the platform lists as ready as leaving, because its process
	// was leaving or gone before the store came back from an older copy.
	Held bool `json:"held,omitempty"`
	// Unconfirmed is true if the endpoint was added or changed by a list that may come from an older copy of the
	// store, and wasn't written since.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// Lapsed is true if another VM keeps an entry that is missing from the platform's list.
	Lapsed bool `json:"lapsed,omitempty"`
}

// Snapshot is the content of the platform's registry at one revision.
type Snapshot struct {
	// Revision is the platform's revision of Endpoints.
	Revision bbrevision.Revision
	// OperatorRevision is the platform's revision of Evacuated.
	OperatorRevision bbrevision.Revision
	Endpoints        []Endpoint
	// Evacuated are the failure domains that get no new work.
	Evacuated []string
}

// Entry is an endpoint with this VM's state of its registration.
type Entry struct {
	Endpoint
	// ColdUntil is when the endpoint is warm, by the monotonic clock of this VM.
	ColdUntil time.Duration
	// lapsed is set while the entry is missing from the registry but kept.
	lapsed bool
	// lapsedAt is when the entry was first found missing.
	lapsedAt time.Duration
	// hold is why the endpoint gets no work, though it is listed as ready.
	hold hold
	// latestMillis is the latest start of a process under this ID. It is later than StartedMillis while an older
	// copy of the store has a former process.
	latestMillis int64
}

// Table has the registered endpoints. The zero value is not ready for use.
type Table struct {
	// Revision is the platform's revision up to which changes of endpoints were applied.
	Revision bbrevision.Revision
	// OperatorRevision is the platform's revision up to which evacuations were applied. They are read
	// separately from the endpoints.
	OperatorRevision bbrevision.Revision
	entries          map[string]*Entry
	zones            zones
	changes          changes
	// lapses counts the changes that leave the endpoint usable.
	lapses uint64
	// read is true if the store's endpoints were read since the last delta of another VM.
	read bool
	// ended are the processes that were removed.
	ended endedProcesses
	// settleAt is when held endpoints count as listed again; 0 if nothing is held.
	settleAt time.Duration
	// OnChange is called with each change of an endpoint after the initial load; it may be nil.
	OnChange func(e Endpoint, c Change)
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries: make(map[string]*Entry),
		ended:   newEndedProcesses(),
		zones: zones{
			states: make(map[string]*zoneState),
		},
	}
}

// Change is a kind of change of an endpoint.
type Change string

// The changes of endpoints. A lapsed endpoint stays usable for reregisterGrace, because it may have expired
// only due to a platform outage.
const (
	ChangeListed  Change = "listed"
	ChangeCold    Change = "cold"
	ChangeWarm    Change = "warm"
	ChangeLeaving Change = "leaving"
	ChangeLapsed  Change = "lapsed"
	ChangeGone    Change = "gone"
	// A held endpoint is listed by an older copy of the store, but its process was leaving or gone before. It
	// is released when the list counts again.
	ChangeHeld     Change = "held"
	ChangeReleased Change = "released"
)

// notify calls OnChange, but not for the initial load.
func (t *Table) notify(e Endpoint, c Change) {
	if t.OnChange != nil && !t.Revision.IsZero() {
		t.OnChange(e, c)
	}
}

// notifyPut notifies what a new state changes of an endpoint, if anything.
func (t *Table) notifyPut(former *Entry, e *Entry) {
	switch {
	case e.hold != holdNone && (former == nil || former.hold == holdNone):
		t.notify(e.Endpoint, ChangeHeld)
	case e.hold == holdNone && former != nil && former.hold != holdNone:
		t.notify(e.Endpoint, ChangeReleased)
	case former == nil || former.lapsed:
		t.notify(e.Endpoint, ChangeListed)
	case e.Leaving && !former.Leaving:
		t.notify(e.Endpoint, ChangeLeaving)
	case e.Cold > 0 && former.Cold == 0:
		t.notify(e.Endpoint, ChangeCold)
	case e.Cold == 0 && former.Cold > 0:
		t.notify(e.Endpoint, ChangeWarm)
	case e.Version != former.Version:
		t.notify(e.Endpoint, ChangeListed)
	}
}

// Put adds or updates an entry as its endpoint has written it, or as another VM has it. Heartbeats that change
// nothing else don't count as a change.
func (t *Table) Put(now time.Duration, e Endpoint) {
	h := t.holdWritten(t.entries[e.ID], e)
	if h == holdNone {
		t.ended.byID.Remove(e.ID)
	}
	t.put(now, e, h)
}

// put adds or updates an entry.
func (t *Table) put(now time.Duration, e Endpoint, h hold) {
	former := t.entries[e.ID]
	if e.Held {
		e.Leaving = false
		h = max(h, holdRemoved)
	}
	lapsed := e.Lapsed
	e.Held, e.Lapsed = false, false
	entry := &Entry{
		Endpoint:  e,
		ColdUntil: now + e.Cold,
		hold:      h,

		latestMillis: e.StartedMillis,
	}
	if former != nil {
		entry.latestMillis = max(former.latestMillis, e.StartedMillis)
	}
	t.notifyPut(former, entry)
	t.entries[e.ID] = entry
	if former != nil && former.process() != e.process() && (former.StartedMillis < e.StartedMillis || former.leaving()) {
		t.ended.add(former)
	}
	if lapsed {
		t.lapse(now, entry, former)
	}
	if former.changes(e, h) {
		t.changes.add(e.ID)
	}
}

// changes reports whether an entry, nil if there is none, differs from its next state.
func (e *Entry) changes(next Endpoint, h hold) bool {
	return e == nil || e.lapsed || e.hold != h || !e.Endpoint.equivalent(next)
}

// equivalent reports whether two states of an endpoint are the same for scheduling. Of the remaining cold
// time it compares only whether there is any, because each table counts it down itself.
func (e Endpoint) equivalent(o Endpoint) bool {
	cold := (e.Cold > 0) == (o.Cold > 0)
	e.Cold, o.Cold = 0, 0
	return cold && e == o
}

// Remove removes an entry. With grace it is kept for a while, because the platform was down and entries
// expire then.
func (t *Table) Remove(now time.Duration, id string, grace bool) {
	e := t.entries[id]
	if e == nil {
		return
	}
	if !grace || e.Leaving || e.hold != holdNone {
		t.delete(id)
		return
	}
	t.lapse(now, e, e)
}

// lapse keeps an entry that is missing from the platform's list, for the rest of the time if it was missing before.
func (t *Table) lapse(now time.Duration, e, former *Entry) {
	if former != nil && former.lapsed {
		e.lapsed, e.lapsedAt = true, former.lapsedAt
		return
	}
	e.lapsed, e.lapsedAt = true, now
	t.changes.add(e.ID)
	t.lapses++
	t.notify(e.Endpoint, ChangeLapsed)
}

func (t *Table) delete(id string) {
	t.notify(t.entries[id].Endpoint, ChangeGone)
	t.ended.add(t.entries[id])
	delete(t.entries, id)
	t.changes.add(id)
}

// Update is one change of an entry of the registry.
type Update struct {
	// Endpoint is the new state; only its ID is set if the entry was removed or is invalid.
	Endpoint Endpoint
	// Number is the number of the change's revision.
	Number uint64
	// Removed is true if the entry was removed, Invalid if it names no endpoint any more.
	Removed, Invalid bool
}

// ApplyUpdates applies the changes up to a revision, without those that are known already. With grace removed
// entries are kept for a while. It returns false if the changes don't continue the table, since it is of
// another era.
func (t *Table) ApplyUpdates(now time.Duration, updates []Update, at bbrevision.Revision, grace bool) bool {
	if at.Era != t.Revision.Era {
		return false
	}
	t.read = true
	for _, u := range updates {
		switch {
		case u.Number <= t.Revision.Number:
		case u.Removed || u.Invalid:
			t.Remove(now, u.Endpoint.ID, grace && u.Removed)
		default:
			t.Put(now, u.Endpoint)
		}
	}
	t.Revision = bbrevision.Latest(t.Revision, at)
	t.settleEndpoints(now)
	return true
}

// ReplaceEndpoints replaces the endpoints by a complete list. With grace those missing from it are kept for
// a while. It returns false if the list is of an earlier era than the table.
//
// A list of a later era comes from an older copy of the store: until endpointSettleTime has passed, or the endpoint
// has written its entry again, a process that was leaving or gone before gets no work. An endpoint that it lacks is
// kept for a while, with or without grace, and a known cold time isn't shortened.
func (t *Table) ReplaceEndpoints(now time.Duration, s Snapshot, grace bool) bool {
	if s.Revision.Era < t.Revision.Era {
		return false
	}
	t.read = true
	t.enterEra(now, now, s.Revision)
	t.replaceEndpoints(now, s, grace)
	return true
}

// replaceEndpoints replaces the endpoints by a complete list of the platform or of another VM.
func (t *Table) replaceEndpoints(now time.Duration, s Snapshot, grace bool) {
	listed := make(map[string]bool, len(s.Endpoints))
	for _, e := range s.Endpoints {
		listed[e.ID] = true
		t.putListed(now, e)
	}
	for id := range t.entries {
		if !listed[id] {
			t.Remove(now, id, grace || t.unsettled())
		}
	}
	t.Revision = s.Revision
}

// Generation returns a number that changes whenever the set of usable endpoints may have changed.
func (t *Table) Generation() uint64 {
	return t.changes.sequence() - t.lapses + t.zones.generation
}

// Expire removes entries that were not registered again within reregisterGrace.
func (t *Table) Expire(now time.Duration) {
	for id, e := range t.entries {
		if e.lapsed && now-e.lapsedAt >= reregisterGrace {
			t.delete(id)
		}
	}
}

// Usable returns the endpoint with that ID if it may get new work, else nil.
func (t *Table) Usable(id string) *Entry {
	e := t.entries[id]
	if e == nil || e.Leaving || e.hold != holdNone || t.Evacuated(e.Zone) {
		return nil
	}
	return e
}

// Listed returns the endpoint with that ID, whether or not it may get new work.
func (t *Table) Listed(id string) (Endpoint, bool) {
	e := t.entries[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Versions returns the distinct versions of the software of all listed endpoints of a service, sorted, whether or not
// the endpoints may get new work. Endpoints without a version have the empty one.
func (t *Table) Versions(service string) []string {
	var versions []string
	for _, e := range t.entries {
		if e.Service == service && !slices.Contains(versions, e.Version) {
			versions = append(versions, e.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// At returns the endpoint registered at an address; if there are several, the one that started last.
func (t *Table) At(address string) (Endpoint, bool) {
	var found Endpoint
	for _, e := range t.entries {
		if e.Address == address && (found.ID == "" || e.StartedMillis > found.StartedMillis || e.StartedMillis == found.StartedMillis && e.ID > found.ID) {
			found = e.Endpoint
		}
	}
	return found, found.ID != ""
}

// Of returns copies of the endpoints of a service that may get new work, sorted by ID, with their remaining
// cold time.
func (t *Table) Of(now time.Duration, service string) []*Entry {
	var found []*Entry
	for id, e := range t.entries {
		if e.Service != service || t.Usable(id) == nil {
			continue
		}
		copied := *e
		copied.Cold = max(0, e.ColdUntil-now)
		found = append(found, &copied)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// Len returns the number of entries.
func (t *Table) Len() int {
	return len(t.entries)
}

// Count is the number of endpoints of a service.
type Count struct {
	// Listed counts all of them, Usable those that may get new work, Cold the usable ones that take only
	// a low rate of requests.
	Listed, Usable, Cold int
}

// Counts returns the numbers of endpoints by service.
func (t *Table) Counts(now time.Duration) map[string]Count {
	counts := make(map[string]Count)
	for id, e := range t.entries {
		c := counts[e.Service]
		c.Listed++
		if t.Usable(id) != nil {
			c.Usable++
			if e.ColdUntil > now {
				c.Cold++
			}
		}
		counts[e.Service] = c
	}
	return counts
}

// Snapshot returns the whole content for another VM.
func (t *Table) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{
		Revision:         t.Revision,
		OperatorRevision: t.OperatorRevision,
	}
	for _, e := range t.entries {
		listed := e.Endpoint
		listed.Cold = max(0, e.ColdUntil-now)
		listed.Lapsed = e.lapsed
		if e.hold != holdNone {
			listed.Leaving, listed.Held = true, true
		}
		s.Endpoints = append(s.Endpoints, listed)
	}
	sort.Slice(s.Endpoints, func(i, j int) bool { return s.Endpoints[i].ID < s.Endpoints[j].ID })
	s.Evacuated = t.zones.evacuatedZones()
	return s
}
