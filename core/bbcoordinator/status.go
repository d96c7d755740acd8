package bbcoordinator

import (
	"time"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbspeed"
)

// Status returns the current load for status pages.
func (c *Coordinator) Status(now time.Duration) bbdecision.Status {
	s := bbdecision.Status{
		Requests:        len(c.jobs),
		AwaitingEngine:  len(c.waiting),
		Waiting:         make(map[string]int, len(c.pools)),
		WaitingRequests: c.room.Accounts(),
		RepeatBudgets:   c.retries.Left(now),
		Held:            c.countHeld(),
		OnProbation:     c.countProbation(),
		Examined:        c.examined,
		Slowness:        make(map[string]bbspeed.Summary, len(c.pools)),
	}
	for service, p := range c.pools {
		s.Waiting[service] = p.Waiting()
		s.Examined += p.Examined
		s.Slowness[service] = p.Slowness(now)
	}
	for _, t := range c.engines {
		s.Examined += t.Examined
	}
	return s
}
