// Package bbaudit holds the ends that callers saw against what the stand-ins
// recorded, and counts broken promises.
package bbaudit

import (
	"fmt"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// Audit counts what came of a load. All counts but the first three are broken
// promises.
type Audit struct {
	// Requests counts the requests sent, Answered those answered whole and NotRun
	// those refused as not run.
	Requests int
	Answered int
	NotRun   int
	// Lost counts answers to calls that may not be repeated whose run nobody
	// recorded, and requests that ended without any outcome.
	Lost int
	// Doubled counts calls that may not be repeated and ran more than once.
	DuplicateRuns int
	// FalseNotRun counts refusals as not run of calls that ran.
	FalseNotRun int
	// Wrong counts answers that were not whole or belonged to another request.
	Wrong int
	// OverCold counts requests that an endpoint took over its cold capacity after it
	// had shown any sign of being cold.
	OverCold int
	// Details describes the first broken promises, at most maxDetails.
	Details []string
}

// maxDetails bounds the descriptions.
const maxDetails = 20

// Broken counts all broken promises.
func (a Audit) Violations() int {
	return a.Lost + a.DuplicateRuns + a.FalseNotRun + a.Wrong + a.OverCold
}

// Check audits the results of a load that was sent to a fleet.
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
			a.addDetail("%s took %d requests over its cold capacity", name, warned)
		}
	}
	return a
}

// countRuns counts the runs of each request id over all plain services.
func runsByRequest(fleet *bbfleet.Fleet) map[string]int {
	runs := make(map[string]int)
	for _, p := range fleet.Pools {
		for _, r := range p.Runs() {
			runs[r.Request] += r.Count
		}
	}
	return runs
}

// EndpointID returns a request id as endpoints are told it: without the authentication
// code. Ids of other systems, which have none, stay as they are.
func EndpointID(id string) string {
	if public := bbticket.Redact(id); public != malformed {
		return public
	}
	return id
}

// malformed is what bbticket.Public returns for a text that is no id of ours.
const malformed = "malformed"

// checkReply checks what the caller saw.
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

// checkOnce holds a call that may not be repeated against the recorded runs.
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
		a.addDetail("request %d was answered and never ran: %v", r.Request.Number, r.Reply.IDs)
	}
	if r.Reply.Outcome == bbmsg.OutcomeNotRun && count > 0 {
		a.FalseNotRun++
		a.addDetail("request %d ran and was refused as not run: %v", r.Request.Number, r.Reply.IDs)
	}
}

// tell keeps a description.
func (a *Audit) addDetail(format string, arguments ...any) {
	if len(a.Details) < maxDetails {
		a.Details = append(a.Details, fmt.Sprintf(format, arguments...))
	}
}

// LastStart returns when the endpoints of a failure domain last took a request between
// two times, and the first of these when they took none.
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
