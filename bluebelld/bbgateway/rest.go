package bbgateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// restSpread is the part of a time to come back by which callers are spread, so that an endpoint
// that has rested doesn't get all of them at once.
const backoffJitter = 0.25

// resting is the cause of refusals while all endpoints of a service want nothing of this VM.
const causeResting = "resting"

// allRest refuses a request if all endpoints of its service want nothing of this VM, and tells when
// the first may get something again. It is true if it did.
func (g *Gateway) refuseIfAllBackOff(x *exchange) bool {
	var first time.Duration
	for _, e := range g.hooks.Endpoints(x.service) {
		until := g.hooks.BackoffUntil(e.ID)
		if until == 0 {
			return false
		}
		if first == 0 || until < first {
			first = until
		}
	}
	if first == 0 {
		return false
	}
	wait := float64(first - g.hooks.Now())
	g.fail(x, http.StatusServiceUnavailable, causeResting, time.Duration(wait*(1+backoffJitter*rand.Float64())))
	return true
}

// withResting returns endpoints to be avoided, with those that want nothing of this VM.
func (g *Gateway) withBackedOff(x *exchange, avoid []string) []string {
	avoid = slices.Clone(avoid)
	for _, e := range g.hooks.Endpoints(x.service) {
		if g.hooks.BackoffUntil(e.ID) > 0 {
			avoid = append(avoid, e.ID)
		}
	}
	return avoid
}
