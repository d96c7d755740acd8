package bbprovenance

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// maxRecords bounds the attempts with records at a VM: RecordTTL of some 500 a second.
const maxRecords = 32768

// maxClaims bounds the claims that are kept for an attempt: two that differ are enough for it to be unknown.
const maxClaims = 2

// claim is a service and a version that began a stream of an attempt.
type claim struct {
	service, version string
	// expires is RecordTTL after the last stream that they began.
	expires time.Duration
}

// entry has the claims for one attempt.
type entry struct {
	attempt uint64
	// claims differ in service or version. There are at least one and at most maxClaims, sorted by expiry, the last to
	// expire first.
	claims []claim
	// index is the position in Table.byExpiry.
	index int
}

// expires returns when the last claim expires.
func (e *entry) expires() time.Duration {
	return e.claims[0].expires
}

// add adds a claim, or prolongs it if it is there.
func (e *entry) add(c claim) {
	i := slices.IndexFunc(e.claims, func(o claim) bool { return o.service == c.service && o.version == c.version })
	if i >= 0 {
		e.claims[i].expires = max(e.claims[i].expires, c.expires)
	} else {
		e.claims = append(e.claims, c)
	}
	slices.SortStableFunc(e.claims, func(a, b claim) int { return cmp.Compare(b.expires, a.expires) })
	e.claims = e.claims[:min(len(e.claims), maxClaims)]
}

// expiryHeap orders entries by when they expire, see [heap.Interface].
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires() < h[j].expires() }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// Table holds the records that a VM knows, for at most maxRecords attempts; the one that expires first is evicted
// first. A Table is not safe for concurrent use.
type Table struct {
	entries  map[uint64]*entry
	byExpiry expiryHeap
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		entries: make(map[uint64]*entry),
	}
}

// Put stores a record unless it has expired. Records of an attempt that state different services or versions contradict
// each other, and none is relied on until all but one have expired. A record of a later beginning prolongs the one that
// states the same: where the attempt stands for content, several streams share it.
func (t *Table) Put(now time.Duration, r Record) {
	t.expire(now)
	if r.AgeMillis < 0 || r.AgeMillis >= RecordTTL.Milliseconds() {
		return
	}
	c := claim{
		service: r.Service,
		version: r.Version,
		expires: now + RecordTTL - time.Duration(r.AgeMillis)*time.Millisecond,
	}
	if e, ok := t.entries[r.Attempt]; ok {
		e.add(c)
		heap.Fix(&t.byExpiry, e.index)
		return
	}
	e := &entry{
		attempt: r.Attempt,
		claims:  []claim{c},
	}
	t.entries[r.Attempt] = e
	heap.Push(&t.byExpiry, e)
	if len(t.entries) > maxRecords {
		t.removeFirst()
	}
}

// Get returns the record of an attempt. It returns false if there is none or if records contradict each other.
func (t *Table) Get(now time.Duration, attempt uint64) (Record, bool) {
	records := t.Records(now, attempt)
	if len(records) != 1 {
		return Record{}, false
	}
	return records[0], true
}

// IsContradicted reports whether records that contradict each other were stored for an attempt.
func (t *Table) IsContradicted(now time.Duration, attempt uint64) bool {
	return len(t.Records(now, attempt)) > 1
}

// Records returns the records of an attempt, several if they contradict each other.
func (t *Table) Records(now time.Duration, attempt uint64) []Record {
	e, ok := t.entries[attempt]
	if !ok {
		return nil
	}
	records := make([]Record, 0, len(e.claims))
	for _, c := range e.claims {
		if c.expires > now {
			records = append(records, Record{
				Attempt:   attempt,
				Service:   c.service,
				Version:   c.version,
				AgeMillis: (now + RecordTTL - c.expires).Milliseconds(),
			})
		}
	}
	return records
}

// Attempts returns the attempts that have records, in no order.
func (t *Table) Attempts(now time.Duration) []uint64 {
	t.expire(now)
	return slices.Collect(maps.Keys(t.entries))
}

// Len returns the number of attempts that have records. Those that have expired count until the next record is stored.
func (t *Table) Len() int {
	return len(t.entries)
}

// expire drops the entries that have expired.
func (t *Table) expire(now time.Duration) {
	for len(t.byExpiry) > 0 && t.byExpiry[0].expires() <= now {
		t.removeFirst()
	}
}

// removeFirst removes the entry that expires first.
func (t *Table) removeFirst() {
	e := heap.Pop(&t.byExpiry).(*entry)
	delete(t.entries, e.attempt)
}
