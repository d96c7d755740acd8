package bblog

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

func TestLinesComeInOrder(t *testing.T) {
	var out bytes.Buffer
	w, cleanup := NewWriter(&out)
	log := zerolog.New(w)
	log.Info().Msg("first")
	log.Warn().Msg("second")
	cleanup()
	want := "{\"level\":\"info\",\"message\":\"first\"}\n{\"level\":\"warn\",\"message\":\"second\"}\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestOutputThatIsNotRead fills the buffer before an output that nobody reads. Were a line
// to wait for the output, the test would never end.
func TestBlockedOutput(t *testing.T) {
	reader, writer := io.Pipe()
	w, cleanup := NewWriter(writer)
	line := []byte(strings.Repeat("x", 999) + "\n")
	const lines = 2000
	for range lines {
		if _, err := w.WriteLevel(zerolog.InfoLevel, line); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no lines were dropped, want some of 2 MB")
	}
	dropped := w.Dropped()
	for range 50 {
		if _, err := w.WriteLevel(zerolog.ErrorLevel, line); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() != dropped {
		t.Error("errors were dropped, want them to have room that plain lines don't get")
	}
	got := make(chan string)
	go func() {
		data, _ := io.ReadAll(reader)
		got <- string(data)
	}()
	cleanup()
	writer.Close()
	if text := <-got; !strings.Contains(text, "logLinesDropped") {
		t.Error("no line tells of the lines that were dropped, want one")
	}
}
