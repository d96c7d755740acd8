package bbdecision

import (
	"fmt"
	"strconv"

	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbpool"
)

// ResultSizes returns the sizes of a call's results by handle, and whether the endpoint had no
// memory for some of them.
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

// Describe summarises the results of a call for the log.
func Describe(call *bbpool.Call, o bbhealth.Outcome, results []PieceResult) string {
	made, missing, storageFull := 0, 0, 0
	for _, r := range results {
		switch {
		case r.Handle != "":
			made++
		case r.InputMissing:
			missing++
		case r.StorageFull:
			storageFull++
		}
	}
	return fmt.Sprintf("%s outcome=%s results=%d of %d gone=%d noRoom=%d", call.Service, o, made, len(call.Pieces), missing, storageFull)
}

// DescribePieces names pieces of a stage for the log.
func DescribePieces(stage int, pieces []int) string {
	b := append(make([]byte, 0, 32), "stage="...)
	b = strconv.AppendInt(b, int64(stage), 10)
	b = append(b, " pieces="...)
	for i, k := range pieces {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(k), 10)
	}
	return string(b)
}
