package bblog

import (
	"io"
	"testing"

	"github.com/rs/zerolog"

	"bluebellhall/core/bbevent"
)

// linesOfARequest is the approximate number of lines of a request with three stages.
const linesOfARequest = 15

// blockedWriter is an output whose writes never return.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) {
	select {}
}

// countingWriter counts bytes.
type countingWriter struct {
	bytes int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	w.bytes += int64(len(b))
	return len(b), nil
}

func writeRequest(log Logger) {
	for range linesOfARequest {
		log.Event(bbevent.PiecesSent).Str("id", "967b413d1c34533d").Uint64("call", 7).Str("endpoint", "i-b95f232ea8").Str("detail", "stage=1 pieces=0,1,2,3,4").Send()
	}
}

// The cost of one request's lines: with logging on, off, and with a blocked output.
func BenchmarkLinesOfARequest(b *testing.B) {
	b.Run("on", func(b *testing.B) {
		out := &countingWriter{}
		w, flush := NewWriter(out)
		log := Logger{
			Lines: zerolog.New(w).With().Timestamp().Str("vm", "vm-1").Logger(),
		}
		b.ReportAllocs()
		for b.Loop() {
			writeRequest(log)
		}
		flush()
		b.ReportMetric(float64(out.bytes)/float64(b.N), "bytes/op")
		b.ReportMetric(float64(w.Dropped())/float64(b.N), "dropped/op")
	})
	b.Run("off", func(b *testing.B) {
		log := Logger{
			Lines: zerolog.New(io.Discard).Level(zerolog.Disabled),
		}
		b.ReportAllocs()
		for b.Loop() {
			writeRequest(log)
		}
	})
	b.Run("not read", func(b *testing.B) {
		w, _ := NewWriter(blockedWriter{})
		log := Logger{
			Lines: zerolog.New(w).With().Timestamp().Str("vm", "vm-1").Logger(),
		}
		b.ReportAllocs()
		for b.Loop() {
			writeRequest(log)
		}
		b.ReportMetric(float64(w.Dropped())/float64(b.N), "dropped/op")
	})
}
