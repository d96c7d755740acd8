// Package bbrevision orders the revisions of a store that may come back from an older copy of its data.
package bbrevision

import "fmt"

// Revision is a revision of the store. Its number grows with each change and falls when the store comes back
// from an older copy; the era rises then. The zero value is before all revisions of a store.
type Revision struct {
	// Era counts the returns from older copies; 0 if the store names none.
	Era    uint64 `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// Before reports whether a revision is older than another one. Numbers are comparable only within an era.
func (r Revision) Before(o Revision) bool {
	if r.Era != o.Era {
		return r.Era < o.Era
	}
	return r.Number < o.Number
}

// Latest returns the later of two revisions.
func Latest(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// IsZero reports whether nothing is known of the store yet.
func (r Revision) IsZero() bool {
	return r == Revision{}
}

func (r Revision) String() string {
	return fmt.Sprintf("%d/%d", r.Era, r.Number)
}
