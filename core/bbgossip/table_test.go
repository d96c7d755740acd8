package bbgossip

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func member(name string, boot int64, beat uint64) Member {
	return Member{
		Name:  name,
		Boot:  boot,
		Beat:  beat,
		Peer:  "peer of " + name,
		Ready: true,
	}
}

// three returns the table of b after a and c have answered it at 1 s.
func three() *Table {
	t := NewTable(member("b", 200, 1))
	t.RecordAnswer(time.Second, member("a", 100, 1))
	t.RecordAnswer(time.Second, member("c", 300, 1))
	return t
}

func wantNames(t *testing.T, members []Member, want ...string) {
	t.Helper()
	var got []string
	for _, m := range members {
		got = append(got, m.Name)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("members (-want +got):\n%s", diff)
	}
}

func TestReachable(t *testing.T) {
	t.Run("without members that stopped answering", func(t *testing.T) {
		wantNames(t, three().Reachable(4*time.Second))
	})
	t.Run("without a member whose address refuses connections", func(t *testing.T) {
		table := three()
		table.RecordRefusal("a")
		wantNames(t, table.Reachable(1100*time.Millisecond), "c")
	})
	t.Run("without a member that failed a call, until it answers", func(t *testing.T) {
		table := three()
		table.RecordFailure(1100*time.Millisecond, "a")
		wantNames(t, table.Reachable(1200*time.Millisecond), "c")
		table.RecordAnswer(1300*time.Millisecond, member("a", 100, 2))
		wantNames(t, table.Reachable(1400*time.Millisecond), "a", "c")
	})
}

func TestHasPriority(t *testing.T) {
	large := member("d", 900, 1)
	large.Weight = 2
	sorted := []Member{large, member("b", 100, 1), member("a", 200, 1), member("c", 200, 1)}
	for i := range len(sorted) - 1 {
		if !HasPriority(sorted[i], sorted[i+1]) || HasPriority(sorted[i+1], sorted[i]) {
			t.Errorf("%s has no priority over %s, want the larger, then the older, then by name", sorted[i].Name, sorted[i+1].Name)
		}
	}
}

func TestLongestSilence(t *testing.T) {
	table := three()
	table.RecordAnswer(1200*time.Millisecond, member("a", 100, 2))
	if got := table.LongestSilence(1300 * time.Millisecond); got != 300*time.Millisecond {
		t.Errorf("longest silence %v, want that of c, 300 ms", got)
	}
}

func TestMerge(t *testing.T) {
	table := three()
	table.Merge(2*time.Second, []Member{member("d", 400, 5), member("b", 999, 9), {Name: "e", Boot: 1, Beat: 1}})
	wantNames(t, table.Present(2*time.Second), "a", "c", "d")
	table.RecordFailure(2*time.Second, "d")
	wantNames(t, table.Reachable(2*time.Second), "a", "c")
	wantNames(t, table.Present(2*time.Second), "a", "c", "d")
}

// all selects every member.
func all(Member) bool {
	return true
}

// statesOf returns the states of members as other VMs send them.
func statesOf(members ...Member) []uint64 {
	var states []uint64
	for _, m := range members {
		states = append(states, m.hash())
	}
	return states
}

func TestSeenByHub(t *testing.T) {
	t.Run("members in the report", func(t *testing.T) {
		table := three()
		table.MarkSeenByHub(3*time.Second, statesOf(member("c", 300, 1)), all)
		wantNames(t, table.Present(3*time.Second+HubSeenTTL), "c")
		wantNames(t, table.Present(3*time.Second+HubSeenTTL+1))
	})
	t.Run("only members that the hub hears itself", func(t *testing.T) {
		table := three()
		table.MarkSeenByHub(3*time.Second, statesOf(member("a", 100, 1), member("c", 300, 1)), func(m Member) bool { return m.Name == "a" })
		wantNames(t, table.Present(5*time.Second), "a")
	})
	t.Run("not a member that a later report omits", func(t *testing.T) {
		table := three()
		table.MarkSeenByHub(3*time.Second, statesOf(member("a", 100, 1), member("c", 300, 1)), all)
		table.MarkSeenByHub(4*time.Second, statesOf(member("a", 100, 1)), all)
		wantNames(t, table.Present(4*time.Second), "a")
	})
	t.Run("a report doesn't remove members that this VM hears itself", func(t *testing.T) {
		table := three()
		table.MarkSeenByHub(1100*time.Millisecond, nil, all)
		wantNames(t, table.Present(1200*time.Millisecond), "a", "c")
	})
	t.Run("all members when the hub knows the same ones", func(t *testing.T) {
		table := three()
		table.MarkAllSeenByHub(3*time.Second, all)
		wantNames(t, table.Present(5*time.Second), "a", "c")
	})
	t.Run("not members that were silent already", func(t *testing.T) {
		table := three()
		table.MarkAllSeenByHub(4*time.Second, all)
		wantNames(t, table.Present(4*time.Second))
	})
	t.Run("not a member whose address refused a connection", func(t *testing.T) {
		table := three()
		table.RecordRefusal("c")
		table.Merge(2*time.Second, []Member{member("c", 300, 1)})
		table.MarkSeenByHub(2*time.Second, statesOf(member("a", 100, 1), member("c", 300, 1)), all)
		wantNames(t, table.Present(2*time.Second), "a")
	})
	t.Run("not for another process of the same VM", func(t *testing.T) {
		table := three()
		table.MarkSeenByHub(3*time.Second, statesOf(member("c", 301, 1)), all)
		wantNames(t, table.Present(4*time.Second))
	})
}

