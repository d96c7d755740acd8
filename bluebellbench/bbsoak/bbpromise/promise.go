// Package bbpromise checks the guarantees of the users' platform against what callers and fake endpoints
// recorded.
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

// The bounds that the users' platform guarantees.
const (
	// SettleTime is how long there must have been no fault for bounds on times to hold.
	SettleTime = 4 * time.Second
	// configTime is the longest time from the write of a configuration version until a VM applies it.
	configTime = 2500 * time.Millisecond
	// rollbackTime is how long after a VM has applied a version it may still answer by an older one.
	rollbackTime = 250 * time.Millisecond
	// EvacuateTime is how long an evacuated failure domain may still receive requests and stage calls.
	EvacuateTime = 5 * time.Second
	// DrainTime is the same for a leaving endpoint; LingerTime is how long the endpoint serves beyond that.
	DrainTime  = 2500 * time.Millisecond
	LingerTime = 1500 * time.Millisecond
	// Within a second a cold engine may receive coldOverrun times its cold rate plus coldTolerance requests.
	coldOverrun   = 1.5
	coldTolerance = 5
	// minServedShare is the least share of the requests of a route that must be served after the recovery.
	minServedShare = 0.25
	// Within any window of budgetTime a service may receive budgetRatio retries per request plus budgetSlack
	// retries.
	budgetRatio = 0.2
	budgetSlack = 54
	budgetTime  = 10 * time.Second
	// Content counts as poison once it has crashed poisonCrashes endpoints. Of its arrivals at endpoints
	// later than SettleTime after that, maxPoisonRetries are tolerated.
	poisonCrashes    = 3
	maxPoisonRetries = 3
)

// maxViolations is the number of violations from which on the checks add no more to a report. Those of the
// ledger are all listed, and count towards it.
const maxViolations = 40

// Fault is one fault that was injected into the fleet.
type Fault struct {
	Name string
	// Planned is true for operations that callers must not notice, such as the shutdown of a VM or an
	// evacuation.
	Planned bool
	// Stop is true for the planned shutdown of a VM.
	Stop bool
	// Store is true for faults of the platform's store alone. VMs may learn of changes late then, but what they
	// know goes on to hold.
	Store bool
	// VM is the number of the VM affected; -1 if the fault affects none or all.
	VM int
	// Began and Ended are when the fault was injected and removed; Ended is zero while it lasts.
	Began, Ended time.Time
}

// Try is one attempt of a caller and its reply.
type Try struct {
	Request bbstand.Request
	Reply   bbstand.Reply
	// VM is the number of the VM that received the attempt, Boot counts the starts of its process until then.
	VM, Boot    int
	Sent, Ended time.Time
}

// Interval is a time interval. It is still open while Until is zero.
type Interval struct {
	From, Until time.Time
}

// Record is what callers and fake endpoints recorded in a run.
type Record struct {
	Ledger *bbledger.Ledger
	Tries  []Try
	Faults []Fault
	// Versions has the time when each configuration version was written, Evacuated the intervals for which
	// each failure domain was evacuated, LeavingSince the time when each endpoint was marked as leaving.
	Versions     map[uint64]time.Time
	Evacuated    map[string][]Interval
	LeavingSince map[string]time.Time
	// Engines are the intervals in which engines served.
	Engines []Serving
	// RecoveredAt is the time from which on the fleet should have recovered from all faults.
	RecoveredAt time.Time
	// RetriedService is the service whose retries are counted, ColdRate the rate that a cold engine can take,
	// in requests per second.
	RetriedService string
	ColdRate       float64
	// Grace is the time that a VM has for a graceful shutdown before it is killed.
	Grace time.Duration
	// CheckTiming is true if bounds on times are checked as well.
	CheckTiming bool
}

// Report is the result of the checks.
type Report struct {
	// Tries is the number of attempts, Answered that of complete answers, NotRun that of refusals which
	// guarantee that the attempt didn't run.
	Tries, Answered, NotRun int
	// Streams are the counts of resumable streams.
	Streams Streams
	// Violations describes the guarantees that were violated.
	Violations []string
}

// checker collects the violations.
type checker struct {
	Record
	violations []string
}

func (c *checker) addViolation(format string, arguments ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
	}
}

