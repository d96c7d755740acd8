// Package bbmember maintains what an entry VM knows of the other entry VMs: the newest
// member list, the group that confirms it, the owner of each endpoint, and whether this
// node may act as the owner of cold endpoints.
//
// A node may do so while it is ready and while enough members of its group and of its
// former groups have confirmed the newest list revision that it has seen, without
// interruption for longer than the settling time. A confirmation is valid from the time its
// probe was sent, by this node's own monotonic clock; clocks of different nodes are never
// compared.
//
// The only member of a group confirms itself. Such a node owns its endpoints exclusively only
// as long as the platform never publishes lists that name two different sole members of a
// region to nodes that can't reach each other.
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
	// maxFormer bounds the number of former lists, and of former groups, in the table. When
	// the list changes more often within FormerTime, cold endpoints are held back until the
	// oldest has expired.
	maxFormer = 8
	// smallGroup is the group size up to which a short quiet time suffices. Above it the quiet
	// time is quietFactor times ConfirmTime.
	smallGroup  = 3
	quietFactor = 3
	// maxUnready bounds the number of peers recorded as seen not ready.
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
	// ConfirmTime is how long a confirmation is valid after its probe was sent. It exceeds
	// ProbeInterval and the round-trip time to any member of the group.
	ConfirmTime time.Duration
	// SettleTime is how long the quorum must last without interruption before cold endpoints
	// may be used. It exceeds ConfirmTime.
	SettleTime time.Duration
	// PeerTimeout is the silence after which a peer counts as lost.
	PeerTimeout time.Duration
	// PauseGap is the time between two calls above which the process counts as suspended. It
	// exceeds ProbeInterval.
	PauseGap time.Duration
	// FormerTime is the time after which an entry VM that the list no longer names
	// counts as stopped; 0 means five times SettleTime.
	FormerTime time.Duration
	// QuietTime is how long a node confirms the list to no other node after its start; 0 means
	// 1.25 times ConfirmTime in a group of up to three, else three times ConfirmTime.
	QuietTime time.Duration
	// HistoryRetention is how long earlier lists are kept for OwnedSince.
	HistoryRetention time.Duration
	// State returns the state of this node that probes carry; the Table fills in ListRevision.
	// It may be nil.
	State func() bbmsg.NodeState
}

// Peer is what is known of another entry VM.
type Peer struct {
	// Member is its entry in the newest list that named it.
	Member bbmsg.Member
	// Listed is false once the newest list no longer names it. It is still probed while it
	// belongs to a former group in the table.
	Listed bool
	// InGroup is true for members of this node's group and former groups.
	InGroup bool
	// Alive is false once it has been silent for PeerTimeout. Peers that are probed rarely
	// stay alive until a probe to them has gone unanswered for that long.
	Alive bool
	// Heard is true once a probe or reply from it has arrived.
	Heard bool
	// LastHeard is when its last probe or reply arrived.
	LastHeard time.Duration
	// Incarnation is the latest one received, 0 if none.
	Incarnation uint64
	// Knowledge is the latest state received from it.
	State bbmsg.NodeState

	// answeredRevision is the list revision in its last reply to a probe of this process, 0 if
	// none; ready, fresh and asking are the states in that reply.
	answeredRevision int64
	ready            bool
	fresh            bool
	asking           bool
	// confirmedUntil is when its confirmation of the newest revision expires, 0 if none.
	// listUntil is when its statement that it has that revision expires.
	confirmedUntil time.Duration
	listUntil      time.Duration
	// nextProbe is when the next probe is due.
	nextProbe time.Duration
	// firstUnanswered is when the oldest probe was sent since its last probe or reply arrived.
	firstUnanswered time.Duration
	awaitingReply   bool
	// sent holds the last probes that may be answered, newest first.
	sent [sentProbes]sentProbe
}

// sentProbes is the number of unanswered probes kept for each peer.
const sentProbes = 4

// sentProbe is a probe that may still be answered. The zero value is an unused slot.
type sentProbe struct {
	sequence uint64
	at       time.Duration
}

