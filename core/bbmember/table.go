// Package bbmember keeps what an entry VM knows of the other entry VMs: the newest
// member list, the group that confirms it, the owner of each endpoint, and whether
// this node may act as an owner towards cold endpoints.
//
// A node may do so while it is ready and while, in the newest list revision that it
// has seen, enough of its group and of its former groups have confirmed that revision
// without a break for longer than the settling time. A confirmation runs from the time
// its probe was sent, by this node's own monotonic clock; clocks are never compared.
//
// A group with one member confirms itself. That is exclusive only while the platform's
// list never names two sole members of a region to nodes that can't hear each other.
package bbmember

import (
	"slices"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgroup"
	"bluebellhall/core/bbmsg"
)

const (
	// defaultFormerFactor times SettleTime is the default of FormerTime.
	defaultFormerFactor = 5
	// maxFormer bounds the number of former lists that are remembered. When more
	// change within FormerTime, cold endpoints wait until the oldest has run out.
	maxFormer = 8
	// smallGroup is the size up to which a short quiet time suffices, and quietFactor
	// times ConfirmTime is the quiet time above it.
	smallGroup  = 3
	quietFactor = 3
	// maxUnready bounds the peers that are remembered as just started.
	maxUnready = 64
	// maxOwnerCache bounds the number of cached owners; the cache is cleared when full.
	maxOwnerCache = 1 << 14
)

// Settings configures a Table.
type Settings struct {
	// Self is this node's own entry; Name, Domain and Region are set.
	Self bbmsg.Member
	// Incarnation is a random number drawn at the start of the process, not 0.
	Incarnation uint64
	// ProbeInterval is the time between probes to a member of the group.
	ProbeInterval time.Duration
	// ConfirmTime is how long a confirmation lasts from the sending of its probe.
	// It exceeds ProbeInterval and the round trip to any member of the group.
	ConfirmTime time.Duration
	// SettleTime is how long confirmations must last without a break before cold
	// endpoints may be used. It exceeds ConfirmTime.
	SettleTime time.Duration
	// PeerTimeout is the silence after which a peer counts as lost.
	PeerTimeout time.Duration
	// PauseGap is the time between ticks from which the process counts as paused. It
	// exceeds ProbeInterval.
	PauseGap time.Duration
	// FormerTime is the time after which an entry VM that the list no longer names
	// counts as stopped; 0 means five times SettleTime.
	FormerTime time.Duration
	// QuietTime is how long a node that has started confirms nobody; 0 means a quarter
	// more than ConfirmTime in a group of up to three, else three times ConfirmTime.
	QuietTime time.Duration
	// PastTime is how long earlier lists are remembered for OwnedSince.
	HistoryRetention time.Duration
	// Knowledge returns what probes tell of this node; ListRevision is filled in by
	// the Table. It may be nil.
	Knowledge func() bbmsg.NodeState
}

// Peer is what is known of another entry VM.
type Peer struct {
	// Member is its entry in the newest list that named it.
	Member bbmsg.Member
	// Listed is false once the newest list names it no more; it is still probed while
	// it belongs to a remembered former group.
	Listed bool
	// InGroup is true for members of this node's group and former groups.
	InGroup bool
	// Alive is false once it has been silent for PeerTimeout. Peers that are probed
	// seldom stay alive until they are probed without an answer for that long.
	Alive bool
	// Heard is true once a probe or reply of it has arrived.
	Heard bool
	// LastHeard is when its last probe or reply arrived.
	LastHeard time.Duration
	// Incarnation is the newest that was heard, 0 if none.
	Incarnation uint64
	// Knowledge is the newest that was heard.
	Knowledge bbmsg.NodeState

	// answered is the list revision in its last answer to a probe of this incarnation
	// of ours, 0 if none; ready, fresh and asking are what it said of itself then.
	answeredRevision int64
	ready            bool
	fresh            bool
	asking           bool
	// confirmedUntil is when its confirmation of the newest revision ends, 0 if none,
	// and listUntil when its word that it has that revision ends.
	confirmedUntil time.Duration
	listUntil      time.Duration
	// nextProbe is when the next probe is due.
	nextProbe time.Duration
	// firstUnanswered is when the oldest probe without any later sign of life was sent.
	firstUnanswered time.Duration
	awaitingReply   bool
	// sent holds the last probes that may be answered, newest first.
	sent [sentProbes]sentProbe
}

