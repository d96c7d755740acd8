package bbplacement

import (
	"fmt"
	"testing"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
)

var engines = []Endpoint{
	{ID: "e1", Zone: "east"},
	{ID: "e2", Zone: "west"},
}

func newTestTable() *Table {
	return NewTable(bbcatalog.Engine{
		Slots:  4,
		Tokens: 50e3,
	})
}

// need returns a need whose prompt has a shared part and one of its own.
func need(job, shared string) Need {
	return Need{
		Job: job,
		Prompt: bbjob.Prompt{
			Model:  "m",
			Tokens: 9000,
			Output: 50,
			Parts:  []bbjob.Part{{ID: shared, Tokens: 6000}, {ID: "own of " + job, Tokens: 3000}},
		},
		Zone:        "east",
		OtherRegion: func(string) bool { return false },
		Allowed:     func(string) bool { return true },
	}
}

var free = RateLimit{AllowCold: true}

func wantChoice(t *testing.T, table *Table, now time.Duration, n Need, p RateLimit, want string) {
	t.Helper()
	got, ok := table.Choose(now, n, engines, p)
	if (want != "") != ok || got.ID != want {
		t.Errorf("choice for %s is %q, %v; want %q", n.Job, got.ID, ok, want)
	}
}

func TestSharedPartsAreComputedOnce(t *testing.T) {
	table := newTestTable()
	wantChoice(t, table, 0, need("a", "shared"), free, "e1")
	table.Started("e1", "a")
	wantChoice(t, table, time.Second, need("b", "shared"), free, "e1")
	t.Run("unless the engine is busy for longer", func(t *testing.T) {
		wantChoice(t, table, time.Second, need("x", "other"), free, "e2")
	})
}

func TestOwnGrantsCountImmediately(t *testing.T) {
	table := newTestTable()
	wantChoice(t, table, 0, need("a", "one"), free, "e1")
	wantChoice(t, table, 0, need("b", "two"), free, "e2")
}

func TestMemoryBoundsGrants(t *testing.T) {
	table := newTestTable()
	table.Spec.Tokens = 10e3
	wantChoice(t, table, 0, need("a", "one"), free, "e1")
	wantChoice(t, table, 0, need("b", "one"), free, "e2")
	wantChoice(t, table, 0, need("c", "one"), free, "")
	table.Ended(time.Second, "e1", "a", bbhealth.OutcomeGood)
	wantChoice(t, table, time.Second, need("c", "one"), free, "e1")
}

func TestRateLimitAppliesToWarmEngines(t *testing.T) {
	table := NewTable(bbcatalog.Engine{
		Slots:  1000,
		Tokens: 1e9,
	})
	limit := RateLimit{
		PerSecond: 9.4,
		Burst:     3,
		AllowCold: true,
	}
	one := engines[:1]
	var at []time.Duration
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		if _, ok := table.Choose(now, need(fmt.Sprint(now), "s"), one, limit); ok {
			at = append(at, now)
		}
	}
	for i := range at {
		n := 0
		for _, later := range at[i:] {
			if later-at[i] < time.Second {
				n++
			}
		}
		// Two coordinators with half a fleet each must together stay under 1.5 times the rate plus 5.
		if n > 13 {
			t.Fatalf("%d grants within a second from %v, want at most 13", n, at[i])
		}
	}
}

func TestColdEnginesWithoutMajority(t *testing.T) {
	table := newTestTable()
	cold := []Endpoint{{ID: "e1", Zone: "east", Cold: true}}
	if e, ok := table.Choose(0, need("a", "s"), cold, RateLimit{PerSecond: 5, Burst: 1}); ok {
		t.Errorf("granted %s, which is cold, want none", e.ID)
	}
}

func TestUnreachableEngine(t *testing.T) {
	table := newTestTable()
	wantChoice(t, table, 0, need("a", "s"), free, "e1")
	table.Ended(0, "e1", "a", bbhealth.OutcomeUnreachable)
	wantChoice(t, table, 1, need("a", "s"), free, "e2")
}

func TestAvoidedEngines(t *testing.T) {
	table := newTestTable()
	n := need("a", "s")
	n.Avoid = []string{"e1"}
	wantChoice(t, table, 0, n, free, "e2")
}

