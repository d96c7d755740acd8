package bbquarantine

import "time"

const (
	// goodTime is how long a run that came to a good end is remembered, at least: longer than news
	// of a loss takes to arrive.
	goodTime = 30 * time.Second
	// maxGoods bounds the runs that are remembered for one goodTime.
	maxGoods = 4096
)

// recent remembers contents that lately came to a good end, so that a content which many callers
// ask for isn't blamed for endpoints that were lost for another reason.
type recent struct {
	// present and former have when the newest good run of a content began, for one goodTime each.
	present, former map[uint64]time.Duration
	since           time.Duration
}

// add notes a good run.
func (r *recent) add(now time.Duration, fingerprint uint64, began time.Duration) {
	if r.present == nil || now-r.since >= goodTime {
		r.former = r.present
		r.present = make(map[uint64]time.Duration)
		r.since = now
	}
	if at, ok := r.present[fingerprint]; ok {
		r.present[fingerprint] = max(at, began)
		return
	}
	if len(r.present) < maxGoods {
		r.present[fingerprint] = began
	}
}

// of returns when the newest good run of a content began, and false if none is remembered.
func (r *recent) of(fingerprint uint64) (time.Duration, bool) {
	if at, ok := r.present[fingerprint]; ok {
		return at, true
	}
	at, ok := r.former[fingerprint]
	return at, ok
}
