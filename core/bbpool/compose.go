package bbpool

import (
	"slices"
	"time"
)

// Next returns the next call that should be sent, or nil. The caller assigns its ID with Start.
func (p *Pool) Next(now time.Duration) *Call {
	if len(p.groups) == 0 {
		return nil
	}
	free := p.freeEndpoints(now)
	if len(free) == 0 {
		return nil
	}
	p.order(now)
	for _, g := range p.groups {
		p.Examined++
		if e, w := p.choose(now, g, free); w != nil {
			return p.compose(now, g, e, w)
		}
	}
	return nil
}

// freeEndpoints returns the endpoints that may get a call now and have memory for a queued group.
func (p *Pool) freeEndpoints(now time.Duration) []Endpoint {
	var free []Endpoint
	smallest := p.smallestResult()
	for _, e := range p.endpoints {
		if w := p.workers[e.ID]; p.freeMemory(w) >= smallest && p.free(now, w) {
			free = append(free, e)
		}
	}
	return free
}

// choose returns the free endpoint with the lowest cost for a group, or a nil worker if the group
// should wait.
func (p *Pool) choose(now time.Duration, g *Group, free []Endpoint) (Endpoint, *worker) {
	var best Endpoint
	var chosen *worker
	var bestCost time.Duration
	for _, e := range free {
		w := p.workers[e.ID]
		if g.Allowed != nil && !g.Allowed(e.Zone) {
			continue
		}
		if p.freeMemory(w) < g.ResultBytes {
			continue
		}
		cost := p.cost(now, w)
		if w.probation.active() {
			cost += p.Duration(p.Spec.Batch)
		}
		if g.Zone != "" && g.Zone != e.Zone {
			cost += p.crossZoneCost(g)
		}
		if chosen == nil || cost < bestCost {
			best, chosen, bestCost = e, w, cost
		}
	}
	if chosen == nil || (chosen.currentSlowness(now) >= slowThreshold && p.othersFinishSooner(now, g, chosen)) {
		return Endpoint{}, nil
	}
	if g.Zone != "" && best.Zone != g.Zone && p.localEndpointFreeSoon(now, g) {
		return Endpoint{}, nil
	}
	return best, chosen
}

// localEndpointFreeSoon reports whether an endpoint in the group's failure domain becomes free in less
// time than it costs to move the data.
func (p *Pool) localEndpointFreeSoon(now time.Duration, g *Group) bool {
	for _, e := range p.endpoints {
		w := p.workers[e.ID]
		if e.Zone != g.Zone || w.health.Paused(now) || w.probation.active() || (g.Allowed != nil && !g.Allowed(e.Zone)) || w.currentSlowness(now) >= slowThreshold {
			continue
		}
		left := p.remaining(now, w)
		if left > 0 && left <= p.crossZoneCost(g) && len(w.calls) <= max(1, p.Spec.Slots) && p.freeMemory(w) >= g.ResultBytes {
			return true
		}
	}
	return false
}

// crossZoneCost is the cost of using another failure domain, as time: a round trip and the transfer of the
// data that has to be moved, but at most the fixed part of a call's time.
func (p *Pool) crossZoneCost(g *Group) time.Duration {
	move := time.Duration(g.MoveBytes / 1e6 * float64(moveCost))
	return min(p.Spec.CallTime, roundTrip+move)
}

// cost is the time until a worker would finish a half-full call, increased by its recent failures.
func (p *Pool) cost(now time.Duration, w *worker) time.Duration {
	d := float64(p.Duration(p.Spec.Batch/2)) * w.currentSlowness(now)
	d *= 1 + 3*w.health.Failures(now)
	return time.Duration(d) + p.remaining(now, w)
}

// othersFinishSooner reports whether the other endpoints would finish all queued work before a slow
// endpoint finishes one call.
func (p *Pool) othersFinishSooner(now time.Duration, g *Group, slow *worker) bool {
	var sooner time.Duration
	perSecond := 0.0
	for _, e := range p.endpoints {
		w := p.workers[e.ID]
		if w == slow || w.health.Paused(now) || w.probation.active() || (g.Allowed != nil && !g.Allowed(e.Zone)) {
			continue
		}
		if cost := p.cost(now, w); perSecond == 0 || cost < sooner {
			sooner = cost
		}
		perSecond += float64(p.Spec.Batch) / (p.Duration(p.Spec.Batch).Seconds() * w.currentSlowness(now))
	}
	if perSecond == 0 {
		return false
	}
	sooner += time.Duration(float64(p.Waiting()) / perSecond * float64(time.Second))
	return sooner < p.cost(now, slow)
}

