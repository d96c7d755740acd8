package bbmsg

import "bluebellhall/core/bbevent"

// Status is what an entry VM reports about itself to operators, as the answer of GET /v1/status.
type Status struct {
	// Node is the entry VM's name and Incarnation the number drawn at its start.
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Domain is its failure domain, Region that domain's region.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Ready is true once it answers callers.
	Ready bool `json:"ready"`
	// Draining is true once it no longer gives its own address to callers.
	Draining bool `json:"draining,omitempty"`
	// Confirmed is true while it may use cold endpoints that it owns.
	Confirmed bool `json:"confirmed"`
	// UptimeMillis is the time since the process started.
	UptimeMillis int64 `json:"uptimeMillis"`
	// Rules holds the revision of the rules in force and the revisions that were refused.
	Rules RulesStatus `json:"rules"`
	// ListRevision is the revision of the member list in use, ListSeen the highest that
	// any peer or the platform has named.
	ListRevision int64 `json:"listRevision"`
	ListSeen     int64 `json:"listSeen"`
	// Platform is the state of the configuration service as this node sees it.
	Platform PlatformStatus `json:"platform"`
	// DomainsOut lists the failure domains that the rules take out, sorted.
	DomainsOut []string `json:"domainsOut,omitempty"`
	// HeldBack lists the endpoints owned by this node that get less traffic than the
	// rules allow, sorted by name.
	HeldBack []HeldBack `json:"heldBack,omitempty"`
	// Endpoints has a digest of each endpoint that this node owns, sorted by name.
	Endpoints []EndpointDigest `json:"endpoints,omitempty"`
	// Peers lists the other entry VMs, sorted by name.
	Peers []PeerStatus `json:"peers,omitempty"`
	// Counts holds the sizes of the tables.
	Counts StatusCounts `json:"counts"`
}

// RulesStatus describes the rules in force on a node and the revisions that it refused.
type RulesStatus struct {
	// Revision is 0 while none is in force.
	Revision int64 `json:"revision"`
	// Digest is the hash of the text in force.
	Digest uint64 `json:"digest"`
	// NewestOffered is the highest revision that any source has named.
	NewestOffered int64 `json:"newestOffered"`
	// Refused lists the latest texts refused, newest last.
	Refused []RefusedRules `json:"refused,omitempty"`
}

// RefusedRules is a rules text that was refused as a whole.
type RefusedRules struct {
	Revision int64  `json:"revision"`
	Digest   uint64 `json:"digest"`
	// Source is the word platform or the name of a peer.
	Source string `json:"source"`
	// Findings is the number of findings, First the text of the first one.
	Findings int    `json:"findings"`
	First    string `json:"first"`
}

// PlatformStatus is the reachability of the configuration service from a node.
type PlatformStatus struct {
	Up bool `json:"up"`
	// SinceMillis is how long Up has had its value.
	SinceMillis int64 `json:"sinceMillis"`
}

// HeldBack is an endpoint that gets less traffic than the rules allow.
type HeldBack struct {
	Endpoint string `json:"endpoint"`
	// Reason is the cause in camel case: unconfirmed, coldWait, suspect or another.
	Reason Reason `json:"reason"`
}

// PeerStatus is a node's view of another entry VM.
type PeerStatus struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Alive       bool   `json:"alive"`
	// HeardMillis is the time since its last probe or probe reply, -1 if there was none.
	HeardMillis int64 `json:"heardMillis"`
	// RulesRevision and ListRevision are those of its last probe or probe reply.
	RulesRevision int64 `json:"rulesRevision"`
	ListRevision  int64 `json:"listRevision"`
	Draining      bool  `json:"draining,omitempty"`
}

// StatusCounts holds the sizes of a node's tables.
type StatusCounts struct {
	// Requests counts the running requests whose home is this node, Records all requests
	// that it holds a record of.
	Requests int `json:"requests"`
	Records  int `json:"records"`
	// Attempts counts the attempts in flight at endpoints owned here, Queued those that
	// wait in the owner's queue.
	Attempts int `json:"attempts"`
	Queued   int `json:"queued"`
	// Events counts the entries of the timeline held in memory.
	Events int `json:"events"`
}

// EventPage is the answer of GET /v1/events.
type EventPage struct {
	// Events is sorted by stamp; all are after the stamp asked for.
	Events []bbevent.Event `json:"events"`
	// Lost counts earlier entries that the node has dropped.
	Lost uint64 `json:"lost,omitempty"`
}
