package bbsoak

import (
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebellbench/bbsoak/bbprocess"
	"bluebellhall/bluebellbench/bbsoak/bbproxy"
)

// regressions are seeds that once led to a violation, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// TestShortSoak runs a few VMs for some seconds. Bounds on times are not checked, since the machine may be
// busy.
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
			if diff := cmp.Diff([]string(nil), report.Violations); diff != "" {
				t.Errorf("violations (-want +got):\n%s\nfaults: %v", diff, report.Faults)
			}
			if report.Answered == 0 {
				t.Error("no request was answered")
			}
		})
	}
}

// buildProgram builds the entry VM's program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "platform")
	if out, err := exec.Command("go", "build", "-o", program, "bluebellhall/platform").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// The same seed gives the same faults: a run can be repeated only if its faults depend on nothing but the
// seed.
func TestScheduleFollowsItsSeed(t *testing.T) {
	names := func(seed uint64) []string {
		f := &Fleet{
			processes:    []*bbprocess.Process{{}, {}},
			peerProxies:  []*bbproxy.Proxy{{}, {}},
			storeProxies: []*bbproxy.Proxy{{}, {}},
			backEnds:     []*backEnd{{name: "a"}, {name: "b"}},
		}
		var list []string
		for _, fault := range schedule(f, random(seed), faultKinds, 30*time.Second, time.Second) {
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
