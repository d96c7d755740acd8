// Package bbhealth judges an endpoint by the outcomes of its recent calls.
package bbhealth

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which past failures lose half of their weight. It is about
	// the time in which endpoints of the users' sheets come back after a crash.
	halfLife = 3 * time.Second
	// firstPause is how long an endpoint that refused connections is left alone at first;
	// each failure in a row doubles it.
	initialBackoff = 500 * time.Millisecond
	// maxPause bounds the pause, so that a returned endpoint is soon found.
	maxBackoff = 4 * time.Second
	// weightCap bounds the remembered weight of failures and successes.
	weightCap = 20.0
)

// Outcome is how a call ended, as far as it says something of the endpoint.
type Outcome int

const (
	// OutcomeGood calls had a whole answer.
	OutcomeGood Outcome = iota
	// OutcomeUnreachable calls found no connection; nothing was sent.
	OutcomeUnreachable
	// OutcomeBroken calls were sent and had no whole answer.
	OutcomeBroken
	// OutcomeFull calls were turned away because the endpoint had no room.
	OutcomeFull
	// OutcomeMoved calls found another endpoint at the address.
	OutcomeMoved
	// OutcomeHeld calls were not made: the endpoint must get nothing at present.
	OutcomeHeld
)

// String returns the word for an outcome in logs and metrics.
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

// Record is what is remembered of one endpoint. The zero value is an endpoint without
// any calls.
type Record struct {
	// good and bad are weights that fade with halfLife, as of at.
	good, bad float64
	at        time.Duration
	// row counts unreachable calls without a good one in between.
	consecutiveFailures int
	// until is the end of the present pause.
	pausedUntil time.Duration
}

// Note takes in the outcome of a call.
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
		pause := initialBackoff << min(r.consecutiveFailures-1, 10)
		r.pausedUntil = max(r.pausedUntil, now+min(pause, maxBackoff))
	case OutcomeBroken:
		r.bad = min(weightCap, r.bad+1)
	case OutcomeFull, OutcomeHeld:
	}
}

// Sent tells whether calls with this outcome may have reached their endpoint.
func (o Outcome) Sent() bool {
	return o != OutcomeUnreachable && o != OutcomeHeld
}

// Paused tells whether the endpoint should be left alone for now.
func (r *Record) Paused(now time.Duration) bool {
	return now < r.pausedUntil
}

// Failures returns the recent share of bad calls, from 0 to 1. A single failure among no
// other calls counts as a half.
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
