package bblines

import (
	"fmt"

	"bluebellhall/core/bbevent"
)

// cause tells what a word in the last line of a request means and where to look next.
type cause struct {
	// Word is the cause as the log has it.
	Word string
	// Text tells what happened.
	Text string
	// Ran tells whether an endpoint may have run the request.
	MayHaveRun bool
	// Next is the command or the metric to look at.
	Next string
}

// causes are checked in this order; docs/OPERATIONS.md has the same words.
var causes = []cause{
	{Word: "late", Text: "the coordinator expected the first token later than the objective allows", Next: "timeline --kind callSent around that time: pieces waiting"},
	{Word: "limit", Text: "the coordinator expected the first token after the caller's time limit", Next: "timeline --kind callSent around that time: pieces waiting"},
	{Word: "deadline", Text: "the stages were not done while there was time for the rest", Next: "the calls in this time line: the one that took longest"},
	{Word: "backlog", Text: "it could not be on time any more and would have waited long for a stage", Next: "timeline --kind callSent around that time: pieces waiting"},
	{Word: "stageFailed", Text: "a stage failed, and its pieces could not be tried again within the allowance", Next: "the outcome of the calls in this time line"},
	{Word: "suspect", Text: "endpoints ended under requests that ask for the same, one after the other", Next: "timeline --content with that of its last line: runBroke, contentJudged"},
	{Word: "resting", Text: "all endpoints of a service had turned requests of this VM away and asked for rest", Next: "timeline --kind endpointRests"},
	{Word: "held", Text: "the endpoints that were chosen leave, or want nothing from this VM for a while", Next: "timeline --kind endpointLeaves, endpointRests"},
	{Word: "noRetries", Text: "an engine turned the request away and the allowance of repeats was spent", Next: "metric coordinator.orderRefused, and what failed before"},
	{Word: "tries", Text: "several engines turned the request away", Next: "timeline --endpoint of each"},
	{Word: "noCoordinator", Text: "no coordinator answered in time", Next: "timeline --kind coordinatorChanged and peerLost"},
	{Word: "leaving", Text: "the VM was stopping and the request had not reached an engine", Next: "timeline --kind entryDraining"},
	{Word: "noService", Text: "the coordinator's configuration has no such service", Next: "timeline --kind catalogInForce"},
	{Word: "broken", Text: "the endpoint had the request and its answer broke off", MayHaveRun: true, Next: "timeline --endpoint of it"},
	{Word: "timeOver", Text: "the caller's time limit or the route's timeout was over", MayHaveRun: true, Next: "the longest part of this time line; timeline --endpoint of it"},
	{Word: "endpointBroke", Text: "the endpoint broke off in the middle of a long answer", MayHaveRun: true, Next: "timeline --endpoint of it"},
	{Word: "callerGone", Text: "the caller closed its connection", MayHaveRun: true, Next: "the time that it had taken, against the route's objective"},
	{Word: "unreachable", Text: "no connection to an endpoint could be made", Next: "timeline --endpoint of it"},
	{Word: "full", Text: "the endpoints that were asked had no room", Next: "metric requests.once.refused.full over all VMs"},
	{Word: "moved", Text: "other processes were at the endpoints' addresses", Next: "timeline --kind endpointsAdopted and storeLost"},
	{Word: "noEndpoint", Text: "no endpoint of the service could be used", Next: "timeline --kind zoneEvacuation, storeLost; metric endpoints.SERVICE.usable"},
	{Word: "noConfiguration", Text: "the VM had no configuration yet", Next: "timeline --kind entryStarted, catalogInForce, storeLost"},
	{Word: "noRoute", Text: "no route of the configuration in force has that host and path", Next: "timeline --kind catalogInForce: the version"},
	{Word: "unknownKey", Text: "no client account of the configuration in force has that key", Next: "timeline --kind catalogInForce: the version"},
	{Word: "headers", Text: "the request's headers could not be read", Next: "the caller's request"},
	{Word: "bodySize", Text: "the body was longer than the configuration allows", Next: "the caller's request"},
	{Word: "endpointFailed", Text: "the endpoints ran the request and failed it", MayHaveRun: true, Next: "timeline --endpoint of it"},
}

// Explain tells in sentences why a request ended as it did, from its lines in order.
func Explain(lines []Line) []string {
	var told []string
	var last *Line
	for i := range lines {
		if lines[i].Outcome != "" {
			last = &lines[i]
		}
		if text := describeLine(lines[i]); text != "" {
			told = append(told, text)
		}
	}
	if last == nil {
		return append(told, "There is no last line: the VM that held the caller was lost, or its log is not here.")
	}
	told = append(told, describeEnd(*last))
	if gap, ok := longestGap(lines); ok {
		told = append(told, gap)
	}
	return told
}

// telling returns a sentence on a line that explains much, else nothing.
func describeLine(l Line) string {
	switch bbevent.Number(l.Number) {
	case bbevent.OrderAccepted:
		return fmt.Sprintf("%s coordinated it and expected the first token after %.0f ms.", l.VM, l.Value)
	case bbevent.OrderReturned:
		return fmt.Sprintf("%s coordinated it, knew that its caller had been refused before, and expected the first token after %.0f ms.", l.VM, l.Value)
	case bbevent.OrderElsewhere:
		return fmt.Sprintf("%s was leaving and handed it on.", l.VM)
	case bbevent.InputsGone:
		return fmt.Sprintf("Results that stage %s needed were gone and were made again.", l.Detail)
	case bbevent.CallOverdue:
		return fmt.Sprintf("Call %d to %s was late after %.0f ms; its pieces went elsewhere too.", l.Call, l.Endpoint, l.Value)
	case bbevent.EngineGranted:
		return fmt.Sprintf("Its stages were done after %.0f ms and it was granted engine %s.", l.Value, l.Endpoint)
	}
	return ""
}

// ending returns a sentence on the last line of a request.
func describeEnd(l Line) string {
	if l.Outcome == "answered" && l.Cause == "" {
		return fmt.Sprintf("%s answered it with %d after %.0f ms (first part after %.0f ms).", l.VM, l.Status, l.Took, l.First)
	}
	limit := ""
	if l.Limit > 0 {
		limit = fmt.Sprintf(" It might take %.0f ms.", l.Limit)
	}
	for _, c := range causes {
		if c.Word != l.Cause {
			continue
		}
		ran := "It has not run."
		if c.MayHaveRun {
			ran = "It may have run."
		}
		return fmt.Sprintf("%s ended it as %s with status %d after %.0f ms: %s. %s%s Look next at: %s.", l.VM, l.Outcome, l.Status, l.Took, c.Text, ran, limit, c.Next)
	}
	return fmt.Sprintf("%s ended it as %s with status %d after %.0f ms; cause %q.", l.VM, l.Outcome, l.Status, l.Took, l.Cause)
}

// longestGap returns a sentence on the longest time between two lines.
func longestGap(lines []Line) (string, bool) {
	best := 0
	for i := 1; i < len(lines); i++ {
		if best == 0 || lines[i].Time-lines[i-1].Time > lines[best].Time-lines[best-1].Time {
			best = i
		}
	}
	if best == 0 {
		return "", false
	}
	from, to := lines[best-1], lines[best]
	return fmt.Sprintf("Its longest part were the %d ms from %s (%s) to %s (%s).", to.Time-from.Time, from.Title, from.VM, to.Title, to.VM), true
}
