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
		t.Seams.Emit(bbevent.Event{
			Number:  bbevent.LateResultDropped,
			Request: m.Attempt.ID,
			Stage:   m.Attempt.Stage,
			Attempt: m.Attempt.Number,
			Peer:    from,
			Detail:  string(m.Kind),
		})
		return
	}
	a.Lost = 0
	switch m.Kind {
	case bbmsg.ResultTokens:
		t.takeTokens(now, r, a, m)
	case bbmsg.ResultDone:
		t.takeDone(now, r, a, m)
	case bbmsg.ResultRefused:
		t.takeRefused(now, r, a, m)
	case bbmsg.ResultFailed:
		t.takeFailed(now, r, a, m)
	case bbmsg.ResultBroken:
		t.takeBroken(now, r, a, m)
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
func (t *Table) takeTokens(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	if r.Stream == 0 {
		r.Stream = a.Number
		t.closeOthers(now, r, a.Number)
	}
	if !r.last() {
		r.Tokens = appendFresh(r.Tokens, m.Offset, m.Tokens)
		return
	}
	if r.Record.Append(m.Offset, m.Tokens) > 0 {
		t.Seams.Progress(r.Record)
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
func (t *Table) takeDone(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	if r.have() < m.Offset {
		m.Reason = bbmsg.ReasonSilent
		t.takeBroken(now, r, a, m)
		return
	}
	t.closeOthers(now, r, a.Number)
	t.markRan(r, a)
	t.emit(r, bbevent.StageAnswered, *a, r.step().Service)
	t.Seams.Observe(now, r.step().Service, now-a.Sent)
	if r.last() {
		t.Seams.Survived(r.Record, a.Sent)
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
	r.Stream = 0
	r.RetryHint = 0
	r.LastReason = bbmsg.ReasonNone
	t.try(now, r)
}

// takeRefused closes an attempt that was never sent and tries elsewhere.
func (t *Table) takeRefused(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	a.State = AttemptUnsent
	t.Seams.Closed(a.Endpoint)
	t.emit(r, bbevent.StageRefused, *a, string(m.Reason))
	r.LastReason = m.Reason
	r.RetryHint = bbmsg.Millis(m.RetryAfterMillis)
	if r.open() > 0 {
		return
	}
	if m.Reason == bbmsg.ReasonMoved || r.Refusals == 0 {
		r.Refusals++
		t.try(now, r)
		return
	}
	t.later(now, r, m.Reason, min(r.RetryHint, time.Second))
}

// takeFailed ends or repeats a stage that the endpoint answered with an error.
func (t *Table) takeFailed(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	t.markRan(r, a)
	r.LastReason = bbmsg.ReasonEndpointFailed
	if m.Status >= http.StatusBadRequest && m.Status < http.StatusInternalServerError {
		r.Record.Body = m.Body
		t.closeOthers(now, r, a.Number)
		t.end(r, bbmsg.OutcomeFailed, bbmsg.ReasonEndpointFailed)
		return
	}
	t.again(now, r, *a)
}

// takeBroken goes on after an attempt that was sent and brought no whole answer.
func (t *Table) takeBroken(now time.Duration, r *Run, a *Attempt, m bbmsg.Result) {
	t.markRan(r, a)
	r.LastReason = m.Reason
	if r.LastReason == bbmsg.ReasonNone {
		r.LastReason = bbmsg.ReasonEndpointFailed
	}
	if m.EndpointDied && t.suspected(now, r, a, m.Others) {
		r.LastReason = bbmsg.ReasonSuspect
		t.giveUp(now, r)
		return
	}
	t.again(now, r, *a)
}

// suspected notes the death of an endpoint and tells whether the run must end.
func (t *Table) suspected(now time.Duration, r *Run, a *Attempt, others int) bool {
	verdict := t.Seams.Died(now, r.Record, r.Stage, *a, others)
	if verdict < bbsuspect.Alone {
		return false
	}
	r.Alone = true
	t.emit(r, bbevent.RequestSuspect, *a, verdict.String())
	return verdict == bbsuspect.Refused
}

// again repeats a stage if it may be repeated and the budget allows it.
func (t *Table) again(now time.Duration, r *Run, a Attempt) {
	if r.Stream == a.Number {
		r.Stream = 0
	}
	if r.open() > 0 {
		return
	}
	if r.step().Once || now >= r.Deadline {
		t.giveUp(now, r)
		return
	}
	if !t.Seams.AllowRetry(now, r.step().Service, false) {
		t.emit(r, bbevent.BudgetSpent, a, "retry")
		t.giveUp(now, r)
		return
	}
	number := bbevent.StageRetried
	if r.have() > 0 {
		number = bbevent.StreamResumed
	}
	t.emit(r, number, a, string(r.LastReason))
	t.try(now, r)
}

// HandleCancelled takes in an owner's word on an attempt that it was asked to stop.
func (t *Table) HandleCancelled(now time.Duration, from string, m bbmsg.Cancelled) {
	r, a := t.match(from, m.Attempt)
	if a == nil {
		return
	}
	if m.NeverSent {
		t.takeRefused(now, r, a, bbmsg.Result{
			Attempt: m.Attempt,
			Kind:    bbmsg.ResultRefused,
			Reason:  bbmsg.ReasonOwnerGone,
		})
		return
	}
	if r.step().Once {
		return
	}
	t.markRan(r, a)
	r.LastReason = bbmsg.ReasonSilent
	t.again(now, r, *a)
}