// sentProbes is how many unanswered probes to a peer are remembered.
const sentProbes = 4

// sentProbe is a probe that may be answered. The zero value is unused.
type sentProbe struct {
	sequence uint64
	at       time.Duration
}

// former is a list that was in use until a newer one was adopted.
type formerLayout struct {
	layout *bbgroup.Layout
	// until is when its owners of other groups count as stopped.
	until time.Duration
}

// Table holds the entry VMs, this node's confirmations and the owners of endpoints.
// It is not safe for concurrent use.
type Table struct {
	settings Settings
	// Peers holds the other entry VMs by name. Others only read it.
	Peers map[string]*Peer
	// order holds the names in Peers, sorted, and near the peers that are probed each
	// interval.
	peerNames     []string
	frequentPeers []*Peer
	// lookAt is when a probe is due or a peer may be lost.
	nextCheck time.Duration
	// current is nil before the first list.
	current       *bbgroup.Layout
	list          bbmsg.MemberList
	formerLayouts []formerLayout
	// groups holds the former groups that must be asked.
	formerGroups []formerGroup
	history      listHistory
	// heldUntil is set when formers overflowed; nothing is confirmed before it.
	holdUntil time.Duration
	// seen is the newest list revision ever seen, which may exceed the one held.
	seen int64
	// ready is true once this node may confirm others.
	ready bool
	// fresh is true once the whole group was seen to have just started, unready holds
	// the peers that this process has seen so, and adopted counts the lists.
	fresh        bool
	unready      map[string]bool
	adoptedLists int
	// elder is true once a ready node that the list does not name has sent a probe: it
	// may be a former owner.
	unlistedReadyPeer bool
	// covered is true while enough members confirm; coveredSince is when that began
	// and coveredUntil when it ends unless they confirm again.
	hasQuorum   bool
	quorumSince time.Duration
	quorumUntil time.Duration
	// sequence is that of the last probe. It starts at the incarnation, so that no
	// answer to an earlier process of this name matches a probe.
	sequence uint64
	// told is the state last told by an event.
	reportedConfirmed bool
	// lastTick is the time of the last call; ticked is false before the first.
	lastTick time.Duration
	ticked   bool
	// started is the time of the first call.
	started time.Duration
	// nextOutside is when the next probe outside the group is due and outside the
	// position in order where the rotation stands.
	nextRotationProbe time.Duration
	rotationIndex     int
	// owners caches owners by endpoint and domain for the current list.
	owners map[ownerKey]string
	// pending holds events until the next Tick.
	pending []bbmsg.Output
}

type ownerKey struct {
	endpoint string
	domain   string
}

// New returns a table without a list.
func New(settings Settings) *Table {
	if settings.FormerTime == 0 {
		settings.FormerTime = defaultFormerFactor * settings.SettleTime
	}
	return &Table{
		settings: settings,
		sequence: settings.Incarnation,
		Peers:    map[string]*Peer{},
		owners:   map[ownerKey]string{},
		unready:  map[string]bool{},
		history: listHistory{
			knownFrom: maxTime,
		},
	}
}

// List returns the newest list that is held. The caller does not change it.
func (t *Table) List() bbmsg.MemberList { return t.list }

// Revision returns the revision of the list that is held, 0 before the first.
func (t *Table) Revision() int64 { return t.list.Revision }

// Seen returns the newest list revision ever seen. The list itself must be fetched
// while it exceeds Revision.
func (t *Table) Seen() int64 { return t.seen }

// Adopt takes a list in and returns true when it is newer than the one held. All
// confirmations start anew, but for those that named its revision before it came.
func (t *Table) Adopt(now time.Duration, list bbmsg.MemberList) bool {
	t.detectPause(now)
	if list.Revision <= t.list.Revision {
		return false
	}
	t.rememberLayout(now)
	t.recordHistory(now, list)
	t.adoptedLists++
	t.list = list
	t.current = bbgroup.New(list)
	t.Observe(list.Revision)
	clear(t.owners)
	t.refreshPeers(now)
	t.updateReady(now)
	t.updateQuorum(now)
	t.event(bbevent.ListAdopted, "", revisionDetail(list.Revision))
	return true
}

