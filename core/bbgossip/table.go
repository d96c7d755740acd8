// Package bbgossip maintains the membership table of entry VMs that discover each other
// through a few seed addresses and gossip: which ones run, and which ones this VM reaches.
//
// In a large fleet a VM exchanges states mainly with the hub of its failure domain, the VM that
// reports to it which others run, and now and then with a random VM.
package bbgossip

import (
	"sort"
	"strconv"
	"time"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbrevision"
)

const (
	// presenceTTL is how long a VM counts as running after it was last heard itself: two call
	// intervals of a large fleet, with some slack.
	presenceTTL = 2500 * time.Millisecond
	// HubSeenTTL is how long a VM counts as running after a hub last reported it as running. A
	// hub reports at once when a VM has stopped; the time bridges the loss of the hub itself,
	// until the next one is found and reports the VM.
	HubSeenTTL = 4 * time.Second
	// hintTTL is how long a hint keeps a VM reachable: the time between two exchanges with a
	// hub, plus the time of one that fails.
	hintTTL = 1900 * time.Millisecond
	// reportTTL is how long a hub's report keeps a VM reachable: a few exchanges of hubs.
	reportTTL = 1500 * time.Millisecond
	// failureTTL is how long a VM that did not answer a call counts as unreachable.
	failureTTL = 3 * time.Second
	// forgetAfter is how long a silent VM stays in the table and is still called.
	forgetAfter = 60 * time.Second
	// maxMembers bounds the number of other VMs in the table.
	maxMembers = 2048
	// maxRetired bounds the number of former processes remembered for one VM.
	maxRetired = 8
)

// Member is the state that a VM gossips of itself. The fields are encoded under numbers, since
// VMs exchange them several times a second.
type Member struct {
	// Name is the VM's name; it persists across restarts.
	Name string `cbor:"1,keyasint"`
	// Boot is the time at which the process started, in Unix milliseconds. It identifies the
	// process and orders processes by age. It may decrease when the system clock is corrected.
	Boot int64 `cbor:"2,keyasint"`
	// Beat is a heartbeat counter that grows while the process runs.
	Beat uint64 `cbor:"3,keyasint"`
	// Peer is the address for calls between VMs. Peer and the fields up to Weight are constant
	// while the process runs; they are omitted when the receiver has them already.
	Peer string `cbor:"4,keyasint,omitempty"`
	// Front is the address for callers from outside the fleet.
	Front  string `cbor:"5,keyasint,omitempty"`
	Zone   string `cbor:"6,keyasint,omitempty"`
	Region string `cbor:"7,keyasint,omitempty"`
	// Weight is the VM's capacity in cores.
	Weight float64 `cbor:"8,keyasint,omitempty"`
	// Ready is true once the VM has a catalog and knows endpoints.
	Ready bool `cbor:"9,keyasint,omitempty"`
	// Leaving is true once the VM accepts no new callers and coordinates nothing.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// CatalogVersion is the version of the configuration that the VM uses.
	CatalogVersion uint64 `cbor:"11,keyasint,omitempty"`
	// EndpointRevision is the platform's revision of the endpoint table that the VM has. Builds without
	// eras send its number as field 12.
	EndpointRevision bbrevision.Revision `cbor:"13,keyasint,omitempty"`
}

// Brief returns the member without the fields that are constant while its process runs.
func (m Member) Brief() Member {
	m.Peer, m.Front, m.Zone, m.Region, m.Weight = "", "", "", "", 0
	return m
}

// Process returns a number that identifies the member's process among those of a fleet.
func (m Member) Process() uint64 {
	return bbhash.Name(string(strconv.AppendInt([]byte(m.Name+"/"), m.Boot, 36)))
}

// withStaticFields returns the member with the fields that Brief omits taken from an earlier
// state of the same process.
func (m Member) withStaticFields(former Member) Member {
	m.Peer, m.Front, m.Zone, m.Region, m.Weight = former.Peer, former.Front, former.Zone, former.Region, former.Weight
	return m
}

// hash identifies a process in one of the states that concern all VMs: ready and leaving.
func (m Member) hash() uint64 {
	state := strconv.AppendInt([]byte(m.Name+"/"), m.Boot, 36)
	state = strconv.AppendBool(state, m.Ready)
	state = strconv.AppendBool(state, m.Leaving)
	return bbhash.Name(string(state))
}

