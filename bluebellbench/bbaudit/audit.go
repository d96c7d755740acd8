// Package bbaudit compares the outcomes that callers received with what the fake
// endpoints recorded, and counts violations of the system's guarantees.
package bbaudit

import (
	"fmt"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// Audit is the result of auditing a load. All counts but the first three are violations
// of guarantees.
type Audit struct {
	// Requests counts the requests sent, Answered those with outcome answered and NotRun
	// those with outcome notRun.
	Requests int
	Answered int
	NotRun   int
	// Lost counts at-most-once calls that were answered although no endpoint recorded a
	// run, and requests that ended without any outcome.
	Lost int
	// DuplicateRuns counts at-most-once calls that ran more than once.
	DuplicateRuns int
	// FalseNotRun counts at-most-once calls that ran although their outcome was notRun.
	FalseNotRun int
	// Wrong counts answers that were incomplete or belonged to another request.
	Wrong int
	// OverCold counts requests that an endpoint accepted over its cold capacity although it
	// had shown before that it is cold (all but bbendpoint.Counts.OverColdUnwarned).
	OverCold int
	// Details describes the first violations, at most maxDetails.
	Details []string
}

// maxDetails bounds the number of descriptions.
const maxDetails = 20

// Violations counts all violations of guarantees.
func (a Audit) Violations() int {
	return a.Lost + a.DuplicateRuns + a.FalseNotRun + a.Wrong + a.OverCold
}

// Check audits the results of a load that was sent to the endpoints of a fleet.
func Check(fleet *bbfleet.Fleet, results []bbload.Result) Audit {
	a := Audit{}
	runs := runsByRequest(fleet)
	for _, r := range results {
		if r.Unsent {
			continue
		}
		a.Requests++
		a.checkReply(r)
		if r.Request.Once {
			a.checkOnce(r, runs)
		}
	}
	for name, e := range fleet.Endpoints {
		c := e.Counts()
		if warned := int(c.OverCold - c.OverColdUnwarned); warned > 0 {
			a.OverCold += warned
			a.addDetail("%s accepted %d requests over its cold capacity", name, warned)
		}
	}
	return a
}

// runsByRequest counts the runs of each request id over all plain services.
func runsByRequest(fleet *bbfleet.Fleet) map[string]int {
	runs := make(map[string]int)
	for _, p := range fleet.Pools {
		for _, r := range p.Runs() {
			runs[r.Request] += r.Count
		}
	}
	return runs
}

// EndpointID returns a request id in the form that endpoints receive: without the
// authentication code. Ids that this system didn't issue, which have no code, are returned
// unchanged.
func EndpointID(id string) string {
	if public := bbticket.Redact(id); public != malformed {
		return public
	}
	return id
}

// malformed is what bbticket.Redact returns for a text that is not an id of this system.
const malformed = "malformed"

// checkReply checks the outcome and the answer that the caller received.
func (a *Audit) checkReply(r bbload.Result) {
	switch r.Reply.Outcome {
	case bbmsg.OutcomeAnswered:
		a.Answered++
	case bbmsg.OutcomeNotRun:
		a.NotRun++
	case "":
		a.Lost++
		a.addDetail("request %d ended without an outcome: %s", r.Request.Number, r.Reply.Reason)
	}
	if r.Reply.Wrong != "" {
		a.Wrong++
		a.addDetail("request %d: %s", r.Request.Number, r.Reply.Wrong)
	}
}

// checkOnce compares the outcome of an at-most-once call with its recorded runs.
func (a *Audit) checkOnce(r bbload.Result, runs map[string]int) {
	count := 0
	for _, id := range r.Reply.IDs {
		count += runs[EndpointID(id)]
	}
	if count > 1 {
		a.DuplicateRuns++
		a.addDetail("request %d ran %d times: %v", r.Request.Number, count, r.Reply.IDs)
	}
	if r.Reply.Outcome == bbmsg.OutcomeAnswered && count == 0 {
		a.Lost++
		a.addDetail("request %d was answered but no run was recorded: %v", r.Request.Number, r.Reply.IDs)
	}
	if r.Reply.Outcome == bbmsg.OutcomeNotRun && count > 0 {
		a.FalseNotRun++
		a.addDetail("request %d ran but its outcome is notRun: %v", r.Request.Number, r.Reply.IDs)
	}
}

// addDetail appends a description unless there are maxDetails already.
func (a *Audit) addDetail(format string, arguments ...any) {
	if len(a.Details) < maxDetails {
		a.Details = append(a.Details, fmt.Sprintf(format, arguments...))
	}
}

// LastStart returns when the endpoints of a failure domain last accepted a request between
// two times, or the first of the two times when they accepted none.
func LastStart(fleet *bbfleet.Fleet, domain string, from, until time.Time) time.Time {
	last := from
	for _, e := range fleet.Rules.Endpoints {
		if e.Domain != domain {
			continue
		}
		for _, x := range fleet.Endpoints[e.Name].Exchanges() {
			if x.At.After(last) && x.At.Before(until) {
				last = x.At
			}
		}
	}
	return last
}
