package bbmsg

import (
	"time"

	"bluebellhall/core/bbevent"
)

// Batch is what one send on a link carries, in order.
type Batch struct {
	// From and Incarnation name the sending process.
	From        string `json:"from"`
	Incarnation uint64 `json:"incarnation"`
	// First is the sequence number of the first envelope; the others count up from it.
	First uint64 `json:"first"`
	// Stamp is the sender's hybrid logical time.
	Stamp bbevent.Stamp `json:"stamp"`
	// Envelopes has at least one entry.
	Envelopes []Envelope `json:"envelopes"`
}

// BatchAck acknowledges the envelopes that have arrived.
type BatchAck struct {
	// Incarnation is the receiving process's.
	Incarnation uint64 `json:"incarnation"`
	// Received is the sequence number up to which all envelopes have been received.
	Received uint64 `json:"received"`
	// Stamp is the receiver's hybrid logical time.
	Stamp bbevent.Stamp `json:"stamp"`
}

// Envelope holds one message between entry VMs. Exactly one field is set.
type Envelope struct {
	Forward   *Forward   `json:"forward,omitempty"`
	Answer    *Answer    `json:"answer,omitempty"`
	Detach    *Detach    `json:"detach,omitempty"`
	Dispatch  *Dispatch  `json:"dispatch,omitempty"`
	Result    *Result    `json:"result,omitempty"`
	Cancel    *Cancel    `json:"cancel,omitempty"`
	Cancelled *Cancelled `json:"cancelled,omitempty"`
	Handover  *Handover  `json:"handover,omitempty"`
	Suspect   *Suspect   `json:"suspect,omitempty"`
	Rules     *RulesText `json:"rules,omitempty"`
	List      *ListText  `json:"list,omitempty"`
	Fetch     *Fetch     `json:"fetch,omitempty"`
}

// CallerRequest is a request as a caller sent it.
type CallerRequest struct {
	// ID is the whole request id: ticket and nonce, or a key id made by the receiver.
	ID string `json:"id"`
	// Account is the client account's name.
	Account string `json:"account"`
	// Pipeline is set for pipeline requests, else Service and Path are.
	Pipeline string `json:"pipeline,omitempty"`
	Service  string `json:"service,omitempty"`
	Path     string `json:"path,omitempty"`
	// Session ties the requests of a conversation together; may be empty.
	Session string `json:"session,omitempty"`
	// Stream is true when the caller wants tokens as they come.
	Stream bool `json:"stream,omitempty"`
	// FromOffset is the first token wanted, for a resumed stream.
	FromOffset int `json:"fromOffset,omitempty"`
	// Body is the payload, JSON by convention.
	Body []byte `json:"body,omitempty"`
	// BudgetMillis is the caller's own time limit, counted from now; 0 means the rule's deadline.
	BudgetMillis int64 `json:"budgetMillis,omitempty"`
	// LookupOnly asks for the outcome of a known request and never starts one.
	LookupOnly bool `json:"lookupOnly,omitempty"`
}

// Forward passes a caller's request to its home.
type Forward struct {
	// Call is the receiver's own number for the waiting caller.
	Call uint64 `json:"call"`
	// Request is the caller's.
	Request CallerRequest `json:"request"`
}

// Detach informs the home that a waiting caller has disconnected.
type Detach struct {
	Call uint64 `json:"call"`
	ID   string `json:"id"`
}

// Outcome is how a request ended.
type Outcome string

// The outcomes of a request.
const (
	// OutcomePending is not final; the answer holds a part of the stream.
	OutcomePending Outcome = "pending"
	// OutcomeAnswered carries the whole answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun is a refusal: no part that may not be repeated has run or will run later.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the outcome can't be determined; the request is never run again.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the request ran and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeRan means that the request was answered, but the answer is no longer stored.
	OutcomeRan Outcome = "ran"
	// OutcomeInvalid means that this message can't be accepted; it implies nothing about other
	// messages with the same id.
	OutcomeInvalid Outcome = "invalid"
)

// Reason is the machine-readable cause of an outcome, in camel case.
type Reason string

