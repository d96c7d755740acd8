// Package bbspeed estimates how long work takes at an endpoint at a moment, as a multiple of the time that it
// usually takes there. Endpoints that share their machines with other work are slow for some hundred
// milliseconds at a time. They report their slowness in answers, and calls measure it.
package bbspeed

import (
	"math"
	"time"
)

const (
	// reportLife is the age at which a report has lost its weight. Endpoints are slow in spells of some 600 ms,
	// and a report is made at any moment of one: after 300 ms, half of the spells have ended, after a second all.
	reportLife = time.Second
	// minReported and maxReported bound the slowness that is believed of a report. Beyond them the estimate
	// would be dominated by one endpoint's figure: with 20, it already gets no work that others could do.
	minReported = 0.25
	maxReported = 20
	// minMeasured and maxMeasured bound the measurement of one call, which includes delays of the network.
	minMeasured = 0.5
	maxMeasured = 10
	// excessHalfLife is the half-life of the average's excess over 1 without new measurements, so that an endpoint
	// that has recovered gets work again.
	excessHalfLife = 2500 * time.Millisecond
)

// Report is the load that an endpoint stated in an answer. The zero value is no report.
type Report struct {
	// Running and Waiting are the requests in progress and in the queue, Places those that run at once.
	Running, Waiting, Places int
	// Slowness is how long work takes at this moment as a multiple of the usual time; 0 if not stated.
	Slowness float64
	// Valid is false if there is no report or one that can't be read; the other fields are 0 then.
	Valid bool
}

// SharesMachine reports whether the endpoint states the speed of its machine, which it shares with other work.
func (r Report) SharesMachine() bool {
	return r.Valid && r.Slowness > 0
}

// Estimate is the slowness of one endpoint, from its reports and from calls. The zero value is an endpoint of
// the usual speed.
type Estimate struct {
	// average is the moving average of the measured slowness as of averageAt; 0 if nothing was measured.
	average   float64
	averageAt time.Duration
	// reported is the slowness of the last report, which arrived at reportedAt; 0 if there is none.
	reported   float64
	reportedAt time.Duration
}

// Report records a report that has just arrived. One that doesn't state the slowness is ignored.
func (e *Estimate) Report(now time.Duration, r Report) {
	if !r.SharesMachine() {
		return
	}
	e.reported = min(max(r.Slowness, minReported), maxReported)
	e.reportedAt = now
}

// Measure adds the slowness of a call that has just ended to the moving average, with a weight below 1. It doesn't
// change what a recent report says of the same time.
func (e *Estimate) Measure(now time.Duration, slowness, weight float64) {
	current := e.measured(now)
	e.average = current + weight*(min(max(slowness, minMeasured), maxMeasured)-current)
	e.averageAt = now
}

// Raise sets the average to at least the given slowness, of which a call in progress is evidence. Where there are
// no recent reports, this is the estimate.
func (e *Estimate) Raise(now time.Duration, least float64) {
	e.average = max(e.measured(now), least)
	e.averageAt = now
}

// DropReport discards the last report, because the process that made it has ended.
func (e *Estimate) DropReport() {
	e.reported = 0
}

// Current returns the estimated slowness. A report counts fully when it arrives, half after 300 ms and nothing
// from a second on; the rest is the average of what calls have measured, decayed towards 1 since the last of them.
func (e *Estimate) Current(now time.Duration) float64 {
	measured := e.measured(now)
	weight := Weight(now - e.reportedAt)
	if e.reported == 0 || weight == 0 {
		return measured
	}
	return weight*e.reported + (1-weight)*measured
}

// Weight returns the weight of a report of the given age: 1 when it arrives, a half after 300 ms and 0 from a second
// on.
func Weight(age time.Duration) float64 {
	left := 1 - min(1, float64(max(0, age))/float64(reportLife))
	return left * left
}

// measured returns the average of the calls, decayed towards 1 since the last one.
func (e *Estimate) measured(now time.Duration) float64 {
	if e.average == 0 {
		return 1
	}
	if e.average <= 1 {
		return e.average
	}
	return 1 + (e.average-1)*math.Exp2(-float64(now-e.averageAt)/float64(excessHalfLife))
}
