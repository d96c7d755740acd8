package bbpool

import (
	"slices"
	"sort"
	"time"
)

// Next returns the next call that should be made, or nil. The caller gives it an ID with
// Start.
func (p *Pool) Next(now time.Duration) *Call {
	if len(p.groups) == 0 {
		return nil
	}
	sort.SliceStable(p.groups, func(i, j int) bool {
		return p.groups[i].urgency(now) < p.groups[j].urgency(now)
	})
	free := p.freeEndpoints(now)
	if len(free) == 0 {
		return nil
	}
	for _, g := range p.groups {
		if e, w := p.choose(now, g, free); w != nil {
			return p.compose(now, g, e, w)
		}
	}
	return nil
}

// freeEndpoints returns those that may get a call now.
func (p *Pool) freeEndpoints(now time.Duration) []Endpoint {
	var free []Endpoint
	for _, e := range p.endpoints {
		if p.free(now, p.workers[e.ID]) {
			free = append(free, e)
		}
	}
	return free
}

// choose returns which of the free endpoints should work on a group now, if there is one.
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

// soonNear tells whether an endpoint where the inputs are is free before moving them would
// pay.
func (p *Pool) localEndpointFreeSoon(now time.Duration, g *Group) bool {
	for _, e := range p.endpoints {
		w := p.workers[e.ID]
		if e.Zone != g.Zone || w.health.Paused(now) || (g.Allowed != nil && !g.Allowed(e.Zone)) || w.currentSlowness(now) >= slowThreshold {
			continue
		}
		left := p.remaining(now, w)
		if left > 0 && left <= p.crossZoneCost(g) && len(w.calls) <= max(1, p.Spec.Slots) && p.freeMemory(w) >= g.ResultBytes {
			return true
		}
	}
	return false
}

// distance is the cost of another failure domain: a round trip, and the price of what has to
// be moved, as time.
func (p *Pool) crossZoneCost(g *Group) time.Duration {
	move := time.Duration(g.MoveBytes / 1e6 * float64(moveCost))
	return min(p.Spec.CallTime, roundTrip+move)
}

// cost is the time that a worker would take for a usual call, with failures counted.
func (p *Pool) cost(now time.Duration, w *worker) time.Duration {
	d := float64(p.Duration(p.Spec.Batch/2)) * w.currentSlowness(now)
	d *= 1 + 3*w.health.Failures(now)
	return time.Duration(d) + p.remaining(now, w)
}

// soonerElsewhere tells whether the other endpoints would have done all waiting work before
// a slow one is done with a call.
func (p *Pool) othersFinishSooner(now time.Duration, g *Group, slow *worker) bool {
	var sooner time.Duration
	perSecond := 0.0
	for _, e := range p.endpoints {
		w := p.workers[e.ID]
		if w == slow || w.health.Paused(now) || (g.Allowed != nil && !g.Allowed(e.Zone)) {
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

// free tells whether a worker may get a call now.
func (p *Pool) free(now time.Duration, w *worker) bool {
	if w.health.Paused(now) || now < w.pausedUntil {
		return false
	}
	if len(w.calls) < max(1, p.Spec.Slots) {
		return true
	}
	return len(w.calls) == max(1, p.Spec.Slots) && p.Spec.Queue > 0 && p.remaining(now, w) <= p.Lead && !w.late(now)
}

// compose fills a call: first the chosen group, then others in the order of their
// urgency. Groups that don't fit whole are split only where their results are small.
func (p *Pool) compose(now time.Duration, first *Group, e Endpoint, w *worker) *Call {
	c := &Call{
		Service:  p.Service,
		Endpoint: e.ID,
		Address:  e.Address,
		Sent:     now,
	}
	p.addPieces(now, c, first, w)
	taken := []*Group{first}
	for _, g := range p.groupsByLocality(now, e.Zone) {
		space := p.Spec.Batch - len(c.Pieces)
		if space <= 0 {
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
		p.addPieces(now, c, g, w)
		taken = append(taken, g)
	}
	kept := p.groups[:0]
	for _, g := range p.groups {
		if len(g.Left) > 0 {
			kept = append(kept, g)
		}
	}
	clear(p.groups[len(kept):])
	p.groups = kept
	return c
}

// nearFirst returns the groups in the order in which an endpoint of a failure domain should
// take them: those with inputs or engines elsewhere go a little later.
func (p *Pool) groupsByLocality(now time.Duration, zone string) []*Group {
	list := append([]*Group(nil), p.groups...)
	key := func(g *Group) time.Duration {
		u := g.urgency(now)
		if g.Zone != "" && g.Zone != zone {
			u += p.crossZoneCost(g)
		}
		return u
	}
	sort.SliceStable(list, func(i, j int) bool { return key(list[i]) < key(list[j]) })
	return list
}

// idleIn tells whether a worker in a failure domain could take a call now.
func (p *Pool) idleIn(now time.Duration, zone string) bool {
	for _, e := range p.endpoints {
		if e.Zone == zone && p.free(now, p.workers[e.ID]) {
			return true
		}
	}
	return false
}

// take moves pieces of a group into a call, as many as there is space and room for.
func (p *Pool) addPieces(now time.Duration, c *Call, g *Group, w *worker) {
	n := min(len(g.Left), p.Spec.Batch-len(c.Pieces))
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
		g.Started = true
	}
}
