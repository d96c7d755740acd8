// Package bbengine is the stand-in of a model engine: continuous batching, a
// limited prefix cache, priorities, token streams that can be resumed and
// cancelled, cold starts, late load reports and cache events, and orders.
package bbengine

import (
	"sync"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"
)

const (
	// DefaultTokens is the length of a completion that states none.
	DefaultTokens = 32
	// MaxTokens bounds the length of a completion.
	MaxTokens = 4096
	// DefaultBaseStep is the time of a decoding step of an empty batch.
	DefaultBaseStep = 4 * time.Millisecond
	// DefaultStreamStep is what each stream adds to a step.
	DefaultStreamStep = 300 * time.Microsecond
	// DefaultPrefillKilobyte is the time to take in a kilobyte of prompt.
	DefaultPrefillKilobyte = 10 * time.Millisecond
	// DefaultCacheBytes is the memory for prompt prefixes.
	DefaultCacheBytes = 256 << 10
	// maxEvents bounds the cache events that are kept.
	maxEvents = 1024
	// maxOrders bounds the orders that are kept.
	maxOrders = 1024
	// gapShare is the part of the cache events that is never published.
	eventDropShare = 0.1
)

// Settings describe an engine.
type Settings struct {
	// Endpoint is what all endpoints share; WarmSlots is the largest batch.
	Endpoint bbendpoint.Settings
	// Model is loaded at the start; empty means none.
	Model string
	// Models has the weights of the models that can be loaded, in bytes.
	Models map[string]int64
	// Store is the weight store; nil loads at once.
	Store *WeightStore
	// ChecksFencing refuses orders whose fencing number is old.
	ChecksFencing bool
	// BaseStep, StreamStep and PrefillKilobyte are working times; 0 means the default.
	BaseStep        time.Duration
	StreamStep      time.Duration
	PrefillKilobyte time.Duration
	// CacheBytes is the memory for prompt prefixes; 0 means DefaultCacheBytes.
	CacheBytes int
	// EventLag is how late cache events show.
	EventLag time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.BaseStep == 0 {
		s.BaseStep = DefaultBaseStep
	}
	if s.StreamStep == 0 {
		s.StreamStep = DefaultStreamStep
	}
	if s.PrefillKilobyte == 0 {
		s.PrefillKilobyte = DefaultPrefillKilobyte
	}
	if s.CacheBytes == 0 {
		s.CacheBytes = DefaultCacheBytes
	}
	return s
}

// WeightStore is a store of model weights with one rate for all its readers.
type WeightStore struct {
	// BytesPerSecond is the rate, above 0.
	BytesPerSecond int64

	mu     sync.Mutex
	freeAt time.Time
}

// Reserve queues a transfer and returns how long from now it takes.
func (s *WeightStore) Reserve(bytes int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	seconds := float64(bytes) / float64(s.BytesPerSecond)
	s.freeAt = s.freeAt.Add(time.Duration(seconds * float64(time.Second)))
	return s.freeAt.Sub(now)
}
