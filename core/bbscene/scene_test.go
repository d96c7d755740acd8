package bbscene

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbjob"
)

const (
	ms        = time.Millisecond
	objective = 1800 * ms
	limit     = 6 * time.Second
)

// testPool returns a pool whose calls take 200 ms plus a time for each piece, with the given result memory.
func testPool(service string, workers, batch int, piece time.Duration, memory float64) Pool {
	return Pool{
		Service: service,
		Workers: workers,
		Spec: bbcatalog.Pool{
			Slots:             1,
			Queue:             2,
			Batch:             batch,
			CallTime:          200 * ms,
			PieceTime:         piece,
			ResultMemoryBytes: memory,
			ResultTTL:         4 * time.Second,
		},
	}
}

// fair has the pools of a deployment in which all stages are shared by two kinds of request.
func fair() Settings {
	return Settings{
		Pools: []Pool{
			testPool("portal", 3, 8, 21*ms, 18e6),
			testPool("desk", 5, 14, 12*ms, 1.7e6),
			testPool("board", 5, 22, 7800*time.Microsecond, 0.29e6),
		},
		Engines:    9,
		Zones:      []string{"a", "b", "c"},
		Latency:    5 * ms,
		RetrySlack: 50,
	}
}

// chain returns the stages of a request: a chain of three, and a separate stage with extra pieces whose large
// results only the engine needs.
func chain(extra int) []bbjob.Stage {
	return []bbjob.Stage{
		{Service: "portal", ResultBytes: 1.5e6, Pieces: extra},
		{Service: "portal", ResultBytes: 8e3, Pieces: 1},
		{Service: "desk", After: []int{1}, ResultBytes: 60e3, Pieces: 6},
		{Service: "board", After: []int{2}, ResultBytes: 6e3, Pieces: 10},
	}
}

// order returns an order whose route depends on its priority.
func order(id string, priority int, stages []bbjob.Stage) bbjob.Order {
	return bbjob.Order{
		ID:        id,
		Route:     fmt.Sprint("route", priority),
		Service:   EngineService,
		Stages:    stages,
		Key:       "key of " + id,
		Prompt:    bbjob.Prompt{Model: "m", Tokens: 1500, Output: 50},
		Priority:  priority,
		Objective: objective,
		Limit:     limit,
		Zone:      "a",
		Region:    "a",
	}
}

// onTime counts the orders of a kind that were on time.
func onTime(s *Scene, kind string) (served, all int) {
	for id, o := range s.Outcomes {
		if !strings.HasPrefix(id, kind) {
			continue
		}
		all++
		if o.OnTime(objective) {
			served++
		}
	}
	return served, all
}

// wantShare checks that at least a share of the orders of a kind was on time.
func wantShare(t *testing.T, s *Scene, kind string, least float64) {
	t.Helper()
	served, all := onTime(s, kind)
	if share := float64(served) / float64(all); share < least {
		t.Errorf("%s: %d of %d on time, a share of %.2f; want at least %.2f", kind, served, all, share, least)
	}
}

// wantTotals checks the number of pieces and requests without inputs, and that of pieces without memory.
func wantTotals(t *testing.T, s *Scene, missingInputs, noMemory int) {
	t.Helper()
	got := [2]int{s.Totals.MissingInputs, s.Totals.StorageFull}
	if diff := cmp.Diff([2]int{missingInputs, noMemory}, got); diff != "" {
		t.Errorf("missing inputs and pieces without memory (-want +got):\n%s", diff)
	}
}

// steady schedules orders at a rate, in groups of three that arrive at once.
func steady(s *Scene, kind string, priority int, perSecond float64, from, until time.Duration, stages func(i int) []bbjob.Stage) {
	gap := time.Duration(3 / perSecond * float64(time.Second))
	i := 0
	for at := from; at < until; at += gap {
		for range 3 {
			i++
			s.Arrive(at, order(fmt.Sprintf("%s%d", kind, i), priority, stages(i)))
		}
	}
}

func plainChain(int) []bbjob.Stage { return chain(0) }

// mixedChain has pieces with large results in two requests of five.
func mixedChain(i int) []bbjob.Stage { return chain([]int{3, 0, 0, 1, 0}[i%5]) }

