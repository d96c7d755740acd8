package bbcoordinator

import (
	"maps"
	"slices"
	"sort"
	"time"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbplacement"
	"bluebellhall/core/bbprogress"
	"bluebellhall/core/bbsuspect"
	"bluebellhall/core/bburgency"
)

// placementInterval is the time between two attempts to place a request for which no engine was available.
const placementInterval = 10 * time.Millisecond

const (
	// grantValidity is how long a grant may be used. Grants that were held up, for instance in a VM that was frozen, are
	// sent at once when that ends. Of an engine that takes the cold rate r, up to r + 3 are granted in a second; with
	// those of half a second before, r x 1.5 + 3 reach it, within the r x 1.5 + 5 that it bears.
	grantValidity = 500 * time.Millisecond
	// silenceTolerance is how long after its order an origin that gives no sign of life is granted an engine: the
	// order itself was one.
	silenceTolerance = 1500 * time.Millisecond
)

// place grants engines to the requests whose stages are done, in order of urgency.
func (c *Coordinator) place(now time.Duration) {
	if len(c.waiting) == 0 || now-c.placedAt < bburgency.RefreshInterval(len(c.waiting)) {
		return
	}
	c.placedAt = now
	c.examined += uint64(len(c.waiting))
	list := slices.Collect(maps.Values(c.waiting))
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i], list[k]
		ua, ub := a.Due+bbprogress.Rank(a.Order.Priority), b.Due+bbprogress.Rank(b.Order.Priority)
		if ua != ub {
			return ua < ub
		}
		return a.Order.ID < b.Order.ID
	})
	for _, j := range list {
		c.placeJob(now, j)
	}
}

// placeJob grants an engine to a request if one is available.
func (c *Coordinator) placeJob(now time.Duration, j *bbprogress.Job) {
	service := j.Order.Service
	expired := invalidateExpired(now, j)
	if !j.Done() {
		if !expired {
			c.log(bbdecision.Event{
				Number: bbevent.SendWithheld,
				Job:    j.Order.ID,
			})
		}
		c.schedule(j)
		return
	}
	if j.Repeated && !c.retries.Of(service).Take(now, 1) {
		c.refuse(j.Order.ID, "noRetries", minRetryAfter, now-j.Arrived)
		c.drop(j)
		return
	}
	// The retry is charged once, however long the request waits for its engine.
	j.Repeated = false
	if reason := c.quarantineReason(j); reason != "" {
		c.refuse(j.Order.ID, reason, bbsuspect.RetryAfter, now-j.Arrived)
		c.drop(j)
		return
	}
	if now < j.NextPlacement {
		return
	}
	if now-j.OrderedAt > silenceTolerance && !c.env.Heard(j.Order.Origin) {
		// A grant would take an engine's place and rate, and most likely be used late or never.
		j.NextPlacement = now + placementInterval
		return
	}
	e, ok := c.table(service).Choose(now, c.need(j), c.supply.Engines(service), bbplacement.RateLimitOf(c.env.Service(service), c.env.Majority()))
	if !ok {
		j.NextPlacement = now + placementInterval
		return
	}
	j.Granted = e.ID
	j.GrantedAt = now
	if !j.Order.Resumable {
		c.unread[j.Order.ID] = j
	}
	delete(c.waiting, j.Order.ID)
	_, limited := c.env.Pace.Rate(e.ID)
	if limited {
		c.env.Pace.Take(e.ID)
	}
	inputs, _ := j.EngineInputs()
	c.log(bbdecision.Event{
		Number:   bbevent.EngineGranted,
		Job:      j.Order.ID,
		Endpoint: e.ID,
		Detail:   e.Version,
		Value:    now - j.Arrived,
	})
	c.out.Grants = append(c.out.Grants, bbjob.Grant{
		ID:       j.Order.ID,
		Endpoint: e.ID,
		Address:  e.Address,
		Version:  e.Version,
		Inputs:   inputs,
		Paced:    limited,
		ValidFor: grantValidity,

		CatalogVersion: j.Order.CatalogVersion,
	})
}

// need returns the requirements of a request on its engine.
func (c *Coordinator) need(j *bbprogress.Job) bbplacement.Need {
	_, bytes := j.EngineInputs()
	delete(bytes, "")
	return bbplacement.Need{
		Job:     j.Order.ID,
		Prompt:  j.Order.Prompt,
		Zone:    j.Order.Zone,
		Version: j.Order.Version,
		OtherRegion: func(zone string) bool {
			return c.env.Region(zone) != j.Order.Region
		},
		BodyBytes: j.Order.BodyBytes,
		Inputs:    bytes,
		Allowed:   c.allowed(j),
		Available: func(id string) bool { return c.env.Pace.AvailableAt(id) == 0 },
		Avoid:     j.Order.Avoid,
		Watched:   c.suspicion(j) >= bbsuspect.Watched,
		Alone:     c.suspicion(j) >= bbsuspect.Alone,
	}
}

// Progress handles a progress note of the VM that holds a request.
func (c *Coordinator) Progress(now time.Duration, n bbjob.Note) bbdecision.Output {
	j := c.jobs[n.ID]
	if j == nil {
		return c.decide(now)
	}
	t := c.table(j.Order.Service)
	if n.Started {
		t.Started(n.Endpoint, n.ID)
	}
	// The note of an engine that was given up may arrive after the order for another one.
	if n.Started && n.Endpoint == j.Granted {
		c.learned.RecordFirstToken(now, j)
		if !n.Ended {
			// A stream that has to continue on another engine has its inputs computed again: that is
			// rare, and the memory is needed.
			c.freeUsed(j)
		}
	}
	if !n.Ended {
		return c.decide(now)
	}
	t.Ended(now, n.Endpoint, n.ID, n.Outcome)
	if n.Again && n.Outcome != bbhealth.OutcomeGood {
		j.Order.Avoid = append(j.Order.Avoid, n.Endpoint)
		return c.decide(now)
	}
	c.drop(j)
	return c.decide(now)
}

// freeUsed releases the results that an engine has read.
func (c *Coordinator) freeUsed(j *bbprogress.Job) {
	for i := range j.Stages {
		c.freeStage(j, i)
	}
}

// resubmit handles an order for a known request: its origin asks for another engine after one
// refused the request or broke its stream.
func (c *Coordinator) resubmit(now time.Duration, j *bbprogress.Job, o bbjob.Order) {
	setRegions(j, o.Regions, o.CatalogVersion)
	c.updateRegions(j)
	if o.Version != "" {
		// A stream that has begun needs its version from then on.
		j.Order.Version = o.Version
	}
	if j.Granted == "" {
		c.refuseLacking(now, j)
		return
	}
	c.table(o.Service).Ended(now, j.Granted, o.ID, bbhealth.OutcomeFull)
	j.Granted = ""
	j.OrderedAt = now
	j.Order.Avoid, j.Excluded = o.Avoid, o.Avoid
	j.Order.Suspicion = o.Suspicion
	j.Repeated = o.Repeat
	if c.refuseLacking(now, j) {
		return
	}
	if o.InputsGone && !invalidateExpired(now, j) {
		// It isn't known which inputs are missing, so all are invalidated.
		j.InvalidateEngineInputs(func(*bbprogress.Piece) bool { return true })
	}
	c.schedule(j)
}

// invalidateExpired invalidates the inputs of an engine that have expired. It reports whether there
// are any.
func invalidateExpired(now time.Duration, j *bbprogress.Job) bool {
	return j.InvalidateEngineInputs(func(p *bbprogress.Piece) bool { return p.Expires > 0 && now >= p.Expires })
}