// The reasons that a caller can see.
const (
	ReasonNone            Reason = ""
	ReasonUnknownPipeline Reason = "unknownPipeline"
	ReasonUnknownService  Reason = "unknownService"
	ReasonUnknownCall     Reason = "unknownCall"
	ReasonUnknownAccount  Reason = "unknownAccount"
	ReasonBadTicket       Reason = "badTicket"
	ReasonExpiredTicket   Reason = "expiredTicket"
	ReasonBodyTooLarge    Reason = "bodyTooLarge"
	ReasonBodyDiffers     Reason = "bodyDiffers"
	ReasonOverload        Reason = "overload"
	ReasonFairShare       Reason = "fairShare"
	ReasonDeadline        Reason = "deadline"
	ReasonNoEndpoint      Reason = "noEndpoint"
	ReasonTableFull       Reason = "tableFull"
	ReasonDraining        Reason = "draining"
	ReasonNotReady        Reason = "notReady"
	ReasonHomeGone        Reason = "homeGone"
	ReasonOwnerGone       Reason = "ownerGone"
	ReasonMoved           Reason = "moved"
	ReasonColdWait        Reason = "coldWait"
	ReasonEndpointFailed  Reason = "endpointFailed"
	ReasonSuspect         Reason = "suspect"
	ReasonCancelled       Reason = "cancelled"
	ReasonRetention       Reason = "retention"
	ReasonUnconfirmed     Reason = "unconfirmed"
	ReasonSilent          Reason = "silent"
	ReasonKeyTakenOver    Reason = "keyTakenOver"
	ReasonNotSeen         Reason = "notSeen"
	ReasonDomainOut       Reason = "domainOut"
	ReasonUnknownPath     Reason = "unknownPath"
	ReasonBadQuery        Reason = "badQuery"
	ReasonBadHeader       Reason = "badHeader"
	ReasonNoID            Reason = "noId"
)

// Answer carries a part of the stream or the final outcome of a request to the receiver.
type Answer struct {
	// Call is the number in the Forward, or 0 at the home itself.
	Call uint64 `json:"call"`
	// ID is the request id.
	ID string `json:"id"`
	// Outcome is pending for parts of a stream.
	Outcome Outcome `json:"outcome"`
	// Reason is set for all outcomes but answered and pending.
	Reason Reason `json:"reason,omitempty"`
	// RetryAfterMillis is when the caller may retry, 0 if retrying is of no use.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
	// Repeatable is true when nothing that may not be repeated has run or will run later,
	// so that the caller may send the same content under a new id.
	Repeatable bool `json:"repeatable,omitempty"`
	// Offset is the index of the first token in Tokens.
	Offset int `json:"offset,omitempty"`
	// Tokens is a part of the stream.
	Tokens []string `json:"tokens,omitempty"`
	// Body is the whole answer when Outcome is answered and the stage is not an engine.
	Body []byte `json:"body,omitempty"`
}

// Attempt identifies one attempt at one stage of a request.
type Attempt struct {
	// ID is the request id.
	ID string `json:"id"`
	// Stage is the index of the stage, from 0.
	Stage int `json:"stage"`
	// Number counts the attempts at the stage, from 1.
	Number int `json:"number"`
}

// Dispatch sends one attempt to the owner of an endpoint.
type Dispatch struct {
	// Deputy is true when the receiver has to act in place of an owner that the home can't reach.
	Deputy  bool    `json:"deputy,omitempty"`
	Attempt Attempt `json:"attempt"`
	// Home and HomeIncarnation name the sending home.
	Home            string `json:"home"`
	HomeIncarnation uint64 `json:"homeIncarnation"`
	// OwnerIncarnation is the owner's incarnation as the home knows it. A restarted owner
	// doesn't know whether the attempt was already sent, so it must not send it.
	OwnerIncarnation uint64 `json:"ownerIncarnation"`
	// Endpoint is the chosen endpoint.
	Endpoint string `json:"endpoint"`
	// ListRevision is the revision of the member list by which the home found the owner.
	ListRevision int64 `json:"listRevision"`
	// BudgetMillis is the time left for this stage at the time of sending.
	BudgetMillis int64 `json:"budgetMillis"`
	// Once is true when the stage may not be repeated.
	Once bool `json:"once,omitempty"`
	// Alone is true when the attempt may only run while nothing else runs on the endpoint.
	Alone bool `json:"alone,omitempty"`
	// Account, Priority and Weight are for the fair queue at the owner.
	Account  string `json:"account"`
	Priority int    `json:"priority"`
	Weight   int    `json:"weight"`
	// Service, Path and Model determine the call.
	Service string `json:"service"`
	Path    string `json:"path,omitempty"`
	Model   string `json:"model,omitempty"`
	// Session is the conversation, for affinity to the engine's prefix cache.
	Session string `json:"session,omitempty"`
	// FromOffset is the first token wanted, for a resumed stream.
	FromOffset int `json:"fromOffset,omitempty"`
	// Body is the input of the stage.
	Body []byte `json:"body,omitempty"`
}

// ResultKind is what a Result reports about its attempt.
type ResultKind string

// The kinds of result.
const (
	// ResultTokens carries tokens; the attempt continues.
	ResultTokens ResultKind = "tokens"
	// ResultDone ends the attempt with success.
	ResultDone ResultKind = "done"
	// ResultRefused ends the attempt; nothing was sent to the endpoint and nothing will be.
	ResultRefused ResultKind = "refused"
	// ResultFailed ends the attempt; the endpoint answered with an error.
	ResultFailed ResultKind = "failed"
	// ResultBroken ends the attempt; it was sent, but no complete answer came.
	ResultBroken ResultKind = "broken"
)

