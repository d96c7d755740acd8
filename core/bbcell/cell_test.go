package bbcell

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

// regions has the region of each failure domain in the tests.
var regions = map[string]string{
	"n1": "north",
	"n2": "north",
	"s1": "south",
	"s2": "south",
}

// vm returns a VM whose failure domain is the first two characters of its name.
func vm(name string, weight float64) bbgossip.Member {
	return bbgossip.Member{
		Name:   name,
		Boot:   100,
		Zone:   name[:2],
		Region: regions[name[:2]],
		Weight: weight,
	}
}

// fleet is a fleet in which each failure domain has a large and a small VM.
func fleet() []bbgossip.Member {
	var vms []bbgossip.Member
	for _, zone := range []string{"n1", "n2", "s1", "s2"} {
		vms = append(vms, vm(zone+"-a", 0.2), vm(zone+"-b", 0.8))
	}
	return vms
}

// without returns the VMs of the fleet except those in some failure domains.
func without(zones ...string) []bbgossip.Member {
	var vms []bbgossip.Member
	for _, m := range fleet() {
		excluded := false
		for _, zone := range zones {
			excluded = excluded || m.Zone == zone
		}
		if !excluded {
			vms = append(vms, m)
		}
	}
	return vms
}

// wantZones checks which VM coordinates each failure domain.
func wantZones(t *testing.T, m Map, want map[string]string) {
	t.Helper()
	got := make(map[string]string)
	for zone, vm := range m.Zones {
		got[zone] = vm.Name
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("VMs by failure domain (-want +got):\n%s", diff)
	}
}

func TestMap(t *testing.T) {
	t.Run("one cell", func(t *testing.T) {
		wantZones(t, New(fleet(), regions, false), map[string]string{"n1": "n1-b", "n2": "n1-b", "s1": "n1-b", "s2": "n1-b"})
	})
	t.Run("a cell for each failure domain", func(t *testing.T) {
		wantZones(t, New(fleet(), regions, true), map[string]string{"n1": "n1-b", "n2": "n2-b", "s1": "s1-b", "s2": "s2-b"})
	})
	t.Run("a failure domain without VMs gets a coordinator in its region", func(t *testing.T) {
		wantZones(t, New(without("n1"), regions, true), map[string]string{"n1": "n2-b", "n2": "n2-b", "s1": "s1-b", "s2": "s2-b"})
	})
	t.Run("a region without VMs gets coordinators in another", func(t *testing.T) {
		m := New(without("n1", "n2"), regions, true)
		for _, zone := range []string{"n1", "n2"} {
			if region := m.Zones[zone].Region; region != "south" {
				t.Errorf("failure domain %s has a coordinator in region %q, want south", zone, region)
			}
		}
	})
	t.Run("no VM at all", func(t *testing.T) {
		wantZones(t, New(nil, regions, true), map[string]string{})
	})
	t.Run("a failure domain that settings don't name has one VM", func(t *testing.T) {
		m := New(fleet(), regions, true)
		coordinators := 0
		for _, vm := range fleet() {
			if m.Coordinates(vm.Name, "elsewhere") {
				coordinators++
			}
		}
		if coordinators != 1 {
			t.Errorf("%d VMs coordinate a failure domain that settings don't name, want 1", coordinators)
		}
	})
}

// Whichever VMs are lost, each failure domain has exactly one coordinator.
func TestEachZoneHasOneCoordinator(t *testing.T) {
	all := fleet()
	for lost := range 1<<len(all) - 1 {
		var vms []bbgossip.Member
		for i, m := range all {
			if lost&(1<<i) == 0 {
				vms = append(vms, m)
			}
		}
		m := New(vms, regions, true)
		for zone := range regions {
			coordinators := 0
			for _, vm := range vms {
				if m.Coordinates(vm.Name, zone) {
					coordinators++
				}
			}
			if coordinators != 1 {
				t.Fatalf("with %d VMs, %d coordinate %s, want 1", len(vms), coordinators, zone)
			}
		}
	}
}

// prompted returns an order that arrived in n1, whose last prompt part has the given tokens.
func prompted(part string, tokens int) bbjob.Order {
	o := order(1)
	o.Zone = "n1"
	o.BodyBytes = 9000
	o.Prompt.Parts = []bbjob.Part{{ID: "shared", Tokens: 2500}, {ID: part, Tokens: tokens}}
	return o
}

// homes counts the homes of orders with different prompt parts.
func homes(tokens int, serves func(zone string) bool) map[string]int {
	counts := make(map[string]int)
	for i := range 200 {
		counts[Home(prompted(fmt.Sprint("part", i), tokens), regions, serves)]++
	}
	return counts
}

