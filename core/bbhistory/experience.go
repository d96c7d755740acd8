// Package bbhistory is what a coordinator remembers of requests that have ended: how long
// those of a route took against what was expected, and which were refused.
package bbhistory

import (
	"time"

	"bluebellhall/core/bbprogress"
)

const (
	// learnRate is the weight of the newest request in what is learned of its route.
	learnRate = 0.12
	// maxRoutes bounds the table of routes.
	maxRoutes = 10000
	// maxBias bounds the correction of estimates, as a part of the objective, so that a
	// few very late requests don't close a route.
	maxBias = 0.6
)

// Experience is what requests of one route have taught.
type RouteStats struct {
	// Engine is the usual time from a grant to the first token.
	Engine time.Duration
	// Bias is how much later the first token usually comes than estimated at arrival.
	Bias time.Duration
}

// Experiences has what is known of each route.
type RouteStatsTable map[string]*RouteStats

// Of returns what is known of a route.
func (x RouteStatsTable) Of(route string) *RouteStats {
	e := x[route]
	if e == nil {
		if len(x) >= maxRoutes {
			clear(x)
		}
		e = &RouteStats{
			Engine: bbprogress.EngineTime,
		}
		x[route] = e
	}
	return e
}

// Learn takes in the first token of a request.
func (x RouteStatsTable) RecordFirstToken(now time.Duration, j *bbprogress.Job) {
	if j.Started || j.Granted == "" {
		return
	}
	j.Started = true
	e := x.Of(j.Order.Route)
	e.Engine += time.Duration(learnRate * float64(now-j.GrantedAt-e.Engine))
	late := now - j.Estimated
	e.Bias += time.Duration(learnRate * float64(late-e.Bias))
	most := time.Duration(maxBias * float64(j.Objective))
	e.Bias = max(-most, min(e.Bias, most))
}
