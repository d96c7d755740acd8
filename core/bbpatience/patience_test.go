package bbpatience

import (
	"fmt"
	"testing"
	"time"
)

// said records a number of attempts with the same wait.
func said(t *Table, n int, wait time.Duration) {
	for range n {
		t.Elapsed("r", wait, 0)
	}
}

func wantElapsed(t *testing.T, table *Table, wait, usual, want time.Duration) {
	t.Helper()
	if got := table.Elapsed("r", wait, usual); got != want {
		t.Errorf("a caller that waits for %v has an elapsed time of %v, want %v", wait, got, want)
	}
}

func TestElapsed(t *testing.T) {
	t.Run("first attempt", func(t *testing.T) {
		table := NewTable()
		said(table, windowSize, 6*time.Second)
		wantElapsed(t, table, 5980*time.Millisecond, 0, 0)
	})
	t.Run("retry", func(t *testing.T) {
		table := NewTable()
		said(table, windowSize, 6*time.Second)
		wantElapsed(t, table, 4*time.Second, 0, 2*time.Second)
	})
	t.Run("callers with different timeouts", func(t *testing.T) {
		table := NewTable()
		for i := range windowSize {
			table.Elapsed("r", time.Duration(1+i%8)*time.Second, 0)
		}
		wantElapsed(t, table, 4*time.Second, 8*time.Second, 0)
	})
	t.Run("many retries in a row", func(t *testing.T) {
		table := NewTable()
		said(table, windowSize, 6*time.Second)
		said(table, windowSize/3, 3*time.Second)
		wantElapsed(t, table, 3*time.Second, 0, 3*time.Second)
	})
	t.Run("just started", func(t *testing.T) {
		table := NewTable()
		wantElapsed(t, table, 4*time.Second, 6*time.Second, 2*time.Second)
		wantElapsed(t, table, 9*time.Second, 6*time.Second, 0)
		wantElapsed(t, table, 4*time.Second, 6*time.Second, 0)
	})
	t.Run("no estimate possible", func(t *testing.T) {
		wantElapsed(t, NewTable(), 4*time.Second, 0, 0)
	})
	t.Run("other routes", func(t *testing.T) {
		table := NewTable()
		said(table, windowSize, 6*time.Second)
		if got := table.Elapsed("other", time.Second, 0); got != 0 {
			t.Errorf("elapsed %v by another route's callers, want 0", got)
		}
	})
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range maxRoutes + 10 {
		table.Elapsed(fmt.Sprint(i), time.Second, 0)
	}
	if len(table.routes) > maxRoutes {
		t.Errorf("%d routes, want %d at most", len(table.routes), maxRoutes)
	}
}
