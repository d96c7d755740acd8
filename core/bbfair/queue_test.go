package bbfair

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid; -rapid.seed=0 draws one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// naive is the reference implementation: it keeps all items in one slice and scans it.
type naive struct {
	limit       int
	items       []Item
	expired     []Item
	tags        map[flowKey]float64
	weights     map[flowKey]int
	virtualTime [Levels]float64
	skippedFor  [Levels]int
}

func (n *naive) key(i Item) flowKey { return flowKey{account: i.Account, priority: i.Priority} }

func (n *naive) where(keep func(Item) bool) []Item {
	var out []Item
	for _, i := range n.items {
		if keep(i) {
			out = append(out, i)
		}
	}
	return out
}

func (n *naive) removeItem(key uint64) {
	n.items = n.where(func(i Item) bool { return i.Key != key })
	for p := range n.skippedFor {
		if len(n.where(func(i Item) bool { return i.Priority == p })) == 0 {
			n.skippedFor[p] = 0
		}
	}
}

func (n *naive) size() int { return len(n.items) + len(n.expired) }

func (n *naive) remove(key uint64) bool {
	before := n.size()
	n.removeItem(key)
	n.expired = slices.DeleteFunc(n.expired, func(i Item) bool { return i.Key == key })
	return n.size() < before
}

func (n *naive) collect(now time.Duration) {
	out := n.where(func(i Item) bool { return isDue(now, i.Deadline) })
	sort.Slice(out, func(a, b int) bool {
		if out[a].Deadline != out[b].Deadline {
			return out[a].Deadline < out[b].Deadline
		}
		return out[a].Key < out[b].Key
	})
	for _, i := range out {
		n.removeItem(i.Key)
	}
	n.expired = append(n.expired, out...)
}

func (n *naive) expire(now time.Duration) []Item {
	n.collect(now)
	out := n.expired
	n.expired = nil
	return out
}

// load returns items by weight of the flow, its weight and its newest item.
func (n *naive) load(k flowKey) (load float64, weight int, newest Item) {
	items := n.where(func(i Item) bool { return n.key(i) == k })
	if len(items) == 0 {
		return 0, 0, Item{}
	}
	newest = items[len(items)-1]
	return float64(len(items)) / float64(n.weights[k]), n.weights[k], newest
}

func (n *naive) keys() []flowKey {
	seen := map[flowKey]bool{}
	var out []flowKey
	for _, i := range n.items {
		if !seen[n.key(i)] {
			seen[n.key(i)] = true
			out = append(out, n.key(i))
		}
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].priority != out[b].priority {
			return out[a].priority < out[b].priority
		}
		return out[a].account < out[b].account
	})
	return out
}

func (n *naive) victim(item Item) (Item, bool) {
	own, ownWeight, _ := n.load(n.key(item))
	total, most := 0, 0.0
	var worst Item
	for _, k := range n.keys() {
		load, weight, newest := n.load(k)
		total += weight
		if load > most {
			most, worst = load, newest
		}
	}
	if ownWeight == 0 {
		total += item.Weight
	}
	share := float64(n.limit) / float64(total)
	count := own*float64(ownWeight) + 1
	if most > evictionFactor*share && count <= share*float64(item.Weight) {
		return worst, true
	}
	for p := Levels - 1; p > item.Priority; p-- {
		if len(n.where(func(i Item) bool { return i.Priority == p })) <= n.limit/reserveDivisor {
			continue
		}
		most = 0
		for _, k := range n.keys() {
			if load, _, newest := n.load(k); k.priority == p && load > most {
				most, worst = load, newest
			}
		}
		return worst, true
	}
	return Item{}, false
}

