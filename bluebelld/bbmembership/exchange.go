package bbmembership

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbgossip"
)

const (
	// exchangeTimeout bounds one exchange: two round trips between regions with a lost
	// packet in one.
	exchangeTimeout = 700 * time.Millisecond
	// starEvery is the number of rounds after which each VM of a larger fleet exchanges with
	// its hub.
	hubEvery = 3
	// otherEvery is the number of rounds after which a VM of a larger fleet exchanges with any
	// other, so that parts of the fleet find each other; hubs do so more often.
	randomPeerEvery = 24
	// maxWants bounds the processes that are asked for in one exchange: some 10 KB in answer.
	maxWants = 128
	// maxCatchUp bounds the exchanges that follow one in which processes turned out to be
	// unknown: a fleet of twice the planned size.
	maxCatchUp = 6
	// seedEvery is the number of rounds after which seeds are tried that no VM is known at.
	seedEvery = 4
)

// Answer takes in the exchange of another VM and returns this VM's.
func (f *Fleet) Answer(e bbpeer.Exchange) bbpeer.Exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	known := f.table.RecordContact(now, e.From)
	f.refresh()
	self := f.table.Self()
	answer := bbpeer.Exchange{
		From:    self,
		Digest:  f.table.Digest(now),
		FromHub: f.isHub(),
		Unknown: !known,
		Hints:   f.table.Hints(now),
		Members: f.table.ByState(e.Wants[:min(len(e.Wants), maxWants)]),
	}
	if e.KnownBoot == self.Boot {
		answer.From = self.Brief()
	}
	if e.Digest != answer.Digest {
		answer.States = f.table.States(now)
	}
	if !answer.FromHub {
		answer.Hub = f.hub().Peer
	}
	f.recordLoadEstimate(now, e)
	if e.LoadEstimate != nil {
		answer.LoadEstimate = f.ownLoadEstimate()
	}
	return answer
}

// isHub tells whether this VM vouches for others; the caller holds the lock.
func (f *Fleet) isHub() bool {
	return f.hubs.CoordinatesAny(f.table.Self().Name)
}

// hub returns the VM that vouches for others to this one; the caller holds the lock.
func (f *Fleet) hub() bbgossip.Member {
	m, _ := f.hubs.Of(f.table.Self().Zone)
	return m
}

// outlook returns what this VM expects as a coordinator of one of several cells, else nil; the
// caller holds the lock.
func (f *Fleet) ownLoadEstimate() *bbcell.LoadEstimate {
	if !f.split.ByZone || !f.cells.CoordinatesAny(f.table.Self().Name) {
		return nil
	}
	expects := f.loadEstimate
	return &expects
}

// hearOutlook takes in what another coordinator expects; the caller holds the lock.
func (f *Fleet) recordLoadEstimate(now time.Duration, e bbpeer.Exchange) {
	if e.LoadEstimate != nil {
		f.cellEstimates.Update(now, e.From.Name, *e.LoadEstimate)
	}
}

// exchangeRound starts an exchange with each VM of this round.
func (f *Fleet) exchangeRound(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Update(func(*bbgossip.Member) {})
	f.table.EvictSilent(f.Now())
	for _, address := range f.targets() {
		f.startExchange(ctx, address)
	}
	f.refresh()
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
		addresses = f.largeFleetTargets(addresses)
	}
	asksAll := len(known) >= meshSize && f.isHub()
	for _, seed := range f.seeds {
		due := len(known) == 0 || f.rounds%seedEvery == 0 || (asksAll && f.Now() < startupPeriod)
		if due && (asksAll || !taken[seed]) && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// targetsOfMany returns the addresses for one round in a large fleet: the other hubs, for a hub
// and for a coordinator, else now and then the own hub; and rarely any other VM.
func (f *Fleet) largeFleetTargets(known []string) []string {
	name := f.table.Self().Name
	central := f.isHub() || f.cells.CoordinatesAny(name)
	due := f.rounds%hubEvery == 0
	var addresses []string
	switch {
	case central:
		for _, m := range append(f.hubs.VMs(), f.cells.VMs()...) {
			if m.Name != name && !slices.Contains(addresses, m.Peer) {
				addresses = append(addresses, m.Peer)
			}
		}
	case due:
		addresses = []string{f.hub().Peer}
	}
	if central && due {
		addresses = append(addresses, f.unreachedHubs()...)
	}
	if (central && due) || f.rounds%randomPeerEvery == 0 {
		if other := known[f.Pick(len(known))]; !slices.Contains(addresses, other) {
			addresses = append(addresses, other)
		}
	}
	return addresses
}

// silentHubs returns the addresses of the VMs that would be hubs of the failure domains in which
// none is reached, so that a cut is noticed to be over.
func (f *Fleet) unreachedHubs() []string {
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
		f.joinOnce.Do(func() { close(f.joined) })
	}
}

