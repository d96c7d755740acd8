// Package bbstream reads streams of server-sent events: it finds their complete events and recognizes streams
// that broke off.
package bbstream

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream that may be resumed. It is many times the size of the events
// that engines send.
const maxEventBytes = 128 << 10

// ErrLongEvent is the cause when an event is longer than maxEventBytes.
var ErrLongEvent = errors.New("event of the stream is too long")

// ErrCut is the cause when a stream ends inside an event or, if only the end of the connection ends it, before
// its first event.
var ErrCut = errors.New("stream ends inside an event")

// ErrNotContinued is the cause when a run that was to go on after an event repeats it or leaves events out.
var ErrNotContinued = errors.New("stream doesn't go on after its last event")

// Body checks a stream while it is read.
type Body struct {
	inner    io.Reader
	unframed bool
	position position
}

// NewBody returns a reader of a stream that returns io.EOF only if the stream is complete. A stream that ends
// inside an event ends with ErrCut. So does one without events if unframed is true, that is, if it has neither
// a length nor chunks: its endpoint may have failed before the first event.
func NewBody(inner io.Reader, unframed bool) *Body {
	return &Body{
		inner:    inner,
		unframed: unframed,
	}
}

// HasEvent reports whether a complete event has been read.
func (b *Body) HasEvent() bool {
	return b.position.hasEvent
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	for _, c := range p[:n] {
		b.position.next(c)
	}
	if errors.Is(err, io.EOF) && (b.position.inEvent() || b.unframed && !b.position.hasEvent) {
		return n, ErrCut
	}
	return n, err
}

// Splitter finds the complete events of a stream. An event that breaks off is never returned, so the stream
// can be resumed after the last complete one.
type Splitter struct {
	// wholeEvents is false if bytes are returned unchanged as they arrive.
	wholeEvents bool
	position    position
	// pending has the bytes after the last complete event.
	pending []byte
	// ids are the IDs of the complete events, and of those of earlier runs.
	ids *IDs
	// joins is true until the first event of a run that goes on after earlier ones.
	joins bool
}

// New returns a splitter for the first run of a stream, whose IDs it appends to ids. If wholeEvents is false, bytes
// are returned unchanged as they arrive, and there are no IDs.
func New(wholeEvents bool, ids *IDs) *Splitter {
	return &Splitter{
		wholeEvents: wholeEvents,
		ids:         ids,
	}
}

// Resume returns a splitter for a run that goes on after the events with the given IDs.
func Resume(ids *IDs) *Splitter {
	return &Splitter{
		wholeEvents: true,
		ids:         ids,
		joins:       true,
	}
}

// idField starts the line with the ID of an event.
var idField = []byte("id:")

// Add adds bytes to the stream and returns those that may be forwarded. They are valid until the next call. It
// returns ErrNotContinued if a run doesn't go on after the events before it.
func (s *Splitter) Add(data []byte) ([]byte, error) {
	if !s.wholeEvents {
		return data, nil
	}
	before := len(s.pending)
	s.pending = append(s.pending, data...)
	end := 0
	for i, c := range data {
		if !s.position.next(c) {
			continue
		}
		if err := s.endEvent(s.pending[end : before+i+1]); err != nil {
			return nil, err
		}
		end = before + i + 1
	}
	if end == 0 {
		if len(s.pending) > maxEventBytes {
			return nil, ErrLongEvent
		}
		return nil, nil
	}
	events := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return events, nil
}

// endEvent processes a complete event, or comments and empty lines.
func (s *Splitter) endEvent(event []byte) error {
	id, hasField := "", false
	for _, line := range bytes.FieldsFunc(event, isLineEnd) {
		hasField = hasField || line[0] != ':'
		if text, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(text))
		}
	}
	if !hasField {
		return nil
	}
	if s.joins && !s.ids.continues(id) {
		return errors.Wrapf(ErrNotContinued, "%q after %q", id, s.ids.Last)
	}
	s.joins = false
	s.ids.add(id)
	return nil
}

func isLineEnd(r rune) bool {
	return r == '\n' || r == '\r'
}

// Rest returns the bytes after the last complete event, for the end of a complete stream.
func (s *Splitter) Rest() []byte {
	return s.pending
}
