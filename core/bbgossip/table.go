// Package bbgossip is the table of entry VMs that have found each other through a few
// seeds and by passing on what they know: which ones run, which ones this VM reaches.
package bbgossip

import (
	"sort"
	"strconv"
	"time"

	"bluebellhall/core/bbhash"
)

const (
	// presentFor is how long a VM counts as running after it was last heard itself: two calls
	// of a large fleet, with some slack.
	presenceTTL = 2500 * time.Millisecond
	// VouchedFor is how long a VM counts as running after a hub last vouched for it. A hub says
	// at once when a VM is gone; the time is for the loss of the hub itself, until the next one
	// has been found and vouches.
	HubSeenTTL = 4 * time.Second
	// hintedFor is the same after a hint: the time between two exchanges with a hub, and that in
	// which one fails.
	hintTTL = 1900 * time.Millisecond
	// namedFor is how long a VM may run after a hub named it: some exchanges of hubs.
	reportTTL = 1500 * time.Millisecond
	// failedFor is how long a VM that did not answer a call counts as out of reach.
	failureTTL = 3 * time.Second
	// forgetAfter is how long a silent VM stays in the table and is still tried.
	forgetAfter = 60 * time.Second
	// maxMembers bounds the table.
	maxMembers = 2048
	// maxRetired bounds the remembered former processes of one VM.
	maxRetired = 8
)

// Member is what a VM tells of itself. The fields have numbers on the wire, because VMs
// tell each other several times a second.
type Member struct {
	// Name is the VM's; it stays over restarts.
	Name string `cbor:"1,keyasint"`
	// Boot is the Unix millisecond of the process's start, which tells processes apart and
	// orders them by age. It may go backwards when the time of day is corrected.
	Boot int64 `cbor:"2,keyasint"`
	// Beat grows while the process runs.
	Beat uint64 `cbor:"3,keyasint"`
	// Peer is the address for calls between VMs. It and the fields up to Weight stay while
	// the process runs and are left out where the other side has them.
	Peer string `cbor:"4,keyasint,omitempty"`
	// Front is the address for callers.
	Front  string `cbor:"5,keyasint,omitempty"`
	Zone   string `cbor:"6,keyasint,omitempty"`
	Region string `cbor:"7,keyasint,omitempty"`
	// Weight is the VM's capacity in cores.
	Weight float64 `cbor:"8,keyasint,omitempty"`
	// Ready VMs have a catalog and know endpoints.
	Ready bool `cbor:"9,keyasint,omitempty"`
	// Leaving VMs take no new callers and coordinate nothing.
	Leaving bool `cbor:"10,keyasint,omitempty"`
	// CatalogVersion is the configuration that the VM has in force.
	CatalogVersion uint64 `cbor:"11,keyasint,omitempty"`
	// EndpointRevision is the platform's revision of the VM's table of endpoints.
	EndpointRevision uint64 `cbor:"12,keyasint,omitempty"`
}

// Brief returns the member without what stays while its process runs.
func (m Member) Brief() Member {
	m.Peer, m.Front, m.Zone, m.Region, m.Weight = "", "", "", "", 0
	return m
}

// complete takes the fields that a brief member leaves out from a former state of the
// same process.
func (m Member) withStaticFields(former Member) Member {
	m.Peer, m.Front, m.Zone, m.Region, m.Weight = former.Peer, former.Front, former.Zone, former.Region, former.Weight
	return m
}

// hash tells the states of processes apart that matter to all VMs.
func (m Member) hash() uint64 {
	state := strconv.AppendInt([]byte(m.Name+"/"), m.Boot, 36)
	state = strconv.AppendBool(state, m.Ready)
	state = strconv.AppendBool(state, m.Leaving)
	return bbhash.Name(string(state))
}

