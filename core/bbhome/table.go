// Package bbhome keeps the records of requests at their home, which give at-most-once execution
// without a persistent store. A request id names its home and the incarnation of the home's
// process; only that process may dispatch the request, and it records the id before it does.
package bbhome

import (
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbtimer"
)

// Settings bound the table and determine how long records are kept.
type Settings struct {
	// Home is the node's name and Incarnation that of its process.
	Home        string
	Incarnation uint64
	// MaxRecords bounds running and ended records together.
	MaxRecords int
	// MaxTombstones bounds the ids that were refused permanently.
	MaxTombstones int
	// MaxAnswerBytes bounds the total size of the stored answers of ended records, not counting
	// that of the record that ended last.
	MaxAnswerBytes int
	// Retention is how long an ended record outlives the ticket of its id.
	Retention time.Duration
	// KeyRetention is how long the record of a plain idempotency key of a request that must
	// not run twice is kept after the latest arrival of the key. Its answer, and the records of
	// other keys, are kept for Retention.
	KeyRetention time.Duration
}

// Waiter is a caller's connection at a receiving node that waits for an answer.
type Waiter struct {
	// Receiver is the node that holds the connection, and Call its call number there.
	Receiver string
	Call     uint64
	// Next is the index of the next token to send to the caller.
	Next int
	// Stream is true when the caller receives tokens as they arrive.
	Stream bool
}

// Record is the state of one request at its home.
type Record struct {
	// ID is the complete request id.
	ID string
	// Request is the caller's request; its body is dropped once the record has ended.
	Request bbmsg.CallerRequest
	// Fingerprint is a hash of the target and the body and never changes.
	Fingerprint uint64
	// Ended is set once, together with Outcome, and never cleared.
	Ended bool
	// Outcome is pending until the record has ended and never changes afterwards,
	// except from answered to ran when the stored answer is dropped.
	Outcome bbmsg.Outcome
	Reason  bbmsg.Reason
	// RetryAfterMillis is the retry delay reported with a refusal.
	RetryAfterMillis int64
	// Tokens is append-only until the stored answer is dropped.
	Tokens []string
	// Body is the complete answer of a request without tokens.
	Body []byte
	// Repeatable is true when the record has ended and nothing that must not run twice has run
	// or ever will, so that the caller may repeat the request.
	Repeatable bool
	// Waiters lists the waiting connections, at most maxWaiters.
	Waiters []Waiter
	// Accepted and KeepUntil are times of the home's own clock; KeepUntil only grows.
	Accepted  time.Duration
	KeepUntil time.Duration
	// AnswerUntil is when the stored answer is dropped.
	AnswerUntil time.Duration
	// Key is true for a plain idempotency key of a request that must not run twice.
	Key bool
}

// Table is the record table of one node. It is not safe for concurrent use.
type Table struct {
	Settings Settings
	// Records has at most Settings.MaxRecords entries.
	Records map[string]*Record
	// Tombstones maps refused ids to their final outcome, at most Settings.MaxTombstones.
	Tombstones map[string]Tombstone
	// HandedOver has the records of homes that handed them over to this node.
	HandedOver map[bbmsg.HandedOverHome]*HandedOverRecords
	// ended counts the ended records, and keys those with Key set, which are at most half of
	// MaxRecords.
	ended int
	keys  int
	// answerBytes is the size of the stored answers of ended records.
	answerBytes int
	// answers lists the ended records with a stored answer in the order in which they ended, for
	// eviction. It may still contain records whose answer has been dropped since.
	answers []*Record
	// keysBlockedUntil is set when no tombstone could be added for a refused key. Before that
	// time no new key of a request that must not run twice is accepted.
	keysBlockedUntil time.Duration
	// expiry has every id with the time at which it may have expired.
	expiry bbtimer.Queue
}

// Tombstone is the final outcome of a request that never runs here.
type Tombstone struct {
	// Outcome is notRun, or unknown when another process may have run the request.
	Outcome bbmsg.Outcome
	Reason  bbmsg.Reason
	// Until is when the id can no longer be accepted anyway. For a plain idempotency key it is
	// when the tombstone expires. It only grows.
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
		HandedOver: make(map[bbmsg.HandedOverHome]*HandedOverRecords),
	}
}

// Running returns the number of records that have not ended.
func (t *Table) Running() int {
	return len(t.Records) - t.ended
}

