// Package bbhistory records statistics of ended requests for a coordinator: how long those of a
// route took compared with the estimate, and which requests were refused.
package bbhistory

import (
	"time"

	"bluebellhall/core/bbprogress"
)

const (
	// learnRate is the weight of the newest request in the moving averages of its route.
	learnRate = 0.12
	// maxRoutes bounds the table of routes.
	maxRoutes = 10000
	// maxBias bounds the correction of estimates, as a fraction of the objective, so that a
	// few very late requests don't make the coordinator refuse all requests of a route.
	maxBias = 0.6
)

// RouteStats holds moving averages over the requests of one route.
type RouteStats struct {
	// Engine is the average time from a grant to the first token.
	Engine time.Duration
	// Bias is the average time by which the first token comes later than estimated at arrival.
	Bias time.Duration
}

// RouteStatsTable holds the statistics of each route.
type RouteStatsTable map[string]*RouteStats

// Of returns the statistics of a route and creates them if there are none.
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

// RecordFirstToken updates the statistics of a route with the first token of a request.
func (x RouteStatsTable) RecordFirstToken(now time.Duration, j *bbprogress.Job) {
	if j.Started || j.Granted == "" {
		return
	}
	j.Started = true
	e := x.Of(j.Order.Route)
	e.Engine += time.Duration(learnRate * float64(now-j.GrantedAt-e.Engine))
	if j.Order.Version != "" {
		// The estimate covers the few engines of one version.
		return
	}
	late := now - j.Estimated
	e.Bias += time.Duration(learnRate * float64(late-e.Bias))
	most := time.Duration(maxBias * float64(j.Objective))
	e.Bias = max(-most, min(e.Bias, most))
}
