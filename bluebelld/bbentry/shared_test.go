package bbentry

import (
	"context"
	"testing"

	"bluebellhall/bluebelld/bbhub"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

// A VM must know of shared machines from the first report on, and not before: a report of three figures comes from
// a deployment that is served as before.
func TestSharedMachinesAreKnownFromAnswers(t *testing.T) {
	e, _ := newStandingEntry(t)
	signal := bbstanding.Signal{
		Load: bbspeed.Report{Running: 1, Places: 1, Valid: true},
	}
	run := e.runPieces(func(context.Context, string, string, []bbhub.Piece) bbhub.CallResult {
		return bbhub.CallResult{
			Outcome: bbhealth.OutcomeGood,
			Signal:  signal,
		}
	})
	for _, slowness := range []float64{0, 1} {
		signal.Load.Slowness = slowness
		result := run(t.Context(), "address of a", "a", nil)
		if got := e.sharedMachines.Load(); got != (slowness > 0) {
			t.Errorf("machines are shared: %t, after a report of slowness %.1f", got, slowness)
		}
		if result.Process.ID != "a" || result.Signal.Load.Slowness != slowness {
			t.Errorf("result %+v, want the report and the process that the call was sent to", result)
		}
	}
	signal.Load.Slowness = 0
	run(t.Context(), "address of a", "a", nil)
	if !e.sharedMachines.Load() {
		t.Error("machines are no longer shared, want them to be until the process ends")
	}
}
