// Package bbconfig holds the configuration in force on one entry VM: the rules and the member list, as
// offered by the platform and by other entry VMs.
//
// The rules in force are the highest valid version known, ordered by revision and, where the platform
// published two texts under one revision, by digest. That order is total and all nodes validate alike, so
// nodes that know the same texts have the same one in force, whatever the order of arrival, and no node ever
// returns to a lower version. An invalid text is never applied in part.
//
// A node that starts while the platform is down knows no peer that it could fetch from. Peers that it has
// told that it has no rules push their rules and list to it.
//
// The platform is assumed to publish a single member list per revision. Where it does not, each node keeps
// the list that it adopted first and reports the conflict.
package bbconfig

import (
	"math"
	"slices"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// SourcePlatform names the platform as the source of an offer; other sources are
// names of entry VMs.
const SourcePlatform = "platform"

const (
	// maxRefused is the maximum number of refused versions that are kept.
	maxRefused = 16
	// pushIntervals is the minimum number of fetch intervals between two pushes to a peer.
	pushIntervals = 10
	// startPeers is how many peers a starting node must have a report from before it serves, if the list
	// has as many.
	startPeers = 3
	// never is later than any time.
	never = time.Duration(math.MaxInt64)
)

// Settings configures a Config.
type Settings struct {
	// Self is this node's name.
	Self string
	// FetchInterval is the minimum interval between two fetches from peers.
	FetchInterval time.Duration
	// StartWait is how long a starting node waits for peers before it serves with the platform's
	// configuration alone.
	StartWait time.Duration
}

// Rules is a valid version of the rules. It is immutable.
type Rules struct {
	// Revision is the platform's revision, at least 1.
	Revision int64
	// Digest is bbrule.Digest of Text.
	Digest uint64
	// Text is the rules as published.
	Text string
	// Index looks up the rules by name.
	Index *bbrule.Index
}

// Config holds the configuration in force and what peers reported of theirs. It is not safe for concurrent
// use.
type Config struct {
	settings Settings
	// rules is nil until a valid text was offered.
	rules *Rules
	// list has revision 0 until a list was adopted.
	list bbmsg.MemberList
	// refused has the invalid texts that would supersede the rules in force, lowest first.
	refused []bbmsg.RefusedRules
	// newestOffered is the highest revision that any source reported.
	newestOffered int64
	// platformRules and platformList are the highest revisions that the platform offered.
	platformRules int64
	platformList  int64
	// reportedRules and reportedList are the latest offers that were reported as stale, conflicting or
	// refused, so that the same offer isn't reported again.
	reportedRules report
	reportedList  report

	// peers has the peers of the latest Tick by name.
	peers map[string]*peer
	// lastFetchPeer is the peer of the latest fetch.
	lastFetchPeer string
	// nextFetch is the earliest time of the next fetch.
	nextFetch time.Duration
	// startUntil is when the wait for peers ends; it is set by the first Tick, which sets hasTicked.
	startUntil time.Duration
	hasTicked  bool
	ready      bool
	// outputs are returned by the next Tick.
	outputs []bbmsg.Output
}

// version identifies a rules text; versions are ordered.
type version struct {
	revision int64
	digest   uint64
}

// report identifies an offer that was reported by an event.
type report struct {
	version version
	source  string
}

// peer is the configuration state that another entry VM reported.
type peer struct {
	rules version
	// list is the newest list revision that it has reported or offered.
	list int64
	// hasReported is true once it reported or offered anything.
	hasReported bool
	// nextPush is the earliest time of the next push to it.
	nextPush time.Duration
}

// New returns a Config without rules and list.
func New(settings Settings) *Config {
	return &Config{
		settings: settings,
		peers:    map[string]*peer{},
	}
}

// Rules returns the rules in force, nil if there are none yet.
func (c *Config) Rules() *Rules { return c.rules }

// List returns the member list in use, with revision 0 if there is none yet. The caller must not change it.
func (c *Config) List() bbmsg.MemberList { return c.list }

// Ready returns true once the node may serve: it has rules and a list, and either enough peers have reported
// theirs and none has newer rules, or StartWait has passed. It is set by Tick and stays true for the life of
// the process.
func (c *Config) Ready() bool { return c.ready }

// RulesAfter returns the revision after which to watch the platform's rules. It skips refused revisions, so
// that they are not sent again.
func (c *Config) RulesAfter() int64 { return max(c.version().revision, c.platformRules) }

// ListAfter returns the revision after which to watch the platform's member list.
func (c *Config) ListAfter() int64 { return max(c.list.Revision, c.platformList) }

// State sets the fields about the rules in force in the state that is sent to peers.
func (c *Config) State(k bbmsg.NodeState) bbmsg.NodeState {
	v := c.version()
	k.RulesRevision = v.revision
	k.RulesDigest = v.digest
	return k
}

// Status returns the state of the rules in force and of those refused, for operators.
func (c *Config) Status() bbmsg.RulesStatus {
	v := c.version()
	return bbmsg.RulesStatus{
		Revision:      v.revision,
		Digest:        v.digest,
		NewestOffered: c.newestOffered,
		Refused:       slices.Clone(c.refused),
	}
}

// version returns the version in force, zero if there is none.
func (c *Config) version() version {
	if c.rules == nil {
		return version{}
	}
	return version{
		revision: c.rules.Revision,
		digest:   c.rules.Digest,
	}
}

// supersedes returns true if v has precedence over other.
func (v version) supersedes(other version) bool {
	if v.revision != other.revision {
		return v.revision > other.revision
	}
	return v.digest > other.digest
}

// event queues an event for the next Tick. The source is SourcePlatform or the name of a peer.
func (c *Config) event(number bbevent.Number, source, detail string) {
	e := &bbevent.Event{
		Number: number,
		Detail: detail,
	}
	if source != SourcePlatform {
		e.Peer = source
	}
	c.outputs = append(c.outputs, bbmsg.Output{Event: e})
}
