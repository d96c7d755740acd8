package bbpeer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

const (
	// round is the time between two rounds of exchange. A dead VM is noticed after three
	// or four.
	round = 350 * time.Millisecond
	// exchangeTimeout bounds one exchange: two round trips between regions with a lost
	// packet in one.
	exchangeTimeout = 700 * time.Millisecond
	// meshSize is the largest fleet in which every VM exchanges with every other in each
	// round.
	meshSize = 12
	// starEvery is the number of rounds after which each VM of a larger fleet exchanges with
	// its hub.
	starEvery = 3
	// otherEvery is the number of rounds after which a VM of a larger fleet exchanges with any
	// other, so that parts of the fleet find each other; hubs do so more often.
	otherEvery = 24
	// blindFor is how long a coordinator may be without an answer of any other VM before it no
	// longer counts as one that would know of another coordinator: four rounds of a hub.
	blindFor = 1500 * time.Millisecond
	// maxWants bounds the processes that are asked for in one exchange: some 10 KB in answer.
	maxWants = 128
	// maxCatchUp bounds the exchanges that follow one in which processes turned out to be
	// unknown: a fleet of twice the planned size.
	maxCatchUp = 6
	// seedEvery is the number of rounds after which seeds are tried that no VM is known at.
	seedEvery = 4
)

// Fleet is this VM's view of the others, kept up to date by rounds of exchange. In a large
// fleet each VM exchanges with the hub of its failure domain, and hubs with each other: the hub
// vouches for the rest.
type Fleet struct {
	// Now returns the steady time.
	Now func() time.Duration
	// Conns are the connections to the others.
	Conns *Conns
	// Exchange makes an exchange with the VM at an address, and Reset makes the next one use a
	// new connection.
	Exchange func(ctx context.Context, address string, e Exchange) (Exchange, error)
	Reset    func(address string)
	// Serves tells whether a failure domain has endpoints of a service that may get work. It is
	// called under a lock.
	Serves func(service, zone string) bool
	// Log tells of a VM that was lost or is back; up is true when it is back.
	Log func(name string, up bool, why string)
	// LogLeader tells of another coordinator, with the number of VMs that answer.
	LogLeader func(name string, reachable int)

	// met is closed when another VM has answered and told of those that it knows.
	met  chan struct{}
	once sync.Once

	mu      sync.Mutex
	table   *bbgossip.Table
	seeds   []string
	regions map[string]string
	// rounds counts the rounds of exchange.
	rounds int
	// busy are the addresses with an exchange in progress.
	busy map[string]bool
	// introduced has the process of each VM that knows this one in full.
	introduced map[string]int64
	// reached are the names that were reachable at the last look.
	reached map[string]bool
	// split tells whether each failure domain is a cell, cells has their coordinators and hubs
	// the VMs that vouch for others. They are as of the last look and of the given version of
	// the table.
	split   bbcell.Split
	cells   bbcell.Map
	hubs    bbcell.Map
	version uint64
	// chased is the hub that this VM last went on to.
	chased string
	// expects is what this VM expects as a coordinator, neighbours what the others do.
	expects    bbcell.Outlook
	neighbours *bbcell.Neighbours
	// leader is the coordinator of this VM's cell as of the last look, and changed is closed
	// when a coordinator is another one or a VM is no longer reachable.
	leader  bbgossip.Member
	changed chan struct{}
	// ledSince is when that coordinator became it, ownSince when the cells that this VM
	// coordinates last changed, and viewSince when the VMs that it reaches did.
	ledSince, ownSince, viewSince time.Duration
	// contestedAt is when another VM last seemed to run that may coordinate the same cells, or
	// when nobody would have told, and answeredAt is when another VM last answered.
	contestedAt, answeredAt time.Duration
}

