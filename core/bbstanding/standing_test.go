package bbstanding

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var a = Process{ID: "a", Born: 1}

// wantStanding checks the signals recorded of a process.
func wantStanding(t *testing.T, table *Table, now time.Duration, p Process, leaving bool, backoff time.Duration) {
	t.Helper()
	if got := table.Leaving(p); got != leaving {
		t.Errorf("%+v is draining: %t, want %t", p, got, leaving)
	}
	if got := table.RemainingBackoff(now, p); got != backoff {
		t.Errorf("%+v has a backoff of %v at %v, want %v", p, got, now, backoff)
	}
}

func TestLeavingHoldsForOneProcess(t *testing.T) {
	table := NewTable()
	if leaves, _ := table.Record(0, a, Signal{Leaving: true}); !leaves {
		t.Error("the first drain signal is not reported as new")
	}
	if leaves, _ := table.Record(0, a, Signal{Leaving: true}); leaves {
		t.Error("the second drain signal is reported as new")
	}
	table.Record(time.Second, a, Signal{})
	wantStanding(t, table, time.Second, a, true, 0)
	wantStanding(t, table, time.Second, Process{ID: "a", Born: 2}, false, 0)
}

func TestRest(t *testing.T) {
	table := NewTable()
	table.Record(0, a, Signal{RetryAfter: 3 * time.Second})
	wantStanding(t, table, time.Second, a, false, 2*time.Second)
	t.Run("a shorter one doesn't shorten it", func(t *testing.T) {
		table.Record(time.Second, a, Signal{RetryAfter: 500 * time.Millisecond})
		table.Record(time.Second, a, Signal{})
		wantStanding(t, table, time.Second, a, false, 2*time.Second)
	})
	t.Run("it expires", func(t *testing.T) {
		wantStanding(t, table, 3*time.Second, a, false, 0)
	})
	t.Run("it is bounded", func(t *testing.T) {
		table.Record(0, a, Signal{RetryAfter: math.MaxInt64})
		wantStanding(t, table, 0, a, false, maxBackoff)
	})
	t.Run("another process has none", func(t *testing.T) {
		wantStanding(t, table, 0, Process{ID: "a", Born: 2}, false, 0)
	})
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	table.Record(0, a, Signal{RetryAfter: time.Hour})
	for i := range 3 * maxEndpoints {
		table.Record(0, Process{ID: fmt.Sprint(i)}, Signal{
			Leaving:    true,
			RetryAfter: time.Second,
		})
	}
	if len(table.leaving) > maxEndpoints || len(table.backoffUntil) > maxEndpoints {
		t.Errorf("%d draining processes and %d backoffs are stored, want at most %d", len(table.leaving), len(table.backoffUntil), maxEndpoints)
	}
	wantStanding(t, table, 0, a, false, time.Hour)
}
