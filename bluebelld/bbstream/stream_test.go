package bbstream

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestSplitter(t *testing.T) {
	s := New(true)
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
	if s.Last != "2" {
		t.Errorf("last event is %q, want 2", s.Last)
	}
}

// Events are returned complete and in order, whatever an endpoint streams, and the buffer is bounded.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"), uint8(3))
	f.Add([]byte("\n\n\n\nid:\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, data []byte, step uint8) {
		s := New(true)
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
		if len(got) > 0 && !strings.HasSuffix(string(got), "\n\n") {
			t.Errorf("%q doesn't end with an event", got)
		}
	})
}
