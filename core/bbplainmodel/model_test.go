package bbplainmodel

import (
	"slices"
	"testing"
	"time"
)

// objective is that of the plain requests of the deployments with shared machines.
const objective = 250 * time.Millisecond

// run simulates a minute with both ways to choose, and returns the late requests per request and the mean times.
func run(t *testing.T, s Settings) (outcomes [2]Outcome, late, mean [2]float64) {
	t.Helper()
	for i, measured := range []bool{false, true} {
		s.Measured, s.Seed = measured, 1
		o := Run(s, time.Minute)
		n := float64(len(o.Took) + o.Refused)
		late[i] = float64(o.Refused) / n
		for _, took := range o.Took {
			if mean[i] += took.Seconds() * 1000 / float64(len(o.Took)); took > objective {
				late[i] += 1 / n
			}
		}
		slices.Sort(o.Took)
		t.Logf("measured %t: %.4f late, mean %.1f ms, p99 %v, %d refused, by endpoint %v", measured, late[i], mean[i], o.Took[len(o.Took)*99/100], o.Refused, o.Served)
		outcomes[i] = o
	}
	return outcomes, late, mean
}

// Regression: constants hid that one endpoint took longer than the others, and the VMs next to it used no other.
func TestSlowerEndpointGetsLess(t *testing.T) {
	outcomes, late, _ := run(t, Settings{PerSecond: 100, FirstSlowness: 3})
	if served := outcomes[1].Served[0]; served == 0 || served > outcomes[0].Served[0]/5 {
		t.Errorf("the slow endpoint served %d requests, want some, but at most a fifth of the %d by constants", served, outcomes[0].Served[0])
	}
	if late[1] > late[0]/4 {
		t.Errorf("%.4f of the requests are late, want at most a quarter of the %.4f by constants", late[1], late[0])
	}
}

func TestBusyServiceWithSlowSpells(t *testing.T) {
	for name, s := range map[string]Settings{
		"even":    {PerSecond: 300, SlowShare: 0.15},
		"crowded": {PerSecond: 300, SlowShare: 0.15, Crowded: 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			if _, late, _ := run(t, s); late[1] > 0.85*late[0] {
				t.Errorf("%.4f of the requests are late, want clearly fewer than the %.4f by constants", late[1], late[0])
			}
		})
	}
}

// VMs with nearly the same view must not all choose the same endpoint at once, nor leave their region without need.
func TestCalmService(t *testing.T) {
	outcomes, late, mean := run(t, Settings{PerSecond: 100})
	if served := outcomes[1].Served; slices.Max(served[:]) > 2*slices.Min(served[:]) {
		t.Errorf("requests by endpoint %v, want at most twice as many at one as at another", served)
	}
	if late[1] > late[0] || mean[1] > mean[0]+3 {
		t.Errorf("%.4f late and %.1f ms on average, want no more than the %.4f and %.1f ms by constants", late[1], mean[1], late[0], mean[0])
	}
}