// entry is a member together with when and how this VM learned of it.
type entry struct {
	Member
	// state is the hash of the member.
	state uint64
	// heardAt is when the member itself was last heard, or a newer beat arrived through others.
	heardAt time.Duration
	// hubSeenAt is when a hub last reported the member as running, 0 after a report without it.
	hubSeenAt time.Duration
	// reportedAt is when a hub last listed the member as heard by itself, and hintedAt when a
	// hub last listed it as known only from other VMs. Neither counts as a sign of life, and
	// hints aren't passed on: VMs would otherwise keep a dead member alive by repeating each
	// other.
	reportedAt, hintedAt time.Duration
	// seenAt is the later of heardAt and the last report of a hub that set hubSeenAt.
	seenAt time.Duration
	// answeredAt and failedAt are when a call of this VM to it was last answered and last failed.
	answeredAt, failedAt time.Duration
	// refused is set when a call showed that nothing listens at the member's address.
	refused bool
	// retired are the boots of former processes, which other VMs may still gossip.
	retired []int64
}

// Table holds the state of this VM and of the others.
type Table struct {
	self    Member
	entries map[string]*entry
	// states maps the state of each entry to the member's name.
	states map[uint64]string
	// version counts the changes of member states.
	version uint64
}

// NewTable returns a table that contains only its own VM.
func NewTable(self Member) *Table {
	return &Table{
		self:    self,
		entries: make(map[string]*entry),
		states:  make(map[uint64]string),
	}
}

// Self returns the state that this VM gossips of itself.
func (t *Table) Self() Member {
	return t.self
}

// Update changes the state that this VM gossips of itself and increments its beat.
func (t *Table) Update(change func(m *Member)) {
	before := t.self
	change(&t.self)
	t.self.Beat++
	if before.Ready != t.self.Ready || before.Leaving != t.self.Leaving {
		t.version++
	}
}

// RecordContact records a state received from the member itself, in a call or in a reply. A
// new boot retires the former one. It returns false when the state is brief and the member's
// process is unknown, so that its constant fields are missing.
func (t *Table) RecordContact(now time.Duration, m Member) bool {
	if m.Name == t.self.Name || m.Name == "" {
		return true
	}
	e := t.getOrCreate(m.Name)
	if e == nil {
		return true
	}
	if m.Peer == "" {
		if e.Boot != m.Boot {
			return false
		}
		m = m.withStaticFields(e.Member)
	}
	if e.Boot != m.Boot && e.Boot != 0 {
		e.retire(e.Boot)
	}
	if e.Boot != m.Boot || m.Beat >= e.Beat {
		t.set(e, m)
	}
	e.heardAt, e.seenAt = now, now
	e.refused = false
	return true
}

// set replaces the state of a member.
func (t *Table) set(e *entry, m Member) {
	e.Member = m
	state := m.hash()
	if state == e.state {
		return
	}
	delete(t.states, e.state)
	e.state = state
	t.states[state] = m.Name
	t.version++
}

// Version returns a number that changes when the state of any VM does, this one included.
func (t *Table) Version() uint64 {
	return t.version
}

// RecordAnswer records that a member answered a call of this VM. It returns false when the
// state in the answer is brief and the member's process is unknown.
func (t *Table) RecordAnswer(now time.Duration, m Member) bool {
	if !t.RecordContact(now, m) {
		return false
	}
	if e := t.entries[m.Name]; e != nil {
		e.answeredAt = now
	}
	return true
}

// AnsweredWithin returns whether the last completed call of this VM to a member was answered,
// no longer than span ago.
func (t *Table) AnsweredWithin(now time.Duration, name string, span time.Duration) bool {
	e := t.entries[name]
	return e != nil && e.answeredAt > e.failedAt && now-e.answeredAt <= span
}

// SeenSinceFailure returns whether a member gave a sign of life after a call of this VM to it last failed.
func (t *Table) SeenSinceFailure(name string) bool {
	e := t.entries[name]
	return e != nil && e.seenAt > e.failedAt
}

// Member returns the member with a name, and false when it is unknown.
func (t *Table) Member(name string) (Member, bool) {
	if e := t.entries[name]; e != nil && e.Boot != 0 {
		return e.Member, true
	}
	return Member{}, false
}

// Boot returns the boot of a member, or 0 when it is unknown.
func (t *Table) Boot(name string) int64 {
	if e := t.entries[name]; e != nil {
		return e.Boot
	}
	return 0
}

// Digest returns a number that is equal for VMs that know the same running processes in the
// same states.
func (t *Table) Digest(now time.Duration) uint64 {
	digest := t.self.hash()
	for _, e := range t.entries {
		if e.Boot != 0 && e.present(now) {
			digest += e.state
		}
	}
	return digest
}

