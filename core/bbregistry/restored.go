package bbregistry

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"bluebellhall/core/bbrevision"
)

const (
	// endpointSettleTime is how long after the store has come back from an older copy a process that was leaving
	// or gone gets no work though the copy lists it as ready. Within three heartbeat intervals the store drops
	// the entries that nobody renews; two seconds later all writers are back.
	endpointSettleTime = 6 * time.Second
	// maxEnded bounds the removed processes that are remembered, several for each endpoint of a large fleet.
	maxEnded = 4096
)

// process identifies one process of an endpoint.
type process struct {
	id            string
	startedMillis int64
}

func (e Endpoint) process() process {
	return process{
		id:            e.ID,
		startedMillis: e.StartedMillis,
	}
}

// hold is why an endpoint that is listed as ready gets no new work.
type hold int

// The reasons. A process that was removed may register again, one that was leaving doesn't come back.
const (
	holdNone hold = iota
	holdRemoved
	holdLeaving
)

// endedProcess is the last process under an ID that was removed. Earlier ones have ended as well.
type endedProcess struct {
	startedMillis int64
	// hold is why it gets no work that an older copy of the store lists again.
	hold hold
}

// endedProcesses remembers the processes that were removed, by ID.
type endedProcesses struct {
	byID *simplelru.LRU[string, endedProcess]
}

func newEndedProcesses() endedProcesses {
	// The only error is a size below 1.
	byID, _ := simplelru.NewLRU[string, endedProcess](maxEnded, nil)
	return endedProcesses{
		byID: byID,
	}
}

// add remembers the processes of an entry that is removed or replaced.
func (p endedProcesses) add(e *Entry) {
	ended := endedProcess{
		startedMillis: e.latestMillis,
		hold:          holdRemoved,
	}
	if e.leaving() && e.latestMillis == e.StartedMillis {
		ended.hold = holdLeaving
	}
	switch known, ok := p.byID.Get(e.ID); {
	case ok && known.startedMillis > ended.startedMillis:
		return
	case ok && known.startedMillis == ended.startedMillis:
		ended.hold = max(ended.hold, known.hold)
	}
	p.byID.Add(e.ID, ended)
}

// hold returns why a process gets no work if an older copy of the store lists it.
func (p endedProcesses) hold(e Endpoint) hold {
	known, ok := p.byID.Get(e.ID)
	switch {
	case !ok || e.StartedMillis > known.startedMillis:
		return holdNone
	case e.StartedMillis < known.startedMillis:
		return holdRemoved
	}
	return known.hold
}

// leaving reports whether the process is known to be leaving.
func (e *Entry) leaving() bool {
	return e.Leaving || e.hold == holdLeaving
}

// unsettled reports whether lists may still lack what was known before the store came back from an older copy.
func (t *Table) unsettled() bool {
	return t.settleAt > 0
}

// enterEra prepares the table for endpoints of a revision, as the platform had them at the time asOf. From a later
// era on, what was known is held for a while.
func (t *Table) enterEra(now, asOf time.Duration, at bbrevision.Revision) {
	if at.Era > t.Revision.Era && !t.Revision.IsZero() {
		t.settleAt = now + endpointSettleTime
		return
	}
	t.settleEndpoints(asOf)
}

// extendSettleTime holds what is known for as long as another VM does.
func (t *Table) extendSettleTime(now, left time.Duration) {
	if left > 0 {
		t.settleAt = max(t.settleAt, now+min(left, endpointSettleTime))
	}
}

// settleEndpoints ends what is held if the platform had the endpoints that are known now after its time had passed:
// then its list counts again. A VM that learns nothing new goes on to hold what it knows.
func (t *Table) settleEndpoints(asOf time.Duration) {
	if !t.unsettled() || asOf < t.settleAt {
		return
	}
	t.settleAt = 0
	for id, e := range t.entries {
		e.Unconfirmed = false
		if e.hold != holdNone {
			e.hold = holdNone
			t.ended.byID.Remove(id)
			t.changes.add(id)
			t.notify(e.Endpoint, ChangeReleased)
		}
	}
}

// putListed adds or updates an entry as a list has it, which may come from an older copy.
func (t *Table) putListed(now time.Duration, e Endpoint) {
	if !t.unsettled() {
		t.Put(now, e)
		return
	}
	former := t.entries[e.ID]
	if former != nil && former.process() == e.process() {
		e.Cold = max(e.Cold, former.ColdUntil-now)
	}
	h := t.holdListed(former, e)
	e.Unconfirmed = former != nil && former.Unconfirmed
	e.Unconfirmed = e.Unconfirmed || former.changes(e, h)
	t.put(now, e, h)
}

// holdListed returns why an endpoint that a list has gets no work while the list may come from an older copy: its
// process was leaving or gone before.
func (t *Table) holdListed(former *Entry, e Endpoint) hold {
	if e.Leaving && !e.Held {
		return holdNone
	}
	if h := t.ended.hold(e); h != holdNone {
		return h
	}
	switch {
	case former == nil:
		return holdNone
	case former.process() == e.process() && former.leaving():
		return holdLeaving
	case former.process() == e.process():
		return former.hold
	case e.StartedMillis < former.latestMillis:
		return holdRemoved
	}
	return holdNone
}

// holdWritten returns why an endpoint that has just been written gets no work: its process is known to be leaving,
// and what it had written before is written again.
func (t *Table) holdWritten(former *Entry, e Endpoint) hold {
	if e.Leaving && !e.Held || !t.unsettled() {
		return holdNone
	}
	if h := t.ended.hold(e); h == holdLeaving {
		return h
	}
	if former != nil && former.process() == e.process() && former.leaving() {
		return holdLeaving
	}
	return holdNone
}
