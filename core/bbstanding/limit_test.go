package bbstanding

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func wantLimit(t *testing.T, table *Table, p Process, want Limit) {
	t.Helper()
	if diff := cmp.Diff(want, table.LimitOf(p)); diff != "" {
		t.Errorf("limit of %s (-want +got):\n%s", p.ID, diff)
	}
}

func TestLimit(t *testing.T) {
	table := NewTable()
	p := Process{ID: "a", Born: 1}
	one := Limit{Named: true, PerSecond: 1}
	if !table.RecordLimit(5*time.Second, p, one) || table.RecordLimit(6*time.Second, p, one) {
		t.Error("a limit counts as new when it is named again, or doesn't at first")
	}
	wantLimit(t, table, p, one)
	t.Run("belongs to one process", func(t *testing.T) {
		wantLimit(t, table, Process{ID: "a", Born: 2}, Limit{})
	})
	t.Run("outlives answers to earlier requests", func(t *testing.T) {
		table.RecordNoLimit(4*time.Second, p)
		table.RecordNoLimit(6*time.Second, p)
		wantLimit(t, table, p, one)
	})
	t.Run("ends after two answers without it", func(t *testing.T) {
		if table.RecordNoLimit(7*time.Second, p) {
			t.Error("ended with the first answer")
		}
		table.RecordLimit(8*time.Second, p, one)
		if table.RecordNoLimit(9*time.Second, p) || !table.RecordNoLimit(10*time.Second, p) {
			t.Error("did not end with the second answer in turn")
		}
		wantLimit(t, table, p, Limit{})
	})
}

func TestLimitsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range maxEndpoints + 1 {
		table.RecordLimit(time.Duration(i), Process{ID: string(rune(i))}, Limit{Named: true})
	}
	if table.Limited() != maxEndpoints {
		t.Errorf("%d limits are kept, want %d", table.Limited(), maxEndpoints)
	}
	wantLimit(t, table, Process{ID: string(rune(0))}, Limit{})
}
