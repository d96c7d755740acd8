// Package bbpromise checks the promises of the users' platform against what callers and
// endpoints saw.
package bbpromise

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

// The bounds that the users' platform states.
const (
	// ContactTime is how long a VM has to be undisturbed for bounds on times to hold.
	SettleTime = 4 * time.Second
	// configTime is how long a version may take to be in force.
	configTime = 2500 * time.Millisecond
	// rollbackTime is how long after a version was seen an older one may still show.
	rollbackTime = 250 * time.Millisecond
	// EvacuateTime is how long a failure domain that was taken out may still get work.
	EvacuateTime = 5 * time.Second
	// DrainTime is the same for an endpoint that leaves; LingerTime is how long it serves on.
	DrainTime  = 2500 * time.Millisecond
	LingerTime = 1500 * time.Millisecond
	// coldOverrun and coldTolerance bound what a cold engine gets in a second.
	coldOverrun   = 1.5
	coldTolerance = 5
	// servedShare is the least share of requests that are served once all is calm again.
	minServedShare = 0.25
	// budgetRatio, budgetSlack and budgetTime bound the repeated requests to a service.
	budgetRatio = 0.2
	budgetSlack = 54
	budgetTime  = 10 * time.Second
	// crashesKnown is the number of endpoints that a content may crash before it counts as one
	// that does, and crashRetries how often it may reach endpoints later than ContactTime after.
	poisonCrashes    = 3
	maxPoisonRetries = 3
)

// maxBroken bounds the broken promises that are told.
const maxViolations = 40

// Fault is one thing that was done to the fleet.
type Fault struct {
	Name string
	// Planned faults are those that must not be felt by callers.
	Planned bool
	// Stop is true for a planned stop of a VM.
	Stop bool
	// VM is the number of the one concerned; -1 if it is none or all.
	VM int
	// Began and Ended are when it was done; Ended is zero while it lasts.
	Began, Ended time.Time
}

// Try is one attempt of a caller and what came of it.
type Try struct {
	Request bbstand.Request
	Reply   bbstand.Reply
	// VM is the one that was asked, Boot the number of its program at the time.
	VM, Boot    int
	Sent, Ended time.Time
}

// Span is a time; it has no end yet if that is zero.
type Interval struct {
	From, Until time.Time
}

// Record is what callers and endpoints saw in a run.
type Record struct {
	Ledger *bbledger.Ledger
	Tries  []Try
	Faults []Fault
	// Versions has when each version was written, Out when failure domains were taken out and
	// back, Left when endpoints said that they leave.
	Versions     map[uint64]time.Time
	Evacuated    map[string][]Interval
	LeavingSince map[string]time.Time
	// Calm is when all should have recovered.
	RecoveredAt time.Time
	// Plain is the service whose repeats are counted, ColdRate what a cold engine carries.
	RetriedService string
	ColdRate       float64
	// Grace is the time from the signal to stop to the end by force.
	Grace time.Duration
	// Timed is true when bounds on times are checked as well.
	CheckTiming bool
}

// Report is what the checks found.
type Report struct {
	// Tries is the number of attempts, Answered that of whole answers, NotRun of refusals that
	// promise that nothing ran.
	Tries, Answered, NotRun int
	// Broken has the promises that were broken.
	Violations []string
}

// checker collects what is found.
type checker struct {
	Record
	violations []string
}

func (c *checker) addViolation(format string, arguments ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
	}
}

// Check checks all promises.
func Check(record Record) Report {
	c := &checker{
		Record:     record,
		violations: record.Ledger.Violations(),
	}
	r := Report{
		Tries: len(c.Tries),
	}
	served := make(map[string][2]int)
	for _, t := range c.Tries {
		c.checkTry(t)
		switch {
		case t.Reply.Answered():
			r.Answered++
		case t.Reply.NotRun():
			r.NotRun++
		}
		if t.Sent.After(c.RecoveredAt) && t.Request.Version == 0 && t.Request.CrashService == "" {
			n := served[t.Request.Route.Name]
			n[1]++
			if t.Reply.Answered() {
				n[0]++
			}
			served[t.Request.Route.Name] = n
		}
	}
	for name, n := range served {
		if float64(n[0]) < minServedShare*float64(n[1]) {
			c.addViolation("only %d of %d requests of %s were served once all was calm", n[0], n[1], name)
		}
	}
	arrivals := c.Ledger.Arrivals()
	c.checkCold(arrivals)
	c.checkRetryBudget(arrivals)
	c.checkPoison(c.Ledger.PoisonArrivals())
	c.checkSignals(c.Ledger.Signals(), arrivals)
	c.checkRollback()
	if c.CheckTiming {
		c.checkTiming(arrivals)
	}
	r.Violations = c.violations
	return r
}

