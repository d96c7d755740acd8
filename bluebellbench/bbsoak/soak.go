// Package bbsoak runs the real program of entry VMs against fake endpoints and a fake store on one machine,
// injects random faults from a seed, and checks what callers and endpoints recorded.
package bbsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/bluebellbench/bbsoak/bbload"
	"bluebellhall/bluebellbench/bbsoak/bbpromise"
)

// Settings are the settings of a soak test.
type Settings struct {
	Seed uint64
	// VMs is the number of entry VMs.
	VMs int
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Aim names the kinds of faults that are drawn, a key of Aims.
	Aim string
	// PerSecond is the request rate, Gap the mean time between the starts of faults.
	PerSecond float64
	Gap       time.Duration
	// Program is the path of the entry VM's program, Dir the directory of its logs and settings.
	Program, Dir string
	// CheckTiming is true if bounds on times are checked as well.
	CheckTiming bool
	// Out receives a line for each fault that is injected.
	Out io.Writer
}

const (
	// startTime is how long it may take until all VMs are ready after the start.
	startTime = 20 * time.Second
	// recoveryTime is how long the fleet may take to recover after the last fault has ended.
	recoveryTime = 12 * time.Second
	// postRecoveryTime is how long requests are sent after recoveryTime, to check that they are served again.
	postRecoveryTime = 4 * time.Second
	// breakShare is the share of attempts on resumable routes whose connections break under way.
	breakShare = 0.1
	// probeGap is the time between two probes of a VM for its configuration version, or for its readiness.
	probeGap = 300 * time.Millisecond
)

// Report is the result of a soak test.
type Report struct {
	bbpromise.Report
	Faults []Fault
}

// Run runs a soak test.
func Run(ctx context.Context, s Settings) (Report, error) {
	kinds, ok := Aims[s.Aim]
	if !ok {
		return Report{}, errors.Newf("no faults are known under the aim %q", s.Aim)
	}
	f, cleanup, err := NewFleet(s)
	if err != nil {
		return Report{}, err
	}
	defer cleanup()
	var violations []string
	if late := f.unready(ctx, startTime); len(late) > 0 {
		violations = append(violations, fmt.Sprintf("not ready %v after the start: %v", startTime, late))
	}
	faults := schedule(f, random(s.Seed), kinds, s.Duration, s.Gap)
	l := f.load
	l.BreakShare = breakShare
	if longStreamAims[s.Aim] {
		l.Routes = append(l.Routes, bbdeployment.LongRoute())
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var group sync.WaitGroup
	group.Go(func() { l.Run(loadCtx, s.Seed, s.PerSecond) })
	for i := range f.processes {
		group.Go(func() { f.probe(loadCtx, i) })
	}
	violations = append(violations, f.runFaults(ctx, faults, s.Out)...)
	bbload.Wait(ctx, recoveryTime)
	if late := f.unready(ctx, 0); len(late) > 0 {
		violations = append(violations, fmt.Sprintf("not ready %v after all faults: %v", recoveryTime, late))
	}
	recoveredAt := time.Now()
	bbload.Wait(ctx, postRecoveryTime)
	stopLoad()
	group.Wait()
	r := Report{
		Report: bbpromise.Check(f.record(s, faults, l.Tries(), recoveredAt)),
		Faults: faults,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Violations = slices.Concat(violations, f.restartErrors, r.Violations)
	return r, ctx.Err()
}

// random returns the random source from which the faults of a seed are drawn.
func random(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}

// record returns what callers and endpoints recorded, as input of the checks.
func (f *Fleet) record(s Settings, faults []Fault, tries []bbpromise.Try, recoveredAt time.Time) bbpromise.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := bbpromise.Record{
		Ledger:         f.Ledger,
		Tries:          tries,
		Versions:       f.versions,
		Evacuated:      f.evacuated,
		LeavingSince:   f.leavingSince,
		RecoveredAt:    recoveredAt,
		RetriedService: bbdeployment.PlainService,
		ColdRate:       bbdeployment.ColdRate,
		Grace:          graceTime,
		CheckTiming:    s.CheckTiming,
	}
	for _, fault := range faults {
		r.Faults = append(r.Faults, fault.Fault)
	}
	for _, b := range f.engines() {
		b.mu.Lock()
		r.Engines = append(r.Engines, b.served...)
		b.mu.Unlock()
	}
	return r
}

// runFaults injects and removes all faults at their times, and returns the errors of doing so.
func (f *Fleet) runFaults(ctx context.Context, faults []Fault, out io.Writer) []string {
	began := time.Now()
	var mu sync.Mutex
	var failed []string
	addError := func(err error, fault Fault) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", fault.Name, err))
		}
	}
	var group sync.WaitGroup
	for i := range faults {
		fault := &faults[i]
		bbload.Wait(ctx, time.Until(began.Add(fault.At)))
		if ctx.Err() != nil {
			break
		}
		fmt.Fprintln(out, fault)
		fault.Began = time.Now()
		addError(fault.begin(), *fault)
		if fault.end == nil {
			fault.Ended = time.Now()
			continue
		}
		group.Go(func() {
			bbload.Wait(ctx, fault.For)
			addError(fault.end(), *fault)
			fault.Ended = time.Now()
		})
	}
	group.Wait()
	return failed
}

// unready waits until all VMs report that they are ready, and returns those that don't within a time.
func (f *Fleet) unready(ctx context.Context, within time.Duration) []string {
	until := time.Now().Add(within)
	for {
		var names []string
		for _, p := range f.processes {
			if !p.VM.Ready(ctx) {
				names = append(names, p.VM.Name)
			}
		}
		if len(names) == 0 || time.Now().After(until) {
			return names
		}
		bbload.Wait(ctx, probeGap)
	}
}

// probe regularly sends a VM a request on the route that the newest configuration version adds, which shows
// whether the VM has applied that version.
func (f *Fleet) probe(ctx context.Context, vm int) {
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	for n := 0; ctx.Err() == nil; n++ {
		bbload.Wait(ctx, probeGap)
		f.mu.Lock()
		version := f.version
		f.mu.Unlock()
		f.load.Probe(client, vm, fmt.Sprintf("probe-%d-%d", vm, n), version)
	}
}
