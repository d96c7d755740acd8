package bbstream

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

func TestSplitter(t *testing.T) {
	var ids IDs
	s := New(true, &ids)
	var got string
	for _, part := range []string{"id: 1\nda", "ta: a\n", "\nid: 2\n", "data: b\n\nid: 3"} {
		events, err := s.Add([]byte(part))
		if err != nil {
			t.Fatal(err)
		}
		got += string(events)
	}
	if diff := cmp.Diff("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if ids.Last != "2" {
		t.Errorf("last event is %q, want 2", ids.Last)
	}
}

// Events are returned complete and in order, whatever an endpoint streams, and the buffer is bounded.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"), uint8(3))
	f.Add([]byte("\n\n\n\nid:\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, data []byte, step uint8) {
		s := New(true, &IDs{})
		var got []byte
		for rest := data; len(rest) > 0; {
			n := min(len(rest), 1+int(step))
			events, err := s.Add(rest[:n])
			if err != nil {
				return
			}
			got = append(got, events...)
			rest = rest[n:]
		}
		if string(got)+string(s.Rest()) != string(data) {
			t.Errorf("%q was returned and %q is pending of %q", got, s.Rest(), data)
		}
		if len(got) > 0 && !endsWithEmptyLine(string(got)) {
			t.Errorf("%q doesn't end with an event", got)
		}
	})
}

// endsWithEmptyLine reports whether the last line of a text is empty and complete.
func endsWithEmptyLine(text string) bool {
	text = normalize(text)
	return text == "\n" || strings.HasSuffix(text, "\n\n")
}

// normalize replaces all line ends by LF.
func normalize(text string) string {
	return strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(text)
}

// A stream is complete exactly if its fields and lines all end before an empty line, whatever an endpoint sends
// and however it arrives.
func FuzzBody(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"), uint8(3), false)
	f.Add([]byte("data: a\r\r\n: b\r"), uint8(1), true)
	f.Fuzz(func(t *testing.T, data []byte, step uint8, unframed bool) {
		inner := iotest.DataErrReader(&slowReader{rest: data, step: 1 + int(step)})
		got, err := io.ReadAll(NewBody(inner, unframed))
		if string(got) != string(data) {
			t.Errorf("%q was read of %q", got, data)
		}
		fields, events := 0, 0
		lines := strings.Split(normalize(string(data)), "\n")
		for _, line := range lines[:len(lines)-1] {
			switch {
			case line == "":
				events += min(fields, 1)
				fields = 0
			case line[0] != ':':
				fields++
			}
		}
		complete := fields == 0 && lines[len(lines)-1] == "" && (!unframed || events > 0)
		if complete != (err == nil) || err != nil && !errors.Is(err, ErrCut) {
			t.Errorf("error %v for %q, want complete %t", err, data, complete)
		}
	})
}

// slowReader returns at most step bytes at a time.
type slowReader struct {
	rest []byte
	step int
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest[:min(len(r.rest), r.step)])
	r.rest = r.rest[n:]
	return n, nil
}

// Regression: events whose lines end with CR LF or CR were not recognized, so that a stream of them was buffered
// up to its end.
func TestSplitterRecognizesAllLineEnds(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"} {
		t.Run(name, func(t *testing.T) {
			var ids IDs
			s := New(true, &ids)
			text := strings.ReplaceAll("id: 1\ndata: a\n\nid: 2", "\n", end)
			events, err := s.Add([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			got := []string{normalize(string(events)), strings.TrimSpace(string(s.Rest())), ids.Last}
			if diff := cmp.Diff([]string{"id: 1\ndata: a\n\n", "id: 2", "1"}, got); diff != "" {
				t.Errorf("events, rest and last ID (-want +got):\n%s", diff)
			}
		})
	}
}
