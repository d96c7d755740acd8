// Package bbflow runs requests through their stages at the home, the entry VM that is
// responsible for a request: it dispatches attempts to the owners of endpoints, matches
// results, retries, hedges and resumes within the deadline, and ends each record with the
// outcome that its attempts prove.
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

// Settings holds the timeouts and limits of the flow.
type Settings struct {
	// Self is the node's name and Incarnation its process's random number.
	Self        string
	Incarnation uint64
	// OwnerLossTimeout is how long an attempt that must not be repeated waits for an owner
	// that does not answer probes.
	OwnerLossTimeout time.Duration
	// RefusalBackoff is the base of the delay after refusals, if the owner suggests no longer
	// one. It doubles with each refusal of the stage, up to MaxRefusalBackoff.
	RefusalBackoff    time.Duration
	MaxRefusalBackoff time.Duration
	// MaxRefusals bounds the refused attempts of one stage.
	MaxRefusals int
	// MaxAttempts bounds all attempts of one stage.
	MaxAttempts int
	// AnswerMargin is the part of each deadline that is reserved for the answer to the caller.
	AnswerMargin time.Duration
}

// Step is a stage as resolved when the request was accepted.
type Step struct {
	// Service, Path and Model determine the call.
	Service string
	Path    string
	Model   string
	// Kind is the kind of service, which determines the protocol of its endpoints.
	Kind bbrule.ServiceKind
	// Once is true when the stage may not be repeated.
	Once bool
}

// AttemptState is the state of an attempt.
type AttemptState int

// The states of an attempt.
const (
	// AttemptOpen awaits its result.
	AttemptOpen AttemptState = iota
	// AttemptUnsent ended and will certainly never reach the endpoint.
	AttemptUnsent
	// AttemptMayHaveRun ended after it may have reached the endpoint.
	AttemptMayHaveRun
)

// Attempt is one try of the current stage.
type Attempt struct {
	// Number counts from 1 and is never used twice within a stage.
	Number   int
	Endpoint string
	Owner    string
	// OwnerIncarnation is the owner's incarnation as known at the dispatch, 0 if unknown.
	OwnerIncarnation uint64
	State            AttemptState
	// Sent is when the attempt was dispatched, and Expires when its time budget ends.
	Sent    time.Duration
	Expires time.Duration
	// OwnerLostAt is when the owner was first seen to be lost, 0 while it is alive.
	OwnerLostAt time.Duration
	// Deputy is true when the owner is a deputy that stands in for a lost owner.
	Deputy bool
	// CancelSent is true once the owner was asked to stop.
	CancelSent bool
	// Hedge is true for a second attempt beside an open one.
	Hedge bool
	// HedgeAt is when a hedge may be started beside this attempt.
	HedgeAt time.Duration
}

// Run is the execution state of one request.
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
	// Attempts are the attempts of the current stage, at most Settings.MaxAttempts.
	Attempts []Attempt
	// Refusals counts the refused attempts of the stage.
	Refusals int
	// StreamAttempt is the number of the attempt whose tokens are accepted, 0 before the first token.
	StreamAttempt int
	// RetryAt is when the stage is tried again, 0 when no retry is scheduled.
	RetryAt time.Duration
	// RetryHint is the owner's latest estimate of the delay before a retry.
	RetryHint time.Duration
	// LastReason is the reason of the latest refusal or failure.
	LastReason bbmsg.Reason
	// MayHaveRun is true once any attempt may have reached an endpoint, and OnceMayHaveRun
	// once one that must not be repeated may have. Neither is ever reset.
	MayHaveRun     bool
	OnceMayHaveRun bool
	// Alone is true when attempts may only run on an otherwise empty endpoint.
	Alone bool
	// Account is the client account of the request.
	Account bbrule.Account
	// due is the time of the run's earliest entry in the timer queue.
	due time.Duration
}

