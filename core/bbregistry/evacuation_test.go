package bbregistry

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbrevision"
)

func inEra(era, number uint64) bbrevision.Revision {
	return bbrevision.Revision{
		Era:    era,
		Number: number,
	}
}

// newZoneTable returns a table that knows the evacuated failure domains of era 1.
func newZoneTable(evacuated ...Evacuation) *Table {
	t := NewTable()
	t.ReplaceEvacuated(0, evacuated, inEra(1, 100))
	return t
}

func wantEvacuated(t *testing.T, table *Table, when string, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, table.Snapshot(0).Evacuated); diff != "" {
		t.Errorf("%s: evacuated failure domains (-want +got):\n%s", when, diff)
	}
}

// readZonesAgain lets a table read the store, which has nothing new.
func readZonesAgain(t *Table, now time.Duration) {
	t.ApplyZoneUpdates(now, nil, t.OperatorRevision)
}

var east = Evacuation{Zone: "east", Number: 7}

// Guards against evacuations that other VMs lose, or keep for ever, because one of them holds what an older copy of
// the store lacks.
func TestHeldEvacuationsBetweenVMs(t *testing.T) {
	t.Run("a follower takes over what its source holds, and its end", func(t *testing.T) {
		source, follower := newZoneTable(east), NewTable()
		first := source.Since(0, 0)
		follower.Apply(0, 0, first, "source")
		source.ReplaceEvacuated(0, nil, inEra(2, 3))
		follower.Apply(0, 0, source.Since(0, first.Sequence), "source")
		wantEvacuated(t, follower, "while the source holds it", "east")
		readZonesAgain(source, operatorSettleTime)
		follower.Apply(operatorSettleTime, operatorSettleTime, source.Since(operatorSettleTime, first.Sequence), "source")
		wantEvacuated(t, follower, "after the bound")
	})
	t.Run("an end that the operators write reaches a follower at once", func(t *testing.T) {
		source, follower := newZoneTable(east), NewTable()
		source.Put(0, endpoint("a"))
		first := source.Since(0, 0)
		follower.Apply(0, 0, first, "source")
		source.ReplaceEvacuated(0, []Evacuation{east}, inEra(2, 8))
		follower.Apply(0, 0, source.Since(0, first.Sequence), "source")
		evacuate(source, 9, "east", true)
		follower.Apply(0, 0, source.Since(0, first.Sequence), "source")
		wantEvacuated(t, follower, "once it has ended")
	})
	t.Run("a source that never knew it doesn't end it at once", func(t *testing.T) {
		source, follower := NewTable(), newZoneTable(east)
		source.ReplaceEvacuated(0, nil, inEra(2, 3))
		follower.Apply(0, 0, source.Since(0, 0), "source")
		wantEvacuated(t, follower, "within the bound", "east")
		readZonesAgain(follower, operatorSettleTime)
		wantEvacuated(t, follower, "after the bound")
	})
	t.Run("a VM that starts meanwhile holds it for the rest of the time", func(t *testing.T) {
		source, started := newZoneTable(east), NewTable()
		source.ReplaceEvacuated(0, nil, inEra(2, 3))
		started.Apply(4*time.Second, 4*time.Second, source.Since(4*time.Second, 0), "source")
		started.ReplaceEvacuated(5*time.Second, nil, inEra(2, 4))
		wantEvacuated(t, started, "while the source holds it", "east")
		readZonesAgain(started, operatorSettleTime)
		wantEvacuated(t, started, "after the bound")
	})
}

func TestEvacuationsOfOneEraFollowTheList(t *testing.T) {
	table := newZoneTable(east)
	table.ReplaceEvacuated(0, []Evacuation{{Zone: "west", Number: 101}}, inEra(1, 101))
	wantEvacuated(t, table, "a later list of the same era", "west")
	if table.ReplaceEvacuated(0, nil, inEra(0, 500)) {
		t.Error("a list of an earlier era was applied")
	}
}

func TestEndedEvacuationsAreForgotten(t *testing.T) {
	table := newZoneTable()
	for i := range uint64(2 * maxZones) {
		evacuate(table, 101+2*i, fmt.Sprint("zone", i), false)
		evacuate(table, 102+2*i, fmt.Sprint("zone", i), true)
	}
	if n := len(table.zones.states); n > maxZones {
		t.Errorf("%d failure domains are remembered, want at most %d", n, maxZones)
	}
}

// Guards against a new evacuation that is ignored for too long, because the store has given it the revision of a
// former one that has ended.
func TestEvacuationWithTheRevisionOfAnEndedOne(t *testing.T) {
	const evacuateTime = 5 * time.Second
	table := newZoneTable(east)
	evacuate(table, 101, "east", true)
	wantEvacuated(t, table, "once it has ended")
	table.ReplaceEvacuated(0, []Evacuation{east}, inEra(2, 9))
	readZonesAgain(table, evacuateTime/2)
	wantEvacuated(t, table, "half of the time in which an evacuation has to be in force", "east")
}
