package bbgateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbcoordinator"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

// useCoordinator has a coordinator with the configuration after the change grant the engines.
func (m *moving) useCoordinator() {
	h := &m.gateway.hooks
	m.changed.Store(true)
	later := h.Index().Catalog
	m.changed.Store(false)
	later.Version++
	index := bbcatalog.NewIndex(later)
	c := bbcoordinator.New(bbcoordinator.Environment{
		Service:   index.Service,
		Endpoints: func(service string) []*bbregistry.Entry { return h.Endpoints(service) },
		Region:    h.Region,
		Regions: func(route, account string) ([]string, uint64, bool) {
			regions, ok := index.RegionsOf(route, account)
			return regions, later.Version, ok
		},
		Majority:        func() bool { return true },
		SoleCoordinator: func() bool { return true },
	}, bbcoordinator.Limits{})
	note := h.Note
	h.Note = func(coordinator string, n bbjob.Note) {
		note(coordinator, n)
		m.mu.Lock()
		defer m.mu.Unlock()
		c.Progress(h.Now(), n)
	}
	h.Order = func(_ context.Context, o bbjob.Order) (bbjob.Verdict, string, error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		out := c.Submit(h.Now(), o)
		for i := range out.Grants {
			out.Grants[i].GrantedAt = h.Now()
			return bbjob.Verdict{Grant: &out.Grants[i]}, "vm", nil
		}
		return bbjob.Verdict{Refusal: &bbjob.Refusal{Reason: "none", RetryAfter: time.Second}}, "vm", nil
	}
}

// Guards against a request that is refused because the coordinator has a later configuration than the VM that holds the
// request: it grants engines in the regions of that one, which the VM doesn't use.
func TestGrantsOfALaterConfigurationAreUsed(t *testing.T) {
	event := stream("id: 1\ndata: a\n\n")
	f, url := newFixture(t, newStubEndpoint(t, event), newStubEndpoint(t, event))
	f.gateway.hooks.Index().Service("engine").Engine.Slots = 8
	f.gateway.hooks.Index().Service("engine").Engine.Tokens = 1e5
	m := newMoving(t, f, url, "z0", "z1")
	m.useCoordinator()
	wantAnswer(t, url+"/stream/", http.StatusOK, "id: 1\ndata: a\n\n")
	wantRequests(t, f, 0, 1)
}