// checkTry checks one attempt of a caller.
func (c *checker) checkTry(t Try) {
	q := t.Request
	runs := c.Ledger.Runs(q.ID)
	repeatable := q.Route.Kind == bbcatalog.KindIdempotent || q.Route.Resumable
	switch {
	case !repeatable && len(runs) > 1:
		c.addViolation("%s of %s ran %d times: %v", q.ID, q.Route.Name, len(runs), runs)
	case len(runs) > q.Route.MaxAttempts:
		c.addViolation("%s of %s ran %d times, its route allows %d: %v", q.ID, q.Route.Name, len(runs), q.Route.MaxAttempts, runs)
	case t.Reply.NotRun() && len(runs) > 0:
		c.addViolation("%s of %s was answered %d and ran: %v", q.ID, q.Route.Name, t.Reply.Status, runs)
	}
	if t.Reply.Status == http.StatusOK {
		c.checkAnswer(t)
	}
	if t.Reply.Status == 0 && len(runs) > 0 && c.plannedStop(t) {
		c.addViolation("%s of %s ran and lost its answer (%v) while entry-%d was stopped as planned", q.ID, q.Route.Name, t.Reply.Error, t.VM)
	}
}

// checkAnswer checks that an answer is the endpoint's, whole and in order.
func (c *checker) checkAnswer(t Try) {
	q, body := t.Request, t.Reply.Body
	if t.Reply.Whole && !t.Reply.Signed {
		c.addViolation("%s of %s was answered without a receipt of its own", q.ID, q.Route.Name)
	}
	want := "done " + q.ID
	if q.Events > 0 {
		var events strings.Builder
		for i := range q.Events {
			events.WriteString(bbstand.Event(q.ID, i+1, q.Events))
		}
		want = events.String()
	}
	switch {
	case t.Reply.Whole && body != want:
		c.addViolation("%s of %s got %q, want %q", q.ID, q.Route.Name, body, want)
	case !strings.HasPrefix(want, body):
		c.addViolation("%s of %s got %q, want the beginning of %q", q.ID, q.Route.Name, body, want)
	}
}

// planned tells whether an attempt met the planned stop of its VM and nothing else.
func (c *checker) plannedStop(t Try) bool {
	stopped := false
	for _, f := range c.Faults {
		if f.Stop && f.VM == t.VM && t.Sent.Before(f.Ended) && t.Ended.After(f.Began) && t.Sent.Before(f.Began.Add(3*time.Second)) && t.Ended.Before(f.Began.Add(c.Grace*5/6)) {
			stopped = true
		}
	}
	return stopped && !c.disturbed(t.Sent.Add(-SettleTime), t.Ended)
}

// disturbed tells whether an unplanned fault lies in a time.
func (c *checker) disturbed(from, until time.Time) bool {
	for _, f := range c.Faults {
		if !f.Planned && !f.Began.IsZero() && f.Began.Before(until) && (f.Ended.IsZero() || f.Ended.After(from)) {
			return true
		}
	}
	return false
}

// checkCold checks what cold engines got in any second.
func (c *checker) checkCold(arrivals []bbledger.Arrival) {
	recent := make(map[string][]time.Time)
	for _, a := range arrivals {
		if !a.Cold {
			continue
		}
		list := append(recent[a.Endpoint], a.At)
		for a.At.Sub(list[0]) >= time.Second {
			list = list[1:]
		}
		recent[a.Endpoint] = list
		if float64(len(list)) > c.ColdRate*coldOverrun+coldTolerance {
			c.addViolation("%s was cold and got %d requests in a second", a.Endpoint, len(list))
		}
	}
}

// checkBudget checks the repeats of plain requests in any window.
func (c *checker) checkRetryBudget(arrivals []bbledger.Arrival) {
	var sent, repeats []time.Time
	for _, t := range c.Tries {
		if !t.Request.Route.Engine {
			sent = append(sent, t.Sent)
		}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].Before(sent[j]) })
	seen := make(map[string]bool)
	for _, a := range arrivals {
		if a.Service != c.RetriedService {
			continue
		}
		if seen[a.Attempt] {
			repeats = append(repeats, a.At)
		}
		seen[a.Attempt] = true
	}
	in := func(list []time.Time, from, until time.Time) int {
		first := sort.Search(len(list), func(i int) bool { return !list[i].Before(from) })
		return sort.Search(len(list), func(i int) bool { return list[i].After(until) }) - first
	}
	for _, end := range repeats {
		// Requests are those of this window or the one before.
		from := end.Add(-budgetTime)
		requests := max(in(sent, from, end), in(sent, from.Add(-budgetTime), from))
		if n := in(repeats, from, end); float64(n) > budgetRatio*float64(requests)+budgetSlack {
			c.addViolation("%d repeats in %v for %d requests", n, budgetTime, requests)
			return
		}
	}
}

