package bbprovenance

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

func record(attempt uint64, version string) Record {
	return Record{
		Attempt: attempt,
		Service: "s",
		Version: version,
	}
}

// wantVersion checks the version of the record of an attempt; empty if there should be none.
func wantVersion(t *testing.T, table *Table, now time.Duration, attempt uint64, want string) {
	t.Helper()
	r, ok := table.Get(now, attempt)
	if r.Version != want || ok != (want != "") {
		t.Errorf("record of %d at %s: version %q, found %t; want %q", attempt, now, r.Version, ok, want)
	}
}

func TestTable(t *testing.T) {
	t.Run("a record lives from when it was first stored", func(t *testing.T) {
		table := NewTable()
		table.Put(0, record(1, "v1"))
		table.Put(RecordTTL/2, record(1, "v1"))
		wantVersion(t, table, RecordTTL-1, 1, "v1")
		wantVersion(t, table, RecordTTL, 1, "")
		wantVersion(t, table, 0, 2, "")
	})
	t.Run("records that contradict each other are not relied on", func(t *testing.T) {
		table := NewTable()
		table.Put(0, record(1, "v1"))
		table.Put(1, record(1, "v2"))
		table.Put(2, record(1, "v1"))
		wantVersion(t, table, RecordTTL-1, 1, "")
		if !table.IsContradicted(RecordTTL-1, 1) || table.IsContradicted(RecordTTL, 1) {
			t.Error("contradicted only until the first record expires: not so")
		}
		table.Put(RecordTTL, record(1, "v2"))
		wantVersion(t, table, RecordTTL, 1, "v2")
	})
	t.Run("the oldest are evicted", func(t *testing.T) {
		table := NewTable()
		for i := range uint64(maxRecords + 1) {
			table.Put(time.Duration(i), record(i, "v1"))
			// Neither a lookup nor a repeat makes a record younger.
			table.Get(time.Duration(i), 0)
			table.Put(time.Duration(i), record(min(i, 1), "v1"))
		}
		if table.Len() != maxRecords {
			t.Errorf("%d records, want %d", table.Len(), maxRecords)
		}
		wantVersion(t, table, maxRecords, 0, "")
		wantVersion(t, table, maxRecords, 1, "v1")
	})
	t.Run("expired records are dropped", func(t *testing.T) {
		table := NewTable()
		table.Put(0, record(1, "v1"))
		table.Put(RecordTTL, record(2, "v1"))
		if table.Len() != 1 {
			t.Errorf("%d records, want 1", table.Len())
		}
	})
}

func TestCheck(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	for name, c := range map[string]struct {
		record Record
		valid  bool
	}{
		"complete":            {Record{Service: long[1:], Version: long[1:]}, true},
		"without a service":   {Record{Version: "v1"}, false},
		"without a version":   {Record{Service: "s"}, false},
		"with a long service": {Record{Service: long, Version: "v1"}, false},
		"with a long version": {Record{Service: "s", Version: long}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := c.record.Check(); (err == nil) != c.valid {
				t.Errorf("error %v, want a valid record: %t", err, c.valid)
			}
		})
	}
}

// BenchmarkMemory measures the memory of a record whose names are of usual length and were decoded from a message.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := NewTable()
		for i := range uint64(maxRecords) {
			table.Put(0, Record{
				Attempt: i,
				Service: strings.Clone("stock-brief"),
				Version: strings.Clone("v1.2.10"),
			})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(table.Len()), "bytes/record")
	}
}
