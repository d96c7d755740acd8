// Package bbregistry is the table of the endpoints that the platform lists. It keeps
// entries that lapsed while the platform was away until they had time to return.
package bbregistry

import (
	"sort"
	"time"
)

// returnGrace is how long an entry may be missing after the platform is back: endpoints
// write themselves in again within two seconds.
const reregisterGrace = 1800 * time.Millisecond

// Endpoint is one process that serves requests.
type Endpoint struct {
	// ID is new for most starts of an endpoint; with Born it names one process.
	ID string `json:"id"`
	// Service is the one that the endpoint belongs to.
	Service string `json:"service"`
	// Address is IP:PORT. It may be used again by another endpoint later.
	Address string `json:"address"`
	// Zone is the failure domain.
	Zone string `json:"zone"`
	// Born is the Unix millisecond of the process's start; 0 if unknown.
	StartedMillis int64 `json:"born"`
	// Leaving endpoints finish what they have and get nothing new.
	Leaving bool `json:"leaving"`
	// Cold is how much longer the endpoint carries only a little, when it was listed.
	Cold time.Duration `json:"cold"`
}

// Snapshot is what the platform listed at one revision.
type Snapshot struct {
	// Revision is the platform's, and grows with each change.
	Revision uint64 `json:"revision"`
	// OperatorRevision is that of Evacuated.
	OperatorRevision uint64     `json:"operatorRevision"`
	Endpoints        []Endpoint `json:"endpoints"`
	// Evacuated are the failure domains that get nothing new.
	Evacuated []string `json:"evacuated"`
}

// Entry is an endpoint with what this VM knows of its listing.
type Entry struct {
	Endpoint
	// ColdUntil is when the endpoint is warm, by the steady clock of this VM.
	ColdUntil time.Duration
	// lapsed is set while the entry is missing from the platform's list.
	lapsed bool
	// lapsedAt is when the entry was first missing.
	lapsedAt time.Duration
}

// Table has the entries that may be used. The zero value is not ready for use.
type Table struct {
	// Revision is the platform's revision up to which changes are in the table.
	Revision uint64
	// OperatorRevision is the platform's revision up to which evacuations are in the table.
	// They are read apart from the endpoints.
	OperatorRevision uint64
	entries          map[string]*Entry
	evacuated        map[string]bool
	changes          changes
	// Changed is told of each change of an endpoint once the table was filled; nil for nobody.
	OnChange func(e Endpoint, c Change)
	// evacuations counts the changes of evacuated.
	evacuations uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries:   make(map[string]*Entry),
		evacuated: make(map[string]bool),
	}
}

// Change is what happened to an endpoint.
type Change string

// The changes of endpoints. One that lapsed is used for a while, since the platform was away.
const (
	ChangeListed  Change = "listed"
	ChangeCold    Change = "cold"
	ChangeWarm    Change = "warm"
	ChangeLeaving Change = "leaving"
	ChangeLapsed  Change = "lapsed"
	ChangeGone    Change = "gone"
)

// tell passes a change on.
func (t *Table) notify(e Endpoint, c Change) {
	if t.OnChange != nil && t.Revision > 0 {
		t.OnChange(e, c)
	}
}

// tellPut passes on what is new about an endpoint.
func (t *Table) notifyPut(former *Entry, e Endpoint) {
	switch {
	case former == nil || former.lapsed:
		t.notify(e, ChangeListed)
	case e.Leaving && !former.Leaving:
		t.notify(e, ChangeLeaving)
	case e.Cold > 0 && former.Cold == 0:
		t.notify(e, ChangeCold)
	case e.Cold == 0 && former.Cold > 0:
		t.notify(e, ChangeWarm)
	}
}

// Put adds or changes an entry. Beats that change nothing but their own count are no change.
func (t *Table) Put(now time.Duration, e Endpoint) {
	former := t.entries[e.ID]
	t.notifyPut(former, e)
	t.entries[e.ID] = &Entry{
		Endpoint:  e,
		ColdUntil: now + e.Cold,
	}
	if former == nil || former.lapsed || !former.Endpoint.equivalent(e) {
		t.changes.add(e.ID)
	}
}

// same tells whether two states of an endpoint are alike for those who choose. The cold time
// that is left is counted down by whoever knows it.
func (e Endpoint) equivalent(o Endpoint) bool {
	cold := (e.Cold > 0) == (o.Cold > 0)
	e.Cold, o.Cold = 0, 0
	return cold && e == o
}

