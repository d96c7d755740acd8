package bbmembership

import (
	"context"
	"slices"
	"time"

	"bluebellhall/core/bbcell"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

// LocalCoordinator places an order at the coordinator of this VM.
type LocalCoordinator func(ctx context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error

// Order requests an engine from the coordinator of this VM's cell, and from another one when the first
// is lost, is leaving or names another cell. The results received so far are sent along. Local is
// called when this VM coordinates, or when a VM of a small fleet has failed to reach the coordinator
// repeatedly. An order that is still undecided when it can no longer be served in time is refused.
func (f *Fleet) Order(ctx context.Context, o bbjob.Order, local LocalCoordinator) (bbjob.Verdict, bbgossip.Member, error) {
	decide, cancel := context.WithTimeout(ctx, max(o.Limit-decisionMargin, 0))
	defer cancel()
	verdict, coordinator, err := f.order(decide, o, local)
	if ctx.Err() == nil && decide.Err() != nil {
		return undecided(o, "deadline"), coordinator, nil
	}
	return verdict, coordinator, err
}

// undecided returns the refusal of an order that no coordinator decided.
func undecided(o bbjob.Order, reason string) bbjob.Verdict {
	return bbjob.Verdict{
		Refusal: &bbjob.Refusal{
			ID:         o.ID,
			Reason:     reason,
			RetryAfter: undecidedRetryAfter,
		},
	}
}

func (f *Fleet) order(ctx context.Context, o bbjob.Order, local LocalCoordinator) (bbjob.Verdict, bbgossip.Member, error) {
	started := f.Now()
	objective, limit := o.Objective, o.Limit
	var verdict bbjob.Verdict
	// sent is when the order was last sent. Its transit counts as age of the grant, since the clocks of two VMs can't
	// be compared.
	sent := started
	connected := func() { sent = f.Now() }
	pass := func(u bbjob.Update) error {
		o.Results = u.Apply(o.Results)
		if u.Verdict != nil {
			verdict = *u.Verdict
			if verdict.Grant != nil {
				verdict.Grant.GrantedAt = sent + verdict.Grant.Waited
			}
		}
		return nil
	}
	if err := f.awaitStableView(ctx); err != nil {
		return verdict, f.self(), err
	}
	cell := ""
	for try := 0; ; try++ {
		coordinator, changed := f.coordinator(o, cell)
		o.Objective, o.Limit = objective-(f.Now()-started), limit-(f.Now()-started)
		exhausted := try >= maxOrderTries
		switch {
		case exhausted && f.isLarge():
			return undecided(o, "noCoordinator"), coordinator, nil
		case exhausted || f.IsSelf(coordinator):
			coordinator = f.self()
			connected()
			err := local(ctx, o, pass)
			if !verdict.Elsewhere || err != nil {
				return verdict, coordinator, err
			}
		default:
			err := f.orderFrom(ctx, coordinator, changed, o, connected, pass)
			if ctx.Err() != nil || (err == nil && !verdict.Elsewhere) {
				return verdict, coordinator, err
			}
			if err != nil {
				f.probe(ctx, coordinator)
				verdict.Cell = f.otherCell(o, coordinator)
			}
		}
		cell = verdict.Cell
		if cell != "" && !exhausted {
			o.Spilled = true
			verdict = bbjob.Verdict{}
			if try == 0 {
				continue
			}
		}
		if verdict.Elsewhere {
			f.recordLeaving(coordinator)
		}
		verdict = bbjob.Verdict{}
		select {
		case <-ctx.Done():
			return verdict, coordinator, ctx.Err()
		case <-changed:
		case <-time.After(orderRetryDelay):
		}
	}
}

// coordinator returns the VM to which an order goes: the named one if it is reachable, since the VM
// that named it may know of a change of the cells before this one does, else the coordinator of the
// order's home cell. The channel is closed when that may have changed.
func (f *Fleet) coordinator(o bbjob.Order, name string) (bbgossip.Member, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	if m, ok := f.table.Member(name); ok && f.reached[name] && m.Ready && !m.Leaving && f.mayHaveVersion(o, name) {
		return m, f.changed
	}
	home := f.table.Self().Zone
	if f.split.ByZone {
		home = bbcell.Home(o, f.regions, func(zone string) bool {
			return f.allows(o, zone) && f.serves(o, zone)
		})
	}
	m, _ := f.cells.Of(home)
	return m, f.changed
}

// serves reports whether a failure domain has endpoints for all services that an order needs.
func (f *Fleet) serves(o bbjob.Order, zone string) bool {
	for _, s := range o.Stages {
		if s.Pieces > 0 && !f.Serves(s.Service, zone) {
			return false
		}
	}
	return f.Serves(o.Service, zone) && f.hasVersion(o, zone)
}

// hasVersion reports whether a failure domain has an engine of the version that an order needs, if it needs one.
func (f *Fleet) hasVersion(o bbjob.Order, zone string) bool {
	return o.Version == "" || f.ServesVersion(o.Service, o.Version, zone)
}

// mayHaveVersion reports whether the cell of a coordinator may have an engine of the version that an order needs. That
// of a VM which coordinates nothing as far as this VM knows isn't known.
func (f *Fleet) mayHaveVersion(o bbjob.Order, coordinator string) bool {
	if o.Version == "" {
		return true
	}
	known := false
	for zone, m := range f.cells.Zones {
		if m.Name != coordinator {
			continue
		}
		known = true
		if f.allows(o, zone) && f.hasVersion(o, zone) {
			return true
		}
	}
	return !known
}

// allows reports whether an order may be served in a failure domain.
func (f *Fleet) allows(o bbjob.Order, zone string) bool {
	return len(o.Regions) == 0 || slices.Contains(o.Regions, f.regions[zone])
}

// otherCell returns the name of a coordinator to use instead of an unreachable one, empty if there is
// none: one where the order may be served, in the same region if possible.
func (f *Fleet) otherCell(o bbjob.Order, lost bbgossip.Member) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := slices.DeleteFunc(f.cells.VMs(), func(m bbgossip.Member) bool {
		return m.Name == lost.Name || !f.allows(o, m.Zone) || !f.mayHaveVersion(o, m.Name)
	})
	others = bbcell.PreferNear(others, func(m bbgossip.Member) bool { return m.Region == lost.Region })
	if len(others) == 0 {
		return ""
	}
	return others[f.Pick(len(others))].Name
}

// isLarge reports whether the fleet is too large for all VMs to exchange with each other. In such a
// fleet many VMs may reach no coordinator, so none of them decides by itself.
func (f *Fleet) isLarge() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Size() > meshSize
}

