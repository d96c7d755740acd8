package bbbudget

import "time"

const (
	// burstTokens bounds the retries that may follow each other at once.
	burstTokens = 50
	// startTokens is what a new budget holds.
	startTokens = 5
	// minPerSecond lets a service with little traffic retry.
	minPerSecond = 1.0
	// hedgeReserve is what hedges leave for retries.
	hedgeReserve = startTokens
)

// RetryBudget bounds the retries and hedges of one service to a share of its traffic.
// Every first attempt adds a part of a token, every retry or hedge takes a whole one.
// The zero value allows none.
type RetryBudget struct {
	// Share is the part of the traffic that may be added, from 0 to 0.5. With 0 there
	// are no retries at all.
	Share float64
	// tokens is from 0 to burstTokens.
	tokens float64
	// at is the time up to which the minimum rate was added.
	at time.Duration
	// started is true once the first tokens were given.
	started bool
}

// Attempt counts a first attempt.
func (b *RetryBudget) Attempt(now time.Duration) {
	b.refill(now)
	b.add(b.Share)
}

// TakeRetry tells whether a retry may be made now, and counts it.
func (b *RetryBudget) TakeRetry(now time.Duration) bool {
	return b.take(now, 1)
}

// TakeHedge tells whether a hedge may be made now, and counts it. Hedges leave a
// reserve for retries.
func (b *RetryBudget) TakeHedge(now time.Duration) bool {
	return b.take(now, 1+hedgeReserve)
}

// take takes one token if there are at least so many.
func (b *RetryBudget) take(now time.Duration, least float64) bool {
	b.refill(now)
	if b.Share <= 0 || b.tokens < least {
		return false
	}
	b.tokens--
	return true
}

// refill adds the minimum rate up to now.
func (b *RetryBudget) refill(now time.Duration) {
	if !b.started {
		b.started = true
		b.at = now
		b.tokens = startTokens
		return
	}
	if now <= b.at {
		return
	}
	if b.tokens < startTokens {
		b.tokens = min(startTokens, b.tokens+minPerSecond*(now-b.at).Seconds())
	}
	b.at = now
}

func (b *RetryBudget) add(tokens float64) {
	b.tokens = min(burstTokens, b.tokens+tokens)
}
