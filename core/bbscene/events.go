package bbscene

import (
	"container/heap"
	"time"
)

// event is a function scheduled at a time; events at the same time run in the order in which they were
// scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// events is a heap of scheduled events.
type events []event

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders events by time.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// at schedules a function at a time.
func (s *Scene) at(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{
		at:       at,
		sequence: s.sequence,
		run:      run,
	})
}

// after schedules a function after a delay.
func (s *Scene) after(d time.Duration, run func()) {
	s.at(s.Now+d, run)
}
