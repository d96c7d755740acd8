package bbgateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbrecord"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

// moving is a fixture whose routes move from region r0 to region r1 when the configuration changes.
type moving struct {
	*fixture
	url string
	// changed is true once the configuration has changed.
	changed atomic.Bool
}

// newMoving returns a fixture with endpoints in the given failure domains, each in the region of the same number: z0 is
// in r0. An account's regions move instead of the route's for requests with a key.
func newMoving(t *testing.T, f *fixture, url string, zones ...string) *moving {
	t.Helper()
	m := &moving{
		fixture: f,
		url:     url,
	}
	var entries []*bbregistry.Entry
	zoneOf := make(map[string]string)
	for i, e := range f.gateway.hooks.Endpoints("s") {
		moved := *e
		moved.Zone = zones[i]
		zoneOf[e.ID] = zones[i]
		entries = append(entries, &moved)
	}
	before, after := inRegion(f.gateway.hooks.Index(), "r0"), inRegion(f.gateway.hooks.Index(), "r1")
	h := &f.gateway.hooks
	h.Endpoints = func(string) []*bbregistry.Entry { return entries }
	h.Region = func(zone string) string { return "r" + zone[1:] }
	h.Zone = func(id string) string { return zoneOf[id] }
	h.Index = func() *bbcatalog.Index {
		if m.changed.Load() {
			return after
		}
		return before
	}
	return m
}

// inRegion returns a configuration whose routes, or the accounts of those that need a key, are served in one region.
func inRegion(x *bbcatalog.Index, region string) *bbcatalog.Index {
	c := x.Catalog
	c.Routes, c.Accounts = append([]bbcatalog.Route(nil), c.Routes...), append([]bbcatalog.Account(nil), c.Accounts...)
	for i := range c.Routes {
		if c.Routes[i].Anonymous {
			c.Routes[i].Regions = []string{region}
		}
	}
	for i := range c.Accounts {
		c.Accounts[i].Regions = []string{region}
	}
	return bbcatalog.NewIndex(c)
}

// changeOnPermit changes the configuration when a request waits for its first permit.
func (m *moving) changeOnPermit() {
	m.gateway.hooks.Permit = func(context.Context, string) bool {
		m.changed.Store(true)
		return true
	}
}

// changeOnFailure changes the configuration when a run has failed.
func (m *moving) changeOnFailure() {
	failed := m.gateway.hooks.RunFailed
	m.gateway.hooks.RunFailed = func(b bbrecord.FailedRun) {
		m.changed.Store(true)
		failed(b)
	}
}

// changeOnOrder changes the configuration when a request is granted its first engine.
func (m *moving) changeOnOrder() {
	order := m.gateway.hooks.Order
	m.gateway.hooks.Order = func(ctx context.Context, o bbjob.Order) (bbjob.Verdict, string, error) {
		v, coordinator, err := order(ctx, o)
		m.changed.Store(true)
		return v, coordinator, err
	}
}

// Guards against a request that is sent to an endpoint outside the regions of its route or account, because they were
// those of the configuration in force when the request arrived.
func TestRequestsStayInTheRegionsInForce(t *testing.T) {
	event := stream("id: 1\ndata: a\n\n")
	endpoints := func(answers ...string) []*stubEndpoint {
		var list []*stubEndpoint
		for _, a := range answers {
			list = append(list, newStubEndpoint(t, a))
		}
		return list
	}
	t.Run("while a permit is awaited", func(t *testing.T) {
		f, url := newFixture(t, endpoints(answerOK, answerOK)...)
		m := newMoving(t, f, url, "z0", "z1")
		m.changeOnPermit()
		wantAnswer(t, url+"/once/", http.StatusOK, "done")
		wantRequests(t, f, 0, 1)
	})
	t.Run("regions of an account", func(t *testing.T) {
		f, url := newFixture(t, endpoints(answerOK, answerOK)...)
		m := newMoving(t, f, url, "z0", "z1")
		m.changeOnPermit()
		wantAnswer(t, url+"/keyed/", http.StatusOK, "done", "Key", "k")
		wantRequests(t, f, 0, 1)
	})
	t.Run("no endpoint in the regions in force", func(t *testing.T) {
		f, url := newFixture(t, endpoints(answerOK)...)
		m := newMoving(t, f, url, "z0")
		m.changeOnPermit()
		wantAnswer(t, url+"/once/", http.StatusServiceUnavailable, "")
		wantRequests(t, f, 0)
	})
	t.Run("second attempt", func(t *testing.T) {
		f, url := newFixture(t, endpoints(answerLost, answerOK, answerOK)...)
		m := newMoving(t, f, url, "z0", "z0", "z1")
		m.changeOnFailure()
		wantAnswer(t, url+"/read/", http.StatusOK, "done")
		if n := len(f.endpoint[0].requests()) + len(f.endpoint[1].requests()); n != 1 || len(f.endpoint[2].requests()) != 1 {
			t.Errorf("%d requests in the former region and %d in the present one, want 1 and 1", n, len(f.endpoint[2].requests()))
		}
	})
	t.Run("hedge", func(t *testing.T) {
		late := newLateEndpoint(t, later, answerOK)
		f, url := newHedgingFixture(t, late, newLateEndpoint(t, answerOK), newLateEndpoint(t, answerOK))
		m := newMoving(t, f, url, "z0", "z0", "z1")
		time.AfterFunc(hedgeDelay/2, func() { m.changed.Store(true) })
		wantAnswer(t, url+"/read/", http.StatusOK, "done")
		if n := len(f.endpoint[0].requests()) + len(f.endpoint[1].requests()); n > 1 {
			t.Errorf("%d requests in the former region, want at most the one before the change", n)
		}
	})
	t.Run("granted engine", func(t *testing.T) {
		f, url := newFixture(t, endpoints(event, event)...)
		m := newMoving(t, f, url, "z0", "z1")
		m.changeOnOrder()
		wantAnswer(t, url+"/stream/", http.StatusOK, "id: 1\ndata: a\n\n")
		wantRequests(t, f, 0, 1)
		if diff := cmp.Diff([]string{"r1"}, f.orders[len(f.orders)-1].Regions); diff != "" {
			t.Errorf("regions in the last order (-want +got):\n%s", diff)
		}
	})
	t.Run("a later route with a longer prefix says nothing of a request that has arrived", func(t *testing.T) {
		f, url := newFixture(t, endpoints(event)...)
		m := newMoving(t, f, url, "z0")
		m.changeOnOrder()
		later := inRegion(m.gateway.hooks.Index(), "r0").Catalog
		later.Version++
		longer := later.Routes[0]
		longer.Name, longer.Prefix, longer.Regions = "longer", "/stream/more/", []string{"r1"}
		later.Routes = append(later.Routes, longer)
		before, after := m.gateway.hooks.Index(), bbcatalog.NewIndex(later)
		m.gateway.hooks.Index = func() *bbcatalog.Index {
			if m.changed.Load() {
				return after
			}
			return before
		}
		wantAnswer(t, url+"/stream/more/", http.StatusOK, "id: 1\ndata: a\n\n")
		wantRequests(t, f, 1)
	})
	t.Run("stream that goes on", func(t *testing.T) {
		f, url := newFixture(t, endpoints(stream("id: 1\ndata: a\n\nid: 2\nda"), stream("id: 2\ndata: b\n\n"), stream("id: 2\ndata: b\n\n"))...)
		m := newMoving(t, f, url, "z0", "z0", "z1")
		m.changeOnFailure()
		wantAnswer(t, url+"/resume/", http.StatusOK, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		wantRequests(t, f, 1, 0, 1)
	})
}
