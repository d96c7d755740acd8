package bburgency

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
