package bbmsg

import "bluebellhall/core/bbevent"

// Input is one event from outside the core. Exactly one field is set.
type Input struct {
	// Rules and List are what the platform published.
	Rules *RulesText
	List  *MemberList
	// Platform reports whether the configuration service answers.
	Platform *PlatformState
	// Caller is a new caller connection with its request.
	Caller *CallerArrived
	// CallerDisconnected reports that a waiting caller's connection ended.
	CallerDisconnected *CallerDisconnected
	// AddressRequest asks which addresses a caller should use.
	AddressRequest *AddressRequest
	// Peer is a message from another entry VM.
	Peer *FromPeer
	// Probe and Reply are received from peers.
	Probe *Probe
	Reply *ProbeReply
	// CallUpdate reports the progress or end of a call to an endpoint.
	CallUpdate *CallUpdate
	// Report is a load report of an endpoint.
	Report *LoadReport
	// OrderResult is an endpoint's answer to an order.
	OrderResult *OrderResult
	// Drain starts a graceful stop.
	Drain bool
}

// PlatformState is the reachability of the configuration service.
type PlatformState struct {
	Up bool
}

// CallerArrived is a caller's request on a new connection.
type CallerArrived struct {
	// Call is the driver's number of the connection, unique in the process, not 0.
	Call    uint64
	Request CallerRequest
	// Key is a plain idempotency key, set when the request has no ticket.
	Key string
}

// CallerDisconnected reports that the connection of a call ended before its answer.
type CallerDisconnected struct {
	Call uint64
}

// AddressRequest is a caller's request for addresses.
type AddressRequest struct {
	Call    uint64
	Account string
	// Session routes all requests of a conversation to one home where possible; may be empty.
	Session string
}

// FromPeer is a message together with its sender.
type FromPeer struct {
	From        string
	Incarnation uint64
	Envelope    Envelope
}

// CallUpdateKind is the kind of a CallUpdate.
type CallUpdateKind string

// The kinds of update of an endpoint call.
const (
	// UpdateTokens carries tokens of a running call.
	UpdateTokens CallUpdateKind = "tokens"
	// UpdateDone ends the call with success.
	UpdateDone CallUpdateKind = "done"
	// UpdateFailed ends the call; the endpoint answered with an error status.
	UpdateFailed CallUpdateKind = "failed"
	// UpdateRejected ends the call; the endpoint answered that it did not accept the request.
	UpdateRejected CallUpdateKind = "rejected"
	// UpdateUnsent ends the call; no connection was made, so no byte was sent.
	UpdateUnsent CallUpdateKind = "unsent"
	// UpdateBroken ends the call; the connection broke after bytes had been sent.
	UpdateBroken CallUpdateKind = "broken"
)

// CallUpdate reports the progress or end of one call to an endpoint.
type CallUpdate struct {
	// Call is the core's number of the call, from EndpointCall.
	Call uint64
	Kind CallUpdateKind
	// Offset is the index of the first token in Tokens.
	Offset int
	Tokens []string
	Body   []byte
	// Status is the HTTP status, 0 if none came.
	Status int
	// Cold is true when the endpoint reported itself as cold.
	Cold bool
}

// LoadReport is what an endpoint publishes about its load, with a delay.
type LoadReport struct {
	Endpoint string `json:"endpoint"`
	// Boot changes when the endpoint's process restarts.
	Boot uint64 `json:"boot"`
	// Cold is true when the endpoint considers itself cold.
	Cold bool `json:"cold"`
	// Running and Waiting count its requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Model is the loaded model, empty if none.
	Model string `json:"model,omitempty"`
	// LagMillis is how old the report is when published.
	LagMillis int64 `json:"lagMillis"`
}

// OrderResult is an endpoint's answer to an order.
type OrderResult struct {
	Endpoint string
	Fence    int64
	Accepted bool
	// Status is the HTTP status, 0 if no answer came.
	Status int
}

// Output is one action for the driver. Exactly one field is set.
type Output struct {
	// Send is a message to another entry VM.
	Send *ToPeer
	// Probe goes to a peer outside the message queue; Reply answers a probe.
	Probe *ProbeOut
	Reply *ReplyOut
	// Call starts a call to an endpoint; Stop cancels one.
	Call *EndpointCall
	Stop *EndpointStop
	// Answer goes to a waiting caller.
	Answer *Answer
	// Addresses answers an AddressRequest.
	Addresses *AddressAnswer
	// Order goes to an endpoint.
	Order *Order
	// Poll asks the driver to fetch a load report.
	Poll *EndpointPoll
	// Event goes to the timeline.
	Event *bbevent.Event
	// Links replaces the set of entry VMs that messages can go to.
	Links *LinkSet
	// Stopped reports that the drain is complete and the process may exit.
	Stopped bool
}

// LinkSet lists the entry VMs that messages can go to.
type LinkSet struct {
	Members []Member
}

// ToPeer is a message together with its destination.
type ToPeer struct {
	To       string
	Envelope Envelope
}

// ProbeOut is a probe together with its destination.
type ProbeOut struct {
	To    string
	Probe Probe
}

// ReplyOut is a probe reply together with its destination.
type ReplyOut struct {
	// To and Incarnation name the process that sent the probe.
	To          string
	Incarnation uint64
	Reply       ProbeReply
}

// EndpointCall is a request to send to an endpoint.
type EndpointCall struct {
	// Call is the core's number of the call, unique in the process.
	Call     uint64
	Address  string
	Endpoint string
	// Kind selects the protocol: engine, pool or plain.
	Kind string
	// Once is true when the call may not be repeated.
	Once bool
	// Attempt is sent in headers, so that entries of the endpoint's log can be matched.
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
	// SendWithinMillis is the time from the output within which the first byte has to be
	// sent; after that the driver returns UpdateUnsent. 0 means no bound. It prevents a
	// process that was paused in between from acting on outdated state.
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

// AddressAnswer lists the addresses that a caller should use.
type AddressAnswer struct {
	Call uint64 `json:"-"`
	// Addresses is ranked, best first.
	Addresses []string `json:"addresses"`
	// Ticket is the prefix of the caller's request ids: ticket + "." + nonce.
	Ticket string `json:"ticket"`
	// KeepMillis is how long the answer may be used.
	KeepMillis int64 `json:"keepMillis"`
	// Reason is set when the node can't answer yet.
	Reason Reason `json:"reason,omitempty"`
}

// OrderKind is what an endpoint is ordered to do.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad loads a model.
	OrderLoad OrderKind = "load"
	// OrderRole changes the role of an engine between prefill and decode.
	OrderRole OrderKind = "role"
)

// Order is a command to an endpoint with its fencing number.
type Order struct {
	Endpoint string    `json:"endpoint"`
	Address  string    `json:"-"`
	Kind     OrderKind `json:"kind"`
	// Fence is the fencing number; it grows with every change of owner and every order.
	Fence int64 `json:"fence"`
	// Argument is the name of the model or the role.
	Argument string `json:"argument"`
	// SendWithinMillis bounds the time from the output to the first byte, as in
	// EndpointCall. An order that is late is not sent, and its result has status 0.
	SendWithinMillis int64 `json:"-"`
}
