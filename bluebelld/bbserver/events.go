package bbserver

import (
	"sync"

	"github.com/rs/zerolog"

	"bluebellhall/bluebelld/bblog"
	"bluebellhall/core/bbevent"
)

// timeline retains the latest events of the process and logs each event.
type timeline struct {
	node  string
	clock *sharedClock
	log   zerolog.Logger

	mu sync.Mutex
	// ring has the latest events, at most maxEvents, with the oldest at first.
	ring  []bbevent.Event
	first int
}

// maxEvents bounds the events that are retained; older ones are in the log only.
const maxEvents = 16384

// add stamps an event, retains it and logs it.
func (t *timeline) add(e bbevent.Event) {
	e.Node = t.node
	e.Stamp = t.clock.next()
	t.keep(e)
	t.write(e)
}

// keep puts an event into the ring; in a full ring it replaces the oldest.
func (t *timeline) keep(e bbevent.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ring) < maxEvents {
		t.ring = append(t.ring, e)
		return
	}
	t.ring[t.first] = e
	t.first = (t.first + 1) % maxEvents
}

// after returns the retained events with a stamp later than s, oldest first.
func (t *timeline) after(s bbevent.Stamp) []bbevent.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := make([]bbevent.Event, 0)
	for i := range t.ring {
		e := t.ring[(t.first+i)%len(t.ring)]
		if e.Stamp > s {
			found = append(found, e)
		}
	}
	return found
}

// write logs an event with the severity and title of its number in the catalogue.
func (t *timeline) write(e bbevent.Event) {
	entry, _ := bbevent.Lookup(e.Number)
	line := t.log.WithLevel(bblog.Levels[entry.Severity])
	if line == nil {
		return
	}
	line = line.Int("number", int(e.Number)).Uint64("stamp", uint64(e.Stamp)).Str("node", e.Node)
	if e.Request != "" {
		line = line.Str("request", e.Request).Int("stage", e.Stage).Int("attempt", e.Attempt)
	}
	if e.Endpoint != "" {
		line = line.Str("endpoint", e.Endpoint)
	}
	if e.Peer != "" {
		line = line.Str("peer", e.Peer)
	}
	if e.Detail != "" {
		line = line.Str("detail", e.Detail)
	}
	line.Msg(entry.Title)
}
