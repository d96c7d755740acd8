package bbevent

import (
	"testing"
	"time"
)

func TestClock(t *testing.T) {
	start := time.UnixMilli(1_000)
	t.Run("never decreases while the wall clock stands still", func(t *testing.T) {
		var c Clock
		checkAfter(t, c.Next(start), c.Next(start))
	})
	t.Run("never decreases when the wall clock steps back", func(t *testing.T) {
		var c Clock
		checkAfter(t, c.Next(start), c.Next(start.Add(-time.Hour)))
	})
	t.Run("exceeds observed stamps", func(t *testing.T) {
		var a, b Clock
		sent := a.Next(start.Add(time.Minute))
		b.Observe(sent)
		checkAfter(t, sent, b.Next(start))
	})
}

func TestCatalogue(t *testing.T) {
	titles := map[string]bool{}
	var last Number
	for _, e := range Catalogue {
		if e.Number <= last {
			t.Errorf("number %d follows %d, want ascending numbers", e.Number, last)
		}
		last = e.Number
		if titles[e.Title] {
			t.Errorf("title %q is used twice", e.Title)
		}
		titles[e.Title] = true
	}
}

func checkAfter(t *testing.T, first, second Stamp) {
	t.Helper()
	if second <= first {
		t.Errorf("stamp %d does not exceed %d", second, first)
	}
}
