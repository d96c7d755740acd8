package bbcoordinator

import (
	"slices"
	"time"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbdispatch"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbprogress"
)

const (
	// startInterval is the time between two attempts to start requests that wait.
	startInterval = 10 * time.Millisecond
	// lateStartWait is the longest queueing delay of a request's stages at which it starts though it can't be on time
	// any more. It keeps calls full when there is room, and is too short to delay requests that can be on time.
	lateStartWait = 30 * time.Millisecond
	// lateBacklog bounds the requests in progress that can't be on time any more, by the pieces that they need of a
	// service: as many as its endpoints compute in this time. Since a request takes about a second, they get about a
	// fifth of the endpoints' time while others press, and their results don't take the memory that others need.
	lateBacklog = 200 * time.Millisecond
	// lateRescue is the time after which a late request in progress goes before those that can be on time, so that
	// its results are used before they expire.
	lateRescue = 700 * time.Millisecond
	// lateGrace is the time that it gets then, beyond what its stages take, before it counts as late again.
	lateGrace = 300 * time.Millisecond
	// waitingThroughput is the fraction of the endpoints' throughput that requests in the room are assumed to get:
	// bursts are shorter than deadlines, and after one the capacity that new requests leave is theirs.
	waitingThroughput = 0.5
)

// lateMayWait reports whether requests that can't be on time wait instead of being refused.
func (c *Coordinator) lateMayWait() bool {
	return c.env.Features.Waiting.Enabled(c.SharedMachines())
}

// mustWait reports whether a request that has just arrived waits until its stages have capacity, because it would be
// late by more than its slack if it started now. While others wait, an account that got more than the average lately has
// less slack: what is scarce goes to those that got less.
func (c *Coordinator) mustWait(now time.Duration, j *bbprogress.Job, expected time.Duration) bool {
	if !c.lateMayWait() || j.Returning || len(j.Order.Results) > 0 || !hasStages(j) {
		// A caller that was told when to come back has waited already.
		return false
	}
	slack := admissionSlack
	if c.room.Len() > 0 {
		slack *= 1 - c.shares.Excess(now, j.Order.Account)
	}
	return expected > j.Due+time.Duration(slack*float64(j.Objective))
}

// hasStages reports whether a request has any piece to be computed.
func hasStages(j *bbprogress.Job) bool {
	return slices.ContainsFunc(j.Stages, func(s bbprogress.Stage) bool { return s.Left > 0 })
}

// checkWaiting returns why a request that would have to wait is refused and when the caller should retry: its
// deadline would pass before its turn. The reason is empty if it may wait.
func (c *Coordinator) checkWaiting(now time.Duration, j *bbprogress.Job) (time.Duration, string) {
	if c.room.Full(j.Order.Account) {
		return minRetryAfter, "roomFull"
	}
	last := j.Limit - j.RemainingToFirstToken()
	if last < now {
		return minRetryAfter, "limit"
	}
	for i, s := range j.Order.Stages {
		p := c.pools[s.Service]
		if p == nil || j.Stages[i].Left == 0 {
			continue
		}
		wait := c.waitInRoom(now, s.Service, last)
		if now+wait > last {
			return max(minRetryAfter, min(now+wait-last, (j.Limit-now)/4)), "noCapacity"
		}
	}
	return 0, ""
}

