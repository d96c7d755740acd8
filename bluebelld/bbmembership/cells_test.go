package bbmembership

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

// testRegions are the regions of the failure domains of the tests below.
var testRegions = map[string]string{
	"n1": "north",
	"n2": "north",
	"s1": "south",
}

// testMember returns a VM of the failure domain n1.
func testMember(name string, boot int64, beat uint64) bbgossip.Member {
	return bbgossip.Member{
		Name:   name,
		Boot:   boot,
		Beat:   beat,
		Peer:   "peer of " + name,
		Zone:   "n1",
		Region: "north",
		Ready:  true,
	}
}

// testFleet is a fleet with a manual clock that makes no calls.
type testFleet struct {
	*Fleet
	now time.Duration
}

func newTestFleet(t *testing.T, self bbgossip.Member) *testFleet {
	t.Helper()
	conns, cleanup := bbpeer.NewConns()
	t.Cleanup(cleanup)
	f := new(testFleet)
	f.Fleet = NewFleet(self, nil, testRegions, func() time.Duration { return f.now }, conns)
	return f
}

// recordAnswer records that a member answered.
func (f *testFleet) recordAnswer(now time.Duration, m bbgossip.Member) {
	f.now = now
	f.table.RecordAnswer(now, m)
	f.refresh()
}

// fleetOfThree returns the fleet of b, to which a and c have answered at 1 s.
func fleetOfThree(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(t, testMember("b", 200, 1))
	f.recordAnswer(time.Second, testMember("a", 100, 1))
	f.recordAnswer(time.Second, testMember("c", 300, 1))
	return f
}

func wantLeader(t *testing.T, f *testFleet, now time.Duration, want string) {
	t.Helper()
	f.now = now
	if got, _ := f.Leader(); got.Name != want {
		t.Errorf("coordinator at %v is %s, want %s", now, got.Name, want)
	}
}

func TestLeader(t *testing.T) {
	t.Run("the oldest", func(t *testing.T) {
		wantLeader(t, fleetOfThree(t), time.Second, "a")
	})
	t.Run("the largest", func(t *testing.T) {
		f := fleetOfThree(t)
		large := testMember("d", 900, 1)
		large.Weight = 2
		f.recordAnswer(time.Second, large)
		wantLeader(t, f, time.Second, "d")
	})
	t.Run("none that doesn't answer", func(t *testing.T) {
		wantLeader(t, fleetOfThree(t), 4*time.Second, "b")
	})
	t.Run("none that is leaving", func(t *testing.T) {
		f := fleetOfThree(t)
		m := testMember("a", 100, 2)
		m.Leaving = true
		f.recordAnswer(1100*time.Millisecond, m)
		wantLeader(t, f, 1200*time.Millisecond, "b")
	})
	t.Run("none that refuses connections", func(t *testing.T) {
		f := fleetOfThree(t)
		f.table.RecordRefusal("a")
		wantLeader(t, f, 1100*time.Millisecond, "b")
	})
	t.Run("a restarted one does not take over", func(t *testing.T) {
		f := fleetOfThree(t)
		f.recordAnswer(1100*time.Millisecond, testMember("a", 900, 1))
		wantLeader(t, f, 1200*time.Millisecond, "b")
	})
	t.Run("itself while it is the only one and isn't ready", func(t *testing.T) {
		self := testMember("b", 200, 1)
		self.Ready = false
		f := newTestFleet(t, self)
		wantLeader(t, f, 0, "b")
		f.recordAnswer(time.Second, testMember("c", 300, 1))
		wantLeader(t, f, time.Second, "c")
	})
}

// manyVMs returns the fleet of the VM n1-000 with n VMs, spread over the failure domains in turn.
func manyVMs(t *testing.T, n int) *testFleet {
	t.Helper()
	var f *testFleet
	zones := []string{"n1", "n2", "s1"}
	for i := range n {
		zone := zones[i%len(zones)]
		m := testMember(fmt.Sprintf("%s-%03d", zone, i), int64(100+i), 1)
		m.Zone, m.Region = zone, testRegions[zone]
		if f == nil {
			f = newTestFleet(t, m)
			continue
		}
		f.recordAnswer(time.Second, m)
	}
	return f
}

func TestCells(t *testing.T) {
	t.Run("one of a small fleet", func(t *testing.T) {
		f := manyVMs(t, 30)
		for zone := range testRegions {
			if _, m := f.Coordinates(zone); m.Name != "n1-000" {
				t.Errorf("%s is coordinated by %s, want n1-000", zone, m.Name)
			}
		}
	})
	t.Run("one in each failure domain of a large fleet", func(t *testing.T) {
		f := manyVMs(t, 300)
		got := make(map[string]string)
		for zone := range testRegions {
			_, m := f.Coordinates(zone)
			got[zone] = m.Name
		}
		want := map[string]string{"n1": "n1-000", "n2": "n2-001", "s1": "s1-002"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("coordinators (-want +got):\n%s", diff)
		}
		split, mine, _ := f.Cells()
		if !split || !mine("n1") || mine("n2") || mine("s1") {
			t.Error("this VM doesn't coordinate just its own failure domain, want it to")
		}
	})
	t.Run("a lost coordinator is replaced by the next of its failure domain", func(t *testing.T) {
		f := manyVMs(t, 300)
		f.table.RecordRefusal("n2-001")
		f.refresh()
		if _, m := f.Coordinates("n2"); m.Name != "n2-004" {
			t.Errorf("n2 is coordinated by %s, want n2-004", m.Name)
		}
		if _, m := f.Coordinates("s1"); m.Name != "s1-002" {
			t.Errorf("s1 is coordinated by %s, want s1-002 as before", m.Name)
		}
	})
}

