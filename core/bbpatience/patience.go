// Package bbpatience tells how long ago a caller asked first. Callers say with each try how long
// they still wait; on most routes all of them wait equally long from their first try on, so that
// one who waits for less has tried before.
package bbpatience

import "time"

const (
	// remembered is the number of tries of a route that are looked at: some seconds of a busy
	// route at one VM.
	windowSize = 32
	// tolerance is the part by which waits may differ and count as alike: the time that callers
	// take to send.
	tolerance = 0.03
	// maxRoutes bounds the table.
	maxRoutes = 10000
)

// Table has what callers of each route said last.
type Table struct {
	routes map[string]*waitWindow
}

// waits are the last that were said, oldest overwritten first.
type waitWindow struct {
	last [windowSize]time.Duration
	next int
	full bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		routes: make(map[string]*waitWindow),
	}
}

// Elapsed takes in the wait that a caller of a route said and returns how long ago it asked
// first, as far as that can be told. Usual is how long callers of the route are thought to wait
// while little is known; 0 if there is nothing to go by.
func (t *Table) Elapsed(route string, wait, usual time.Duration) time.Duration {
	w := t.routes[route]
	if w == nil {
		if len(t.routes) >= maxRoutes {
			clear(t.routes)
		}
		w = &waitWindow{}
		t.routes[route] = w
	}
	w.last[w.next] = wait
	w.next++
	if w.next == windowSize {
		w.next, w.full = 0, true
	}
	longest, alike := w.longest()
	if !w.full {
		longest, alike = usual, longest <= time.Duration((1+tolerance)*float64(usual))
	}
	if !alike || wait >= longest-time.Duration(tolerance*float64(longest)) {
		return 0
	}
	return longest - wait
}

// longest returns the longest wait and whether at least half of all are like it.
func (w *waitWindow) longest() (longest time.Duration, alike bool) {
	known := w.last[:w.next]
	if w.full {
		known = w.last[:]
	}
	for _, d := range known {
		longest = max(longest, d)
	}
	like := 0
	for _, d := range known {
		if d >= longest-time.Duration(tolerance*float64(longest)) {
			like++
		}
	}
	return longest, 2*like >= len(known)
}
