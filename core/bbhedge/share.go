package bbhedge

import (
	"slices"
	"time"
)

const (
	// limitSpan is the length of the sliding window in which hedges stay within the share of the requests.
	limitSpan = 10 * time.Second
	// sliceSpan is the resolution with which requests are counted; hedges are counted exactly.
	sliceSpan = 250 * time.Millisecond
	// earnedFraction is the fraction of the share that is used in the long run. VMs have few requests, so
	// that hedges are sent in whole numbers at random times; the rest is a margin for their sum over all
	// VMs.
	earnedFraction = 0.8
)

// limiter bounds the hedges of one service at this VM. The zero value is ready and permits none before the
// first requests.
type limiter struct {
	// slices counts requests by the number of their slice of time modulo the length; newest is the number
	// of the newest slice.
	slices [limitSpan / sliceSpan]int
	newest int64
	// requests is the sum of slices.
	requests int
	// credit is the number of hedges that requests have earned; negative at first for a later start.
	credit float64
	// sent are the times of the hedges of the last limitSpan, in order.
	sent []time.Duration
}

// request counts a request that earns a share of a hedge.
func (l *limiter) request(now time.Duration, share float64) {
	l.advance(now)
	l.slices[l.newest%int64(len(l.slices))]++
	l.requests++
	// A VM with few requests may save up one hedge; one with many, those of a window.
	l.credit = min(l.credit+earnedFraction*share, max(1, earnedFraction*share*float64(l.requests)))
}

// permits reports whether one more hedge is within the share: it has been earned, and the hedges of the
// window are at most the share of its requests, or one if that is less than one.
func (l *limiter) permits(now time.Duration, share float64) bool {
	l.advance(now)
	return share > 0 && l.credit >= 1-1e-9 && float64(len(l.sent)+1) <= max(1, share*float64(l.requests))
}

// take counts a hedge.
func (l *limiter) take(now time.Duration) {
	l.credit--
	l.sent = append(l.sent, now)
}

// advance moves the window forward to now.
func (l *limiter) advance(now time.Duration) {
	for slice := int64(now / sliceSpan); l.newest < slice; {
		l.newest = max(l.newest+1, slice-int64(len(l.slices))+1)
		i := l.newest % int64(len(l.slices))
		l.requests -= l.slices[i]
		l.slices[i] = 0
	}
	expired := 0
	for expired < len(l.sent) && now-l.sent[expired] >= limitSpan {
		expired++
	}
	l.sent = slices.Delete(l.sent, 0, expired)
}
