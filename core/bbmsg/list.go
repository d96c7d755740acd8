// Package bbmsg holds the typed messages of the system: what entry VMs send each
// other, and the inputs and outputs of the core. All types are plain data; the
// codec takes the field names from the json tags.
package bbmsg

// MemberList is one revision of the platform's list of VMs.
type MemberList struct {
	// Revision grows with every change of the list.
	Revision int64 `json:"revision"`
	// Members is sorted by name.
	Members []Member `json:"members"`
}

// MemberRole is the role of a VM.
type MemberRole string

// The roles of VMs.
const (
	// RoleEntry is an entry VM, which runs bluebelld.
	RoleEntry MemberRole = "entry"
	// RoleEndpoint is a VM that runs an endpoint.
	RoleEndpoint MemberRole = "endpoint"
)

// Member is one VM of the list.
type Member struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Role is entry or endpoint.
	Role MemberRole `json:"role"`
	// Address is host:port for callers (entry) or for requests (endpoint).
	Address string `json:"address"`
	// PeerAddress is host:port for other entry VMs; empty for endpoints.
	PeerAddress string `json:"peerAddress,omitempty"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Region is the region of the domain.
	Region string `json:"region"`
	// Leaving is true once the platform has announced the removal of the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// Probes and their replies are the periodic traffic between entry VMs. They are encoded with
// field numbers instead of names; a number is never reused for another field.

// Probe asks a peer to confirm the sender's member list and carries the sender's state.
// Probes and replies are neither stored nor retransmitted.
type Probe struct {
	// From is the sender's name and Incarnation a random number drawn at its start.
	From        string `json:"from" cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint,omitempty"`
	// Sequence matches a reply to its probe; it grows by one with each probe to a peer.
	Sequence uint64 `json:"sequence" cbor:"3,keyasint,omitempty"`
	// Ready is false while the sender has not heard from enough peers to confirm the list
	// of others.
	Ready bool `json:"ready,omitempty" cbor:"4,keyasint,omitempty"`
	// State is the sender's state at the time of sending.
	State NodeState `json:"knowledge" cbor:"5,keyasint,omitempty"`
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	// From and Incarnation are the replying node's.
	From        string `json:"from" cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint,omitempty"`
	// Sequence is the probe's.
	Sequence uint64 `json:"sequence" cbor:"3,keyasint,omitempty"`
	// Ready is false while the replying node has not heard from enough peers to confirm
	// the list of others.
	Ready bool `json:"ready" cbor:"4,keyasint,omitempty"`
	// Fresh is true when the replying node became ready because all members of its group
	// had just started, and it has used no other list since.
	Fresh bool `json:"fresh,omitempty" cbor:"5,keyasint,omitempty"`
	// Asking is true while the replying node waits for replies from members of a former
	// group, or from the group of its current list when it has heard of a newer one. It
	// confirms nobody during that time, and it does not count towards "all others have
	// answered".
	Asking bool `json:"asking,omitempty" cbor:"7,keyasint,omitempty"`
	// State is the replying node's state after it has processed the probe's.
	State NodeState `json:"knowledge" cbor:"6,keyasint,omitempty"`
}

// NodeState is the state of a node that probes and replies exchange.
type NodeState struct {
	// ListRevision is the highest list revision that this incarnation has heard of.
	ListRevision int64 `json:"listRevision" cbor:"1,keyasint,omitempty"`
	// RulesRevision and RulesDigest name the rules in force.
	RulesRevision int64  `json:"rulesRevision" cbor:"2,keyasint,omitempty"`
	RulesDigest   uint64 `json:"rulesDigest" cbor:"3,keyasint,omitempty"`
	// Draining is true once the node no longer gives its own address to callers.
	Draining bool `json:"draining,omitempty" cbor:"4,keyasint,omitempty"`
	// ClockMillis is the sender's monotonic clock, from which others compute the
	// expiry of tickets that name it.
	ClockMillis int64 `json:"clockMillis" cbor:"5,keyasint,omitempty"`
	// Load is the number of running requests whose home is this node.
	Load int `json:"load" cbor:"6,keyasint,omitempty"`
	// HandedOverHomes lists the former homes whose records this node now serves.
	HandedOverHomes []HandedOverHome `json:"heirs,omitempty" cbor:"7,keyasint,omitempty"`
	// Endpoints has a digest of each endpoint the node owns.
	Endpoints []EndpointDigest `json:"endpoints,omitempty" cbor:"8,keyasint,omitempty"`
}

// HandedOverHome names a home that has left and handed its records over to the sender.
type HandedOverHome struct {
	Home        string `json:"home" cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint,omitempty"`
}

// EndpointDigest is an owner's summary of an endpoint, by which homes choose endpoints.
type EndpointDigest struct {
	// Name is the endpoint's.
	Name string `json:"name" cbor:"1,keyasint,omitempty"`
	// State is the endpoint's state as the owner sees it.
	State EndpointState `json:"state" cbor:"2,keyasint,omitempty"`
	// Window is how many requests the owner allows it now, InFlight how many it has.
	Window   int `json:"window" cbor:"3,keyasint,omitempty"`
	InFlight int `json:"inFlight" cbor:"4,keyasint,omitempty"`
	// Queued is how many requests wait for it at the owner.
	Queued int `json:"queued" cbor:"5,keyasint,omitempty"`
	// WaitMillis is the expected wait of a new request, in milliseconds.
	WaitMillis int `json:"waitMillis" cbor:"6,keyasint,omitempty"`
	// Model is the model it has loaded, empty if none or unknown.
	Model string `json:"model,omitempty" cbor:"7,keyasint,omitempty"`
	// Deputy is true when the sender acts in place of an owner that it can't reach.
	Deputy bool `json:"deputy,omitempty" cbor:"8,keyasint,omitempty"`
}

// EndpointState is the state of an endpoint as its owner sees it.
type EndpointState string

// The states of an endpoint.
const (
	// StateUnknown is treated as cold.
	StateUnknown EndpointState = "unknown"
	// StateCold gets a few requests at most.
	StateCold EndpointState = "cold"
	// StateWarming has a window that grows with completions.
	StateWarming EndpointState = "warming"
	// StateWarm gets its full window.
	StateWarm EndpointState = "warm"
	// StateLeaving finishes its requests and gets no new ones.
	StateLeaving EndpointState = "leaving"
	// StateOut belongs to a failure domain that operators have taken out of service.
	StateOut EndpointState = "out"
)
