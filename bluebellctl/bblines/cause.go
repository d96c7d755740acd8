package bblines

import (
	"fmt"

	"bluebellhall/core/bbevent"
)

// cause explains a cause word in the final line of a request and where to look next.
type cause struct {
	// Word is the cause as it appears in the log.
	Word string
	// Text describes what happened.
	Text string
	// MayHaveRun is true when an endpoint may have run the request.
	MayHaveRun bool
	// Next names the command, metric or place to look at next.
	Next string
}

// causes describes the cause words, each of which occurs once; docs/OPERATIONS.md lists the same words.
var causes = []cause{
	{Word: "late", Text: "the coordinator expected the first token later than the objective allows", Next: "timeline --kind callSent around that time: pieces waiting"},
	{Word: "limit", Text: "the coordinator expected the first token after the request's time limit", Next: "timeline --kind callSent around that time: pieces waiting"},
	{Word: "deadline", Text: "the remaining stages could no longer finish within the time limit", Next: "the calls in this timeline: the one that took longest"},
	{Word: "backlog", Text: "it could no longer meet its objective, and the queueing delay of a stage was too long", Next: "timeline --kind callSent around that time: pieces waiting"},
	{Word: "noCapacity", Text: "the requests that waited before it would have taken the time until its deadline", Next: "metrics: coordinator.waitingRequests, by account"},
	{Word: "roomFull", Text: "too many requests, of all or of its account, waited already", Next: "metrics: coordinator.waitingRequests, by account"},
	{Word: "stageFailed", Text: "calls of a stage failed, and the attempts per piece were used up, or the retry budget while all its endpoints failed", Next: "the outcome of the calls in this timeline; timeline --kind probationBegan"},
	{Word: "suspect", Text: "several endpoints failed while running requests with the same content, so that this content is quarantined", Next: "timeline --content with that of its final line: runBroke, contentJudged"},
	{Word: "suspectPart", Text: "several engines failed while running requests with a part of the prompt in common, so that this part is quarantined", Next: "timeline --kind partJudged, and the parts of runBroke before it"},
	{Word: "resting", Text: "all endpoints of a service had asked this VM to back off", Next: "timeline --kind endpointRests"},
	{Word: "held", Text: "the endpoints that were chosen are leaving or have asked this VM to back off", Next: "timeline --kind endpointLeaves, endpointRests"},
	{Word: "noVersion", Text: "it goes on with a stream, and no engine of the version of the software that began the stream was left", Next: "timeline --kind endpointChanged: the versions"},
	{Word: "noRetries", Text: "an engine refused the request or failed to answer it, and the retry budget was used up", Next: "metric coordinator.orderRefused, and what failed before"},
	{Word: "tries", Text: "several engines refused the request", Next: "timeline --endpoint of each"},
	{Word: "noCoordinator", Text: "no coordinator answered in time", Next: "timeline --kind coordinatorChanged and peerLost"},
	{Word: "leaving", Text: "the VM was draining and the request had not reached an engine", Next: "timeline --kind entryDraining"},
	{Word: "noService", Text: "the coordinator's configuration has no such service", Next: "timeline --kind catalogInForce"},
	{Word: "broken", Text: "the request was sent to the endpoint, which gave no complete answer", MayHaveRun: true, Next: "timeline --endpoint of it"},
	{Word: "timeOver", Text: "the caller's time limit or the route's timeout expired", MayHaveRun: true, Next: "the longest gap in this timeline; timeline --endpoint of it"},
	{Word: "endpointBroke", Text: "the endpoint failed in the middle of a long answer", MayHaveRun: true, Next: "timeline --endpoint of it"},
	{Word: "callerGone", Text: "the caller closed its connection", MayHaveRun: true, Next: "the time it had taken, compared with the route's objective"},
	{Word: "unreachable", Text: "no connection to an endpoint could be established", Next: "timeline --endpoint of it"},
	{Word: "full", Text: "the endpoints that were tried had no free capacity", Next: "metric requests.once.refused.full over all VMs"},
	{Word: "moved", Text: "the endpoints' addresses belonged to other processes", Next: "timeline --kind endpointsAdopted and storeLost"},
	{Word: "noEndpoint", Text: "the service had no usable endpoint", Next: "timeline --kind zoneEvacuation, storeLost; metric endpoints.SERVICE.usable"},
	{Word: "noConfiguration", Text: "the VM had not received a configuration yet", Next: "timeline --kind entryStarted, catalogInForce, storeLost"},
	{Word: "noRoute", Text: "no route of the configuration in force matches the host and path", Next: "timeline --kind catalogInForce: the version"},
	{Word: "unknownKey", Text: "no client account of the configuration in force has that key", Next: "timeline --kind catalogInForce: the version"},
	{Word: "headers", Text: "the request's headers could not be parsed", Next: "the caller's request"},
	{Word: "bodySize", Text: "the body was longer than the configuration allows", Next: "the caller's request"},
	{Word: "endpointFailed", Text: "the endpoints ran the request and answered with a server error", MayHaveRun: true, Next: "timeline --endpoint of it"},
}

// Explain returns sentences that explain why a request ended as it did. The lines are those
// of RequestLines.
func Explain(lines []Line) []string {
	var sentences []string
	var last *Line
	for i := range lines {
		if lines[i].Outcome != "" {
			last = &lines[i]
		}
		if text := describeLine(lines[i]); text != "" {
			sentences = append(sentences, text)
		}
	}
	if last == nil {
		return append(sentences, "There is no final line: the VM that held the caller's connection was lost, or its log is not among those read.")
	}
	sentences = append(sentences, describeEnd(*last))
	if gap, ok := longestGap(lines); ok {
		sentences = append(sentences, gap)
	}
	return sentences
}

// describeLine returns a sentence on a line that helps to explain a request, or "" for other lines.
func describeLine(l Line) string {
	switch bbevent.Number(l.Number) {
	case bbevent.OrderAccepted:
		return fmt.Sprintf("%s coordinated it and expected the first token after %.0f ms.", l.VM, l.Value)
	case bbevent.OrderReturned:
		return fmt.Sprintf("%s coordinated it, recognized it as a retry of a refused request, and expected the first token after %.0f ms.", l.VM, l.Value)
	case bbevent.OrderElsewhere:
		return fmt.Sprintf("%s was leaving and returned it for the next coordinator.", l.VM)
	case bbevent.InputsGone:
		return fmt.Sprintf("Stored results that stage %s needed no longer existed and were recomputed.", l.Detail)
	case bbevent.CallOverdue:
		return fmt.Sprintf("Call %d to %s was overdue after %.0f ms; its pieces were also sent to another endpoint.", l.Call, l.Endpoint, l.Value)
	case bbevent.EngineGranted:
		return fmt.Sprintf("Its stages were complete after %.0f ms and it was granted engine %s.", l.Value, l.Endpoint)
	}
	return ""
}

// describeEnd returns a sentence on the final line of a request.
func describeEnd(l Line) string {
	if l.Outcome == "answered" && l.Cause == "" {
		return fmt.Sprintf("%s answered it with %d after %.0f ms (first part after %.0f ms).", l.VM, l.Status, l.Took, l.First)
	}
	limit := ""
	if l.Limit > 0 {
		limit = fmt.Sprintf(" Its time limit was %.0f ms.", l.Limit)
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

// longestGap returns a sentence on the longest time between two consecutive lines.
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
	return fmt.Sprintf("The longest gap was %d ms, from %s (%s) to %s (%s).", to.Time-from.Time, from.Title, from.VM, to.Title, to.VM), true
}