// Refuse adds a tombstone, so that the id never runs, and returns the outcome to report. When
// the tombstones are full, the id could still be accepted later. The outcome is then unknown,
// because notRun could become false.
func (t *Table) Refuse(id string, reason bbmsg.Reason, until time.Duration) bbmsg.Outcome {
	if s, ok := t.Tombstones[id]; ok {
		return s.Outcome
	}
	if !t.addTombstone(id, bbmsg.OutcomeNotRun, reason, until) {
		return bbmsg.OutcomeUnknown
	}
	return bbmsg.OutcomeNotRun
}

// addTombstone adds a tombstone and returns false when their number has reached its bound.
func (t *Table) addTombstone(id string, outcome bbmsg.Outcome, reason bbmsg.Reason, until time.Duration) bool {
	if len(t.Tombstones) >= t.Settings.MaxTombstones {
		return false
	}
	t.Tombstones[id] = Tombstone{
		Outcome: outcome,
		Reason:  reason,
		Until:   until,
	}
	t.expiry.Push(id, until)
	return true
}

// Append adds tokens at an offset and returns how many were new. Tokens that are already stored
// are skipped; tokens whose offset lies beyond the stored ones would leave a gap and are
// ignored.
func (r *Record) Append(offset int, tokens []string) int {
	have := len(r.Tokens)
	if r.Ended || offset > have || offset+len(tokens) <= have {
		return 0
	}
	added := tokens[have-offset:]
	r.Tokens = append(r.Tokens, added...)
	return len(added)
}

// End sets the final outcome of a record. Further calls change nothing and return false.
func (t *Table) End(r *Record, outcome bbmsg.Outcome, reason bbmsg.Reason) bool {
	if r.Ended {
		return false
	}
	r.Ended = true
	r.Outcome = outcome
	r.Reason = reason
	r.Request.Body = nil
	t.ended++
	t.trimAnswers()
	t.answerBytes += answerSize(r)
	t.answers = append(t.answers, r)
	return true
}

// trimAnswers drops the oldest stored answers while their size exceeds the bound. The records
// remain, so that repeats are still recognised.
func (t *Table) trimAnswers() {
	n := 0
	for n < len(t.answers) && (t.answerBytes > t.Settings.MaxAnswerBytes || answerSize(t.answers[n]) == 0) {
		t.dropAnswer(t.answers[n])
		n++
	}
	t.answers = t.answers[n:]
}

// dropAnswer drops the stored answer of an ended record. Repeats of an answered request then
// get the outcome ran.
func (t *Table) dropAnswer(r *Record) {
	if answerSize(r) == 0 {
		return
	}
	t.answerBytes -= answerSize(r)
	r.Tokens = nil
	r.Body = nil
	if r.Outcome == bbmsg.OutcomeAnswered {
		r.Outcome = bbmsg.OutcomeRan
		r.Reason = bbmsg.ReasonRetention
	}
}

// answerSize returns the size of a stored answer in bytes.
func answerSize(r *Record) int {
	size := len(r.Body)
	for _, w := range r.Tokens {
		size += len(w)
	}
	return size
}

// Tick drops the records, stored answers and tombstones that have expired.
func (t *Table) Tick(now time.Duration) {
	for {
		id, ok := t.expiry.PopDue(now)
		if !ok {
			break
		}
		t.expire(now, id)
	}
	t.trimAnswers()
	t.evictHandedOver(now)
}

// expire drops the record and the tombstone of an id if they have expired. A record that is
// still running or has waiters is checked again after a second.
func (t *Table) expire(now time.Duration, id string) {
	if s, ok := t.Tombstones[id]; ok {
		t.expireTombstone(now, id, s)
	}
	r, ok := t.Records[id]
	if !ok {
		return
	}
	if !r.Ended || len(r.Waiters) > 0 {
		t.expiry.Push(id, now+time.Second)
		return
	}
	if r.AnswerUntil <= now {
		t.dropAnswer(r)
	}
	if r.KeepUntil > now {
		t.expiry.Push(id, r.KeepUntil)
		return
	}
	delete(t.Records, id)
	t.ended--
	if r.Key {
		t.keys--
	}
}

// expireTombstone drops a tombstone if it has expired, and else schedules the next check.
func (t *Table) expireTombstone(now time.Duration, id string, s Tombstone) {
	if s.Until <= now {
		delete(t.Tombstones, id)
		return
	}
	t.expiry.Push(id, s.Until)
}
