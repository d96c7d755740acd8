package bballowance

import (
	"testing"
	"time"
)

// Repeats of lower importance that used up the allowance, or the part for failures without traffic, would keep
// retries from being sent.
func TestSpareLeavesAReserve(t *testing.T) {
	for _, c := range []struct {
		slack       float64
		spare, rest int
	}{
		{0, 8, 8},
		{10, 12, 12},
		{100, 16, 80},
	} {
		w := &Window{
			Span:  10 * time.Second,
			Ratio: 0.2,
			Slack: c.slack,
		}
		for range 105 {
			w.Request(0)
		}
		spare, rest := 0, 0
		for w.TakeSpare(0) {
			spare++
		}
		for w.Take(0, 1) {
			rest++
		}
		if spare != c.spare || rest != c.rest {
			t.Errorf("slack %v: %d taken as spare and %d after that, want %d and %d", c.slack, spare, rest, c.spare, c.rest)
		}
	}
}
