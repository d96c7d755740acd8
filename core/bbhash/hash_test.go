package bbhash

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPick(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	const keys = 7000
	t.Run("does not depend on the order of names", func(t *testing.T) {
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		if diff := cmp.Diff(picks(names, keys), picks(reversed, keys)); diff != "" {
			t.Errorf("picks (-want +got):\n%s", diff)
		}
	})
	t.Run("spreads keys", func(t *testing.T) {
		counts := map[string]int{}
		for _, name := range picks(names, keys) {
			counts[name]++
		}
		for _, name := range names {
			if counts[name] < 900 || counts[name] > 1100 {
				t.Errorf("%s has %d of %d keys", name, counts[name], keys)
			}
		}
	})
	t.Run("moves only the keys of a name that leaves", func(t *testing.T) {
		before := picks(names, keys)
		after := picks(names[1:], keys)
		for i := range before {
			if before[i] != names[0] && after[i] != before[i] {
				t.Errorf("key %d moved from %s to %s", i, before[i], after[i])
			}
		}
	})
	t.Run("has no answer without names", func(t *testing.T) {
		if name, ok := Pick(nil, "key"); ok {
			t.Errorf("picked %q", name)
		}
	})
}

func picks(names []string, keys int) []string {
	var out []string
	for i := range keys {
		name, _ := Pick(names, fmt.Sprint("key", i))
		out = append(out, name)
	}
	return out
}
