package bbquarantine

import "time"

const (
	// successTTL is the minimum time that a successful run is remembered: longer than reports of a loss
	// take to arrive.
	successTTL = 30 * time.Second
	// maxSuccesses bounds the fingerprints that are remembered per successTTL.
	maxSuccesses = 4096
)

// recentSuccesses remembers recent successful runs, so that content which many callers request isn't
// blamed for endpoints that were lost for another reason.
type recentSuccesses struct {
	// current and previous map fingerprints to the start of their newest successful run. Each covers one
	// successTTL.
	current, previous map[uint64]time.Duration
	rotatedAt         time.Duration
}

// add records a successful run.
func (r *recentSuccesses) add(now time.Duration, fingerprint uint64, began time.Duration) {
	if r.current == nil || now-r.rotatedAt >= successTTL {
		r.previous = r.current
		r.current = make(map[uint64]time.Duration)
		r.rotatedAt = now
	}
	if at, ok := r.current[fingerprint]; ok {
		r.current[fingerprint] = max(at, began)
		return
	}
	if len(r.current) < maxSuccesses {
		r.current[fingerprint] = began
	}
}

// latest returns the start of the newest successful run of a fingerprint; false if none is remembered.
func (r *recentSuccesses) latest(fingerprint uint64) (time.Duration, bool) {
	if at, ok := r.current[fingerprint]; ok {
		return at, true
	}
	at, ok := r.previous[fingerprint]
	return at, ok
}
