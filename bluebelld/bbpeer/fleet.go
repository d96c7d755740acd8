package bbpeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

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
	// the coordinator, and with one other so that parts of the fleet find each other.
	starEvery = 3
	// seedEvery is the number of rounds after which seeds are tried that no VM is known at.
	seedEvery = 4
)

// Fleet is this VM's view of the others, kept up to date by rounds of exchange.
type Fleet struct {
	// Now returns the steady time.
	Now func() time.Duration
	// Conns are the connections to the others.
	Conns *Conns
	// Log tells of a VM that was lost or is back; up is true when it is back.
	Log func(name string, up bool, why string)
	// LogLeader tells of another coordinator, with the number of VMs that answer.
	LogLeader func(name string, reachable int)

	mu    sync.Mutex
	table *bbgossip.Table
	seeds []string
	// rounds counts the rounds of exchange.
	rounds int
	// busy are the addresses with an exchange in progress.
	busy map[string]bool
	// introduced has the process of each VM that knows this one in full.
	introduced map[string]int64
	// reached are the names that were reachable in the last round.
	reached map[string]bool
	// leader is the coordinator as of the last look, and changed is closed when it
	// is another one or a VM is no longer reachable.
	leader  bbgossip.Member
	changed chan struct{}
	// ledSince is when this VM became the coordinator.
	ledSince time.Duration
}

// NewFleet returns a fleet that knows only its own VM and the addresses of some seeds.
func NewFleet(self bbgossip.Member, seeds []string, now func() time.Duration, conns *Conns) *Fleet {
	return &Fleet{
		Now:        now,
		Conns:      conns,
		Log:        func(string, bool, string) {},
		LogLeader:  func(string, int) {},
		table:      bbgossip.NewTable(self),
		seeds:      seeds,
		busy:       make(map[string]bool),
		introduced: make(map[string]int64),
		reached:    make(map[string]bool),
		leader:     self,
		changed:    make(chan struct{}),
	}
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

// Leader returns the VM that coordinates shared work, and a channel that is closed when
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

// Answer takes in the exchange of another VM and returns this VM's.
func (f *Fleet) Answer(e Exchange) Exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	known := f.table.Heard(now, e.From)
	f.table.Merge(now, e.Members, false)
	answer := Exchange{
		From:    f.table.Self(),
		Digest:  f.table.Digest(now),
		Vouches: f.leader.Name == f.table.Self().Name,
		Unknown: !known,
	}
	if e.KnownBoot == answer.From.Boot {
		answer.From = answer.From.Brief()
	}
	if e.Digest != answer.Digest {
		answer.Members = f.table.Present(now)
	}
	f.look()
	return answer
}

// Local runs the coordinator of this VM.
type Local func(ctx context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error

// Order asks the coordinator for an engine, and another one when the first is lost or
// leaves. Results that were made so far go along. Local is used when this VM coordinates.
func (f *Fleet) Order(ctx context.Context, o bbjob.Order, local Local) (bbjob.Verdict, bbgossip.Member, error) {
	started := f.Now()
	objective, limit := o.Objective, o.Limit
	var verdict bbjob.Verdict
	pass := func(u bbjob.Update) error {
		o.Made = u.Apply(o.Made)
		if u.Verdict != nil {
			verdict = *u.Verdict
		}
		return nil
	}
	if err := f.settle(ctx); err != nil {
		return verdict, f.self(), err
	}
	for try := 0; ; try++ {
		leader, changed := f.Leader()
		o.Objective, o.Limit = objective-(f.Now()-started), limit-(f.Now()-started)
		if f.IsSelf(leader) || try >= maxOrderTries {
			leader = f.self()
			err := local(ctx, o, pass)
			if !verdict.Elsewhere || err != nil {
				return verdict, leader, err
			}
		} else {
			err := f.orderFrom(ctx, leader, changed, o, pass)
			if ctx.Err() != nil || (err == nil && !verdict.Elsewhere) {
				return verdict, leader, err
			}
		}
		if verdict.Elsewhere {
			f.left(leader)
		}
		verdict = bbjob.Verdict{}
		select {
		case <-ctx.Done():
			return verdict, leader, ctx.Err()
		case <-changed:
		case <-time.After(orderPause):
		}
	}
}

const (
	// maxOrderTries is the number of failed calls to coordinators after which a VM decides
	// by itself.
	maxOrderTries = 6
	// orderPause is the pause after a failed call to a coordinator.
	orderPause = 60 * time.Millisecond
	// startTime is how long a VM that has started may not have heard of all others: some rounds
	// of exchange, after the last of VMs that start together.
	startTime = 2 * time.Second
	// quietTime is how long its view of the coordinator has to stay the same before it counts:
	// longer than a round.
	quietTime = 400 * time.Millisecond
)

// settle waits until this VM's view of the coordinator counts.
func (f *Fleet) settle(ctx context.Context) error {
	for wait := f.unsettled(); wait > 0; wait = f.unsettled() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
	return nil
}

// unsettled returns how long to wait before this VM's view of the coordinator counts. VMs that
// all start at once hear of each other one by one; were each to coordinate until then, they would
// fill the stage workers with each other's calls.
func (f *Fleet) unsettled() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if now >= startTime {
		return 0
	}
	if len(f.table.Reachable(now)) == 0 && f.hasSeeds() {
		return startTime - now
	}
	return min(startTime-now, f.ledSince+quietTime-now)
}

