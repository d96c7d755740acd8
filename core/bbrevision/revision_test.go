package bbrevision

import "testing"

func TestRevisionsAreOrderedByEra(t *testing.T) {
	ordered := []Revision{{}, {Number: 9}, {Era: 1, Number: 7}, {Era: 1, Number: 8}, {Era: 2}, {Era: 2, Number: 3}}
	for i, a := range ordered {
		for j, b := range ordered {
			if got, want := a.Before(b), i < j; got != want {
				t.Errorf("%v before %v: %t, want %t", a, b, got, want)
			}
			if got, want := Latest(a, b), ordered[max(i, j)]; got != want {
				t.Errorf("latest of %v and %v is %v, want %v", a, b, got, want)
			}
		}
	}
}
