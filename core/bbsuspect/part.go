package bbsuspect

import (
	"slices"
	"time"
)

const (
	// PartImmunity is how long a part of a prompt isn't blamed for crashes after a successful run with it began.
	// A part that crashes engines crashes each one, so that a success shows the cause elsewhere: in another
	// part, or in the engine. It keeps parts that many requests share from being refused for a rare one.
	PartImmunity = 2 * time.Minute
	// maxWith bounds the other parts of a run.
	maxWith = 64
)

// NewParts returns an empty table of at most limit parts of prompts, at least 1.
func NewParts(limit int) *Table {
	t := New(limit)
	t.immunity = PartImmunity
	return t
}

// RefusesPrompt reports whether a prompt with the given parts must not run: one of them has crashed engines and
// no other part can be the cause. Where all crashes of a part had another one in common, only prompts with both
// are refused, so that a run with one of them can show which it is. IsSound reports whether a successful run
// with a part is known that the table doesn't have.
func (t *Table) RefusesPrompt(now time.Duration, parts []uint64, isSound func(part uint64) bool) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		r := t.row(now, part)
		if r == nil || r.Verdict(now) != Refused {
			return false
		}
		return !slices.ContainsFunc(r.rivals(), func(rival uint64) bool {
			return !slices.Contains(parts, rival) && !t.hasSuccess(now, rival) && !isSound(rival)
		})
	})
}

// hasSuccess reports whether a successful run with a part began recently.
func (t *Table) hasSuccess(now time.Duration, part uint64) bool {
	r := t.row(now, part)
	return r != nil && r.isRefuted(now)
}

// rivals returns the parts that were in the prompts of all runs of the row.
func (r *Row) rivals() []uint64 {
	if len(r.runs) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.runs[0].With), func(part uint64) bool {
		return slices.ContainsFunc(r.runs, func(run Run) bool { return !slices.Contains(run.With, part) })
	})
}
