package bbgateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
)

// Regression: a VM that was frozen sent the requests for which it had been granted engines meanwhile all at once.
func TestLateGrantIsNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		// ages are those of the grants in turn, the last one is repeated.
		ages []time.Duration
		// orders is the number of orders, given that of grants given back with a note.
		status, orders, sent, given int
	}{
		"recent":           {[]time.Duration{400 * time.Millisecond}, http.StatusOK, 1, 1, 0},
		"late once":        {[]time.Duration{2300 * time.Millisecond, 0}, http.StatusOK, 2, 1, 0},
		"all late by 0.7s": {[]time.Duration{700 * time.Millisecond}, http.StatusOK, 2, 1, 0},
		"all late by hours": {
			[]time.Duration{time.Hour}, http.StatusServiceUnavailable, maxGrants, 0, 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\n")))
			f.gateway.hooks.Order = func(_ context.Context, o bbjob.Order) (bbjob.Verdict, string, error) {
				age := c.ages[min(len(f.orders), len(c.ages)-1)]
				f.orders = append(f.orders, o)
				return bbjob.Verdict{Grant: &bbjob.Grant{
					ID:        o.ID,
					Endpoint:  "e0",
					Address:   f.endpoint[0].address,
					ValidFor:  500 * time.Millisecond,
					GrantedAt: f.gateway.hooks.Now() - age,
				}}, "", nil
			}
			if status, body, err := send(t, url+"/stream/", ""); status != c.status || err != nil {
				t.Errorf("answer %d %q, error %v; want %d", status, body, err, c.status)
			}
			wantRequests(t, f, c.sent)
			given := 0
			for _, n := range f.notes {
				if n.Outcome == bbhealth.OutcomeHeld {
					given++
				}
			}
			if diff := cmp.Diff([2]int{c.orders, c.given}, [2]int{len(f.orders), given}); diff != "" {
				t.Errorf("orders and grants given back by a note (-want +got):\n%s", diff)
			}
			for _, o := range f.orders {
				if len(o.Avoid) > 0 || o.Repeat {
					t.Errorf("order avoids %v, repeat %t; the request has not been sent", o.Avoid, o.Repeat)
				}
			}
		})
	}
}
