package bbhome

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhall/core/bbmsg"
)

// Arrival is a request that reached its home, after the ticket's signature was verified.
type Arrival struct {
	Request bbmsg.CallerRequest
	Waiter  Waiter
	// Home and Incarnation are those in the ticket; Expiry is by that home's clock.
	Home        string
	Incarnation uint64
	Expiry      time.Duration
	// Key is true for a plain idempotency key, which has no ticket. Home and
	// Incarnation are then this node's and Expiry is unset.
	Key bool
	// KeySafe is true when no other process can have accepted the key within KeyRetention.
	KeySafe bool
	// Once is true when the request must not run more than once.
	Once bool
	// Invalid is the reason why the request can't run, ReasonNone if it can.
	Invalid bbmsg.Reason
}

// Verdict is the decision on an arrival.
type Verdict struct {
	// Record is the request's record, new or existing, nil when the arrival was refused.
	Record *Record
	// Created is true when this arrival created the record, so that the request must be run.
	Created bool
	// Outcome, Reason and RetryAfterMillis are set when Record is nil.
	Outcome          bbmsg.Outcome
	Reason           bbmsg.Reason
	RetryAfterMillis int64
}

// busyRetryMillis is the retry delay given to a caller when the table is full.
const busyRetryMillis = 500

// Fingerprint returns a hash of the target and the body of a request.
func Fingerprint(q bbmsg.CallerRequest) uint64 {
	d := xxhash.New()
	for _, s := range []string{q.Pipeline, q.Service, q.Path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.Body)
	return d.Sum64()
}

// Admit decides on an arrival: it joins the request's existing record, creates a new one or
// refuses the request. It returns the outcome notRun only when the id can never run: because a
// tombstone was added before, or because its ticket has expired.
func (t *Table) Admit(now time.Duration, a Arrival) Verdict {
	if a.Home != t.Settings.Home || a.Incarnation != t.Settings.Incarnation {
		return t.admitHandedOver(a)
	}
	if r, ok := t.Records[a.Request.ID]; ok {
		if r.Key && !a.Request.LookupOnly {
			r.KeepUntil = max(r.KeepUntil, now+t.Settings.KeyRetention)
		}
		return t.join(r, a)
	}
	if s, ok := t.Tombstones[a.Request.ID]; ok {
		if a.Key && a.Once {
			s.Until = max(s.Until, now+t.Settings.KeyRetention)
			t.Tombstones[a.Request.ID] = s
		}
		return refusal(s.Outcome, s.Reason)
	}
	if a.Key {
		return t.admitKey(now, a)
	}
	if now >= a.Expiry+t.Settings.Retention {
		return refusal(bbmsg.OutcomeUnknown, bbmsg.ReasonRetention)
	}
	if now >= a.Expiry {
		return refusal(bbmsg.OutcomeNotRun, bbmsg.ReasonExpiredTicket)
	}
	return t.admitNew(now, a, a.Expiry, a.Expiry+t.Settings.Retention)
}

// admitKey decides on a plain idempotency key without a record at this home. A request that
// must not run twice is accepted only when no other process can have accepted its key. Else it
// is refused with a tombstone, so that no repeat of the key runs here either.
func (t *Table) admitKey(now time.Duration, a Arrival) Verdict {
	if in, r := t.handedOverKey(a.Request.ID); r != nil {
		in.Until = max(in.Until, now+t.Settings.KeyRetention)
		return t.join(r, a)
	}
	if a.Invalid != bbmsg.ReasonNone && !a.KeySafe {
		return refusal(bbmsg.OutcomeUnknown, a.Invalid)
	}
	keep := t.Settings.Retention
	if a.Once {
		keep = t.Settings.KeyRetention
	}
	if a.Once && !a.Request.LookupOnly && (!a.KeySafe || now < t.keysBlockedUntil) {
		t.addKeyTombstone(now, a.Request.ID)
		return refusal(bbmsg.OutcomeUnknown, bbmsg.ReasonKeyTakenOver)
	}
	v := t.admitNew(now, a, now+keep, now+keep)
	if v.Created && a.Once {
		v.Record.Key = true
		v.Record.AnswerUntil = now + t.Settings.Retention
		t.keys++
		t.expiry.Push(v.Record.ID, v.Record.AnswerUntil)
	}
	return v
}

