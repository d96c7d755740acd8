package bbstream

import (
	"fmt"
	"strings"
	"testing"
)

// eventsOf returns events with the given IDs, separated by spaces; - stands for an event without one.
func eventsOf(ids string) string {
	var events strings.Builder
	for id := range strings.FieldsSeq(ids) {
		if id != "-" {
			events.WriteString("id: " + id + "\n")
		}
		events.WriteString("data: a\n\n")
	}
	return events.String()
}

func TestIDsThatContinue(t *testing.T) {
	for _, c := range []struct {
		former string
		next   string
		want   bool
	}{
		{"1 2 3", "4", true},
		{"1 2 3", "3", false},
		{"1 2 3", "1", false},
		{"1 2 3", "5", false},
		{"10 20 30", "40", true},
		{"10 20 30", "31", true},
		{"10 20 30", "41", false},
		{"1", "2", true},
		{"1", "3", true},
		{"1", "1", false},
		{"7", "1", false},
		{"1 2 5", "6", true},
		{"1 2 5", "9", true},
		{"1 2 5", "5", false},
		{"3 2 1", "2", true},
		{"a b", "c", true},
		{"a b", "b", false},
		{"1 2", "x", true},
		{"1 2", "-", false},
		{"1 2", "- 3", false},
		{"", "1", true},
		{"", "-", true},
	} {
		t.Run(fmt.Sprintf("%s after %s", c.next, c.former), func(t *testing.T) {
			var s IDs
			splitter := New(true, &s)
			if _, err := splitter.Add([]byte(eventsOf(c.former))); err != nil {
				t.Fatal(err)
			}
			_, err := Resume(&s).Add([]byte(eventsOf(c.next)))
			if got := err == nil; got != c.want {
				t.Errorf("continues: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against a run that is to go on after an event without an ID: it could only begin anew.
func TestStreamsThatCanBeResumed(t *testing.T) {
	for events, want := range map[string]bool{"": true, "1": true, "1 2": true, "-": false, "1 -": false, "- 1": true} {
		t.Run(events, func(t *testing.T) {
			var s IDs
			if _, err := New(true, &s).Add([]byte(": hello\n\n" + eventsOf(events))); err != nil {
				t.Fatal(err)
			}
			if got := s.Resumable(); got != want {
				t.Errorf("resumable: %t, want %t", got, want)
			}
		})
	}
}