// NewFleet returns a fleet that knows only its own VM, the addresses of some seeds and the
// region of each failure domain.
func NewFleet(self bbgossip.Member, seeds []string, regions map[string]string, now func() time.Duration, conns *Conns) *Fleet {
	all := map[string]string{
		self.Zone: self.Region,
	}
	maps.Copy(all, regions)
	f := &Fleet{
		Now:        now,
		Conns:      conns,
		Exchange:   conns.Exchange,
		Reset:      conns.Reset,
		Serves:     func(string, string) bool { return true },
		Log:        func(string, bool, string) {},
		LogLeader:  func(string, int) {},
		table:      bbgossip.NewTable(self),
		seeds:      seeds,
		regions:    all,
		rounds:     rand.IntN(otherEvery),
		busy:       make(map[string]bool),
		introduced: make(map[string]int64),
		reached:    make(map[string]bool),
		neighbours: bbcell.NewNeighbours(),
		leader:     self,
		changed:    make(chan struct{}),
		met:        make(chan struct{}),
	}
	f.cells = bbcell.New([]bbgossip.Member{self}, all, false)
	f.hubs = f.cells
	return f
}

// Run makes rounds of exchange until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	ticker := time.NewTicker(round)
	defer ticker.Stop()
	for {
		f.exchangeRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// SetSeeds replaces the addresses of the seeds.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Update changes what this VM tells of itself.
func (f *Fleet) Update(change func(m *bbgossip.Member)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Update(change)
	f.look()
}

// Announce makes a round of exchange at once.
func (f *Fleet) Announce(ctx context.Context) {
	f.exchangeRound(ctx)
}

// View gives a function the table, which it must not keep.
func (f *Fleet) View(look func(t *bbgossip.Table, now time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	look(f.table, f.Now())
}

// Leader returns the VM that coordinates this VM's cell, and a channel that is closed when
// it is another one.
func (f *Fleet) Leader() (bbgossip.Member, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.look()
	return f.leader, f.changed
}

// IsSelf tells whether a member is this VM.
func (f *Fleet) IsSelf(m bbgossip.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.Name == f.table.Self().Name
}

// Met returns a channel that is closed when another VM has answered and told of those that it
// knows.
func (f *Fleet) Met() <-chan struct{} {
	return f.met
}

// Coordinates tells whether this VM coordinates a cell, and which VM coordinates that of a
// failure domain.
func (f *Fleet) Coordinates(zone string) (bool, bbgossip.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	other, _ := f.cells.Of(zone)
	return f.cells.WorksAny(f.table.Self().Name), other
}

// Cells tells whether the fleet has several cells and which failure domains this VM coordinates.
// Version changes when they do.
func (f *Fleet) Cells() (split bool, mine func(zone string) bool, version time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cells, name := f.cells, f.table.Self().Name
	return f.split.ByZone, func(zone string) bool { return cells.Works(name, zone) }, f.ownSince
}

// Coordinators returns the number of VMs that coordinate cells.
func (f *Fleet) Coordinators() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, len(f.cells.VMs()))
}

// smallFleet is the number of other VMs up to which each reads the platform's store itself: the
// calls are few then, and a reader that is turned away costs time.
const smallFleet = 12

// Readers returns the VMs that read the platform's store for all: the hubs, the coordinators and
// a VM in each region. It is empty when each VM reads it.
func (f *Fleet) Readers() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.look()
	if len(f.reached) <= smallFleet {
		return nil
	}
	readers := make(map[string]bool)
	for _, m := range append(f.hubs.VMs(), f.cells.VMs()...) {
		readers[m.Name] = true
	}
	if f.split.ByZone {
		return readers
	}
	best := make(map[string]bbgossip.Member)
	take := func(m *bbgossip.Member) {
		if b, ok := best[m.Region]; !m.Leaving && (!ok || bbgossip.Before(*m, b)) {
			best[m.Region] = *m
		}
	}
	self := f.table.Self()
	take(&self)
	f.table.EachReachable(f.Now(), take)
	for _, m := range best {
		readers[m.Name] = true
	}
	return readers
}

// Hub returns the VM that vouches for others to this one.
func (f *Fleet) Hub() bbgossip.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hub()
}

// SetOutlook changes what this VM tells other coordinators that it expects.
func (f *Fleet) SetOutlook(o bbcell.Outlook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expects = o
}

