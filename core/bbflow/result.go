package bbflow

import (
	"net/http"
	"strings"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbsuspect"
)

// HandleResult applies a result of an attempt. A result of an attempt that is not open, or
// that comes from another node than its owner, is dropped, so that a late result never
// reaches another request or stage.
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

// match returns the open attempt that a message from its owner refers to, or nil.
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

// handleTokens adds tokens of the stream. The first attempt that delivers tokens becomes its
// source, and the other attempts are cancelled.
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

// appendFresh appends the tokens that continue a stream. It appends none after a gap.
func appendFresh(have []string, offset int, tokens []string) []string {
	if offset > len(have) || offset+len(tokens) <= len(have) {
		return have
	}
	return append(have, tokens[len(have)-offset:]...)
}

// handleDone ends the stage with success. A stream that lacks tokens is treated as broken.
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

// advance begins the next stage with the output of the previous one.
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

// handleRefused closes an attempt that was never sent to its endpoint, and retries the stage
// at once after the first refusal or a move of the endpoint, otherwise after a delay.
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

// handleFailed ends the run on a client error (4xx) from the endpoint and retries the stage
// on any other error status.
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

// handleBroken handles an attempt that was sent but returned no complete answer.
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

// recordEndpointDeath reports the death of an endpoint and returns whether the run must end,
// because its content is refused from now on.
func (t *Table) recordEndpointDeath(now time.Duration, r *Run, a *Attempt, others int) bool {
	verdict := t.Hooks.EndpointDied(now, r.Record, r.Stage, *a, others)
	if verdict < bbsuspect.Alone {
		return false
	}
	r.Alone = true
	t.emit(r, bbevent.RequestSuspect, *a, verdict.String())
	return verdict == bbsuspect.Refused
}

// retryStage repeats a stage if that is permitted and the retry budget allows it.
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

// HandleCancelled applies an owner's answer to a cancel. An attempt that must not be repeated
// stays open unless the owner confirms that it was never sent.
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
