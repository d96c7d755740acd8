package bbflow

import (
	"sort"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// giveUp ends a run at once. The outcome is unknown when an attempt that must not be
// repeated may have reached an endpoint, failed when any other may have, and notRun when
// none can have.
func (t *Table) giveUp(now time.Duration, r *Run) {
	for i := range r.Attempts {
		a := &r.Attempts[i]
		if a.State == AttemptOpen {
			t.cancel(now, r, a)
			t.closeMayHaveRun(r, a)
		}
	}
	r.Record.Repeatable = !r.OnceMayHaveRun
	r.Record.RetryAfterMillis = r.RetryHint.Milliseconds()
	switch {
	case r.OnceMayHaveRun:
		t.end(r, bbmsg.OutcomeUnknown, r.LastReason)
	case r.MayHaveRun:
		t.end(r, bbmsg.OutcomeFailed, r.LastReason)
	default:
		t.end(r, bbmsg.OutcomeNotRun, r.LastReason)
	}
}

// end sets the outcome of the record and removes the run.
func (t *Table) end(r *Run, outcome bbmsg.Outcome, reason bbmsg.Reason) {
	delete(t.Runs, r.Record.ID)
	t.Hooks.Emit(bbevent.Event{
		Number:  outcomeEvents[outcome],
		Request: r.Record.ID,
		Stage:   r.Stage,
		Detail:  string(reason),
	})
	t.Hooks.End(r.Record, outcome, reason)
}

// outcomeEvents maps outcomes to their events.
var outcomeEvents = map[bbmsg.Outcome]bbevent.Number{
	bbmsg.OutcomeAnswered: bbevent.RequestAnswered,
	bbmsg.OutcomeNotRun:   bbevent.RequestRefused,
	bbmsg.OutcomeUnknown:  bbevent.RequestUnknown,
	bbmsg.OutcomeFailed:   bbevent.RequestFailed,
}

// runsWaitingFor lists the runs with an open attempt at an owner, sorted by id.
func (t *Table) runsWaitingFor(owner string) []string {
	var ids []string
	for id, r := range t.Runs {
		for _, a := range r.Attempts {
			if a.State == AttemptOpen && a.Owner == owner {
				ids = append(ids, id)
				break
			}
		}
	}
	sort.Strings(ids)
	return ids
}