// formerLayout is the layout of a list that was in use until a newer one was adopted.
type formerLayout struct {
	layout *bbgroup.Layout
	// until is when owners of other groups under this layout count as stopped.
	until time.Duration
}

// Table holds the entry VMs, this node's confirmations and the owners of endpoints.
// It is not safe for concurrent use.
type Table struct {
	settings Settings
	// Peers holds the other entry VMs by name. Other packages only read it.
	Peers map[string]*Peer
	// peerNames holds the names in Peers, sorted, and frequentPeers the peers that are probed
	// each interval.
	peerNames     []string
	frequentPeers []*Peer
	// nextCheck is when a probe is due or a peer may count as lost.
	nextCheck time.Duration
	// current is nil before the first list.
	current       *bbgroup.Layout
	list          bbmsg.MemberList
	formerLayouts []formerLayout
	// formerGroups holds the former groups whose members must have the newest list.
	formerGroups []formerGroup
	history      listHistory
	// holdUntil is when cold endpoints are no longer held back after former lists or groups
	// were dropped early, or after the start of the process.
	holdUntil time.Duration
	// seen is the newest list revision ever seen, which may be newer than list.
	seen int64
	// ready is true once this node may confirm the list to others.
	ready bool
	// groupStartedFresh is true once the whole group was found to have just started. unready
	// holds the peers that this process has seen not ready. adoptedLists counts the lists adopted.
	groupStartedFresh bool
	unready           map[string]bool
	adoptedLists      int
	// unlistedReadyPeer is true once a ready node that the list does not name has sent a
	// probe: it may be a former owner.
	unlistedReadyPeer bool
	// hasQuorum is true while enough members confirm. quorumSince is when that began, and
	// quorumUntil when it ends unless confirmations are renewed.
	hasQuorum   bool
	quorumSince time.Duration
	quorumUntil time.Duration
	// sequence is that of the last probe. It starts at the incarnation, so that no reply meant
	// for an earlier process of this name matches a probe.
	sequence uint64
	// reportedConfirmed is the result of Confirmed in the last event about it.
	reportedConfirmed bool
	// lastTick is the time of the last call; ticked is false before the first.
	lastTick time.Duration
	ticked   bool
	// started is the time of the first call.
	started time.Duration
	// nextRotationProbe is when the next probe to a peer outside the group is due, and
	// rotationIndex the position of that round robin in peerNames.
	nextRotationProbe time.Duration
	rotationIndex     int
	// owners caches owners by endpoint and domain for the current list.
	owners map[ownerKey]string
	// pending holds events until the next Tick or HandleReply.
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

// List returns the current list. The caller must not change it.
func (t *Table) List() bbmsg.MemberList { return t.list }

// Revision returns the revision of the current list, 0 before the first.
func (t *Table) Revision() int64 { return t.list.Revision }

// Seen returns the newest list revision ever seen. While it exceeds Revision, that list has
// still to be fetched.
func (t *Table) Seen() int64 { return t.seen }

// Adopt makes a list the current one if it is newer, and returns whether it did. It voids all
// confirmations, except those of the same revision that came in before the list itself.
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

// rememberLayout records the current layout as a former one. A process that has just started
// has none. If it is alone in its group, no other node could tell it of a former owner, so it
// holds back cold endpoints for FormerTime.
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

// evictFormerLayouts drops former layouts and groups that have expired.
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

// refreshPeers rebuilds Peers from the current list and the former groups.
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

// Group returns the names of this node's group, sorted; nil when it has none. A node that the
// list does not name is assigned the group of its region if the region has only one.
func (t *Table) Group() []string {
	if t.current == nil {
		return nil
	}
	if names := t.current.GroupNames(t.settings.Self.Name); names != nil {
		return names
	}
	return t.current.OnlyGroup(t.settings.Self.Region)
}

// Owner returns the name of the entry VM that owns an endpoint by the current list, or "" when
// there is none. domain is the failure domain of endpoints that the list does not name.
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

// Observe records that a list revision exists. A newer one than seen before voids all
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