// Choice is an endpoint with its owner, or why there is none.
type Choice struct {
	// Reason is why there is no endpoint, and RetryAfter the delay after which a caller may
	// retry. Both are unset when there is one.
	Reason     bbmsg.Reason
	RetryAfter time.Duration
	// Endpoint is the endpoint to use; Owner and OwnerIncarnation are its owner by the member
	// list of ListRevision, or the deputy that stands in for it when Deputy is true.
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
	// Exclude lists endpoints that were already tried in this stage.
	Exclude []string
	// Alone asks for an endpoint without other work.
	Alone bool
}

// PeerState is what this node knows of another node.
type PeerState struct {
	Alive       bool
	Incarnation uint64
}

// Hooks are the decisions and side effects that the flow leaves to its caller. Production
// code sets all of them.
type Hooks struct {
	// Choose picks an endpoint, or returns false and a reason when none is eligible.
	Choose func(now time.Duration, q Query) (Choice, bool)
	// Peer returns whether a node answers probes, and its incarnation.
	Peer func(now time.Duration, name string) PeerState
	// Send sends a message to a node, which may be this one.
	Send func(now time.Duration, to string, e bbmsg.Envelope)
	// AttemptClosed is called once for each attempt when it is no longer open.
	AttemptClosed func(endpoint string)
	// Progress is called when a record has new tokens for the callers that wait for it.
	Progress func(r *bbhome.Record)
	// End sets the outcome of a record and notifies the callers that wait for it.
	End func(r *bbhome.Record, outcome bbmsg.Outcome, reason bbmsg.Reason)
	// Emit publishes an event.
	Emit func(e bbevent.Event)
	// CanMeetDeadline returns whether the stages still fit into the remaining time.
	CanMeetDeadline func(now, remaining time.Duration, steps []Step) bool
	// SplitBudget returns the share of the remaining time for the first of the steps.
	SplitBudget func(now, remaining time.Duration, steps []Step) time.Duration
	// FirstAttempt counts the first attempt of a stage, which adds to the retry budget.
	FirstAttempt func(now time.Duration, service string)
	// AllowRetry takes one retry or hedge from the retry budget of a service, and returns
	// false when the budget is exhausted.
	AllowRetry func(now time.Duration, service string, hedge bool) bool
	// HedgeDelay returns how long to wait for the first result before a hedge, and false
	// when there must be no hedge.
	HedgeDelay func(now, remaining time.Duration, service string) (time.Duration, bool)
	// ObserveDuration records the duration of a finished stage.
	ObserveDuration func(now time.Duration, service string, took time.Duration)
	// EndpointDied is called when an endpoint died during an attempt, with the number of other
	// attempts on it. It returns how the content of the request is treated from now on.
	EndpointDied func(now time.Duration, r *bbhome.Record, stage int, a Attempt, others int) bbsuspect.Verdict
	// RequestSucceeded is called when the last stage succeeded, with the time at which its
	// attempt was sent.
	RequestSucceeded func(r *bbhome.Record, sent time.Duration)
}

// Table holds the runs of one node. It is not safe for concurrent use.
type Table struct {
	Settings Settings
	Hooks    Hooks
	// Runs maps request ids to their runs; each record has at most one.
	Runs map[string]*Run
	// timers holds each run under the time of its next check.
	timers bbtimer.Queue
}

// New returns a table without runs.
func New(s Settings, h Hooks) *Table {
	return &Table{
		Settings: s,
		Hooks:    h,
		Runs:     make(map[string]*Run),
	}
}

// NextWake returns the latest time for the next call of Tick.
func (t *Table) NextWake() time.Duration {
	return t.timers.Next()
}

// step returns the current stage.
func (r *Run) step() Step {
	return r.Steps[r.Stage]
}

// last returns whether the current stage is the last one.
func (r *Run) last() bool {
	return r.Stage == len(r.Steps)-1
}

// tokenCount returns the number of tokens received in the current stage.
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

// schedule makes Tick check the run at the due time, unless an earlier check is scheduled.
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