// States returns the states of the running processes that this VM knows, its own included.
func (t *Table) States(now time.Duration) []uint64 {
	states := make([]uint64, 0, len(t.entries)+1)
	states = append(states, t.self.hash())
	for _, e := range t.entries {
		if e.Boot != 0 && e.present(now) {
			states = append(states, e.state)
		}
	}
	return states
}

// ByState returns the members with the given states, as far as they are known.
func (t *Table) ByState(states []uint64) []Member {
	var found []Member
	own := t.self.hash()
	for _, s := range states {
		if s == own {
			found = append(found, t.self)
		} else if name, ok := t.states[s]; ok {
			found = append(found, t.entries[name].Member)
		}
	}
	return found
}

// Unknown returns those of the given states that match no process known to this VM.
func (t *Table) Unknown(states []uint64) []uint64 {
	var unknown []uint64
	own := t.self.hash()
	for _, s := range states {
		if _, ok := t.states[s]; !ok && s != own {
			unknown = append(unknown, s)
		}
	}
	return unknown
}

// Merge updates the table with the members that another VM gossips. Only a newer beat or a new
// process counts as a sign of life.
func (t *Table) Merge(now time.Duration, members []Member) {
	for _, m := range members {
		if m.Name == t.self.Name || m.Name == "" || m.Peer == "" {
			continue
		}
		e := t.getOrCreate(m.Name)
		if e == nil || e.isRetired(m.Boot) || (m.Boot == e.Boot && e.refused) {
			continue
		}
		if e.Boot != 0 && m.Boot <= e.Boot && (m.Boot < e.Boot || m.Beat <= e.Beat) {
			continue
		}
		if e.Boot != 0 && e.Boot != m.Boot {
			e.retire(e.Boot)
			e.refused = false
		}
		t.set(e, m)
		e.heardAt, e.seenAt = now, now
	}
}

// MarkSeenByHub records which members a hub reports as running, among those for which of returns
// true. Those of them that it doesn't report must be heard by this VM itself to count as running.
func (t *Table) MarkSeenByHub(now time.Duration, states []uint64, of func(m Member) bool) {
	named := make(map[uint64]bool, len(states))
	for _, s := range states {
		named[s] = true
	}
	for _, e := range t.entries {
		switch {
		case e.Boot == 0 || !of(e.Member):
		case named[e.state] && !e.refused:
			e.hubSeenAt, e.seenAt = now, now
		default:
			e.hubSeenAt = 0
		}
	}
}

// MarkAllSeenByHub records that a hub sees the same of the selected members running as this VM.
func (t *Table) MarkAllSeenByHub(now time.Duration, of func(m Member) bool) {
	for _, e := range t.entries {
		if e.Boot != 0 && e.present(now) && of(e.Member) {
			e.hubSeenAt, e.seenAt = now, now
		}
	}
}

// RecordFailure records that a member didn't answer a call.
func (t *Table) RecordFailure(now time.Duration, name string) {
	if e := t.entries[name]; e != nil {
		e.failedAt = now
	}
}

// RecordRefusal records that nothing listens at a member's address any more.
func (t *Table) RecordRefusal(name string) {
	if e := t.entries[name]; e != nil {
		e.refused = true
	}
}

// MarkLeaving records a member's notice that it is leaving, before its next beat carries it.
func (t *Table) MarkLeaving(name string) {
	if e := t.entries[name]; e != nil {
		m := e.Member
		m.Leaving = true
		t.set(e, m)
	}
}

// EvictSilent removes members that have given no sign of life for longer than forgetAfter.
func (t *Table) EvictSilent(now time.Duration) {
	for name, e := range t.entries {
		if now-e.seenAt > forgetAfter {
			delete(t.states, e.state)
			delete(t.entries, name)
		}
	}
}

// ByPeerAddress returns the member with an address for calls between VMs.
func (t *Table) ByPeerAddress(peer string) (Member, bool) {
	for _, e := range t.entries {
		if e.Boot != 0 && e.Peer == peer {
			return e.Member, true
		}
	}
	return Member{}, false
}

// Known returns all members but this VM, running or not, sorted by name.
func (t *Table) Known() []Member {
	return t.list(func(*entry) bool { return true })
}

// Present returns the other members that count as running, sorted by name.
func (t *Table) Present(now time.Duration) []Member {
	return t.list(func(e *entry) bool { return e.present(now) })
}

// Reachable returns the other members that count as running here or were reported by a hub a
// moment ago, except those that lately failed to answer a call of this VM, sorted by name.
func (t *Table) Reachable(now time.Duration) []Member {
	return t.list(func(e *entry) bool { return e.reachable(now) })
}

