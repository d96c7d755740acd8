package bbbudget

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid; -rapid.seed=0 selects a random one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const ms = time.Millisecond

// steady returns quantiles of many observations of the same time.
func steady(now, took time.Duration) *Quantiles {
	q := &Quantiles{}
	observe(q, now, took, maxWeight)
	return q
}

func observe(q *Quantiles, now, took time.Duration, count int) {
	for range count {
		q.Observe(now, took)
	}
}

func TestQuantilesAgainstSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(minWeight, maxWeight).Draw(t, "count")
		q := &Quantiles{}
		var times []float64
		for range count {
			took := time.Duration(rapid.IntRange(200, 100_000_000).Draw(t, "micros")) * time.Microsecond
			times = append(times, float64(took))
			q.Observe(0, took)
		}
		slices.Sort(times)
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		exact := times[int(math.Ceil(share*float64(count)-1e-9))-1]
		got, ok := q.At(0, share)
		checkSame(t, "known", true, ok)
		if ratio := math.Abs(math.Log2(float64(got) / exact)); ratio > 1.001/perOctave {
			t.Fatalf("quantile %g is %v, want %v within a bucket", share, got, time.Duration(exact))
		}
	})
}

func TestQuantiles(t *testing.T) {
	t.Run("follow a change however much came before", func(t *testing.T) {
		q := &Quantiles{}
		observe(q, 0, 4*time.Second, 40*maxWeight)
		observe(q, 0, 20*ms, maxWeight)
		checkNear(t, q, 0, 20*ms)
	})
	t.Run("decay old observations", func(t *testing.T) {
		q := &Quantiles{}
		observe(q, 0, 4*time.Second, 200)
		observe(q, 2*halfLife, 20*ms, 100)
		checkNear(t, q, 2*halfLife, 20*ms)
	})
	t.Run("start over after a long time without observations", func(t *testing.T) {
		q := steady(0, 4*time.Second)
		observe(q, time.Hour, 20*ms, minWeight-1)
		_, known := q.At(time.Hour, typicalQuantile)
		checkSame(t, "known", false, known)
		observe(q, time.Hour, 20*ms, 1)
		checkNear(t, q, time.Hour, 20*ms)
	})
	t.Run("expire", func(t *testing.T) {
		q := steady(0, 4*time.Second)
		checkNear(t, q, 5*halfLife, 4*time.Second)
		_, known := q.At(7*halfLife, typicalQuantile)
		checkSame(t, "known", false, known)
	})
	t.Run("count times out of range in the nearest bucket", func(t *testing.T) {
		checkNear(t, steady(0, 0), 0, minTime)
		checkNear(t, steady(0, time.Hour), 0, minTime<<octaves)
	})
}

func TestStageBudget(t *testing.T) {
	short, long := steady(0, 100*ms), steady(0, 300*ms)
	t.Run("splits by the time of the stages", func(t *testing.T) {
		got := StageBudget(0, time.Second, []*Quantiles{short, long})
		checkSame(t, "a quarter", true, got > 240*ms && got < 260*ms)
	})
	t.Run("gives all to the last stage", func(t *testing.T) {
		checkSame(t, "budget", time.Second, StageBudget(0, time.Second, []*Quantiles{long}))
	})
	t.Run("works without observations", func(t *testing.T) {
		checkSame(t, "budget", 500*ms, StageBudget(0, time.Second, []*Quantiles{{}, {}}))
	})
	t.Run("is never negative", func(t *testing.T) {
		checkSame(t, "budget", time.Duration(0), StageBudget(0, -time.Second, []*Quantiles{long}))
	})
}

func TestHedgeDelay(t *testing.T) {
	q := steady(0, 100*ms)
	_, known := HedgeDelay(0, time.Second, &Quantiles{})
	checkSame(t, "without observations", false, known)
	delay, ok := HedgeDelay(0, time.Second, q)
	checkSame(t, "with time left", true, ok && delay >= 90*ms && delay <= 110*ms)
	_, ok = HedgeDelay(0, 150*ms, q)
	checkSame(t, "too late", false, ok)
}

