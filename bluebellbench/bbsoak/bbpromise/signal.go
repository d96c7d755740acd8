package bbpromise

import (
	"strings"
	"time"

	"bluebellhall/platform/bbledger"
)

const (
	// backoffSlack is the time after a Retry-After of an endpoint during which requests that the VM sent
	// earlier may still arrive. After that, at most maxBackoffRequests of the VM may arrive until the
	// backoff ends.
	backoffSlack       = 500 * time.Millisecond
	maxBackoffRequests = 2
)

// vmEndpoint is a pair of a VM, by its number, and an endpoint.
type vmEndpoint struct {
	vm       int
	endpoint string
}

// checkSignals checks that a VM obeys the load signals in the answers that it received from an endpoint: it
// stops sending to an endpoint that is leaving, and backs off for the time of a Retry-After. Stage calls are
// left out, since the ledger doesn't know which VM sent them.
func (c *checker) checkSignals(signals []bbledger.Signal, arrivals []bbledger.Arrival) {
	tries := make(map[string]Try)
	for _, t := range c.Tries {
		tries[t.Request.ID] = t
	}
	leaving := make(map[vmEndpoint]time.Time)
	var backoffs []bbledger.Signal
	for _, s := range signals {
		t, known := tries[s.Attempt]
		if !known {
			continue
		}
		pair := vmEndpoint{t.VM, s.Endpoint}
		if _, signaled := leaving[pair]; s.Leaving && !signaled {
			leaving[pair] = s.At
		}
		if s.RetryAfter > 0 {
			backoffs = append(backoffs, s)
		}
	}
	received := make(map[vmEndpoint][]time.Time)
	for _, a := range arrivals {
		t, known := tries[a.Attempt]
		if !known {
			continue
		}
		pair := vmEndpoint{t.VM, a.Endpoint}
		received[pair] = append(received[pair], a.At)
		at, signaled := leaving[pair]
		if signaled && t.Sent.After(at.Add(DrainTime)) && !c.disturbedPair(pair, at, a.At) {
			c.addViolation("%s received %s from entry-%d, sent %v after its leaving signal to that VM", a.Endpoint, a.Attempt, t.VM, t.Sent.Sub(at))
		}
	}
	for _, s := range backoffs {
		pair := vmEndpoint{tries[s.Attempt].VM, s.Endpoint}
		n := 0
		for _, at := range received[pair] {
			if at.After(s.At.Add(backoffSlack)) && at.Before(s.At.Add(s.RetryAfter)) {
				n++
			}
		}
		if n > maxBackoffRequests && !c.disturbedPair(pair, s.At, s.At.Add(s.RetryAfter)) {
			c.addViolation("%s received %d requests from entry-%d during its Retry-After of %v", s.Endpoint, n, pair.vm, s.RetryAfter)
		}
	}
}

// disturbedPair reports whether a fault affected a VM, or the connections to an endpoint, within an interval.
func (c *checker) disturbedPair(pair vmEndpoint, from, until time.Time) bool {
	for _, f := range c.Faults {
		to, isProxyFault := strings.CutPrefix(f.Name, "to ")
		name, _, _ := strings.Cut(to, ":")
		affects := f.VM == pair.vm || isProxyFault && strings.HasPrefix(pair.endpoint, name+"-")
		if affects && !f.Began.IsZero() && f.Began.Before(until) && (f.Ended.IsZero() || f.Ended.After(from)) {
			return true
		}
	}
	return false
}
