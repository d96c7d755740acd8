package bbpromise

import (
	"strings"
	"time"

	"bluebellhall/platform/bbledger"
)

const (
	// restSlack is how long after an endpoint has asked for rest a VM may still send to it, and
	// restMost how many requests may reach it from that VM from then on.
	backoffSlack       = 500 * time.Millisecond
	maxBackoffRequests = 2
)

// between is a VM and an endpoint.
type vmEndpoint struct {
	vm       int
	endpoint string
}

// checkWords checks that what endpoints say of themselves binds the VM that they answered. Calls of
// stages are left out, since their VM isn't known.
func (c *checker) checkSignals(said []bbledger.Signal, arrivals []bbledger.Arrival) {
	tries := make(map[string]Try)
	for _, t := range c.Tries {
		tries[t.Request.ID] = t
	}
	leaving := make(map[vmEndpoint]time.Time)
	var rests []bbledger.Signal
	for _, s := range said {
		t, known := tries[s.Attempt]
		if !known {
			continue
		}
		pair := vmEndpoint{t.VM, s.Endpoint}
		if _, told := leaving[pair]; s.Leaving && !told {
			leaving[pair] = s.At
		}
		if s.RetryAfter > 0 {
			rests = append(rests, s)
		}
	}
	got := make(map[vmEndpoint][]time.Time)
	for _, a := range arrivals {
		t, known := tries[a.Attempt]
		if !known {
			continue
		}
		pair := vmEndpoint{t.VM, a.Endpoint}
		got[pair] = append(got[pair], a.At)
		at, told := leaving[pair]
		if told && t.Sent.After(at.Add(DrainTime)) && !c.disturbedPair(pair, at, a.At) {
			c.addViolation("%s got %s from entry-%d, which had passed on %v before that it leaves", a.Endpoint, a.Attempt, t.VM, t.Sent.Sub(at))
		}
	}
	for _, s := range rests {
		pair := vmEndpoint{tries[s.Attempt].VM, s.Endpoint}
		n := 0
		for _, at := range got[pair] {
			if at.After(s.At.Add(backoffSlack)) && at.Before(s.At.Add(s.RetryAfter)) {
				n++
			}
		}
		if n > maxBackoffRequests && !c.disturbedPair(pair, s.At, s.At.Add(s.RetryAfter)) {
			c.addViolation("%s got %d requests from entry-%d in the %v for which it wanted none", s.Endpoint, n, pair.vm, s.RetryAfter)
		}
	}
}

// harmed tells whether a VM, or its way to an endpoint, was harmed in a time.
func (c *checker) disturbedPair(pair vmEndpoint, from, until time.Time) bool {
	for _, f := range c.Faults {
		to, cut := strings.CutPrefix(f.Name, "to ")
		name, _, _ := strings.Cut(to, ":")
		concerned := f.VM == pair.vm || cut && strings.HasPrefix(pair.endpoint, name+"-")
		if concerned && !f.Began.IsZero() && f.Began.Before(until) && (f.Ended.IsZero() || f.Ended.After(from)) {
			return true
		}
	}
	return false
}
