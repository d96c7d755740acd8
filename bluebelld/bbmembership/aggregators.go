package bbmembership

import (
	"cmp"
	"slices"
	"strings"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
)

const (
	// aggregatorCount is the number of VMs that aggregate the observations of one item.
	aggregatorCount = 2
	// aggregatorPool is the number of VMs among which they are chosen: the first ones by the priority
	// that also decides on coordinators, so that the other VMs of a large fleet talk to few.
	aggregatorPool = 8
)

// Aggregators returns the other VMs that aggregate the fleet's observations of the item with a hash.
// They are chosen by rendezvous hashing, so VMs with the same view of the fleet agree on them.
func (f *Fleet) Aggregators(hash uint64) []bbgossip.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.table.Self()
	all := slices.DeleteFunc(append(f.table.Present(f.Now()), self), func(m bbgossip.Member) bool { return m.Leaving })
	slices.SortFunc(all, func(a, b bbgossip.Member) int {
		if bbgossip.HasPriority(a, b) {
			return -1
		}
		return 1
	})
	all = all[:min(aggregatorPool, len(all))]
	rank := func(m bbgossip.Member) uint64 { return bbhash.Score(bbhash.Name(m.Name), hash) }
	slices.SortFunc(all, func(a, b bbgossip.Member) int { return cmp.Compare(rank(b), rank(a)) })
	return slices.DeleteFunc(all[:min(aggregatorCount, len(all))], func(m bbgossip.Member) bool { return m.Name == self.Name })
}

// Relays returns the other VMs to which this one sends a message that is for all: in a small fleet the
// VM that originates it sends it to all others; in a large one that VM sends it to the hubs, and each
// hub to the other hubs and to the VMs of the failure domains that it is the hub of. Relayed is true
// for a message that another VM has passed on.
func (f *Fleet) Relays(relayed bool) []bbgossip.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	isSmall := f.table.Size() <= meshSize
	if isSmall && relayed {
		return nil
	}
	if isSmall {
		return f.table.Reachable(f.Now())
	}
	self := f.table.Self().Name
	isHub := f.hubs.CoordinatesAny(self)
	if relayed && !isHub {
		return nil
	}
	relays := slices.DeleteFunc(f.hubs.VMs(), func(m bbgossip.Member) bool { return m.Name == self })
	if !isHub {
		return relays
	}
	f.table.EachReachable(f.Now(), func(m *bbgossip.Member) {
		if f.hubs.Coordinates(self, m.Zone) {
			relays = append(relays, *m)
		}
	})
	slices.SortFunc(relays, func(a, b bbgossip.Member) int { return strings.Compare(a.Name, b.Name) })
	return slices.CompactFunc(relays, func(a, b bbgossip.Member) bool { return a.Name == b.Name })
}
