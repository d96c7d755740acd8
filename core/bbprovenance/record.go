// Package bbprovenance decides what a VM knows of who began a stream: the service, and the version of its endpoints'
// software that wrote the stream's first event. A stream may go on only there.
package bbprovenance

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// RecordTTL is how long a record is kept after it was first stored. It has to exceed the time that a caller may
	// take over all attempts of a request; streams that are taken up later are refused.
	RecordTTL = 60 * time.Second
	// maxRecords bounds the records of a VM: RecordTTL of some 500 a second.
	maxRecords = 32768
	// maxNameBytes bounds the names of services and versions in records.
	maxNameBytes = 200
)

// Record states which version of a service began a stream. The fields are encoded under numbers, since a record is
// sent for each stream.
type Record struct {
	// Attempt is the hash of the ID of the caller's attempt that brought the first event, see bbhash.Name.
	Attempt uint64 `cbor:"1,keyasint"`
	// Service and Version are those of the endpoint that wrote the first event.
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
}

// Check returns an error if a record is incomplete or has a name that is too long.
func (r Record) Check() error {
	if r.Service == "" || r.Version == "" {
		return errors.New("record of a stream without a service or a version")
	}
	if len(r.Service) > maxNameBytes || len(r.Version) > maxNameBytes {
		return errors.Newf("record of a stream with a name of more than %d bytes", maxNameBytes)
	}
	return nil
}

// entry is a stored record.
type entry struct {
	record Record
	// expires is when the record is dropped. Entries expire in the order in which they were added.
	expires time.Duration
	// contradicted is true once another service or version was stated for the same attempt.
	contradicted bool
}

// Table holds the records that a VM knows, at most maxRecords; the oldest is evicted first. A Table is not safe for
// concurrent use.
type Table struct {
	// entries are by attempt. They are only peeked at, so that the oldest is the one that was added first.
	entries *simplelru.LRU[uint64, *entry]
}

// NewTable returns an empty table.
func NewTable() *Table {
	// NewLRU fails only for sizes below 1.
	entries, _ := simplelru.NewLRU[uint64, *entry](maxRecords, nil)
	return &Table{
		entries: entries,
	}
}

// Put stores a record. An attempt has one first event, so a record that differs from the stored one contradicts it,
// and neither is relied on until the stored one expires.
func (t *Table) Put(now time.Duration, r Record) {
	t.expire(now)
	if e, ok := t.entries.Peek(r.Attempt); ok {
		e.contradicted = e.contradicted || e.record != r
		return
	}
	t.entries.Add(r.Attempt, &entry{
		record:  r,
		expires: now + RecordTTL,
	})
}

// Get returns the record of an attempt. It returns false if there is none or if it was contradicted.
func (t *Table) Get(now time.Duration, attempt uint64) (Record, bool) {
	e, ok := t.entries.Peek(attempt)
	if !ok || e.expires <= now || e.contradicted {
		return Record{}, false
	}
	return e.record, true
}

// IsContradicted reports whether records that contradict each other were stored for an attempt.
func (t *Table) IsContradicted(now time.Duration, attempt uint64) bool {
	e, ok := t.entries.Peek(attempt)
	return ok && e.expires > now && e.contradicted
}

// Len returns the number of stored records. Those that have expired count until the next one is stored.
func (t *Table) Len() int {
	return t.entries.Len()
}

// expire drops the records that have expired.
func (t *Table) expire(now time.Duration) {
	for {
		_, e, ok := t.entries.GetOldest()
		if !ok || e.expires > now {
			return
		}
		t.entries.RemoveOldest()
	}
}
