package bbregistry

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// wantFollowed checks that a follower has the same content as its leader.
func wantFollowed(t *testing.T, leader, follower *Table) {
	t.Helper()
	if diff := cmp.Diff(leader.Snapshot(0), follower.Snapshot(0)); diff != "" {
		t.Errorf("table of the follower (-want +got):\n%s", diff)
	}
}

func TestFollowerKeepsUp(t *testing.T) {
	leader, follower := testTable(), NewTable()
	first := leader.Since(0, 0)
	follower.Apply(0, 0, first, "")
	wantFollowed(t, leader, follower)

	leader.Put(0, endpoint("c"))
	leader.Remove(0, "a", false)
	evacuate(leader, 8, "west", false)
	leader.Revision = at(9)
	d := leader.Since(0, first.Sequence)
	if d.Whole || len(d.Put) != 1 || len(d.Removed) != 1 {
		t.Errorf("delta %+v, want one entry put and one removed", d)
	}
	follower.Apply(0, 0, d, "")
	wantFollowed(t, leader, follower)

	t.Run("a heartbeat is no change", func(t *testing.T) {
		leader.Put(0, endpoint("c"))
		if d := leader.Since(0, d.Sequence); len(d.Put)+len(d.Removed) > 0 {
			t.Errorf("delta %+v after a heartbeat, want none", d)
		}
	})
	t.Run("an entry that is not registered again is removed", func(t *testing.T) {
		leader.Remove(0, "b", true)
		leader.Expire(reregisterGrace)
		follower.Apply(0, 0, leader.Since(0, d.Sequence), "")
		wantFollowed(t, leader, follower)
	})
}

func TestFollowerThatIsFarBehind(t *testing.T) {
	leader, follower := testTable(), NewTable()
	sequence := leader.Since(0, 0).Sequence
	for i := range 2 * maxChanges {
		leader.Put(0, endpoint(fmt.Sprint(i%3)))
		leader.Remove(0, fmt.Sprint(i%3), false)
	}
	d := leader.Since(0, sequence)
	if !d.Whole {
		t.Error("a part of the changes, want the whole table")
	}
	follower.Apply(0, 0, d, "")
	wantFollowed(t, leader, follower)
}

func TestNewerEvacuationsStay(t *testing.T) {
	// The other VM has newer endpoints, but not yet the evacuation of the failure domain.
	other, table := testTable(), testTable()
	other.Revision = at(20)
	other.OperatorRevision = at(10)
	evacuate(table, 15, "east", false)
	table.Apply(0, 0, other.Since(0, 0), "")
	if !table.Evacuated("east") {
		t.Error("the failure domain is not evacuated, want the newer evacuation to stay")
	}
	wantUsable(t, table)
}
