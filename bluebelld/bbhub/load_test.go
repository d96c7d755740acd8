package bbhub

import (
	"context"
	"testing"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

// The origin of a request learns only from verdicts that machines are shared.
func TestVerdictTellsOfSharedMachines(t *testing.T) {
	for name, shared := range map[string]bool{"shared": true, "not shared": false} {
		t.Run(name, func(t *testing.T) {
			h := newTestHub(t, nil)
			h.hooks.RunPieces = func(_ context.Context, _, endpoint string, _ []Piece) CallResult {
				r := CallResult{
					Results: []bbdecision.PieceResult{{Handle: "h0"}, {Handle: "h1"}},
					Outcome: bbhealth.OutcomeGood,
					Process: bbstanding.Process{ID: endpoint},
				}
				r.Signal.Load = bbspeed.Report{Running: 1, Places: 1, Valid: true}
				if shared {
					r.Signal.Load.Slowness = 1
				}
				return r
			}
			_, verdict, err := placeOrder(t, h)
			if err != nil || verdict == nil || verdict.Grant == nil || verdict.SharedMachines != shared {
				t.Errorf("verdict %+v, error %v; want a grant that says %q", verdict, err, name)
			}
		})
	}
}