// Check checks all guarantees.
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
		if t.Sent.After(c.RecoveredAt) && t.Request.Version == 0 && t.Request.CrashService == "" && t.Request.CrashPart == "" {
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
			c.addViolation("only %d of %d requests of %s were served after the recovery", n[0], n[1], name)
		}
	}
	arrivals := c.Ledger.Arrivals()
	c.checkCold(arrivals)
	c.checkRetryBudget(arrivals)
	c.checkPoison(c.Ledger.PoisonArrivals())
	c.checkParts(c.Ledger.PartArrivals())
	c.checkSignals(c.Ledger.Signals(), arrivals)
	c.checkLimits(c.Ledger.Signals(), arrivals)
	c.checkRollback()
	r.Streams = c.checkStreams()
	if c.CheckTiming {
		c.checkTiming(arrivals)
	}
	r.Violations = c.violations
	return r
}

// checkTry checks that an attempt ran at most as often as its route allows, that it didn't run if its answer
// states that, and that a planned shutdown of its VM didn't lose its answer.
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

// checkAnswer checks that an answer is what the endpoint sent for this attempt: complete and in order, or,
// if the answer broke off, a prefix of it.
func (c *checker) checkAnswer(t Try) {
	q, body := t.Request, t.Reply.Body
	if t.Reply.Whole && !t.Reply.Signed {
		c.addViolation("%s of %s was answered without a receipt of its own", q.ID, q.Route.Name)
	}
	want := "done " + q.ID
	if q.Events > 0 {
		var versions []string
		versions, body = bbstand.Versions(body)
		want = bbstand.ExpectedEvents(q, versions)
	}
	switch {
	case t.Reply.Whole && body != want:
		c.addViolation("%s of %s got %q, want %q", q.ID, q.Route.Name, body, want)
	case !strings.HasPrefix(want, body):
		c.addViolation("%s of %s got %q, want the beginning of %q", q.ID, q.Route.Name, body, want)
	}
}

// plannedStop reports whether an attempt coincided with a planned shutdown of its VM, was sent at most 3 s
// after the start of the shutdown, ended within five sixths of the grace period, and met no unplanned fault,
// not even one that ended less than SettleTime before it was sent.
func (c *checker) plannedStop(t Try) bool {
	stopped := false
	for _, f := range c.Faults {
		if f.Stop && f.VM == t.VM && t.Sent.Before(f.Ended) && t.Ended.After(f.Began) && t.Sent.Before(f.Began.Add(3*time.Second)) && t.Ended.Before(f.Began.Add(c.Grace*5/6)) {
			stopped = true
		}
	}
	return stopped && !c.disturbed(t.Sent.Add(-SettleTime), t.Ended)
}

// disturbed reports whether an unplanned fault lasted during some part of an interval.
func (c *checker) disturbed(from, until time.Time) bool {
	for _, f := range c.Faults {
		if !f.Planned && !f.Began.IsZero() && f.Began.Before(until) && (f.Ended.IsZero() || f.Ended.After(from)) {
			return true
		}
	}
	return false
}

// known reports whether at a time all VMs must know a change that was written before: nothing unplanned happened from
// SettleTime before until the change had to be in force, and since then only faults of the store.
func (c *checker) known(written time.Time, bound time.Duration, at time.Time) bool {
	if c.disturbed(written.Add(-SettleTime), written.Add(bound)) {
		return false
	}
	for _, f := range c.Faults {
		if !f.Planned && !f.Store && !f.Began.IsZero() && f.Began.Before(at) && (f.Ended.IsZero() || f.Ended.After(written)) {
			return false
		}
	}
	return true
}

// checkCold checks the number of requests that each cold engine received within any second.
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
			c.addViolation("%s received %d requests in a second while cold", a.Endpoint, len(list))
		}
	}
}