// waitInRoom estimates how long the requests take that wait for a service and have to start before a time.
func (c *Coordinator) waitInRoom(now time.Duration, service string, lastStart time.Duration) time.Duration {
	ahead := c.room.Ahead(service, lastStart)
	perSecond := waitingThroughput * c.pools[service].PerSecond(now)
	if ahead == 0 || perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// wait puts a request that has started nothing into the room.
func (c *Coordinator) wait(now time.Duration, j *bbprogress.Job) {
	demand := make(map[string]int, len(j.Order.Stages))
	startBy, lastStart := j.Due, j.Limit
	for i, s := range j.Order.Stages {
		if s.Pieces == 0 {
			continue
		}
		demand[s.Service] += s.Pieces
		startBy = min(startBy, j.Due-j.StageToFirstToken[i])
		lastStart = min(lastStart, j.Limit-j.StageToFirstToken[i])
	}
	c.room.Add(now, bbdispatch.Request{
		ID:        j.Order.ID,
		Account:   j.Order.Account,
		Route:     j.Order.Route,
		StartBy:   startBy,
		LastStart: lastStart,
		Demand:    demand,
	})
	c.log(bbdecision.Event{
		Number: bbevent.OrderWaits,
		Job:    j.Order.ID,
		Detail: j.Order.Account,
		Value:  lastStart - now,
	})
}

// startWaiting starts the requests in the room for which there is capacity now.
func (c *Coordinator) startWaiting(now time.Duration) {
	if c.room.Len() == 0 || now-c.startedAt < startInterval {
		return
	}
	c.startedAt = now
	late := c.lateDemand()
	started := make(map[string]int)
	for {
		punctual := false
		q, ok := c.room.Next(now, func(q bbdispatch.Request, inTime bool) bool {
			punctual = inTime
			return c.fits(now, q, inTime, started) || !inTime && c.fitsLate(now, q, late)
		})
		if !ok {
			return
		}
		c.room.Remove(q.ID)
		j := c.jobs[q.ID]
		for service, pieces := range q.Demand {
			started[service] += pieces
			if !punctual {
				late[service] += pieces
			}
		}
		if !punctual {
			c.late[q.ID] = lateJob{
				job:   j,
				since: now,
			}
		}
		c.log(bbdecision.Event{
			Number: bbevent.OrderStarts,
			Job:    q.ID,
			Value:  now - j.Arrived,
		})
		c.renew(now, j)
		c.schedule(j)
	}
}

// fits reports whether a request in the room should start now. Started are the pieces of requests that were started
// in the same step, which the estimates don't have yet.
func (c *Coordinator) fits(now time.Duration, q bbdispatch.Request, punctual bool, started map[string]int) bool {
	j := c.jobs[q.ID]
	expected := admissionTime(j, c.estimate(now, j))
	var queued time.Duration
	for service := range q.Demand {
		if p := c.pools[service]; p != nil && p.PerSecond(now) > 0 {
			queued = max(queued, time.Duration(float64(started[service])/p.PerSecond(now)*float64(time.Second)))
		}
	}
	if punctual {
		return expected+queued <= j.Due
	}
	return j.QueueingDelay+queued <= lateStartWait
}

// renew gives a late request that starts, or has been late for long, an objective that it can meet, so that it competes
// with the requests that have just arrived. Otherwise it would be starved half-way, and its results would expire.
func (c *Coordinator) renew(now time.Duration, j *bbprogress.Job) {
	j.Due = max(j.Due, now+j.RemainingToFirstToken()+lateGrace)
}

// fitsLate reports whether a request that can't be on time may start although the queues of its stages aren't empty.
// Late are the pieces that such requests in progress need.
func (c *Coordinator) fitsLate(now time.Duration, q bbdispatch.Request, late map[string]int) bool {
	for service := range q.Demand {
		p := c.pool(service)
		if p == nil {
			// Starting it leads to its refusal.
			return true
		}
		if float64(late[service]) > lateBacklog.Seconds()*p.PerSecond(now) {
			return false
		}
	}
	return true
}

// lateJob is a request in progress that can't be on time.
type lateJob struct {
	job   *bbprogress.Job
	since time.Duration
}

// lateDemand returns the pieces of each service that late requests in progress still need, and forgets those that
// have ended or have been granted an engine.
func (c *Coordinator) lateDemand() map[string]int {
	demand := make(map[string]int)
	for id, l := range c.late {
		if c.jobs[id] != l.job || l.job.Granted != "" || c.room.Has(id) {
			delete(c.late, id)
			continue
		}
		for i, s := range l.job.Order.Stages {
			demand[s.Service] += l.job.Stages[i].Left
		}
	}
	return demand
}

// deferLate moves requests that have become late to the room if they have started nothing and would wait long in a
// queue. The others count as late, and go before those on time once they have been late for lateRescue.
func (c *Coordinator) deferLate(now time.Duration) {
	for _, id := range c.lateQueued(now) {
		j := c.jobs[id]
		l, known := c.late[id]
		switch {
		case known && l.job == j && now-l.since < lateRescue:
		case known && l.job == j:
			c.requeue(j)
			c.renew(now, j)
			c.schedule(j)
		case j.Returning || len(j.Order.Results) > 0 || j.Begun() || c.room.Full(j.Order.Account):
			c.late[id] = lateJob{
				job:   j,
				since: now,
			}
		case c.lateWait(now, j) > maxLateWait:
			c.requeue(j)
			c.wait(now, j)
		}
	}
}

// requeue takes the pieces of a request out of the queues, to be scheduled again.
func (c *Coordinator) requeue(j *bbprogress.Job) {
	for i, s := range j.Order.Stages {
		p := c.pools[s.Service]
		if p == nil || !j.Queued(i) {
			continue
		}
		for _, k := range p.Withdraw(j.Order.ID, i) {
			j.Stages[i].Pieces[k].Queued = false
		}
		j.Stages[i].Released = false
	}
}

// lateQueued returns the requests with a queued stage that can no longer be on time, in a fixed order.
func (c *Coordinator) lateQueued(now time.Duration) []string {
	var late []string
	for id, j := range c.jobs {
		if j.Granted == "" && !c.room.Has(id) && len(j.LateStages(now)) > 0 {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	return late
}
