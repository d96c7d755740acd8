// Package bbflow runs requests through their stages at the home: it dispatches
// attempts to the owners of endpoints, matches results, retries, hedges and resumes
// within the deadline, and ends each record with a true outcome.
package bbflow

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbsuspect"
	"bluebellhall/core/bbtimer"
)

// Settings are the times and bounds of the flow.
type Settings struct {
	// Self is the node's name and Incarnation its process's random number.
	Self        string
	Incarnation uint64
	// OwnerPatience is how long an attempt that may not be repeated waits for an
	// owner that does not answer probes.
	OwnerLossTimeout time.Duration
	// RefusedWait is the pause after the first refusal without a hint of the owner. It
	// doubles with each further one, up to RefusedCeiling.
	RefusalBackoff    time.Duration
	MaxRefusalBackoff time.Duration
	// MaxRefusals bounds the refused attempts of one stage.
	MaxRefusals int
	// MaxAttempts bounds all attempts of one stage.
	MaxAttempts int
	// AnswerMargin is kept of each deadline for the way back to the caller.
	AnswerMargin time.Duration
}

// Step is a stage as resolved when the request was accepted.
type Step struct {
	// Service, Path and Model say what to call.
	Service string
	Path    string
	Model   string
	// Kind tells how the endpoints are spoken to.
	Kind bbrule.ServiceKind
	// Once is true when the stage may not be repeated.
	Once bool
}

// AttemptState tells where an attempt stands.
type AttemptState int

// The states of an attempt.
const (
	// AttemptOpen awaits its result.
	AttemptOpen AttemptState = iota
	// AttemptUnsent ended with proof that the endpoint never gets it.
	AttemptUnsent
	// AttemptRan ended after it may have reached the endpoint.
	AttemptMayHaveRun
)

// Attempt is one try of the current stage.
type Attempt struct {
	// Number counts from 1 and is never used twice within a stage.
	Number   int
	Endpoint string
	Owner    string
	// OwnerIncarnation is the owner's process as known at the dispatch, 0 if unknown.
	OwnerIncarnation uint64
	State            AttemptState
	// Sent and Expires bound the attempt's time.
	Sent    time.Duration
	Expires time.Duration
	// Lost is when the owner was first seen gone, 0 while it is there.
	OwnerLostAt time.Duration
	// Deputy is true when the owner only stands in for one that is lost.
	Deputy bool
	// CancelSent is true once the owner was asked to stop.
	CancelSent bool
	// Hedge is true for a second attempt beside an open one.
	Hedge bool
	// HedgeAt is when a second attempt may be made beside this one.
	HedgeAt time.Duration
}

// Run is a request on its way through its stages.
type Run struct {
	Record *bbhome.Record
	Steps  []Step
	// Stage is the index of the current stage and only grows.
	Stage int
	// Input is the body for the current stage.
	Input []byte
	// Tokens collects the stream of an engine that is not the last stage.
	Tokens []string
	// Deadline is when the outcome must have been given.
	Deadline time.Duration
	// StageStart is when the current stage began.
	StageStart time.Duration
	// Attempts are the tries of the current stage, at most Settings.MaxAttempts.
	Attempts []Attempt
	// Refusals counts the refused attempts of the stage.
	Refusals int
	// Stream is the number of the attempt whose tokens are taken, 0 before the first.
	StreamAttempt int
	// Retry is when the stage is tried again, 0 when no try is planned.
	RetryAt time.Duration
	// RetryHint is the owner's latest estimate of when to come back.
	RetryHint time.Duration
	// LastReason is the reason of the latest refusal or failure.
	LastReason bbmsg.Reason
	// Ran is true once any attempt may have reached an endpoint, and OnceRan once
	// one that may not be repeated did. Neither is ever cleared.
	MayHaveRun     bool
	OnceMayHaveRun bool
	// Alone is true when attempts may only run on an otherwise empty endpoint.
	Alone bool
	// Account of the request.
	Account bbrule.Account
	// due is the time of the run's earliest timer entry.
	due time.Duration
}

// Choice is an endpoint with its owner, or why there is none.
type Choice struct {
	// Reason is why there is no endpoint, and RetryAfter when a caller may come back.
	// Both are unset when there is one.
	Reason     bbmsg.Reason
	RetryAfter time.Duration
	// Endpoint to use, with the process of its owner by the list of that revision.
	Endpoint         string
	Owner            string
	OwnerIncarnation uint64
	ListRevision     int64
	Deputy           bool
}

