package bbmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbgroup"
	"bluebellhall/core/bbmsg"
)

// testPast is the HistoryRetention of the tests.
const testPast = time.Minute

// seven returns a list of the entry VMs with the given numbers: 2, 3, 4 stand for a2, a3, a4.
func seven(revision int64, numbers ...int) bbmsg.MemberList {
	var names []string
	for _, n := range numbers {
		names = append(names, fmt.Sprintf("a%d", n))
	}
	return list(revision, names...)
}

// wantSafe checks whether a node knows that it alone has owned a key during testPast.
func wantSafe(t *testing.T, f *fleet, name, key string, want bool) {
	t.Helper()
	if got := f.tables[name].OwnedSince(f.now-testPast, key, ""); got != want {
		t.Errorf("OwnedSince of %s at %v = %v, want %v", name, f.now, got, want)
	}
}

// keyThat returns a key that has the given owners, one under each of the lists.
func keyThat(t *testing.T, lists []bbmsg.MemberList, owners ...string) string {
	t.Helper()
	for i := range 10000 {
		key := fmt.Sprintf("key:%d", i)
		var got []string
		for _, l := range lists {
			owner, _ := bbgroup.New(l).Owner(key, "")
			got = append(got, owner)
		}
		if cmp.Equal(owners, got) {
			return key
		}
	}
	t.Fatalf("no key has the owners %v", owners)
	return ""
}

// pastFleet returns a fleet that has held a list for longer than testPast.
func pastFleet(first bbmsg.MemberList, names ...string) *fleet {
	f := newFleet(first, names...)
	f.run(testPast+time.Second, nil)
	return f
}

func TestOwnedSince(t *testing.T) {
	lists := []bbmsg.MemberList{seven(1, 1, 2, 3), seven(2, 1, 2, 3, 4), seven(3, 1, 2, 3)}
	kept := keyThat(t, lists, "a1", "a1", "a1")
	lent := keyThat(t, lists, "a1", "a4", "a1")
	t.Run("false for the time before the process started", func(t *testing.T) {
		f := newFleet(lists[0], "a1", "a2", "a3")
		f.run(testPast, nil)
		wantSafe(t, f, "a1", kept, false)
		f.run(time.Second, nil)
		wantSafe(t, f, "a1", kept, true)
		wantSafe(t, f, "a2", kept, false)
	})
	t.Run("false only for keys that had another owner", func(t *testing.T) {
		f := pastFleet(lists[0], "a1", "a2", "a3")
		for _, l := range lists[1:] {
			f.adopt(l, "a1", "a2", "a3")
			f.run(time.Second, nil)
		}
		wantSafe(t, f, "a1", kept, true)
		wantSafe(t, f, "a1", lent, false)
		f.run(testPast, nil)
		wantSafe(t, f, "a1", lent, true)
	})
	t.Run("former list counts until a majority has adopted a later one", func(t *testing.T) {
		f := pastFleet(lists[0], "a1", "a2", "a3")
		f.adopt(lists[1], "a1", "a2", "a3")
		f.run(time.Second, nil)
		f.split([]string{"a1"})
		f.adopt(lists[2], "a1")
		f.run(2*testPast, func() { wantSafe(t, f, "a1", lent, false) })
		f.adopt(lists[2], "a2", "a3")
		clear(f.cut)
		f.run(testPast-time.Second, func() { wantSafe(t, f, "a1", lent, false) })
	})
	t.Run("false after a skipped list", func(t *testing.T) {
		f := pastFleet(lists[0], "a1", "a2", "a3")
		f.adopt(lists[2], "a1", "a2", "a3")
		f.run(testPast/2, func() { wantSafe(t, f, "a1", kept, false) })
	})
	t.Run("history is bounded", func(t *testing.T) {
		f := pastFleet(lists[0], "a1", "a2", "a3")
		for i := range int64(maxHistory + 1) {
			l := lists[(i+1)%2]
			l.Revision = i + 2
			f.adopt(l, "a1", "a2", "a3")
			f.run(100*time.Millisecond, nil)
		}
		wantSafe(t, f, "a1", kept, false)
		if got := len(f.tables["a1"].history.lists); got != maxHistory {
			t.Errorf("%d lists in the history, want %d", got, maxHistory)
		}
	})
}

// TestShareHeldBack logs the share of keys for which OwnedSince is false after one VM of seven
// was replaced, and checks that these are exactly the keys whose owner changed.
func TestShareHeldBack(t *testing.T) {
	lists := []bbmsg.MemberList{
		seven(1, 1, 2, 3, 4, 5, 6, 7),
		seven(2, 1, 2, 3, 4, 5, 6),
		seven(3, 1, 2, 3, 4, 5, 6, 8),
	}
	f := pastFleet(lists[0], "a1", "a2", "a3", "a4", "a5", "a6", "a7")
	f.stopped["a7"] = true
	f.adopt(lists[1], "a1", "a2", "a3", "a4", "a5", "a6")
	f.run(2*time.Second, nil)
	f.start("a8", lists[2])
	f.adopt(lists[2], "a1", "a2", "a3", "a4", "a5", "a6")
	f.run(2*time.Second, nil)
	held := 0
	const keys = 10000
	for i := range keys {
		key := fmt.Sprintf("key:%d", i)
		before, _ := bbgroup.New(lists[0]).Owner(key, "")
		after, _ := bbgroup.New(lists[2]).Owner(key, "")
		safe := f.tables[after].OwnedSince(f.now-testPast, key, "")
		if safe != (before == after) {
			t.Fatalf("%s of %s, then %s: safe is %v", key, before, after, safe)
		}
		if !safe {
			held++
		}
	}
	t.Logf("%d of %d keys held back", held, keys)
}
