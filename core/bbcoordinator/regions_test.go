package bbcoordinator

import (
	"testing"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

// regions are what the configuration of a coordinator says of the test's route.
type regions struct {
	version uint64
	list    []string
	// gone is true if the configuration doesn't have the route.
	gone bool
}

// newRegionsCoordinator returns a coordinator with an engine and a stage worker in each of two regions, which follows what
// its configuration says.
func newRegionsCoordinator(inForce *regions) *Coordinator {
	c := newTestCoordinator()
	c.env.Region = func(zone string) string { return "r" + zone[1:] }
	c.env.Regions = func(string, string) ([]string, uint64, bool) { return inForce.list, inForce.version, !inForce.gone }
	entry := func(id, service, zone string) *bbregistry.Entry {
		return &bbregistry.Entry{
			Endpoint: bbregistry.Endpoint{
				ID:      id,
				Service: service,
				Address: "address of " + id,
				Zone:    zone,
			},
		}
	}
	c.env.Endpoints = func(service string) []*bbregistry.Entry {
		switch service {
		case "engine":
			return []*bbregistry.Entry{entry("e0", service, "z0"), entry("e1", service, "z1")}
		case "first":
			return []*bbregistry.Entry{entry("f1", service, "z1")}
		}
		return nil
	}
	return c
}

// regionsOrder returns an order for an engine in the regions of a configuration.
func regionsOrder(version uint64, list ...string) bbjob.Order {
	o := directOrder("a")
	o.Regions, o.CatalogVersion = list, version
	return o
}

// wantGrant checks that an engine was granted.
func wantGrant(t *testing.T, out bbdecision.Output, engine string) {
	t.Helper()
	if len(out.Grants) != 1 || out.Grants[0].Endpoint != engine {
		t.Fatalf("grants %+v, want %s", out.Grants, engine)
	}
}

// Guards against a grant or a piece outside the regions of the later one of two configurations: that of the order and that
// of the coordinator.
func TestLaterRegionsCount(t *testing.T) {
	t.Run("configuration of the coordinator", func(t *testing.T) {
		c := newRegionsCoordinator(&regions{version: 2, list: []string{"r1"}})
		wantGrant(t, c.Submit(0, regionsOrder(1, "r0")), "e1")
	})
	t.Run("configuration of the order", func(t *testing.T) {
		c := newRegionsCoordinator(&regions{version: 1, list: []string{"r0"}})
		wantGrant(t, c.Submit(0, regionsOrder(2, "r1")), "e1")
	})
	t.Run("route that the configuration doesn't have", func(t *testing.T) {
		c := newRegionsCoordinator(&regions{version: 2, gone: true})
		wantGrant(t, c.Submit(0, regionsOrder(1, "r1")), "e1")
	})
	t.Run("configuration of the next order", func(t *testing.T) {
		c := newRegionsCoordinator(&regions{version: 1, list: []string{"r0"}})
		wantGrant(t, c.Submit(0, regionsOrder(1, "r0")), "e0")
		wantGrant(t, c.Submit(50*ms, regionsOrder(2, "r1")), "e1")
	})
	t.Run("piece in a queue", func(t *testing.T) {
		inForce := &regions{version: 1, list: []string{"r0"}}
		c := newRegionsCoordinator(inForce)
		o := testOrder("a", 0)
		o.Regions, o.CatalogVersion = []string{"r0"}, 1
		o.Stages = o.Stages[:1]
		if out := c.Submit(0, o); len(out.Calls) != 0 || len(out.Refusals) != 0 {
			t.Fatalf("output %+v, want the piece to be queued", out)
		}
		*inForce = regions{version: 2, list: []string{"r1"}}
		if out := c.CatalogChanged(20 * ms); len(out.Calls) != 1 || out.Calls[0].Endpoint != "f1" {
			t.Errorf("calls %+v, want one to f1", out.Calls)
		}
	})
}
