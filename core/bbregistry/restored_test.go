package bbregistry

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// leaving returns an endpoint that is leaving.
func leaving(id string) Endpoint {
	e := endpoint(id)
	e.Leaving = true
	return e
}

// newEraTable returns a table that has read endpoints in era 1.
func newEraTable(endpoints ...Endpoint) *Table {
	t := NewTable()
	t.ReplaceEndpoints(0, Snapshot{Revision: inEra(1, 100), Endpoints: endpoints}, false)
	return t
}

// restore applies the list of a store that has come back from an older copy.
func restore(t *Table, now time.Duration, endpoints ...Endpoint) {
	t.ReplaceEndpoints(now, Snapshot{Revision: inEra(t.Revision.Era+1, 50), Endpoints: endpoints}, false)
}

// write applies a change that an endpoint has written.
func write(t *Table, now time.Duration, e Endpoint) {
	at := t.Revision
	at.Number++
	t.ApplyUpdates(now, []Update{{Endpoint: e, Number: at.Number}}, at, false)
}

// readAgain lets a table read the store, which has nothing new.
func readAgain(t *Table, now time.Duration) {
	t.ApplyUpdates(now, nil, t.Revision, false)
}

func wantUsableAt(t *testing.T, table *Table, now time.Duration, when string, want ...string) {
	t.Helper()
	table.Expire(now)
	var got []string
	for _, e := range table.Of(now, "s") {
		got = append(got, e.ID)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s: usable endpoints (-want +got):\n%s", when, diff)
	}
}

// Guards against work for a process that was leaving or gone, in the cases that don't need a store.
func TestProcessesThatAnOlderCopyListsAgain(t *testing.T) {
	t.Run("a leaving one that writes its former entry again first", func(t *testing.T) {
		table := newEraTable(leaving("a"))
		restore(table, 0, endpoint("a"))
		write(table, 0, endpoint("a"))
		wantUsableAt(t, table, 0, "while what it wrote before is written again")
		write(table, 0, leaving("a"))
		readAgain(table, endpointSettleTime)
		wantUsableAt(t, table, endpointSettleTime, "once it is leaving again")
	})
	t.Run("a leaving one that had been removed", func(t *testing.T) {
		table := newEraTable(leaving("a"))
		table.Remove(0, "a", false)
		restore(table, 0, endpoint("a"))
		write(table, 0, endpoint("a"))
		wantUsableAt(t, table, 0, "while what it wrote before is written again")
	})
	t.Run("an earlier process under the same ID", func(t *testing.T) {
		later := endpoint("a")
		later.StartedMillis = 5
		table := newEraTable(later)
		restore(table, 0, endpoint("a"))
		wantUsableAt(t, table, 0, "while the copy has the earlier process")
		write(table, 0, later)
		wantUsableAt(t, table, 0, "once the later one has written its entry", "a")
	})
	t.Run("a second return within the time", func(t *testing.T) {
		table := newEraTable(leaving("a"))
		restore(table, 0, endpoint("a"))
		restore(table, endpointSettleTime-1, endpoint("a"))
		readAgain(table, 2*endpointSettleTime-2)
		wantUsableAt(t, table, 2*endpointSettleTime-2, "within the second time")
		readAgain(table, 2*endpointSettleTime-1)
		wantUsableAt(t, table, 2*endpointSettleTime-1, "after it", "a")
	})
	t.Run("a process that was listed again before the return is not held", func(t *testing.T) {
		table := newEraTable(endpoint("a"))
		table.Remove(0, "a", false)
		table.ReplaceEndpoints(0, Snapshot{Revision: inEra(1, 101), Endpoints: []Endpoint{endpoint("a")}}, false)
		restore(table, 0, endpoint("a"))
		wantUsableAt(t, table, 0, "after the return", "a")
	})
}

// Guards against endpoints that other VMs use, or never use again, because one of them holds what an older copy of
// the store has as ready.
func TestHeldEndpointsBetweenVMs(t *testing.T) {
	source := newEraTable(endpoint("a"), endpoint("b"))
	follower := NewTable()
	cursor := uint64(0)
	follow := func(now time.Duration) {
		d := source.Since(now, cursor)
		follower.Apply(now, now, d, "source")
		cursor = d.Sequence
	}
	follow(0)
	source.Remove(0, "a", false)
	source.Remove(0, "b", false)
	follow(0)
	restore(source, 0, endpoint("a"), endpoint("b"))
	follow(0)
	wantUsableAt(t, follower, 0, "while the source holds both")
	started := NewTable()
	started.Apply(time.Second, time.Second, source.Since(time.Second, 0), "source")
	started.ReplaceEndpoints(time.Second, Snapshot{Revision: source.Revision, Endpoints: []Endpoint{endpoint("a"), endpoint("b")}}, false)
	wantUsableAt(t, started, time.Second, "a VM that has started meanwhile")
	write(source, time.Second, endpoint("a"))
	follow(time.Second)
	wantUsableAt(t, follower, time.Second, "once one has registered again", "a")
	readAgain(source, endpointSettleTime)
	wantUsableAt(t, source, endpointSettleTime, "the source after its time", "a", "b")
	follow(endpointSettleTime)
	wantUsableAt(t, follower, endpointSettleTime, "the follower after that", "a", "b")
	wantUsableAt(t, started, 2*endpointSettleTime, "the VM that has started, without news")
	readAgain(started, 2*endpointSettleTime)
	wantUsableAt(t, started, 2*endpointSettleTime, "the VM that has started, after that", "a", "b")
}

func TestEndedProcessesAreBounded(t *testing.T) {
	table := newEraTable()
	for i := range 2 * maxEnded {
		table.Put(0, endpoint(fmt.Sprint(i)))
		table.Remove(0, fmt.Sprint(i), false)
	}
	if n := table.ended.byID.Len(); n != maxEnded {
		t.Errorf("%d processes are remembered, want %d", n, maxEnded)
	}
}
