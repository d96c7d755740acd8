package bbbudget

import "time"

const (
	// typicalQuantile is the quantile of a stage's times that a request is expected to need.
	typicalQuantile = 0.5
	// slowQuantile is the quantile of the stages' times by which the time left is split over them.
	slowQuantile = 0.9
	// hedgeQuantile is the quantile of an attempt's time from which it counts as slow and is hedged.
	hedgeQuantile = 0.95
	// defaultStageTime is used for stages without an estimate.
	defaultStageTime = 100 * time.Millisecond
	// minHedgeDelay is the shortest delay before a second attempt.
	minHedgeDelay = 5 * time.Millisecond
)

// StageBudget returns how long the first of the remaining stages may take. It splits the remaining time in
// proportion to the slow quantile of each stage, so that stages with variable times get more slack. The
// last stage gets all that remains.
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

// CanMeetDeadline reports whether a request with typical stage times finishes the stages in the remaining
// time. Stages without an estimate count as zero.
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

// HedgeDelay returns how long to wait for an attempt before a second one is sent, and false if a second
// one is of no use: there is no estimate, or it would finish too late.
func HedgeDelay(now, remaining time.Duration, q *Quantiles) (time.Duration, bool) {
	slow, ok := q.At(now, hedgeQuantile)
	if !ok {
		return 0, false
	}
	usual, _ := q.At(now, typicalQuantile)
	delay := max(slow, minHedgeDelay)
	return delay, delay+usual <= remaining
}

// Verdict is a Gate's decision on a request.
type Verdict uint8

// The verdicts of a Gate.
const (
	// Refuse means that the request should be refused now because it would miss its deadline.
	Refuse Verdict = iota
	// Pass means that the request is expected to meet its deadline.
	Pass
	// Probe means that the request is admitted although it is expected to miss its deadline, to measure
	// whether the service is still slow. Its result has to be passed to Report.
	Probe
)

const (
	// probeInterval is the minimum interval between probes that were not earned.
	probeInterval = time.Second
	// maxEarned bounds the probes earned by successful ones.
	maxEarned = 64
)

// Gate refuses requests of one pipeline or service that can't meet their deadline. Refused requests yield
// no new observations, so the estimates of a slow period would keep out the requests after it. To detect that
// the service has recovered, it admits one such request per probeInterval as a probe, and each probe that
// meets its deadline earns two more.
type Gate struct {
	// probed is true once a probe was admitted without being earned, the last one at lastProbe.
	probed    bool
	lastProbe time.Duration
	// earned is the number of probes that may be admitted at once, from 0 to maxEarned.
	earned int
}

// Decide returns the verdict on a request with the given remaining time and stages.
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

// Report records the result of a probe: met is true if it met its deadline.
func (g *Gate) Report(met bool) {
	if !met {
		g.earned = 0
		return
	}
	g.earned = min(g.earned+2, maxEarned)
}
