package bbpool

import (
	"slices"
	"sort"
	"time"
)

// Next returns the next call that should be sent, or nil. The caller assigns its ID with Start.
func (p *Pool) Next(now time.Duration) *Call {
	if len(p.groups) == 0 {
		return nil
	}
	p.Examined += uint64(len(p.groups))
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

// freeEndpoints returns the endpoints that may get a call now.
func (p *Pool) freeEndpoints(now time.Duration) []Endpoint {
	var free []Endpoint
	for _, e := range p.endpoints {
		if p.free(now, p.workers[e.ID]) {
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

// free reports whether a worker may get a call now.
func (p *Pool) free(now time.Duration, w *worker) bool {
	if w.health.Paused(now) || now < w.pausedUntil {
		return false
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

// groupsByLocality returns the groups in the order in which an endpoint in a failure domain should take
// them: by urgency, with groups that prefer another failure domain moved back by the transfer cost.
func (p *Pool) groupsByLocality(now time.Duration, zone string) []*Group {
	p.Examined += uint64(len(p.groups))
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

// idleIn reports whether a worker in a failure domain could take a call now.
func (p *Pool) idleIn(now time.Duration, zone string) bool {
	for _, e := range p.endpoints {
		if e.Zone == zone && p.free(now, p.workers[e.ID]) {
			return true
		}
	}
	return false
}

// addPieces moves pieces of a group into a call, as many as its batch size and the free memory allow.
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
