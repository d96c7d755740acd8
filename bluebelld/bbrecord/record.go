// Package bbrecord has the records of a caller's request and of its runs at endpoints, for logs, metrics and the
// quarantines.
package bbrecord

import "time"

// Request is the log record of a request, written when it ends.
type Request struct {
	ID, Route string
	// Kind is that of the route: read, once or stream.
	Kind string
	// Outcome is a word for how the request ended, Cause the reason if it wasn't answered.
	Outcome, Cause string
	// Endpoint is the last one to which the request was offered, Coordinator the VM that granted it.
	Endpoint, Coordinator string
	// Zone is the failure domain of that endpoint when it was chosen; empty if it was unknown. Regions are those in
	// which it could be chosen; empty if that was any.
	Zone    string
	Regions []string
	// Resumes is the attempt of the stream that the caller takes up, Software the version that began the stream.
	Resumes, Software string
	Status, Tries     int
	// LateGrants is the number of grants that were too old to be used.
	LateGrants int
	// Limit is the time limit of the request; 0 if it ended before that was known.
	Limit time.Duration
	// Granted, First and Took are the times from arrival to the grant of an engine, to the first part of
	// the answer and to the end. If the coordinator refused the request, First is its estimate.
	Granted, First, Took time.Duration
	// OnTime is true for answers within the objective.
	OnTime bool
	// Framing is how the end of the last endpoint's answer was to be recognized; empty if none answered.
	Framing string
	// Hedge is won if the answer is that of a hedge, lost if the request was hedged without gain, else empty.
	Hedge string
	// Version is that of the configuration in force when the request arrived.
	Version uint64
	// Content is a hash of what the request asks, the same for each attempt of its caller; 0 if the
	// request ended before that was known.
	Content uint64
}

// FailedRun describes a run of a request at an endpoint that gave no complete answer.
type FailedRun struct {
	ID      string
	Content uint64
	// Endpoint is the endpoint's ID, Cause the error that ended the exchange.
	Endpoint, Address string
	Cause             error
	// Duration is the time from the start of the run to its failure.
	Duration time.Duration
	// TimedOut is true if the time limit of the run expired, false if the exchange itself failed.
	TimedOut bool
	// AnswerStarted is true if a part of the answer had arrived.
	AnswerStarted bool
	// Parts are the parts of the prompt that other requests may have too, see bbjob.Prompt.SharedParts.
	Parts []uint64
	// SinceFirstEvent is the time since the first complete event of the answer; 0 if there was none.
	SinceFirstEvent time.Duration
	// Answered is true if the endpoint answered completely, but not with the rest of a stream that had begun.
	Answered bool
}
