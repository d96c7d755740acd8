package bbregistry

import (
	"sort"
	"time"

	"bluebellhall/core/bbrevision"
)

// maxChanges bounds the length of the change log; a follower that is further behind gets the whole table.
const maxChanges = 1024

// changes is a log of the IDs of changed entries, in order.
type changes struct {
	ids []string
	// dropped counts the changes that were removed from the front of the log.
	dropped uint64
}

// add appends a change.
func (c *changes) add(id string) {
	c.ids = append(c.ids, id)
	if len(c.ids) > maxChanges {
		c.ids = c.ids[1:]
		c.dropped++
	}
}

// sequence is the total number of changes so far.
func (c *changes) sequence() uint64 {
	return c.dropped + uint64(len(c.ids))
}

// Delta is the difference between two states of a table.
type Delta struct {
	// Sequence is the number of changes up to and including this delta.
	Sequence uint64 `json:"sequence"`
	// Whole is true when Put is the whole table.
	Whole bool `json:"whole"`
	// Revision is the platform's revision of the endpoints.
	Revision bbrevision.Revision `json:"at"`
	// Unsettled is how much longer the sender holds endpoints that the store, back from an older copy, has as
	// ready.
	Unsettled time.Duration `json:"unsettled,omitempty"`
	// OperatorRevision is the platform's revision of Evacuated.
	OperatorRevision bbrevision.Revision `json:"operatorAt"`
	// Number and OperatorNumber are the numbers of both revisions. Builds without eras know only these.
	Number         uint64 `json:"revision"`
	OperatorNumber uint64 `json:"operatorRevision"`
	// Put are entries that were added or changed, Removed the IDs of removed entries.
	Put     []Endpoint `json:"put"`
	Removed []string   `json:"removed"`
	// Evacuated are the failure domains that get no new work. OperatorUnsettled is how much longer the sender
	// holds evacuations of which the store, back from an older copy, has the opposite.
	Evacuated         []string      `json:"evacuated"`
	OperatorUnsettled time.Duration `json:"operatorUnsettled,omitempty"`
	// HeldZones are the failure domains of which the store has the opposite.
	HeldZones []string `json:"heldZones,omitempty"`
}

// Since returns the changes after a sequence number, or the whole table if the log doesn't reach back to it.
func (t *Table) Since(now time.Duration, sequence uint64) Delta {
	all := t.Snapshot(now)
	d := Delta{
		Sequence:  t.changes.sequence(),
		Revision:  t.Revision,
		Number:    t.Revision.Number,
		Unsettled: max(0, t.settleAt-now),
		Evacuated: all.Evacuated,

		OperatorRevision: t.OperatorRevision,
		OperatorNumber:   t.OperatorRevision.Number,

		OperatorUnsettled: t.zones.unsettled(now),
		HeldZones:         t.zones.heldZones(),
	}
	if sequence < t.changes.dropped || sequence > d.Sequence || sequence == 0 {
		d.Whole = true
		d.Put = all.Endpoints
		return d
	}
	changed := make(map[string]bool)
	for _, id := range t.changes.ids[sequence-t.changes.dropped:] {
		changed[id] = true
	}
	for _, e := range all.Endpoints {
		if changed[e.ID] {
			d.Put = append(d.Put, e)
			delete(changed, e.ID)
		}
	}
	for id := range changed {
		d.Removed = append(d.Removed, id)
	}
	sort.Strings(d.Removed)
	return d
}

// withEras returns a delta whose revisions have eras. Those of builds without eras are taken to be of the
// receiver's era.
func (d Delta) withEras(t *Table) Delta {
	if d.Revision.IsZero() {
		d.Revision = bbrevision.Revision{
			Era:    t.Revision.Era,
			Number: d.Number,
		}
	}
	if d.OperatorRevision.IsZero() {
		d.OperatorRevision = bbrevision.Revision{
			Era:    t.OperatorRevision.Era,
			Number: d.OperatorNumber,
		}
	}
	return d
}

// HasReadStore reports whether the store's endpoints were read since the last delta, so that the next one has to
// be whole.
func (t *Table) HasReadStore() bool {
	return t.read
}

// Apply applies a delta of another table, which has what the platform had at the time asOf; source names it. It
// returns false if the table has later endpoints, or others than those that the delta continues.
func (t *Table) Apply(now, asOf time.Duration, d Delta, source string) bool {
	d = d.withEras(t)
	if d.Revision.Before(t.Revision) || !d.Whole && t.read {
		return false
	}
	t.mergeEvacuated(now, asOf, d, source)
	t.enterEra(now, asOf, d.Revision)
	t.extendSettleTime(now, d.Unsettled)
	if d.Whole {
		t.replaceEndpoints(now, Snapshot{
			Revision:  d.Revision,
			Endpoints: d.Put,
		}, false)
		t.read = false
		return true
	}
	for _, e := range d.Put {
		if e.Unconfirmed || e.Lapsed {
			t.putListed(now, e)
		} else {
			t.Put(now, e)
		}
	}
	for _, id := range d.Removed {
		t.Remove(now, id, false)
	}
	t.Revision = d.Revision
	return true
}
