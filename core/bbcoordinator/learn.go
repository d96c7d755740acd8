package bbcoordinator

import "time"

const (
	// learnRate is the weight of the newest request in what is learned of its route.
	learnRate = 0.12
	// maxRoutes bounds the table of routes.
	maxRoutes = 10000
	// maxBias bounds the correction of estimates, as a part of the objective, so that a
	// few very late requests don't close a route.
	maxBias = 0.6
)

// experience is what requests of one route have taught.
type experience struct {
	// engine is the usual time from a grant to the first token.
	engine time.Duration
	// bias is how much later the first token usually comes than estimated at arrival.
	bias time.Duration
}

// learnedOf returns what is known of a route.
func (c *Coordinator) learnedOf(route string) *experience {
	e := c.learned[route]
	if e == nil {
		if len(c.learned) >= maxRoutes {
			clear(c.learned)
		}
		e = &experience{
			engine: engineTime,
		}
		c.learned[route] = e
	}
	return e
}

// learn takes in the first token of a request.
func (c *Coordinator) learn(now time.Duration, j *job) {
	if j.started || j.granted == "" {
		return
	}
	j.started = true
	e := c.learnedOf(j.order.Route)
	e.engine += time.Duration(learnRate * float64(now-j.grantedAt-e.engine))
	late := now - j.estimated
	e.bias += time.Duration(learnRate * float64(late-e.bias))
	most := time.Duration(maxBias * float64(j.objective))
	e.bias = max(-most, min(e.bias, most))
}
