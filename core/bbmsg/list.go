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

// MemberRole tells what a VM is for.
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
	// Role tells entry VMs from endpoint VMs.
	Role MemberRole `json:"role"`
	// Address is host:port for callers (entry) or for requests (endpoint).
	Address string `json:"address"`
	// PeerAddress is host:port for other entry VMs; empty for endpoints.
	PeerAddress string `json:"peerAddress,omitempty"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Region is the region of the domain.
	Region string `json:"region"`
	// Leaving is true once the VM is on its way out.
	Leaving bool `json:"leaving,omitempty"`
}

// Probes and their replies are the steady traffic between entry VMs. On the wire their
// fields have numbers in place of names; a number is never given to another field.

// Probe asks a peer to confirm the sender's list and carries what the sender knows.
// Probes and replies are never stored or sent again.
type Probe struct {
	// From is the sender's name and Incarnation a random number drawn at its start.
	From        string `json:"from" cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint,omitempty"`
	// Sequence matches the reply to the probe; it grows by one per probe and peer.
	Sequence uint64 `json:"sequence" cbor:"3,keyasint,omitempty"`
	// Ready is false while the sender has not heard enough to confirm others.
	Ready bool `json:"ready,omitempty" cbor:"4,keyasint,omitempty"`
	// Knowledge is the sender's state at the time of sending.
	State NodeState `json:"knowledge" cbor:"5,keyasint,omitempty"`
}

// ProbeReply answers a Probe.
type ProbeReply struct {
	// From and Incarnation are the replying node's.
	From        string `json:"from" cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint,omitempty"`
	// Sequence is the probe's.
	Sequence uint64 `json:"sequence" cbor:"3,keyasint,omitempty"`
	// Ready is false while the replying node has not heard enough to confirm others.
	Ready bool `json:"ready" cbor:"4,keyasint,omitempty"`
	// Fresh is true when the replying node got ready because its whole group had just
	// started, and has had no other list since.
	Fresh bool `json:"fresh,omitempty" cbor:"5,keyasint,omitempty"`
	// Asking is true while the replying node waits for members of a former group, or of
	// the group of the list it holds when it has heard of a newer one. It confirms nobody
	// then, and it does not count towards "all others have answered".
	Asking bool `json:"asking,omitempty" cbor:"7,keyasint,omitempty"`
	// Knowledge is the replying node's state after it took in the probe's.
	State NodeState `json:"knowledge" cbor:"6,keyasint,omitempty"`
}

// Knowledge is what nodes tell each other with probes and replies.
type NodeState struct {
	// ListRevision is the newest list revision ever seen in this incarnation.
	ListRevision int64 `json:"listRevision" cbor:"1,keyasint,omitempty"`
	// RulesRevision and RulesDigest name the rules in force.
	RulesRevision int64  `json:"rulesRevision" cbor:"2,keyasint,omitempty"`
	RulesDigest   uint64 `json:"rulesDigest" cbor:"3,keyasint,omitempty"`
	// Draining is true once the node hands out no more of its own address.
	Draining bool `json:"draining,omitempty" cbor:"4,keyasint,omitempty"`
	// ClockMillis is the sender's monotonic clock, from which others compute the
	// expiry of tickets that name it.
	ClockMillis int64 `json:"clockMillis" cbor:"5,keyasint,omitempty"`
	// Load is the number of requests at home here.
	Load int `json:"load" cbor:"6,keyasint,omitempty"`
	// Heirs lists the homes whose records this node answers for.
	HandedOverHomes []HandedOverHome `json:"heirs,omitempty" cbor:"7,keyasint,omitempty"`
	// Endpoints has a digest of each endpoint the node owns.
	Endpoints []EndpointDigest `json:"endpoints,omitempty" cbor:"8,keyasint,omitempty"`
}

// Heir names a home that left and gave its records to the node that tells of it.
type HandedOverHome struct {
	Home        string `json:"home" cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint,omitempty"`
}

// EndpointDigest is an owner's summary of an endpoint, for the choice at homes.
type EndpointDigest struct {
	// Name is the endpoint's.
	Name string `json:"name" cbor:"1,keyasint,omitempty"`
	// State is the owner's view.
	State EndpointState `json:"state" cbor:"2,keyasint,omitempty"`
	// Window is how many requests the owner lets it have now; InFlight how many it has.
	Window   int `json:"window" cbor:"3,keyasint,omitempty"`
	InFlight int `json:"inFlight" cbor:"4,keyasint,omitempty"`
	// Queued is how many requests wait for it at the owner.
	Queued int `json:"queued" cbor:"5,keyasint,omitempty"`
	// WaitMillis is the expected wait of a new request, in milliseconds.
	WaitMillis int `json:"waitMillis" cbor:"6,keyasint,omitempty"`
	// Model is the model it has loaded, empty if none or unknown.
	Model string `json:"model,omitempty" cbor:"7,keyasint,omitempty"`
	// Deputy is true when the sender acts for an owner that it has lost.
	Deputy bool `json:"deputy,omitempty" cbor:"8,keyasint,omitempty"`
}

// EndpointState is the owner's view of an endpoint.
type EndpointState string

// The states of an endpoint.
const (
	// StateUnknown is treated as cold.
	StateUnknown EndpointState = "unknown"
	// StateCold carries a few requests at most.
	StateCold EndpointState = "cold"
	// StateWarming has a window that grows with completions.
	StateWarming EndpointState = "warming"
	// StateWarm carries its full window.
	StateWarm EndpointState = "warm"
	// StateLeaving finishes its work and gets none.
	StateLeaving EndpointState = "leaving"
	// StateOut belongs to a failure domain that was taken out.
	StateOut EndpointState = "out"
)
