// Package bbmembership is how entry VMs that find each other by themselves know which ones run and
// which ones coordinate: rounds of exchange, cells and their coordinators, and the orders that
// go to them.
package bbmembership

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbgossip"
)

const (
	// round is the time between two rounds of exchange. A dead VM is noticed after three
	// or four.
	round = 350 * time.Millisecond
	// meshSize is the largest fleet in which every VM exchanges with every other in each
	// round.
	meshSize = 12
)

// Fleet is this VM's view of the others, kept up to date by rounds of exchange. In a large
// fleet each VM exchanges with the hub of its failure domain, and hubs with each other: the hub
// vouches for the rest.
type Fleet struct {
	// Now returns the steady time.
	Now func() time.Duration
	// Conns are the connections to the others.
	Conns *bbpeer.Conns
	// Exchange makes an exchange with the VM at an address, and Reset makes the next one use a
	// new connection.
	Exchange func(ctx context.Context, address string, e bbpeer.Exchange) (bbpeer.Exchange, error)
	Reset    func(address string)
	// Pick returns a random number below n.
	Pick func(n int) int
	// Serves tells whether a failure domain has endpoints of a service that may get work. It is
	// called under a lock.
	Serves func(service, zone string) bool
	// Log tells of a VM that was lost or is back; up is true when it is back.
	Log func(name string, up bool, why string)
	// LogLeader tells of another coordinator, with the number of VMs that answer.
	LogLeader func(name string, reachable int)

	// met is closed when another VM has answered and told of those that it knows.
	joined   chan struct{}
	joinOnce sync.Once

	mu      sync.Mutex
	table   *bbgossip.Table
	seeds   []string
	regions map[string]string
	// rounds counts the rounds of exchange.
	rounds int
	// busy are the addresses with an exchange in progress.
	busy map[string]bool
	// introduced has the process of each VM that knows this one in full.
	briefTo map[string]int64
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
	lastHub string
	// expects is what this VM expects as a coordinator, neighbours what the others do.
	loadEstimate  bbcell.LoadEstimate
	cellEstimates *bbcell.CellEstimates
	// leader is the coordinator of this VM's cell as of the last look, and changed is closed
	// when a coordinator is another one or a VM is no longer reachable.
	leader  bbgossip.Member
	changed chan struct{}
	// ledSince is when that coordinator became it, ownSince when the cells that this VM
	// coordinates last changed, and viewSince when the VMs that it reaches did.
	leaderSince, ownCellsSince, viewSince time.Duration
	// contestedAt is when another VM last seemed to run that may coordinate the same cells, or
	// when nobody would have told, and answeredAt is when another VM last answered.
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
		Pick:          rand.IntN,
		Serves:        func(string, string) bool { return true },
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
	}
	f.cells = bbcell.New([]bbgossip.Member{self}, all, false)
	f.hubs = f.cells
	return f
}

// Run makes rounds of exchange until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	f.spreadRounds()
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

// spreadRounds makes the VMs of a large fleet exchange with their hub in different rounds.
func (f *Fleet) spreadRounds() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rounds = f.Pick(randomPeerEvery)
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
	f.refresh()
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
	f.refresh()
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
func (f *Fleet) Joined() <-chan struct{} {
	return f.joined
}

func (f *Fleet) self() bbgossip.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Self()
}
