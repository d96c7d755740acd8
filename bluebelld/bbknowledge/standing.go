package bbknowledge

import (
	"time"

	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
)

// process returns the identity of a listed endpoint's process.
func process(e bbregistry.Endpoint) bbstanding.Process {
	return bbstanding.Process{
		ID:   e.ID,
		Born: e.StartedMillis,
	}
}

// MaySend reports whether this VM may send requests to an endpoint now, and which process of the endpoint
// they reach. It is called before each send.
func (k *Knowledge) MaySend(id string) (bbstanding.Process, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.table.Usable(id)
	if e == nil {
		return bbstanding.Process{
			ID: id,
		}, false
	}
	p := process(e.Endpoint)
	return p, !k.standing.Leaving(p) && k.standing.RemainingBackoff(k.now(), p) == 0
}

// RecordSignal records the load signal of an endpoint's process. It reports whether the process is newly
// draining and whether its backoff was extended.
func (k *Knowledge) RecordSignal(p bbstanding.Process, s bbstanding.Signal) (newlyLeaving, extended bool) {
	if s == (bbstanding.Signal{}) {
		return false, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.standing.Record(k.now(), p, s)
}

// BackoffUntil returns the end of the backoff that an endpoint requested from this VM; 0 if there is none.
func (k *Knowledge) BackoffUntil(id string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.table.Listed(id)
	if !ok {
		return 0
	}
	now := k.now()
	if backoff := k.standing.RemainingBackoff(now, process(e)); backoff > 0 {
		return now + backoff
	}
	return 0
}

// ProcessAt returns the process of the endpoint that is listed at an address.
func (k *Knowledge) ProcessAt(address string) (bbstanding.Process, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.table.At(address)
	return process(e), ok
}

// RecordLimit records a limit that an endpoint's process has named. It reports whether it is new.
func (k *Knowledge) RecordLimit(p bbstanding.Process, l bbstanding.Limit) (changed bool) {
	if !l.Named {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.standing.RecordLimit(k.now(), p, l)
}

// RecordNoLimit records an answer without a limit to a request that was sent at the given time. It reports
// whether the limit of the process has ended by it.
func (k *Knowledge) RecordNoLimit(p bbstanding.Process, sent time.Duration) (ended bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.standing.RecordNoLimit(sent, p)
}

// EndLimit removes the limit of a process, which has ended according to another VM. It reports whether there
// was one.
func (k *Knowledge) EndLimit(p bbstanding.Process) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.standing.EndLimit(p)
}

// Limit returns the limit that an endpoint has named, with its process and its failure domain.
func (k *Knowledge) Limit(id string) (bbstanding.Limit, bbstanding.Process, string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.standing.Limited() == 0 {
		return bbstanding.Limit{}, bbstanding.Process{}, ""
	}
	e, ok := k.table.Listed(id)
	if !ok {
		return bbstanding.Limit{}, bbstanding.Process{}, ""
	}
	p := process(e)
	return k.standing.LimitOf(p), p, e.Zone
}
