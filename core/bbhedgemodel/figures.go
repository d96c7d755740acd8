package bbhedgemodel

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bluebellhall/core/bbhedge"
)

// Figures compares the policies in two scenes, with endpoints that are slow at times and with one that
// always is, and returns a table for the design note.
func Figures(seeds int, span time.Duration) string {
	var b strings.Builder
	fmt.Fprintln(&b, "| scene | policy | p50 | p95 | p99 | p99.9 | idempotent p99 | within the objective | sends added | in any 10 s | won |")
	fmt.Fprintln(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, scene := range []struct {
		name     string
		measured bool
		slowness func(seed uint64) func(int, time.Duration) float64
	}{
		{"usual", false, func(uint64) func(int, time.Duration) float64 { return OneSlow(1) }},
		{"spells", false, func(seed uint64) func(int, time.Duration) float64 { return Spells(seed, 0.15, 2.5) }},
		{"spells, measured", true, func(seed uint64) func(int, time.Duration) float64 { return Spells(seed, 0.15, 2.5) }},
		{"one slow", false, func(uint64) func(int, time.Duration) float64 { return OneSlow(5) }},
		{"one slow, measured", true, func(uint64) func(int, time.Duration) float64 { return OneSlow(5) }},
	} {
		for _, c := range policies() {
			var sum Result
			for seed := range seeds {
				s := Steady(uint64(seed), span)
				s.Measured = scene.measured
				s.Slowness = scene.slowness(s.Seed)
				sum.add(Run(s, c.policy))
			}
			fmt.Fprintf(&b, "| %s | %s |", scene.name, c.name)
			for _, q := range []float64{0.5, 0.95, 0.99, 0.999} {
				fmt.Fprintf(&b, " %d ms |", Quantile(sum.Times, q).Milliseconds())
			}
			fmt.Fprintf(&b, " %d ms | %.2f%% | %.1f%% | %.1f%% | %.0f%% |\n", Quantile(sum.IdempotentTimes, 0.99).Milliseconds(),
				100*float64(sum.OnTime)/float64(sum.Requests), 100*float64(sum.Hedges)/float64(sum.Requests),
				100*sum.largest, 100*float64(sum.Won)/float64(max(1, sum.Hedges)))
		}
	}
	return b.String()
}

// namedPolicy is a policy with its name in tables.
type namedPolicy struct {
	name   string
	policy Policy
}

// defaultShare is the share of the requests in Figures.
const defaultShare = 0.05

// policies are those that Figures compares.
func policies() []namedPolicy {
	list := []namedPolicy{
		{name: "none"},
	}
	for _, delay := range []time.Duration{100, 150, 200} {
		list = append(list, namedPolicy{
			name:   fmt.Sprintf("fixed %d ms", delay),
			policy: Policy{Delay: fixed(delay * time.Millisecond), Share: defaultShare},
		})
	}
	for _, quantile := range []float64{0.8, 0.9, 0.95} {
		list = append(list, namedPolicy{
			name:   fmt.Sprintf("quantile %g", quantile),
			policy: Policy{Delay: AtQuantile(quantile, unbounded), Share: defaultShare},
		})
	}
	for _, factor := range []float64{1.2, 1.4, 1.6} {
		list = append(list, namedPolicy{
			name:   fmt.Sprintf("quantile 0.95, at most %g x median", factor),
			policy: Policy{Delay: AtQuantile(0.95, factor), Share: defaultShare},
		})
	}
	return append(list,
		namedPolicy{name: "the last, share 0.1", policy: Policy{Delay: AtQuantile(0.95, 1.6), Share: 0.1}},
		namedPolicy{name: "the last, share 0.2", policy: Policy{Delay: AtQuantile(0.95, 1.6), Share: 0.2}},
		namedPolicy{name: "the last, without limits", policy: Policy{Delay: AtQuantile(0.95, 1.6), Unlimited: true}},
		namedPolicy{name: "tied within the share", policy: Policy{Delay: fixed(0), Tied: true, Share: defaultShare}},
		namedPolicy{name: "tied without limits", policy: Policy{Delay: fixed(0), Tied: true, Unlimited: true}},
	)
}

func fixed(delay time.Duration) func(*bbhedge.Hedger, time.Duration, time.Duration) time.Duration {
	return func(*bbhedge.Hedger, time.Duration, time.Duration) time.Duration { return delay }
}

// unbounded is a factor of the median that no response time has.
const unbounded = 1000

// AtQuantile returns the delay of a hedger with a quantile and a bound as a multiple of the median.
func AtQuantile(quantile, medianFactor float64) func(*bbhedge.Hedger, time.Duration, time.Duration) time.Duration {
	return func(h *bbhedge.Hedger, now, objective time.Duration) time.Duration {
		h.Quantile, h.MedianFactor = quantile, medianFactor
		return h.Delay(now, serviceName, routeNames[true], objective)
	}
}

// add adds the counts and times of another run.
func (r *Result) add(other Result) {
	r.Times = mergeSorted(r.Times, other.Times)
	r.IdempotentTimes = mergeSorted(r.IdempotentTimes, other.IdempotentTimes)
	r.Requests += other.Requests
	r.Unanswered += other.Unanswered
	r.Hedges += other.Hedges
	r.Won += other.Won
	r.OnTime += other.OnTime
	r.largest = max(r.largest, other.LargestShare(10*time.Second))
}

func mergeSorted(a, b []time.Duration) []time.Duration {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return merged
}
