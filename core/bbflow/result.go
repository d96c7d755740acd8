package bbflow

import (
	"net/http"
	"strings"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbsuspect"
)

// HandleResult takes in news of an attempt. News of an attempt that is not open is
// dropped, so that a late or crossed result never reaches another request or stage.
func (t *Table) HandleResult(now time.Duration, from string, m bbmsg.Result) {
	r, a := t.match(from, m.Attempt)
	if a == nil {
		t.Hooks.Emit(bbevent.Event{
			Number:  bbevent.LateResultDropped,
			Request: m.Attempt.ID,
			Stage:   m.Attempt.Stage,
			Attempt: m.Attempt.Number,
			Peer:    from,
			Detail:  string(m.Kind),
		})
		return
	}
	a.OwnerLostAt = 0
	switch m.Kind {
	case bbmsg.ResultTokens:
		t.handleTokens(now, r, a, m)
	case bbmsg.ResultDone:
		t.handleDone(now, r, a, m)
	case bbmsg.ResultRefused:
		t.handleRefused(now, r, a, m)
	case bbmsg.ResultFailed:
		t.handleFailed(now, r, a, m)
	case bbmsg.ResultBroken:
		t.handleBroken(now, r, a, m)
	}
}

// match finds the open attempt that a message speaks of.
func (t *Table) match(from string, name bbmsg.Attempt) (*Run, *Attempt) {
	r, ok := t.Runs[name.ID]
	if !ok || r.Stage != name.Stage {
		return nil, nil
	}
	if name.Number < 1 || name.Number > len(r.Attempts) {
		return nil, nil
	}
	a := &r.Attempts[name.Number-1]
	if a.State != AttemptOpen || a.Owner != from {
		return nil, nil
	}
	return r, a
}

// takeTokens adds tokens of the attempt that leads the stream.
func (t *Table) handleTokens(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	if r.StreamAttempt == 0 {
		r.StreamAttempt = a.Number
		t.closeOthers(now, r, a.Number)
	}
	if !r.last() {
		r.Tokens = appendFresh(r.Tokens, m.Offset, m.Tokens)
		return
	}
	if r.Record.Append(m.Offset, m.Tokens) > 0 {
		t.Hooks.Progress(r.Record)
	}
}

// appendFresh adds the tokens that continue a stream, and none after a gap.
func appendFresh(have []string, offset int, tokens []string) []string {
	if offset > len(have) || offset+len(tokens) <= len(have) {
		return have
	}
	return append(have, tokens[len(have)-offset:]...)
}

// takeDone ends the stage with success. A stream that lacks tokens counts as broken.
func (t *Table) handleDone(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	if r.tokenCount() < m.Offset {
		m.Reason = bbmsg.ReasonSilent
		t.handleBroken(now, r, a, m)
		return
	}
	t.closeOthers(now, r, a.Number)
	t.closeMayHaveRun(r, a)
	t.emit(r, bbevent.StageAnswered, *a, r.step().Service)
	t.Hooks.ObserveDuration(now, r.step().Service, now-a.Sent)
	if r.last() {
		t.Hooks.RequestSucceeded(r.Record, a.Sent)
		r.Record.Body = m.Body
		t.end(r, bbmsg.OutcomeAnswered, bbmsg.ReasonNone)
		return
	}
	t.advance(now, r, m.Body)
}

// advance begins the next stage with the output of the one before.
func (t *Table) advance(now time.Duration, r *Run, body []byte) {
	r.Input = body
	if len(r.Tokens) > 0 {
		r.Input = []byte(strings.Join(r.Tokens, ""))
	}
	r.Tokens = nil
	r.Stage++
	r.StageStart = now
	r.Attempts = nil
	r.Refusals = 0
	r.StreamAttempt = 0
	r.RetryHint = 0
	r.LastReason = bbmsg.ReasonNone
	t.tryStage(now, r)
}

// takeRefused closes an attempt that was never sent and tries elsewhere.
func (t *Table) handleRefused(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	a.State = AttemptUnsent
	t.Hooks.AttemptClosed(a.Endpoint)
	t.emit(r, bbevent.StageRefused, *a, string(m.Reason))
	r.LastReason = m.Reason
	r.RetryHint = bbmsg.Millis(m.RetryAfterMillis)
	if r.open() > 0 {
		return
	}
	if m.Reason == bbmsg.ReasonMoved || r.Refusals == 0 {
		r.Refusals++
		t.tryStage(now, r)
		return
	}
	t.scheduleRetry(now, r, m.Reason, min(r.RetryHint, time.Second))
}

// takeFailed ends or repeats a stage that the endpoint answered with an error.
func (t *Table) handleFailed(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	t.closeMayHaveRun(r, a)
	r.LastReason = bbmsg.ReasonEndpointFailed
	if m.Status >= http.StatusBadRequest && m.Status < http.StatusInternalServerError {
		r.Record.Body = m.Body
		t.closeOthers(now, r, a.Number)
		t.end(r, bbmsg.OutcomeFailed, bbmsg.ReasonEndpointFailed)
		return
	}
	t.retryStage(now, r, *a)
}

// takeBroken goes on after an attempt that was sent and brought no whole answer.
func (t *Table) handleBroken(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	t.closeMayHaveRun(r, a)
	r.LastReason = m.Reason
	if r.LastReason == bbmsg.ReasonNone {
		r.LastReason = bbmsg.ReasonEndpointFailed
	}
	if m.EndpointDied && t.recordEndpointDeath(now, r, a, m.Others) {
		r.LastReason = bbmsg.ReasonSuspect
		t.giveUp(now, r)
		return
	}
	t.retryStage(now, r, *a)
}

// suspected notes the death of an endpoint and tells whether the run must end.
func (t *Table) recordEndpointDeath(now time.Duration, r *Run, a *Attempt, others int) bool {
	verdict := t.Hooks.EndpointDied(now, r.Record, r.Stage, *a, others)
	if verdict < bbsuspect.Alone {
		return false
	}
	r.Alone = true
	t.emit(r, bbevent.RequestSuspect, *a, verdict.String())
	return verdict == bbsuspect.Refused
}

// again repeats a stage if it may be repeated and the budget allows it.
func (t *Table) retryStage(now time.Duration, r *Run, a Attempt) {
	if r.StreamAttempt == a.Number {
		r.StreamAttempt = 0
	}
	if r.open() > 0 {
		return
	}
	if r.step().Once || now >= r.Deadline {
		t.giveUp(now, r)
		return
	}
	if !t.Hooks.AllowRetry(now, r.step().Service, false) {
		t.emit(r, bbevent.BudgetSpent, a, "retry")
		t.giveUp(now, r)
		return
	}
	number := bbevent.StageRetried
	if r.tokenCount() > 0 {
		number = bbevent.StreamResumed
	}
	t.emit(r, number, a, string(r.LastReason))
	t.tryStage(now, r)
}

// HandleCancelled takes in an owner's word on an attempt that it was asked to stop.
func (t *Table) HandleCancelled(now time.Duration, from string, m bbmsg.Cancelled) {
	r, a := t.match(from, m.Attempt)
	if a == nil {
		return
	}
	if m.NeverSent {
		t.handleRefused(now, r, a, bbmsg.Result{
			Attempt: m.Attempt,
			Kind:    bbmsg.ResultRefused,
			Reason:  bbmsg.ReasonOwnerGone,
		})
		return
	}
	if r.step().Once {
		return
	}
	t.closeMayHaveRun(r, a)
	r.LastReason = bbmsg.ReasonSilent
	t.retryStage(now, r, *a)
}
