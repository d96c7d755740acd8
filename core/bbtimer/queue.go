// Package bbtimer orders names by the time at which they are due.
package bbtimer

import (
	"container/heap"
	"math"
	"time"
)

// Never is later than every due time.
const Never = time.Duration(math.MaxInt64)

// Queue holds names with due times. A name may stand in it more than once. The zero
// value is empty and ready.
type Queue struct {
	entries entryHeap
}

// entry is a name with the time at which it is looked at. The sequence keeps
// entries with one due time in the order of their pushes.
type entry struct {
	name     string
	due      time.Duration
	sequence uint64
}

// entryHeap is a heap by due time.
type entryHeap struct {
	rows     []entry
	sequence uint64
}

// Len returns the number of rows, for container/heap.
func (h *entryHeap) Len() int { return len(h.rows) }

// Less orders by due time, then by push, for container/heap.
func (h *entryHeap) Less(i, j int) bool {
	if h.rows[i].due != h.rows[j].due {
		return h.rows[i].due < h.rows[j].due
	}
	return h.rows[i].sequence < h.rows[j].sequence
}

// Swap exchanges two rows, for container/heap.
func (h *entryHeap) Swap(i, j int) { h.rows[i], h.rows[j] = h.rows[j], h.rows[i] }

// Push adds a row at the end, for container/heap.
func (h *entryHeap) Push(x any) { h.rows = append(h.rows, x.(entry)) }

// Pop removes the last row, for container/heap.
func (h *entryHeap) Pop() any {
	last := len(h.rows) - 1
	e := h.rows[last]
	h.rows[last] = entry{}
	h.rows = h.rows[:last]
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
	if len(q.entries.rows) == 0 {
		return Never
	}
	return q.entries.rows[0].due
}

// Len returns the number of entries.
func (q *Queue) Len() int {
	return len(q.entries.rows)
}