// remember keeps the current layout as a former one. A process that starts has none:
// when it is alone in its group, nobody could tell it of a former owner, so that it
// waits as long as a former group would be asked.
func (t *Table) rememberLayout(now time.Duration) {
	until := now + t.settings.FormerTime
	if t.current == nil {
		t.holdUntil = until
		return
	}
	t.evictFormerLayouts(now)
	t.rememberGroup(until)
	t.formerLayouts = append(t.formerLayouts, formerLayout{layout: t.current, until: until})
	if len(t.formerLayouts) > maxFormer {
		t.holdUntil = max(t.holdUntil, t.formerLayouts[0].until)
		t.formerLayouts = t.formerLayouts[1:]
	}
}

// dropFormers forgets former lists whose time has run out.
func (t *Table) evictFormerLayouts(now time.Duration) {
	n := 0
	for n < len(t.formerLayouts) && t.formerLayouts[n].until <= now {
		n++
	}
	t.formerLayouts = t.formerLayouts[n:]
	if t.current != nil && t.evictFormerGroups(now) {
		t.refreshPeers(now)
	}
}

// refreshPeers makes Peers match the current list and the former groups.
func (t *Table) refreshPeers(now time.Duration) {
	wanted := map[string]bbmsg.Member{}
	for _, f := range t.formerGroups {
		for _, m := range f.members {
			wanted[m.Name] = m
		}
	}
	inGroup := map[string]bool{}
	for name := range wanted {
		inGroup[name] = true
	}
	for _, name := range t.current.GroupNames(t.settings.Self.Name) {
		inGroup[name] = true
	}
	for name, e := range t.current.Entries {
		wanted[name] = e.Member
	}
	delete(wanted, t.settings.Self.Name)
	for name := range t.Peers {
		if _, ok := wanted[name]; !ok {
			delete(t.Peers, name)
		}
	}
	t.peerNames = t.peerNames[:0]
	for name := range wanted {
		t.peerNames = append(t.peerNames, name)
	}
	slices.Sort(t.peerNames)
	for _, name := range t.peerNames {
		p := t.Peers[name]
		if p == nil {
			p = &Peer{Alive: true, LastHeard: now, nextProbe: now}
			t.Peers[name] = p
		}
		p.Member = wanted[name]
		p.InGroup = inGroup[name]
		_, p.Listed = t.current.Entries[name]
	}
	t.frequentPeers = t.frequentPeers[:0]
	for _, name := range t.peerNames {
		if p := t.Peers[name]; t.probedOften(p) {
			t.frequentPeers = append(t.frequentPeers, p)
		}
	}
	t.nextCheck = now
}

// Group returns the names of this node's group, sorted; nil when it has none. A node
// that the list does not name has the group of its region, if there is only one.
func (t *Table) Group() []string {
	if t.current == nil {
		return nil
	}
	if names := t.current.GroupNames(t.settings.Self.Name); names != nil {
		return names
	}
	return t.current.OnlyGroup(t.settings.Self.Region)
}

// Owner returns the name of the entry VM that owns an endpoint by the list held, or
// "" when there is none. domain is used for endpoints that the list does not name.
func (t *Table) Owner(endpoint, domain string) string {
	if t.current == nil {
		return ""
	}
	key := ownerKey{endpoint: endpoint, domain: domain}
	if owner, ok := t.owners[key]; ok {
		return owner
	}
	if len(t.owners) >= maxOwnerCache {
		clear(t.owners)
	}
	owner, _ := t.current.Owner(endpoint, domain)
	t.owners[key] = owner
	return owner
}

// Observe takes in the number of a list that exists. A newer one voids all
// confirmations.
func (t *Table) Observe(revision int64) {
	if revision <= t.seen {
		return
	}
	t.seen = revision
	t.clearConfirmations()
}

// event queues an event for the next Tick.
func (t *Table) event(number bbevent.Number, peer, detail string) {
	e := &bbevent.Event{Number: number, Node: t.settings.Self.Name, Peer: peer, Detail: detail}
	t.pending = append(t.pending, bbmsg.Output{Event: e})
}
