package bbregistry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// versioned returns an endpoint with a version of its software.
func versioned(id, version string) Endpoint {
	e := endpoint(id)
	e.Version = version
	return e
}

func wantVersions(t *testing.T, table *Table, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, table.Versions("s")); diff != "" {
		t.Errorf("versions (-want +got):\n%s", diff)
	}
}

// Guards against VMs that learn of a new version of an endpoint with the next whole table only.
func TestVersionIsAChange(t *testing.T) {
	leader, follower := testTable(), NewTable()
	first := leader.Since(0, 0)
	follower.Apply(0, 0, first, "")
	generation := leader.Generation()
	leader.Put(0, versioned("a", "v1.1"))
	if leader.Generation() == generation {
		t.Error("the same generation after a change of the version, want another one")
	}
	leader.Revision = at(6)
	d := leader.Since(0, first.Sequence)
	if d.Whole || len(d.Put) != 1 {
		t.Errorf("delta %+v, want one entry put", d)
	}
	follower.Apply(0, 0, d, "")
	wantFollowed(t, leader, follower)
	wantVersions(t, follower, "", "v1.1")
}

// Guards against timelines in which the version of a grant is unexplained.
func TestVersionIsNotified(t *testing.T) {
	table := testTable()
	var got []string
	table.OnChange = func(e Endpoint, c Change) { got = append(got, e.ID+" "+string(c)+" "+e.Version) }
	for range 2 {
		table.Put(0, versioned("a", "v1.1"))
	}
	if diff := cmp.Diff([]string{"a listed v1.1"}, got); diff != "" {
		t.Errorf("notified changes (-want +got):\n%s", diff)
	}
}

// Guards against versions of which streams may have begun that are left out: an endpoint that is leaving, or missing
// from the list for a moment, still runs.
func TestVersionsOfEndpointsThatGetNoWork(t *testing.T) {
	gone, ending := versioned("a", "v1"), versioned("b", "v2")
	ending.Leaving = true
	other := versioned("d", "v9")
	other.Service = "t"
	table := newEraTable(gone, ending, versioned("c", "v2"), other)
	table.Remove(0, "a", true)
	wantVersions(t, table, "v1", "v2")
	table.Expire(reregisterGrace)
	wantVersions(t, table, "v2")
}

// Guards against streams that go on at a former process, whose version an older copy of the store still has.
func TestVersionInAnOlderCopy(t *testing.T) {
	former, later := versioned("a", "v1"), versioned("a", "v2")
	later.StartedMillis = 5
	table := newEraTable(later)
	restore(table, 0, former)
	if e := table.Usable("a"); e != nil {
		t.Errorf("%+v is usable, want none while the copy has the former process", e)
	}
	write(table, time.Second, later)
	if e := table.Usable("a"); e == nil || e.Version != "v2" {
		t.Errorf("%+v is usable, want the later process", e)
	}
}
