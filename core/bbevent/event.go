// Package bbevent defines the catalogue of numbered events, the events themselves
// and the hybrid logical clock that orders the events of all processes.
package bbevent

import "time"

// Event is one entry of the timeline. Fields that do not apply to the event are empty.
type Event struct {
	// Stamp orders the events of all processes; see Clock.
	Stamp Stamp `json:"stamp"`
	// Number is the event's number in the catalogue.
	Number Number `json:"number"`
	// Node is the name of the process that recorded the event.
	Node string `json:"node"`
	// Request is a request id, without its signature.
	Request string `json:"request,omitempty"`
	// Stage is the index of the pipeline stage, starting at 0.
	Stage int `json:"stage,omitempty"`
	// Attempt counts the dispatches of one stage, starting at 1.
	Attempt int `json:"attempt,omitempty"`
	// Endpoint is the name of the endpoint concerned.
	Endpoint string `json:"endpoint,omitempty"`
	// Peer is the name of the other entry VM concerned.
	Peer string `json:"peer,omitempty"`
	// Detail is free text for operators.
	Detail string `json:"detail,omitempty"`
}

// Stamp is a hybrid logical time: milliseconds since the Unix epoch in the upper
// 48 bits and a counter in the lower 16.
type Stamp uint64

// stampCounterBits is the width of the counter in a Stamp.
const stampCounterBits = 16

// Wall returns the wall clock part of the stamp.
func (s Stamp) Wall() time.Time {
	return time.UnixMilli(int64(s >> stampCounterBits))
}

// StampAt returns the smallest stamp of a wall clock time.
func StampAt(wall time.Time) Stamp {
	return Stamp(wall.UnixMilli()) << stampCounterBits
}

// Clock produces stamps that never decrease and that exceed every stamp observed.
// The zero value is ready. A Clock is not safe for concurrent use.
type Clock struct {
	// last is the largest stamp issued or observed.
	last Stamp
}

// Next returns a stamp greater than all before it, no earlier than wall.
func (c *Clock) Next(wall time.Time) Stamp {
	physical := StampAt(wall)
	if physical > c.last {
		c.last = physical
	} else {
		c.last++
	}
	return c.last
}

// Observe advances the clock to a stamp received from another process.
func (c *Clock) Observe(s Stamp) {
	if s > c.last {
		c.last = s
	}
}
