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

// endedProcesses remembers the last processes that were removed, and why those get no work that an older copy of
// the store lists again.
type endedProcesses struct {
	holds *simplelru.LRU[process, hold]
}

func newEndedProcesses() endedProcesses {
	// The only error is a size below 1.
	holds, _ := simplelru.NewLRU[process, hold](maxEnded, nil)
	return endedProcesses{
		holds: holds,
	}
}

// add remembers the process of an entry that is removed.
func (p endedProcesses) add(e *Entry) {
	h := holdRemoved
	if e.leaving() {
		h = holdLeaving
	}
	p.holds.Add(e.process(), h)
}

// leaving reports whether the process is known to be leaving.
func (e *Entry) leaving() bool {
	return e.Leaving && !e.Held || e.hold == holdLeaving
}

// unsettled reports whether lists may still lack what was known before the store came back from an older copy.
func (t *Table) unsettled() bool {
	return t.settleAt > 0
}

// enterEra prepares the table for endpoints of a revision. From a later era on, what was known is held for a
// while.
func (t *Table) enterEra(now time.Duration, at bbrevision.Revision) {
	t.settleEndpoints(now)
	if at.Era > t.Revision.Era && !t.Revision.IsZero() {
		t.settleAt = now + endpointSettleTime
	}
}

// extendSettleTime holds what is known for as long as another VM does.
func (t *Table) extendSettleTime(now, left time.Duration) {
	if left > 0 {
		t.settleAt = max(t.settleAt, now+min(left, endpointSettleTime))
	}
}

// settleEndpoints ends what is held once its time has passed: the platform's list counts again.
func (t *Table) settleEndpoints(now time.Duration) {
	if !t.unsettled() || now < t.settleAt {
		return
	}
	t.settleAt = 0
	for id, e := range t.entries {
		if e.hold != holdNone {
			e.hold = holdNone
			t.ended.holds.Remove(e.process())
			t.changes.add(id)
			t.notify(e.Endpoint, ChangeReleased)
		}
	}
}

// holdListed returns why an endpoint that a list has gets no work while the list may come from an older copy: its
// process was leaving or gone before.
func (t *Table) holdListed(former *Entry, e Endpoint) hold {
	if e.Leaving {
		return holdNone
	}
	if h, ended := t.ended.holds.Get(e.process()); ended {
		return h
	}
	switch {
	case former == nil:
		return holdNone
	case former.process() == e.process() && (former.Leaving || former.hold == holdLeaving):
		return holdLeaving
	case former.process() == e.process():
		return former.hold
	case e.StartedMillis < former.StartedMillis:
		return holdRemoved
	}
	return holdNone
}

// holdWritten returns why an endpoint that has just been written gets no work: its process is known to be leaving,
// and what it had written before is written again.
func (t *Table) holdWritten(former *Entry, e Endpoint) hold {
	if e.Leaving || !t.unsettled() {
		return holdNone
	}
	if h, _ := t.ended.holds.Get(e.process()); h == holdLeaving {
		return h
	}
	if former != nil && former.process() == e.process() && former.leaving() {
		return holdLeaving
	}
	return holdNone
}
