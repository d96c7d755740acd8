package bbstanding

import "time"

// limitEndAnswers is the number of answers in turn without a limit after which an endpoint's limit has ended.
const limitEndAnswers = 2

// Limit is the rate that an endpoint names as the most that it takes from all VMs together. The zero value
// names none.
type Limit struct {
	// Named is true if the endpoint named a limit.
	Named bool `json:"named"`
	// PerSecond is the limit in requests per second; it may be a fraction or 0.
	PerSecond float64 `json:"perSecond"`
}

// namedLimit is a limit in force.
type namedLimit struct {
	Limit
	// namedAt is when this VM last learned of it.
	namedAt time.Duration
	// without counts the answers without a limit since then.
	without int
}

// RecordLimit records a limit that a process has named, to this VM or to another one. It reports whether it
// differs from the one known before.
func (t *Table) RecordLimit(now time.Duration, p Process, l Limit) (changed bool) {
	if !l.Named {
		return false
	}
	known, ok := t.limits[p]
	if !ok && len(t.limits) >= maxEndpoints {
		t.evictLimit()
	}
	t.limits[p] = &namedLimit{
		Limit:   l,
		namedAt: now,
	}
	return !ok || known.Limit != l
}

// RecordNoLimit records an answer of a process without a limit, to a request that was sent at the given time.
// It reports whether a limit has ended by it.
func (t *Table) RecordNoLimit(sent time.Duration, p Process) (ended bool) {
	l, ok := t.limits[p]
	if !ok || sent <= l.namedAt {
		return false
	}
	if l.without++; l.without < limitEndAnswers {
		return false
	}
	delete(t.limits, p)
	return true
}

// EndLimit removes the limit of a process. It reports whether there was one.
func (t *Table) EndLimit(p Process) bool {
	_, ok := t.limits[p]
	delete(t.limits, p)
	return ok
}

// LimitOf returns the limit of a process.
func (t *Table) LimitOf(p Process) Limit {
	if l, ok := t.limits[p]; ok {
		return l.Limit
	}
	return Limit{}
}

// Limited returns the number of processes with a limit.
func (t *Table) Limited() int {
	return len(t.limits)
}

// evictLimit removes the limit that was named longest ago.
func (t *Table) evictLimit() {
	var oldest Process
	first := true
	for p, l := range t.limits {
		if first || l.namedAt < t.limits[oldest].namedAt {
			oldest, first = p, false
		}
	}
	delete(t.limits, oldest)
}
