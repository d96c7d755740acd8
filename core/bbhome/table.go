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
	// MaxAnswerBytes bounds the stored answers of ended records, but for the last.
	MaxAnswerBytes int
	// Retention is how long an ended record outlives the ticket of its id.
	Retention time.Duration
	// KeyRetention is how long the record of a plain idempotency key that may not be
	// repeated is kept after the latest arrival of the key. Its answer and the records
	// of other keys are kept for Retention.
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
	// Accepted and KeepUntil are times of the home's own clock; KeepUntil only grows.
	Accepted  time.Duration
	KeepUntil time.Duration
	// AnswerUntil is when the stored answer is dropped.
	AnswerUntil time.Duration
	// Key is true for a plain idempotency key that may not be repeated.
	Key bool
}

// Table is the record table of one node. It is not safe for concurrent use.
type Table struct {
	Settings Settings
	// Records has at most Settings.MaxRecords entries.
	Records map[string]*Record
	// Tombstones maps refused ids to their end, at most Settings.MaxTombstones.
	Tombstones map[string]Tombstone
	// Inherited has the homes whose records were taken over.
	HandedOver map[bbmsg.HandedOverHome]*HandedOverRecords
	// ended counts the ended records, and keys those with Key, at most half of
	// MaxRecords.
	ended int
	keys  int
	// answerBytes is the size of the stored answers of ended records.
	answerBytes int
	// answers lists the ended records with a stored answer in the order of their end,
	// for eviction. Records whose answer was dropped since may stand in it.
	answers []*Record
	// keysHeldUntil is set when a refused key could not be recorded; before it no new
	// key is accepted for a call that may not be repeated.
	keysBlockedUntil time.Duration
	// expiry has every id, to be looked at when it may be dropped.
	expiry bbtimer.Queue
}

// Tombstone is the end of a request that never runs here.
type Tombstone struct {
	// Outcome is notRun, or unknown when another process may have run it.
	Outcome bbmsg.Outcome
	Reason  bbmsg.Reason
	// Until is when the id can no longer be accepted anyway, or for a plain idempotency
	// key, when it is forgotten. It only grows.
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

// Running counts the records that have not ended.
func (t *Table) Running() int {
	return len(t.Records) - t.ended
}

// Refuse records that the id never runs and returns the outcome to tell. Without
// room for the record, and for an id that could still be accepted later, the
// outcome is unknown, because notRun could become false.
func (t *Table) Refuse(id string, reason bbmsg.Reason, until time.Duration) bbmsg.Outcome {
	if s, ok := t.Tombstones[id]; ok {
		return s.Outcome
	}
	if !t.addTombstone(id, bbmsg.OutcomeNotRun, reason, until) {
		return bbmsg.OutcomeUnknown
	}
	return bbmsg.OutcomeNotRun
}

// bury makes a tombstone and returns false when there is no room.
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
	t.ended++
	t.trimAnswers()
	t.answerBytes += answerSize(r)
	t.answers = append(t.answers, r)
	return true
}

// trimAnswers drops the oldest stored answers while they exceed their bound. The
// records stay, so that repeats are still recognised.
func (t *Table) trimAnswers() {
	n := 0
	for n < len(t.answers) && (t.answerBytes > t.Settings.MaxAnswerBytes || answerSize(t.answers[n]) == 0) {
		t.dropAnswer(t.answers[n])
		n++
	}
	t.answers = t.answers[n:]
}

// dropAnswer drops what is stored of the answer of an ended record. A repeat of one
// that was answered is told that it ran.
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
	t.trimAnswers()
	t.evictHandedOver(now)
}

// expire drops one id if its time is over. A running record is looked at again later.
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

// expireTombstone drops a tombstone if its time is over, and looks again later if not.
func (t *Table) expireTombstone(now time.Duration, id string, s Tombstone) {
	if s.Until <= now {
		delete(t.Tombstones, id)
		return
	}
	t.expiry.Push(id, s.Until)
}
