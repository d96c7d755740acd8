package bbhedgemodel

import (
	"flag"
	"testing"
	"time"

	"bluebellhall/core/bbhedge"
)

var figures = flag.Bool("figures", false, "print the figures of docs/design/hedging.md")

func TestFigures(t *testing.T) {
	if !*figures {
		t.Skip("takes a minute; -figures prints the table")
	}
	t.Log("\n" + Figures(8, 200*time.Second))
}

// usual is the policy of entry VMs.
func usual() Policy {
	return Policy{
		Delay: func(h *bbhedge.Hedger, now, objective time.Duration) time.Duration {
			return h.Delay(now, serviceName, routeNames[true], objective)
		},
		Share: defaultShare,
	}
}

// partitioned lets half of the VMs reach half of the endpoints for a third of the run.
func partitioned(s Scene) Scene {
	s.Reaches = func(vm, endpoint int, now time.Duration) bool {
		return vm%2 == 0 || endpoint < s.Endpoints/2 || now < s.Span/3 || now > s.Span*2/3
	}
	return s
}

// VMs that each keep to their share must not exceed it together, since the limit of retries holds for the
// fleet.
func TestShareOverAllVMs(t *testing.T) {
	allSlow := func(_ int, now time.Duration) float64 {
		if now > 60*time.Second {
			return 3
		}
		return 1
	}
	for seed := range uint64(6) {
		for _, c := range []struct {
			name     string
			slowness func(int, time.Duration) float64
			policy   Policy
		}{
			{"spells", Spells(seed, 0.15, 2.5), usual()},
			{"one slow", OneSlow(5), usual()},
			{"many spells", Spells(seed, 0.5, 4), usual()},
			{"all slow at once", allSlow, usual()},
			{"all requests are hedged", OneSlow(1), Policy{Delay: fixed(50 * time.Millisecond), Share: defaultShare}},
		} {
			s := partitioned(Steady(seed, 90*time.Second))
			s.Slowness = c.slowness
			r := Run(s, c.policy)
			got := r.LargestShare(10 * time.Second)
			t.Logf("%s, seed %d: %d hedges for %d requests, up to %.4f in 10 s", c.name, seed, r.Hedges, r.Requests, got)
			if got > defaultShare || r.Hedges == 0 {
				t.Errorf("%s, seed %d: %d hedges, up to %.4f of the requests in 10 s, want at most %v", c.name, seed, r.Hedges, got, defaultShare)
			}
		}
	}
}

// Hedges that prolonged an overload could keep it up by themselves.
func TestOverloadDecays(t *testing.T) {
	const begin, end = 30 * time.Second, 32 * time.Second
	for seed := range uint64(8) {
		s := Steady(seed, 40*time.Second)
		s.Rate = func(now time.Duration) float64 {
			if now >= begin && now < end {
				return 560
			}
			return 280
		}
		s.Slowness = Spells(seed, 0.05, 2.5)
		without, with := Run(s, Policy{}), Run(s, usual())
		// The time until no more requests are in progress than usual; the runs draw different times of
		// work, so they differ by a few tenths of a second.
		if a, b := decay(without, end), decay(with, end); b > a+5 {
			t.Errorf("seed %d: the load decays in %d tenths of a second with hedges, without in %d", seed, b, a)
		}
		for _, hedges := range with.HedgesAt {
			for _, at := range hedges {
				if at > begin+time.Second && at < end {
					t.Errorf("seed %d: a hedge at %v, in the overload", seed, at)
				}
			}
		}
	}
}

// decay returns the tenths of a second from a time until no more requests are in progress than at most before
// the overload.
func decay(r Result, from time.Duration) int {
	most := 0
	for _, n := range r.InFlight[50:290] {
		most = max(most, n)
	}
	for i, n := range r.InFlight[from/binSpan:] {
		if n <= most {
			return i
		}
	}
	return len(r.InFlight)
}

// One endpoint that is five times as slow, and chosen less often for that, must not set the 99th percentile of
// the requests that may be hedged.
func TestSlowEndpoint(t *testing.T) {
	s := Steady(1, 200*time.Second)
	s.Slowness, s.Measured = OneSlow(5), true
	without, with := Run(s, Policy{}), Run(s, usual())
	before, after := Quantile(without.IdempotentTimes, 0.99), Quantile(with.IdempotentTimes, 0.99)
	if added := float64(with.Hedges) / float64(with.Requests); after > before*6/10 || added > defaultShare {
		t.Errorf("99th percentile %v with hedges, %v without, for %.3f more sends", after, before, added)
	}
}
