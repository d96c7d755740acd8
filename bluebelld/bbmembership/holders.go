package bbmembership

import (
	"slices"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbprovenance"
)

// Holders returns the other VMs, at most n, that hold copies of what has a hash, in the order of
// [bbprovenance.Order]. This VM has its place in that order, so VMs with almost the same view of the fleet choose
// almost the same ones.
func (f *Fleet) Holders(hash uint64, n int) []bbgossip.Member {
	f.mu.Lock()
	self := f.table.Self()
	all := append(f.table.Present(f.Now()), self)
	f.mu.Unlock()
	all = slices.DeleteFunc(all, func(m bbgossip.Member) bool { return m.Leaving })
	others := slices.DeleteFunc(bbprovenance.Order(all, hash), func(m bbgossip.Member) bool { return m.Name == self.Name })
	return others[:min(n, len(others))]
}
