// Package bburgency orders work by when it has to start, and counts the work of a queue ahead of other work.
package bburgency

import (
	"time"
)

// Due says when work has to start.
type Due struct {
	// StartBy is the latest start for an answer that is on time, LastStart for any answer at all.
	StartBy, LastStart time.Duration
	// PriorityDelay is added to the sort key, so that less urgent requests go later.
	PriorityDelay time.Duration
}

// latePenalty is how far work that can no longer be on time is moved back: a few calls, so that it runs
// once the endpoints are no longer filled by work that can still be on time.
const latePenalty = time.Second

// Urgency returns a sort key; the lowest goes first. Work that can no longer be on time sorts after its
// last possible start, so that it doesn't delay work that can.
func (d Due) Urgency(now time.Duration) time.Duration {
	if d.Late(now) {
		return max(d.LastStart, now) + latePenalty + d.PriorityDelay
	}
	return d.StartBy + d.PriorityDelay
}

// Late reports whether the work can no longer be on time.
func (d Due) Late(now time.Duration) bool {
	return d.StartBy < now
}
