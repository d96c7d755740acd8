package bbknowledge

import (
	"time"

	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
)

// process names the process of a listed endpoint.
func process(e bbregistry.Endpoint) bbstanding.Process {
	return bbstanding.Process{
		ID:   e.ID,
		Born: e.StartedMillis,
	}
}

// MaySend tells whether this VM may send something to an endpoint now, and which of its processes
// gets it. It is asked before each send.
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

// HearWord takes in what a process of an endpoint says of itself.
func (k *Knowledge) RecordSignal(p bbstanding.Process, w bbstanding.Signal) (leaves, rests bool) {
	if w == (bbstanding.Signal{}) {
		return false, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.standing.Record(k.now(), p, w)
}

// RestUntil returns when an endpoint that wants nothing of this VM may get something again; 0 if
// it may now.
func (k *Knowledge) BackoffUntil(id string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.table.Listed(id)
	if !ok {
		return 0
	}
	now := k.now()
	if rest := k.standing.RemainingBackoff(now, process(e)); rest > 0 {
		return now + rest
	}
	return 0
}

// ProcessAt returns the process of the endpoint that is listed with an address.
func (k *Knowledge) ProcessAt(address string) (bbstanding.Process, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.table.At(address)
	return process(e), ok
}
