// Package bbstanding records the load signals that endpoints attach to their answers: that they are
// draining, or that they want no requests from this VM for a while. This VM obeys them whatever state
// of the endpoint is published. The load that they state is in the signals, but isn't recorded here.
package bbstanding

import (
	"time"

	"bluebellhall/core/bbspeed"
)

const (
	// maxBackoff bounds the backoff that an endpoint can request at once; it may renew the request
	// afterwards.
	maxBackoff = 24 * time.Hour
	// maxEndpoints bounds the entries of each map.
	maxEndpoints = 4096
)

// Signal is the load signal in one answer of an endpoint.
type Signal struct {
	// Leaving is true if the endpoint is draining: it finishes its requests and accepts no new ones.
	Leaving bool
	// RetryAfter is how long the endpoint wants no requests from the VM that it answered; 0 if
	// unspecified.
	RetryAfter time.Duration
	// Limit is the rate that the endpoint takes from all VMs together.
	Limit Limit
	// LimitUnclear is true if the answer names a limit that can't be read, and none that can.
	LimitUnclear bool
	// Load is the load that the endpoint stated.
	Load bbspeed.Report
}

// Process identifies one process of an endpoint.
type Process struct {
	ID string `json:"id"`
	// Born is the start of the process in Unix milliseconds; 0 if unknown.
	Born int64 `json:"born"`
}

// Table holds the signals of endpoints. The zero value is not ready for use.
type Table struct {
	// leaving has the draining processes, numbered in the order of their first signal.
	leaving map[Process]uint64
	// backoffUntil is when the backoff requested by each process ends.
	backoffUntil map[Process]time.Duration
	// drainCount counts the processes that have announced that they are draining.
	drainCount uint64
	// limits has the limits that processes have named.
	limits map[Process]*namedLimit
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		leaving:      make(map[Process]uint64),
		backoffUntil: make(map[Process]time.Duration),
		limits:       make(map[Process]*namedLimit),
	}
}

// Record records the signal of an endpoint. It reports whether the process is newly draining and
// whether its backoff was extended.
func (t *Table) Record(now time.Duration, p Process, s Signal) (newlyLeaving, extended bool) {
	if s.Leaving && !t.Leaving(p) {
		if len(t.leaving) >= maxEndpoints {
			t.evictLeaving()
		}
		t.drainCount++
		t.leaving[p] = t.drainCount
		newlyLeaving = true
	}
	if s.RetryAfter > 0 {
		if _, known := t.backoffUntil[p]; !known && len(t.backoffUntil) >= maxEndpoints {
			t.evictBackoff(now)
		}
		until := now + min(s.RetryAfter, maxBackoff)
		extended = until > t.backoffUntil[p]
		t.backoffUntil[p] = max(t.backoffUntil[p], until)
	}
	return newlyLeaving, extended
}

// Leaving reports whether a process has announced that it is draining.
func (t *Table) Leaving(p Process) bool {
	return t.leaving[p] > 0
}

// RemainingBackoff returns how much longer a process wants no requests from this VM.
func (t *Table) RemainingBackoff(now time.Duration, p Process) time.Duration {
	return max(0, t.backoffUntil[p]-now)
}

// DrainCount returns a counter that is incremented whenever another process announces that it is
// draining.
func (t *Table) DrainCount() uint64 {
	return t.drainCount
}

// evictBackoff removes the backoff that ends first.
func (t *Table) evictBackoff(now time.Duration) {
	var first Process
	earliest := now + maxBackoff + 1
	for p, until := range t.backoffUntil {
		if until < earliest {
			first, earliest = p, until
		}
	}
	delete(t.backoffUntil, first)
}

// evictLeaving removes the process that was the first to announce that it is draining.
func (t *Table) evictLeaving() {
	var first Process
	least := t.drainCount + 1
	for p, number := range t.leaving {
		if number < least {
			first, least = p, number
		}
	}
	delete(t.leaving, first)
}
