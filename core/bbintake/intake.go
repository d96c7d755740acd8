// Package bbintake is the work of an entry VM as a home: it resolves requests by the
// rules, admits them to the table of records, starts what is fresh and gives the waiters
// of each record what there is.
package bbintake

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmember"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbpolicy"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbsuspect"
	"bluebellhall/core/bbticket"
)

// Settings configure the intake of a home.
type Settings struct {
	// Self is the name of this node, and Incarnation its process.
	Self        string
	Incarnation uint64
	// Keys verify tickets.
	Keys bbticket.Keys
	// KeyRetention is how long records of plain idempotency keys are kept.
	KeyRetention time.Duration
	// SettleTime is that of bbmember.Settings.
	SettleTime time.Duration
	// AnswerMargin is kept of a deadline for the way back.
	AnswerMargin time.Duration
}

// Sources are the tables that the intake works with.
type Sources struct {
	Members  *bbmember.Table
	Home     *bbhome.Table
	Policy   *bbpolicy.Policy
	Suspects *bbsuspect.Table
}

// Seams connect the intake with the rest of the node.
type Hooks struct {
	// Send passes a message to a node, which may be this one.
	Send func(to string, e bbmsg.Envelope)
	// Emit adds an event to the time line.
	Emit func(e bbevent.Event)
}

// Table is the intake of one home. It is not safe for concurrent use.
type Table struct {
	settings Settings
	hooks    Hooks
	members  *bbmember.Table
	home     *bbhome.Table
	policy   *bbpolicy.Policy
	suspects *bbsuspect.Table
	// Flow runs the records that are started. It is set once, before the first request:
	// the flow reports to Progress and End.
	Flow *bbflow.Table
	// index has the rules in force, nil before the first.
	index *bbrule.Index
}

// New returns an intake without rules. Its Flow is to be set.
func New(s Settings, from Sources, seams Hooks) *Table {
	return &Table{
		settings: s,
		hooks:    seams,
		members:  from.Members,
		home:     from.Home,
		policy:   from.Policy,
		suspects: from.Suspects,
	}
}

// SetRules takes in the rules by which requests are resolved.
func (t *Table) SetRules(index *bbrule.Index) { t.index = index }

// Take admits a request whose home is this node, from itself or a peer.
func (t *Table) Take(now time.Duration, from string, f bbmsg.Forward) {
	arrival, ok := t.arrival(now, from, f)
	if !ok {
		t.answer(from, bbmsg.Answer{
			Call:    f.Call,
			ID:      f.Request.ID,
			Outcome: bbmsg.OutcomeInvalid,
			Reason:  bbmsg.ReasonBadTicket,
		})
		return
	}
	asked := resolve(t.index, f.Request)
	arrival.Invalid = asked.invalid
	arrival.Once = asked.once
	verdict := t.home.Admit(now, arrival)
	switch {
	case verdict.Record == nil:
		t.refuse(from, f, verdict)
	case verdict.Created:
		t.start(now, verdict.Record, asked)
	default:
		t.joined(from, f, verdict.Record)
	}
}

// arrival describes a request to the table of records. It returns false for an id
// that is not ours.
func (t *Table) arrival(now time.Duration, from string, f bbmsg.Forward) (bbhome.Arrival, bool) {
	a := bbhome.Arrival{
		Request: f.Request,
		Waiter: bbhome.Waiter{
			Receiver: from,
			Call:     f.Call,
			Next:     max(f.Request.FromOffset, 0),
			Stream:   f.Request.Stream,
		},
	}
	if bbticket.IsKeyID(f.Request.ID) {
		a.Key = true
		a.KeySafe = t.keySafe(now, f.Request.ID)
		a.Home = t.settings.Self
		a.Incarnation = t.settings.Incarnation
		return a, true
	}
	ticket, _, err := t.settings.Keys.Split(f.Request.ID)
	if err != nil {
		return a, false
	}
	a.Home = ticket.Home
	a.Incarnation = ticket.Incarnation
	a.Expiry = time.Duration(ticket.ExpiryMillis) * time.Millisecond
	return a, true
}

// keySafe tells whether no other process can have accepted a key within the time that
// keys are kept: this node is its home by a confirmed list, was so by every list that
// can have been in force within that time, and its process has seen all of them. The
// settling time covers a former home whose confirmation was still running out.
func (t *Table) keySafe(now time.Duration, id string) bool {
	place := bbticket.KeyPlacementName(id)
	since := now - t.settings.KeyRetention - t.settings.SettleTime
	return t.members.OwnedSince(since, place, "") &&
		t.members.ConfirmedFor(now, place, "")
}

