// Package bbconfig keeps the configuration in force on one entry VM: the rules and
// the member list, as offered by the platform and by other entry VMs.
//
// The rules in force are the highest valid text known, ordered by revision and,
// where the platform published two texts under one revision, by digest. That order
// is total and every node validates alike, so all nodes that know the same texts
// have the same one in force, whatever the order of arrival, and no node ever goes
// back. A node never takes an invalid text in part.
//
// A node that starts while the platform is down knows no peer that it could ask.
// Peers that hear from it that it has no rules send it theirs and their list unasked.
//
// For one revision the platform is assumed to publish one member list. Where it
// does not, each node keeps the list that it adopted first and reports the other.
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
	// maxRefused is how many refused texts are remembered.
	maxRefused = 16
	// pushIntervals is how many fetch intervals lie between two pushes to a peer.
	pushIntervals = 10
	// startPeers is how many peers a starting node hears, if the list names so many,
	// before it serves.
	startPeers = 3
	// never is later than every time.
	never = time.Duration(math.MaxInt64)
)

// Settings configures a Config.
type Settings struct {
	// Self is this node's name.
	Self string
	// FetchInterval is the least time between two questions to peers.
	FetchInterval time.Duration
	// StartWait is how long a starting node waits for peers before it serves with
	// what the platform gave alone.
	StartWait time.Duration
}

// Rules is a valid revision of the rules. It is never changed.
type Rules struct {
	// Revision is the platform's, at least 1.
	Revision int64
	// Digest is bbrule.Digest of Text.
	Digest uint64
	// Text is the rules as published.
	Text string
	// Index finds the rules by name.
	Index *bbrule.Index
}

// Config holds the configuration in force and what peers said of theirs. It is not
// safe for concurrent use.
type Config struct {
	settings Settings
	// rules is nil until a valid text was offered.
	rules *Rules
	// list has revision 0 until one was offered.
	list bbmsg.MemberList
	// refused holds texts that would be in force if they were valid, lowest first.
	refused []bbmsg.RefusedRules
	// newestOffered is the highest revision that any source named.
	newestOffered int64
	// platformRules and platformList are the highest revisions that the platform offered.
	platformRules int64
	platformList  int64
	// reportedRules and reportedList are the latest reports of useless offers, so
	// that the same offer is reported once.
	reportedRules report
	reportedList  report

	// peers holds the entry VMs of the latest Tick by name.
	peers map[string]*peer
	// lastAsked is the peer that the latest question went to.
	lastAsked string
	// nextFetch is the earliest time of the next question.
	nextFetch time.Duration
	// startUntil ends the wait for peers; hasTicked is false until it is set.
	startUntil time.Duration
	hasTicked  bool
	ready      bool
	// outputs waits for the next Tick.
	outputs []bbmsg.Output
}

// version orders rules texts.
type version struct {
	revision int64
	digest   uint64
}

// report names an offer that was reported.
type report struct {
	version version
	source  string
}

// peer is what another entry VM said of its configuration.
type peer struct {
	rules version
	// list is the newest list revision that it has seen.
	list int64
	// isHeard is true once it said anything.
	hasReported bool
	// nextPush is the earliest time to send it the configuration unasked.
	nextPush time.Duration
}

// New returns a configuration without rules and list.
func New(settings Settings) *Config {
	return &Config{
		settings: settings,
		peers:    map[string]*peer{},
	}
}

// Rules returns the rules in force, nil if there are none yet.
func (c *Config) Rules() *Rules { return c.rules }

// List returns the member list in use, with revision 0 if there is none yet. The
// caller does not change it.
func (c *Config) List() bbmsg.MemberList { return c.list }

// Ready returns true once the node may serve: it has rules and a list, and either
// the first peers have told of theirs and none has newer rules, or StartWait has
// passed. It is set by Tick and stays true for this incarnation.
func (c *Config) Ready() bool { return c.ready }

// RulesAfter returns the revision to watch the platform's rules from. A refused
// revision is not asked for again.
func (c *Config) RulesAfter() int64 { return max(c.version().revision, c.platformRules) }

// ListAfter returns the revision to watch the platform's member list from.
func (c *Config) ListAfter() int64 { return max(c.list.Revision, c.platformList) }

// Knowledge fills in what peers are told of the rules in force.
func (c *Config) State(k bbmsg.NodeState) bbmsg.NodeState {
	v := c.version()
	k.RulesRevision = v.revision
	k.RulesDigest = v.digest
	return k
}

// Status tells operators of the rules in force and of those refused.
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

// isOver returns true when v has precedence over other.
func (v version) supersedes(other version) bool {
	if v.revision != other.revision {
		return v.revision > other.revision
	}
	return v.digest > other.digest
}

// event queues an event for the next Tick. source is SourcePlatform or a peer.
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
