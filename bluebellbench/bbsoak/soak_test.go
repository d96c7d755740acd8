package bbsoak

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/bluebellbench/bbsoak/bbprocess"
	"bluebellhall/bluebellbench/bbsoak/bbpromise"
	"bluebellhall/bluebellbench/bbsoak/bbproxy"
)

// regressions are seeds that broke a promise once, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// TestShortSoak runs few programs for some seconds. Bounds on times are not checked, since the
// machine may be busy.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for half a minute")
	}
	program := buildProgram(t)
	seeds := []uint64{1}
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), Settings{
				Seed:      seed,
				VMs:       4,
				Duration:  8 * time.Second,
				PerSecond: 30,
				Gap:       700 * time.Millisecond,
				Program:   program,
				Dir:       t.TempDir(),
				Out:       io.Discard,
			})
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]string(nil), report.Broken); diff != "" {
				t.Errorf("broken promises (-want +got):\n%s\nfaults: %v", diff, report.Faults)
			}
			if report.Answered == 0 {
				t.Error("no request was answered")
			}
		})
	}
}

// buildProgram builds the program of an entry VM and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "platform")
	if out, err := exec.Command("go", "build", "-o", program, "bluebellhall/platform").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// Requests that ask for what has crashed three endpoints reached endpoints again and again, from
// every VM.
func TestContentThatCrashesEndpointsIsStopped(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for half a minute")
	}
	program := buildProgram(t)
	for _, c := range []struct {
		route, service string
		kills          bool
	}{
		{"read", bbdeployment.PlainService, false},
		{"once", bbdeployment.PlainService, false},
		{"chat", bbdeployment.EngineService, false},
		{"draft", bbdeployment.EngineService, false},
		{"chat", bbdeployment.SecondStage, false},
		{"once", bbdeployment.PlainService, true},
		{"chat", bbdeployment.EngineService, true},
		{"chat", bbdeployment.SecondStage, true},
	} {
		name := c.route + " at " + c.service
		if c.kills {
			name += " while VMs are killed"
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			record, failed := crashRun(t, program, c.route, c.service, c.kills)
			if diff := cmp.Diff([]string(nil), append(failed, bbpromise.Check(record).Broken...)); diff != "" {
				t.Errorf("broken promises (-want +got):\n%s", diff)
			}
			crashed := 0
			for _, r := range record.Ledger.Reaches() {
				if r.Crashed {
					crashed++
				}
			}
			if crashed < 2 {
				t.Errorf("%d endpoints crashed, want some", crashed)
			}
		})
	}
}

const (
	// crashTest is how long a content is sent that crashes endpoints.
	crashTest = 14 * time.Second
	// killGap is the time between two VMs that are killed, killedFor how long each is away.
	killGap   = 1500 * time.Millisecond
	killedFor = 700 * time.Millisecond
)

// crashRun runs a small fleet with some load and one content that crashes the endpoints of a
// service, and returns what was seen and what failed of the run itself. Kills ends one VM after
// the other in the meantime.
func crashRun(t *testing.T, program, route, service string, kills bool) (bbpromise.Record, []string) {
	t.Helper()
	s := Settings{
		VMs:     4,
		Program: program,
		Dir:     t.TempDir(),
	}
	f, cleanup, err := NewFleet(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	if late := f.unready(t.Context(), startTime); len(late) > 0 {
		t.Fatalf("not ready %v after the start: %v", startTime, late)
	}
	ctx, cancel := context.WithTimeout(t.Context(), crashTest)
	defer cancel()
	l := f.load
	var group sync.WaitGroup
	group.Go(func() { l.Run(ctx, 1, 15) })
	for _, r := range bbdeployment.Routes() {
		if r.Name == route {
			group.Go(func() { l.Crash(ctx, random(1), r, service, crashGap) })
		}
	}
	var faults []Fault
	for i := 0; kills && i < len(f.processes); i++ {
		wait(ctx, killGap)
		fault := Fault{
			Fault: bbpromise.Fault{
				VM:    i,
				Began: time.Now(),
			},
		}
		f.processes[i].Kill()
		wait(ctx, killedFor)
		if err := f.processes[i].Start(); err != nil {
			t.Error(err)
		}
		fault.Ended = time.Now()
		faults = append(faults, fault)
	}
	group.Wait()
	f.mu.Lock()
	failed := f.failed
	f.mu.Unlock()
	return f.record(s, faults, l.Tries(), time.Now()), failed
}

// The same seed gives the same faults.
func TestScheduleFollowsItsSeed(t *testing.T) {
	names := func(seed uint64) []string {
		f := &Fleet{
			processes: []*bbprocess.Process{{}, {}},
			peers:     []*bbproxy.Proxy{{}, {}},
			stores:    []*bbproxy.Proxy{{}, {}},
			backEnds:  []*backEnd{{name: "a"}, {name: "b"}},
		}
		var list []string
		for _, fault := range schedule(f, random(seed), 30*time.Second, time.Second) {
			list = append(list, fault.String())
		}
		return list
	}
	if diff := cmp.Diff(names(1), names(1)); diff != "" {
		t.Errorf("faults of the same seed differ:\n%s", diff)
	}
	if cmp.Equal(names(1), names(2)) {
		t.Error("faults of two seeds are the same")
	}
}
