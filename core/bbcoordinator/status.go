package bbcoordinator

import (
	"time"

	"bluebellhall/core/bbdecision"
)

// Status returns the current load for status pages.
func (c *Coordinator) Status(now time.Duration) bbdecision.Status {
	s := bbdecision.Status{
		Requests:        len(c.jobs),
		AwaitingEngine:  len(c.waiting),
		Waiting:         make(map[string]int, len(c.pools)),
		WaitingRequests: c.room.Accounts(),
		RepeatBudgets:   c.retries.Left(now),
		Examined:        c.examined,
		Slowness:        make(map[string]bbdecision.Slowness, len(c.pools)),
	}
	for service, p := range c.pools {
		s.Waiting[service] = p.Waiting()
		s.Examined += p.Examined
		mean, largest := p.Slowness(now)
		s.Slowness[service] = bbdecision.Slowness{
			Mean: mean,
			Max:  largest,
		}
	}
	for _, t := range c.engines {
		s.Examined += t.Examined
	}
	return s
}
