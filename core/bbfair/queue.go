// Package bbfair implements a bounded queue that shares service fairly between client
// accounts: strict priority between levels, start-time fair queueing by weight
// within a level.
//
// Two rules bound the strictness. A level that has waited while StarvationLimit items
// of higher levels were served is served next. And when the queue is full, the newest
// item of an account that holds far more than its share of the queue is evicted for an
// account that holds less than its own.
package bbfair

import (
	"container/heap"
	"time"
)

// Levels is the number of priority levels; 0 is the highest.
const Levels = 4

const (
	// StarvationLimit is how many items of higher levels may be served while a level waits.
	StarvationLimit = 16
	// evictionFactor is the multiple of its share of the queue above which an account
	// loses items to others when the queue is full.
	evictionFactor = 1.25
	// reserveDivisor is the inverse of the part of the queue that a level keeps against
	// items of higher levels.
	reserveDivisor = 16
	// minIdle is the minimum of the bound on idle flows.
	minIdle = 64
	// minCost is the cost of items that set none.
	minCost = 1
)

// Item is one unit of work in the queue.
type Item struct {
	// Key is unique in the queue.
	Key uint64
	// Account is the client account; items of one account and priority are served in order.
	Account string
	// Priority is from 0, the highest, to Levels-1; other values are clamped.
	Priority int
	// Weight is the account's share relative to others, at least 1.
	Weight int
	// Cost is the expected work in any unit that all items share; below 1 counts as 1.
	Cost float64
	// Deadline is the time by which the item must have been popped; 0 means none.
	Deadline time.Duration
}

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue struct {
	// limit bounds the items in the queue, including expired ones.
	limit int
	// entries has every item that may still be popped, by key.
	entries map[uint64]*entry
	// flows has the flows with items, and idle ones that are ahead of their level's virtual
	// time.
	flows map[flowKey]*flow
	// idle counts the flows without items; it is at most the larger of limit and minIdle.
	idle int
	// levels holds the flows with items by priority.
	levels [Levels]level
	// due orders the entries that have a deadline.
	due dueHeap
	// expired has items past their deadline that Expire has not yet returned.
	expired []Item
}

// entry is one item in the queue.
type entry struct {
	item Item
	flow *flow
	// previous and next link the items of a flow, oldest first.
	previous, next *entry
	// dueIndex is the position in the heap of deadlines, -1 without a deadline.
	dueIndex int
}

// flowKey identifies a flow.
type flowKey struct {
	account  string
	priority int
}

// flow is the queue of one account's items of one priority.
type flow struct {
	key flowKey
	// first is the oldest item and last the newest; both nil when idle.
	first, last *entry
	// count is the number of items.
	count int
	// weight is that of the newest item pushed, at least 1.
	weight int
	// start is the start tag of the first item, in units of cost divided by weight; for an
	// idle flow it is the finish tag of the last item served.
	start float64
	// index is the position in the level's heap, -1 when idle.
	index int
}

// level has the flows of one priority.
type level struct {
	// flows is a heap by start tag.
	flows flowHeap
	// virtualTime is the largest start tag served.
	virtualTime float64
	// skippedFor counts the items of higher levels served while this level had items waiting.
	skippedFor int
	// count is the number of items, weight the sum of the weights of flows with items.
	count, weight int
}

// New returns an empty queue that holds at most limit items, at least 1.
func New(limit int) *Queue {
	return &Queue{
		limit:   max(limit, 1),
		entries: map[uint64]*entry{},
		flows:   map[flowKey]*flow{},
	}
}

// Len returns the number of items in the queue, including expired ones not yet collected.
func (q *Queue) Len() int {
	return len(q.entries) + len(q.expired)
}

// Push adds an item. When the queue is full it may evict an item by the rules of the
// package comment; evicted items are returned and never popped. When ok is false the item
// was not added: there is no room for it, its key is already in the queue, or its deadline
// has passed.
func (q *Queue) Push(now time.Duration, item Item) (evicted []Item, ok bool) {
	item = clamped(item)
	q.collect(now)
	if q.holds(item.Key) || isDue(now, item.Deadline) {
		return nil, false
	}
	if q.Len() >= q.limit {
		victim := q.victim(item)
		if victim == nil {
			return nil, false
		}
		evicted = append(evicted, victim.item)
		q.unlink(victim)
	}
	q.link(item)
	return evicted, true
}

// Pop removes and returns the next item to serve, or returns false when there is none.
// An item past its deadline is never returned; Expire returns it.
func (q *Queue) Pop(now time.Duration) (Item, bool) {
	q.collect(now)
	next, ok := q.nextLevel()
	if !ok {
		return Item{}, false
	}
	q.countSkipped(next)
	l := &q.levels[next]
	f := l.flows[0]
	l.virtualTime = max(l.virtualTime, f.start)
	item := f.first.item
	f.start += item.Cost / float64(item.Weight)
	heap.Fix(&l.flows, f.index)
	q.unlink(f.first)
	return item, true
}

// Remove removes an item and returns whether it was in the queue.
func (q *Queue) Remove(key uint64) bool {
	if e, held := q.entries[key]; held {
		q.unlink(e)
		return true
	}
	for i, item := range q.expired {
		if item.Key == key {
			q.expired = append(q.expired[:i], q.expired[i+1:]...)
			return true
		}
	}
	return false
}

// Expire removes and returns the items whose deadline has passed, earliest first.
func (q *Queue) Expire(now time.Duration) []Item {
	q.collect(now)
	expired := q.expired
	q.expired = nil
	return expired
}

// NextDeadline returns the earliest deadline in the queue, or false when there is none.
func (q *Queue) NextDeadline() (time.Duration, bool) {
	if len(q.expired) > 0 {
		return q.expired[0].Deadline, true
	}
	if len(q.due) == 0 {
		return 0, false
	}
	return q.due[0].item.Deadline, true
}

// holds returns whether an item is in the queue, expired or not.
func (q *Queue) holds(key uint64) bool {
	if _, held := q.entries[key]; held {
		return true
	}
	for _, item := range q.expired {
		if item.Key == key {
			return true
		}
	}
	return false
}

// collect moves the items past their deadline to expired.
func (q *Queue) collect(now time.Duration) {
	for len(q.due) > 0 && isDue(now, q.due[0].item.Deadline) {
		e := q.due[0]
		q.expired = append(q.expired, e.item)
		q.unlink(e)
	}
}

// nextLevel returns the level to serve next: the one skipped most often, if any has reached
// StarvationLimit, else the highest one with items.
func (q *Queue) nextLevel() (int, bool) {
	highest, starved := -1, -1
	for i := range q.levels {
		l := &q.levels[i]
		if l.count == 0 {
			continue
		}
		if highest < 0 {
			highest = i
		}
		if l.skippedFor >= StarvationLimit && (starved < 0 || l.skippedFor > q.levels[starved].skippedFor) {
			starved = i
		}
	}
	if starved >= 0 {
		return starved, true
	}
	return highest, highest >= 0
}

// countSkipped updates the skip counts of all levels when an item of level served is popped.
func (q *Queue) countSkipped(served int) {
	q.levels[served].skippedFor = 0
	for i := served + 1; i < Levels; i++ {
		if q.levels[i].count > 0 {
			q.levels[i].skippedFor++
		}
	}
}

func clamped(item Item) Item {
	item.Priority = min(max(item.Priority, 0), Levels-1)
	item.Weight = max(item.Weight, 1)
	if !(item.Cost >= minCost) {
		item.Cost = minCost
	}
	return item
}

func isDue(now, deadline time.Duration) bool {
	return deadline != 0 && deadline < now
}
