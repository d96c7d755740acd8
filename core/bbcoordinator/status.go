package bbcoordinator

import "time"

// Status is the state of a coordinator, for metrics.
type Status struct {
	// Requests is the number of those in progress, Ungranted of those whose stages are done
	// and that wait for an engine.
	Requests, Ungranted int
	// Waiting has the pieces that wait for a call, by service.
	Waiting map[string]int
	// Repeats has the repeats that each service may have now.
	Repeats map[string]float64
}

// Status returns the present state.
func (c *Coordinator) Status(now time.Duration) Status {
	s := Status{
		Requests:  len(c.jobs),
		Ungranted: len(c.waiting),
		Waiting:   make(map[string]int, len(c.pools)),
		Repeats:   c.retries.Left(now),
	}
	for service, p := range c.pools {
		s.Waiting[service] = p.Waiting()
	}
	return s
}
