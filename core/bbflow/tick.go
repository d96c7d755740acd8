package bbflow

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// Tick looks at the runs whose time has come.
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
		t.look(now, r)
		if !r.Record.Ended {
			t.wake(r, t.nextLook(now, r))
		}
	}
}

// PeerChanged looks at all runs that wait for an owner. It is called when a node
// was lost, came back or started anew.
func (t *Table) PeerChanged(now time.Duration, name string) {
	for _, id := range t.waitingFor(name) {
		if r, ok := t.Runs[id]; ok {
			t.look(now, r)
			if !r.Record.Ended {
				t.wake(r, t.nextLook(now, r))
			}
		}
	}
}

// look applies all timers of a run.
func (t *Table) look(now time.Duration, r *Run) {
	if now >= r.Deadline {
		r.LastReason = bbmsg.ReasonDeadline
		t.giveUp(now, r)
		return
	}
	for i := range r.Attempts {
		if r.Record.Ended || i >= len(r.Attempts) {
			return
		}
		t.lookAttempt(now, r, &r.Attempts[i])
	}
	if r.Record.Ended {
		return
	}
	if r.Retry != 0 && now >= r.Retry {
		t.try(now, r)
		return
	}
	t.hedge(now, r)
}

// lookAttempt closes an attempt whose owner or time is gone.
func (t *Table) lookAttempt(now time.Duration, r *Run, a *Attempt) {
	if a.State != AttemptOpen {
		return
	}
	p := t.Seams.Peer(now, a.Owner)
	if a.OwnerIncarnation != 0 && p.Incarnation != 0 && p.Incarnation != a.OwnerIncarnation {
		t.loseAttempt(now, r, a)
		return
	}
	if p.Alive {
		a.Lost = 0
		t.lookExpired(now, r, a)
		return
	}
	if a.Lost == 0 {
		a.Lost = now
		t.cancel(now, r, a)
	}
	if r.step().Once && now < a.Lost+t.Settings.OwnerPatience {
		return
	}
	t.loseAttempt(now, r, a)
}

// lookExpired asks the owner to stop an attempt that has used up its time.
func (t *Table) lookExpired(now time.Duration, r *Run, a *Attempt) {
	if now < a.Expires || r.Stream == a.Number {
		return
	}
	t.cancel(now, r, a)
	if !r.step().Once {
		t.markRan(r, a)
		r.LastReason = bbmsg.ReasonSilent
		t.again(now, r, *a)
	}
}

// loseAttempt closes an attempt whose owner can no longer tell its fate.
func (t *Table) loseAttempt(now time.Duration, r *Run, a *Attempt) {
	t.markRan(r, a)
	r.LastReason = bbmsg.ReasonOwnerGone
	t.again(now, r, *a)
}

// hedge starts a second attempt beside one that is slow with its first news.
func (t *Table) hedge(now time.Duration, r *Run) {
	if r.Stream != 0 || r.open() != 1 {
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
	if !ok || !t.Seams.AllowRetry(now, r.step().Service, true) {
		return
	}
	t.dispatch(now, r, choice, true)
	t.emit(r, bbevent.RequestHedged, r.Attempts[len(r.Attempts)-1], r.step().Service)
}

// nextLook returns the earliest time at which a timer of the run is due.
func (t *Table) nextLook(now time.Duration, r *Run) time.Duration {
	next := r.Deadline
	if r.Retry != 0 {
		next = min(next, r.Retry)
	}
	for _, a := range r.Attempts {
		if a.State != AttemptOpen {
			continue
		}
		for _, due := range []time.Duration{a.Expires, a.HedgeAt, a.Lost + t.Settings.OwnerPatience} {
			if due > now {
				next = min(next, due)
			}
		}
	}
	return max(next, now+time.Millisecond)
}
