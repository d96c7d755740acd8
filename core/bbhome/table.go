// Package bbhome holds the records of requests at their home: at most once without
// a store. A request id names its home and the incarnation of the home's process;
// only that process may dispatch the request, and it records the id before it does.
package bbhome

import (
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbtimer"
)

// Settings bound the table and say how long records are kept.
type Settings struct {
	// Home is the node's name and Incarnation the random number of its process.
	Home        string
	Incarnation uint64
	// MaxRecords bounds running and ended records together.
	MaxRecords int
	// MaxTombstones bounds the ids that were refused for good.
	MaxTombstones int
	// MaxAnswerBytes bounds the stored answers of ended records.
	MaxAnswerBytes int
	// Retention is how long an ended record outlives the ticket of its id.
	Retention time.Duration
	// KeyRetention is how long the record of a plain idempotency key is kept
	// after its acceptance.
	KeyRetention time.Duration
}

// Waiter is a caller's connection that waits for an answer at a receiving node.
type Waiter struct {
	// Receiver is the node that holds the connection, and Call its number there.
	Receiver string
	Call     uint64
	// Next is the index of the next token to give to the caller.
	Next int
	// Stream is true when the caller takes tokens as they come.
	Stream bool
}

// Record is what the home knows of one request.
type Record struct {
	// ID is the whole request id.
	ID string
	// Request is the caller's; its body is dropped once the record has ended.
	Request bbmsg.CallerRequest
	// Fingerprint is a hash of target and body and never changes.
	Fingerprint uint64
	// Ended is set once, together with Outcome, and never cleared.
	Ended bool
	// Outcome is pending until the record has ended and never changes afterwards,
	// except from answered to ran when the stored answer is dropped.
	Outcome bbmsg.Outcome
	Reason  bbmsg.Reason
	// RetryAfterMillis goes with a refusal.
	RetryAfterMillis int64
	// Tokens only grows, and no token is changed once it is in.
	Tokens []string
	// Body is the whole answer of a request without tokens.
	Body []byte
	// Repeatable is true when the record ended and nothing that may not be repeated
	// has run or ever will.
	Repeatable bool
	// Waiters lists the connections that wait, at most maxWaiters.
	Waiters []Waiter
	// Accepted and KeepUntil are times of the home's own clock.
	Accepted  time.Duration
	KeepUntil time.Duration
}

// Table is the record table of one node. It is not safe for concurrent use.
type Table struct {
	Settings Settings
	// Records has at most Settings.MaxRecords entries.
	Records map[string]*Record
	// Tombstones maps refused ids to their end, at most Settings.MaxTombstones.
	Tombstones map[string]Tombstone
	// Inherited has the homes whose records were taken over.
	Inherited map[bbmsg.Heir]*Inheritance
	// answerBytes is the size of the stored answers of ended records.
	answerBytes int
	// ended lists ended records in the order of their end, for eviction.
	ended []*Record
	// expiry has every id, to be looked at when it may be dropped.
	expiry bbtimer.Queue
}

// Tombstone is the end of a request that never ran and never will.
type Tombstone struct {
	Reason bbmsg.Reason
	// Until is when the id can no longer be accepted anyway.
	Until time.Duration
}

// maxWaiters bounds the connections that wait for one request.
const maxWaiters = 32

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		Settings:   s,
		Records:    make(map[string]*Record),
		Tombstones: make(map[string]Tombstone),
		Inherited:  make(map[bbmsg.Heir]*Inheritance),
	}
}

// Running counts the records that have not ended.
func (t *Table) Running() int {
	return len(t.Records) - len(t.ended)
}

// Refuse records that the id never runs and returns the outcome to tell. Without
// room for the record, and for an id that could still be accepted later, the
// outcome is unknown, because notRun could become false.
func (t *Table) Refuse(id string, reason bbmsg.Reason, until time.Duration) bbmsg.Outcome {
	if _, ok := t.Tombstones[id]; ok {
		return bbmsg.OutcomeNotRun
	}
	if len(t.Tombstones) >= t.Settings.MaxTombstones {
		return bbmsg.OutcomeUnknown
	}
	t.Tombstones[id] = Tombstone{
		Reason: reason,
		Until:  until,
	}
	t.expiry.Push(id, until)
	return bbmsg.OutcomeNotRun
}

// Append adds tokens at an offset and returns how many were new. Tokens that are
// already there are skipped; tokens beyond the end leave a gap and are ignored.
func (r *Record) Append(offset int, tokens []string) int {
	have := len(r.Tokens)
	if r.Ended || offset > have || offset+len(tokens) <= have {
		return 0
	}
	fresh := tokens[have-offset:]
	r.Tokens = append(r.Tokens, fresh...)
	return len(fresh)
}

// End fixes the outcome of a record. A second call changes nothing and returns false.
func (t *Table) End(r *Record, outcome bbmsg.Outcome, reason bbmsg.Reason) bool {
	if r.Ended {
		return false
	}
	r.Ended = true
	r.Outcome = outcome
	r.Reason = reason
	r.Request.Body = nil
	t.ended = append(t.ended, r)
	t.answerBytes += answerSize(r)
	t.trimAnswers()
	return true
}

// trimAnswers drops the oldest stored answers while they exceed their bound. The
// records stay, so that repeats are still recognised.
func (t *Table) trimAnswers() {
	for _, r := range t.ended {
		if t.answerBytes <= t.Settings.MaxAnswerBytes {
			return
		}
		if r.Outcome != bbmsg.OutcomeAnswered || len(r.Waiters) > 0 {
			continue
		}
		t.answerBytes -= answerSize(r)
		r.Outcome = bbmsg.OutcomeRan
		r.Reason = bbmsg.ReasonRetention
		r.Tokens = nil
		r.Body = nil
	}
}

// answerSize returns the bytes of a stored answer.
func answerSize(r *Record) int {
	size := len(r.Body)
	for _, w := range r.Tokens {
		size += len(w)
	}
	return size
}

// Tick drops the records and tombstones whose time is over.
func (t *Table) Tick(now time.Duration) {
	for {
		id, ok := t.expiry.PopDue(now)
		if !ok {
			break
		}
		t.expire(now, id)
	}
	t.dropInherited(now)
}

// expire drops one id if its time is over. A running record is looked at again later.
func (t *Table) expire(now time.Duration, id string) {
	if s, ok := t.Tombstones[id]; ok && s.Until <= now {
		delete(t.Tombstones, id)
	}
	r, ok := t.Records[id]
	if !ok {
		return
	}
	if !r.Ended || len(r.Waiters) > 0 || r.KeepUntil > now {
		t.expiry.Push(id, max(r.KeepUntil, now+time.Second))
		return
	}
	delete(t.Records, id)
	t.forgetEnded(r)
}

// forgetEnded takes a record out of the list of ended ones.
func (t *Table) forgetEnded(r *Record) {
	for i, e := range t.ended {
		if e == r {
			t.ended = append(t.ended[:i], t.ended[i+1:]...)
			break
		}
	}
	t.answerBytes -= answerSize(r)
}
