package bbpool

import (
	"math"
	"time"

	"bluebellhall/core/bbhealth"
)

// worker is what is remembered of an endpoint.
type worker struct {
	calls  map[uint64]*Call
	health bbhealth.Record
	// slowness is the learned ratio of measured to nominal time as of slowAt; 1 is nominal.
	slowness float64
	slowAt   time.Duration
	// pausedUntil is set when the endpoint had no place.
	pausedUntil time.Duration
	// results has the size and end of life of results that take room.
	results map[string]result
	// unknown counts the times that the endpoint had less room than expected.
	unknown int
	// used is the room taken by results and by calls in progress, in bytes.
	used float64
}

type result struct {
	bytes   float64
	expires time.Duration
}

// late tells whether a call in progress should have been answered a while ago: a call behind
// it would wait for nobody knows how long.
func (w *worker) late(now time.Duration) bool {
	for _, c := range w.calls {
		if now > c.Expected+lateSlack {
			return true
		}
	}
	return false
}

// learn takes in the measured slowness of a call.
func (w *worker) observeSlowness(now time.Duration, slowness float64) {
	present := w.currentSlowness(now)
	w.slowness = present + slownessWeight*(min(max(slowness, 0.5), 10)-present)
	w.slowAt = now
}

// slow returns the learned slowness, with what was long ago forgotten in part.
func (w *worker) currentSlowness(now time.Duration) float64 {
	if w.slowness <= 1 {
		return w.slowness
	}
	return 1 + (w.slowness-1)*math.Exp2(-float64(now-w.slowAt)/float64(slowHalfLife))
}
