package bbcoordinator

import (
	"sort"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbplacement"
)

// place grants engines to the requests whose stages are done, the most urgent first.
func (c *Coordinator) place(now time.Duration) {
	if len(c.waiting) == 0 {
		return
	}
	list := make([]*job, 0, len(c.waiting))
	for _, j := range c.waiting {
		list = append(list, j)
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i], list[k]
		ua, ub := a.due+rank(a.order.Priority), b.due+rank(b.order.Priority)
		if ua != ub {
			return ua < ub
		}
		return a.order.ID < b.order.ID
	})
	for _, j := range list {
		c.placeJob(now, j)
	}
}

// placeJob grants an engine to one request if one may have it.
func (c *Coordinator) placeJob(now time.Duration, j *job) {
	service := j.order.Service
	if j.repeated && !c.window(service).Take(now, 1) {
		c.refuse(j.order.ID, "noRetries", minRetryAfter, now-j.arrived)
		c.drop(j)
		return
	}
	e, ok := c.table(service).Choose(now, c.need(j), c.listEngines(service), c.pace(service))
	if !ok {
		return
	}
	j.repeated = false
	j.granted = e.ID
	j.grantedAt = now
	delete(c.waiting, j.order.ID)
	inputs, _ := j.finals()
	c.log(Event{
		Number:   bbevent.EngineGranted,
		Job:      j.order.ID,
		Endpoint: e.ID,
		Value:    now - j.arrived,
	})
	c.out.Grants = append(c.out.Grants, bbjob.Grant{
		ID:       j.order.ID,
		Endpoint: e.ID,
		Address:  e.Address,
		Inputs:   inputs,
	})
}

// need returns what a request asks of an engine.
func (c *Coordinator) need(j *job) bbplacement.Need {
	_, bytes := j.finals()
	delete(bytes, "")
	return bbplacement.Need{
		Job:    j.order.ID,
		Prompt: j.order.Prompt,
		Zone:   j.order.Zone,
		Far: func(zone string) bool {
			return c.know.Region(zone) != j.order.Region
		},
		BodyBytes: j.order.BodyBytes,
		Inputs:    bytes,
		Allowed:   c.allowed(j.order),
		Avoid:     j.order.Avoid,
	}
}

// listEngines returns the engines of a service that may get work.
func (c *Coordinator) listEngines(service string) []bbplacement.Endpoint {
	entries := c.know.Endpoints(service)
	list := make([]bbplacement.Endpoint, 0, len(entries))
	for _, e := range entries {
		list = append(list, bbplacement.Endpoint{
			ID:      e.ID,
			Address: e.Address,
			Zone:    e.Zone,
			Cold:    e.Cold > 0,
		})
	}
	return list
}

// pace returns how fast one engine may get requests. Warm engines are paced too, because
// they may turn cold at any moment and tell it later.
func (c *Coordinator) pace(service string) bbplacement.Pace {
	s := c.know.Service(service)
	if s == nil || s.ColdPerSecond <= 0 {
		return bbplacement.Pace{
			Cold: true,
		}
	}
	if c.know.Majority() {
		return bbplacement.Pace{
			PerSecond: s.ColdPerSecond,
			Burst:     fullBurst,
			Cold:      true,
		}
	}
	return bbplacement.Pace{
		PerSecond: s.ColdPerSecond / 2,
		Burst:     loneBurst,
	}
}

// Progress takes in a note of the VM that holds a request.
func (c *Coordinator) Progress(now time.Duration, n bbjob.Note) Output {
	j := c.jobs[n.ID]
	if j == nil {
		return c.decide(now)
	}
	t := c.table(j.order.Service)
	if n.Started {
		c.learn(now, j)
		t.Started(n.Endpoint, n.ID)
		if !n.Ended && !j.order.Resumable {
			c.freeUsed(j)
		}
	}
	if !n.Ended {
		return c.decide(now)
	}
	t.Ended(now, n.Endpoint, n.ID, n.Outcome)
	if n.Again && n.Outcome != bbhealth.OutcomeGood {
		j.order.Avoid = append(j.order.Avoid, n.Endpoint)
		return c.decide(now)
	}
	c.drop(j)
	return c.decide(now)
}

// freeUsed gives up the results that an engine has read.
func (c *Coordinator) freeUsed(j *job) {
	for i := range j.stages {
		c.freeStage(j, i)
	}
}

// resubmit takes in the order of a request that this VM knows: its origin asks again after
// an engine turned it away.
func (c *Coordinator) resubmit(now time.Duration, j *job, o bbjob.Order) {
	if j.granted == "" {
		return
	}
	c.table(o.Service).Ended(now, j.granted, o.ID, bbhealth.OutcomeFull)
	j.granted = ""
	j.order.Avoid = o.Avoid
	j.repeated = o.Repeat
	for i := range j.stages {
		if j.final(i) {
			j.remake(i)
		}
	}
	c.release(j)
}
