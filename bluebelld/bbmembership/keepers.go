package bbmembership

import (
	"cmp"
	"slices"
	"strings"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
)

const (
	// keepers is the number of VMs that gather what is known of one thing.
	aggregatorCount = 2
	// keeperPool is the number of VMs among which they are chosen: the first ones by the order in
	// which coordinators are, so that the others of a large fleet talk to few.
	aggregatorPool = 8
)

// Keepers returns the other VMs that gather what the fleet knows of the thing with a hash. VMs
// that see the same fleet agree on them.
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

// Relays returns the other VMs to which this one passes news on that is for all: in a small fleet
// each VM tells all others, in a large one the hubs, and each hub tells those that it vouches for.
// Relayed is true for news that another VM has passed on.
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
