// Package bbstream splits streams of server-sent events, so that only complete events are forwarded.
package bbstream

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream that may be resumed. It is many times the size of the events
// that engines send.
const maxEventBytes = 128 << 10

// ErrLongEvent is the cause when an event is longer than maxEventBytes.
var ErrLongEvent = errors.New("event of the stream is too long")

// Splitter finds the complete events of a stream. An event that breaks off is never returned, so the stream
// can be resumed after the last complete one.
type Splitter struct {
	// wholeEvents is false if bytes are returned unchanged as they arrive.
	wholeEvents bool
	// pending has the bytes after the last complete event.
	pending []byte
	// Last is the ID of the last complete event that had one; empty if none had.
	Last string
}

// New returns a splitter; if wholeEvents is false, bytes are returned unchanged as they arrive.
func New(wholeEvents bool) *Splitter {
	return &Splitter{
		wholeEvents: wholeEvents,
	}
}

// eventEnd ends an event: the end of its last line, and an empty line.
var eventEnd = []byte("\n\n")

// idField starts the line with the ID of an event.
var idField = []byte("id:")

// Add adds bytes to the stream and returns those that may be forwarded. They are valid until the next call.
func (s *Splitter) Add(data []byte) ([]byte, error) {
	if !s.wholeEvents {
		return data, nil
	}
	// An empty line may begin in the pending bytes and end in the new ones.
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

// Rest returns the bytes after the last complete event, for the end of a complete stream.
func (s *Splitter) Rest() []byte {
	return s.pending
}
