package bbpace

import (
	"testing"
	"time"
)

// most returns the largest number of requests that are granted in any four seconds when they are asked for as
// often as possible at several tables, each with a share of the limit.
func most(limit float64, shares ...float64) int {
	tables := make([]Table, len(shares))
	var granted []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		for i, share := range shares {
			for tables[i].Take(now, "a", Rate(limit, share)) {
				granted = append(granted, now)
			}
		}
	}
	most, first := 0, 0
	for i, at := range granted {
		for at-granted[first] > 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Requests to an endpoint with a limit stay within one and a half times the limit and five more in four seconds,
// also while a second VM counts at half the rate.
func TestTakeKeepsToTheLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.1, 0.5, 1, 2.5, 20, 300} {
		allowed := 6*limit + 5
		for _, shares := range [][]float64{{1}, {1, 0.5}} {
			if got := most(limit, shares...); float64(got) > allowed {
				t.Errorf("limit %g, shares %v: %d requests in 4 s, %g are allowed", limit, shares, got, allowed)
			}
		}
	}
}

func TestLimitIsUsed(t *testing.T) {
	for _, limit := range []float64{0.5, 1, 20} {
		if got := most(limit, 1); float64(got) < 4*limit {
			t.Errorf("limit %g: at most %d requests in 4 s, want at least %g", limit, got, 4*limit)
		}
	}
}

func TestWaitEndsWithAToken(t *testing.T) {
	var table Table
	wait := table.Wait(0, "a", 0.5)
	if wait != 2*time.Second {
		t.Errorf("the first token is there after %v, want 2s", wait)
	}
	if table.Take(wait-time.Millisecond, "a", 0.5) || !table.Take(wait, "a", 0.5) {
		t.Error("a token was taken before the wait had ended, or none after it")
	}
}

// A limit that is raised gives no tokens for the time before.
func TestRaisedLimitHoldsFromNowOn(t *testing.T) {
	var table Table
	table.Wait(0, "a", 0.1)
	if table.Take(time.Second, "a", 100) {
		t.Error("a token was taken for the time of the lower limit")
	}
}

func TestSpareTokens(t *testing.T) {
	var table Table
	table.Wait(0, "a", 1)
	if table.TakeSpare(time.Second, "a", 1) {
		t.Error("the only token was taken as spare")
	}
	if !table.TakeSpare(3*time.Second, "a", 1) {
		t.Error("no spare token after three seconds, want one")
	}
}

func TestTableIsBounded(t *testing.T) {
	var table Table
	for i := range 2 * maxEndpoints {
		table.Wait(time.Duration(i), string(rune(i)), 1)
	}
	if len(table.buckets) > maxEndpoints {
		t.Errorf("%d endpoints are kept, want at most %d", len(table.buckets), maxEndpoints)
	}
}
