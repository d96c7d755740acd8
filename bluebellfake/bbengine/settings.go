// Package bbengine implements a fake model engine with continuous batching, a limited
// prefix cache, priorities, token streams that can be resumed and cancelled, cold starts,
// delayed load reports and cache events, and orders.
package bbengine

import (
	"sync"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"
)

const (
	// DefaultTokens is the length of a completion whose request states none.
	DefaultTokens = 32
	// MaxTokens bounds the length of a completion.
	MaxTokens = 4096
	// DefaultBaseStep is the duration of a decoding step without the share of its streams.
	DefaultBaseStep = 4 * time.Millisecond
	// DefaultStreamStep is the time that each stream in the batch adds to a decoding step.
	DefaultStreamStep = 300 * time.Microsecond
	// DefaultPrefillKilobyte is the time to process a kilobyte of prompt.
	DefaultPrefillKilobyte = 10 * time.Millisecond
	// DefaultCacheBytes is the size of the prefix cache.
	DefaultCacheBytes = 256 << 10
	// maxEvents bounds the number of cache events that are kept.
	maxEvents = 1024
	// maxOrders bounds the number of orders that are kept.
	maxOrders = 1024
	// eventDropShare is the fraction of the cache events that is dropped and never published.
	eventDropShare = 0.1
)

// Settings configure an engine.
type Settings struct {
	// Endpoint has the settings that all endpoints share; WarmSlots is the maximum batch size.
	Endpoint bbendpoint.Settings
	// Model is the model loaded at the start; empty means none.
	Model string
	// Models maps the models that can be loaded to the size of their weights in bytes.
	Models map[string]int64
	// Store is the weight store; with nil, models load without delay.
	Store *WeightStore
	// ChecksFencing makes the engine reject orders with an outdated fencing number.
	ChecksFencing bool
	// BaseStep, StreamStep and PrefillKilobyte are durations; 0 means the default.
	BaseStep        time.Duration
	StreamStep      time.Duration
	PrefillKilobyte time.Duration
	// CacheBytes is the size of the prefix cache; 0 means DefaultCacheBytes.
	CacheBytes int
	// EventLag is the delay of the publication of cache events.
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

// WeightStore is a store of model weights whose bandwidth is shared by all its readers.
type WeightStore struct {
	// BytesPerSecond is the bandwidth, above 0.
	BytesPerSecond int64

	mu sync.Mutex
	// freeAt is when the last reserved transfer ends.
	freeAt time.Time
}

// Reserve queues a transfer after all earlier ones and returns the time until its end.
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
