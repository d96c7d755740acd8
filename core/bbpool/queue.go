package bbpool

import (
	"slices"
	"sort"
	"time"
)

const (
	// smallQueue is the length up to which a queue is examined whole for each decision.
	smallQueue = 64
	// refreshPerItem spaces the examinations of a longer queue so that they take a fixed share of a
	// processor, whatever its length: some 100 ns an item.
	refreshPerItem = 40 * time.Microsecond
)

// RefreshInterval returns how long what was derived from a queue of n items is used before the queue is
// examined again. Without a bound, decisions get dearer the more requests wait, and a coordinator that is
// behind falls further behind.
func RefreshInterval(n int) time.Duration {
	if n <= smallQueue {
		return 0
	}
	return time.Duration(n) * refreshPerItem
}

// Profile tells how many pieces of a queue are at least as urgent as a given urgency. The zero value is that
// of an empty queue.
type Profile struct {
	// urgencies are in ascending order; totals has the sum of all pieces up to the same index.
	urgencies []time.Duration
	totals    []int
}

// Pieces are queued pieces of one urgency.
type Pieces struct {
	Urgency time.Duration
	Count   int
}

// NewProfile returns the profile of a queue. It sorts the list.
func NewProfile(list []Pieces) Profile {
	slices.SortFunc(list, func(a, b Pieces) int { return int(a.Urgency - b.Urgency) })
	p := Profile{
		urgencies: make([]time.Duration, 0, len(list)),
		totals:    make([]int, 0, len(list)),
	}
	sum := 0
	for _, item := range list {
		sum += item.Count
		p.urgencies = append(p.urgencies, item.Urgency)
		p.totals = append(p.totals, sum)
	}
	return p
}

// Before counts the pieces that are at least as urgent as the given urgency.
func (p Profile) Before(urgency time.Duration) int {
	n := sort.Search(len(p.urgencies), func(i int) bool { return p.urgencies[i] > urgency })
	if n == 0 {
		return 0
	}
	return p.totals[n-1]
}

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
	if interval := RefreshInterval(len(p.groups)); interval == 0 || now-p.orderedAt >= interval || p.ordered == 0 {
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
func (p *Pool) newProfile(now time.Duration) Profile {
	list := make([]Pieces, 0, len(p.groups))
	for _, g := range p.groups {
		list = append(list, Pieces{
			Urgency: g.urgency(now),
			Count:   len(g.Left),
		})
	}
	return NewProfile(list)
}

// queuedBefore counts the queued pieces that are at least as urgent as the given urgency; in a long queue as
// of its last refresh.
func (p *Pool) queuedBefore(now, urgency time.Duration) int {
	if len(p.groups) > smallQueue {
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
