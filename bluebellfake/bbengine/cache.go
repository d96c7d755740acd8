package bbengine

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"

	"github.com/cespare/xxhash/v2"
)

// prefixHashBytes is the length of the prompt prefix that identifies a conversation without a session.
const prefixHashBytes = 64

// EventKind is the kind of change of a cached prefix.
type EventKind string

// The kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// CacheEvent is one published change of a prefix cache.
type CacheEvent struct {
	// Sequence increases by one per change; a gap means that an event was dropped.
	Sequence int64     `json:"sequence"`
	Kind     EventKind `json:"kind"`
	// Prefix is the session; without one it is a hash of the first bytes of the prompt.
	Prefix string `json:"prefix"`
}

// CacheEvents is the response to a query for cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// prefixKey returns the cache key of a prompt: its session, or a hash of its first bytes.
func prefixKey(session, prompt string) string {
	if session != "" {
		return session
	}
	start := prompt[:min(len(prompt), prefixHashBytes)]
	return fmt.Sprintf("%016x", xxhash.Sum64String(start))
}

// prefixCache is an LRU cache of prompts with a limit on their total size.
type prefixCache struct {
	limit  int
	lag    time.Duration
	random *rand.Rand

	size int
	// lru has *prefixEntry values, the most recently used first.
	lru   *list.List
	byKey map[string]*list.Element
	// sequence is the number of the last event; events has the published ones in order.
	sequence int64
	events   []timestampedEvent
}

type prefixEntry struct {
	key   string
	bytes int
}

type timestampedEvent struct {
	at    time.Time
	event CacheEvent
}

func newPrefixCache(limit int, lag time.Duration, seed uint64) *prefixCache {
	return &prefixCache{
		limit:  limit,
		lag:    lag,
		random: rand.New(rand.NewPCG(seed, 2)),
		lru:    list.New(),
		byKey:  map[string]*list.Element{},
	}
}

// use returns how many bytes of a prompt are already cached and then caches all of it.
func (c *prefixCache) use(key string, bytes int, now time.Time) int {
	cached := 0
	if element := c.byKey[key]; element != nil {
		entry := element.Value.(*prefixEntry)
		cached = min(entry.bytes, bytes)
		c.size -= entry.bytes
		c.lru.Remove(element)
		delete(c.byKey, key)
	} else {
		c.recordEvent(EventStored, key, now)
	}
	c.size += bytes
	c.byKey[key] = c.lru.PushFront(&prefixEntry{
		key:   key,
		bytes: bytes,
	})
	for c.size > c.limit {
		c.evict(now)
	}
	return cached
}

func (c *prefixCache) evict(now time.Time) {
	element := c.lru.Back()
	entry := element.Value.(*prefixEntry)
	c.lru.Remove(element)
	delete(c.byKey, entry.key)
	c.size -= entry.bytes
	c.recordEvent(EventEvicted, entry.key, now)
}

// clear empties the cache without events, because a crashed process publishes none.
func (c *prefixCache) clear() {
	c.size = 0
	c.lru.Init()
	c.byKey = map[string]*list.Element{}
}

// recordEvent numbers an event and adds it to the published ones, or drops it at random.
func (c *prefixCache) recordEvent(kind EventKind, key string, now time.Time) {
	c.sequence++
	if c.random.Float64() < eventDropShare {
		return
	}
	if len(c.events) == maxEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	c.events = append(c.events, timestampedEvent{
		at: now,
		event: CacheEvent{
			Sequence: c.sequence,
			Kind:     kind,
			Prefix:   key,
		},
	})
}

// eventsAfter returns the events after a sequence number that are at least as old as the lag.
func (c *prefixCache) eventsAfter(sequence int64, now time.Time) []CacheEvent {
	published := []CacheEvent{}
	for _, d := range c.events {
		if d.event.Sequence > sequence && !d.at.After(now.Add(-c.lag)) {
			published = append(published, d.event)
		}
	}
	return published
}

// Token returns the token at an index of the completion of a prompt. All prompts with the
// same tag have the same completion, whatever the stages before the engine added to them.
func Token(model, prompt string, index int) string {
	key := bbendpoint.Tag([]byte(prompt))
	if key == "" {
		key = prompt
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, key, index))
	return fmt.Sprintf("w%06x ", sum&0xffffff)
}
