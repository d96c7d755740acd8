package bbmembership

import (
	"slices"
	"time"

	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

// isolationTimeout is how long a coordinator may go without an answer from any other VM before
// it has to assume that it would not learn of another coordinator: four rounds of a hub.
const isolationTimeout = 1500 * time.Millisecond

// Coordinates reports whether this VM coordinates a cell, and returns the VM that coordinates the
// cell of a failure domain.
func (f *Fleet) Coordinates(zone string) (bool, bbgossip.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	other, _ := f.cells.Of(zone)
	return f.cells.CoordinatesAny(f.table.Self().Name), other
}

// HomeCoordinator returns the VM that coordinates the cell that should process an order.
func (f *Fleet) HomeCoordinator(o bbjob.Order) bbgossip.Member {
	m, _ := f.coordinator(o, "")
	return m
}

// Cells reports whether the fleet has several cells and which failure domains this VM coordinates.
// Version changes whenever these failure domains change.
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

// maxDirectReaders is the number of other VMs up to which each VM reads the platform's store itself:
// the number of calls is small then, and a reader whose calls are refused is delayed.
const maxDirectReaders = 12

// Readers returns the VMs that read the platform's store on behalf of all: the hubs and the
// coordinators, and in a fleet of one cell a VM in each region. It is empty when each VM reads the
// store itself.
func (f *Fleet) Readers() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.readers(false)
}

// ReadersAtStart returns the VMs that read the platform's store. While this VM has reached others but may not know
// all yet, they are those that would read it for a large fleet, since many more VMs may have started; otherwise
// they are those that Readers returns.
func (f *Fleet) ReadersAtStart() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	now := f.Now()
	discovering := now < startupPeriod && len(f.reached) > 0 && f.viewWait(now) > 0
	return f.readers(discovering)
}

// readers is Readers for a caller that holds the lock and may have the fleet count as a large one.
func (f *Fleet) readers(large bool) map[string]bool {
	if len(f.reached) <= maxDirectReaders && !large {
		return nil
	}
	readers := make(map[string]bool)
	for _, m := range append(f.hubs.VMs(), f.cells.VMs()...) {
		// Each VM counts as a coordinator in its own view until another one is ready.
		if m.Ready || f.hubs.CoordinatesAny(m.Name) {
			readers[m.Name] = true
		}
	}
	if f.split.ByZone {
		return readers
	}
	best := make(map[string]bbgossip.Member)
	consider := func(m *bbgossip.Member) {
		if b, ok := best[m.Region]; !m.Leaving && (!ok || bbgossip.HasPriority(*m, b)) {
			best[m.Region] = *m
		}
	}
	self := f.table.Self()
	consider(&self)
	f.table.EachReachable(f.Now(), consider)
	for _, m := range best {
		readers[m.Name] = true
	}
	return readers
}

// CatalogRelay returns the VM that passes configurations on in this failure domain: the first one there by the priority
// that also decides on coordinators. It returns false in a fleet in which each VM reads the store itself.
func (f *Fleet) CatalogRelay() (bbgossip.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	if len(f.reached) <= maxDirectReaders {
		return bbgossip.Member{}, false
	}
	relay := f.table.Self()
	f.table.EachReachable(f.Now(), func(m *bbgossip.Member) {
		if m.Zone == relay.Zone && m.Ready && !m.Leaving && bbgossip.HasPriority(*m, relay) {
			relay = *m
		}
	})
	return relay, true
}

// Hub returns the VM from which this one learns which other VMs run.
func (f *Fleet) Hub() bbgossip.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hub()
}

// SetLoadEstimate changes the load estimate that this VM sends to other coordinators.
func (f *Fleet) SetLoadEstimate(o bbcell.LoadEstimate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadEstimate = o
}

// Spill returns the coordinator of another cell that should get an order instead of this VM's cell;
// see [bbcell.CellEstimates.Spill]. An order that needs a version goes only to cells with an engine of it.
func (f *Fleet) Spill(o bbjob.Order, own time.Duration, allowed func(zone string) bool) (name string, expected time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.split.ByZone {
		return "", 0
	}
	others := slices.DeleteFunc(f.cells.VMs(), func(m bbgossip.Member) bool {
		return m.Name == f.table.Self().Name || !f.mayHaveVersion(o, m.Name)
	})
	return f.cellEstimates.Spill(f.Now(), o, own, others, allowed)
}