func (n *naive) push(now time.Duration, item Item) ([]Item, bool) {
	n.collect(now)
	same := func(i Item) bool { return i.Key == item.Key }
	if slices.ContainsFunc(n.items, same) || slices.ContainsFunc(n.expired, same) || isDue(now, item.Deadline) {
		return nil, false
	}
	var evicted []Item
	if n.size() >= n.limit {
		victim, ok := n.victim(item)
		if !ok {
			return nil, false
		}
		evicted = []Item{victim}
		n.removeItem(victim.Key)
	}
	k := n.key(item)
	if load, _, _ := n.load(k); load == 0 {
		n.tags[k] = max(n.tags[k], n.virtualTime[item.Priority])
	}
	n.weights[k] = item.Weight
	n.items = append(n.items, item)
	return evicted, true
}

func (n *naive) pop(now time.Duration) (Item, bool) {
	n.collect(now)
	if len(n.items) == 0 {
		return Item{}, false
	}
	level := Levels
	for _, i := range n.items {
		level = min(level, i.Priority)
	}
	for p := range n.skippedFor {
		if n.skippedFor[p] >= StarvationLimit && n.skippedFor[p] > n.skippedFor[level] {
			level = p
		}
	}
	var best *Item
	for _, i := range n.items {
		if i.Priority != level {
			continue
		}
		if best == nil || n.tags[n.key(i)] < n.tags[n.key(*best)] ||
			n.tags[n.key(i)] == n.tags[n.key(*best)] && i.Account < best.Account {
			best = &i
		}
	}
	item := *best
	for p := level + 1; p < Levels; p++ {
		if len(n.where(func(i Item) bool { return i.Priority == p })) > 0 {
			n.skippedFor[p]++
		}
	}
	n.skippedFor[level] = 0
	n.virtualTime[level] = max(n.virtualTime[level], n.tags[n.key(item)])
	n.tags[n.key(item)] += item.Cost / float64(item.Weight)
	n.removeItem(item.Key)
	return item, true
}

func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		q := New(limit)
		n := &naive{limit: limit, tags: map[flowKey]float64{}, weights: map[flowKey]int{}}
		now := time.Duration(0)
		for step := range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2).Draw(t, "passes"))
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				checkSame(t, "expired", n.expire(now), q.Expire(now))
			case 1:
				key := uint64(rapid.IntRange(0, step).Draw(t, "key"))
				checkSame(t, "removed", n.remove(key), q.Remove(key))
			case 2, 3, 4:
				want, wantOK := n.pop(now)
				got, gotOK := q.Pop(now)
				checkSame(t, "popped", wantOK, gotOK)
				checkSame(t, "popped", want, got)
			default:
				item := drawItem(t, uint64(step/2), now)
				want, wantOK := n.push(now, item)
				got, gotOK := q.Push(now, item)
				checkSame(t, "pushed", wantOK, gotOK)
				checkSame(t, "evicted", want, got)
			}
			checkSame(t, "length", n.size(), q.Len())
			if q.Len() > limit || q.idle > max(limit, minIdle) {
				t.Fatalf("%d items and %d idle flows over the limit %d", q.Len(), q.idle, limit)
			}
		}
	})
}

func drawItem(t *rapid.T, key uint64, now time.Duration) Item {
	account := rapid.IntRange(0, 4).Draw(t, "account")
	item := Item{
		Key:      key,
		Account:  fmt.Sprint("account", account),
		Priority: rapid.IntRange(0, Levels-1).Draw(t, "priority"),
		Weight:   1 << rapid.IntRange(0, 2).Draw(t, "weight"),
		Cost:     float64(rapid.IntRange(1, 8).Draw(t, "cost")),
	}
	if rapid.Bool().Draw(t, "bounded") {
		item.Deadline = now + time.Duration(rapid.IntRange(0, 40).Draw(t, "deadline"))
	}
	return item
}