// free reports whether a worker may get a call now.
func (p *Pool) free(now time.Duration, w *worker) bool {
	if w.health.Paused(now) || now < w.pausedUntil {
		return false
	}
	if w.probation.active() {
		return p.freeOnProbation(now, w)
	}
	if len(w.calls) < max(1, p.Spec.Slots) {
		return true
	}
	return len(w.calls) == max(1, p.Spec.Slots) && p.Spec.Queue > 0 && p.remaining(now, w) <= p.Lead && !w.late(now)
}

// compose fills a call: first the chosen group, then others by urgency and locality. Groups that don't
// fit whole are split only if their results are small.
func (p *Pool) compose(now time.Duration, first *Group, e Endpoint, w *worker) *Call {
	c := &Call{
		Service:  p.Service,
		Endpoint: e.ID,
		Address:  e.Address,
		Sent:     now,
	}
	bound, single := p.callBound(now, w, first)
	p.addPieces(now, c, first, w, bound)
	taken := []*Group{first}
	for _, g := range p.candidates(now, e.Zone) {
		space := bound - len(c.Pieces)
		if space <= 0 || single {
			break
		}
		if g == first || len(g.Left) == 0 || slices.ContainsFunc(taken, g.mustSeparate) || (g.Allowed != nil && !g.Allowed(e.Zone)) {
			continue
		}
		if len(g.Left) > space && g.ResultBytes >= splitBytes {
			continue
		}
		if g.Zone != "" && g.Zone != e.Zone && g.ResultBytes >= splitBytes && p.idleIn(now, g.Zone) {
			continue
		}
		p.addPieces(now, c, g, w, bound)
		taken = append(taken, g)
	}
	// A group that is left in part is queued anew, since its urgency has changed.
	p.remove(func(g *Group) bool { return slices.Contains(taken, g) })
	for _, g := range taken {
		if len(g.Left) > 0 {
			p.Add(g)
		}
	}
	return c
}

// candidateBatches is the number of full calls for which candidates are taken from the queue.
const candidateBatches = 4

// candidates returns groups in the order in which an endpoint in a failure domain should take them: by
// urgency, with groups that prefer another failure domain moved back by the transfer cost. Of a long queue
// they are the first few calls' worth, and all that the transfer cost might move before these.
func (p *Pool) candidates(now time.Duration, zone string) []*Group {
	type candidate struct {
		group *Group
		key   time.Duration
	}
	var list []candidate
	var last time.Duration
	pieces := 0
	for _, g := range p.groups {
		urgency := g.urgency(now)
		enough := pieces >= candidateBatches*p.Spec.Batch
		if enough && urgency > last+p.Spec.CallTime {
			break
		}
		if !enough {
			pieces += len(g.Left)
			last = urgency
		}
		key := urgency
		if g.Zone != "" && g.Zone != zone {
			key += p.crossZoneCost(g)
		}
		list = append(list, candidate{
			group: g,
			key:   key,
		})
	}
	p.Examined += uint64(len(list))
	slices.SortStableFunc(list, func(a, b candidate) int { return int(a.key - b.key) })
	groups := make([]*Group, 0, len(list))
	for _, c := range list {
		groups = append(groups, c.group)
	}
	return groups
}

// idleIn reports whether a worker in a failure domain could take a call now.
func (p *Pool) idleIn(now time.Duration, zone string) bool {
	for _, e := range p.endpoints {
		if w := p.workers[e.ID]; e.Zone == zone && !w.probation.active() && p.free(now, w) {
			return true
		}
	}
	return false
}

// addPieces moves pieces of a group into a call, as many as a bound on its pieces and the free memory allow.
func (p *Pool) addPieces(now time.Duration, c *Call, g *Group, w *worker, bound int) {
	n := min(len(g.Left), bound-len(c.Pieces))
	if g.ResultBytes > 0 {
		n = min(n, int((p.freeMemory(w)-c.Bytes)/g.ResultBytes))
	}
	for range max(0, n) {
		c.Pieces = append(c.Pieces, Piece{
			Job:   g.Job,
			Stage: g.Stage,
			Piece: g.Left[0],
		})
		c.Limits = append(c.Limits, g.Limit-now)
		c.Sizes = append(c.Sizes, g.ResultBytes)
		c.Bytes += g.ResultBytes
		g.Left = g.Left[1:]
		p.waiting--
		g.Started = true
	}
}