// A VM that takes a cell over paces its engines as one of possibly several coordinators (HasMajority is
// false) until the former coordinator has noticed that it was replaced.
func TestTakeover(t *testing.T) {
	f := manyVMs(t, 300)
	advance := func(now time.Duration) {
		f.now = now
		f.table.MarkAllSeenByHub(now, func(bbgossip.Member) bool { return true })
		f.answeredAt = now
		f.refresh()
	}
	want := func(now time.Duration, want bool) {
		t.Helper()
		advance(now)
		if got := f.HasMajority(); got != want {
			t.Errorf("at %v the coordinator may be the only one: %v, want %v", now, got, want)
		}
	}
	for now := 2 * time.Second; now < 6*time.Second; now += time.Second {
		advance(now)
	}
	want(6*time.Second, true)
	// The coordinator of n2 and all others there are lost; n2 falls to its region's other cell.
	f.table.EachReachable(f.now, func(m *bbgossip.Member) {
		if m.Zone == "n2" {
			f.table.RecordRefusal(m.Name)
		}
	})
	want(7*time.Second, false)
	for now := 8 * time.Second; now < 7*time.Second+takeoverTime; now += time.Second {
		want(now, false)
	}
	want(7*time.Second+takeoverTime-1, false)
	want(7*time.Second+takeoverTime, true)
	// Without any answer for a while, this VM would not learn of another coordinator.
	f.now += isolationTimeout + 1
	f.refresh()
	want(f.now+time.Second, false)
}

// Two VMs that both took over an endpoint would let it have twice its limit.
func TestLimitShare(t *testing.T) {
	f := manyVMs(t, 300)
	want := func(now time.Duration, zone string, want float64) {
		t.Helper()
		f.now = now
		f.table.MarkAllSeenByHub(now, func(bbgossip.Member) bool { return true })
		f.answeredAt = now
		f.refresh()
		if got := f.LimitShare(zone); got != want {
			t.Errorf("at %v this VM may use %g of the limits in %s, want %g", now, got, zone, want)
		}
	}
	own := f.table.Self().Zone
	for now := 2 * time.Second; now < 6*time.Second; now += time.Second {
		want(now, "n2", 0)
	}
	want(6*time.Second, own, 1)
	// The coordinator of n2 and all others there are lost; n2 falls to its region's other cell.
	f.table.EachReachable(f.now, func(m *bbgossip.Member) {
		if m.Zone == "n2" {
			f.table.RecordRefusal(m.Name)
		}
	})
	want(7*time.Second, "n2", 0.5)
	want(7*time.Second, own, 0.5)
	want(7*time.Second+takeoverTime, "n2", 1)
}

func TestReaders(t *testing.T) {
	t.Run("all VMs of a small fleet", func(t *testing.T) {
		if got := manyVMs(t, maxDirectReaders+1).Readers(); len(got) > 0 {
			t.Errorf("readers of the store are %v, want each VM", got)
		}
	})
	t.Run("the coordinator and one in each region", func(t *testing.T) {
		want := map[string]bool{"n1-000": true, "s1-002": true}
		if diff := cmp.Diff(want, manyVMs(t, 30).Readers()); diff != "" {
			t.Errorf("readers of the store (-want +got):\n%s", diff)
		}
	})
	t.Run("the coordinators of cells", func(t *testing.T) {
		want := map[string]bool{"n1-000": true, "n2-001": true, "s1-002": true}
		if diff := cmp.Diff(want, manyVMs(t, 300).Readers()); diff != "" {
			t.Errorf("readers of the store (-want +got):\n%s", diff)
		}
	})
}

