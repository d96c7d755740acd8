package bbowner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhall/core/bbmsg"
)

// memory recognises attempts that ended, for a time after their end.
type memory struct {
	keep    time.Duration
	entries map[uint64]memoryEntry
	// order holds the keys in the order of their ends.
	order []memoryEntry
}

// memoryEntry is an attempt that ended.
type memoryEntry struct {
	key uint64
	// until is when it is forgotten.
	until time.Duration
	// neverSent is true when it was not sent and never will be.
	neverSent bool
}

func newMemory(keep time.Duration) *memory {
	return &memory{
		keep:    keep,
		entries: map[uint64]memoryEntry{},
	}
}

// add remembers an attempt; what is already known of it stays.
func (m *memory) add(now time.Duration, key uint64, neverSent bool) {
	m.expire(now)
	if _, known := m.entries[key]; known {
		return
	}
	e := memoryEntry{
		key:       key,
		until:     now + m.keep,
		neverSent: neverSent,
	}
	m.entries[key] = e
	m.order = append(m.order, e)
}

func (m *memory) expire(now time.Duration) {
	n := 0
	for n < len(m.order) && m.order[n].until <= now {
		delete(m.entries, m.order[n].key)
		n++
	}
	m.order = m.order[n:]
}

// attemptKey returns a hash that identifies an attempt. Two attempts with one key
// would be taken for copies, so that the later one is not sent.
func attemptKey(a bbmsg.Attempt) uint64 {
	var buffer [96]byte
	b := append(buffer[:0], a.ID...)
	b = binary.LittleEndian.AppendUint32(b, uint32(a.Stage))
	b = binary.LittleEndian.AppendUint32(b, uint32(a.Number))
	return xxhash.Sum64(b)
}
