package bbmembership

import "bluebellhall/core/bbgossip"

// Members returns the VMs that run as this one sees them, this one included.
func (f *Fleet) Members() []bbgossip.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(f.table.Present(f.Now()), f.table.Self())
}