func TestUnknownStates(t *testing.T) {
	table := three()
	table.Merge(2*time.Second, []Member{member("d", 400, 1)})
	leaving := member("c", 300, 2)
	leaving.Leaving = true
	unknown := statesOf(leaving, member("e", 500, 1))
	got := table.Unknown(append(statesOf(member("a", 100, 9), member("b", 200, 1), member("d", 400, 1)), unknown...))
	if diff := cmp.Diff(unknown, got); diff != "" {
		t.Errorf("unknown states (-want +got):\n%s", diff)
	}
	wantNames(t, table.ByState(statesOf(member("b", 200, 1), member("c", 300, 1), member("e", 500, 1))), "b", "c")
	if diff := cmp.Diff([]uint64(nil), table.Unknown(table.States(2*time.Second))); diff != "" {
		t.Errorf("own states that are unknown (-want +got):\n%s", diff)
	}
}

func TestVersion(t *testing.T) {
	table := three()
	before := table.Version()
	table.RecordAnswer(2*time.Second, member("a", 100, 2))
	table.Update(func(m *Member) { m.CatalogVersion = 7 })
	if got := table.Version(); got != before {
		t.Errorf("a beat changed the version from %d to %d, want no change", before, got)
	}
	for _, change := range []func(){
		func() { table.MarkLeaving("a") },
		func() { table.Update(func(m *Member) { m.Leaving = true }) },
		func() { table.RecordAnswer(3*time.Second, member("c", 301, 1)) },
	} {
		before = table.Version()
		change()
		if table.Version() == before {
			t.Errorf("version is still %d, want it to change with the state of a VM", before)
		}
	}
}

func TestFormerProcessStaysRetired(t *testing.T) {
	table := three()
	// The system clock was set back, so the new process has a smaller boot.
	table.RecordAnswer(2*time.Second, member("a", 50, 1))
	table.Merge(2*time.Second, []Member{member("a", 100, 99)})
	if got := table.Boot("a"); got != 50 {
		t.Errorf("process of a is %d, want 50, the one that answered last", got)
	}
}

func TestBriefMember(t *testing.T) {
	table := three()
	t.Run("of a known process", func(t *testing.T) {
		if !table.RecordContact(2*time.Second, member("a", 100, 2).Brief()) {
			t.Fatal("RecordContact = false for a brief member of a known process, want true")
		}
		if got := table.Known()[0].Peer; got != "peer of a" {
			t.Errorf("peer address is %q, want the one received before", got)
		}
	})
	t.Run("of an unknown process", func(t *testing.T) {
		if table.RecordContact(2*time.Second, member("a", 101, 1).Brief()) {
			t.Error("RecordContact = true for a brief member of a new process, want false")
		}
	})
}

func TestMajority(t *testing.T) {
	table := three()
	if !table.HasMajority(time.Second) {
		t.Error("three of three are no majority, want one")
	}
	table.RecordRefusal("a")
	if !table.HasMajority(time.Second) {
		t.Error("two of three are no majority, want one")
	}
	if table.HasMajority(4 * time.Second) {
		t.Error("one of three is a majority, want none")
	}
}

func TestDigest(t *testing.T) {
	other := NewTable(member("a", 100, 7))
	other.RecordAnswer(0, member("b", 200, 3))
	other.Merge(0, []Member{member("c", 300, 1)})
	if three().Digest(time.Second) != other.Digest(0) {
		t.Error("digests of tables with the same processes differ, want them alike")
	}
	other.RecordAnswer(0, member("c", 301, 1))
	if three().Digest(time.Second) == other.Digest(0) {
		t.Error("digests are alike though one knows a newer process, want them to differ")
	}
}

func TestEvictSilent(t *testing.T) {
	table := three()
	table.EvictSilent(time.Second + forgetAfter)
	wantNames(t, table.Known(), "a", "c")
	table.EvictSilent(time.Second + forgetAfter + 1)
	wantNames(t, table.Known())
}

func TestReportedMembers(t *testing.T) {
	// At 5 s this VM has not heard a and c for longer than presenceTTL.
	const silent = 5 * time.Second
	named := func() *Table {
		table := three()
		table.MarkReported(silent, statesOf(member("a", 100, 1)), statesOf(member("c", 300, 1)))
		return table
	}
	t.Run("are reachable for a while", func(t *testing.T) {
		wantNames(t, named().Reachable(silent+reportTTL), "a", "c")
		wantNames(t, named().Reachable(silent+hintTTL), "c")
		wantNames(t, named().Reachable(silent+hintTTL+1))
	})
	t.Run("are not present", func(t *testing.T) {
		wantNames(t, named().Present(silent))
	})
	t.Run("are not in the states, and hints received are not passed on", func(t *testing.T) {
		table := named()
		if diff := cmp.Diff(statesOf(member("b", 200, 1)), table.States(silent)); diff != "" {
			t.Errorf("states (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(statesOf(member("a", 100, 1)), table.Hints(silent)); diff != "" {
			t.Errorf("hints (-want +got):\n%s", diff)
		}
	})
	t.Run("that fail a call are unreachable", func(t *testing.T) {
		table := named()
		table.RecordFailure(silent, "a")
		wantNames(t, table.Reachable(silent), "c")
		var unreached []string
		table.EachUnreachable(silent, func(m *Member) { unreached = append(unreached, m.Name) })
		if diff := cmp.Diff([]string{"a"}, unreached); diff != "" {
			t.Errorf("unreachable members that run (-want +got):\n%s", diff)
		}
	})
}