// LongestSilence returns the longest time since a present member gave a sign of life.
func (t *Table) LongestSilence(now time.Duration) time.Duration {
	var longest time.Duration
	for _, e := range t.entries {
		if e.Boot != 0 && e.present(now) {
			longest = max(longest, now-e.seenAt)
		}
	}
	return longest
}

// EachReachable calls a function for each member that Reachable returns, in any order.
func (t *Table) EachReachable(now time.Duration, pass func(m *Member)) {
	for _, e := range t.entries {
		if e.Boot != 0 && e.reachable(now) {
			pass(&e.Member)
		}
	}
}

// MarkReported records the processes that a hub hears itself, and as hints those that it knows
// only from other VMs.
func (t *Table) MarkReported(now time.Duration, states, hints []uint64) {
	for _, s := range states {
		if e := t.entries[t.states[s]]; e != nil {
			e.reportedAt = now
		}
	}
	for _, s := range hints {
		if e := t.entries[t.states[s]]; e != nil {
			e.hintedAt = now
		}
	}
}

// Hints returns the states of the processes that a hub reports as running and that don't count
// as running here.
func (t *Table) Hints(now time.Duration) []uint64 {
	var hints []uint64
	for _, e := range t.entries {
		if e.Boot != 0 && !e.refused && !e.present(now) && recent(now, e.reportedAt, reportTTL) {
			hints = append(hints, e.state)
		}
	}
	return hints
}

// EachUnreachable calls a function for each member that this VM doesn't reach though it counts
// as running here or was reported by a hub, in any order.
func (t *Table) EachUnreachable(now time.Duration, pass func(m *Member)) {
	for _, e := range t.entries {
		if e.Boot != 0 && !e.reachable(now) && (e.recentlyReported(now) || e.present(now)) {
			pass(&e.Member)
		}
	}
}

// Size returns the number of VMs in the table, running or not, this one included.
func (t *Table) Size() int {
	return len(t.entries) + 1
}

// HasPriority returns whether a is preferred to b for work on behalf of others: the VM with
// more capacity, then the older process, so that a restarted VM displaces none of equal size.
func HasPriority(a, b Member) bool {
	switch {
	case a.Weight != b.Weight:
		return a.Weight > b.Weight
	case a.Boot != b.Boot:
		return a.Boot < b.Boot
	}
	return a.Name < b.Name
}

// HasMajority returns whether this VM reaches more than half of the VMs that gave a sign of
// life within forgetAfter, itself included.
func (t *Table) HasMajority(now time.Duration) bool {
	reachable, recent := 0, 0
	for _, e := range t.entries {
		if e.Boot != 0 && e.reachable(now) {
			reachable++
		}
		if now-e.seenAt <= forgetAfter {
			recent++
		}
	}
	return 2*(reachable+1) > recent+1
}

// getOrCreate returns the entry of a name, creating it unless the table is full; then nil.
func (t *Table) getOrCreate(name string) *entry {
	e := t.entries[name]
	if e == nil && len(t.entries) < maxMembers {
		e = new(entry)
		t.entries[name] = e
	}
	return e
}

// list returns the members for which keep returns true, sorted by name.
func (t *Table) list(keep func(e *entry) bool) []Member {
	var found []Member
	for _, e := range t.entries {
		if e.Boot != 0 && keep(e) {
			found = append(found, e.Member)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

func (e *entry) present(now time.Duration) bool {
	seenByHub := e.hubSeenAt > 0 && now-e.hubSeenAt <= HubSeenTTL
	return !e.refused && (seenByHub || now-e.heardAt <= presenceTTL)
}

func (e *entry) reachable(now time.Duration) bool {
	failing := e.failedAt > e.answeredAt && now-e.failedAt <= failureTTL
	return (e.present(now) || e.recentlyReported(now)) && !failing
}

// recentlyReported returns whether a hub listed the member a moment ago, as heard by itself or as
// a hint.
func (e *entry) recentlyReported(now time.Duration) bool {
	return !e.refused && (recent(now, e.reportedAt, reportTTL) || recent(now, e.hintedAt, hintTTL))
}

// recent returns whether an event is no longer ago than span; at is 0 when there was none.
func recent(now, at, span time.Duration) bool {
	return at > 0 && now-at <= span
}

func (e *entry) isRetired(boot int64) bool {
	for _, b := range e.retired {
		if b == boot {
			return true
		}
	}
	return false
}

func (e *entry) retire(boot int64) {
	e.retired = append(e.retired, boot)
	if len(e.retired) > maxRetired {
		e.retired = e.retired[1:]
	}
}
