package bbpool

import (
	"time"

	"bluebellhall/core/bbhealth"
)

const (
	// probationPause is how long an endpoint gets no calls after one failed; each further failure in a row
	// doubles the time. An endpoint that breaks each call within some milliseconds is idle at once, and without
	// a pause it got more calls than any other.
	probationPause = 50 * time.Millisecond
	// maxProbationPause bounds the pause, so that an endpoint that has recovered is soon used again.
	maxProbationPause = 1600 * time.Millisecond
	// probationPieces bounds the pieces of a call to an endpoint on probation while others are sound.
	probationPieces = 4
	// savingPause is the pause while the retry budget is short and others are sound. It is bounded because a budget
	// that others use up must not keep an endpoint from being used again for good.
	savingPause = 5 * time.Second
	// unsoundPausePerEndpoint bounds the pause by the number of endpoints while none is sound, so that a service
	// with few of them doesn't wait long after they have recovered.
	unsoundPausePerEndpoint = 200 * time.Millisecond
	// unsoundInterval is the time between two calls to a service while none of its endpoints is sound. Without it
	// the endpoints of a large service used up the retry budget in the first half second of an outage.
	unsoundInterval = 100 * time.Millisecond
)

// probation tells whether the last call to an endpoint failed. The zero value is an endpoint that is sound.
type probation struct {
	// failures counts the failed calls since the last good one, without those that were sent before the
	// previous failure was known: they have the same cause.
	failures int
	// since is when the first of them ended, failedAt the last, and until the end of the pause after it.
	since, failedAt, until time.Duration
}

// active reports whether the endpoint is on probation: it gets one small call at a time.
func (r *probation) active() bool {
	return r.failures > 0
}

// observe records the outcome of a call that was sent at a time.
func (r *probation) observe(now, sent time.Duration, o bbhealth.Outcome) {
	switch o {
	case bbhealth.OutcomeGood:
		*r = probation{}
	case bbhealth.OutcomeUnreachable, bbhealth.OutcomeBroken, bbhealth.OutcomeMoved:
		if r.active() && sent < r.failedAt {
			return
		}
		if !r.active() {
			r.since = now
		}
		r.failures++
		r.failedAt = now
		r.until = now + min(probationPause<<min(r.failures-1, 10), maxProbationPause)
	case bbhealth.OutcomeFull, bbhealth.OutcomeHeld:
		// The endpoint neither ran a call nor failed to.
	}
}

// Probation is the state of an endpoint whose last call failed. The zero value is that of one that is sound.
type Probation struct {
	// Failures is the number of failed calls in a row, Since when the first of them ended, and Until when the
	// endpoint may get its next call.
	Failures     int
	Since, Until time.Duration
}

// Probation returns the state of an endpoint.
func (p *Pool) Probation(endpoint string) Probation {
	w := p.workers[endpoint]
	if w == nil {
		return Probation{}
	}
	return Probation{
		Failures: w.probation.failures,
		Since:    w.probation.since,
		Until:    w.probation.until,
	}
}

// OnProbation returns the number of listed endpoints that are on probation.
func (p *Pool) OnProbation() int {
	n := 0
	for _, e := range p.endpoints {
		if p.workers[e.ID].probation.active() {
			n++
		}
	}
	return n
}

// HasSound reports whether an endpoint of the service is listed whose last call did not fail and that is not late
// with one.
func (p *Pool) HasSound(now time.Duration) bool {
	return p.hasSound(now, nil)
}

// hasSound reports whether there is a sound endpoint in the failure domains that are allowed; nil allows all.
func (p *Pool) hasSound(now time.Duration, allowed func(zone string) bool) bool {
	for _, e := range p.endpoints {
		if p.workers[e.ID].sound(now) && (allowed == nil || allowed(e.Zone)) {
			return true
		}
	}
	return false
}

// sound reports whether the last call of an endpoint did not fail and none is overdue.
func (w *worker) sound(now time.Duration) bool {
	if w.probation.active() || w.health.Paused(now) {
		return false
	}
	for _, c := range w.calls {
		if c.Overdue {
			return false
		}
	}
	return true
}

// pauseEnd returns the end of the pause of an endpoint on probation. It is late while the retry budget is
// short and another endpoint is sound.
func (p *Pool) pauseEnd(w *worker, sound bool) time.Duration {
	switch {
	case sound && p.SaveRepeats:
		return w.probation.failedAt + savingPause
	case sound:
		return w.probation.until
	}
	return min(w.probation.until, w.probation.failedAt+time.Duration(len(p.endpoints))*unsoundPausePerEndpoint)
}

// freeOnProbation reports whether an endpoint on probation may get a call now.
func (p *Pool) freeOnProbation(now time.Duration, w *worker) bool {
	sound := p.hasSound(now, nil)
	return len(w.calls) == 0 && now >= p.pauseEnd(w, sound) && (sound || now >= p.nextUnsoundCall)
}

// countUnsoundCall records that an endpoint gets a call, which delays the next one if no endpoint is sound.
func (p *Pool) countUnsoundCall(now time.Duration, w *worker) {
	if w.probation.active() && !p.hasSound(now, nil) {
		p.nextUnsoundCall = now + unsoundInterval
	}
}

// callBound returns the maximum number of pieces of a call that begins with a group, and whether it may have only
// pieces of that group. An endpoint on probation gets few pieces, so that a further failure affects few; where the
// group has no sound endpoint to go to, it gets half a call, so that work goes on.
func (p *Pool) callBound(now time.Duration, w *worker, first *Group) (bound int, single bool) {
	switch {
	case !w.probation.active():
		return p.Spec.Batch, false
	case p.hasSound(now, first.Allowed):
		return min(p.Spec.Batch, probationPieces), true
	}
	return p.unsoundBound(), false
}

// unsoundBound is the maximum number of pieces of a call while no endpoint is sound.
func (p *Pool) unsoundBound() int {
	return min(p.Spec.Batch, max(probationPieces, p.Spec.Batch/2))
}

// probationPerSecond returns the throughput of an endpoint on probation, in pieces per second, as far as work can
// count on it: that of its calls of restricted size.
func (p *Pool) probationPerSecond(now time.Duration, w *worker, sound bool) float64 {
	n := p.unsoundBound()
	if sound {
		n = min(p.Spec.Batch, probationPieces)
	}
	return float64(n) / (p.Duration(n).Seconds() * w.currentSlowness(now))
}

// CanHaveBegun reports whether the endpoint of a call that ended with an outcome can have begun its pieces. Of a call
// that broke sooner than the fixed part of its time, no piece has been computed. It has to be asked before Done.
func (p *Pool) CanHaveBegun(now time.Duration, c *Call, o bbhealth.Outcome) bool {
	switch o {
	case bbhealth.OutcomeGood:
		return true
	case bbhealth.OutcomeBroken:
		return c.running && now-c.runningSince >= p.Spec.CallTime
	case bbhealth.OutcomeUnreachable, bbhealth.OutcomeMoved, bbhealth.OutcomeFull, bbhealth.OutcomeHeld:
	}
	return false
}