// Query asks for an endpoint for a stage.
type Query struct {
	Step    Step
	Session string
	Account string
	// BodyBytes is the size of the input.
	BodyBytes int
	// Exclude lists endpoints that were tried in this stage.
	Exclude []string
	// Alone asks for an endpoint that can be used alone.
	Alone bool
}

// PeerState is what is known of another node.
type PeerState struct {
	Alive       bool
	Incarnation uint64
}

// Seams are the decisions and effects outside the flow. All are set.
type Hooks struct {
	// Choose picks an endpoint, and false with a reason when none is eligible.
	Choose func(now time.Duration, q Query) (Choice, bool)
	// Peer tells whether a node answers probes.
	Peer func(now time.Duration, name string) PeerState
	// Send passes a message on, to this node itself as well.
	Send func(now time.Duration, to string, e bbmsg.Envelope)
	// Closed is called once for each attempt that is no longer open.
	AttemptClosed func(endpoint string)
	// Progress is called when a record has new tokens for its waiters.
	Progress func(r *bbhome.Record)
	// End fixes the outcome of a record and tells its waiters.
	End func(r *bbhome.Record, outcome bbmsg.Outcome, reason bbmsg.Reason)
	// Emit adds an event to the time line.
	Emit func(e bbevent.Event)
	// CanMake tells whether the stages still fit into the remaining time.
	CanMeetDeadline func(now, remaining time.Duration, steps []Step) bool
	// Split returns the share of the remaining time for the first of the steps.
	SplitBudget func(now, remaining time.Duration, steps []Step) time.Duration
	// First counts the first attempt of a stage for the retry budget.
	FirstAttempt func(now time.Duration, service string)
	// AllowRetry draws one retry or hedge from the budget of a service.
	AllowRetry func(now time.Duration, service string, hedge bool) bool
	// HedgeDelay is how long to wait for first news before a hedge, and false for
	// none.
	HedgeDelay func(now, remaining time.Duration, service string) (time.Duration, bool)
	// Observe takes in the duration of a finished stage.
	ObserveDuration func(now time.Duration, service string, took time.Duration)
	// Died is called when an endpoint died under an attempt, with the number of
	// other attempts on it. It tells how the content is to be treated from now on.
	EndpointDied func(now time.Duration, r *bbhome.Record, stage int, a Attempt, others int) bbsuspect.Verdict
	// Survived is called when the last stage has succeeded, in an attempt that was sent at a time.
	RequestSucceeded func(r *bbhome.Record, sent time.Duration)
}

// Table holds the runs of one node. It is not safe for concurrent use.
type Table struct {
	Settings Settings
	Hooks    Hooks
	// Runs maps request ids to their runs; each record has at most one.
	Runs map[string]*Run
	// timers has each run at the time when it is to be looked at.
	timers bbtimer.Queue
}

// New returns a table without runs.
func New(s Settings, seams Hooks) *Table {
	return &Table{
		Settings: s,
		Hooks:    seams,
		Runs:     make(map[string]*Run),
	}
}

// NextWake returns when Tick is to be called again at the latest.
func (t *Table) NextWake() time.Duration {
	return t.timers.Next()
}

// step returns the current stage.
func (r *Run) step() Step {
	return r.Steps[r.Stage]
}

// last tells whether the current stage is the last.
func (r *Run) last() bool {
	return r.Stage == len(r.Steps)-1
}

// have returns the number of tokens of the current stage's stream.
func (r *Run) tokenCount() int {
	if r.last() {
		return len(r.Record.Tokens)
	}
	return len(r.Tokens)
}

// open returns the number of open attempts.
func (r *Run) open() int {
	n := 0
	for _, a := range r.Attempts {
		if a.State == AttemptOpen {
			n++
		}
	}
	return n
}

// wake plans a look at the run, unless an earlier one is planned.
func (t *Table) schedule(r *Run, due time.Duration) {
	if r.due != 0 && r.due <= due {
		return
	}
	r.due = due
	t.timers.Push(r.Record.ID, due)
}

// emit adds an event of a run.
func (t *Table) emit(r *Run, number bbevent.Number, a Attempt, detail string) {
	t.Hooks.Emit(bbevent.Event{
		Number:   number,
		Request:  r.Record.ID,
		Stage:    r.Stage,
		Attempt:  a.Number,
		Endpoint: a.Endpoint,
		Peer:     a.Owner,
		Detail:   detail,
	})
}
