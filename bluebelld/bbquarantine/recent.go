package bbquarantine

import "time"

const (
	// goodTime is how long a run that came to a good end is remembered, at least: longer than news
	// of a loss takes to arrive.
	successTTL = 30 * time.Second
	// maxGoods bounds the runs that are remembered for one goodTime.
	maxSuccesses = 4096
)

// recent remembers contents that lately came to a good end, so that a content which many callers
// ask for isn't blamed for endpoints that were lost for another reason.
type recentSuccesses struct {
	// present and former have when the newest good run of a content began, for one goodTime each.
	current, previous map[uint64]time.Duration
	rotatedAt         time.Duration
}

// add notes a good run.
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

// of returns when the newest good run of a content began, and false if none is remembered.
func (r *recentSuccesses) latest(fingerprint uint64) (time.Duration, bool) {
	if at, ok := r.current[fingerprint]; ok {
		return at, true
	}
	at, ok := r.previous[fingerprint]
	return at, ok
}
