package bbprovenance

import (
	"cmp"
	"slices"
	"strings"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
)

// ranked is a VM with its rendezvous score and its place among the VMs of its failure domain, 0 for the best.
type ranked struct {
	member bbgossip.Member
	score  uint64
	place  int
}

// Order sorts VMs by their claim to hold what has a hash: by rendezvous score, first the best VM of each failure
// domain, then the second best of each, and so on. A VM that joins or is lost shifts the others by few places, and the
// first ones are in as many failure domains as possible.
func Order(members []bbgossip.Member, hash uint64) []bbgossip.Member {
	list := make([]ranked, 0, len(members))
	for _, m := range members {
		list = append(list, ranked{
			member: m,
			score:  bbhash.Score(bbhash.Name(m.Name), hash),
		})
	}
	byScore := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.member.Name, b.member.Name))
	}
	slices.SortFunc(list, byScore)
	places := make(map[string]int)
	for i := range list {
		zone := list[i].member.Zone
		list[i].place = places[zone]
		places[zone]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int { return cmp.Compare(a.place, b.place) })
	ordered := make([]bbgossip.Member, 0, len(list))
	for _, r := range list {
		ordered = append(ordered, r.member)
	}
	return ordered
}
