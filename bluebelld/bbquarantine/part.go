package bbquarantine

import (
	"slices"
	"time"

	"bluebellhall/core/bbsuspect"
)

// Parts is a quarantine of parts of prompts: requests that share a part which crashes engines, though no two of
// them are alike, are kept away from engines. Its fingerprints are those of parts.
type Parts struct {
	*Quarantine
}

// NewParts returns an empty quarantine of parts of prompts.
func NewParts(h Hooks) Parts {
	return Parts{
		Quarantine: newQuarantine(h, bbsuspect.NewParts(maxContents), partSuccessTTL),
	}
}

// Refuses reports whether a request whose prompt has the given parts must not run.
func (q Parts) Refuses(parts []uint64) bool {
	if len(parts) == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.hooks.Now()
	return q.table.RefusesPrompt(now, parts, func(part uint64) bool {
		began, ok := q.successes.latest(part)
		return ok && now-began < bbsuspect.PartImmunity
	})
}

// RecordLoss records a run of a prompt that this VM saw end with the loss of its engine before its answer had
// gone on.
func (q Parts) RecordLoss(parts []uint64, run bbsuspect.Run) {
	for i, part := range parts {
		run.With = slices.Delete(slices.Clone(parts), i, i+1)
		q.Quarantine.RecordLoss(part, run)
	}
}

// RecordSuccess records a successful run of a prompt.
func (q Parts) RecordSuccess(parts []uint64, began time.Duration) {
	for _, part := range parts {
		q.Quarantine.RecordSuccess(part, began)
	}
}
