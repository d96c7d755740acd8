package bbcoordinator

import (
	"time"

	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbprogress"
)

// estimate returns when the first token of a request that has just arrived is expected,
// and fills in its tails.
func (c *Coordinator) estimate(now time.Duration, j *bbprogress.Job) time.Duration {
	o := &j.Order
	learned := c.learned.Of(o.Route)
	c.measureTails(j, learned.Engine)
	finished := make([]time.Duration, len(o.Stages))
	last := now
	future := c.future(now)
	for i, s := range o.Stages {
		begin := now
		for _, before := range s.After {
			begin = max(begin, finished[before])
		}
		finished[i] = begin
		p := c.pool(s.Service)
		if s.Pieces == 0 || p == nil {
			continue
		}
		urgency := j.DueOf(i).Urgency(now)
		wait := p.Wait(now, urgency, future.Before(s.Service, urgency))
		finished[i] = begin + max(0, wait-(begin-now)) + p.Duration(c.usualBatch(p, s.Pieces))
		last = max(last, finished[i])
	}
	need := c.need(j)
	engines := c.listEngines(o.Service)
	j.Wish = c.table(o.Service).Best(now, need, engines)
	j.Estimated = last + c.table(o.Service).Wait(now, need, engines)
	return j.Estimated + learned.Bias
}

// usualBatch is the number of pieces that a call with a group of n is expected to have.
func (c *Coordinator) usualBatch(p *bbpool.Pool, n int) int {
	return min(p.Spec.Batch, max(n, p.Spec.Batch/2))
}

// measureTails fills in the time from the start of each stage to the first token.
func (c *Coordinator) measureTails(j *bbprogress.Job, engine time.Duration) {
	for i := len(j.Order.Stages) - 1; i >= 0; i-- {
		s := j.Order.Stages[i]
		rest := engine
		for k := i + 1; k < len(j.Order.Stages); k++ {
			for _, before := range j.Order.Stages[k].After {
				if before == i && j.Order.Stages[k].Pieces > 0 {
					rest = max(rest, j.Tails[k])
				}
			}
		}
		j.Tails[i] = rest
		if p := c.pool(s.Service); p != nil && s.Pieces > 0 {
			j.Tails[i] += p.Duration(c.usualBatch(p, s.Pieces))
		}
	}
}

// future returns the work that requests in progress will bring to pools later.
func (c *Coordinator) future(now time.Duration) bbprogress.Future {
	f := make(bbprogress.Future)
	for _, j := range c.jobs {
		f.Add(now, j)
	}
	return f
}
