package bbpromise

import (
	"slices"
	"time"

	"bluebellhall/platform/bbledger"
)

const (
	// limitNotice is how long after an endpoint has first named a limit the limit holds.
	limitNotice = 4 * time.Second
	// limitWindow is the time over which arrivals at a limited endpoint are counted. They may exceed the limit
	// by limitFactor and limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// checkLimits checks that endpoints which named a limit in their answers get no more than it allows, from all
// VMs together. Endpoints are left out if a fault affected the fleet or them.
func (c *checker) checkLimits(signals []bbledger.Signal, arrivals []bbledger.Arrival) {
	limits := make(map[string]bbledger.Signal)
	for _, s := range signals {
		if _, known := limits[s.Endpoint]; s.Limit > 0 && !known {
			limits[s.Endpoint] = s
		}
	}
	received := make(map[string][]time.Time)
	for _, a := range arrivals {
		if s, limited := limits[a.Endpoint]; limited && a.At.After(s.At.Add(limitNotice)) {
			received[a.Endpoint] = append(received[a.Endpoint], a.At)
		}
	}
	for endpoint, times := range received {
		slices.SortFunc(times, time.Time.Compare)
		limit := limits[endpoint].Limit
		allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
		first, most := 0, 0
		for i, at := range times {
			for at.Sub(times[first]) > limitWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		if float64(most) > allowed && len(c.Faults) == 0 {
			c.addViolation("%s named a limit of %g requests a second and received %d in %v, %g are allowed", endpoint, limit, most, limitWindow, allowed)
		}
	}
}