// checkCrashers checks that requests which ask for what has crashed endpoints reach few more.
func (c *checker) checkPoison(reaches []bbledger.PoisonArrival) {
	vms := make(map[string]int)
	for _, t := range c.Tries {
		vms[t.Request.ID] = t.VM
	}
	crashes := make(map[string][]time.Time)
	late := make(map[string]map[string]bool)
	for _, r := range reaches {
		if known := crashes[r.Content]; len(known) >= poisonCrashes && r.At.After(known[poisonCrashes-1].Add(SettleTime)) && !c.disturbedVM(vms[r.Attempt], r.At) {
			retry := r.Attempt
			if !r.Call {
				retry += " at " + r.Endpoint
			}
			if late[r.Content] == nil {
				late[r.Content] = make(map[string]bool)
			}
			late[r.Content][retry] = true
		}
		if r.Crashed {
			crashes[r.Content] = append(crashes[r.Content], r.At)
		}
	}
	for content, retries := range late {
		if len(retries) > maxPoisonRetries {
			c.addViolation("%q reached endpoints in %d retries more than %v after it had crashed %d; %d crashed in all", content, len(retries), SettleTime, poisonCrashes, len(crashes[content]))
		}
	}
}

// disturbedVM tells whether a VM was stopped, paused, cut off or started shortly before a time.
func (c *checker) disturbedVM(vm int, at time.Time) bool {
	for _, f := range c.Faults {
		if f.VM == vm && !f.Began.IsZero() && f.Began.Before(at) && (f.Ended.IsZero() || f.Ended.After(at.Add(-SettleTime))) {
			return true
		}
	}
	return false
}

// shown is a version of the configuration at one boot of a VM.
type bootVersion struct {
	vm, boot int
	version  uint64
}

// shownBy returns what a probe asks for.
func probedVersion(t Try) bootVersion {
	return bootVersion{
		vm:      t.VM,
		boot:    t.Boot,
		version: t.Request.Version,
	}
}

// checkRegress checks that a program that has shown a version doesn't show an older one later.
func (c *checker) checkRollback() {
	first := make(map[bootVersion]time.Time)
	for _, t := range c.Tries {
		if t.Request.Version == 0 || t.Reply.Status != http.StatusOK {
			continue
		}
		if at, ok := first[probedVersion(t)]; !ok || t.Ended.Before(at) {
			first[probedVersion(t)] = t.Ended
		}
	}
	for _, t := range c.Tries {
		at, ok := first[probedVersion(t)]
		if ok && t.Reply.Status == http.StatusNotFound && t.Sent.After(at.Add(rollbackTime)) {
			c.addViolation("entry-%d showed version %d and %v later an older one", t.VM, t.Request.Version, t.Sent.Sub(at))
		}
	}
}

// checkBounds checks bounds on times, where nothing unplanned happened for long enough.
func (c *checker) checkTiming(arrivals []bbledger.Arrival) {
	for _, a := range arrivals {
		for _, out := range c.Evacuated[a.Zone] {
			late := a.At.After(out.From.Add(EvacuateTime)) && (out.Until.IsZero() || a.At.Before(out.Until))
			if late && !c.disturbed(a.At.Add(-SettleTime-EvacuateTime), a.At) {
				c.addViolation("%s got %s %v after %s was taken out", a.Endpoint, a.Attempt, a.At.Sub(out.From), a.Zone)
			}
		}
		if !a.Leaving {
			continue
		}
		if since := a.At.Sub(c.LeavingSince[a.Endpoint]); since > DrainTime && !c.disturbed(a.At.Add(-SettleTime-DrainTime), a.At) {
			c.addViolation("%s got %q %v after it had said that it leaves", a.Endpoint, a.Attempt, since)
		}
	}
	for _, t := range c.Tries {
		written := c.Versions[t.Request.Version]
		stale := t.Request.Version > 0 && t.Reply.Status == http.StatusNotFound && t.Sent.After(written.Add(configTime))
		if stale && !c.disturbed(t.Sent.Add(-SettleTime-configTime), t.Sent) && !c.restarted(t) {
			c.addViolation("entry-%d didn't know version %d %v after it was written", t.VM, t.Request.Version, t.Sent.Sub(written))
		}
	}
}

// restarted tells whether a VM was stopped or started shortly before an attempt.
func (c *checker) restarted(t Try) bool {
	return c.disturbedVM(t.VM, t.Sent)
}