// The number of VMs that a VM of a large fleet calls does not depend on the size of the fleet.
func TestTargetsOfALargeFleet(t *testing.T) {
	const rounds = 2 * randomPeerEvery
	count := func(f *testFleet) int {
		n := 0
		for range rounds {
			n += len(f.targets())
		}
		return n
	}
	t.Run("a hub calls the other hubs, and a random VM now and then", func(t *testing.T) {
		f := manyVMs(t, 300)
		// The random VM may be a hub, which is called already.
		if got := count(f); got < 2*rounds || got > 2*rounds+rounds/hubEvery {
			t.Errorf("%d calls in %d rounds, want 2 in each and up to %d", got, rounds, rounds/hubEvery)
		}
	})
	t.Run("others call their hub", func(t *testing.T) {
		f := manyVMs(t, 300)
		self := testMember("n1-999", 999, 1)
		other := newTestFleet(t, self)
		f.table.EachReachable(f.now, func(m *bbgossip.Member) { other.recordAnswer(time.Second, *m) })
		other.recordAnswer(time.Second, f.table.Self())
		if got := count(other); got < rounds/hubEvery || got > rounds/hubEvery+rounds/randomPeerEvery {
			t.Errorf("%d calls in %d rounds, want one in %d and up to %d", got, rounds, hubEvery, rounds/randomPeerEvery)
		}
	})
}

// A coordinator that is leaving names its successor before the other VMs know of it.
func TestCoordinatorOfAnOrder(t *testing.T) {
	f := manyVMs(t, 300)
	order := bbjob.Order{
		ID:     "a",
		Zone:   "n1",
		Region: "north",
	}
	want := func(name, want string) {
		t.Helper()
		if got, _ := f.coordinator(order, name); got.Name != want {
			t.Errorf("order sent to coordinator %q goes to %s, want %s", name, got.Name, want)
		}
	}
	want("", "n1-000")
	want("s1-002", "s1-002")
	want("n2-004", "n2-004")
	want("nobody", "n1-000")
	f.table.MarkLeaving("n2-004")
	f.refresh()
	want("n2-004", "n1-000")
	f.table.RecordRefusal("s1-002")
	f.refresh()
	want("s1-002", "n1-000")
	order.Regions = []string{"south"}
	want("", "s1-005")
}

// Regression: in a fleet of one cell, a VM that took over from a coordinator which it had lost, but others had not, acted
// as the only one, and went on to do so after the former one was back.
func TestContestedCoordinatorOfAFleetOfOneCellHasNoMajority(t *testing.T) {
	f := fleetOfThree(t)
	want := func(now time.Duration, leader string, majority bool) {
		t.Helper()
		f.recordAnswer(now, testMember("c", 300, 1))
		if got, _ := f.Leader(); got.Name != leader || f.HasMajority() != majority {
			t.Errorf("at %v the coordinator is %s, majority %t; want %s, %t", now, got.Name, f.HasMajority(), leader, majority)
		}
	}
	want(1100*time.Millisecond, "a", false)
	f.table.RecordFailure(1200*time.Millisecond, "a")
	want(1200*time.Millisecond, "b", false)
	f.recordAnswer(1600*time.Millisecond, testMember("a", 100, 1))
	want(1700*time.Millisecond, "a", false)
	t.Run("while the other one gives signs of life", func(*testing.T) {
		f.table.RecordFailure(1800*time.Millisecond, "a")
		want(1800*time.Millisecond, "b", false)
		for now := 1900 * time.Millisecond; now < 4*time.Second; now += round {
			f.now = now
			f.Answer(bbpeer.Exchange{
				From: testMember("a", 100, 2),
			})
			f.table.RecordFailure(now+1, "a")
			want(now+round-1, "b", false)
		}
	})
	t.Run("until the other one is silent", func(t *testing.T) {
		f := fleetOfThree(t)
		const lost = 1800 * time.Millisecond
		f.table.RecordFailure(lost, "a")
		f.recordAnswer(lost, testMember("c", 300, 1))
		for now := lost; now < lost+contestTime; now += round {
			f.recordAnswer(now, testMember("c", 300, 1))
			if got, _ := f.Leader(); got.Name != "b" || f.HasMajority() {
				t.Errorf("at %v the coordinator is %s, majority %t; want b without one", now, got.Name, f.HasMajority())
			}
		}
		f.recordAnswer(lost+contestTime, testMember("c", 300, 1))
		if !f.HasMajority() {
			t.Error("no majority after the other one has been silent for some rounds")
		}
	})
	t.Run("but at once after one that refuses connections", func(t *testing.T) {
		f := fleetOfThree(t)
		f.table.RecordRefusal("a")
		f.recordAnswer(1100*time.Millisecond, testMember("c", 300, 1))
		if got, _ := f.Leader(); got.Name != "b" || !f.HasMajority() {
			t.Errorf("the coordinator is %s, majority %t; want b with a majority", got.Name, f.HasMajority())
		}
	})
}

// Guards against a VM whose seeds are outdated, and that takes itself for the whole fleet.
func TestVMThatHasMetNoOtherHasNoMajority(t *testing.T) {
	f := newTestFleet(t, testMember("b", 200, 1))
	want := func(now time.Duration, majority bool) {
		t.Helper()
		f.now = now
		if got := f.HasMajority(); got != majority {
			t.Errorf("majority at %v: %t, want %t", now, got, majority)
		}
	}
	want(time.Second, true)
	f.SetSeeds([]string{"peer of a"})
	want(2*time.Second, false)
	want(time.Second+unmetTime, true)
	f.SetSeeds([]string{f.table.Self().Peer})
	want(2*time.Second, true)
}
