package bbbudget

import "time"

const (
	// burstTokens bounds the retries in a burst.
	burstTokens = 50
	// startTokens is the initial number of tokens, and the number up to which minPerSecond refills them.
	startTokens = 5
	// minPerSecond is the refill rate that lets a service with little traffic retry.
	minPerSecond = 1.0
	// hedgeReserve is the number of tokens that hedges must leave for retries.
	hedgeReserve = startTokens
)

// RetryBudget bounds the retries and hedges of one service to a share of its traffic, as a token bucket.
// Each first attempt adds a fraction of a token, each retry or hedge takes a whole one. The zero value
// allows none.
type RetryBudget struct {
	// Share is the allowed number of retries and hedges per first attempt, from 0 to 0.5. With 0 there
	// are none at all.
	Share float64
	// tokens is from 0 to burstTokens.
	tokens float64
	// at is the time up to which the minimum refill rate was added.
	at time.Duration
	// started is true once the initial tokens were added.
	started bool
}

// Attempt counts a first attempt.
func (b *RetryBudget) Attempt(now time.Duration) {
	b.refill(now)
	b.add(b.Share)
}

// TakeRetry reports whether a retry may be made now, and counts it if so.
func (b *RetryBudget) TakeRetry(now time.Duration) bool {
	return b.take(now, 1)
}

// TakeHedge reports whether a hedge may be made now, and counts it if so. Hedges leave a reserve for
// retries.
func (b *RetryBudget) TakeHedge(now time.Duration) bool {
	return b.take(now, 1+hedgeReserve)
}

// take takes one token if there are at least that many.
func (b *RetryBudget) take(now time.Duration, least float64) bool {
	b.refill(now)
	if b.Share <= 0 || b.tokens < least {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens of the minimum refill rate up to now.
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
