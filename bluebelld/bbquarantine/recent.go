package bbquarantine

import (
	"time"

	"bluebellhall/core/bbsuspect"
)

const (
	// successTTL is the minimum time that a successful run of content is remembered: longer than reports of a
	// loss take to arrive. partSuccessTTL is that of parts of prompts.
	successTTL     = 30 * time.Second
	partSuccessTTL = bbsuspect.PartImmunity
	// maxSuccesses bounds the fingerprints that are remembered per successTTL or partSuccessTTL.
	maxSuccesses = 4096
)

// recentSuccesses remembers recent successful runs, so that content which many callers request isn't
// blamed for endpoints that were lost for another reason.
type recentSuccesses struct {
	// ttl is the minimum time that a run is remembered.
	ttl time.Duration
	// current and previous map fingerprints to the start of their newest successful run. Each covers one ttl.
	current, previous map[uint64]time.Duration
	rotatedAt         time.Duration
}

// add records a successful run.
func (r *recentSuccesses) add(now time.Duration, fingerprint uint64, began time.Duration) {
	if r.current == nil || now-r.rotatedAt >= r.ttl {
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
