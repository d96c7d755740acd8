package bbprovenance

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbgossip"
)

func TestOrder(t *testing.T) {
	var members []bbgossip.Member
	for i := range 7 {
		members = append(members, bbgossip.Member{
			Name: fmt.Sprint("vm", i),
			Zone: fmt.Sprint("z", i%3),
		})
	}
	for hash := range uint64(50) {
		ordered := Order(members, hash)
		zones := make(map[string]int)
		for i, m := range ordered {
			if want := min(i/3, 2); zones[m.Zone] != want {
				t.Errorf("hash %d: place %d is number %d of failure domain %s, want %d", hash, i, zones[m.Zone], m.Zone, want)
			}
			zones[m.Zone]++
		}
		// The order is that of the VMs, not of the list.
		if diff := cmp.Diff(ordered, Order(append(members[3:7:7], members[:3]...), hash)); diff != "" {
			t.Errorf("hash %d: order (-want +got):\n%s", hash, diff)
		}
	}
}
