// Package bbpatience estimates how long ago a caller made its first attempt. Callers state with each
// attempt how much longer they will wait. On most routes all callers have the same total timeout, so
// a caller that states a shorter wait than the others is retrying.
package bbpatience

import "time"

const (
	// windowSize is the number of recent attempts of a route that are compared: some seconds of
	// traffic of a busy route at one VM.
	windowSize = 32
	// tolerance is the relative difference up to which two waits count as equal. It covers the time
	// that callers take to send.
	tolerance = 0.03
	// maxRoutes bounds the number of routes in the table.
	maxRoutes = 10000
)

// Table holds the recently stated waits of each route.
type Table struct {
	routes map[string]*waitWindow
}

// waitWindow is a ring buffer of the last windowSize waits of a route.
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

// Elapsed records the wait stated by a caller of a route and returns the estimated time since its
// first attempt, or 0 if that can't be estimated. Usual is the assumed timeout of the route's callers
// until the window is full; 0 if none is known.
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
	longest, uniform := w.longest()
	if !w.full {
		longest, uniform = usual, longest <= time.Duration((1+tolerance)*float64(usual))
	}
	if !uniform || wait >= longest-time.Duration(tolerance*float64(longest)) {
		return 0
	}
	return longest - wait
}

// longest returns the longest wait of the window and whether at least half of all waits equal it
// within the tolerance.
func (w *waitWindow) longest() (longest time.Duration, uniform bool) {
	waits := w.last[:w.next]
	if w.full {
		waits = w.last[:]
	}
	for _, d := range waits {
		longest = max(longest, d)
	}
	equal := 0
	for _, d := range waits {
		if d >= longest-time.Duration(tolerance*float64(longest)) {
			equal++
		}
	}
	return longest, 2*equal >= len(waits)
}