// Remove takes an entry out. With grace it is kept for a while, since the platform was
// away and its entries lapse then.
func (t *Table) Remove(now time.Duration, id string, grace bool) {
	e := t.entries[id]
	if e == nil {
		return
	}
	if !grace || e.Leaving {
		t.delete(id)
		return
	}
	if !e.lapsed {
		e.lapsed = true
		e.lapsedAt = now
		t.notify(e.Endpoint, ChangeLapsed)
	}
}

func (t *Table) delete(id string) {
	t.notify(t.entries[id].Endpoint, ChangeGone)
	delete(t.entries, id)
	t.changes.add(id)
}

// Replace makes the table that of another VM.
func (t *Table) Replace(now time.Duration, s Snapshot) {
	t.ReplaceEndpoints(now, s, false)
	t.mergeEvacuated(s.Evacuated, s.OperatorRevision)
}

// adoptEvacuated takes in what another VM knows of evacuations, if it is newer. Its endpoints
// may be newer while its evacuations are older.
func (t *Table) mergeEvacuated(zones []string, revision uint64) {
	if revision > t.OperatorRevision {
		t.SetEvacuated(zones)
		t.OperatorRevision = revision
	}
}

// SetEvacuated makes these the failure domains that get nothing new.
func (t *Table) SetEvacuated(zones []string) {
	t.evacuations++
	t.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		t.evacuated[zone] = true
	}
}

// ReplaceEndpoints makes the endpoints those of a whole list. With grace those that it
// lacks are kept for a while.
func (t *Table) ReplaceEndpoints(now time.Duration, s Snapshot, grace bool) {
	listed := make(map[string]bool, len(s.Endpoints))
	for _, e := range s.Endpoints {
		listed[e.ID] = true
		t.Put(now, e)
	}
	for id := range t.entries {
		if !listed[id] {
			t.Remove(now, id, grace)
		}
	}
	t.Revision = s.Revision
}

// Evacuated tells whether a failure domain is out.
func (t *Table) Evacuated(zone string) bool {
	return t.evacuated[zone]
}

// State returns a number that changes when other endpoints may be used.
func (t *Table) Generation() uint64 {
	return t.changes.sequence() + t.evacuations
}

// Evacuate notes whether a failure domain is out.
func (t *Table) SetZoneEvacuated(zone string, out bool) {
	t.evacuations++
	if out {
		t.evacuated[zone] = true
		return
	}
	delete(t.evacuated, zone)
}

// Expire drops entries that did not return in time.
func (t *Table) Expire(now time.Duration) {
	for id, e := range t.entries {
		if e.lapsed && now-e.lapsedAt >= reregisterGrace {
			t.delete(id)
		}
	}
}

// Usable returns the endpoint of that ID if it may get new work, or nil.
func (t *Table) Usable(id string) *Entry {
	e := t.entries[id]
	if e == nil || e.Leaving || t.evacuated[e.Zone] {
		return nil
	}
	return e
}

// Listed returns the endpoint of that ID, whether it may get new work or not.
func (t *Table) Listed(id string) (Endpoint, bool) {
	e := t.entries[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// At returns the endpoint that is listed with an address; of several the one that started last.
func (t *Table) At(address string) (Endpoint, bool) {
	var found Endpoint
	for _, e := range t.entries {
		if e.Address == address && (found.ID == "" || e.StartedMillis > found.StartedMillis || e.StartedMillis == found.StartedMillis && e.ID > found.ID) {
			found = e.Endpoint
		}
	}
	return found, found.ID != ""
}

// Of returns copies of the endpoints of a service that may get new work, in the order of
// their IDs, with the cold time that they have left.
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

// Count has the endpoints of a service.
type Count struct {
	// Listed are all of them, Usable those that may get new work, Cold those of them that
	// carry only a little.
	Listed, Usable, Cold int
}

// Counts returns the number of endpoints by service.
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

// Snapshot returns the whole table for another VM.
func (t *Table) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{
		Revision:         t.Revision,
		OperatorRevision: t.OperatorRevision,
	}
	for _, e := range t.entries {
		listed := e.Endpoint
		listed.Cold = max(0, e.ColdUntil-now)
		s.Endpoints = append(s.Endpoints, listed)
	}
	sort.Slice(s.Endpoints, func(i, j int) bool { return s.Endpoints[i].ID < s.Endpoints[j].ID })
	for zone := range t.evacuated {
		s.Evacuated = append(s.Evacuated, zone)
	}
	sort.Strings(s.Evacuated)
	return s
}