func TestShares(t *testing.T) {
	t.Run("service is proportional to weight while both have items", func(t *testing.T) {
		q := New(2000)
		fill(t, q, 600, Item{Account: "large", Weight: 1, Cost: 3})
		fill(t, q, 600, Item{Account: "small", Weight: 2, Cost: 3})
		checkSame(t, "popped", map[string]int{"large": 100, "small": 200}, popped(q, 300))
	})
	t.Run("an account that sends one item at a time gets its share, not more", func(t *testing.T) {
		q := New(2000)
		fill(t, q, 600, Item{Account: "large", Weight: 1})
		counts := map[string]int{}
		for range 200 {
			fill(t, q, 1, Item{Account: "single", Weight: 1, Priority: 0})
			for account, count := range popped(q, 1) {
				counts[account] += count
			}
		}
		checkSame(t, "popped", map[string]int{"large": 100, "single": 100}, counts)
	})
	t.Run("the lowest level is served once per starvation limit", func(t *testing.T) {
		q := New(2000)
		fill(t, q, 600, Item{Account: "high", Priority: 0})
		fill(t, q, 600, Item{Account: "low", Priority: 3})
		checkSame(t, "popped", map[string]int{"high": 10 * StarvationLimit, "low": 10}, popped(q, 10*(StarvationLimit+1)))
	})
}

func TestIdleFlowsAreBounded(t *testing.T) {
	q := New(4)
	for i := range 1000 {
		fill(t, q, 1, Item{Account: fmt.Sprint("account", i), Cost: float64(1 + i%7)})
		q.Pop(0)
		if len(q.flows) > minIdle {
			t.Fatalf("%d flows are kept, more than %d", len(q.flows), minIdle)
		}
	}
}

func TestFull(t *testing.T) {
	t.Run("an item of a small account evicts one of a large account", func(t *testing.T) {
		q := New(10)
		fill(t, q, 10, Item{Account: "large"})
		evicted, ok := q.Push(0, Item{Key: 100, Account: "small"})
		checkSame(t, "accepted", true, ok)
		checkSame(t, "evicted", []Item{{Key: 10, Account: "large", Weight: 1, Cost: 1}}, evicted)
	})
	t.Run("the large account itself is refused", func(t *testing.T) {
		q := New(10)
		fill(t, q, 10, Item{Account: "large"})
		_, ok := q.Push(0, Item{Key: 100, Account: "large"})
		checkSame(t, "accepted", false, ok)
	})
	t.Run("a higher level evicts items of a lower one down to its reserve", func(t *testing.T) {
		q := New(32)
		for i := range 32 {
			fill(t, q, 1, Item{Account: fmt.Sprint(i), Priority: 3})
		}
		accepted := 0
		for i := range 40 {
			if _, ok := q.Push(0, Item{Key: uint64(100 + i), Account: fmt.Sprint("high", i)}); ok {
				accepted++
			}
		}
		checkSame(t, "accepted", 32-32/reserveDivisor, accepted)
	})
}

// fill pushes count copies of an item with unused keys.
func fill(t *testing.T, q *Queue, count int, item Item) {
	t.Helper()
	for range count {
		item.Key = uint64(len(q.entries) + 1)
		for q.entries[item.Key] != nil {
			item.Key += 10_000
		}
		if _, ok := q.Push(0, item); !ok {
			t.Fatalf("item %d of %s was refused", item.Key, item.Account)
		}
	}
}

// popped pops items and counts them by account.
func popped(q *Queue, count int) map[string]int {
	counts := map[string]int{}
	for range count {
		item, _ := q.Pop(0)
		counts[item.Account]++
	}
	return counts
}

func checkSame(t interface {
	Helper()
	Fatalf(string, ...any)
}, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

func BenchmarkPushPop(b *testing.B) {
	for _, accounts := range []int{5, 100, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			names := make([]string, accounts)
			q := New(2048)
			for i := range names {
				names[i] = fmt.Sprint("account", i)
				q.Push(0, Item{Key: uint64(i), Account: names[i], Deadline: time.Duration(i + 1)})
			}
			b.ReportAllocs()
			key := uint64(accounts)
			for b.Loop() {
				q.Push(0, Item{Key: key, Account: names[key%uint64(accounts)], Deadline: time.Duration(key)})
				q.Pop(0)
				key++
			}
		})
	}
}
