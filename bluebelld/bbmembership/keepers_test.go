package bbmembership

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbgossip"
)

// namesOf returns the names of VMs.
func namesOf(members []bbgossip.Member) []string {
	var names []string
	for _, m := range members {
		names = append(names, m.Name)
	}
	return names
}

// fleetsOf returns the fleet of each VM, which has heard all others answer at 1 s.
func fleetsOf(t *testing.T, members []bbgossip.Member) map[string]*testFleet {
	t.Helper()
	fleets := make(map[string]*testFleet)
	for _, self := range members {
		f := newTestFleet(t, self)
		for _, m := range members {
			if m.Name != self.Name {
				f.recordAnswer(time.Second, m)
			}
		}
		fleets[self.Name] = f
	}
	return fleets
}

func TestAggregators(t *testing.T) {
	t.Run("all VMs agree", func(t *testing.T) {
		members := []bbgossip.Member{testMember("a", 100, 1), testMember("b", 200, 1), testMember("c", 300, 1), testMember("d", 400, 1)}
		fleets := fleetsOf(t, members)
		chosen := make(map[string]bool)
		for hash := range uint64(50) {
			// A VM that is a keeper leaves itself out.
			votes := make(map[string]int)
			for _, f := range fleets {
				for _, name := range namesOf(f.Aggregators(hash)) {
					votes[name]++
					chosen[name] = true
				}
			}
			for name, n := range votes {
				if n != len(members)-1 || len(votes) != aggregatorCount {
					t.Errorf("thing %d: %s is named by %d of %d other VMs, keepers are %v", hash, name, n, len(members)-1, votes)
				}
			}
		}
		if len(chosen) != len(members) {
			t.Errorf("keepers of all things are %v, want all VMs to be some", chosen)
		}
	})
	t.Run("few VMs of a large fleet, and none that leaves", func(t *testing.T) {
		f := newTestFleet(t, testMember("m000", 1, 1))
		for i := range 60 {
			m := testMember(fmt.Sprintf("m%03d", i+1), int64(i+2), 1)
			m.Leaving = i == 0
			f.recordAnswer(time.Second, m)
		}
		chosen := make(map[string]bool)
		for hash := range uint64(500) {
			for _, name := range namesOf(f.Aggregators(hash)) {
				chosen[name] = true
			}
		}
		if len(chosen) != aggregatorPool-1 || chosen["m001"] {
			t.Errorf("keepers are %v, want %d without the one that leaves and this VM", chosen, aggregatorPool-1)
		}
	})
}

func TestRelays(t *testing.T) {
	t.Run("a VM of a small fleet tells all others at once", func(t *testing.T) {
		f := fleetOfThree(t)
		if diff := cmp.Diff([]string{"a", "c"}, namesOf(f.Relays(false))); diff != "" {
			t.Errorf("VMs that are told (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string(nil), namesOf(f.Relays(true))); diff != "" {
			t.Errorf("VMs that are told of what came from another (-want +got):\n%s", diff)
		}
	})
	t.Run("news reaches each VM of a large fleet by way of the hubs", func(t *testing.T) {
		const vms = 200
		var members []bbgossip.Member
		for i := range vms {
			m := testMember(fmt.Sprintf("m%03d", i), int64(i+1), 1)
			m.Zone = []string{"n1", "n2", "s1"}[i%3]
			m.Region = testRegions[m.Zone]
			members = append(members, m)
		}
		fleets := fleetsOf(t, members)
		told := map[string]bool{"m150": true}
		messages, most := 0, 0
		pass := namesOf(fleets["m150"].Relays(false))
		for len(pass) > 0 {
			to := pass[0]
			pass = pass[1:]
			messages++
			if told[to] {
				continue
			}
			told[to] = true
			next := namesOf(fleets[to].Relays(true))
			most = max(most, len(next))
			pass = append(pass, next...)
		}
		if len(told) != vms {
			t.Errorf("%d of %d VMs are told", len(told), vms)
		}
		if messages > vms+10 || most > vms/2 {
			t.Errorf("%d messages, %d by one VM; want one for each VM and few more, and a part by each hub", messages, most)
		}
	})
}
