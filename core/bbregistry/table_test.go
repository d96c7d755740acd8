package bbregistry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbrevision"
)

// at returns a revision of a store that names no eras.
func at(number uint64) bbrevision.Revision {
	return bbrevision.Revision{
		Number: number,
	}
}

func endpoint(id string) Endpoint {
	return Endpoint{
		ID:      id,
		Service: "s",
		Address: "address of " + id,
		Zone:    "east",
	}
}

func wantUsable(t *testing.T, table *Table, want ...string) {
	t.Helper()
	var got []string
	for _, e := range table.Of(0, "s") {
		got = append(got, e.ID)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("usable endpoints (-want +got):\n%s", diff)
	}
}

// evacuate applies the evacuation of a failure domain, or its end, with the number of its revision.
func evacuate(table *Table, number uint64, zone string, ended bool) {
	at := bbrevision.Revision{
		Era:    table.OperatorRevision.Era,
		Number: number,
	}
	table.ApplyZoneUpdates(0, []ZoneUpdate{{Zone: zone, Number: number, Ended: ended}}, at)
}

func testTable() *Table {
	table := NewTable()
	table.ReplaceEndpoints(0, Snapshot{Revision: at(5), Endpoints: []Endpoint{endpoint("a"), endpoint("b")}}, false)
	return table
}

func TestUsable(t *testing.T) {
	t.Run("all that are listed", func(t *testing.T) {
		wantUsable(t, testTable(), "a", "b")
	})
	t.Run("not those that are leaving", func(t *testing.T) {
		table := testTable()
		e := endpoint("a")
		e.Leaving = true
		table.Put(0, e)
		wantUsable(t, table, "b")
	})
	t.Run("not in an evacuated failure domain", func(t *testing.T) {
		table := testTable()
		evacuate(table, 6, "east", false)
		wantUsable(t, table)
		evacuate(table, 7, "east", true)
		wantUsable(t, table, "a", "b")
	})
	t.Run("not those that were removed", func(t *testing.T) {
		table := testTable()
		table.Remove(0, "a", false)
		wantUsable(t, table, "b")
	})
}

func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	table := testTable()
	table.ReplaceEndpoints(time.Second, Snapshot{Revision: at(9), Endpoints: []Endpoint{endpoint("b")}}, true)
	table.Expire(time.Second + reregisterGrace - 1)
	wantUsable(t, table, "a", "b")

	t.Run("are removed after the grace period", func(t *testing.T) {
		table.Expire(time.Second + reregisterGrace)
		wantUsable(t, table, "b")
	})
	t.Run("stay when they are registered again", func(t *testing.T) {
		table := testTable()
		table.Remove(0, "a", true)
		table.Put(time.Second, endpoint("a"))
		table.Expire(time.Minute)
		wantUsable(t, table, "a", "b")
	})
	t.Run("are removed at once if they were leaving", func(t *testing.T) {
		table := testTable()
		e := endpoint("a")
		e.Leaving = true
		table.Put(0, e)
		table.Remove(0, "a", true)
		if table.Len() != 1 {
			t.Errorf("%d entries, want 1", table.Len())
		}
	})
}

func TestColdTimeCountsDown(t *testing.T) {
	table := NewTable()
	e := endpoint("a")
	e.Cold = 3 * time.Second
	table.Put(time.Second, e)
	for now, want := range map[time.Duration]time.Duration{
		time.Second:     3 * time.Second,
		2 * time.Second: 2 * time.Second,
		9 * time.Second: 0,
	} {
		if got := table.Of(now, "s")[0].Cold; got != want {
			t.Errorf("cold time left at %v is %v, want %v", now, got, want)
		}
	}
}

// Each change of an endpoint is notified once; the initial list causes no notifications.
func TestChangesAreNotified(t *testing.T) {
	table := NewTable()
	var notified []string
	table.OnChange = func(e Endpoint, c Change) { notified = append(notified, e.ID+" "+string(c)) }
	table.ReplaceEndpoints(0, Snapshot{Revision: at(5), Endpoints: []Endpoint{endpoint("a"), endpoint("b")}}, false)
	cold, leaving := endpoint("a"), endpoint("b")
	cold.Cold = 3 * time.Second
	leaving.Leaving = true
	for _, e := range []Endpoint{endpoint("a"), cold, cold, endpoint("a"), leaving, leaving, endpoint("c")} {
		table.Put(0, e)
	}
	table.Remove(0, "b", false)
	table.Remove(0, "c", true)
	table.Remove(0, "c", true)
	table.Expire(time.Minute)
	want := []string{"a cold", "a warm", "b leaving", "c listed", "b gone", "c lapsed", "c gone"}
	if diff := cmp.Diff(want, notified); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func TestCounts(t *testing.T) {
	table := testTable()
	cold, leaving, other := endpoint("cold"), endpoint("leaving"), endpoint("other")
	cold.Cold = time.Second
	leaving.Leaving = true
	other.Service = "o"
	for _, e := range []Endpoint{cold, leaving, other} {
		table.Put(0, e)
	}
	want := map[string]Count{"s": {Listed: 4, Usable: 3, Cold: 1}, "o": {Listed: 1, Usable: 1}}
	if diff := cmp.Diff(want, table.Counts(0)); diff != "" {
		t.Errorf("counts (-want +got):\n%s", diff)
	}
	want["s"] = Count{Listed: 4, Usable: 3}
	if diff := cmp.Diff(want, table.Counts(2*time.Second)); diff != "" {
		t.Errorf("counts once it is warm (-want +got):\n%s", diff)
	}
}

func TestSnapshotGoesToAnotherVM(t *testing.T) {
	table := testTable()
	evacuate(table, 3, "west", false)
	other := NewTable()
	other.Apply(0, 0, table.Since(0, 0), "")
	if diff := cmp.Diff(table.Snapshot(0), other.Snapshot(0)); diff != "" {
		t.Errorf("snapshot of the other VM (-want +got):\n%s", diff)
	}
}

func TestGenerationChangesWithUsableEndpoints(t *testing.T) {
	table := testTable()
	last := table.Generation()
	changed := func(what string, want bool) {
		t.Helper()
		if got := table.Generation() != last; got != want {
			t.Errorf("generation changed after %s: %v, want %v", what, got, want)
		}
		last = table.Generation()
	}
	table.Put(0, endpoint("a"))
	changed("a heartbeat", false)
	leaving := endpoint("a")
	leaving.Leaving = true
	table.Put(0, leaving)
	changed("an endpoint that leaves", true)
	evacuate(table, 6, "east", false)
	changed("the evacuation of a failure domain", true)
	table.Remove(0, "b", true)
	changed("an entry that lapsed", false)
	table.Expire(reregisterGrace)
	changed("an entry that was not registered again", true)
}