func TestGate(t *testing.T) {
	slow := []*Quantiles{steady(0, 3*time.Second), steady(0, 4*time.Second)}
	t.Run("refuses requests that would be late, except for one probe per second", func(t *testing.T) {
		g := &Gate{}
		counts := map[Verdict]int{}
		for now := time.Duration(0); now < 4*time.Second; now += 10 * ms {
			counts[g.Decide(now, 6*time.Second, slow)]++
		}
		checkSame(t, "verdicts", map[Verdict]int{Probe: 4, Refuse: 396}, counts)
	})
	t.Run("passes requests that would be on time or have no estimate", func(t *testing.T) {
		g := &Gate{}
		checkSame(t, "long deadline", Pass, g.Decide(0, 9*time.Second, slow))
		checkSame(t, "unknown", Pass, g.Decide(0, ms, []*Quantiles{{}}))
		checkSame(t, "too late", Refuse, g.Decide(0, 0, []*Quantiles{{}}))
	})
	t.Run("recovers within seconds after a slow period", func(t *testing.T) {
		g := &Gate{}
		q := []*Quantiles{steady(0, 9*time.Second)}
		for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
			if g.Decide(now, 6*time.Second, q) == Probe {
				q[0].Observe(now, 50*ms)
				g.Report(true)
			}
		}
		checkSame(t, "verdict", Pass, g.Decide(5*time.Second, 6*time.Second, q))
	})
	t.Run("a failed probe cancels the earned probes", func(t *testing.T) {
		g := &Gate{}
		checkSame(t, "first", Probe, g.Decide(0, time.Second, slow))
		g.Report(true)
		checkSame(t, "earned", Probe, g.Decide(0, time.Second, slow))
		g.Report(false)
		checkSame(t, "lost", Refuse, g.Decide(0, time.Second, slow))
	})
}

func TestRetryBudget(t *testing.T) {
	spend := func(now time.Duration, take func(time.Duration) bool) int {
		taken := 0
		for take(now) {
			taken++
		}
		return taken
	}
	t.Run("is a share of the traffic", func(t *testing.T) {
		b := &RetryBudget{Share: 0.1}
		taken := 0
		for range 10_000 {
			b.Attempt(0)
			taken += spend(0, b.TakeRetry)
		}
		checkSame(t, "a tenth and the start", true, taken >= 1000+startTokens-1 && taken <= 1000+startTokens)
	})
	t.Run("bounds a burst", func(t *testing.T) {
		b := &RetryBudget{Share: 0.5}
		for range 10_000 {
			b.Attempt(0)
		}
		checkSame(t, "retries", burstTokens, spend(0, b.TakeRetry))
	})
	t.Run("is refilled for a service with little traffic, up to the initial tokens", func(t *testing.T) {
		b := &RetryBudget{Share: 0.1}
		checkSame(t, "start", startTokens, spend(0, b.TakeRetry))
		checkSame(t, "after 2 s", 2, spend(2*time.Second, b.TakeRetry))
		checkSame(t, "after an hour", startTokens, spend(time.Hour, b.TakeRetry))
	})
	t.Run("reserves tokens for retries", func(t *testing.T) {
		b := &RetryBudget{Share: 0.5}
		for range 20 {
			b.Attempt(0)
		}
		checkSame(t, "hedges", 10, spend(0, b.TakeHedge))
		checkSame(t, "retries", startTokens, spend(0, b.TakeRetry))
	})
	t.Run("allows no retries with no share", func(t *testing.T) {
		b := &RetryBudget{}
		b.Attempt(0)
		checkSame(t, "retries", 0, spend(time.Hour, b.TakeRetry))
	})
}

// checkNear checks that the median is within a bucket of the time.
func checkNear(t *testing.T, q *Quantiles, now, want time.Duration) {
	t.Helper()
	got, ok := q.At(now, typicalQuantile)
	if !ok || math.Abs(math.Log2(float64(got)/float64(want))) > 1.001/perOctave {
		t.Errorf("median is %v (known %t), want about %v", got, ok, want)
	}
}

func checkSame(t interface {
	Helper()
	Fatalf(string, ...any)
}, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(fmt.Sprint(want), fmt.Sprint(got)); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

func BenchmarkQuantiles(b *testing.B) {
	q := steady(0, 100*ms)
	now := time.Duration(0)
	b.Run("observe", func(b *testing.B) {
		for b.Loop() {
			now += ms
			q.Observe(now, now%(500*ms))
		}
	})
	b.Run("at", func(b *testing.B) {
		for b.Loop() {
			q.At(now, hedgeQuantile)
		}
	})
}
