// Package bbtimer implements a timer queue of names.
package bbtimer

import (
	"container/heap"
	"math"
	"time"
)

// Never is later than every due time.
const Never = time.Duration(math.MaxInt64)

// Queue holds names with due times. It may hold a name more than once. The zero value is
// empty and ready to use.
type Queue struct {
	entries entryHeap
}

// entry is a name with its due time. The sequence keeps entries with the same due time in
// the order in which they were pushed.
type entry struct {
	name     string
	due      time.Duration
	sequence uint64
}

// entryHeap is a heap by due time.
type entryHeap struct {
	entries  []entry
	sequence uint64
}

// Len returns the number of entries, for container/heap.
func (h *entryHeap) Len() int { return len(h.entries) }

// Less orders by due time, then by push, for container/heap.
func (h *entryHeap) Less(i, j int) bool {
	if h.entries[i].due != h.entries[j].due {
		return h.entries[i].due < h.entries[j].due
	}
	return h.entries[i].sequence < h.entries[j].sequence
}

// Swap exchanges two entries, for container/heap.
func (h *entryHeap) Swap(i, j int) { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }

// Push adds an entry at the end, for container/heap.
func (h *entryHeap) Push(x any) { h.entries = append(h.entries, x.(entry)) }

// Pop removes the last entry, for container/heap.
func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = entry{}
	h.entries = h.entries[:last]
	return e
}

// Push adds a name.
func (q *Queue) Push(name string, due time.Duration) {
	q.entries.sequence++
	heap.Push(&q.entries, entry{
		name:     name,
		due:      due,
		sequence: q.entries.sequence,
	})
}

// PopDue removes and returns the earliest name if it is due.
func (q *Queue) PopDue(now time.Duration) (string, bool) {
	if q.Next() > now {
		return "", false
	}
	return heap.Pop(&q.entries).(entry).name, true
}

// Next returns the earliest due time, or Never.
func (q *Queue) Next() time.Duration {
	if len(q.entries.entries) == 0 {
		return Never
	}
	return q.entries.entries[0].due
}

// Len returns the number of entries.
func (q *Queue) Len() int {
	return len(q.entries.entries)
}
