package bbplainmodel

import (
	"slices"
	"testing"
	"time"
)

// objective is that of the plain requests of the deployments with shared machines.
const objective = 250 * time.Millisecond

// seeds is the number of simulations that a result is the sum of.
const seeds = 4

// run simulates some minutes with both ways to choose, by constants and measured. It returns the requests by endpoint,
// the fraction of late ones, and the mean time in ms.
func run(t *testing.T, s Settings) (served [2][endpoints]int, late, mean [2]float64) {
	t.Helper()
	for i, measured := range []bool{false, true} {
		s.Measured = measured
		var took []time.Duration
		refused := 0
		for s.Seed = range uint64(seeds) {
			o := Run(s, time.Minute)
			took = append(took, o.Took...)
			refused += o.Refused
			for k, n := range o.Served {
				served[i][k] += n
			}
		}
		late[i] = float64(refused)
		for _, d := range took {
			mean[i] += d.Seconds() * 1000 / float64(len(took))
			if d > objective {
				late[i]++
			}
		}
		late[i] /= float64(len(took) + refused)
		slices.Sort(took)
		t.Logf("measured %t: %.4f late, mean %.1f ms, p99 %v, %d refused, by endpoint %v", measured, late[i], mean[i], took[len(took)*99/100], refused, served[i])
	}
	return served, late, mean
}

// Regression: constants hid that one endpoint took longer than the others, and the VMs next to it used no other.
func TestSlowerEndpointGetsLess(t *testing.T) {
	served, late, _ := run(t, Settings{PerSecond: 100, FirstSlowness: 3})
	if n := served[1][0]; n == 0 || n > served[0][0]/5 {
		t.Errorf("the slow endpoint served %d requests, want some, but at most a fifth of the %d by constants", n, served[0][0])
	}
	if late[1] > late[0]/4 {
		t.Errorf("%.4f of the requests are late, want at most a quarter of the %.4f by constants", late[1], late[0])
	}
}

// Regression: the endpoints next to most of the callers had a queue while others were idle. Where the load is even,
// nothing is better than the nearest endpoint; measurements, which are late, must not make it much worse.
func TestBusyServiceWithSlowSpells(t *testing.T) {
	for name, test := range map[string]struct {
		crowded, most float64
	}{
		"crowded": {0.4, 0.7},
		"even":    {0, 1.2},
	} {
		t.Run(name, func(t *testing.T) {
			_, late, _ := run(t, Settings{PerSecond: 300, SlowShare: 0.15, Crowded: test.crowded})
			if late[1] > test.most*late[0] {
				t.Errorf("%.4f of the requests are late, want at most %.1f times the %.4f by constants", late[1], test.most, late[0])
			}
		})
	}
}

// VMs with nearly the same view must not all choose the same endpoint at once, nor leave their region without need.
func TestCalmService(t *testing.T) {
	served, late, mean := run(t, Settings{PerSecond: 100})
	if n := served[1]; slices.Max(n[:]) > 2*slices.Min(n[:]) {
		t.Errorf("requests by endpoint %v, want at most twice as many at one as at another", n)
	}
	if late[1] > late[0] || mean[1] > mean[0]+3 {
		t.Errorf("%.4f late and %.1f ms on average, want no more than the %.4f and %.1f ms by constants", late[1], mean[1], late[0], mean[0])
	}
}
