package bbpool

import (
	"sort"
	"time"

	"bluebellhall/core/bburgency"
)

// Add queues a group.
func (p *Pool) Add(g *Group) {
	p.groups = append(p.groups, g)
	p.waiting += len(g.Left)
	p.resultSizes[g.ResultBytes]++
}

// remove removes the queued groups that satisfy a predicate.
func (p *Pool) remove(matches func(g *Group) bool) {
	kept := p.groups[:0]
	ordered := 0
	for i, g := range p.groups {
		if matches(g) {
			p.waiting -= len(g.Left)
			if p.resultSizes[g.ResultBytes]--; p.resultSizes[g.ResultBytes] == 0 {
				delete(p.resultSizes, g.ResultBytes)
			}
			continue
		}
		kept = append(kept, g)
		if i < p.ordered {
			ordered++
		}
	}
	clear(p.groups[len(kept):])
	p.groups = kept
	p.ordered = ordered
}

// order sorts the queue by urgency. Between the refreshes of a long queue it only inserts the new groups, and
// those whose urgency has changed stay where they are.
func (p *Pool) order(now time.Duration) {
	if interval := bburgency.RefreshInterval(len(p.groups)); interval == 0 || now-p.orderedAt >= interval || p.ordered == 0 {
		p.Examined += uint64(len(p.groups))
		sort.SliceStable(p.groups, func(i, j int) bool { return p.groups[i].urgency(now) < p.groups[j].urgency(now) })
		p.ordered = len(p.groups)
		p.orderedAt = now
		p.profile = p.newProfile(now)
		return
	}
	for ; p.ordered < len(p.groups); p.ordered++ {
		g := p.groups[p.ordered]
		urgency := g.urgency(now)
		at := sort.Search(p.ordered, func(i int) bool { return p.groups[i].urgency(now) > urgency })
		copy(p.groups[at+1:p.ordered+1], p.groups[at:p.ordered])
		p.groups[at] = g
		p.Examined++
	}
}

// newProfile returns the profile of the queue.
func (p *Pool) newProfile(now time.Duration) bburgency.Profile {
	list := make([]bburgency.Pieces, 0, len(p.groups))
	for _, g := range p.groups {
		list = append(list, bburgency.Pieces{
			Urgency: g.urgency(now),
			Count:   len(g.Left),
		})
	}
	return bburgency.NewProfile(list)
}

// queuedBefore counts the queued pieces that are at least as urgent as the given urgency; in a long queue as
// of its last refresh.
func (p *Pool) queuedBefore(now, urgency time.Duration) int {
	if bburgency.RefreshInterval(len(p.groups)) > 0 {
		p.order(now)
		return p.profile.Before(urgency)
	}
	p.Examined += uint64(len(p.groups))
	queued := 0
	for _, g := range p.groups {
		if g.urgency(now) <= urgency {
			queued += len(g.Left)
		}
	}
	return queued
}

// smallestResult returns the smallest result size of all queued groups, in bytes.
func (p *Pool) smallestResult() float64 {
	smallest := -1.0
	for size := range p.resultSizes {
		if smallest < 0 || size < smallest {
			smallest = size
		}
	}
	return smallest
}