// hasSeeds tells whether other VMs may be found; the caller holds the lock.
func (f *Fleet) hasSeeds() bool {
	return slices.ContainsFunc(f.seeds, func(s string) bool { return s != f.table.Self().Peer })
}

// left notes that a coordinator hands its orders back because it is leaving.
func (f *Fleet) left(m bbgossip.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Left(m.Name)
	f.look()
}

// orderFrom asks one coordinator, until it answers or can't be reached. One that is leaving
// or no longer the oldest finishes what it has.
func (f *Fleet) orderFrom(ctx context.Context, leader bbgossip.Member, changed <-chan struct{}, o bbjob.Order, pass func(u bbjob.Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for {
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
			var reachable bool
			if reachable, changed = f.stillReaches(leader); !reachable {
				cancel()
				return
			}
		}
	}()
	return f.Conns.Order(ctx, leader.Peer, o, pass)
}

// settleTime is how long after a change of the coordinator calls of the former one may be
// in progress: the longest call on the users' sheets, and a wait behind another.
const settleTime = 900 * time.Millisecond

// LeadsAlone tells whether this VM coordinates and has done so for a while.
func (f *Fleet) LeadsAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	return f.leader.Name == f.table.Self().Name && now-f.ledSince > settleTime && f.table.HasMajority(now)
}

// stillReaches tells whether a process of another VM is reachable, and returns the channel
// that is closed when that may have changed.
func (f *Fleet) stillReaches(m bbgossip.Member) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached[m.Name] && f.table.Boot(m.Name) == m.Boot, f.changed
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
		if f.busy[address] {
			continue
		}
		f.busy[address] = true
		go f.exchange(ctx, address)
	}
	f.look()
}

// targets returns the addresses for one round: all members of a small fleet, else now and
// then the coordinator and one other, and seeds that no known member has.
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
		other := addresses[rand.IntN(len(addresses))]
		addresses = nil
		if f.rounds%starEvery == 0 {
			addresses = []string{other}
			if f.leader.Name != f.table.Self().Name && f.leader.Peer != other {
				addresses = append(addresses, f.leader.Peer)
			}
		}
	}
	for _, seed := range f.seeds {
		if !taken[seed] && (len(known) == 0 || f.rounds%seedEvery == 0) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// exchange makes one exchange with an address.
func (f *Fleet) exchange(ctx context.Context, address string) {
	question, name := f.question(address)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := f.Conns.Exchange(ctx, address, question)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, address)
	now := f.Now()
	if err == nil {
		if f.table.Answered(now, answer.From) && !answer.Unknown {
			f.introduced[answer.From.Name] = answer.From.Boot
		} else {
			delete(f.introduced, name)
		}
		vouched := answer.Vouches && answer.From.Name == f.leader.Name
		if vouched && answer.Digest == f.table.Digest(now) {
			f.table.Vouch(now)
		}
		f.table.Merge(now, answer.Members, vouched)
		f.look()
		return
	}
	f.table.Failed(now, name)
	if status.Code(errors.UnwrapAll(err)) == codes.Unavailable && name != "" {
		f.table.Lost(name)
	}
	go f.Conns.Reset(address)
	f.look()
}

// question returns what this VM tells the VM at an address, and that VM's name if known.
func (f *Fleet) question(address string) (Exchange, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := Exchange{
		From:   f.table.Self(),
		Digest: f.table.Digest(f.Now()),
	}
	for _, m := range f.table.Known() {
		if m.Peer != address {
			continue
		}
		q.KnownBoot = m.Boot
		if f.introduced[m.Name] == m.Boot {
			q.From = q.From.Brief()
		}
		return q, m.Name
	}
	return q, ""
}

// look notes which VMs are reachable now and which one coordinates.
func (f *Fleet) look() {
	now := f.Now()
	present := make(map[string]bool)
	for _, m := range f.table.Reachable(now) {
		present[m.Name] = true
		if !f.reached[m.Name] {
			f.reached[m.Name] = true
			f.Log(m.Name, true, "answers")
		}
	}
	lost := false
	for name := range f.reached {
		if !present[name] {
			delete(f.reached, name)
			lost = true
			f.Log(name, false, "silent")
		}
	}
	leader := f.table.Leader(now)
	if lost || leader.Name != f.leader.Name || leader.Boot != f.leader.Boot {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	if leader.Name != f.leader.Name {
		f.ledSince = now
		f.LogLeader(leader.Name, len(present))
	}
	f.leader = leader
}
