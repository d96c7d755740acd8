package bbslope

import (
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestFit(t *testing.T) {
	s := Fit("cost", "bytes", "things", []Point{{1, 12}, {2, 14}, {5, 20}})
	for what, pair := range map[string][2]float64{
		"per one more": {s.PerUnit, 2},
		"at none":      {s.Intercept, 10},
		"R²":           {s.RSquared, 1},
	} {
		if math.Abs(pair[0]-pair[1]) > 1e-9 {
			t.Errorf("%s is %v, want %v", what, pair[0], pair[1])
		}
	}
	var out strings.Builder
	Write(&out, []Slope{s})
	lines := strings.Split(out.String(), "\n")
	if diff := cmp.Diff("| cost | bytes | things | 1: 12, 2: 14, 5: 20 | 2 | 10 | 1.0000 |", lines[2]); diff != "" {
		t.Errorf("row (-want +got):\n%s", diff)
	}
}

// TestRig checks that what is measured happens at all.
func TestRig(t *testing.T) {
	t.Run("a lone node answers calls and completions", func(t *testing.T) {
		r, err := singleNodeRig(3)
		if err != nil {
			t.Fatal(err)
		}
		for _, pipeline := range []string{"", "chat"} {
			if err := r.sendRequests(50, pipeline); err != nil {
				t.Errorf("pipeline %q: %v", pipeline, err)
			}
		}
		if r.node.Home.Running() != 0 {
			t.Errorf("%d requests still run", r.node.Home.Running())
		}
	})
	t.Run("a node among others is confirmed by them", func(t *testing.T) {
		r, err := newRig(rigSettings{entryVMs: 7, endpoints: 21, accounts: 1})
		if err != nil {
			t.Fatal(err)
		}
		s := r.node.Status(r.now)
		if !s.Confirmed || len(s.Peers) != 6 || r.traffic.bytes == 0 {
			t.Errorf("confirmed %v by %d peers, traffic %+v", s.Confirmed, len(s.Peers), r.traffic)
		}
	})
	t.Run("requests without an answer are an error", func(t *testing.T) {
		r, err := singleNodeRig(0)
		if err != nil {
			t.Fatal(err)
		}
		if err := r.sendRequests(1, "unknown"); err == nil {
			t.Error("no error")
		}
	})
}
