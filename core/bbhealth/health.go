// Package bbhealth scores an endpoint by the outcomes of its recent calls and backs off from failing ones.
package bbhealth

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of the weight of past outcomes. It is about the time in which endpoints
	// in the deployment specifications recover from a crash.
	halfLife = 3 * time.Second
	// initialBackoff is how long an endpoint gets no calls after a connection failure; each further
	// failure in a row doubles the time.
	initialBackoff = 500 * time.Millisecond
	// maxBackoff bounds the backoff, so that an endpoint that has recovered is soon used again.
	maxBackoff = 4 * time.Second
	// weightCap bounds the accumulated weight of failures and of successes.
	weightCap = 20.0
)

// Outcome is the result of a call, as far as it concerns the endpoint's health.
type Outcome int

const (
	// OutcomeGood calls had a complete answer.
	OutcomeGood Outcome = iota
	// OutcomeUnreachable calls failed to connect; nothing was sent.
	OutcomeUnreachable
	// OutcomeBroken calls were sent and had no complete answer.
	OutcomeBroken
	// OutcomeFull calls were rejected by the endpoint because it had no capacity.
	OutcomeFull
	// OutcomeMoved calls found another endpoint at the address.
	OutcomeMoved
	// OutcomeHeld calls were not sent, because the endpoint must not get any at present.
	OutcomeHeld
)

// String returns the name of an outcome in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeGood:
		return "good"
	case OutcomeUnreachable:
		return "unreachable"
	case OutcomeBroken:
		return "broken"
	case OutcomeFull:
		return "full"
	case OutcomeMoved:
		return "moved"
	case OutcomeHeld:
		return "held"
	}
	return "unknown"
}

// Record is the health of one endpoint. The zero value is an endpoint without any calls.
type Record struct {
	// good and bad are weights that decay with halfLife, as of at.
	good, bad float64
	at        time.Duration
	// consecutiveFailures counts connection failures since the last good call, those during a backoff
	// left out.
	consecutiveFailures int
	// pausedUntil is the end of the current backoff.
	pausedUntil time.Duration
}

// Observe records the outcome of a call.
func (r *Record) Observe(now time.Duration, o Outcome) {
	r.decay(now)
	switch o {
	case OutcomeGood:
		r.good = min(weightCap, r.good+1)
		r.consecutiveFailures = 0
		r.pausedUntil = 0
	case OutcomeUnreachable, OutcomeMoved:
		r.bad = min(weightCap, r.bad+1)
		if now >= r.pausedUntil {
			r.consecutiveFailures++
		}
		backoff := initialBackoff << min(r.consecutiveFailures-1, 10)
		r.pausedUntil = max(r.pausedUntil, now+min(backoff, maxBackoff))
	case OutcomeBroken:
		r.bad = min(weightCap, r.bad+1)
	case OutcomeFull, OutcomeHeld:
	}
}

// Sent reports whether calls with this outcome may have reached their endpoint.
func (o Outcome) Sent() bool {
	return o != OutcomeUnreachable && o != OutcomeHeld
}

// Paused reports whether the endpoint is in backoff and should get no calls.
func (r *Record) Paused(now time.Duration) bool {
	return now < r.pausedUntil
}

// Failures returns the recent share of failed calls, from 0 to 1. A single failure without any other calls
// counts as a half.
func (r *Record) Failures(now time.Duration) float64 {
	r.decay(now)
	return r.bad / (r.good + r.bad + 1)
}

func (r *Record) decay(now time.Duration) {
	if now <= r.at {
		return
	}
	f := math.Exp2(-float64(now-r.at) / float64(halfLife))
	r.good *= f
	r.bad *= f
	r.at = now
}
