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
	// exchangeTimeout bounds one exchange: two round trips between regions with one packet lost.
	exchangeTimeout = 700 * time.Millisecond
	// hubEvery is the number of rounds after which each VM of a larger fleet exchanges with its
	// hub.
	hubEvery = 3
	// randomPeerEvery is the number of rounds after which a VM of a larger fleet exchanges with a
	// random one, so that separate parts of the fleet discover each other; hubs do so more often.
	randomPeerEvery = 24
	// maxWants bounds the member records that are requested in one exchange: some 10 KB in answer.
	maxWants = 128
	// maxCatchUp bounds the consecutive exchanges in which a VM requests the records of unknown
	// processes: enough for a fleet of twice the planned size.
	maxCatchUp = 6
	// seedEvery is the number of rounds after which seeds are tried whose address no known VM has.
	seedEvery = 4
)

// Answer processes the exchange request of another VM and returns this VM's answer.
func (f *Fleet) Answer(e bbpeer.Exchange) bbpeer.Exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	known := f.table.RecordContact(now, e.From)
	f.refresh()
	f.recordNaming(e)
	self := f.table.Self()
	answer := bbpeer.Exchange{
		From:    self,
		Digest:  f.table.Digest(now),
		FromHub: f.isHub(),
		Unknown: !known,
		Hints:   f.table.Hints(now),
		Members: f.table.ByState(e.Wants[:min(len(e.Wants), maxWants)]),
	}
	if f.viewWait(now) <= 0 {
		answer.Coordinator = f.namedCoordinator()
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

// isHub reports whether this VM is a hub; the caller holds the lock.
func (f *Fleet) isHub() bool {
	return f.hubs.CoordinatesAny(f.table.Self().Name)
}

// hub returns the hub of this VM's failure domain; the caller holds the lock.
func (f *Fleet) hub() bbgossip.Member {
	m, _ := f.hubs.Of(f.table.Self().Zone)
	return m
}

// ownLoadEstimate returns this VM's load estimate if it coordinates one of several cells, else nil;
// the caller holds the lock.
func (f *Fleet) ownLoadEstimate() *bbcell.LoadEstimate {
	if !f.split.ByZone || !f.cells.CoordinatesAny(f.table.Self().Name) {
		return nil
	}
	estimate := f.loadEstimate
	return &estimate
}

// recordLoadEstimate stores the load estimate of another coordinator; the caller holds the lock.
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
	if f.starting(f.Now()) {
		// The hub confirms the coordinator.
		f.startExchange(ctx, f.hub().Peer)
	}
	f.refresh()
}

// targets returns the addresses to exchange with in one round: all members of a small fleet, else
// those of largeFleetTargets, and at times the seeds whose address no known member has. Hubs of a
// large fleet try all seeds, in each round while they start, so that parts of the fleet that have
// formed separately discover each other.
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
	tryAllSeeds := len(known) >= meshSize && f.isHub()
	for _, seed := range f.seeds {
		due := len(known) == 0 || f.rounds%seedEvery == 0 || (tryAllSeeds && f.Now() < startupPeriod)
		if due && (tryAllSeeds || !taken[seed]) && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// largeFleetTargets returns the addresses to exchange with in one round of a large fleet: for a hub or
// a coordinator all hubs and coordinators, for another VM its hub every few rounds; and now and then a
// random VM.
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

// unreachedHubs returns the addresses of the VMs that would be the hubs of failure domains in which no
// VM is reachable, so that the end of a network partition is noticed.
func (f *Fleet) unreachedHubs() []string {
	if !f.split.ByZone {
		return nil
	}
	hubs := bbcell.New(f.table.Known(), f.regions, true)
	var addresses []string
	for zone, m := range f.hubs.Zones {
		if candidate := hubs.Zones[zone]; m.Zone != zone && candidate.Zone == zone {
			addresses = append(addresses, candidate.Peer)
		}
	}
	return addresses
}

// exchange exchanges with an address, and again as long as the answer has unknown processes.
func (f *Fleet) exchange(ctx context.Context, address string) {
	wants, answered := f.exchangeOnce(ctx, address, nil)
	for i := 1; i < maxCatchUp && len(wants) > 0; i++ {
		wants, _ = f.exchangeOnce(ctx, address, wants)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, address)
	if answered {
		f.joinOnce.Do(func() { close(f.joined) })
	}
}

// exchangeOnce makes one exchange with an address, in which it requests the records of some processes.
// It returns the processes whose records are to be requested next, and whether the address answered.
func (f *Fleet) exchangeOnce(ctx context.Context, address string, wants []uint64) (unknown []uint64, answered bool) {
	request, name := f.newRequest(address)
	request.Wants = wants
	call, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := f.Exchange(call, address, request)
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
		return nil, false
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
	f.recordAgreement(answer)
	f.followHub(ctx, answer)
	unknown = f.table.Unknown(answer.States)
	sender, _ := f.table.Member(answer.From.Name)
	if len(wants) > 0 && sender.Region != f.table.Self().Region && !f.isHub() {
		// The remaining records are requested from a hub that is nearer.
		return nil, true
	}
	return unknown[:min(len(unknown), maxWants)], true
}

// followHub starts an exchange with this VM's hub if the hub has changed, and with the hub that the
// sender of an answer named if this VM doesn't reach that one.
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

// recordHubReport records which VMs run according to a hub: this VM's own hub is trusted about all VMs,
// another hub only about those of its failure domain, which it observes itself. If other hubs were
// trusted about more VMs, two hubs could keep a lost VM alive by repeating each other's reports.
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

// failOverHub handles a failed exchange with an address. If that was this VM's hub, and another VM is
// the hub now, it starts an exchange with the new one at once.
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

// newRequest returns the exchange request for the VM at an address, and that VM's name if it is known.
func (f *Fleet) newRequest(address string) (bbpeer.Exchange, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := bbpeer.Exchange{
		From:        f.table.Self(),
		Digest:      f.table.Digest(f.Now()),
		Coordinator: f.namedCoordinator(),
	}
	m, ok := f.table.ByPeerAddress(address)
	if !ok {
		return r, ""
	}
	r.KnownBoot = m.Boot
	if f.briefTo[m.Name] == m.Boot {
		r.From = r.From.Brief()
	}
	if f.cells.CoordinatesAny(m.Name) {
		r.LoadEstimate = f.ownLoadEstimate()
	}
	return r, m.Name
}
