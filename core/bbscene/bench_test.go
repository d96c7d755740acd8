package bbscene

import (
	"testing"
	"time"
)

// grown has the pools of a deployment with about ten times as many endpoints.
func grown() Settings {
	return Settings{
		Pools: []Pool{
			testPool("portal", 18, 12, 14*ms, 27e6),
			testPool("desk", 15, 42, 4100*time.Microsecond, 5.6e6),
			testPool("board", 18, 60, 2900*time.Microsecond, 0.78e6),
		},
		Engines:    90,
		Zones:      []string{"a", "b", "c", "d", "e", "f"},
		Latency:    5 * ms,
		RetrySlack: 170,
	}
}

// BenchmarkGrown simulates ten seconds of load on the larger deployment, models included.
func BenchmarkGrown(b *testing.B) {
	for range b.N {
		s := New(grown())
		steady(s, "draft", 0, 60, 0, 10*time.Second, plainChain)
		steady(s, "chat", 2, 87, 100*ms, 10*time.Second, mixedChain)
		s.Run(13 * time.Second)
		if served, all := onTime(s, "draft"); served*10 < all*9 {
			b.Fatalf("%d of %d drafts on time, want at least nine of ten", served, all)
		}
	}
}
