// Package bbsoak runs the real programs of entry VMs against stand-ins on one machine, does
// seeded harm to them from outside, and checks what callers and endpoints saw.
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

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/bluebellbench/bbsoak/bbload"
	"bluebellhall/bluebellbench/bbsoak/bbpromise"
	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

// Settings of a soak.
type Settings struct {
	Seed uint64
	// VMs is the number of entry VMs.
	VMs int
	// Duration is the time for which faults begin.
	Duration time.Duration
	// PerSecond is the rate of requests, Gap the mean time between faults.
	PerSecond float64
	Gap       time.Duration
	// Program is the path of the entry VM's program, Dir where its logs and settings go.
	Program, Dir string
	// Timed is true when bounds on times are checked as well.
	CheckTiming bool
	// Out takes in lines on what is done.
	Out io.Writer
}

const (
	// startTime is how long the programs may take until all are ready.
	startTime = 20 * time.Second
	// recoveryTime is how long the fleet may take to recover from all faults.
	recoveryTime = 12 * time.Second
	// calmTime is how long requests are sent after that.
	postRecoveryTime = 4 * time.Second
	// probeGap is the time between two probes of the configuration in force at a VM.
	probeGap = 300 * time.Millisecond
)

// Report is what a soak found.
type Report struct {
	bbpromise.Report
	Faults []Fault
}

// Run runs a soak.
func Run(ctx context.Context, s Settings) (Report, error) {
	f, cleanup, err := NewFleet(s)
	if err != nil {
		return Report{}, err
	}
	defer cleanup()
	var broken []string
	if late := f.unready(ctx, startTime); len(late) > 0 {
		broken = append(broken, fmt.Sprintf("not ready %v after the start: %v", startTime, late))
	}
	faults := schedule(f, random(s.Seed), s.Duration, s.Gap)
	l := f.load
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var group sync.WaitGroup
	group.Go(func() { l.Run(loadCtx, s.Seed, s.PerSecond) })
	for i := range f.processes {
		group.Go(func() { f.probe(loadCtx, i) })
	}
	broken = append(broken, f.runFaults(ctx, faults, s.Out)...)
	bbload.Wait(ctx, recoveryTime)
	if late := f.unready(ctx, 0); len(late) > 0 {
		broken = append(broken, fmt.Sprintf("not ready %v after all faults: %v", recoveryTime, late))
	}
	calm := time.Now()
	bbload.Wait(ctx, postRecoveryTime)
	stopLoad()
	group.Wait()
	r := Report{
		Report: bbpromise.Check(f.record(s, faults, l.Tries(), calm)),
		Faults: faults,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Violations = slices.Concat(broken, f.restartErrors, r.Violations)
	return r, ctx.Err()
}

// random returns the source of the faults of a seed.
func random(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 1))
}

// record returns what callers and endpoints saw.
func (f *Fleet) record(s Settings, faults []Fault, tries []bbpromise.Try, calm time.Time) bbpromise.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := bbpromise.Record{
		Ledger:         f.Ledger,
		Tries:          tries,
		Versions:       f.versions,
		Evacuated:      f.evacuated,
		LeavingSince:   f.leavingSince,
		RecoveredAt:    calm,
		RetriedService: bbdeployment.PlainService,
		ColdRate:       bbdeployment.ColdRate,
		Grace:          graceTime,
		CheckTiming:    s.CheckTiming,
	}
	for _, fault := range faults {
		r.Faults = append(r.Faults, fault.Fault)
	}
	return r
}

// play does all faults and returns what could not be done.
func (f *Fleet) runFaults(ctx context.Context, faults []Fault, out io.Writer) []string {
	began := time.Now()
	var mu sync.Mutex
	var failed []string
	note := func(err error, fault Fault) {
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
		note(fault.begin(), *fault)
		if fault.end == nil {
			fault.Ended = time.Now()
			continue
		}
		group.Go(func() {
			bbload.Wait(ctx, fault.For)
			note(fault.end(), *fault)
			fault.Ended = time.Now()
		})
	}
	group.Wait()
	return failed
}

// unready returns the VMs that don't say within a time that they are ready.
func (f *Fleet) unready(ctx context.Context, within time.Duration) []string {
	until := time.Now().Add(within)
	for {
		var names []string
		for _, p := range f.processes {
			if !ready(ctx, p.VM) {
				names = append(names, p.VM.Name)
			}
		}
		if len(names) == 0 || time.Now().After(until) {
			return names
		}
		bbload.Wait(ctx, probeGap)
	}
}

func ready(ctx context.Context, vm bbstand.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Readiness()+"/bluebellhall/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	// Nothing is read from it.
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// probe asks one VM again and again for the newest route of the configuration.
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
		id := fmt.Sprintf("probe-%d-%d", vm, n)
		q := bbstand.Request{
			Attempt: bbledger.Attempt{
				ID:    id,
				Route: bbdeployment.Routes()[0],
			},
			Method:  http.MethodGet,
			Host:    bbdeployment.Host,
			Path:    bbdeployment.ProbePrefix(version) + id,
			Wait:    time.Second,
			Version: version,
		}
		q.Content = bbstand.Content(q.Method, q.Path, nil)
		f.Ledger.Expect(q.Attempt)
		f.load.Try(client, q, f.processes[vm].VM.Front())
	}
}