// Spill returns the coordinator of another cell that should take an order; see
// [bbcell.Neighbours.Spill].
func (f *Fleet) Spill(o bbjob.Order, own time.Duration, allowed func(zone string) bool) (name string, expected time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.split.ByZone {
		return "", 0
	}
	others := slices.DeleteFunc(f.cells.VMs(), func(m bbgossip.Member) bool { return m.Name == f.table.Self().Name })
	return f.neighbours.Spill(f.Now(), o, own, others, allowed)
}

// Answer takes in the exchange of another VM and returns this VM's.
func (f *Fleet) Answer(e Exchange) Exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	known := f.table.Heard(now, e.From)
	f.look()
	self := f.table.Self()
	answer := Exchange{
		From:    self,
		Digest:  f.table.Digest(now),
		Vouches: f.isHub(),
		Unknown: !known,
		Hints:   f.table.Hints(now),
		Members: f.table.Of(e.Wants[:min(len(e.Wants), maxWants)]),
	}
	if e.KnownBoot == self.Boot {
		answer.From = self.Brief()
	}
	if e.Digest != answer.Digest {
		answer.States = f.table.States(now)
	}
	if !answer.Vouches {
		answer.Hub = f.hub().Peer
	}
	f.hearOutlook(now, e)
	if e.Outlook != nil {
		answer.Outlook = f.outlook()
	}
	return answer
}

// isHub tells whether this VM vouches for others; the caller holds the lock.
func (f *Fleet) isHub() bool {
	return f.hubs.WorksAny(f.table.Self().Name)
}

// hub returns the VM that vouches for others to this one; the caller holds the lock.
func (f *Fleet) hub() bbgossip.Member {
	m, _ := f.hubs.Of(f.table.Self().Zone)
	return m
}

// outlook returns what this VM expects as a coordinator of one of several cells, else nil; the
// caller holds the lock.
func (f *Fleet) outlook() *bbcell.Outlook {
	if !f.split.ByZone || !f.cells.WorksAny(f.table.Self().Name) {
		return nil
	}
	return &f.expects
}

// hearOutlook takes in what another coordinator expects; the caller holds the lock.
func (f *Fleet) hearOutlook(now time.Duration, e Exchange) {
	if e.Outlook != nil {
		f.neighbours.Hear(now, e.From.Name, *e.Outlook)
	}
}

func (f *Fleet) self() bbgossip.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Self()
}

// exchangeRound starts an exchange with each VM of this round.
func (f *Fleet) exchangeRound(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Update(func(*bbgossip.Member) {})
	f.table.Forget(f.Now())
	for _, address := range f.targets() {
		f.startExchange(ctx, address)
	}
	f.look()
}

