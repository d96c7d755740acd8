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

// three returns the table of b, which has heard a and c answer at 1 s.
func three() *Table {
	t := NewTable(member("b", 200, 1))
	t.Answered(time.Second, member("a", 100, 1))
	t.Answered(time.Second, member("c", 300, 1))
	return t
}

func wantLeader(t *testing.T, table *Table, now time.Duration, want string) {
	t.Helper()
	if got := table.Leader(now).Name; got != want {
		t.Errorf("leader at %v is %s, want %s", now, got, want)
	}
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

func TestLeader(t *testing.T) {
	t.Run("the oldest", func(t *testing.T) {
		wantLeader(t, three(), time.Second, "a")
	})
	t.Run("not one that doesn't answer", func(t *testing.T) {
		wantLeader(t, three(), 4*time.Second, "b")
	})
	t.Run("not one that is leaving", func(t *testing.T) {
		table := three()
		m := member("a", 100, 2)
		m.Leaving = true
		table.Answered(1100*time.Millisecond, m)
		wantLeader(t, table, 1200*time.Millisecond, "b")
	})
	t.Run("not one that nothing answers for", func(t *testing.T) {
		table := three()
		table.Lost("a")
		wantLeader(t, table, 1100*time.Millisecond, "b")
	})
	t.Run("a restarted one takes nothing over", func(t *testing.T) {
		table := three()
		table.Answered(1100*time.Millisecond, member("a", 900, 1))
		wantLeader(t, table, 1200*time.Millisecond, "b")
	})
	t.Run("itself alone while it isn't ready", func(t *testing.T) {
		self := member("b", 200, 1)
		self.Ready = false
		table := NewTable(self)
		wantLeader(t, table, 0, "b")
		table.Answered(time.Second, member("c", 300, 1))
		wantLeader(t, table, time.Second, "c")
	})
}

func TestSilence(t *testing.T) {
	table := three()
	table.Answered(1200*time.Millisecond, member("a", 100, 2))
	if got := table.Silence(1300 * time.Millisecond); got != 300*time.Millisecond {
		t.Errorf("longest silence %v, want that of c, 300 ms", got)
	}
}

func TestOthersPassOn(t *testing.T) {
	table := three()
	table.Merge(2*time.Second, []Member{member("d", 400, 5), member("b", 999, 9), {Name: "e", Boot: 1, Beat: 1}}, false)
	wantNames(t, table.Present(2*time.Second), "a", "c", "d")
	table.Failed(2*time.Second, "d")
	wantNames(t, table.Reachable(2*time.Second), "a", "c")
	wantNames(t, table.Present(2*time.Second), "a", "c", "d")
}

func TestCoordinatorVouches(t *testing.T) {
	t.Run("for the members that it names", func(t *testing.T) {
		table := three()
		table.Merge(3*time.Second, []Member{member("c", 300, 1)}, true)
		wantNames(t, table.Present(4*time.Second), "c")
	})
	t.Run("others do not", func(t *testing.T) {
		table := three()
		table.Merge(3*time.Second, []Member{member("c", 300, 1)}, false)
		wantNames(t, table.Present(4*time.Second))
	})
	t.Run("for all when it knows the same", func(t *testing.T) {
		table := three()
		table.Vouch(3 * time.Second)
		wantNames(t, table.Present(5*time.Second), "a", "c")
	})
	t.Run("not for those that are silent already", func(t *testing.T) {
		table := three()
		table.Vouch(4 * time.Second)
		wantNames(t, table.Present(4*time.Second))
	})
	t.Run("not for one that this VM found dead", func(t *testing.T) {
		table := three()
		table.Lost("c")
		table.Merge(2*time.Second, []Member{member("c", 300, 1)}, true)
		wantNames(t, table.Present(2*time.Second), "a")
	})
}

func TestLargestVMCoordinates(t *testing.T) {
	table := three()
	large := member("d", 900, 1)
	large.Weight = 2
	table.Answered(time.Second, large)
	wantLeader(t, table, time.Second, "d")
}

func TestReaders(t *testing.T) {
	table := NewTable(Member{Name: "b", Boot: 200, Region: "north", Ready: true})
	for i, region := range []string{"north", "north", "south", "south"} {
		m := member(string(rune('c'+i)), int64(300+i), 1)
		m.Region = region
		table.Answered(time.Second, m)
	}
	want := map[string]bool{"b": true, "e": true}
	if diff := cmp.Diff(want, table.Readers(time.Second)); diff != "" {
		t.Errorf("readers of the store (-want +got):\n%s", diff)
	}
}

func TestFormerProcessStaysRetired(t *testing.T) {
	table := three()
	// The time of day was corrected: the new process has a smaller boot.
	table.Answered(2*time.Second, member("a", 50, 1))
	table.Merge(2*time.Second, []Member{member("a", 100, 99)}, false)
	if got := table.Boot("a"); got != 50 {
		t.Errorf("process of a is %d, want 50, the one that answered last", got)
	}
}

func TestBriefMember(t *testing.T) {
	table := three()
	t.Run("of a known process", func(t *testing.T) {
		if !table.Heard(2*time.Second, member("a", 100, 2).Brief()) {
			t.Fatal("a brief member of a known process isn't known, want it to be")
		}
		if got := table.Known()[0].Peer; got != "peer of a" {
			t.Errorf("peer address is %q, want that which was told before", got)
		}
	})
	t.Run("of an unknown process", func(t *testing.T) {
		if table.Heard(2*time.Second, member("a", 101, 1).Brief()) {
			t.Error("a brief member of a new process is known, want not")
		}
	})
}

func TestMajority(t *testing.T) {
	table := three()
	if !table.HasMajority(time.Second) {
		t.Error("three of three are no majority, want one")
	}
	table.Lost("a")
	if !table.HasMajority(time.Second) {
		t.Error("two of three are no majority, want one")
	}
	if table.HasMajority(4 * time.Second) {
		t.Error("one of three is a majority, want none")
	}
}

func TestDigest(t *testing.T) {
	other := NewTable(member("a", 100, 7))
	other.Answered(0, member("b", 200, 3))
	other.Merge(0, []Member{member("c", 300, 1)}, false)
	if three().Digest(time.Second) != other.Digest(0) {
		t.Error("digests of tables with the same processes differ, want them alike")
	}
	other.Answered(0, member("c", 301, 1))
	if three().Digest(time.Second) == other.Digest(0) {
		t.Error("digests are alike though one knows a newer process, want them to differ")
	}
}

func TestForget(t *testing.T) {
	table := three()
	table.Forget(time.Second + forgetAfter)
	wantNames(t, table.Known(), "a", "c")
	table.Forget(time.Second + forgetAfter + 1)
	wantNames(t, table.Known())
}
