// Package bbintake handles requests at their home, the entry VM that owns their record: it resolves
// them by the rules, admits them to the table of records, starts new ones and sends tokens and
// outcomes to the waiters of each record.
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
	// AnswerMargin is the part of a deadline reserved for returning the answer.
	AnswerMargin time.Duration
}

// Sources are the tables that the intake reads and updates.
type Sources struct {
	Members  *bbmember.Table
	Home     *bbhome.Table
	Policy   *bbpolicy.Policy
	Suspects *bbsuspect.Table
}

// Hooks connect the intake with the rest of the node.
type Hooks struct {
	// Send sends a message to a node, which may be this one.
	Send func(to string, e bbmsg.Envelope)
	// Emit appends an event to the event log.
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
	// index has the rules in force; nil until rules are set.
	index *bbrule.Index
}

// New returns an intake without rules. The caller must set its Flow.
func New(s Settings, from Sources, hooks Hooks) *Table {
	return &Table{
		settings: s,
		hooks:    hooks,
		members:  from.Members,
		home:     from.Home,
		policy:   from.Policy,
		suspects: from.Suspects,
	}
}

// SetRules sets the rules by which requests are resolved.
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
	resolved := resolve(t.index, f.Request)
	arrival.Invalid = resolved.invalid
	arrival.Once = resolved.once
	verdict := t.home.Admit(now, arrival)
	switch {
	case verdict.Record == nil:
		t.refuse(from, f, verdict)
	case verdict.Created:
		t.start(now, verdict.Record, resolved)
	default:
		t.joined(from, f, verdict.Record)
	}
}

// arrival builds the admission entry of a request. It returns false if the request ID is neither a
// key ID nor a ticket that verifies.
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

// keySafe reports whether no other process can have accepted a key within KeyRetention: this node
// is the key's home by a confirmed member list, was so by every list that can have been in force
// within that time, and its process has seen all of them. The settling time covers a former home
// whose confirmation had not yet expired.
func (t *Table) keySafe(now time.Duration, id string) bool {
	place := bbticket.KeyPlacementName(id)
	since := now - t.settings.KeyRetention - t.settings.SettleTime
	return t.members.OwnedSince(since, place, "") &&
		t.members.ConfirmedFor(now, place, "")
}

// start runs a new record, unless its content is refused because it crashes endpoints.
func (t *Table) start(now time.Duration, r *bbhome.Record, resolved target) {
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
	if !t.policy.Admit(now, r, resolved.deadline-t.settings.AnswerMargin, resolved.steps) {
		r.Repeatable = true
		t.End(r, bbmsg.OutcomeNotRun, bbmsg.ReasonDeadline)
		return
	}
	t.Flow.Start(now, r, resolved.steps, resolved.account, now+resolved.deadline, suspicion == bbsuspect.Alone)
}

// joined answers a repeat of a known request with the tokens or the outcome available.
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

// Progress sends new tokens to the waiters that requested a stream.
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

// End sets the final outcome of a record and answers its waiters.
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

// answerWaiter sends the outcome of a record to one waiter, with the tokens that it has not received.
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

// answer sends an answer to the node that holds the caller's connection.
func (t *Table) answer(receiver string, a bbmsg.Answer) {
	t.hooks.Send(receiver, bbmsg.Envelope{
		Answer: &a,
	})
}
