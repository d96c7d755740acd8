package bbflow

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// Tick checks the runs that are due.
func (t *Table) Tick(now time.Duration) {
	for {
		id, ok := t.timers.PopDue(now)
		if !ok {
			return
		}
		r, ok := t.Runs[id]
		if !ok || r.due > now {
			continue
		}
		r.due = 0
		t.checkRun(now, r)
		if !r.Record.Ended {
			t.schedule(r, t.nextCheck(now, r))
		}
	}
}

// PeerChanged checks all runs with an open attempt at an owner. It is called when that node
// was lost, came back or restarted.
func (t *Table) PeerChanged(now time.Duration, name string) {
	for _, id := range t.runsWaitingFor(name) {
		if r, ok := t.Runs[id]; ok {
			t.checkRun(now, r)
			if !r.Record.Ended {
				t.schedule(r, t.nextCheck(now, r))
			}
		}
	}
}

// checkRun handles the deadline, expired or orphaned attempts, the retry and the hedge of a run.
func (t *Table) checkRun(now time.Duration, r *Run) {
	if now >= r.Deadline {
		r.LastReason = bbmsg.ReasonDeadline
		t.giveUp(now, r)
		return
	}
	for i := range r.Attempts {
		if r.Record.Ended || i >= len(r.Attempts) {
			return
		}
		t.checkAttempt(now, r, &r.Attempts[i])
	}
	if r.Record.Ended {
		return
	}
	if r.RetryAt != 0 && now >= r.RetryAt {
		t.tryStage(now, r)
		return
	}
	t.hedge(now, r)
}

// checkAttempt closes an attempt whose owner restarted or is lost, and checks the expiry of
// the others. With a lost owner an attempt that must not be repeated first waits for
// OwnerLossTimeout.
func (t *Table) checkAttempt(now time.Duration, r *Run, a *Attempt) {
	if a.State != AttemptOpen {
		return
	}
	p := t.Hooks.Peer(now, a.Owner)
	if a.OwnerIncarnation != 0 && p.Incarnation != 0 && p.Incarnation != a.OwnerIncarnation {
		t.loseAttempt(now, r, a)
		return
	}
	if p.Alive {
		a.OwnerLostAt = 0
		t.checkExpired(now, r, a)
		return
	}
	if a.OwnerLostAt == 0 {
		a.OwnerLostAt = now
		t.cancel(now, r, a)
	}
	if r.step().Once && now < a.OwnerLostAt+t.Settings.OwnerLossTimeout {
		return
	}
	t.loseAttempt(now, r, a)
}

// checkExpired cancels an attempt that has used up its time budget, unless the stream comes
// from it. The stage is retried if it may be repeated; otherwise the attempt stays open until
// its owner answers or is lost.
func (t *Table) checkExpired(now time.Duration, r *Run, a *Attempt) {
	if now < a.Expires || r.StreamAttempt == a.Number {
		return
	}
	t.cancel(now, r, a)
	if !r.step().Once {
		t.closeMayHaveRun(r, a)
		r.LastReason = bbmsg.ReasonSilent
		t.retryStage(now, r, *a)
	}
}

// loseAttempt closes an attempt whose owner can no longer report a result.
func (t *Table) loseAttempt(now time.Duration, r *Run, a *Attempt) {
	t.closeMayHaveRun(r, a)
	r.LastReason = bbmsg.ReasonOwnerGone
	t.retryStage(now, r, *a)
}

// hedge starts a second attempt when the only open one is late with its first result.
func (t *Table) hedge(now time.Duration, r *Run) {
	if r.StreamAttempt != 0 || r.open() != 1 {
		return
	}
	for _, a := range r.Attempts {
		if a.State == AttemptOpen && (a.Hedge || now < a.HedgeAt) {
			return
		}
	}
	if len(r.Attempts) >= t.Settings.MaxAttempts {
		return
	}
	choice, ok := t.choose(now, r)
	if !ok || !t.Hooks.AllowRetry(now, r.step().Service, true) {
		return
	}
	t.dispatch(now, r, choice, true)
	t.emit(r, bbevent.RequestHedged, r.Attempts[len(r.Attempts)-1], r.step().Service)
}

// nextCheck returns the earliest time at which a timer of the run is due.
func (t *Table) nextCheck(now time.Duration, r *Run) time.Duration {
	next := r.Deadline
	if r.RetryAt != 0 {
		next = min(next, r.RetryAt)
	}
	for _, a := range r.Attempts {
		if a.State != AttemptOpen {
			continue
		}
		for _, due := range []time.Duration{a.Expires, a.HedgeAt, a.OwnerLostAt + t.Settings.OwnerLossTimeout} {
			if due > now {
				next = min(next, due)
			}
		}
	}
	return max(next, now+time.Millisecond)
}
