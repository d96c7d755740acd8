package bbnode

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
)

// TestOwnAnswersCount checks that answers that name the node itself count until the
// next heartbeat.
func TestOwnAnswersCount(t *testing.T) {
	n := New(Settings{
		Self:        bbmsg.Member{Name: "a", Domain: "d", Region: "r"},
		Incarnation: 1,
		Random:      rand.New(rand.NewPCG(1, 1)),
		Times:       DefaultTimes,
		Bounds:      DefaultBounds,
	})
	n.Tick(time.Millisecond, nil)
	n.policy.handed["a"] = 2
	var got []int
	for _, now := range []time.Duration{2 * time.Millisecond, DefaultTimes.ProbeInterval + time.Millisecond} {
		n.Tick(now, nil)
		got = append(got, n.addressNodes()[0].Handed)
	}
	if diff := cmp.Diff([]int{2, 0}, got); diff != "" {
		t.Errorf("handed (-want +got):\n%s", diff)
	}
}