// targets returns the addresses for one round: all members of a small fleet, else those of
// targetsOfMany, and seeds that no known member has. Hubs of a large fleet go on to ask all seeds,
// so that parts of the fleet that have formed apart find each other.
func (f *Fleet) targets() []string {
	f.rounds++
	known := f.table.Known()
	addresses := make([]string, 0, len(known))
	taken := map[string]bool{
		f.table.Self().Peer: true,
	}
	for _, m := range known {
		taken[m.Peer] = true
		addresses = append(addresses, m.Peer)
	}
	if len(addresses) >= meshSize {
		addresses = f.targetsOfMany(addresses)
	}
	asksAll := len(known) >= meshSize && f.isHub()
	for _, seed := range f.seeds {
		due := len(known) == 0 || f.rounds%seedEvery == 0 || (asksAll && f.Now() < startTime)
		if due && (asksAll || !taken[seed]) && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// targetsOfMany returns the addresses for one round in a large fleet: the other hubs, for a hub
// and for a coordinator, else now and then the own hub; and rarely any other VM.
func (f *Fleet) targetsOfMany(known []string) []string {
	name := f.table.Self().Name
	var addresses []string
	every := otherEvery
	switch {
	case f.isHub() || f.cells.WorksAny(name):
		every = starEvery
		for _, m := range append(f.hubs.VMs(), f.cells.VMs()...) {
			if m.Name != name && !slices.Contains(addresses, m.Peer) {
				addresses = append(addresses, m.Peer)
			}
		}
	case f.rounds%starEvery == 0:
		addresses = []string{f.hub().Peer}
	}
	if f.rounds%starEvery == 0 && every == starEvery {
		addresses = append(addresses, f.silentHubs()...)
	}
	if f.rounds%every == 0 {
		if other := known[rand.IntN(len(known))]; !slices.Contains(addresses, other) {
			addresses = append(addresses, other)
		}
	}
	return addresses
}

// silentHubs returns the addresses of the VMs that would be hubs of the failure domains in which
// none is reached, so that a cut is noticed to be over.
func (f *Fleet) silentHubs() []string {
	if !f.split.ByZone {
		return nil
	}
	hubs := bbcell.New(f.table.Known(), f.regions, true)
	var addresses []string
	for zone, m := range f.hubs.Zones {
		if silent := hubs.Zones[zone]; m.Zone != zone && silent.Zone == zone {
			addresses = append(addresses, silent.Peer)
		}
	}
	return addresses
}

// exchange makes an exchange with an address, and more while processes turn out to be unknown.
func (f *Fleet) exchange(ctx context.Context, address string) {
	var wants []uint64
	for range maxCatchUp {
		wants = f.exchangeOnce(ctx, address, wants)
		if len(wants) == 0 {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, address)
	if f.answeredAt > 0 {
		f.once.Do(func() { close(f.met) })
	}
}

// exchangeOnce makes one exchange with an address, in which it asks for some processes. It
// returns the ones that are to be asked for next.
func (f *Fleet) exchangeOnce(ctx context.Context, address string, wants []uint64) []uint64 {
	question, name := f.question(address)
	question.Wants = wants
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := f.Exchange(call, address, question)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if err != nil {
		f.table.Failed(now, name)
		if status.Code(errors.UnwrapAll(err)) == codes.Unavailable && name != "" {
			f.table.Lost(name)
		}
		go f.Reset(address)
		f.lostHub(ctx, address)
		return nil
	}
	f.answeredAt = now
	if f.table.Answered(now, answer.From) && !answer.Unknown {
		f.introduced[answer.From.Name] = answer.From.Boot
	} else {
		delete(f.introduced, name)
	}
	f.table.Merge(now, answer.Members)
	f.look()
	f.vouched(now, answer)
	f.hearOutlook(now, answer)
	f.look()
	f.chaseHub(ctx, answer)
	unknown := f.table.Unknown(answer.States)
	unknown = unknown[:min(len(unknown), maxWants)]
	if len(wants) > 0 && answer.From.Region != f.table.Self().Region && !f.isHub() {
		// The rest comes from a hub that is nearer.
		return nil
	}
	return unknown
}

// chaseHub goes on to the hub that an answer leads to, if this VM hears nothing of it: its own
// hub has changed, or the one that answered has another.
func (f *Fleet) chaseHub(ctx context.Context, answer Exchange) {
	if f.table.Size() <= meshSize {
		return
	}
	hub := f.hub()
	if hub.Name != f.chased {
		f.chased = hub.Name
		f.startExchange(ctx, hub.Peer)
	}
	if m, ok := f.table.At(answer.Hub); ok && !f.reached[m.Name] {
		f.startExchange(ctx, answer.Hub)
	}
}

// vouched takes in for which VMs another one vouches: the own hub for all, other hubs for those of
// their failure domain, which they hear themselves. Were they believed on others, two hubs could
// keep each other's word on a lost VM alive.
func (f *Fleet) vouched(now time.Duration, answer Exchange) {
	if !answer.Vouches {
		return
	}
	f.table.Named(now, answer.States, answer.Hints)
	hub := answer.From.Name
	zone := f.table.Zone(hub)
	of := func(m bbgossip.Member) bool { return m.Name != hub && m.Zone == zone }
	if hub == f.hub().Name {
		of = func(m bbgossip.Member) bool { return m.Name != hub }
	}
	if answer.Digest == f.table.Digest(now) {
		f.table.VouchAll(now, of)
		return
	}
	if len(answer.States) > 0 {
		f.table.Vouch(now, answer.States, of)
	}
}

// lostHub takes in that an exchange failed. When it was with this VM's hub, it goes to the next
// one at once.
func (f *Fleet) lostHub(ctx context.Context, address string) {
	before := f.hub()
	f.look()
	next := f.hub()
	if before.Peer == address && next.Peer != address {
		f.startExchange(ctx, next.Peer)
	}
}

// startExchange starts an exchange with an address unless one is in progress; the caller holds
// the lock.
func (f *Fleet) startExchange(ctx context.Context, address string) {
	if f.busy[address] || address == f.table.Self().Peer {
		return
	}
	f.busy[address] = true
	go f.exchange(ctx, address)
}

// question returns what this VM tells the VM at an address, and that VM's name if known.
func (f *Fleet) question(address string) (Exchange, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := Exchange{
		From:   f.table.Self(),
		Digest: f.table.Digest(f.Now()),
	}
	m, ok := f.table.At(address)
	if !ok {
		return q, ""
	}
	q.KnownBoot = m.Boot
	if f.introduced[m.Name] == m.Boot {
		q.From = q.From.Brief()
	}
	if f.cells.WorksAny(m.Name) {
		q.Outlook = f.outlook()
	}
	return q, m.Name
}

// look notes which VMs are reachable now and which ones coordinate.
func (f *Fleet) look() {
	now := f.Now()
	gained, count := f.version != f.table.Version(), 0
	f.table.EachReachable(now, func(m *bbgossip.Member) {
		count++
		if !f.reached[m.Name] {
			f.reached[m.Name] = true
			gained = true
			f.Log(m.Name, true, "answers")
		}
	})
	if f.split.ByZone && (now-f.answeredAt > blindFor || f.contested(now)) {
		f.contestedAt = now
	}
	lost := count < len(f.reached)
	if !gained && !lost {
		return
	}
	f.version = f.table.Version()
	f.viewSince = now
	reachable := f.table.Reachable(now)
	if lost {
		f.forgetLost(reachable)
	}
	if f.elect(now, reachable) || lost {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// contested tells whether a VM that this one doesn't reach, but that others vouch for, would
// coordinate a cell of this VM. Two VMs that only don't reach each other both have a majority.
func (f *Fleet) contested(now time.Duration) bool {
	self := f.table.Self()
	contested := false
	f.table.EachUnreached(now, func(m *bbgossip.Member) {
		before := m.Zone != self.Zone || bbgossip.Before(*m, self)
		contested = contested || (m.Ready && !m.Leaving && before && f.cells.Works(self.Name, m.Zone))
	})
	return contested
}

// forgetLost notes which VMs are no longer reachable.
func (f *Fleet) forgetLost(reachable []bbgossip.Member) {
	present := make(map[string]bool, len(reachable))
	for _, m := range reachable {
		present[m.Name] = true
	}
	for name := range f.reached {
		if !present[name] {
			delete(f.reached, name)
			f.Log(name, false, "silent")
		}
	}
}

// elect works out the coordinators and hubs. It is true when a coordinator is another one.
func (f *Fleet) elect(now time.Duration, reachable []bbgossip.Member) bool {
	self := f.table.Self()
	f.split.Resize(f.table.Size())
	var staying, ready []bbgossip.Member
	for _, m := range append(reachable, self) {
		if m.Leaving {
			continue
		}
		staying = append(staying, m)
		if m.Ready {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		ready = []bbgossip.Member{self}
	}
	if len(staying) == 0 {
		staying = []bbgossip.Member{self}
	}
	f.hubs = bbcell.New(staying, f.regions, f.split.ByZone)
	cells := bbcell.New(ready, f.regions, f.split.ByZone)
	changed := !cells.Equal(f.cells)
	for zone := range f.regions {
		if cells.Works(self.Name, zone) != f.cells.Works(self.Name, zone) {
			f.ownSince = now
		}
	}
	f.cells = cells
	f.neighbours.Keep(cells.VMs())
	leader, _ := cells.Of(self.Zone)
	if leader.Name != f.leader.Name {
		f.ledSince = now
		f.LogLeader(leader.Name, len(reachable))
	}
	f.leader = leader
	return changed
}