// probe exchanges with a coordinator that has not answered lately, so that its loss is noticed before
// the next round.
func (f *Fleet) probe(ctx context.Context, m bbgossip.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.AnsweredWithin(f.Now(), m.Name, probeAfter) {
		return
	}
	f.startExchange(context.WithoutCancel(ctx), m.Peer)
}

const (
	// maxOrderTries is the number of failed calls to coordinators after which a VM of a small
	// fleet decides by itself, and one of a large fleet refuses.
	maxOrderTries = 6
	// decisionMargin is how long before its limit an undecided order is refused: an engine's usual
	// time to first token and the transmission of the answer to the caller.
	decisionMargin = 150 * time.Millisecond
	// probeAfter is how long an order waits before its coordinator is probed: longer than most orders
	// take to be decided.
	probeAfter = 600 * time.Millisecond
	// undecidedRetryAfter is the Retry-After of an undecided order: by then the next coordinator
	// should have been found.
	undecidedRetryAfter = 500 * time.Millisecond
	// orderRetryDelay is the pause after a failed call to a coordinator.
	orderRetryDelay = 60 * time.Millisecond
)

// recordLeaving records that a coordinator is leaving, since it has sent an order elsewhere.
func (f *Fleet) recordLeaving(m bbgossip.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.MarkLeaving(m.Name)
	f.refresh()
}

// orderFrom sends an order to one coordinator, until that answers or is no longer reachable. One that
// is leaving or has been replaced as coordinator finishes the orders that it has.
func (f *Fleet) orderFrom(ctx context.Context, leader bbgossip.Member, changed <-chan struct{}, o bbjob.Order, connected func(), pass func(u bbjob.Update) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		probeTimer := time.NewTimer(probeAfter)
		defer probeTimer.Stop()
		for {
			select {
			case <-changed:
			case <-probeTimer.C:
				f.probe(ctx, leader)
				continue
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
	return f.PlaceOrder(ctx, leader.Peer, o, connected, pass)
}

// Heard reports whether a VM is reachable, or unknown: one that has just started may send orders before it is known.
func (f *Fleet) Heard(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.table.Member(name)
	return !known || f.reached[name]
}

// stillReaches reports whether the given process of another VM is reachable, and returns the channel
// that is closed when that may have changed.
func (f *Fleet) stillReaches(m bbgossip.Member) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached[m.Name] && f.table.Boot(m.Name) == m.Boot, f.changed
}
