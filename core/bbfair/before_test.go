package bbfair

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestCountBefore compares the count with the order in which items are served. Weights are
// powers of two, so that start tags are exact, and there are too few items to reach the
// starvation limit.
func TestCountBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(StarvationLimit)
		draw := func(key int) Item {
			return Item{
				Key:      uint64(key),
				Account:  fmt.Sprintf("a%d", rapid.IntRange(0, 3).Draw(t, "account")),
				Priority: rapid.IntRange(1, 2).Draw(t, "priority"),
				Weight:   2,
			}
		}
		heavy := rapid.IntRange(0, 3).Draw(t, "heavy")
		weigh := func(i Item) Item {
			if i.Account == fmt.Sprintf("a%d", heavy) {
				i.Weight = 8
			}
			return i
		}
		for key := range rapid.IntRange(0, StarvationLimit-1).Draw(t, "items") {
			q.Push(0, weigh(draw(key)))
		}
		for range rapid.IntRange(0, 4).Draw(t, "pops") {
			q.Pop(0)
		}
		last := weigh(draw(StarvationLimit))
		got := q.CountBefore(last)
		q.Push(0, last)
		want := 0
		for {
			item, _ := q.Pop(0)
			if item.Key == last.Key {
				break
			}
			want++
		}
		if got != want {
			t.Fatalf("%d items before it, want %d", got, want)
		}
	})
}
