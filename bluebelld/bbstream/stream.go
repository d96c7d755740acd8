// Package bbstream splits streams of events, so that none is passed on in part.
package bbstream

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event of a stream that may be resumed, in bytes: many times what engines
// send.
const maxEventBytes = 128 << 10

// ErrLongEvent is the cause when an event is longer than maxEvent.
var ErrLongEvent = errors.New("event of the stream is too long")

// Splitter finds the whole events of a stream, so that one that is cut in the middle is
// never passed on.
type Splitter struct {
	// whole is false where bytes are passed on as they come.
	wholeEvents bool
	pending     []byte
	// Last is the ID of the last whole event; empty if none had one.
	Last string
}

// New returns a splitter; whole is false where bytes are passed on as they come.
func New(whole bool) *Splitter {
	return &Splitter{
		wholeEvents: whole,
	}
}

// eventEnd is the empty line after an event.
var eventEnd = []byte("\n\n")

// idField begins the line with an event's ID.
var idField = []byte("id:")

// Add takes in bytes and returns those that may be passed on. They are valid until the
// next call.
func (s *Splitter) Add(data []byte) ([]byte, error) {
	if !s.wholeEvents {
		return data, nil
	}
	// The end of an event may lie across what was held and what is new.
	from := max(0, len(s.pending)-len(eventEnd)+1)
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending[from:], eventEnd)
	if end < 0 {
		if len(s.pending) > maxEventBytes {
			return nil, ErrLongEvent
		}
		return nil, nil
	}
	end += from
	end += len(eventEnd)
	events := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	for _, line := range bytes.Split(events, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.Last = string(bytes.TrimSpace(id))
		}
	}
	return events, nil
}

// Rest returns what is left at the end of a whole stream.
func (s *Splitter) Rest() []byte {
	return s.pending
}