func TestOneRequestGoesThroughAllStages(t *testing.T) {
	s := New(fair())
	s.Arrive(0, order("one", 0, chain(2)))
	s.Run(3 * time.Second)
	o := s.Outcomes["one"]
	if o.First == 0 || o.Grants != 1 {
		t.Fatalf("outcome %+v, want one grant and a first token", o)
	}
	wantTotals(t, s, 0, 0)
}

// Pattern: constant load at the mean rate.
func TestCalmLoadIsOnTime(t *testing.T) {
	s := New(fair())
	steady(s, "draft", 0, 5.6, 0, 20*time.Second, plainChain)
	steady(s, "chat", 2, 9.5, 100*ms, 20*time.Second, mixedChain)
	s.Run(25 * time.Second)
	wantShare(t, s, "draft", 0.98)
	wantShare(t, s, "chat", 0.9)
	wantTotals(t, s, 0, 0)
}

// Pattern: burst of one class. The urgent kind arrives 2.3 times as often; the less urgent one gets the
// remaining capacity.
func TestBurstOfTheUrgentKind(t *testing.T) {
	s := New(fair())
	steady(s, "draft", 0, 13, 0, 10*time.Second, plainChain)
	steady(s, "chat", 2, 9.5, 100*ms, 10*time.Second, mixedChain)
	s.Run(20 * time.Second)
	wantShare(t, s, "draft", 0.75)
}

// Pattern: overload to twice the capacity. Late requests must not delay those that can still be on time.
func TestOverloadKeepsUrgentWorkOnTime(t *testing.T) {
	s := New(fair())
	steady(s, "draft", 0, 12, 0, 12*time.Second, plainChain)
	steady(s, "chat", 2, 30, 100*ms, 12*time.Second, plainChain)
	s.Run(25 * time.Second)
	wantShare(t, s, "draft", 0.7)
}

// hall has the pools of a deployment whose middle stage has little memory: four results of each request stay
// there until the last stage has read them.
func hall() Settings {
	s := fair()
	s.Pools = []Pool{
		testPool("portal", 3, 8, 21*ms, 18e6),
		testPool("desk", 4, 8, 21*ms, 1.1e6),
		testPool("board", 5, 16, 11*ms, 0.22e6),
	}
	s.RetryRefused = true
	return s
}

// Pattern: a burst of one class while workers of the last stage are slow. Requests that can no longer be on
// time are refused if their queueing delay would be long, because their results would fill the memory of the
// previous stage.
func TestLateRequestsDontHoldMemoryInABurst(t *testing.T) {
	s := New(hall())
	stages := func(int) []bbjob.Stage {
		list := chain(0)
		list[2].Pieces = 4
		return list
	}
	steady(s, "brief", 0, 5, 0, 30*time.Second, stages)
	steady(s, "digest", 1, 6.4, 50*ms, 30*time.Second, stages)
	steady(s, "burst", 0, 14, 3*time.Second, 12*time.Second, stages)
	s.At(4*time.Second, func() { s.SetSlowdown("board-0", 3); s.SetSlowdown("board-1", 3) })
	s.At(12*time.Second, func() { s.SetSlowdown("board-0", 1); s.SetSlowdown("board-1", 1) })
	s.Run(38 * time.Second)
	// The burst lasts for less than a third of the simulated time.
	wantShare(t, s, "brief", 2./3)
	wantShare(t, s, "digest", 2./3)
}

// Pattern: a worker becomes slow and recovers. It must get calls again afterwards.
func TestSlowWorkerIsUsedAgain(t *testing.T) {
	s := New(fair())
	steady(s, "draft", 0, 12, 0, 24*time.Second, plainChain)
	s.At(2*time.Second, func() { s.SetSlowdown("board-0", 5); s.SetSlowdown("board-1", 5) })
	s.At(6*time.Second, func() { s.SetSlowdown("board-0", 1); s.SetSlowdown("board-1", 1) })
	var before int
	s.At(14*time.Second, func() { before = s.workers["board-0"].resultCount })
	s.Run(28 * time.Second)
	if after := s.workers["board-0"].resultCount; after <= before {
		t.Errorf("board-0 made %d results by second 14 and %d by the end; want more after it recovered", before, after)
	}
	late := 0
	for id, o := range s.Outcomes {
		if o.Arrived > 14*time.Second && !o.OnTime(objective) {
			late++
			t.Logf("%s arrived at %v and had its first token at %v (%s)", id, o.Arrived, o.First, o.Refused)
		}
	}
	if late > 12 {
		t.Errorf("%d requests were late after the workers had recovered, want at most 12 of 120", late)
	}
}

