package bbspeed

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

func reported(slowness float64) Report {
	return Report{
		Running:  1,
		Places:   1,
		Slowness: slowness,
		Valid:    true,
	}
}

// wantCurrent checks the estimate at a time, to a thirtieth.
func wantCurrent(t *testing.T, e *Estimate, now time.Duration, want float64) {
	t.Helper()
	if got := e.Current(now); math.Abs(got-want) > 1.0/30 {
		t.Errorf("slowness at %v is %.3f, want %.2f", now, got, want)
	}
}

// A report that stays in force after its spell keeps work from an endpoint that has recovered.
func TestReportFades(t *testing.T) {
	var e Estimate
	wantCurrent(t, &e, 0, 1)
	e.Report(5*time.Second, reported(3))
	wantCurrent(t, &e, 5*time.Second, 3)
	wantCurrent(t, &e, 5*time.Second+300*ms, 2)
	wantCurrent(t, &e, 6*time.Second, 1)
	e.Report(7*time.Second, reported(1))
	wantCurrent(t, &e, 7*time.Second, 1)
}

// A slow call whose answer reports the same slowness must not count twice.
func TestReportReplacesMeasurement(t *testing.T) {
	var e Estimate
	e.Report(0, reported(2.5))
	e.Measure(0, 2.5, 0.3)
	wantCurrent(t, &e, 0, 2.5)
	e.Report(ms, reported(1))
	wantCurrent(t, &e, ms, 1)
	// What remains of the call is its part of the average.
	if got, want := e.Current(2*time.Second), 1+0.45*math.Exp2(-2/2.5); math.Abs(got-want) > 1e-9 {
		t.Errorf("slowness without recent reports is %.3f, want the average %.3f", got, want)
	}
}

// An endpoint that reports nonsense must neither be shut out forever nor get all work.
func TestBounds(t *testing.T) {
	var e Estimate
	e.Report(0, reported(1e9))
	wantCurrent(t, &e, 0, maxReported)
	e.Report(0, reported(1e-9))
	wantCurrent(t, &e, 0, minReported)
	for _, r := range []Report{{}, {Slowness: 7}, reported(0)} {
		e.Report(0, r)
		wantCurrent(t, &e, 0, minReported)
	}
	e.DropReport()
	wantCurrent(t, &e, 0, 1)
}

func TestRaise(t *testing.T) {
	var e Estimate
	e.Raise(0, 1.7)
	wantCurrent(t, &e, 0, 1.7)
	e.Raise(0, 1.2)
	wantCurrent(t, &e, 0, 1.7)
	e.Report(0, reported(1))
	wantCurrent(t, &e, 0, 1)
}
