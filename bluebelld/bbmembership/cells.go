package bbmembership

import (
	"context"
	"slices"
	"time"

	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

const (
	// startTime is how long a VM that has started may not have heard of all others: some rounds
	// of exchange, after the last of VMs that start together.
	startupPeriod = 2 * time.Second
	// quietTime is how long its view of the coordinator, or in a large fleet of all VMs, has to
	// stay the same before it counts: longer than a round.
	stablePeriod = 400 * time.Millisecond
	// blindFor is how long a coordinator may be without an answer of any other VM before it no
	// longer counts as one that would know of another coordinator: four rounds of a hub.
	isolationTimeout = 1500 * time.Millisecond
)

// Coordinates tells whether this VM coordinates a cell, and which VM coordinates that of a
// failure domain.
func (f *Fleet) Coordinates(zone string) (bool, bbgossip.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	other, _ := f.cells.Of(zone)
	return f.cells.CoordinatesAny(f.table.Self().Name), other
}

// Cells tells whether the fleet has several cells and which failure domains this VM coordinates.
// Version changes when they do.
func (f *Fleet) Cells() (split bool, mine func(zone string) bool, version time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cells, name := f.cells, f.table.Self().Name
	return f.split.ByZone, func(zone string) bool { return cells.Coordinates(name, zone) }, f.ownCellsSince
}

// Coordinators returns the number of VMs that coordinate cells.
func (f *Fleet) Coordinators() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, len(f.cells.VMs()))
}

// smallFleet is the number of other VMs up to which each reads the platform's store itself: the
// calls are few then, and a reader that is turned away costs time.
const maxDirectReaders = 12

// Readers returns the VMs that read the platform's store for all: the hubs, the coordinators and
// a VM in each region. It is empty when each VM reads it.
func (f *Fleet) Readers() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	if len(f.reached) <= maxDirectReaders {
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
		if b, ok := best[m.Region]; !m.Leaving && (!ok || bbgossip.HasPriority(*m, b)) {
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
func (f *Fleet) SetLoadEstimate(o bbcell.LoadEstimate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadEstimate = o
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
	return f.cellEstimates.Spill(f.Now(), o, own, others, allowed)
}

// look notes which VMs are reachable now and which ones coordinate.
func (f *Fleet) refresh() {
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
	if f.split.ByZone && (now-f.answeredAt > isolationTimeout || f.contested(now)) {
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
		f.recordLost(reachable)
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
	f.table.EachUnreachable(now, func(m *bbgossip.Member) {
		before := m.Zone != self.Zone || bbgossip.HasPriority(*m, self)
		contested = contested || (m.Ready && !m.Leaving && before && f.cells.Coordinates(self.Name, m.Zone))
	})
	return contested
}

// forgetLost notes which VMs are no longer reachable.
func (f *Fleet) recordLost(reachable []bbgossip.Member) {
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
		if cells.Coordinates(self.Name, zone) != f.cells.Coordinates(self.Name, zone) {
			f.ownCellsSince = now
		}
	}
	f.cells = cells
	f.cellEstimates.Retain(cells.VMs())
	leader, _ := cells.Of(self.Zone)
	if leader.Name != f.leader.Name {
		f.leaderSince = now
		f.LogLeader(leader.Name, len(reachable))
	}
	f.leader = leader
	return changed
}

// settle waits until this VM's view of the coordinator counts.
func (f *Fleet) awaitStableView(ctx context.Context) error {
	for wait := f.stableViewWait(); wait > 0; wait = f.stableViewWait() {
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
func (f *Fleet) stableViewWait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if now >= startupPeriod {
		return 0
	}
	if len(f.table.Reachable(now)) == 0 && f.hasSeeds() {
		return startupPeriod - now
	}
	since := f.leaderSince
	if f.table.Size() > meshSize {
		// The VMs of a large fleet are learned of a part at a time.
		since = f.viewSince
	}
	return min(startupPeriod-now, since+stablePeriod-now)
}

// hasSeeds tells whether other VMs may be found; the caller holds the lock.
func (f *Fleet) hasSeeds() bool {
	return slices.ContainsFunc(f.seeds, func(s string) bool { return s != f.table.Self().Peer })
}

// settleTime is how long after a change of the coordinator calls of the former one may be
// in progress: the longest call on the users' sheets, and a wait behind another.
const formerCallsTime = 900 * time.Millisecond

// LeadsAlone tells whether this VM coordinates and has done so for a while.
func (f *Fleet) IsSoleCoordinator() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	return f.cells.CoordinatesAny(f.table.Self().Name) && now-f.ownCellsSince > formerCallsTime && f.table.HasMajority(now)
}

// takeoverTime is how long after a change of the cells that this VM coordinates another one may
// still believe that it coordinates them and reaches most VMs: as long as hubs' word counts.
const takeoverTime = bbgossip.HubSeenTTL

// HasMajority tells whether this VM reaches more than half of the VMs, and as one of several
// coordinators has been the only one of its cells for long enough that no other one still works
// for them.
func (f *Fleet) HasMajority() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if f.split.ByZone && now-max(f.ownCellsSince, f.contestedAt) < takeoverTime {
		return false
	}
	return f.table.HasMajority(now)
}