// Pattern: the coordinator fails. The origins report the results that they know of to the next one.
func TestResultsGoToTheNextCoordinator(t *testing.T) {
	s := New(fair())
	o := order("one", 0, chain(0))
	s.Arrive(0, o)
	s.At(600*ms, func() {
		s.SetSoleCoordinator(false)
		s.Replace()
		o.Results = s.KnownResults["one"]
		s.Arrive(s.Now+ms, o)
	})
	s.Run(4 * time.Second)
	if len(o.Results) < 7 {
		t.Errorf("the origin knew of %d results after 0.6 s, want the first two stages", len(o.Results))
	}
	got := s.Outcomes["one"]
	if got.First == 0 || got.First > 1200*ms {
		t.Errorf("first token at %v, want one within 1.2 s, since two stages were done", got.First)
	}
}

// Pattern: large results that only the engine needs. They are computed last, so that they don't take memory
// until the other stages are done.
func TestLargeResultsAreComputedLast(t *testing.T) {
	s := New(fair())
	s.Arrive(0, order("one", 0, chain(2)))
	s.Run(3 * time.Second)
	var stages []int
	for _, m := range s.KnownResults["one"] {
		if n := len(stages); n == 0 || stages[n-1] != m.Stage {
			stages = append(stages, m.Stage)
		}
	}
	if stages[0] != 1 || stages[1] != 2 {
		t.Errorf("stages were computed in the order %v, want the large results of stage 0 after stages 1 and 2", stages)
	}
}

// Pattern: planned shutdown of the coordinator. It hands back all requests with their results so far.
func TestLeavingCoordinatorHandsBack(t *testing.T) {
	s := New(fair())
	for i := range 4 {
		s.Arrive(0, order(fmt.Sprint("one", i), 0, chain(1)))
	}
	s.At(500*ms, s.Leave)
	s.Run(1500 * ms)
	if len(s.HandedBack) != 4 {
		t.Errorf("handed back %d requests, want 4", len(s.HandedBack))
	}
	if s.Coordinator.Len() != 0 {
		t.Errorf("%d requests are left, want none", s.Coordinator.Len())
	}
}

// Pattern: results of a previous coordinator fill the workers' memory. No piece may wait forever.
func TestMemoryFullOfUnknownResults(t *testing.T) {
	s := New(fair())
	s.Trace = func(line string) { t.Log(line) }
	for id, w := range s.workers {
		for i := range 25 {
			w.results[fmt.Sprint(id, "/old", i)] = storedResult{
				bytes:   w.spec.ResultMemoryBytes / 26,
				expires: 3 * time.Second,
			}
		}
	}
	steady(s, "draft", 0, 6, 0, 9*time.Second, plainChain)
	s.Run(15 * time.Second)
	late := 0
	for _, o := range s.Outcomes {
		if o.Arrived > 4*time.Second && !o.OnTime(objective) {
			late++
		}
	}
	if late > 2 {
		t.Errorf("%d requests were late after the memory was freed, want at most 2", late)
	}
	if s.Totals.MissingInputs > 0 {
		t.Errorf("%d inputs were missing, want none: those of pieces without memory are kept or recomputed", s.Totals.MissingInputs)
	}
}

func TestRunsAreDeterministic(t *testing.T) {
	play := func() Totals {
		s := New(fair())
		steady(s, "draft", 0, 13, 0, 5*time.Second, plainChain)
		steady(s, "chat", 2, 9.5, 100*ms, 5*time.Second, mixedChain)
		s.Run(10 * time.Second)
		return s.Totals
	}
	if diff := cmp.Diff(play(), play()); diff != "" {
		t.Errorf("two runs differ (-first +second):\n%s", diff)
	}
}