// refresh updates the reachable VMs, the coordinators and the hubs from the table, and logs VMs that
// became reachable or unreachable. The caller holds the lock.
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
	if f.split.ByZone && now-f.answeredAt > isolationTimeout || f.contested(now, f.table.Size() <= meshSize) {
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
	elected := f.elect(now, reachable)
	if f.ownCellsSince == now && f.contested(now, false) {
		f.contestedAt = now
	}
	if elected || lost {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// contested reports whether a VM that this one doesn't reach, though it still counts as running here or a
// hub reports it as running, would coordinate a cell of this VM. Two VMs that fail to reach only each other
// both have a majority. If afterFailure is true, only VMs count that gave a sign of life since a call to them last
// failed: in a fleet in which all VMs call each other, the others give one in each round.
func (f *Fleet) contested(now time.Duration, afterFailure bool) bool {
	self := f.table.Self()
	contested := false
	f.table.EachUnreachable(now, func(m *bbgossip.Member) {
		if afterFailure && !f.table.SeenSinceFailure(m.Name) {
			return
		}
		hasPriority := m.Zone != self.Zone || bbgossip.HasPriority(*m, self)
		contested = contested || (m.Ready && !m.Leaving && hasPriority && f.cells.Coordinates(self.Name, m.Zone))
	})
	return contested
}

// recordLost removes and logs the VMs that are no longer reachable.
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

// elect recomputes the coordinators and the hubs. It reports whether a coordinator has changed.
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
	if leader.Name != f.leader.Name || leader.Boot != f.leader.Boot || leader.Ready != f.leader.Ready {
		f.resetAgreement(now)
	}
	f.leader = leader
	if leader.Ready && f.readyKnownAt == 0 {
		f.readyKnownAt = now
	}
	return changed
}

// formerCallsTime is how long after a change of the coordinator calls of the former one may still be
// in progress: the longest call time in the deployment specifications, and a wait behind another call.
const formerCallsTime = 900 * time.Millisecond

// IsSoleCoordinator reports whether this VM is a coordinator that reaches a majority, and its cells
// have stayed the same for so long that no calls of a former coordinator are in progress.
func (f *Fleet) IsSoleCoordinator() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	return f.cells.CoordinatesAny(f.table.Self().Name) && now-f.ownCellsSince > formerCallsTime && f.table.HasMajority(now)
}

// takeoverTime is how long after a change of the cells that this VM coordinates another VM may still
// believe that it coordinates them and reaches most VMs: the validity of what hubs report.
const takeoverTime = bbgossip.HubSeenTTL

// LimitShare returns the share of the limits of endpoints in a failure domain that this VM may use: nothing
// unless it coordinates the failure domain, and half while it may not be the only one that does.
func (f *Fleet) LimitShare(zone string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if !f.cells.Coordinates(f.table.Self().Name, zone) {
		return 0
	}
	if now-max(f.ownCellsSince, f.contestedAt) < takeoverTime || !f.table.HasMajority(now) {
		return 0.5
	}
	return 1
}

// contestTime is how long the place of the coordinator counts as contested in a fleet of one cell, after a VM that contests
// it gave a sign of life, or after this VM took over from one that it can't reach: two rounds, in which a VM that still runs
// gives the next sign.
const contestTime = 2 * round

// unmetTime is how long a VM that has met none of the others that its seeds name expects that they run. Lost members count
// for as long.
const unmetTime = 60 * time.Second

// HasMajority reports whether this VM reaches more than half of the VMs and coordinates a cell whose place no other VM
// contests. In a fleet with several cells, it must also have been the uncontested coordinator of its cells for so long
// that no other VM still acts as their coordinator.
func (f *Fleet) HasMajority() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	switch {
	case !f.cells.CoordinatesAny(f.table.Self().Name):
		// What it was ordered as a coordinator, it grants beside its successor.
		return false
	case f.split.ByZone:
		if now-max(f.ownCellsSince, f.contestedAt) < takeoverTime {
			return false
		}
	case f.contestedAt > 0 && now-f.contestedAt < contestTime:
		return false
	case f.answeredAt == 0 && f.table.Size() == 1 && f.hasSeeds() && now-f.seedsSince < unmetTime:
		return false
	}
	return f.table.HasMajority(now)
}
