package bbdecision

import (
	"fmt"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbpool"
)

// Sizes returns the results of a call with their sizes, and whether the endpoint had no
// room for some.
func ResultSizes(call *bbpool.Call, results []PieceResult) (made map[string]float64, full bool) {
	made = make(map[string]float64)
	for i := range min(len(results), len(call.Pieces)) {
		full = full || results[i].StorageFull
		if results[i].Handle != "" {
			made[results[i].Handle] = call.Sizes[i]
		}
	}
	return made, full
}

// Describe returns the end of a call as the log has it.
func Describe(call *bbpool.Call, o bbhealth.Outcome, results []PieceResult) string {
	made, gone, crowded := 0, 0, 0
	for _, r := range results {
		switch {
		case r.Handle != "":
			made++
		case r.InputMissing:
			gone++
		case r.StorageFull:
			crowded++
		}
	}
	return fmt.Sprintf("%s outcome=%s results=%d of %d gone=%d noRoom=%d", call.Service, o, made, len(call.Pieces), gone, crowded)
}
