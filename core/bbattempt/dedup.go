// Package bbattempt deduplicates attempts: it hashes an attempt to a key and caches the keys of finished
// attempts, so that duplicates and late cancellations get the same answer.
package bbattempt

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhall/core/bbmsg"
)

// DedupCache holds finished attempts for a fixed time after their end. The caller bounds its size.
type DedupCache struct {
	ttl     time.Duration
	entries map[uint64]entry
	// order holds the entries in the order in which they expire.
	order []entry
}

// entry is a finished attempt.
type entry struct {
	key uint64
	// expiresAt is when the entry is evicted.
	expiresAt time.Duration
	// neverSent is true if the attempt was not sent and never will be.
	neverSent bool
}

// NewDedupCache returns an empty cache that keeps each attempt for the given time.
func NewDedupCache(ttl time.Duration) *DedupCache {
	return &DedupCache{
		ttl:     ttl,
		entries: map[uint64]entry{},
	}
}

// Len returns the number of cached attempts.
func (m *DedupCache) Len() int { return len(m.entries) }

// Add caches an attempt; an existing entry stays unchanged.
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

// Find reports whether an attempt is cached, and whether it was never sent.
func (m *DedupCache) Find(key uint64) (neverSent, known bool) {
	e, known := m.entries[key]
	return e.neverSent, known
}

// Expire evicts the attempts whose TTL is over.
func (m *DedupCache) Expire(now time.Duration) {
	n := 0
	for n < len(m.order) && m.order[n].expiresAt <= now {
		delete(m.entries, m.order[n].key)
		n++
	}
	m.order = m.order[n:]
}

// Key returns a hash that identifies an attempt. Two attempts with the same key are treated as duplicates,
// so that the later one is not sent.
func Key(a bbmsg.Attempt) uint64 {
	var buffer [96]byte
	b := append(buffer[:0], a.ID...)
	b = binary.LittleEndian.AppendUint32(b, uint32(a.Stage))
	b = binary.LittleEndian.AppendUint32(b, uint32(a.Number))
	return xxhash.Sum64(b)
}
