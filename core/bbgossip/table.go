// Package bbgossip is the table of entry VMs that have found each other through a few
// seeds and by passing on what they know. It decides which VM coordinates shared work.
package bbgossip

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"bluebellhall/core/bbhash"
)

const (
	// presentFor is how long a VM counts as running after its last sign of life, directly
	// or through the coordinator: three calls of a large fleet, with some slack.
	presentFor = 2500 * time.Millisecond
	// failedFor is how long a VM that did not answer a call counts as out of reach.
	failedFor = 3 * time.Second
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
func (m Member) complete(former Member) Member {
	m.Peer, m.Front, m.Zone, m.Region, m.Weight = former.Peer, former.Front, former.Zone, former.Region, former.Weight
	return m
}

// entry is a member with what this VM has seen of it.
type entry struct {
	Member
	// heardAt is the last sign of life: the member itself, a newer beat through others, or
	// the word of the coordinator.
	heardAt time.Duration
	// answeredAt and failedAt are when a call of this VM was last answered and last failed.
	answeredAt, failedAt time.Duration
	// lost is set when a call showed that nothing listens at the member's address.
	lost bool
	// retired are boots of former processes, which others may still pass on.
	retired []int64
}

// Table has this VM and the others.
type Table struct {
	self    Member
	entries map[string]*entry
}

// NewTable returns a table that knows only its own VM.
func NewTable(self Member) *Table {
	return &Table{
		self:    self,
		entries: make(map[string]*entry),
	}
}

// Self returns what this VM tells of itself.
func (t *Table) Self() Member {
	return t.self
}

// Update changes what this VM tells of itself and counts a beat.
func (t *Table) Update(change func(m *Member)) {
	change(&t.self)
	t.self.Beat++
}

// Heard takes in what the member itself said, in a call or in an answer. A new boot
// retires the former one. It is false when the member was brief and isn't known.
func (t *Table) Heard(now time.Duration, m Member) bool {
	if m.Name == t.self.Name || m.Name == "" {
		return true
	}
	e := t.entry(m.Name)
	if e == nil {
		return true
	}
	if m.Peer == "" {
		if e.Boot != m.Boot {
			return false
		}
		m = m.complete(e.Member)
	}
	if e.Boot != m.Boot && e.Boot != 0 {
		e.retire(e.Boot)
	}
	if e.Boot != m.Boot || m.Beat >= e.Beat {
		e.Member = m
	}
	e.heardAt = now
	e.lost = false
	return true
}

// Answered notes that a member answered a call of this VM. It is false when the answer was
// brief and the member isn't known.
func (t *Table) Answered(now time.Duration, m Member) bool {
	if !t.Heard(now, m) {
		return false
	}
	if e := t.entries[m.Name]; e != nil {
		e.answeredAt = now
	}
	return true
}

// Boot returns the boot of a known member, or 0.
func (t *Table) Boot(name string) int64 {
	if e := t.entries[name]; e != nil {
		return e.Boot
	}
	return 0
}

// Digest returns a number that is the same for VMs that know the same running processes.
func (t *Table) Digest(now time.Duration) uint64 {
	names := []string{processName(t.self)}
	for _, e := range t.entries {
		if e.Boot != 0 && e.present(now) {
			names = append(names, processName(e.Member))
		}
	}
	sort.Strings(names)
	return bbhash.Name(strings.Join(names, " "))
}

// processName tells the processes of all VMs apart.
func processName(m Member) string {
	return m.Name + "/" + strconv.FormatInt(m.Boot, 36)
}

// Merge takes in what one member knows of others. A coordinator vouches for the members
// that it names: all VMs of a large fleet call it, and few call each other.
func (t *Table) Merge(now time.Duration, members []Member, vouched bool) {
	for _, m := range members {
		if m.Name == t.self.Name || m.Name == "" || m.Peer == "" {
			continue
		}
		e := t.entry(m.Name)
		if e == nil || e.isRetired(m.Boot) || (m.Boot == e.Boot && e.lost) {
			continue
		}
		newer := e.Boot == 0 || m.Boot > e.Boot || (m.Boot == e.Boot && m.Beat > e.Beat)
		if newer || (vouched && m.Boot == e.Boot) {
			e.heardAt = now
		}
		if !newer {
			continue
		}
		if e.Boot != 0 && e.Boot != m.Boot {
			e.retire(e.Boot)
			e.lost = false
		}
		e.Member = m
	}
}

// Vouch notes that the coordinator knows the same running VMs as this one.
func (t *Table) Vouch(now time.Duration) {
	for _, e := range t.entries {
		if e.present(now) {
			e.heardAt = now
		}
	}
}

// Failed notes that a member didn't answer a call.
func (t *Table) Failed(now time.Duration, name string) {
	if e := t.entries[name]; e != nil {
		e.failedAt = now
	}
}

// Lost notes that nothing listens at a member's address any more.
func (t *Table) Lost(name string) {
	if e := t.entries[name]; e != nil {
		e.lost = true
	}
}

// Left notes that a member said that it is leaving, before its next beat tells all.
func (t *Table) Left(name string) {
	if e := t.entries[name]; e != nil {
		e.Leaving = true
	}
}

// Forget drops members that have been silent for long.
func (t *Table) Forget(now time.Duration) {
	for name, e := range t.entries {
		if now-e.heardAt > forgetAfter {
			delete(t.entries, name)
		}
	}
}

// Known returns all members but this VM, in the order of their names: running or not.
func (t *Table) Known() []Member {
	return t.list(func(*entry) bool { return true })
}

// Present returns the other members that seem to run, in the order of their names.
func (t *Table) Present(now time.Duration) []Member {
	return t.list(func(e *entry) bool { return e.present(now) })
}

// Reachable returns the other members that run and don't leave calls of this VM without an
// answer, in the order of their names.
func (t *Table) Reachable(now time.Duration) []Member {
	return t.list(func(e *entry) bool { return e.reachable(now) })
}

// Silence returns the longest time since a present member gave a sign of life.
func (t *Table) Silence(now time.Duration) time.Duration {
	var longest time.Duration
	for _, e := range t.entries {
		if e.Boot != 0 && e.present(now) {
			longest = max(longest, now-e.heardAt)
		}
	}
	return longest
}

// Leader returns the VM that coordinates shared work: of the largest that this VM reaches
// the oldest, so that a restarted VM takes nothing over. It is this VM if there is no other.
func (t *Table) Leader(now time.Duration) Member {
	leader := t.self
	found := t.self.Ready && !t.self.Leaving
	for _, m := range t.Reachable(now) {
		if !m.Ready || m.Leaving {
			continue
		}
		if !found || before(m, leader) {
			leader = m
			found = true
		}
	}
	return leader
}

// before tells whether a should coordinate rather than b.
func before(a, b Member) bool {
	switch {
	case a.Weight != b.Weight:
		return a.Weight > b.Weight
	case a.Boot != b.Boot:
		return a.Boot < b.Boot
	}
	return a.Name < b.Name
}

// Readers returns the VMs that read the platform's store for all: the coordinator and of
// each region the VM that would coordinate it. The others ask them.
func (t *Table) Readers(now time.Duration) map[string]bool {
	readers := map[string]bool{
		t.Leader(now).Name: true,
	}
	best := make(map[string]Member)
	for _, m := range append(t.Reachable(now), t.self) {
		if m.Leaving {
			continue
		}
		if b, ok := best[m.Region]; !ok || before(m, b) {
			best[m.Region] = m
		}
	}
	for _, m := range best {
		readers[m.Name] = true
	}
	return readers
}

// HasMajority tells whether this VM reaches more than half of the VMs that seemed to run
// lately, itself included.
func (t *Table) HasMajority(now time.Duration) bool {
	reachable, recent := 0, 0
	for _, e := range t.entries {
		if e.Boot != 0 && e.reachable(now) {
			reachable++
		}
		if now-e.heardAt <= forgetAfter {
			recent++
		}
	}
	return 2*(reachable+1) > recent+1
}

// entry returns the entry of a name, made if there is room, else nil.
func (t *Table) entry(name string) *entry {
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
	return !e.lost && now-e.heardAt <= presentFor
}

func (e *entry) reachable(now time.Duration) bool {
	failing := e.failedAt > e.answeredAt && now-e.failedAt <= failedFor
	return e.present(now) && !failing
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
