package bbengine

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"

	"github.com/cespare/xxhash/v2"
)

// prefixStart is how much of a prompt tells conversations without a session apart.
const prefixHashBytes = 64

// EventKind tells what happened to a prefix.
type EventKind string

// The kinds of cache event.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
)

// CacheEvent is one change of a prefix cache, as published.
type CacheEvent struct {
	// Sequence grows by one per change; a gap means that an event is missing.
	Sequence int64     `json:"sequence"`
	Kind     EventKind `json:"kind"`
	// Prefix is the session, or a hash of the prompt's start without one.
	Prefix string `json:"prefix"`
}

// CacheEvents is the answer to a question for cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// prefixKey names the conversation of a prompt.
func prefixKey(session, prompt string) string {
	if session != "" {
		return session
	}
	start := prompt[:min(len(prompt), prefixHashBytes)]
	return fmt.Sprintf("%016x", xxhash.Sum64String(start))
}

// prefixCache keeps the prompts used last within a bound of bytes.
type prefixCache struct {
	limit  int
	lag    time.Duration
	random *rand.Rand

	size int
	// recent has *prefixEntry values, the one used last in front.
	lru   *list.List
	byKey map[string]*list.Element
	// sequence is that of the last event; events has the published ones in order.
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

// use returns how many bytes of a prompt are cached and then caches all of it.
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

// clear empties the cache, as the end of a process does, without events.
func (c *prefixCache) clear() {
	c.size = 0
	c.lru.Init()
	c.byKey = map[string]*list.Element{}
}

// note records an event, or loses it.
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

// after returns the events past a sequence number that show by now.
func (c *prefixCache) eventsAfter(sequence int64, now time.Time) []CacheEvent {
	shown := []CacheEvent{}
	for _, d := range c.events {
		if d.event.Sequence > sequence && !d.at.After(now.Add(-c.lag)) {
			shown = append(shown, d.event)
		}
	}
	return shown
}

// Token returns the token at an index of the completion of a prompt. All prompts
// with the same mark have the same completion, whatever stages added to them.
func Token(model, prompt string, index int) string {
	key := bbendpoint.Tag([]byte(prompt))
	if key == "" {
		key = prompt
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, key, index))
	return fmt.Sprintf("w%06x ", sum&0xffffff)
}
