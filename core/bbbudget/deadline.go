package bbbudget

import "time"

const (
	// usualShare is the quantile that a request is expected to need of each stage.
	typicalQuantile = 0.5
	// slowShare is the quantile by which a deadline is split over stages.
	slowQuantile = 0.9
	// hedgeShare is the quantile from which an attempt counts as slow.
	hedgeQuantile = 0.95
	// unknownTime stands in for the time of a stage that nothing is known of.
	defaultStageTime = 100 * time.Millisecond
	// leastHedgeDelay is the shortest wait before a second attempt.
	minHedgeDelay = 5 * time.Millisecond
)

// StageBudget returns how long the first of the remaining stages may take. It splits
// what remains in proportion to the slow quantile of each stage, so that slack goes
// where times vary. The last stage gets all that remains.
func StageBudget(now, remaining time.Duration, stages []*Quantiles) time.Duration {
	if remaining <= 0 || len(stages) == 0 {
		return max(remaining, 0)
	}
	first := slowTime(now, stages[0])
	sum := time.Duration(0)
	for _, q := range stages {
		sum += slowTime(now, q)
	}
	return time.Duration(float64(remaining) * float64(first) / float64(sum))
}

func slowTime(now time.Duration, q *Quantiles) time.Duration {
	if slow, ok := q.At(now, slowQuantile); ok {
		return slow
	}
	return defaultStageTime
}

// CanMake tells whether a request with its usual luck finishes the stages in what
// remains. Stages that nothing is known of count as no time.
func CanMeetDeadline(now, remaining time.Duration, stages []*Quantiles) bool {
	if remaining <= 0 {
		return false
	}
	needed := time.Duration(0)
	for _, q := range stages {
		usual, _ := q.At(now, typicalQuantile)
		needed += usual
	}
	return needed <= remaining
}

// HedgeDelay returns how long to wait for an attempt before a second one, and false
// when a second one makes no sense: too little is known, or it would come too late.
func HedgeDelay(now, remaining time.Duration, q *Quantiles) (time.Duration, bool) {
	slow, ok := q.At(now, hedgeQuantile)
	if !ok {
		return 0, false
	}
	usual, _ := q.At(now, typicalQuantile)
	delay := max(slow, minHedgeDelay)
	return delay, delay+usual <= remaining
}

// Verdict is what a Gate says of a request.
type Verdict uint8

// The verdicts of a Gate.
const (
	// Refuse means that the request should be refused now rather than be late.
	Refuse Verdict = iota
	// Pass means that the request should make it.
	Pass
	// Probe means that the request is let through although it should not make it, to
	// learn whether the service is still slow. Report its end.
	Probe
)

const (
	// probeInterval is the least time between probes that were not earned.
	probeInterval = time.Second
	// maxEarned bounds the probes that successful ones earn.
	maxEarned = 64
)

// Gate refuses requests of one pipeline or service that can't make their deadline. So
// that a slow spell doesn't lock out everything after it, one request in each
// probeInterval is let through, and each that makes it earns two more.
type Gate struct {
	// probed is true once a probe was let through, the last one at lastProbe.
	probed    bool
	lastProbe time.Duration
	// earned is the number of probes that may go at once, from 0 to maxEarned.
	earned int
}

// Decide returns the verdict on a request with the given time and stages to go.
func (g *Gate) Decide(now, remaining time.Duration, stages []*Quantiles) Verdict {
	if remaining <= 0 {
		return Refuse
	}
	if CanMeetDeadline(now, remaining, stages) {
		return Pass
	}
	if g.earned > 0 {
		g.earned--
		return Probe
	}
	if g.probed && now-g.lastProbe < probeInterval {
		return Refuse
	}
	g.probed = true
	g.lastProbe = now
	return Probe
}

// Report takes in how a probe ended: made is true when it met its deadline.
func (g *Gate) Report(made bool) {
	if !made {
		g.earned = 0
		return
	}
	g.earned = min(g.earned+2, maxEarned)
}
