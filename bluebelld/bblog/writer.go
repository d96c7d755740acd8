// Package bblog writes log lines without ever making their writers wait: lines go through
// a bounded buffer, and what doesn't fit is dropped, counted and told by a line.
package bblog

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"bluebellhall/core/bbevent"
)

const (
	// maxBytes bounds the buffer: some seconds of lines at several times the usual load.
	maxBytes = 512 << 10
	// reservedBytes is the end of the buffer that is kept for warnings and errors.
	reservedBytes = 128 << 10
	// flushPeriod is how long lines are gathered before they are written.
	flushPeriod = 50 * time.Millisecond
)

// Writer is a bounded buffer before a slow writer. It implements zerolog.LevelWriter.
type Writer struct {
	out io.Writer

	mu sync.Mutex
	// waiting has the lines that are still to be written.
	pending []byte
	// dropped counts the lines that didn't fit since the last line on them.
	dropped int
	// total counts the lines that were dropped since the start.
	total int64
	wake  chan struct{}
	done  chan struct{}
}

// NewWriter returns a writer and its clean-up function, which writes what still waits.
func NewWriter(out io.Writer) (*Writer, func()) {
	w := &Writer{
		out:  out,
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
	stop := make(chan struct{})
	go w.run(stop)
	return w, func() {
		close(stop)
		<-w.done
	}
}

// Write takes in a line of no known level.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel takes in a line, or drops it when the buffer is full. It never waits for the
// output.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := maxBytes - reservedBytes
	if level >= zerolog.WarnLevel {
		limit = maxBytes
	}
	if len(w.pending)+len(line) > limit {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the start.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// run writes lines until it is stopped.
func (w *Writer) run(stop <-chan struct{}) {
	defer close(w.done)
	out := bufio.NewWriter(w.out)
	for {
		select {
		case <-stop:
			w.flush(out)
			return
		case <-w.wake:
		}
		w.flush(out)
		select {
		case <-stop:
			w.flush(out)
			return
		case <-time.After(flushPeriod):
		}
	}
}

// flush writes the lines that wait and a line on those that were dropped.
func (w *Writer) flush(out *bufio.Writer) {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	// There is nowhere to tell of an output that fails.
	_, _ = out.Write(lines)
	if dropped > 0 {
		log := Logger{
			Lines: zerolog.New(out),
		}
		log.Event(bbevent.LogLinesDropped).Int("lines", dropped).Send()
	}
	_ = out.Flush()
}