// entry is a member with what this VM has seen of it.
type entry struct {
	Member
	// state is the member's hash.
	state uint64
	// heardAt is the last sign of life: the member itself, or a newer beat through others.
	heardAt time.Duration
	// vouchedAt is when a hub last vouched for the member, 0 once it did no longer.
	hubSeenAt time.Duration
	// namedAt is when a hub that sees the member running last named it, and hintedAt when one did
	// that had only been told. Neither is a sign of life, and a hint isn't passed on: VMs would
	// keep each other's word alive.
	reportedAt, hintedAt time.Duration
	// seenAt is the last sign of life of either kind.
	seenAt time.Duration
	// answeredAt and failedAt are when a call of this VM was last answered and last failed.
	answeredAt, failedAt time.Duration
	// lost is set when a call showed that nothing listens at the member's address.
	refused bool
	// retired are boots of former processes, which others may still pass on.
	retired []int64
}

// Table has this VM and the others.
type Table struct {
	self    Member
	entries map[string]*entry
	// states has the name of the entry with each state.
	states map[uint64]string
	// version counts the changes of states.
	version uint64
}

// NewTable returns a table that knows only its own VM.
func NewTable(self Member) *Table {
	return &Table{
		self:    self,
		entries: make(map[string]*entry),
		states:  make(map[uint64]string),
	}
}

// Self returns what this VM tells of itself.
func (t *Table) Self() Member {
	return t.self
}

// Update changes what this VM tells of itself and counts a beat.
func (t *Table) Update(change func(m *Member)) {
	before := t.self
	change(&t.self)
	t.self.Beat++
	if before.Ready != t.self.Ready || before.Leaving != t.self.Leaving {
		t.version++
	}
}

// Heard takes in what the member itself said, in a call or in an answer. A new boot
// retires the former one. It is false when the member was brief and isn't known.
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

// set changes what is known of a member.
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

// Version returns a number that changes when the state of a VM does, this one included.
func (t *Table) Version() uint64 {
	return t.version
}

// Answered notes that a member answered a call of this VM. It is false when the answer was
// brief and the member isn't known.
func (t *Table) RecordAnswer(now time.Duration, m Member) bool {
	if !t.RecordContact(now, m) {
		return false
	}
	if e := t.entries[m.Name]; e != nil {
		e.answeredAt = now
	}
	return true
}

// AnsweredWithin tells whether a member answered a call of this VM in a time before now.
func (t *Table) AnsweredWithin(now time.Duration, name string, span time.Duration) bool {
	e := t.entries[name]
	return e != nil && e.answeredAt > e.failedAt && now-e.answeredAt <= span
}

// Member returns the known member of a name.
func (t *Table) Member(name string) (Member, bool) {
	if e := t.entries[name]; e != nil && e.Boot != 0 {
		return e.Member, true
	}
	return Member{}, false
}

// Boot returns the boot of a known member, or 0.
func (t *Table) Boot(name string) int64 {
	if e := t.entries[name]; e != nil {
		return e.Boot
	}
	return 0
}

// Digest returns a number that is the same for VMs that know the same running processes in
// the same states.
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

// Of returns the members with the given states, as far as they are known.
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

// Unknown returns those of some states in which this VM knows no process.
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

// Merge takes in what one member knows of others.
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

// Vouch takes in which of some members a hub sees running. Those that it doesn't name have to
// be heard by this VM itself.
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

// VouchAll notes that a hub sees the same members running as this VM.
func (t *Table) MarkAllSeenByHub(now time.Duration, of func(m Member) bool) {
	for _, e := range t.entries {
		if e.Boot != 0 && e.present(now) && of(e.Member) {
			e.hubSeenAt, e.seenAt = now, now
		}
	}
}

// Failed notes that a member didn't answer a call.
func (t *Table) RecordFailure(now time.Duration, name string) {
	if e := t.entries[name]; e != nil {
		e.failedAt = now
	}
}

// Lost notes that nothing listens at a member's address any more.
func (t *Table) RecordRefusal(name string) {
	if e := t.entries[name]; e != nil {
		e.refused = true
	}
}

// Left notes that a member said that it is leaving, before its next beat tells all.
func (t *Table) MarkLeaving(name string) {
	if e := t.entries[name]; e != nil {
		m := e.Member
		m.Leaving = true
		t.set(e, m)
	}
}