// exchangeOnce makes one exchange with an address, in which it asks for some processes. It
// returns the ones that are to be asked for next.
func (f *Fleet) exchangeOnce(ctx context.Context, address string, wants []uint64) []uint64 {
	question, name := f.newRequest(address)
	question.Wants = wants
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := f.Exchange(call, address, question)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if err != nil {
		f.table.RecordFailure(now, name)
		if status.Code(errors.UnwrapAll(err)) == codes.Unavailable && name != "" {
			f.table.RecordRefusal(name)
		}
		go f.Reset(address)
		f.failOverHub(ctx, address)
		return nil
	}
	f.answeredAt = now
	if f.table.RecordAnswer(now, answer.From) && !answer.Unknown {
		f.briefTo[answer.From.Name] = answer.From.Boot
	} else {
		delete(f.briefTo, name)
	}
	f.table.Merge(now, answer.Members)
	f.refresh()
	f.recordHubReport(now, answer)
	f.recordLoadEstimate(now, answer)
	f.refresh()
	f.followHub(ctx, answer)
	unknown := f.table.Unknown(answer.States)
	teller, _ := f.table.Member(answer.From.Name)
	if len(wants) > 0 && teller.Region != f.table.Self().Region && !f.isHub() {
		// The rest comes from a hub that is nearer.
		return nil
	}
	return unknown[:min(len(unknown), maxWants)]
}

// chaseHub goes on to the hub that an answer leads to, if this VM hears nothing of it: its own
// hub has changed, or the one that answered has another.
func (f *Fleet) followHub(ctx context.Context, answer bbpeer.Exchange) {
	if f.table.Size() <= meshSize {
		return
	}
	hub := f.hub()
	if hub.Name != f.lastHub {
		f.lastHub = hub.Name
		f.startExchange(ctx, hub.Peer)
	}
	if m, ok := f.table.ByPeerAddress(answer.Hub); ok && !f.reached[m.Name] {
		f.startExchange(ctx, answer.Hub)
	}
}

// vouched takes in for which VMs another one vouches: the own hub for all, other hubs for those of
// their failure domain, which they hear themselves. Were they believed on others, two hubs could
// keep each other's word on a lost VM alive.
func (f *Fleet) recordHubReport(now time.Duration, answer bbpeer.Exchange) {
	if !answer.FromHub {
		return
	}
	f.table.MarkReported(now, answer.States, answer.Hints)
	hub := answer.From.Name
	known, _ := f.table.Member(hub)
	of := func(m bbgossip.Member) bool { return m.Name != hub && m.Zone == known.Zone }
	if hub == f.hub().Name {
		of = func(m bbgossip.Member) bool { return m.Name != hub }
	}
	if answer.Digest == f.table.Digest(now) {
		f.table.MarkAllSeenByHub(now, of)
		return
	}
	if len(answer.States) > 0 {
		f.table.MarkSeenByHub(now, answer.States, of)
	}
}

// lostHub takes in that an exchange failed. When it was with this VM's hub, it goes to the next
// one at once.
func (f *Fleet) failOverHub(ctx context.Context, address string) {
	before := f.hub()
	f.refresh()
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
func (f *Fleet) newRequest(address string) (bbpeer.Exchange, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := bbpeer.Exchange{
		From:   f.table.Self(),
		Digest: f.table.Digest(f.Now()),
	}
	m, ok := f.table.ByPeerAddress(address)
	if !ok {
		return q, ""
	}
	q.KnownBoot = m.Boot
	if f.briefTo[m.Name] == m.Boot {
		q.From = q.From.Brief()
	}
	if f.cells.CoordinatesAny(m.Name) {
		q.LoadEstimate = f.ownLoadEstimate()
	}
	return q, m.Name
}
