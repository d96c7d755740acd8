package bbprovenance

import (
	"cmp"
	"math"
	"slices"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
)

// Placement decides which VMs of a fleet are to hold what has a hash. VMs with the same view of the fleet have the same
// placement.
type Placement struct {
	// zones are the VMs of each failure domain.
	zones [][]candidate
}

// candidate is a VM with the hash of its name.
type candidate struct {
	member bbgossip.Member
	hash   uint64
}

// NewPlacement returns the placement among some VMs.
func NewPlacement(members []bbgossip.Member) Placement {
	var p Placement
	zones := make(map[string]int)
	for _, m := range members {
		i, ok := zones[m.Zone]
		if !ok {
			i = len(p.zones)
			zones[m.Zone] = i
			p.zones = append(p.zones, nil)
		}
		p.zones[i] = append(p.zones[i], candidate{
			member: m,
			hash:   bbhash.Name(m.Name),
		})
	}
	return p
}

// First returns the first n VMs in the order of their claim to hold what has a hash, all if there are fewer. They are
// ordered by rendezvous score: first the best VM of each failure domain, then the second best of each, and so on. A VM
// that joins or is lost shifts the others by few places, and the first ones are in as many failure domains as possible.
func (p Placement) First(hash uint64, n int) []bbgossip.Member {
	type ranked struct {
		member *bbgossip.Member
		score  uint64
	}
	first := make([]bbgossip.Member, 0, n)
	// bounds are the scores of the VMs that were chosen last in each failure domain. The scores of different names are
	// taken to differ.
	bounds := make([]uint64, len(p.zones))
	for i := range bounds {
		bounds[i] = math.MaxUint64
	}
	round := make([]ranked, 0, len(p.zones))
	for len(first) < n {
		round = round[:0]
		for i, zone := range p.zones {
			var best ranked
			for k := range zone {
				if score := bbhash.Score(zone[k].hash, hash); score < bounds[i] && (best.member == nil || score > best.score) {
					best = ranked{
						member: &zone[k].member,
						score:  score,
					}
				}
			}
			if best.member != nil {
				bounds[i] = best.score
				round = append(round, best)
			}
		}
		if len(round) == 0 {
			return first
		}
		slices.SortFunc(round, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
		for _, r := range round[:min(len(round), n-len(first))] {
			first = append(first, *r.member)
		}
	}
	return first
}

// Others returns the first n VMs other than self, which has its place in the order.
func (p Placement) Others(self string, hash uint64, n int) []bbgossip.Member {
	list := slices.DeleteFunc(p.First(hash, n+1), func(m bbgossip.Member) bool { return m.Name == self })
	return list[:min(n, len(list))]
}

// Sources returns the VMs other than self that may hold copies of what has a hash: the first n of those that stay, and
// the first n of those that are leaving, which held copies before and may not have passed on all of them yet.
func Sources(members []bbgossip.Member, self string, hash uint64, n int) []bbgossip.Member {
	stay, leave := partition(members)
	return append(NewPlacement(stay).Others(self, hash, n), NewPlacement(leave).Others(self, hash, n)...)
}

// Staying returns the VMs among which records are placed: those that are not leaving or, if all are, all.
func Staying(members []bbgossip.Member) []bbgossip.Member {
	if !slices.ContainsFunc(members, isLeaving) {
		return members
	}
	if stay, _ := partition(members); len(stay) > 0 {
		return stay
	}
	return members
}

// partition returns the VMs that stay and those that are leaving.
func partition(members []bbgossip.Member) (stay, leave []bbgossip.Member) {
	stay = make([]bbgossip.Member, 0, len(members))
	for _, m := range members {
		if isLeaving(m) {
			leave = append(leave, m)
		} else {
			stay = append(stay, m)
		}
	}
	return stay, leave
}

func isLeaving(m bbgossip.Member) bool {
	return m.Leaving
}
