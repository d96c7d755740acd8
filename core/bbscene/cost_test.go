package bbscene

import (
	"testing"
	"time"

	"bluebellhall/core/bbjob"
)

// hallGrown has the pools of a deployment with ten times as many endpoints as hall.
func hallGrown() Settings {
	return Settings{
		Pools: []Pool{
			testPool("portal", 19, 14, 12*ms, 32e6),
			testPool("desk", 15, 36, 4800*time.Microsecond, 4.8e6),
			testPool("board", 18, 76, 2300*time.Microsecond, 1e6),
		},
		Engines:      140,
		Zones:        []string{"a", "b", "c", "d", "e", "f"},
		Latency:      5 * ms,
		RetrySlack:   180,
		RetryRefused: true,
	}
}

// shortChain is a chain of three stages that loads all pools of hallGrown alike.
func shortChain(int) []bbjob.Stage {
	return []bbjob.Stage{
		{Service: "portal", ResultBytes: 8e3, Pieces: 1},
		{Service: "desk", After: []int{0}, ResultBytes: 60e3, Pieces: 4},
		{Service: "board", After: []int{1}, ResultBytes: 6e3, Pieces: 9},
	}
}

// digestBurst simulates a burst of the most demanding kind of request between two kinds of constant load, and
// returns the share of that kind which is on time.
func digestBurst(t *testing.T, set Settings) float64 {
	t.Helper()
	s := New(set)
	steady(s, "digest", 1, 106, 0, 13*time.Second, shortChain)
	steady(s, "brief", 0, 83, 20*ms, 13*time.Second, shortChain)
	steady(s, "chat", 2, 84, 40*ms, 13*time.Second, shortChain)
	steady(s, "digestBurst", 1, 170, 4*time.Second, 11*time.Second, shortChain)
	s.Run(20 * time.Second)
	served, all := onTime(s, "digest")
	share := float64(served) / float64(all)
	t.Logf("%d of %d on time, a share of %.2f; %d items examined", served, all, share, s.Coordinator.Status(s.Now).Examined)
	return share
}

// Pattern: a burst, with decisions that take processor time. The coordinator must not fall behind: a backlog
// makes its decisions dearer, late decisions leave the stage workers idle, and the backlog grows.
func TestBurstIsServedThoughDecisionsTakeTime(t *testing.T) {
	free := digestBurst(t, hallGrown())
	busy := hallGrown()
	busy.InputCost = 100 * time.Microsecond
	// Four times what an item takes on a processor of its own.
	busy.ExaminationCost = time.Microsecond
	if share := digestBurst(t, busy); share < 0.75*free {
		t.Errorf("a share of %.2f is on time, want at least three quarters of the %.2f without any cost of decisions", share, free)
	}
}
