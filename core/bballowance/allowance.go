// Package bballowance bounds the repeated calls to a service to a fraction of the requests for it, so
// that failures don't multiply the load.
package bballowance

import "time"

// sliceCount is the number of slices of the sliding window.
const sliceCount = 10

// safetyFactor is the fraction of the allowance that is used: each VM counts its own window, and a call
// may arrive later than it was counted.
const safetyFactor = 0.8

// Window counts requests and repeated calls of one service over a sliding window of time. The zero value
// is not ready for use.
type Window struct {
	// Span is the length of the window; positive.
	Span time.Duration
	// Ratio is the allowed number of repeats per request.
	Ratio float64
	// Slack is the number of repeats that this VM may make in a window regardless of the requests.
	Slack float64
	// requests and repeats are counts per slice of the window, the newest at head.
	requests [sliceCount]float64
	repeats  [sliceCount]float64
	head     int
	// at is the start of the newest slice.
	at time.Duration
}

// Request counts a request for the service.
func (w *Window) Request(now time.Duration) {
	w.advance(now)
	w.requests[w.head]++
}

// Take reports whether n more repeats may be made now, and counts them if so.
func (w *Window) Take(now time.Duration, n int) bool {
	if float64(n) > w.Left(now) {
		return false
	}
	w.repeats[w.head] += float64(n)
	return true
}

// Left returns how many repeats may be made now; it may be negative.
func (w *Window) Left(now time.Duration) float64 {
	w.advance(now)
	requests, repeats := 0.0, 0.0
	for i := range sliceCount {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return safetyFactor*(w.Ratio*requests+w.Slack) - repeats
}

// advance moves the window forward to now and clears the slices that expired.
func (w *Window) advance(now time.Duration) {
	slice := w.Span / sliceCount
	for i := 0; now-w.at >= slice; i++ {
		if i >= sliceCount {
			w.at = now
			return
		}
		w.at += slice
		w.head = (w.head + 1) % sliceCount
		w.requests[w.head] = 0
		w.repeats[w.head] = 0
	}
}