// Forget drops members that have been silent for long.
func (t *Table) EvictSilent(now time.Duration) {
	for name, e := range t.entries {
		if now-e.seenAt > forgetAfter {
			delete(t.states, e.state)
			delete(t.entries, name)
		}
	}
}

// At returns the known member with an address for calls between VMs.
func (t *Table) ByPeerAddress(peer string) (Member, bool) {
	for _, e := range t.entries {
		if e.Boot != 0 && e.Peer == peer {
			return e.Member, true
		}
	}
	return Member{}, false
}

// Known returns all members but this VM, in the order of their names: running or not.
func (t *Table) Known() []Member {
	return t.list(func(*entry) bool { return true })
}

// Present returns the other members that seem to run, in the order of their names.
func (t *Table) Present(now time.Duration) []Member {
	return t.list(func(e *entry) bool { return e.present(now) })
}

// Reachable returns the other members that run, to this VM or to one that named them a moment
// ago, and don't leave calls of this VM without an answer, in the order of their names.
func (t *Table) Reachable(now time.Duration) []Member {
	return t.list(func(e *entry) bool { return e.reachable(now) })
}

// Silence returns the longest time since a present member gave a sign of life.
func (t *Table) LongestSilence(now time.Duration) time.Duration {
	var longest time.Duration
	for _, e := range t.entries {
		if e.Boot != 0 && e.present(now) {
			longest = max(longest, now-e.seenAt)
		}
	}
	return longest
}

// EachReachable passes on the members that Reachable returns, in any order.
func (t *Table) EachReachable(now time.Duration, pass func(m *Member)) {
	for _, e := range t.entries {
		if e.Boot != 0 && e.reachable(now) {
			pass(&e.Member)
		}
	}
}

// Named notes the processes that a hub sees running, and those of which it was told.
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

// Hints returns the states of the processes that others see running and this VM doesn't.
func (t *Table) Hints(now time.Duration) []uint64 {
	var hints []uint64
	for _, e := range t.entries {
		if e.Boot != 0 && !e.refused && !e.present(now) && recent(now, e.reportedAt, reportTTL) {
			hints = append(hints, e.state)
		}
	}
	return hints
}

// EachUnreached passes on the members that this VM doesn't reach though they seem to run, to
// this VM or to others, in any order.
func (t *Table) EachUnreachable(now time.Duration, pass func(m *Member)) {
	for _, e := range t.entries {
		if e.Boot != 0 && !e.reachable(now) && (e.recentlyReported(now) || e.present(now)) {
			pass(&e.Member)
		}
	}
}

// Size returns the number of VMs that are known, running or not, this one included.
func (t *Table) Size() int {
	return len(t.entries) + 1
}

// Before tells whether a should rather work for others than b: the larger one, then the
// older one, so that a restarted VM takes nothing over.
func HasPriority(a, b Member) bool {
	switch {
	case a.Weight != b.Weight:
		return a.Weight > b.Weight
	case a.Boot != b.Boot:
		return a.Boot < b.Boot
	}
	return a.Name < b.Name
}

// HasMajority tells whether this VM reaches more than half of the VMs that seemed to run
// lately, itself included.
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

// entry returns the entry of a name, made if there is room, else nil.
func (t *Table) getOrCreate(name string) *entry {
	e := t.entries[name]
	if e == nil && len(t.entries) < maxMembers {
		e = new(entry)
		t.entries[name] = e
	}
	return e
}

// list returns the members for which a function is true.
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
	vouched := e.hubSeenAt > 0 && now-e.hubSeenAt <= HubSeenTTL
	return !e.refused && (vouched || now-e.heardAt <= presenceTTL)
}

func (e *entry) reachable(now time.Duration) bool {
	failing := e.failedAt > e.answeredAt && now-e.failedAt <= failureTTL
	return (e.present(now) || e.recentlyReported(now)) && !failing
}

// named tells whether another VM saw the member running a moment ago.
func (e *entry) recentlyReported(now time.Duration) bool {
	return !e.refused && (recent(now, e.reportedAt, reportTTL) || recent(now, e.hintedAt, hintTTL))
}

// recent tells whether the word of another VM still counts; 0 is none.
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
