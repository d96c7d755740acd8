package bbjob

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func prompt(ids ...string) Prompt {
	var p Prompt
	for _, id := range ids {
		p.Parts = append(p.Parts, Part{ID: id, Tokens: 1})
	}
	return p
}

func TestSharedParts(t *testing.T) {
	ab := prompt("a", "b", "own").SharedParts("llm")
	if len(ab) != 2 || ab[0] == ab[1] {
		t.Fatalf("parts %x, want two different ones", ab)
	}
	for name, c := range map[string]struct {
		got, want []uint64
	}{
		"the last part doesn't count":            {prompt("a", "b", "x").SharedParts("llm"), ab},
		"a part is the same in another position": {prompt("b", "own").SharedParts("llm"), ab[1:]},
		"a single part":                          {prompt("own").SharedParts("llm"), nil},
		"no parts":                               {prompt().SharedParts("llm"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.got); diff != "" {
				t.Errorf("parts (-want +got):\n%s", diff)
			}
		})
	}
	if other := prompt("a", "own").SharedParts("other"); other[0] == ab[0] {
		t.Error("a part is the same for another service")
	}
	if many := prompt(make([]string, 100)...).SharedParts("llm"); len(many) != MaxSharedParts {
		t.Errorf("%d parts, want at most %d", len(many), MaxSharedParts)
	}
}
