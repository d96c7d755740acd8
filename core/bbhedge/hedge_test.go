package bbhedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bballowance"
)

const (
	ms    = time.Millisecond
	share = 0.05
)

func allowance() *bballowance.Window {
	return &bballowance.Window{
		Span:  10 * time.Second,
		Ratio: 0.2,
	}
}

// busy returns a hedger with a minute of 20 requests per second that took 100 ms, its allowance, and the time.
func busy() (*Hedger, *bballowance.Window, time.Duration) {
	h, w := NewHedger(0), allowance()
	now := time.Duration(0)
	for ; now < time.Minute; now += 50 * ms {
		h.Request(now, "s", share)
		w.Request(now)
		h.Answered(now, "s", "r", 100*ms)
	}
	return h, w, now
}

// A hedge in overload adds to the load that it suffers from, and one beyond the share or the allowance takes
// from retries.
func TestReasons(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *Hedger, w *bballowance.Window, now time.Duration)
		after  time.Duration
		want   Reason
	}{
		{"usual", func(*Hedger, *bballowance.Window, time.Duration) {}, 0, Permitted},
		{"full endpoint", func(h *Hedger, _ *bballowance.Window, now time.Duration) { h.Rejected(now, "s") }, rejectionSpan - 1, Rejections},
		{"full endpoint long ago", func(h *Hedger, _ *bballowance.Window, now time.Duration) { h.Rejected(now, "s") }, rejectionSpan, Permitted},
		{"slow as a whole", func(h *Hedger, _ *bballowance.Window, now time.Duration) {
			for range 60 {
				h.Answered(now, "s", "r", 170*ms)
			}
		}, 0, Slow},
		{"some slow", func(h *Hedger, _ *bballowance.Window, now time.Duration) {
			for range 15 {
				h.Answered(now, "s", "r", time.Second)
			}
		}, 0, Permitted},
		{"share used", func(h *Hedger, _ *bballowance.Window, now time.Duration) {
			for range 10 {
				h.service("s").limiter.take(now)
			}
		}, 0, Share},
		{"reserve of retries", func(_ *Hedger, w *bballowance.Window, now time.Duration) { w.Take(now, 15) }, 0, Allowance},
		{"no requests lately", func(*Hedger, *bballowance.Window, time.Duration) {}, 20 * time.Second, Allowance},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, w, now := busy()
			c.change(h, w, now)
			if got := h.Take(now+c.after, "s", share, w); got != c.want {
				t.Errorf("reason %q, want %q", got, c.want)
			}
		})
	}
}

// Without a bound by the median, endpoints that are slow for a tenth of the time would set the delay.
func TestDelay(t *testing.T) {
	h := NewHedger(0)
	got := map[string]time.Duration{"unknown": h.Delay(0, "s", "r", 300*ms)}
	for i := range 100 {
		h.Answered(0, "s", "r", time.Duration(100+i/10)*ms)
		h.Answered(0, "s", "slow", time.Duration(100+i/90*900)*ms)
		h.Answered(0, "s", "fast", ms)
	}
	for _, route := range []string{"r", "slow", "fast"} {
		got[route] = h.Delay(sampleSpan, "s", route, 300*ms)
	}
	got["expired"] = h.Delay(sampleSpan+1, "s", "r", 300*ms)
	want := map[string]time.Duration{"unknown": 150 * ms, "expired": 150 * ms, "r": 109 * ms, "slow": 160 * ms, "fast": minDelay}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("delays (-want +got):\n%s", diff)
	}
}

// A VM that lets hedges go beyond the operators' share in a burst, or in the long run, multiplies over the
// fleet.
func TestShareInAnyWindow(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.7, 5, 40, 300} {
		random := rand.New(rand.NewPCG(1, 2))
		var l limiter
		var requests, hedges []time.Duration
		for now := time.Duration(0); now < 5*time.Minute; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
			requests = append(requests, now)
			l.request(now, share)
			for l.permits(now, share) {
				l.take(now)
				hedges = append(hedges, now)
				if n, m := count(hedges, now), count(requests, now); float64(n) > max(1, share*float64(m)) {
					t.Fatalf("%v requests/s: %d hedges for %d requests in the 10 s before %v", perSecond, n, m, now)
				}
			}
		}
		if n, limit := float64(len(hedges)), share*float64(len(requests)); n > limit || n < limit/2-1 {
			t.Errorf("%v requests/s: %v hedges, want at most %v and at least half of that", perSecond, n, limit)
		}
	}
}

// count returns how many of the sorted times are in the limitSpan before now.
func count(sorted []time.Duration, now time.Duration) int {
	n := 0
	for i := len(sorted) - 1; i >= 0 && now-sorted[i] < limitSpan; i-- {
		n++
	}
	return n
}
