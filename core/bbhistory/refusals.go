package bbhistory

import (
	"time"
)

const (
	// rememberRefusal is how long a refused request is known: the longest time for which
	// callers of the users' sheets wait.
	refusalTTL = 20 * time.Second
	// maxRefusals bounds the refused requests that are known.
	maxRefusals = 20000
)

// Refusals knows callers that come back after a refusal by what they ask, since each
// attempt has an ID of its own.
type Refusals struct {
	// first has when each request came at first.
	first map[uint64]time.Duration
	// order has the requests in the order of their refusals.
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

// Add notes that a request was refused.
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

// Take returns when a request came at first, if it was refused then.
func (r *Refusals) FirstArrival(now time.Duration, content uint64) (time.Duration, bool) {
	r.expire(now)
	first, ok := r.first[content]
	return first, ok
}

// expire forgets refusals of long ago.
func (r *Refusals) expire(now time.Duration) {
	for len(r.order) > 0 && now-r.order[0].at > refusalTTL {
		delete(r.first, r.order[0].content)
		r.order = r.order[1:]
	}
}
