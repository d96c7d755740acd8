package bbmembership

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbjob"
)

// versionFleet returns the fleet of n1-000 with a cell for each failure domain, and the versions of their engines.
func versionFleet(t *testing.T) (*testFleet, map[string][]string) {
	t.Helper()
	f := manyVMs(t, 300)
	versions := map[string][]string{
		"n1": {"v1"},
		"n2": {"v1", "v2"},
		"s1": {"v2", "v3"},
	}
	f.ServesVersion = func(_, version, zone string) bool { return slices.Contains(versions[zone], version) }
	return f, versions
}

func versionOrder(version string) bbjob.Order {
	return bbjob.Order{
		ID:      "a",
		Service: "engine",
		Version: version,
		Zone:    "n1",
		Region:  "north",
	}
}

// wantCoordinator checks which coordinator an order goes to that was sent to the named one.
func wantCoordinator(t *testing.T, f *testFleet, o bbjob.Order, name, want string) {
	t.Helper()
	if got, _ := f.coordinator(o, name); got.Name != want {
		t.Errorf("order for version %q sent to coordinator %q goes to %s, want %s", o.Version, name, got.Name, want)
	}
}

// Guards against streams that are refused by a cell without engines of their version while another one has some.
func TestCellOfAnOrderWithAVersion(t *testing.T) {
	f, versions := versionFleet(t)
	wantCoordinator(t, f, versionOrder("v1"), "", "n1-000")
	wantCoordinator(t, f, versionOrder("v2"), "", "n2-001")
	wantCoordinator(t, f, versionOrder("v3"), "", "s1-002")
	t.Run("that another coordinator names", func(t *testing.T) {
		wantCoordinator(t, f, versionOrder("v2"), "s1-002", "s1-002")
		wantCoordinator(t, f, versionOrder("v1"), "s1-002", "n1-000")
		// A VM that coordinates nothing yet, as far as is known here, may have taken over a cell.
		wantCoordinator(t, f, versionOrder("v2"), "n2-004", "n2-004")
	})
	t.Run("whose version nobody has", func(t *testing.T) {
		wantCoordinator(t, f, versionOrder("v4"), "", "n1-000")
	})
	t.Run("without a version", func(t *testing.T) {
		clear(versions)
		wantCoordinator(t, f, versionOrder(""), "", "n1-000")
		wantCoordinator(t, f, versionOrder(""), "s1-002", "s1-002")
	})
}

// Guards against orders that go to a cell without engines of their version because their own cell is busy or its
// coordinator is lost, whatever cells have which versions.
func TestOrderStaysWithItsVersion(t *testing.T) {
	f, versions := versionFleet(t)
	random := rand.New(rand.NewPCG(1, 0))
	f.Pick = random.IntN
	f.cellEstimates.Pick = random.IntN
	all := []string{"v1", "v2", "v3"}
	lost := f.cells.Zones["n1"]
	spilled, others := 0, 0
	for range 300 {
		for zone := range versions {
			versions[zone] = slices.DeleteFunc(slices.Clone(all), func(string) bool { return random.IntN(2) == 0 })
			f.cellEstimates.Update(f.now, f.cells.Zones[zone].Name, bbcell.LoadEstimate{
				Engines: map[string]time.Duration{
					"engine": 100 * time.Millisecond,
				},
			})
		}
		o := versionOrder(all[random.IntN(len(all))])
		wantVersion := func(what, name string) {
			t.Helper()
			if m, _ := f.table.Member(name); !slices.Contains(versions[m.Zone], o.Version) {
				t.Errorf("%s for version %s is %q, whose cell has %v", what, o.Version, name, versions[m.Zone])
			}
		}
		if name, _ := f.Spill(o, time.Minute, func(string) bool { return true }); name != "" {
			spilled++
			wantVersion("coordinator of a spilled order", name)
		}
		if name := f.otherCell(o, lost); name != "" {
			others++
			wantVersion("coordinator in place of a lost one", name)
		}
	}
	if spilled == 0 || others == 0 {
		t.Errorf("%d spilled orders and %d to another cell, want some of both", spilled, others)
	}
}