// Result reports the progress or end of one attempt from the owner to the home.
type Result struct {
	Attempt Attempt    `json:"attempt"`
	Kind    ResultKind `json:"kind"`
	// Reason is set for refused, failed and broken.
	Reason Reason `json:"reason,omitempty"`
	// ListRevision is that of the owner's list, so that a home with an older one can fetch it.
	ListRevision int64 `json:"listRevision"`
	// RetryAfterMillis is the owner's estimate for refused.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
	// EndpointDied is true when the endpoint crashed or reset the connection during the attempt.
	EndpointDied bool `json:"endpointDied,omitempty"`
	// Others counts the attempts that were on the endpoint when it died.
	Others int `json:"others,omitempty"`
	// Status is the HTTP status of the endpoint, 0 if none came.
	Status int `json:"status,omitempty"`
	// Offset is the index of the first token in Tokens. For done it is the number
	// of tokens of the whole stream.
	Offset int      `json:"offset,omitempty"`
	Tokens []string `json:"tokens,omitempty"`
	// Body is the output of the stage for done.
	Body []byte `json:"body,omitempty"`
	// Digest is the owner's digest of the endpoint after the attempt, if there is one.
	Digest *EndpointDigest `json:"digest,omitempty"`
	// ServiceMillis is the time on the endpoint, QueueMillis the queueing delay at the owner.
	ServiceMillis int64 `json:"serviceMillis,omitempty"`
	QueueMillis   int64 `json:"queueMillis,omitempty"`
}

// Cancel asks the owner to stop an attempt and to report whether it was ever sent.
type Cancel struct {
	// Deputy is that of the Dispatch.
	Deputy  bool    `json:"deputy,omitempty"`
	Attempt Attempt `json:"attempt"`
	// Endpoint is the endpoint of the attempt.
	Endpoint string `json:"endpoint"`
	// Home is the asking home.
	Home string `json:"home"`
	// OwnerIncarnation is the process that received the attempt. A restarted one has no
	// record of it and does not answer.
	OwnerIncarnation uint64 `json:"ownerIncarnation"`
}

// Cancelled answers a Cancel. Once NeverSent is true, the owner will not send the attempt.
type Cancelled struct {
	Attempt Attempt `json:"attempt"`
	// NeverSent is true when the owner recorded that it will not send the attempt.
	NeverSent bool `json:"neverSent"`
}

// Handover transfers records of a leaving home to its successor.
type Handover struct {
	Home        string `json:"home"`
	Incarnation uint64 `json:"incarnation"`
	// HomeMillis is the home's monotonic clock at the handover.
	HomeMillis int64    `json:"homeMillis"`
	Records    []Record `json:"records"`
	// Part is the number of this part, from 0, and Parts the number of parts.
	Part  int `json:"part"`
	Parts int `json:"parts"`
}

// Record is the final state of one request, as handed over.
type Record struct {
	ID      string  `json:"id"`
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason,omitempty"`
	// Fingerprint is a hash of target and body. It tells a repeat of a request from other
	// content under the same id.
	Fingerprint uint64   `json:"fingerprint"`
	Tokens      []string `json:"tokens,omitempty"`
	Body        []byte   `json:"body,omitempty"`
	// KeepMillis is the remaining retention time of the record.
	KeepMillis int64 `json:"keepMillis"`
}

// Suspect reports content whose runs ended with the loss of their endpoint. Times are ages, so
// that the clocks of different VMs are never compared.
type Suspect struct {
	// Fingerprint is a hash of target, caller and body.
	Fingerprint uint64 `json:"fingerprint"`
	// Runs are those during which the endpoint was lost.
	Runs []SuspectRun `json:"runs,omitempty"`
	// Good is how long ago the newest successful run began; nil if there was none.
	Good *time.Duration `json:"good,omitempty"`
}

// SuspectRun is a run during which its endpoint was lost.
type SuspectRun struct {
	// ID is unique for each run.
	ID       uint64        `json:"id"`
	Endpoint string        `json:"endpoint"`
	BeganAgo time.Duration `json:"beganAgo"`
	EndedAgo time.Duration `json:"endedAgo"`
	// Alone is true when nothing else ran on the endpoint.
	Alone bool `json:"alone,omitempty"`
	// With are the fingerprints of the other parts of the prompt if the run counts against a part.
	With []uint64 `json:"with,omitempty"`
}

// RulesText is one revision of the rules as published.
type RulesText struct {
	Revision int64  `json:"revision"`
	Text     string `json:"text"`
}

// ListText is a member list passed between nodes.
type ListText struct {
	List MemberList `json:"list"`
}

// Fetch asks a peer for rules and lists newer than the given revisions.
type Fetch struct {
	RulesAfter int64 `json:"rulesAfter"`
	ListAfter  int64 `json:"listAfter"`
}
