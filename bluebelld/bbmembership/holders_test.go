package bbmembership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"bluebellhall/core/bbgossip"
)

// zonedMembers returns VMs of a number of failure domains.
func zonedMembers(vms, zones int) []bbgossip.Member {
	var members []bbgossip.Member
	for i := range vms {
		m := testMember(fmt.Sprintf("m%02d", i), int64(i+1), 1)
		m.Zone = fmt.Sprint("z", i%zones)
		members = append(members, m)
	}
	return members
}

// holdersOf returns the names of the holders as one of the members sees them, which knows the others.
func holdersOf(t *testing.T, self bbgossip.Member, members []bbgossip.Member, hash uint64, n int) []string {
	t.Helper()
	f := newTestFleet(t, self)
	for _, m := range members {
		if m.Name != self.Name {
			f.table.RecordAnswer(0, m)
		}
	}
	return namesOf(f.Holders(hash, n))
}

func TestHolders(t *testing.T) {
	t.Run("in different failure domains, without this VM", func(t *testing.T) {
		members := zonedMembers(12, 6)
		for hash := range uint64(50) {
			names := holdersOf(t, members[0], members, hash, 5)
			zones := make(map[string]bool)
			for _, m := range members {
				if slices.Contains(names, m.Name) {
					zones[m.Zone] = true
				}
			}
			if len(names) != 5 || len(zones) != 5 || slices.Contains(names, "m00") {
				t.Errorf("holders of %d are %v, want five of as many failure domains", hash, names)
			}
		}
	})
	t.Run("not those that are leaving", func(t *testing.T) {
		members := zonedMembers(7, 3)
		members[1].Leaving = true
		if names := holdersOf(t, members[0], members, 1, 6); len(names) != 5 || slices.Contains(names, "m01") {
			t.Errorf("holders are %v, want the five others that stay", names)
		}
	})
	t.Run("none in a fleet of one", func(t *testing.T) {
		members := zonedMembers(1, 1)
		if names := holdersOf(t, members[0], members, 1, 6); len(names) != 0 {
			t.Errorf("holders are %v, want none", names)
		}
	})
}

// A VM that is asked for a stream finds a holder of a copy, though the VM that served the stream, another VM or a whole
// failure domain has been lost and others have joined since.
func TestViewsShareHolders(t *testing.T) {
	const copies, asked = 3, 6
	for _, zones := range []int{3, 6} {
		t.Run(fmt.Sprint(zones, " failure domains"), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(zones), 1))
			for range 400 {
				before := zonedMembers(7+random.IntN(66), zones)
				hash := random.Uint64()
				server := before[random.IntN(len(before))]
				holders := append(holdersOf(t, server, before, hash, copies), server.Name)
				lost := before[random.IntN(len(before))]
				if random.IntN(3) == 0 {
					lost = server
				}
				wholeZone := random.IntN(2) == 0
				isLost := func(m bbgossip.Member) bool { return m.Name == lost.Name || wholeZone && m.Zone == lost.Zone }
				after := slices.DeleteFunc(slices.Clone(before), isLost)
				asker := after[random.IntN(len(after))]
				view := after
				if random.IntN(2) == 0 {
					// The loss hasn't been noticed yet.
					view = slices.Clone(before)
				}
				for i := range random.IntN(3) {
					m := testMember(fmt.Sprint("new", i), 1000, 1)
					m.Zone = fmt.Sprint("z", random.IntN(zones))
					view = append(view, m)
				}
				found := append(holdersOf(t, asker, view, hash, asked), asker.Name)
				if !slices.ContainsFunc(after, func(m bbgossip.Member) bool {
					return slices.Contains(holders, m.Name) && slices.Contains(found, m.Name)
				}) {
					t.Errorf("%d VMs, %s lost (its failure domain: %t): %v are asked, copies are at %v", len(before), lost.Name, wholeZone, found, holders)
				}
			}
		})
	}
}
