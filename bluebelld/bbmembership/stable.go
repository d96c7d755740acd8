package bbmembership

import (
	"context"
	"slices"
	"time"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
)

const (
	// startupPeriod is the time after its start in which a VM may not know all others yet: some
	// exchange rounds after the last VM of a simultaneous start has started.
	startupPeriod = 2 * time.Second
	// stablePeriod is how long a new VM's view of the coordinator, or in a large fleet of all VMs,
	// has to stay unchanged before it is used although the others haven't confirmed it: longer than
	// an exchange round.
	stablePeriod = 400 * time.Millisecond
	// agreedPeriod is how long a new VM's view of the coordinator has to stay unchanged before it is
	// used when the others confirm it: longer than an exchange round at the start with its round trip,
	// so that the former coordinator has learned of the new one.
	agreedPeriod = startupRound + 30*time.Millisecond
)

// agreement is what other VMs have said of this VM's coordinator since it last changed or became ready.
type agreement struct {
	// since is when the coordinator changed or became ready.
	since time.Duration
	// namedBy are the VMs that named the coordinator in a request to this VM.
	namedBy map[string]bool
	// confirmed is true once this VM's hub has confirmed the coordinator.
	confirmed bool
	// reached is closed when the others confirm the coordinator for the first time, as isReached tells, or when
	// this agreement is replaced.
	reached   chan struct{}
	isReached bool
}

// newAgreement returns the agreement on a coordinator that has just changed or become ready.
func newAgreement(now time.Duration) agreement {
	return agreement{
		since:   now,
		namedBy: make(map[string]bool),
		reached: make(chan struct{}),
	}
}

// resetAgreement forgets what others have said of the coordinator, which has changed or become ready, and wakes the
// orders that wait for a stable view, since it may be stable sooner than they expect. The caller holds the lock.
func (f *Fleet) resetAgreement(now time.Duration) {
	if !f.agreement.isReached {
		close(f.agreement.reached)
	}
	f.agreement = newAgreement(now)
}

// namedCoordinator returns what this VM says of its coordinator in an exchange: the identity of its process, 0
// if it isn't ready. The caller holds the lock.
func (f *Fleet) namedCoordinator() uint64 {
	if !f.leader.Ready {
		return 0
	}
	return f.leader.Process()
}

// recordNaming records that the sender of a request named this VM's coordinator, or named another one. The
// caller holds the lock.
func (f *Fleet) recordNaming(request bbpeer.Exchange) {
	same := request.Coordinator != 0 && request.Coordinator == f.namedCoordinator()
	if !same {
		delete(f.agreement.namedBy, request.From.Name)
		return
	}
	f.agreement.namedBy[request.From.Name] = true
	f.wakeOrders()
}

// recordAgreement records that this VM's hub, whose view is stable, names the same coordinator. The caller holds
// the lock.
func (f *Fleet) recordAgreement(answer bbpeer.Exchange) {
	if !answer.FromHub || answer.From.Name != f.hub().Name || answer.Coordinator == 0 {
		return
	}
	f.agreement.confirmed = answer.Coordinator == f.namedCoordinator()
	f.wakeOrders()
}

// wakeOrders wakes the orders that wait for a stable view once the others confirm it; the caller holds the lock.
func (f *Fleet) wakeOrders() {
	if !f.agreement.isReached && f.agreed(f.Now()) {
		f.agreement.isReached = true
		close(f.agreement.reached)
	}
}

// agreed reports whether the other VMs confirm this VM's view of the coordinator. Only the VM that comes before
// all others that run, ready or not, is confirmed early: it is not about to be replaced. For a VM that
// coordinates itself, most VMs have to name it, and so has the one that would coordinate in its place, since that
// one may do so until then. For another VM its hub has to confirm it. The caller holds the lock.
func (f *Fleet) agreed(now time.Duration) bool {
	self := f.table.Self()
	if !f.leader.Ready || f.leader.Name != f.hub().Name {
		return false
	}
	if f.leader.Name != self.Name {
		return f.agreement.confirmed
	}
	var next bbgossip.Member
	named := 0
	f.table.EachReachable(now, func(m *bbgossip.Member) {
		if f.agreement.namedBy[m.Name] {
			named++
		}
		contends := m.Ready && !m.Leaving && (!f.split.ByZone || m.Zone == self.Zone)
		if contends && (next.Name == "" || bbgossip.HasPriority(*m, next)) {
			next = *m
		}
	})
	return 2*(named+1) > f.table.Size() && (next.Name == "" || f.agreement.namedBy[next.Name])
}

// awaitStableView waits until this VM's view of the coordinator is stable enough to be used.
func (f *Fleet) awaitStableView(ctx context.Context) error {
	for {
		wait, reached := f.nextViewCheck()
		if wait <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reached:
		case <-time.After(wait):
		}
	}
}

// nextViewCheck returns after what time the view is to be checked again, 0 or less if it is stable, and a channel
// that is closed when it is to be checked earlier.
func (f *Fleet) nextViewCheck() (time.Duration, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := f.viewWait(f.Now())
	if f.agreement.isReached {
		return wait, nil
	}
	return wait, f.agreement.reached
}

// ViewIsStable reports whether this VM's view of the coordinator is stable enough to be used.
func (f *Fleet) ViewIsStable() bool {
	return f.stableViewWait() <= 0
}

// stableViewWait returns how long to wait at most before this VM's view of the coordinator can be used. VMs
// that all start at once discover each other one by one; if each coordinated until then, their
// uncoordinated calls would overload the stage workers.
func (f *Fleet) stableViewWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.viewWait(f.Now())
}

// viewWait is stableViewWait at a time for a caller that holds the lock.
func (f *Fleet) viewWait(now time.Duration) time.Duration {
	end := f.startEnd()
	if now >= end {
		return 0
	}
	if alone := len(f.table.Reachable(now)) == 0; alone && now >= startupPeriod {
		return 0
	} else if alone && f.hasSeeds() {
		return end - now
	}
	since := f.leaderSince
	if f.table.Size() > meshSize {
		// A VM of a large fleet learns of the others in several exchanges.
		since = f.viewSince
	}
	wait := min(end-now, since+stablePeriod-now)
	if f.agreed(now) {
		wait = min(wait, f.agreement.since+agreedPeriod-now)
	}
	return wait
}

// startEnd returns the time from which this VM's view of the coordinator is used in any case. If no VM was ready in
// the startup period, because the platform's store didn't answer, it is that long after the first one was: VMs that
// become ready one after the other would each coordinate. The caller holds the lock.
func (f *Fleet) startEnd() time.Duration {
	if f.readyKnownAt > startupPeriod {
		return f.readyKnownAt + startupPeriod
	}
	return startupPeriod
}

// hasSeeds reports whether there are seeds other than this VM; the caller holds the lock.
func (f *Fleet) hasSeeds() bool {
	return slices.ContainsFunc(f.seeds, func(s string) bool { return s != f.table.Self().Peer })
}

// starting reports whether this VM makes its rounds of exchange at the shorter interval of the start: its view
// isn't stable yet, or it has started lately and others that start at the same time depend on it as their hub
// or coordinator. The caller holds the lock.
func (f *Fleet) starting(now time.Duration) bool {
	if now >= f.startEnd() {
		return false
	}
	return f.viewWait(now) > 0 || f.isHub() || f.cells.CoordinatesAny(f.table.Self().Name)
}

// untilNextRound returns the time until the next round of exchange.
func (f *Fleet) untilNextRound() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.starting(f.Now()) {
		return startupRound
	}
	return round
}
