package bbflow

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbtimer"
)

// Start begins a run for a new record at its first step. alone is true for a request whose
// content is suspected of crashing endpoints and may only run on an otherwise idle one.
func (t *Table) Start(now time.Duration, record *bbhome.Record, steps []Step, account bbrule.Account, deadline time.Duration, alone bool) {
	r := &Run{
		Record:     record,
		Steps:      steps,
		Input:      record.Request.Body,
		Deadline:   deadline,
		StageStart: now,
		Account:    account,
		Alone:      alone,
	}
	t.Runs[record.ID] = r
	t.schedule(r, deadline)
	t.tryStage(now, r)
}

// tryStage dispatches the current stage, or schedules a retry, or gives up.
func (t *Table) tryStage(now time.Duration, r *Run) {
	r.RetryAt = 0
	if len(r.Attempts) >= t.Settings.MaxAttempts || r.Refusals >= t.Settings.MaxRefusals {
		t.giveUp(now, r)
		return
	}
	choice, ok := t.choose(now, r)
	if !ok {
		r.RetryHint = choice.RetryAfter
		t.scheduleRetry(now, r, choice.Reason, t.Settings.RefusalBackoff)
		return
	}
	t.dispatch(now, r, choice, false)
}

// choose picks an endpoint that was not tried in this stage, or any endpoint when there is
// none such and no attempt is open.
func (t *Table) choose(now time.Duration, r *Run) (Choice, bool) {
	q := Query{
		Step:      r.step(),
		Session:   r.Record.Request.Session,
		Account:   r.Record.Request.Account,
		BodyBytes: len(r.Input),
		Alone:     r.Alone,
	}
	for _, a := range r.Attempts {
		q.Exclude = append(q.Exclude, a.Endpoint)
	}
	choice, ok := t.Hooks.Choose(now, q)
	if ok || len(q.Exclude) == 0 || r.open() > 0 {
		return choice, ok
	}
	q.Exclude = nil
	return t.Hooks.Choose(now, q)
}

// scheduleRetry schedules a retry after a wait, or gives up when too little time remains.
func (t *Table) scheduleRetry(now time.Duration, r *Run, reason bbmsg.Reason, wait time.Duration) {
	if reason != bbmsg.ReasonNone {
		r.LastReason = reason
	}
	retry := now + max(wait, t.backoff(r.Refusals))
	r.Refusals++
	if r.Refusals >= t.Settings.MaxRefusals || !t.Hooks.CanMeetDeadline(now, r.Deadline-retry, r.Steps[r.Stage:]) {
		r.RetryHint = max(r.RetryHint, wait)
		t.giveUp(now, r)
		return
	}
	r.RetryAt = retry
	t.schedule(r, retry)
}

// backoff returns the delay after a number of refusals: it doubles from RefusalBackoff up
// to MaxRefusalBackoff.
func (t *Table) backoff(refusals int) time.Duration {
	wait := t.Settings.RefusalBackoff
	for range refusals {
		wait = min(2*wait, t.Settings.MaxRefusalBackoff)
	}
	return wait
}

// dispatch sends an attempt to the owner of the chosen endpoint.
func (t *Table) dispatch(now time.Duration, r *Run, c Choice, hedge bool) {
	budget := t.Hooks.SplitBudget(now, r.Deadline-now-t.Settings.AnswerMargin, r.Steps[r.Stage:])
	a := Attempt{
		Number:           len(r.Attempts) + 1,
		Endpoint:         c.Endpoint,
		Owner:            c.Owner,
		OwnerIncarnation: c.OwnerIncarnation,
		Sent:             now,
		Expires:          now + budget,
		Deputy:           c.Deputy,
		Hedge:            hedge,
		HedgeAt:          t.hedgeTime(now, r),
	}
	if len(r.Attempts) == 0 {
		t.Hooks.FirstAttempt(now, r.step().Service)
	}
	r.Attempts = append(r.Attempts, a)
	t.schedule(r, min(a.Expires, a.HedgeAt))
	t.emit(r, bbevent.StageDispatched, a, r.step().Service)
	t.Hooks.Send(now, c.Owner, bbmsg.Envelope{
		Dispatch: t.dispatchMessage(r, a, c, budget),
	})
}

// hedgeTime returns when an attempt that is dispatched now is slow enough for a hedge.
func (t *Table) hedgeTime(now time.Duration, r *Run) time.Duration {
	if r.step().Once || r.Alone {
		return bbtimer.Never
	}
	delay, ok := t.Hooks.HedgeDelay(now, r.Deadline-now, r.step().Service)
	if !ok {
		return bbtimer.Never
	}
	return now + delay
}

// dispatchMessage builds the dispatch of an attempt.
func (t *Table) dispatchMessage(r *Run, a Attempt, c Choice, budget time.Duration) *bbmsg.Dispatch {
	s := r.step()
	return &bbmsg.Dispatch{
		Deputy:           c.Deputy,
		Attempt:          t.wireAttempt(r, a),
		Home:             t.Settings.Self,
		HomeIncarnation:  t.Settings.Incarnation,
		OwnerIncarnation: c.OwnerIncarnation,
		Endpoint:         c.Endpoint,
		ListRevision:     c.ListRevision,
		BudgetMillis:     budget.Milliseconds(),
		Once:             s.Once,
		Alone:            r.Alone,
		Account:          r.Account.Name,
		Priority:         r.Account.Priority,
		Weight:           r.Account.Weight,
		Service:          s.Service,
		Path:             s.Path,
		Model:            s.Model,
		Session:          r.Record.Request.Session,
		FromOffset:       r.tokenCount(),
		Body:             r.Input,
	}
}

// wireAttempt returns the identity of an attempt as it is sent to owners.
func (t *Table) wireAttempt(r *Run, a Attempt) bbmsg.Attempt {
	return bbmsg.Attempt{
		ID:     r.Record.ID,
		Stage:  r.Stage,
		Number: a.Number,
	}
}

// cancel asks the owner of an open attempt to stop.
func (t *Table) cancel(now time.Duration, r *Run, a *Attempt) {
	if a.CancelSent {
		return
	}
	a.CancelSent = true
	t.Hooks.Send(now, a.Owner, bbmsg.Envelope{
		Cancel: &bbmsg.Cancel{
			Deputy:           a.Deputy,
			Attempt:          t.wireAttempt(r, *a),
			Endpoint:         a.Endpoint,
			Home:             t.Settings.Self,
			OwnerIncarnation: a.OwnerIncarnation,
		},
	})
}

// closeOthers cancels all open attempts but one.
func (t *Table) closeOthers(now time.Duration, r *Run, number int) {
	for i := range r.Attempts {
		a := &r.Attempts[i]
		if a.State != AttemptOpen || a.Number == number {
			continue
		}
		t.cancel(now, r, a)
		t.closeMayHaveRun(r, a)
	}
}

// closeMayHaveRun closes an attempt that may have reached the endpoint.
func (t *Table) closeMayHaveRun(r *Run, a *Attempt) {
	a.State = AttemptMayHaveRun
	t.Hooks.AttemptClosed(a.Endpoint)
	r.MayHaveRun = true
	r.OnceMayHaveRun = r.OnceMayHaveRun || r.step().Once
}
