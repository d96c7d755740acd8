package bbaddress

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmember"
	"bluebellhall/core/bbmsg"
)

// TestOwnAnswersExpire checks that answers that name the node itself count as load until the
// next heartbeat.
func TestOwnAnswersExpire(t *testing.T) {
	const heartbeat = 250 * time.Millisecond
	self := bbmsg.Member{Name: "a", Domain: "d", Region: "r"}
	r := NewResponder(Settings{
		Self:              self,
		Incarnation:       1,
		HeartbeatInterval: heartbeat,
		Random:            rand.New(rand.NewPCG(1, 1)).Uint64,
	}, bbmember.New(bbmember.Settings{
		Self:        self,
		Incarnation: 1,
	}), Hooks{
		Load:     func() int { return 0 },
		Draining: func() bool { return false },
	})
	r.Tick(time.Millisecond)
	r.SetReady()
	for range 2 {
		r.Answer(time.Millisecond, bbmsg.AddressRequest{})
	}
	var got []int
	for _, now := range []time.Duration{2 * time.Millisecond, heartbeat + time.Millisecond} {
		r.Tick(now)
		got = append(got, r.nodes(now)[0].NamedFirst)
	}
	if diff := cmp.Diff([]int{2, 0}, got); diff != "" {
		t.Errorf("answers that named the node (-want +got):\n%s", diff)
	}
}
