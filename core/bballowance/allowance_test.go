package bballowance

import (
	"testing"
	"time"
)

func taken(w *Window, now time.Duration, tries int) int {
	n := 0
	for range tries {
		if w.Take(now, 1) {
			n++
		}
	}
	return n
}

func TestWindow(t *testing.T) {
	w := &Window{
		Span:  10 * time.Second,
		Ratio: 0.2,
		Slack: 10,
	}
	for range 100 {
		w.Request(time.Second)
	}
	if got := taken(w, 2*time.Second, 100); got != 24 {
		t.Errorf("%d repeats, want 24: 0.8 of a fifth of 100 requests and 10", got)
	}
	if got := taken(w, 9*time.Second, 100); got != 0 {
		t.Errorf("%d more repeats in the same window, want none", got)
	}
	if got := taken(w, 30*time.Second, 100); got != 8 {
		t.Errorf("%d repeats in a window without requests, want 8", got)
	}
}

func TestAnyWindowIsBounded(t *testing.T) {
	w := &Window{
		Span:  10 * time.Second,
		Ratio: 0.2,
		Slack: 10,
	}
	var at []time.Duration
	for now := time.Duration(0); now < 60*time.Second; now += 70 * time.Millisecond {
		if w.Take(now, 1) {
			at = append(at, now)
		}
	}
	for i := range at {
		n := 0
		for _, later := range at[i:] {
			if later-at[i] < 10*time.Second {
				n++
			}
		}
		if n > 10 {
			t.Fatalf("%d repeats within ten seconds from %v, want at most 10", n, at[i])
		}
	}
}
