package bbhistory

import (
	"time"
)

const (
	// refusalTTL is how long a refused request is remembered: the longest time for which
	// callers in the deployment specifications wait.
	refusalTTL = 20 * time.Second
	// maxRefusals bounds the refused requests that are remembered.
	maxRefusals = 20000
)

// Refusals recognizes callers that retry after a refusal by the content of their request, since
// each attempt has a new ID.
type Refusals struct {
	// first is when each request was first refused, by content.
	first map[uint64]time.Duration
	// order has the requests in the order of their refusals, for expiry.
	order []refusal
}

// refusal is one refused request.
type refusal struct {
	content uint64
	at      time.Duration
}

// NewRefusals returns an empty table.
func NewRefusals() *Refusals {
	return &Refusals{
		first: make(map[uint64]time.Duration),
	}
}

// Add records that a request was refused.
func (r *Refusals) Add(now time.Duration, content uint64) {
	r.expire(now)
	if _, ok := r.first[content]; ok || len(r.order) >= maxRefusals {
		return
	}
	r.first[content] = now
	r.order = append(r.order, refusal{
		content: content,
		at:      now,
	})
}

// FirstArrival returns when a request with this content was first refused, which is when it arrived.
func (r *Refusals) FirstArrival(now time.Duration, content uint64) (time.Duration, bool) {
	r.expire(now)
	first, ok := r.first[content]
	return first, ok
}

// expire removes refusals older than refusalTTL.
func (r *Refusals) expire(now time.Duration) {
	for len(r.order) > 0 && now-r.order[0].at > refusalTTL {
		delete(r.first, r.order[0].content)
		r.order = r.order[1:]
	}
}
