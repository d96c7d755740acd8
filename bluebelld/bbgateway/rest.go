package bbgateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// backoffJitter is the fraction by which Retry-After is extended at random, so that an endpoint doesn't get
// all refused callers at once when its backoff ends.
const backoffJitter = 0.25

// causeResting is the cause of refusals while all endpoints of a service request backoff from this VM.
const causeResting = "resting"

// refuseIfAllBackOff refuses a request if all endpoints of its service request backoff from this VM, with
// a Retry-After that points past the end of the earliest backoff. It reports whether it did.
func (g *Gateway) refuseIfAllBackOff(x *exchange) bool {
	var earliest time.Duration
	for _, e := range g.hooks.Endpoints(x.service) {
		until := g.hooks.BackoffUntil(e.ID)
		if until == 0 {
			return false
		}
		if earliest == 0 || until < earliest {
			earliest = until
		}
	}
	if earliest == 0 {
		return false
	}
	wait := float64(earliest - g.hooks.Now())
	g.fail(x, http.StatusServiceUnavailable, causeResting, time.Duration(wait*(1+backoffJitter*rand.Float64())))
	return true
}

// withBackedOff returns a list of endpoints to avoid, extended by those that request backoff from this VM.
func (g *Gateway) withBackedOff(x *exchange, avoid []string) []string {
	avoid = slices.Clone(avoid)
	for _, e := range g.hooks.Endpoints(x.service) {
		if g.hooks.BackoffUntil(e.ID) > 0 {
			avoid = append(avoid, e.ID)
		}
	}
	return avoid
}