func TestLargeInputsStayInTheirFailureDomain(t *testing.T) {
	table := newTestTable()
	n := need("a", "s")
	n.Inputs = map[string]float64{"west": 4e6}
	wantChoice(t, table, 0, n, free, "e2")
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	var c prefixCache
	c.add(bbjob.Prompt{Parts: []bbjob.Part{{ID: "a", Tokens: 60}}}, 100)
	c.add(bbjob.Prompt{Parts: []bbjob.Part{{ID: "b", Tokens: 60}}}, 100)
	if got := c.parts(bbjob.Prompt{Parts: []bbjob.Part{{ID: "a", Tokens: 60}}}); got != 0 {
		t.Errorf("%d parts of the older prompt are cached, want none", got)
	}
	if got := c.parts(bbjob.Prompt{Parts: []bbjob.Part{{ID: "b", Tokens: 60}}}); got != 1 {
		t.Errorf("%d parts of the newer prompt are cached, want 1", got)
	}
}

func TestSuspectRunsAlone(t *testing.T) {
	table := newTestTable()
	wantChoice(t, table, 0, need("a", "one"), free, "e1")
	suspect := need("b", "one")
	suspect.Alone = true
	wantChoice(t, table, 0, suspect, free, "e2")
	wantChoice(t, table, 0, suspect, free, "")
}

// needAtFirst returns a need for the first engine only.
func needAtFirst(job string) Need {
	n := need(job, "one")
	n.Avoid = []string{"e2"}
	return n
}

// A request that runs alone must share its engine with no other before it has started: otherwise a crash
// would be attributed to both.
func TestSuspectThatHasNotStartedRunsAlone(t *testing.T) {
	table := newTestTable()
	suspect := needAtFirst("a")
	suspect.Alone = true
	wantChoice(t, table, 0, suspect, free, "e1")
	wantChoice(t, table, 0, needAtFirst("b"), free, "")
	table.Started("e1", "a")
	wantChoice(t, table, 0, needAtFirst("b"), free, "e1")
}

func TestWatchedRequestsStartSeparately(t *testing.T) {
	table := newTestTable()
	watched := func(job string) Need {
		n := needAtFirst(job)
		n.Watched = true
		return n
	}
	wantChoice(t, table, 0, watched("a"), free, "e1")
	wantChoice(t, table, 0, watched("b"), free, "")
	wantChoice(t, table, 0, needAtFirst("c"), free, "e1")
	table.Started("e1", "a")
	wantChoice(t, table, 0, watched("b"), free, "e1")
}

func TestEvictStale(t *testing.T) {
	table := newTestTable()
	wantChoice(t, table, 0, need("a", "one"), free, "e1")
	wantChoice(t, table, 0, need("b", "two"), free, "e2")
	table.Ended(0, "e2", "b", bbhealth.OutcomeGood)
	table.EvictStale(time.Second, nil)
	if len(table.engines) != 1 {
		t.Errorf("%d engines are known, want the one that still runs something", len(table.engines))
	}
	table.EvictStale(runExpiry+time.Second, nil)
	if len(table.engines)+len(table.lastUsed) != 0 {
		t.Errorf("%d engines and %d parts are known, want none", len(table.engines), len(table.lastUsed))
	}
}

// Guards against streams that go on at another version because its engines are cheaper, and against estimates by
// engines that can't take them.
func TestOnlyEnginesOfTheVersion(t *testing.T) {
	versions := []Endpoint{
		{ID: "e1", Zone: "east", Version: "v1"},
		{ID: "e2", Zone: "west", Version: "v2"},
		{ID: "e3", Zone: "east"},
	}
	for version, want := range map[string]Endpoint{"v1": versions[0], "v2": versions[1], "v3": {}} {
		n := need("a", "shared")
		n.Version = version
		table := newTestTable()
		zone, _ := table.EstimateFirstToken(0, n, versions)
		got, ok := table.Choose(0, n, versions, free)
		if got != want || ok != n.SuitsAny(versions) || ok != (want.ID != "") || zone != want.Zone {
			t.Errorf("choice for version %s is %+v, %v, estimate in %q; want %+v", version, got, ok, zone, want)
		}
	}
	t.Run("all without a version", func(t *testing.T) {
		table := newTestTable()
		for _, want := range []string{"e1", "e3", "e2"} {
			if got, _ := table.Choose(0, need("job at "+want, "own of "+want), versions, free); got.ID != want {
				t.Errorf("choice is %q, want %q", got.ID, want)
			}
		}
	})
}
