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

// fleetsOf returns the fleet of each VM, to which all others have answered at 1 s.
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
			// A VM that is an aggregator leaves itself out.
			votes := make(map[string]int)
			for _, f := range fleets {
				for _, name := range namesOf(f.Aggregators(hash)) {
					votes[name]++
					chosen[name] = true
				}
			}
			for name, n := range votes {
				if n != len(members)-1 || len(votes) != aggregatorCount {
					t.Errorf("item %d: %s is named by %d of %d other VMs, aggregators are %v", hash, name, n, len(members)-1, votes)
				}
			}
		}
		if len(chosen) != len(members) {
			t.Errorf("aggregators of all items are %v, want each VM to be one of some item", chosen)
		}
	})
	t.Run("few VMs of a large fleet, and none that is leaving", func(t *testing.T) {
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
			t.Errorf("aggregators are %v, want %d without the one that is leaving and this VM", chosen, aggregatorPool-1)
		}
	})
}

func TestRelays(t *testing.T) {
	t.Run("a VM of a small fleet sends to all others directly", func(t *testing.T) {
		f := fleetOfThree(t)
		if diff := cmp.Diff([]string{"a", "c"}, namesOf(f.Relays(false))); diff != "" {
			t.Errorf("receivers (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string(nil), namesOf(f.Relays(true))); diff != "" {
			t.Errorf("receivers of a relayed message (-want +got):\n%s", diff)
		}
	})
	t.Run("a message reaches each VM of a large fleet through the hubs", func(t *testing.T) {
		const vms = 200
		var members []bbgossip.Member
		for i := range vms {
			m := testMember(fmt.Sprintf("m%03d", i), int64(i+1), 1)
			m.Zone = []string{"n1", "n2", "s1"}[i%3]
			m.Region = testRegions[m.Zone]
			members = append(members, m)
		}
		fleets := fleetsOf(t, members)
		reached := map[string]bool{"m150": true}
		messages, most := 0, 0
		queue := namesOf(fleets["m150"].Relays(false))
		for len(queue) > 0 {
			to := queue[0]
			queue = queue[1:]
			messages++
			if reached[to] {
				continue
			}
			reached[to] = true
			next := namesOf(fleets[to].Relays(true))
			most = max(most, len(next))
			queue = append(queue, next...)
		}
		if len(reached) != vms {
			t.Errorf("%d of %d VMs are reached", len(reached), vms)
		}
		if messages > vms+10 || most > vms/2 {
			t.Errorf("%d messages, at most %d from one VM; want about one for each VM, sent in parts by the hubs", messages, most)
		}
	})
}
