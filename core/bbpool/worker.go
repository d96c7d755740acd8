package bbpool

import (
	"time"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbspeed"
)

// worker is the state kept for one endpoint.
type worker struct {
	calls  map[uint64]*Call
	health bbhealth.Record
	// probation is set while the endpoint has to show that it works again.
	probation probation
	// born is the start of the endpoint's process in Unix milliseconds.
	born int64
	// speed is the estimated slowness, as a multiple of the nominal call time.
	speed bbspeed.Estimate
	// pausedUntil is the end of the backoff after the endpoint had no place for a call.
	pausedUntil time.Duration
	// results has the size and expiry of the results in the endpoint's memory, by handle.
	results map[string]result
	// unknown counts how often the endpoint had less memory than expected.
	unknown int
	// used is the memory taken by results and reserved for calls in progress, in bytes.
	used float64
}

type result struct {
	bytes   float64
	expires time.Duration
}

// late reports whether a call in progress is past its expected end by more than lateSlack: the delay
// of a call queued behind it would be unpredictable.
func (w *worker) late(now time.Duration) bool {
	for _, c := range w.calls {
		if now > c.Expected+lateSlack {
			return true
		}
	}
	return false
}

// observeSlowness adds the measured slowness of a call to the moving average.
func (w *worker) observeSlowness(now time.Duration, slowness float64) {
	w.speed.Measure(now, slowness, slownessWeight)
}

// currentSlowness returns the estimated slowness.
func (w *worker) currentSlowness(now time.Duration) float64 {
	return w.speed.Current(now)
}