// checkRetryBudget checks the number of retries of plain requests within any window of budgetTime. An arrival
// is a retry if its attempt has reached an endpoint before.
func (c *checker) checkRetryBudget(arrivals []bbledger.Arrival) {
	var sent, retries []time.Time
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
			retries = append(retries, a.At)
		}
		seen[a.Attempt] = true
	}
	in := func(list []time.Time, from, until time.Time) int {
		first := sort.Search(len(list), func(i int) bool { return !list[i].Before(from) })
		return sort.Search(len(list), func(i int) bool { return list[i].After(until) }) - first
	}
	for _, end := range retries {
		// The budget is that of the requests of this window or of the one before, whichever had more.
		from := end.Add(-budgetTime)
		requests := max(in(sent, from, end), in(sent, from.Add(-budgetTime), from))
		if n := in(retries, from, end); float64(n) > budgetRatio*float64(requests)+budgetSlack {
			c.addViolation("%d retries in %v for %d requests", n, budgetTime, requests)
			return
		}
	}
}

// checkPoison checks that content which has crashed endpoints reaches few more. Several stage calls of one
// attempt count as one retry, and so do several arrivals of one attempt at the same endpoint.
func (c *checker) checkPoison(arrivals []bbledger.PoisonArrival) {
	vms := make(map[string]int)
	for _, t := range c.Tries {
		vms[t.Request.ID] = t.VM
	}
	crashes := make(map[string][]time.Time)
	late := make(map[string]map[string]bool)
	for _, a := range arrivals {
		if known := crashes[a.Content]; len(known) >= poisonCrashes && a.At.After(known[poisonCrashes-1].Add(SettleTime)) && !c.disturbedVM(vms[a.Attempt], a.At) {
			retry := a.Attempt
			if !a.Call {
				retry += " at " + a.Endpoint
			}
			if late[a.Content] == nil {
				late[a.Content] = make(map[string]bool)
			}
			late[a.Content][retry] = true
		}
		if a.Crashed {
			crashes[a.Content] = append(crashes[a.Content], a.At)
		}
	}
	for content, retries := range late {
		if len(retries) > maxPoisonRetries {
			c.addViolation("%q reached endpoints in %d retries more than %v after it had crashed %d endpoints; it crashed %d in all", content, len(retries), SettleTime, poisonCrashes, len(crashes[content]))
		}
	}
}

// disturbedVM reports whether a fault of a VM, such as a stop, a pause or a network fault, lasted until less
// than SettleTime before a time.
func (c *checker) disturbedVM(vm int, at time.Time) bool {
	for _, f := range c.Faults {
		if f.VM == vm && !f.Began.IsZero() && f.Began.Before(at) && (f.Ended.IsZero() || f.Ended.After(at.Add(-SettleTime))) {
			return true
		}
	}
	return false
}

// bootVersion is a configuration version at one boot of a VM.
type bootVersion struct {
	vm, boot int
	version  uint64
}

// probedVersion returns the version that a probe asks for, and the boot of the VM that it asked.
func probedVersion(t Try) bootVersion {
	return bootVersion{
		vm:      t.VM,
		boot:    t.Boot,
		version: t.Request.Version,
	}
}

// checkRollback checks that a process that has served a route of a version doesn't answer by an older version
// later.
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
			c.addViolation("entry-%d served version %d and, %v later, an older one", t.VM, t.Request.Version, t.Sent.Sub(at))
		}
	}
}

// checkTiming checks bounds on times, except within SettleTime of an unplanned fault.
func (c *checker) checkTiming(arrivals []bbledger.Arrival) {
	for _, a := range arrivals {
		for _, out := range c.Evacuated[a.Zone] {
			late := a.At.After(out.From.Add(EvacuateTime)) && (out.Until.IsZero() || a.At.Before(out.Until))
			if late && (!c.disturbed(a.At.Add(-SettleTime-EvacuateTime), a.At) || c.known(out.From, EvacuateTime, a.At)) {
				c.addViolation("%s received %s %v after %s was evacuated", a.Endpoint, a.Attempt, a.At.Sub(out.From), a.Zone)
			}
		}
		if !a.Leaving {
			continue
		}
		leavingSince := c.LeavingSince[a.Endpoint]
		since := a.At.Sub(leavingSince)
		if since > DrainTime && (!c.disturbed(a.At.Add(-SettleTime-DrainTime), a.At) || c.known(leavingSince, DrainTime, a.At)) {
			c.addViolation("%s received %q %v after it was marked as leaving", a.Endpoint, a.Attempt, since)
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

// restarted reports whether a fault of the VM, such as its stop or start, lasted until less than SettleTime
// before an attempt.
func (c *checker) restarted(t Try) bool {
	return c.disturbedVM(t.VM, t.Sent)
}
