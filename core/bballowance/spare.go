package bballowance

import "time"

// spareReserve is the fraction of the allowance that TakeSpare leaves for repeats that Take permits.
const spareReserve = 0.5

// Spare returns how many repeats of lower importance may be made now: what is left above a reserve, which is
// half of the allowance and at least the part of it that doesn't depend on the requests. It may be negative.
func (w *Window) Spare(now time.Duration) float64 {
	left := w.Left(now)
	requests := 0.0
	for _, n := range w.requests {
		requests += n
	}
	fixed := safetyFactor * w.Slack
	return left - max(fixed, spareReserve*(safetyFactor*w.Ratio*requests+fixed))
}

// TakeSpare reports whether one more repeat of lower importance may be made now, and counts it if so.
func (w *Window) TakeSpare(now time.Duration) bool {
	return w.Spare(now) >= 1 && w.Take(now, 1)
}