func TestHome(t *testing.T) {
	t.Run("orders with the same part have the same home wherever they arrive", func(t *testing.T) {
		first := prompted("p", 4000)
		second := first
		second.Zone, second.Region = "s2", "south"
		if a, b := Home(first, regions, everywhere), Home(second, regions, everywhere); a != b {
			t.Errorf("orders with the same part have homes %s and %s, want one", a, b)
		}
	})
	t.Run("long parts spread over all failure domains", func(t *testing.T) {
		for zone, n := range homes(4000, everywhere) {
			if n < 25 {
				t.Errorf("%s is the home of %d of 200 orders, want a quarter or so", zone, n)
			}
		}
	})
	t.Run("short parts stay in the region", func(t *testing.T) {
		got := homes(100, everywhere)
		if got["n1"]+got["n2"] != 200 || got["n1"] < 50 || got["n2"] < 50 {
			t.Errorf("homes %v, want n1 and n2 alike", got)
		}
	})
	t.Run("not where the order can't be served", func(t *testing.T) {
		got := homes(4000, func(zone string) bool { return zone == "n2" || zone == "s1" })
		if got["n2"]+got["s1"] != 200 {
			t.Errorf("homes %v, want only n2 and s1", got)
		}
	})
	t.Run("another region if the own one can't serve the order", func(t *testing.T) {
		got := homes(100, func(zone string) bool { return regions[zone] == "south" })
		if got["s1"]+got["s2"] != 200 {
			t.Errorf("homes %v, want only s1 and s2", got)
		}
	})
	t.Run("the failure domain of arrival without a prompt, or if none can serve the order", func(t *testing.T) {
		plain := order(1)
		plain.Zone = "n1"
		for _, got := range []string{Home(plain, regions, everywhere), Home(prompted("p", 4000), regions, func(string) bool { return false })} {
			if got != "n1" {
				t.Errorf("home is %s, want n1", got)
			}
		}
	})
}

func TestSplitHasHysteresis(t *testing.T) {
	var s Split
	for _, step := range []struct {
		vms  int
		want bool
	}{{7, false}, {splitThreshold - 1, false}, {splitThreshold, true}, {mergeThreshold, true}, {mergeThreshold - 1, false}, {mergeThreshold, false}} {
		s.Resize(step.vms)
		if s.ByZone != step.want {
			t.Errorf("with %d VMs, a cell for each failure domain is %v, want %v", step.vms, s.ByZone, step.want)
		}
	}
}

// estimate returns the load estimate of a cell with a queueing delay for stage work.
func estimate(wait time.Duration) LoadEstimate {
	return LoadEstimate{
		Services: map[string]Backlog{
			"stage": {Wait: wait, PerSecond: 10, Call: 300 * time.Millisecond},
		},
		Engines: map[string]time.Duration{
			"engine": 100 * time.Millisecond,
		},
	}
}

func order(pieces int) bbjob.Order {
	return bbjob.Order{
		ID:      "a",
		Service: "engine",
		Region:  "north",
		Stages:  []bbjob.Stage{{Service: "stage", Pieces: pieces}},
	}
}

// wantSpill checks which cell gets an order that would wait for some time in its own.
func wantSpill(t *testing.T, n *CellEstimates, now, own time.Duration, allowed func(zone string) bool, want string) {
	t.Helper()
	cells := New(without("n1"), regions, true).VMs()
	if got, _ := n.Spill(now, order(4), own, cells, allowed); got != want {
		t.Errorf("order that waits %v goes to %q, want %q", own, got, want)
	}
}

func everywhere(string) bool {
	return true
}

func TestSpill(t *testing.T) {
	// newEstimates returns the estimates of one near and one far cell with their queueing delays.
	newEstimates := func(near, far time.Duration) *CellEstimates {
		n := NewCellEstimates()
		n.Pick = func(int) int { return 0 }
		n.Update(0, "n2-b", estimate(near))
		n.Update(0, "s1-b", estimate(far))
		return n
	}
	t.Run("to the nearer of two equally loaded cells", func(t *testing.T) {
		wantSpill(t, newEstimates(0, 0), 0, 2*time.Second, everywhere, "n2-b")
	})
	t.Run("to a farther one if it is faster", func(t *testing.T) {
		wantSpill(t, newEstimates(time.Second, 0), 0, 2*time.Second, everywhere, "s1-b")
	})
	t.Run("not for a small gain", func(t *testing.T) {
		wantSpill(t, newEstimates(0, 0), 0, 400*time.Millisecond+minSpillGain, everywhere, "")
	})
	t.Run("not where it may not be served", func(t *testing.T) {
		wantSpill(t, newEstimates(time.Second, 0), 0, 2*time.Second, func(zone string) bool { return regions[zone] == "north" }, "n2-b")
	})
	t.Run("not by an old estimate", func(t *testing.T) {
		wantSpill(t, newEstimates(0, 0), maxEstimateAge+1, 2*time.Second, everywhere, "")
	})
	t.Run("not to a cell without engines", func(t *testing.T) {
		n := newEstimates(0, 0)
		n.Update(0, "n2-b", LoadEstimate{
			Services: estimate(0).Services,
		})
		wantSpill(t, n, 0, 2*time.Second, everywhere, "s1-b")
	})
	t.Run("not to a VM that is no longer a coordinator", func(t *testing.T) {
		n := newEstimates(0, 0)
		n.Retain([]bbgossip.Member{vm("s1-b", 0.8)})
		wantSpill(t, n, 0, 2*time.Second, everywhere, "s1-b")
	})
}

// A burst in one cell spreads over the others even without new load estimates from them.
func TestBurstSpreadsOverCells(t *testing.T) {
	n := NewCellEstimates()
	n.Update(0, "n2-b", estimate(0))
	n.Update(0, "s1-b", estimate(0))
	n.Update(0, "s2-b", estimate(0))
	cells := New(without("n1"), regions, true).VMs()
	counts := make(map[string]int)
	for range 30 {
		name, _ := n.Spill(0, order(1), 3*time.Second, cells, everywhere)
		counts[name]++
	}
	for _, c := range cells {
		if counts[c.Name] < 5 {
			t.Errorf("%s got %d of 30 orders, want at least 5: %v", c.Name, counts[c.Name], fmt.Sprint(counts))
		}
	}
}
