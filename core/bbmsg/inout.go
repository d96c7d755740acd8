package bbmsg

import "bluebellhall/core/bbevent"

// Input is one thing that happened outside the core. Exactly one field is set.
type Input struct {
	// Rules and List are what the platform published.
	Rules *RulesText
	List  *MemberList
	// Platform tells whether the configuration service answers.
	Platform *PlatformState
	// Caller is a new caller connection with its request.
	Caller *CallerArrived
	// CallerGone tells that a waiting caller's connection ended.
	CallerDisconnected *CallerDisconnected
	// Address asks which addresses a caller should use.
	AddressRequest *AddressRequest
	// Peer is a message from another entry VM.
	Peer *FromPeer
	// Probe and Reply come from peers.
	Probe *Probe
	Reply *ProbeReply
	// Endpoint is news of a call to an endpoint.
	CallUpdate *CallUpdate
	// Report is a load report of an endpoint.
	Report *LoadReport
	// OrderResult is the answer of an endpoint to an order.
	OrderResult *OrderResult
	// Drain starts a graceful stop.
	Drain bool
}

// PlatformState tells whether the configuration service answers.
type PlatformState struct {
	Up bool
}

// CallerArrived is a caller's request on a new connection.
type CallerArrived struct {
	// Call is the driver's number for the connection, unique in the process, not 0.
	Call    uint64
	Request CallerRequest
	// Key is a plain idempotency key, set when the request has no ticket.
	Key string
}

// CallerGone tells that the connection of a call ended before its answer.
type CallerDisconnected struct {
	Call uint64
}

// AddressAsked is a caller's question for addresses.
type AddressRequest struct {
	Call    uint64
	Account string
	// Session steers the conversation back to one home when possible; may be empty.
	Session string
}

// FromPeer is a message with its sender.
type FromPeer struct {
	From        string
	Incarnation uint64
	Envelope    Envelope
}

// NewsKind tells what happened to a call to an endpoint.
type CallUpdateKind string

// The kinds of news of an endpoint call.
const (
	// NewsTokens carries tokens of a running call.
	UpdateTokens CallUpdateKind = "tokens"
	// NewsDone ends the call with success.
	UpdateDone CallUpdateKind = "done"
	// NewsFailed ends the call; the endpoint answered with an error status.
	UpdateFailed CallUpdateKind = "failed"
	// NewsRejected ends the call; the endpoint said that it did not take the request.
	UpdateRejected CallUpdateKind = "rejected"
	// NewsUnsent ends the call; no connection could be made, so no byte left.
	UpdateUnsent CallUpdateKind = "unsent"
	// NewsBroken ends the call; the connection broke after bytes had left.
	UpdateBroken CallUpdateKind = "broken"
)

// EndpointNews is news of one call to an endpoint.
type CallUpdate struct {
	// Call is the core's number from EndpointCall.
	Call uint64
	Kind CallUpdateKind
	// Offset is the index of the first token in Tokens.
	Offset int
	Tokens []string
	Body   []byte
	// Status is the HTTP status, 0 if none came.
	Status int
	// Cold is true when the endpoint itself said that it is cold.
	Cold bool
}

// LoadReport is what an endpoint publishes of itself, late.
type LoadReport struct {
	Endpoint string `json:"endpoint"`
	// Boot changes when the endpoint's process starts anew.
	Boot uint64 `json:"boot"`
	// Cold is the endpoint's own view.
	Cold bool `json:"cold"`
	// Running and Waiting count its requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Model is the loaded model, empty if none.
	Model string `json:"model,omitempty"`
	// LagMillis is how old the report is when published.
	LagMillis int64 `json:"lagMillis"`
}

// OrderResult is the answer of an endpoint to an order.
type OrderResult struct {
	Endpoint string
	Fence    int64
	Accepted bool
	// Status is the HTTP status, 0 if no answer came.
	Status int
}

// Output is one thing for the driver to do. Exactly one field is set.
type Output struct {
	// Send is a message to another entry VM.
	Send *ToPeer
	// Probe goes to a peer outside the message queue; Reply answers a probe.
	Probe *ProbeOut
	Reply *ReplyOut
	// Call starts a call to an endpoint; Stop ends one.
	Call *EndpointCall
	Stop *EndpointStop
	// Answer goes to a waiting caller.
	Answer *Answer
	// Addresses answers an AddressAsked.
	Addresses *AddressAnswer
	// Order goes to an endpoint.
	Order *Order
	// Poll asks the driver to fetch a load report.
	Poll *EndpointPoll
	// Event goes to the time line.
	Event *bbevent.Event
	// Links replaces the set of entry VMs that messages can go to.
	Links *LinkSet
	// Stopped tells the driver that the drain is done and the process may end.
	Stopped bool
}

// LinkSet lists the entry VMs that messages can go to.
type LinkSet struct {
	Members []Member
}

// ToPeer is a message with its destination.
type ToPeer struct {
	To       string
	Envelope Envelope
}

// ProbeOut is a probe with its destination.
type ProbeOut struct {
	To    string
	Probe Probe
}

// ReplyOut is a probe reply with its destination.
type ReplyOut struct {
	// To and Incarnation name the process that sent the probe.
	To          string
	Incarnation uint64
	Reply       ProbeReply
}

// EndpointCall is a request to send to an endpoint.
type EndpointCall struct {
	// Call is the core's number, unique in the process.
	Call     uint64
	Address  string
	Endpoint string
	// Kind selects the protocol: engine, pool or plain.
	Kind string
	// Once is true when the call may not be repeated.
	Once bool
	// Request and Attempt travel as headers so that the endpoint's log can be matched.
	Attempt Attempt
	Path    string
	Model   string
	Session string
	// Priority is the engine's scheduling class, 0 highest.
	Priority   int
	FromOffset int
	Body       []byte
	// TimeoutMillis bounds the whole call; SilenceMillis the time without progress.
	TimeoutMillis int64
	SilenceMillis int64
	// SendWithinMillis is the time from the output within which the first byte must
	// leave, else the driver gives NewsUnsent; 0 means no bound. A process that was
	// paused in between must not send on old knowledge.
	SendWithinMillis int64
}

// EndpointPoll asks for the load report of an endpoint.
type EndpointPoll struct {
	Endpoint string
	Address  string
}

// EndpointStop cancels a call.
type EndpointStop struct {
	Call uint64
}

// AddressAnswer tells a caller which addresses to use.
type AddressAnswer struct {
	Call uint64 `json:"-"`
	// Addresses is ranked, best first.
	Addresses []string `json:"addresses"`
	// Ticket starts request ids: ticket + "." + nonce.
	Ticket string `json:"ticket"`
	// KeepMillis is how long the answer may be used.
	KeepMillis int64 `json:"keepMillis"`
	// Reason is set when the node can't answer yet.
	Reason Reason `json:"reason,omitempty"`
}

// OrderKind tells what an endpoint is ordered to do.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad loads a model.
	OrderLoad OrderKind = "load"
	// OrderRole changes the role of an engine between prefill and decode.
	OrderRole OrderKind = "role"
)

// Order is an order to an endpoint with its fencing number.
type Order struct {
	Endpoint string    `json:"endpoint"`
	Address  string    `json:"-"`
	Kind     OrderKind `json:"kind"`
	// Fence grows with every change of owner and every order.
	Fence int64 `json:"fence"`
	// Argument is the model or the role.
	Argument string `json:"argument"`
	// SendWithinMillis bounds the time from the output to the first byte, as in
	// EndpointCall; an order that is late is not sent and has no result but a status
	// of 0.
	SendWithinMillis int64 `json:"-"`
}