// start runs a fresh record, unless its content is a suspect that is to be refused.
func (t *Table) start(now time.Duration, r *bbhome.Record, asked target) {
	t.hooks.Emit(bbevent.Event{
		Number:  bbevent.RequestAccepted,
		Request: r.ID,
		Detail:  r.Request.Pipeline + r.Request.Service,
	})
	suspicion := t.suspects.Verdict(now, r.Fingerprint)
	if suspicion == bbsuspect.Refused {
		r.Repeatable = true
		t.End(r, bbmsg.OutcomeNotRun, bbmsg.ReasonSuspect)
		return
	}
	if !t.policy.Admit(now, r, asked.deadline-t.settings.AnswerMargin, asked.steps) {
		r.Repeatable = true
		t.End(r, bbmsg.OutcomeNotRun, bbmsg.ReasonDeadline)
		return
	}
	t.Flow.Start(now, r, asked.steps, asked.account, now+asked.deadline, suspicion == bbsuspect.Alone)
}

// joined answers a repeat of a known request with what there is.
func (t *Table) joined(from string, f bbmsg.Forward, r *bbhome.Record) {
	t.hooks.Emit(bbevent.Event{
		Number:  bbevent.RequestJoined,
		Request: r.ID,
		Peer:    from,
	})
	if !r.Ended {
		t.Progress(r)
		return
	}
	t.answerWaiter(r, &bbhome.Waiter{
		Receiver: from,
		Call:     f.Call,
		Next:     max(f.Request.FromOffset, 0),
		Stream:   f.Request.Stream,
	})
}

// refuse answers an arrival that has no record.
func (t *Table) refuse(from string, f bbmsg.Forward, v bbhome.Verdict) {
	t.hooks.Emit(bbevent.Event{
		Number:  bbevent.RequestRefused,
		Request: f.Request.ID,
		Peer:    from,
		Detail:  string(v.Outcome) + " " + string(v.Reason),
	})
	t.answer(from, bbmsg.Answer{
		Call:             f.Call,
		ID:               f.Request.ID,
		Outcome:          v.Outcome,
		Reason:           v.Reason,
		RetryAfterMillis: v.RetryAfterMillis,
		Repeatable:       v.Outcome == bbmsg.OutcomeNotRun,
	})
}

// Progress gives new tokens to the waiters that take them as they come.
func (t *Table) Progress(r *bbhome.Record) {
	for i := range r.Waiters {
		w := &r.Waiters[i]
		if !w.Stream || w.Next >= len(r.Tokens) {
			continue
		}
		t.answer(w.Receiver, bbmsg.Answer{
			Call:    w.Call,
			ID:      r.ID,
			Outcome: bbmsg.OutcomePending,
			Offset:  w.Next,
			Tokens:  r.Tokens[w.Next:len(r.Tokens):len(r.Tokens)],
		})
		w.Next = len(r.Tokens)
	}
}

// End fixes the outcome of a record and answers its waiters.
func (t *Table) End(r *bbhome.Record, outcome bbmsg.Outcome, reason bbmsg.Reason) {
	if !t.home.End(r, outcome, reason) {
		return
	}
	t.policy.Ended(r)
	waiters := r.Waiters
	r.Waiters = nil
	for i := range waiters {
		t.answerWaiter(r, &waiters[i])
	}
}

// answerWaiter gives the end of a record to one waiter, with the tokens it lacks.
func (t *Table) answerWaiter(r *bbhome.Record, w *bbhome.Waiter) {
	next := min(w.Next, len(r.Tokens))
	if !w.Stream {
		next = 0
	}
	t.answer(w.Receiver, bbmsg.Answer{
		Call:             w.Call,
		ID:               r.ID,
		Outcome:          r.Outcome,
		Reason:           r.Reason,
		RetryAfterMillis: r.RetryAfterMillis,
		Repeatable:       r.Repeatable,
		Offset:           next,
		Tokens:           r.Tokens[next:],
		Body:             r.Body,
	})
}

// answer passes an answer to the node that holds the caller's connection.
func (t *Table) answer(receiver string, a bbmsg.Answer) {
	t.hooks.Send(receiver, bbmsg.Envelope{
		Answer: &a,
	})
}
