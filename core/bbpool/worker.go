package bbpool

import (
	"math"
	"time"

	"bluebellhall/core/bbhealth"
)

// worker is the state kept for one endpoint.
type worker struct {
	calls  map[uint64]*Call
	health bbhealth.Record
	// probation is set while the endpoint has to show that it works again.
	probation probation
	// slowness is the moving average of measured over nominal call time as of slowAt; 1 is nominal.
	slowness float64
	slowAt   time.Duration
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
	current := w.currentSlowness(now)
	w.slowness = current + slownessWeight*(min(max(slowness, 0.5), 10)-current)
	w.slowAt = now
}

// currentSlowness returns the average slowness, decayed towards 1 since the last measurement.
func (w *worker) currentSlowness(now time.Duration) float64 {
	if w.slowness <= 1 {
		return w.slowness
	}
	return 1 + (w.slowness-1)*math.Exp2(-float64(now-w.slowAt)/float64(slowHalfLife))
}