// addKeyTombstone adds a tombstone that keeps a key from ever running here. When the tombstones
// are full, all new keys of requests that must not run twice are refused until this tombstone
// would have expired.
func (t *Table) addKeyTombstone(now time.Duration, id string) {
	until := now + t.Settings.KeyRetention
	if !t.addTombstone(id, bbmsg.OutcomeUnknown, bbmsg.ReasonKeyTakenOver, until) {
		t.keysBlockedUntil = until
	}
}

// admitNew creates a record, or refuses the request permanently.
func (t *Table) admitNew(now time.Duration, a Arrival, acceptUntil, keepUntil time.Duration) Verdict {
	if a.Request.LookupOnly {
		return refusal(bbmsg.OutcomeUnknown, bbmsg.ReasonNotSeen)
	}
	if a.Invalid != bbmsg.ReasonNone {
		return refusal(t.refuse(now, a, a.Invalid, acceptUntil), a.Invalid)
	}
	if t.full(a) {
		v := refusal(t.refuse(now, a, bbmsg.ReasonTableFull, acceptUntil), bbmsg.ReasonTableFull)
		v.RetryAfterMillis = busyRetryMillis
		return v
	}
	r := &Record{
		ID:          a.Request.ID,
		Request:     a.Request,
		Fingerprint: Fingerprint(a.Request),
		Outcome:     bbmsg.OutcomePending,
		Waiters:     []Waiter{a.Waiter},
		Accepted:    now,
		KeepUntil:   keepUntil,
		AnswerUntil: keepUntil,
	}
	t.Records[r.ID] = r
	t.expiry.Push(r.ID, keepUntil)
	return Verdict{
		Record:  r,
		Created: true,
	}
}

// refuse adds a tombstone for an arrival and returns the outcome to report.
func (t *Table) refuse(now time.Duration, a Arrival, reason bbmsg.Reason, until time.Duration) bbmsg.Outcome {
	outcome := t.Refuse(a.Request.ID, reason, until)
	if a.Key && a.Once && outcome == bbmsg.OutcomeUnknown {
		t.keysBlockedUntil = now + t.Settings.KeyRetention
	}
	return outcome
}

// full returns whether the table can take no further record. Keys of requests that must not run
// twice are kept for longer and may use only half of the table.
func (t *Table) full(a Arrival) bool {
	if a.Key && a.Once && t.keys >= t.Settings.MaxRecords/2 {
		return true
	}
	return len(t.Records) >= t.Settings.MaxRecords
}

// join adds the arrival to the record of the same request.
func (t *Table) join(r *Record, a Arrival) Verdict {
	if !a.Request.LookupOnly && Fingerprint(a.Request) != r.Fingerprint {
		return refusal(bbmsg.OutcomeInvalid, bbmsg.ReasonBodyDiffers)
	}
	if !r.Ended && len(r.Waiters) >= maxWaiters {
		v := refusal(bbmsg.OutcomeUnknown, bbmsg.ReasonTableFull)
		v.RetryAfterMillis = busyRetryMillis
		return v
	}
	if !r.Ended {
		r.Waiters = append(r.Waiters, a.Waiter)
	}
	return Verdict{
		Record: r,
	}
}

// Detach removes a waiting connection from a record. The request continues to run.
func (t *Table) Detach(id, receiver string, call uint64) {
	r, ok := t.Records[id]
	if !ok {
		return
	}
	for i, w := range r.Waiters {
		if w.Receiver == receiver && w.Call == call {
			r.Waiters = append(r.Waiters[:i], r.Waiters[i+1:]...)
			return
		}
	}
}

// refusal returns a verdict without a record.
func refusal(outcome bbmsg.Outcome, reason bbmsg.Reason) Verdict {
	return Verdict{
		Outcome: outcome,
		Reason:  reason,
	}
}
