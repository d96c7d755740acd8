package bbcoordinator

import (
	"math"
	"time"

	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbprogress"
	"bluebellhall/core/bburgency"
)

// estimate returns when the first token of a newly arrived request is expected, and sets the job's
// estimates per stage.
func (c *Coordinator) estimate(now time.Duration, j *bbprogress.Job) time.Duration {
	o := &j.Order
	learned := c.learned.Of(o.Route)
	j.EstimateStageToFirstToken(learned.Engine, func(stage bbjob.Stage) time.Duration {
		if p := c.pool(stage.Service); p != nil {
			return p.Duration(p.ExpectedBatchSize(stage.Pieces))
		}
		return 0
	})
	finished := make([]time.Duration, len(o.Stages))
	// undelayed is finished without any queueing delay.
	undelayed := make([]time.Duration, len(o.Stages))
	last, lastUndelayed := now, now
	future := c.future(now)
	for i, s := range o.Stages {
		begin, earliest := now, now
		for _, before := range s.After {
			begin = max(begin, finished[before])
			earliest = max(earliest, undelayed[before])
		}
		finished[i], undelayed[i] = begin, earliest
		p := c.pool(s.Service)
		if s.Pieces == 0 || p == nil {
			continue
		}
		if p.AvailableAt > 0 {
			c.supply.Update(s.Service, p)
		}
		urgency := j.DueOf(i).Urgency(now)
		wait := p.Wait(now, urgency, future[s.Service].Before(urgency))
		duration := p.Duration(p.ExpectedBatchSize(s.Pieces))
		finished[i] = begin + max(0, wait-(begin-now)) + duration
		undelayed[i] = earliest + duration
		last = max(last, finished[i])
		lastUndelayed = max(lastUndelayed, undelayed[i])
	}
	j.QueueingDelay = last - lastUndelayed
	need := c.need(j)
	c.latest[o.Service] = need
	zone, wait := c.table(o.Service).EstimateFirstToken(now, need, c.supply.Engines(o.Service))
	j.PreferredZone = zone
	j.EngineDelay = wait + c.supply.EngineWait(o.Service, o.Version, func() int { return c.ungranted(o.Service, o.Version) })
	j.Estimated = last + j.EngineDelay
	return j.Estimated + learned.Bias
}

// admissionTime returns the time by which it is judged whether a request can be served in time, given when its first
// token is expected. A stream that goes on is judged by its stages alone: only the engines of its version can take it,
// and it waits for them as long as its caller does.
func admissionTime(j *bbprogress.Job, expected time.Duration) time.Duration {
	if j.Order.Version == "" {
		return expected
	}
	return expected - j.EngineDelay
}

// ungranted returns the number of requests in progress that a service has not granted an engine yet; with a version,
// of those that need an engine of that version.
func (c *Coordinator) ungranted(service, version string) int {
	c.examined += uint64(len(c.jobs))
	n := 0
	for _, j := range c.jobs {
		if j.Granted == "" && j.Order.Service == service && needsVersion(j, version) && !c.room.Has(j.Order.ID) {
			n++
		}
	}
	return n
}

// future returns the pieces that requests in progress will add to pools later, by service. While many
// requests are in progress it is a recent view.
func (c *Coordinator) future(now time.Duration) map[string]bburgency.Profile {
	if interval := bburgency.RefreshInterval(len(c.jobs)); interval > 0 && now-c.futureAt < interval {
		return c.lastFuture
	}
	c.examined += uint64(len(c.jobs))
	f := make(bbprogress.Future)
	for id, j := range c.jobs {
		if !c.room.Has(id) {
			f.Add(now, j)
		}
	}
	c.lastFuture = make(map[string]bburgency.Profile, len(f))
	for service, list := range f {
		c.lastFuture[service] = bburgency.NewProfile(list)
	}
	c.futureAt = now
	return c.lastFuture
}

// LoadEstimate returns the load of this cell as published to other cells. It covers only services that
// have had an order.
func (c *Coordinator) LoadEstimate(now time.Duration) bbcell.LoadEstimate {
	o := bbcell.LoadEstimate{
		Services: make(map[string]bbcell.Backlog, len(c.pools)),
		Engines:  make(map[string]time.Duration, len(c.latest)),
	}
	future := c.future(now)
	for service, p := range c.pools {
		c.supply.Update(service, p)
		o.Services[service] = bbcell.Backlog{
			Wait:      p.Wait(now, math.MaxInt64, future[service].Before(math.MaxInt64)),
			PerSecond: p.PerSecond(now),
			Call:      p.Duration(p.ExpectedBatchSize(1)),
		}
	}
	for service, need := range c.latest {
		need.Version = ""
		need.OtherRegion = func(string) bool { return false }
		need.Allowed = func(string) bool { return true }
		need.Inputs = nil
		if zone, wait := c.table(service).EstimateFirstToken(now, need, c.supply.Engines(service)); zone != "" {
			o.Engines[service] = wait
		}
	}
	return o
}
