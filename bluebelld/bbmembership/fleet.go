// Package bbmembership maintains the membership of entry VMs that discover each other: which ones
// run, the division into cells with their coordinators, and the routing of orders to coordinators.
// The VMs learn of each other in periodic rounds of gossip exchanges.
package bbmembership

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

const (
	// round is the time between two rounds of exchange. A dead VM is noticed after three or four.
	round = 350 * time.Millisecond
	// startupRound is that time while this VM's view isn't stable yet: at 70 VMs that start at once, each
	// makes about six rounds until then.
	startupRound = 120 * time.Millisecond
	// meshSize is the largest fleet in which every VM exchanges with every other in each
	// round.
	meshSize = 12
)

// Fleet is this VM's view of the others, kept up to date by rounds of exchange. In a large fleet each
// VM exchanges with the hub of its failure domain, and hubs exchange with each other: the hub reports
// which of the other VMs run.
type Fleet struct {
	// Now returns the monotonic time.
	Now func() time.Duration
	// Conns are the connections to the others.
	Conns *bbpeer.Conns
	// Exchange makes an exchange with the VM at an address, and Reset closes the connection so that
	// the next exchange uses a new one.
	Exchange func(ctx context.Context, address string, e bbpeer.Exchange) (bbpeer.Exchange, error)
	Reset    func(address string)
	// PlaceOrder sends an order to the coordinator at an address and passes on its updates. Connected is called when
	// the order leaves.
	PlaceOrder func(ctx context.Context, address string, o bbjob.Order, connected func(), pass func(u bbjob.Update) error) error
	// Pick returns a random number below n.
	Pick func(n int) int
	// Serves reports whether a failure domain has endpoints of a service that may get work. It is
	// called with the lock held.
	Serves func(service, zone string) bool
	// ServesVersion is Serves for endpoints with a version of the software. It is called with the lock held.
	ServesVersion func(service, version, zone string) bool
	// Log is called when a VM becomes reachable (up is true) or unreachable.
	Log func(name string, up bool, why string)
	// LogLeader is called when the coordinator changes, with the number of reachable VMs.
	LogLeader func(name string, reachable int)

	// joined is closed after the first exchange with a VM that answered, including the exchanges
	// that fetch the records of the members it knows.
	joined   chan struct{}
	joinOnce sync.Once

	mu    sync.Mutex
	table *bbgossip.Table
	seeds []string
	// seedsSince is when the seeds last changed.
	seedsSince time.Duration
	regions    map[string]string
	// rounds counts the rounds of exchange.
	rounds int
	// busy are the addresses with an exchange in progress.
	busy map[string]bool
	// briefTo has the process of each VM that has this VM's full record and gets a brief one.
	briefTo map[string]int64
	// reached are the names that were reachable at the last refresh.
	reached map[string]bool
	// split has whether each failure domain is a cell, cells has the coordinators and hubs the
	// hubs of the failure domains. They are as of the last refresh and of the given version of the
	// table.
	split   bbcell.Split
	cells   bbcell.Map
	hubs    bbcell.Map
	version uint64
	// lastHub is the hub with which followHub last started an exchange because it was new.
	lastHub string
	// loadEstimate is this VM's estimate as a coordinator, cellEstimates has those of the others.
	loadEstimate  bbcell.LoadEstimate
	cellEstimates *bbcell.CellEstimates
	// leader is the coordinator of this VM's cell as of the last refresh, and changed is closed when
	// a coordinator changes or a VM is no longer reachable.
	leader  bbgossip.Member
	changed chan struct{}
	// leaderSince is when that VM became the coordinator, ownCellsSince when the cells that this VM
	// coordinates last changed, and viewSince when the VMs that it reaches did.
	leaderSince, ownCellsSince, viewSince time.Duration
	// readyKnownAt is when this VM first had a coordinator that is ready; 0 before.
	readyKnownAt time.Duration
	// agreement is what others have said of the coordinator since it last changed.
	agreement agreement
	// contestedAt is when another VM that may coordinate the same cells last seemed to run, or when
	// this VM was too isolated to learn of one, and answeredAt is when another VM last answered.
	contestedAt, answeredAt time.Duration
}

// NewFleet returns a fleet that knows only its own VM, the addresses of some seeds and the
// region of each failure domain.
func NewFleet(self bbgossip.Member, seeds []string, regions map[string]string, now func() time.Duration, conns *bbpeer.Conns) *Fleet {
	all := map[string]string{
		self.Zone: self.Region,
	}
	maps.Copy(all, regions)
	f := &Fleet{
		Now:           now,
		Conns:         conns,
		Exchange:      conns.Exchange,
		Reset:         conns.Reset,
		PlaceOrder:    conns.Order,
		Pick:          rand.IntN,
		Serves:        func(string, string) bool { return true },
		ServesVersion: func(string, string, string) bool { return true },
		Log:           func(string, bool, string) {},
		LogLeader:     func(string, int) {},
		table:         bbgossip.NewTable(self),
		seeds:         seeds,
		regions:       all,
		busy:          make(map[string]bool),
		briefTo:       make(map[string]int64),
		reached:       make(map[string]bool),
		cellEstimates: bbcell.NewCellEstimates(),
		leader:        self,
		changed:       make(chan struct{}),
		joined:        make(chan struct{}),
		agreement:     newAgreement(0),
	}
	f.cells = bbcell.New([]bbgossip.Member{self}, all, false)
	f.hubs = f.cells
	return f
}

// Run makes rounds of exchange until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	f.spreadRounds()
	timer := time.NewTimer(f.untilNextRound())
	defer timer.Stop()
	for {
		f.exchangeRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(f.untilNextRound())
	}
}

// spreadRounds starts at a random round, so that the VMs of a large fleet exchange with their hub in
// different rounds.
func (f *Fleet) spreadRounds() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rounds = f.Pick(randomPeerEvery)
}

// SetSeeds replaces the addresses of the seeds.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(f.seeds, seeds) {
		f.seedsSince = f.Now()
	}
	f.seeds = seeds
}

// Update changes this VM's own record, which it sends to others.
func (f *Fleet) Update(change func(m *bbgossip.Member)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Update(change)
	f.refresh()
}

// Announce makes a round of exchange at once.
func (f *Fleet) Announce(ctx context.Context) {
	f.exchangeRound(ctx)
}

// View passes the table to a function, which must not keep it.
func (f *Fleet) View(read func(t *bbgossip.Table, now time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.table, f.Now())
}

// Leader returns the VM that coordinates this VM's cell, and a channel that is closed when a
// coordinator changes or a VM is no longer reachable.
func (f *Fleet) Leader() (bbgossip.Member, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.leader, f.changed
}

// IsSelf reports whether a member is this VM.
func (f *Fleet) IsSelf(m bbgossip.Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.Name == f.table.Self().Name
}

// Joined returns a channel that is closed after the first exchange with a VM that answered, including
// the exchanges that fetch the records of the members it knows.
func (f *Fleet) Joined() <-chan struct{} {
	return f.joined
}

func (f *Fleet) self() bbgossip.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Self()
}
