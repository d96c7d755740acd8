package bbjob

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// checkApplied checks what an origin knows after an update.
func checkApplied(t *testing.T, known []StageResult, u Update, want ...StageResult) {
	t.Helper()
	if diff := cmp.Diff(want, u.Apply(known)); diff != "" {
		t.Errorf("known results (-want +got):\n%s", diff)
	}
}

// The next coordinator was given results of which newer ones existed, and took the newer ones for released.
func TestUpdateReplacesOlderResults(t *testing.T) {
	known := func() []StageResult {
		return []StageResult{
			{Stage: 0, Handle: "old"},
			{Stage: 1, Handle: "kept"},
		}
	}
	t.Run("a result that was computed again", func(t *testing.T) {
		u := Update{
			Results: []StageResult{{Stage: 0, Handle: "new"}},
		}
		checkApplied(t, known(), u, StageResult{Stage: 0, Handle: "new"}, StageResult{Stage: 1, Handle: "kept"})
	})
	t.Run("with the release of the older one", func(t *testing.T) {
		u := Update{
			Results: []StageResult{{Stage: 0, Handle: "new"}},
			Freed:   []int{0},
		}
		checkApplied(t, known(), u, StageResult{Stage: 0, Handle: "new"}, StageResult{Stage: 1, Handle: "kept"})
	})
	t.Run("a release, and results of another stage", func(t *testing.T) {
		u := Update{
			Results: []StageResult{{Stage: 2, Handle: "more"}},
			Freed:   []int{0},
		}
		checkApplied(t, known(), u,
			StageResult{Stage: 0, Handle: "old", Freed: true},
			StageResult{Stage: 1, Handle: "kept"},
			StageResult{Stage: 2, Handle: "more"})
	})
}
