// Package bbstanding has what endpoints say of themselves in their answers: that they leave, and
// that they want no requests of this VM for a while. That binds this VM whatever is published.
package bbstanding

import "time"

const (
	// maxRest bounds how long an endpoint is left alone at its own word; after that it may say so
	// again.
	maxBackoff = 24 * time.Hour
	// maxEndpoints bounds the endpoints whose word is remembered.
	maxEndpoints = 4096
)

// Word is what one answer says of its endpoint.
type Signal struct {
	// Leaving endpoints finish what they have and want nothing new.
	Leaving bool
	// RetryAfter is how long the endpoint wants nothing from the VM that it answered; 0 if it
	// doesn't say.
	RetryAfter time.Duration
}

// Process names one process of an endpoint.
type Process struct {
	ID string `json:"id"`
	// Born is the Unix millisecond of its start; 0 if unknown.
	Born int64 `json:"born"`
}

// Table has the word of endpoints. The zero value is not ready for use.
type Table struct {
	// leaving has the processes that said that they leave, with their number in that order.
	leaving map[Process]uint64
	// rests has when the rest of endpoints ends.
	backoffUntil map[Process]time.Duration
	// leavings counts the endpoints that said that they leave.
	drainCount uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		leaving:      make(map[Process]uint64),
		backoffUntil: make(map[Process]time.Duration),
	}
}

// Hear takes in the word of an endpoint. Leaves and rests tell what is news of it.
func (t *Table) Record(now time.Duration, p Process, w Signal) (leaves, rests bool) {
	if w.Leaving && !t.Leaving(p) {
		if len(t.leaving) >= maxEndpoints {
			t.evictLeaving()
		}
		t.drainCount++
		t.leaving[p] = t.drainCount
		leaves = true
	}
	if w.RetryAfter > 0 {
		if _, known := t.backoffUntil[p]; !known && len(t.backoffUntil) >= maxEndpoints {
			t.evictBackoff(now)
		}
		until := now + min(w.RetryAfter, maxBackoff)
		rests = until > t.backoffUntil[p]
		t.backoffUntil[p] = max(t.backoffUntil[p], until)
	}
	return leaves, rests
}

// Leaving tells whether a process has said that it leaves.
func (t *Table) Leaving(p Process) bool {
	return t.leaving[p] > 0
}

// Rest returns how much longer a process wants nothing of this VM.
func (t *Table) RemainingBackoff(now time.Duration, p Process) time.Duration {
	return max(0, t.backoffUntil[p]-now)
}

// Leavings returns a number that changes when another process has said that it leaves.
func (t *Table) DrainCount() uint64 {
	return t.drainCount
}

// dropRest forgets the rest that ends first.
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

// dropLeaving forgets the process that said first that it leaves.
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
