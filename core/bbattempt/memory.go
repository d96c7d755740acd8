// Package bbattempt recognises attempts: a key for each, and a memory of those that
// ended, so that copies and late cancels are answered alike.
package bbattempt

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhall/core/bbmsg"
)

// Memory holds attempts that ended, for a time after their end. The caller bounds its
// length.
type DedupCache struct {
	ttl     time.Duration
	entries map[uint64]entry
	// order holds the entries in the order of their ends.
	order []entry
}

// entry is an attempt that ended.
type entry struct {
	key uint64
	// until is when it is forgotten.
	expiresAt time.Duration
	// neverSent is true when it was not sent and never will be.
	neverSent bool
}

// NewMemory returns an empty memory that keeps each attempt for a time.
func NewDedupCache(keep time.Duration) *DedupCache {
	return &DedupCache{
		ttl:     keep,
		entries: map[uint64]entry{},
	}
}

// Len returns the number of attempts held.
func (m *DedupCache) Len() int { return len(m.entries) }

// Add remembers an attempt; what is already known of it stays.
func (m *DedupCache) Add(now time.Duration, key uint64, neverSent bool) {
	if _, known := m.entries[key]; known {
		return
	}
	e := entry{
		key:       key,
		expiresAt: now + m.ttl,
		neverSent: neverSent,
	}
	m.entries[key] = e
	m.order = append(m.order, e)
}

// Find tells whether an attempt is held, and whether it was never sent.
func (m *DedupCache) Find(key uint64) (neverSent, known bool) {
	e, known := m.entries[key]
	return e.neverSent, known
}

// Expire forgets the attempts whose time is over.
func (m *DedupCache) Expire(now time.Duration) {
	n := 0
	for n < len(m.order) && m.order[n].expiresAt <= now {
		delete(m.entries, m.order[n].key)
		n++
	}
	m.order = m.order[n:]
}

// Key returns a hash that identifies an attempt. Two attempts with one key are taken
// for copies, so that the later one is not sent.
func Key(a bbmsg.Attempt) uint64 {
	var buffer [96]byte
	b := append(buffer[:0], a.ID...)
	b = binary.LittleEndian.AppendUint32(b, uint32(a.Stage))
	b = binary.LittleEndian.AppendUint32(b, uint32(a.Number))
	return xxhash.Sum64(b)
}
