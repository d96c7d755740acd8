package bbpromise

import (
	"slices"
	"time"

	"bluebellhall/platform/bbledger"
)

const (
	// A part of a prompt is known to crash engines once it has crashed partCrashes. Of its arrivals at engines
	// later than SettleTime after that, maxPartArrivals are tolerated.
	partCrashes     = 5
	maxPartArrivals = 3
	// From lostFactor times SettleTime after that, sound requests that share another part must begin at least
	// minBegunShare as often as before the first crash. Fewer than minSamples requests aren't compared.
	lostFactor    = 2
	minBegunShare = 0.5
	minSamples    = 20
)

// part is what was recorded of a part of prompts that crashes engines.
type part struct {
	// crashes are the times of its crashes, late the arrivals that came too late.
	crashes []time.Time
	late    int
}

// knownAt returns when VMs must know the part, apart from the time that the news takes.
func (p part) knownAt() time.Time {
	return p.crashes[min(len(p.crashes), partCrashes)-1]
}

// checkParts checks that requests with a part that has crashed engines reach few more, and that other requests
// aren't refused for it.
func (c *checker) checkParts(arrivals []bbledger.PartArrival) {
	vms := make(map[string]int)
	for _, t := range c.Tries {
		vms[t.Request.ID] = t.VM
	}
	parts := make(map[string]*part)
	for _, a := range arrivals {
		p := parts[a.Part]
		if p == nil {
			p = &part{}
			parts[a.Part] = p
		}
		if len(p.crashes) >= partCrashes && a.At.After(p.knownAt().Add(SettleTime)) && !c.disturbedVM(vms[a.Attempt], a.At) {
			p.late++
		}
		if a.Crashed {
			p.crashes = append(p.crashes, a.At)
		}
	}
	for name, p := range parts {
		if p.late > maxPartArrivals {
			c.addViolation("requests with part %q reached engines %d times more than %v after it had crashed %d; it crashed %d in all", name, p.late, SettleTime, partCrashes, len(p.crashes))
		}
		if len(p.crashes) > 0 {
			c.checkSoundRequests(name, p)
		}
	}
}

// checkSoundRequests checks that requests which share another part with those that have the given part begin
// to run.
func (c *checker) checkSoundRequests(name string, p *part) {
	routes, others := make(map[string]bool), make(map[string]bool)
	var last time.Time
	for _, t := range c.Tries {
		if q := t.Request; q.CrashPart == name {
			routes[q.Route.Name] = true
			for _, id := range q.Parts[:len(q.Parts)-1] {
				others[id] = id != name
			}
			last = t.Sent
		}
	}
	share := func(from, until time.Time) (begun, all float64) {
		for _, t := range c.Tries {
			q := t.Request
			if q.CrashPart != "" || !routes[q.Route.Name] || !t.Sent.After(from) || !t.Sent.Before(until) || c.disturbed(t.Sent.Add(-SettleTime), t.Sent) {
				continue
			}
			if !slices.ContainsFunc(q.Parts, func(id string) bool { return others[id] }) {
				continue
			}
			all++
			if len(c.Ledger.Runs(q.ID)) > 0 {
				begun++
			}
		}
		return begun, all
	}
	before, allBefore := share(time.Time{}, p.crashes[0])
	after, allAfter := share(p.knownAt().Add(lostFactor*SettleTime), last)
	if min(allBefore, allAfter) >= minSamples && after/allAfter < minBegunShare*before/allBefore {
		c.addViolation("%.0f of %.0f sound requests that share a part with those that have %q began, %.0f of %.0f before", after, allAfter, name, before, allBefore)
	}
}
