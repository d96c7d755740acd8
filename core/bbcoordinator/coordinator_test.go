package bbcoordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbprogress"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbspeed"
)

const ms = time.Millisecond

// newTestCoordinator returns a coordinator of a first stage with large results, a second stage with
// calls of four pieces, and an engine. The second stage has the named endpoints, s1 and s2 if none
// are named.
func newTestCoordinator(second ...string) *Coordinator {
	pool := func(name string, batch int, memory float64) *bbcatalog.Service {
		return &bbcatalog.Service{
			Name: name,
			Pool: &bbcatalog.Pool{
				Slots:             1,
				Queue:             2,
				Batch:             batch,
				CallTime:          200 * ms,
				PieceTime:         10 * ms,
				ResultMemoryBytes: memory,
				ResultTTL:         4 * time.Second,
			},
		}
	}
	services := map[string]*bbcatalog.Service{
		"first":  pool("first", 4, 10e6),
		"second": pool("second", 4, 10e6),
		"engine": {
			Name: "engine",
			Engine: &bbcatalog.Engine{
				Slots:  10,
				Tokens: 1e5,
			},
		},
	}
	entry := func(id, service string) *bbregistry.Entry {
		return &bbregistry.Entry{
			Endpoint: bbregistry.Endpoint{
				ID:      id,
				Service: service,
				Address: "address of " + id,
				Zone:    "east",
			},
		}
	}
	entries := map[string][]*bbregistry.Entry{
		"first":  {entry("f1", "first")},
		"engine": {entry("e1", "engine")},
	}
	if len(second) == 0 {
		second = []string{"s1", "s2"}
	}
	for _, id := range second {
		entries["second"] = append(entries["second"], entry(id, "second"))
	}
	return New(Environment{
		Service:         func(name string) *bbcatalog.Service { return services[name] },
		Endpoints:       func(service string) []*bbregistry.Entry { return entries[service] },
		Region:          func(string) string { return "r" },
		Majority:        func() bool { return true },
		SoleCoordinator: func() bool { return true },
	}, Limits{
		RetryRatio: 0.2,
		RetrySlack: 10,
		RetrySpan:  10 * time.Second,
	})
}

// testOrder returns an order with one piece in the first stage and the given number in the second.
func testOrder(id string, second int) bbjob.Order {
	return bbjob.Order{
		ID:      id,
		Route:   "route",
		Service: "engine",
		Stages: []bbjob.Stage{
			{Service: "first", ResultBytes: 1e6, Pieces: 1},
			{Service: "second", After: []int{0}, ResultBytes: 1e3, Pieces: second},
		},
		Key:       "key of " + id,
		Objective: 2 * time.Second,
		Limit:     6 * time.Second,
	}
}

// good returns a result for each piece of a call.
func good(c *bbpool.Call) []bbdecision.PieceResult {
	results := make([]bbdecision.PieceResult, len(c.Pieces))
	for i, p := range c.Pieces {
		results[i].Handle = c.Endpoint + "/" + p.Job + string(rune('0'+p.Stage)) + string(rune('0'+p.Piece))
	}
	return results
}

// freedHandles returns all handles that are freed.
func freedHandles(out bbdecision.Output) []string {
	var handles []string
	for _, f := range out.Releases {
		handles = append(handles, f.Handles...)
	}
	return handles
}

// wantFreed checks which results are freed.
func wantFreed(t *testing.T, out bbdecision.Output, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, freedHandles(out)); diff != "" {
		t.Errorf("freed results (-want +got):\n%s", diff)
	}
}

// toSecond completes the first stage of an order and returns the calls of the second.
func toSecond(t *testing.T, c *Coordinator, o bbjob.Order) []*bbpool.Call {
	t.Helper()
	out := c.Submit(0, o)
	if len(out.Calls) != 1 {
		t.Fatalf("%d calls for the first stage, want 1", len(out.Calls))
	}
	out = c.CallDone(210*ms, out.Calls[0].ID, "east", bbhealth.OutcomeGood, good(out.Calls[0]))
	return out.Calls
}

func TestInputsStayWhileAPieceWaits(t *testing.T) {
	c := newTestCoordinator("s1")
	calls := toSecond(t, c, testOrder("a", 6))
	wantFreed(t, c.Tick(335*ms))
	// The first call fetched its inputs, but the endpoint had no memory for its results.
	results := make([]bbdecision.PieceResult, len(calls[0].Pieces))
	for i := range results {
		results[i].StorageFull = true
	}
	wantFreed(t, c.CallDone(340*ms, calls[0].ID, "east", bbhealth.OutcomeGood, results))
	out := c.Tick(500 * ms)
	if len(out.Calls) != 1 || len(out.Calls[0].Pieces) != 4 {
		t.Fatalf("calls %+v once memory should be free, want one with 4 of the 6 pieces", out.Calls)
	}
	// The second call has fetched its inputs too, but two pieces wait for a third call.
	wantFreed(t, c.Tick(640*ms))
}

func TestInputsAreFreedOnceAllPiecesHaveThem(t *testing.T) {
	c := newTestCoordinator()
	toSecond(t, c, testOrder("a", 6))
	wantFreed(t, c.Tick(250*ms))
	wantFreed(t, c.Tick(400*ms), "f1/a00")
}

func TestLostInputsAreRecomputed(t *testing.T) {
	c := newTestCoordinator()
	calls := toSecond(t, c, testOrder("a", 2))
	results := []bbdecision.PieceResult{{InputMissing: true}, {InputMissing: true}}
	out := c.CallDone(300*ms, calls[0].ID, "east", bbhealth.OutcomeGood, results)
	if len(out.Calls) != 1 || out.Calls[0].Service != "first" {
		t.Fatalf("calls %+v after the input was lost, want one of the first stage", out.Calls)
	}
	out = c.CallDone(520*ms, out.Calls[0].ID, "east", bbhealth.OutcomeGood, good(out.Calls[0]))
	if len(out.Calls) != 1 || len(out.Calls[0].Pieces) != 2 {
		t.Fatalf("calls %+v after the input was recomputed, want one with both pieces", out.Calls)
	}
}

func TestPiecesGetTheInputsOfTheirRequest(t *testing.T) {
	c := newTestCoordinator()
	calls := toSecond(t, c, testOrder("a", 1))
	key, inputs, ok := c.PieceInputs(calls[0].Pieces[0])
	if diff := cmp.Diff([]string{"f1/a00"}, inputs); diff != "" || key != "" || !ok {
		t.Errorf("key %q, known %v, inputs (-want +got):\n%s", key, ok, diff)
	}
}

func TestResultOfACancelledRequestIsFreed(t *testing.T) {
	c := newTestCoordinator()
	out := c.Submit(0, testOrder("a", 1))
	c.Cancel(100*ms, "a")
	out = c.CallDone(210*ms, out.Calls[0].ID, "east", bbhealth.OutcomeGood, good(out.Calls[0]))
	wantFreed(t, out, "f1/a00")
}

func TestGrantHasTheFinalInputsInOrder(t *testing.T) {
	c := newTestCoordinator()
	calls := toSecond(t, c, testOrder("a", 2))
	out := c.CallDone(430*ms, calls[0].ID, "east", bbhealth.OutcomeGood, good(calls[0]))
	if len(out.Grants) != 1 {
		t.Fatalf("%d grants, want 1", len(out.Grants))
	}
	want := []string{calls[0].Endpoint + "/a10", calls[0].Endpoint + "/a11"}
	if diff := cmp.Diff(want, out.Grants[0].Inputs); diff != "" {
		t.Errorf("inputs of the grant (-want +got):\n%s", diff)
	}
}

// toGrant runs a request until its engine is granted, with its last results at 430 ms.
func toGrant(t *testing.T, c *Coordinator, o bbjob.Order) {
	t.Helper()
	calls := toSecond(t, c, o)
	if out := c.CallDone(430*ms, calls[0].ID, "east", bbhealth.OutcomeGood, good(calls[0])); len(out.Grants) != 1 {
		t.Fatalf("%d grants, want 1", len(out.Grants))
	}
}

// After an engine reports an input as missing, no second grant with the same inputs is given: they
// are recomputed first, by this coordinator and by its successor.
func TestInputsMissingAtTheEngineAreRecomputed(t *testing.T) {
	again := testOrder("a", 2)
	again.Repeat = true
	again.InputsGone = true
	t.Run("same coordinator", func(t *testing.T) {
		c := newTestCoordinator()
		toGrant(t, c, testOrder("a", 2))
		out := c.Submit(500*ms, again)
		if len(out.Grants) > 0 || len(out.Calls) != 1 || out.Calls[0].Service != "first" {
			t.Errorf("grants %+v, calls %+v, want a call of the first stage", out.Grants, out.Calls)
		}
	})
	t.Run("next coordinator", func(t *testing.T) {
		c := newTestCoordinator()
		o := again
		o.Results = []bbjob.StageResult{
			{Stage: 0, Piece: 0, Handle: "f1/a00", Producer: "f1"},
			{Stage: 1, Piece: 0, Handle: "s1/a10", Producer: "s1"},
			{Stage: 1, Piece: 1, Handle: "s1/a11", Producer: "s1"},
		}
		out := c.Submit(0, o)
		if len(out.Grants) > 0 || len(out.Calls) != 1 || out.Calls[0].Service != "second" {
			t.Errorf("grants %+v, calls %+v, want a call of the second stage", out.Grants, out.Calls)
		}
	})
}

// The inputs of a request that waited for an engine until they expired are recomputed before a
// grant.
func TestExpiredInputsAreRecomputedBeforeAGrant(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 2)
	o.Limit = 20 * time.Second
	o.Avoid = []string{"e1"}
	calls := toSecond(t, c, o)
	if out := c.CallDone(430*ms, calls[0].ID, "east", bbhealth.OutcomeGood, good(calls[0])); len(out.Grants) > 0 {
		t.Fatalf("granted %+v, want no engine to be free", out.Grants)
	}
	c.jobs["a"].Order.Avoid = nil
	out := c.Tick(4440 * ms)
	if len(out.Grants) > 0 || len(out.Calls) != 1 || out.Calls[0].Service != "first" {
		t.Errorf("grants %+v, calls %+v, want a call of the first stage", out.Grants, out.Calls)
	}
}

// A late request with some pieces of its last stage done is not refused because of the pieces that
// are still queued.
func TestLateRequestKeepsItsBegunStage(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 6)
	o.Objective = 500 * ms
	calls := toSecond(t, c, o)
	if len(calls) != 2 {
		t.Fatalf("%d calls, want the pieces in two", len(calls))
	}
	for i := range 30 {
		other := testOrder(fmt.Sprint("other", i), 4)
		other.Stages = []bbjob.Stage{{Service: "second", ResultBytes: 1e3, Pieces: 4}}
		other.Objective = 6 * time.Second
		other.Limit = 20 * time.Second
		c.Submit(220*ms, other)
	}
	c.CallDone(600*ms, calls[0].ID, "east", bbhealth.OutcomeGood, good(calls[0]))
	out := c.CallDone(610*ms, calls[1].ID, "east", bbhealth.OutcomeFull, nil)
	out.Refusals = append(out.Refusals, c.Tick(640*ms).Refusals...)
	for _, r := range out.Refusals {
		if r.ID == "a" {
			t.Errorf("refused with %s, want the remaining pieces to be computed", r.Reason)
		}
	}
}

// Only the missing inputs of an engine are recomputed, with what they depend on.
func TestOnlyMissingInputsAreRecomputed(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 1)
	o.Stages = []bbjob.Stage{
		{Service: "first", ResultBytes: 1e6, Pieces: 1},
		{Service: "first", ResultBytes: 1e3, Pieces: 1},
		{Service: "second", After: []int{1}, ResultBytes: 1e3, Pieces: 1},
		{Service: "second", After: []int{2}, ResultBytes: 1e3, Pieces: 1},
	}
	o.Avoid = []string{"e1"}
	calls := c.Submit(0, o).Calls
	for now := 300 * ms; len(calls) > 0; now += 300 * ms {
		call := calls[0]
		calls = append(calls[1:], c.CallDone(now, call.ID, "east", bbhealth.OutcomeGood, good(call)).Calls...)
	}
	j := c.jobs["a"]
	if !j.Done() {
		t.Fatal("the stages are not done")
	}
	j.Order.Avoid = nil
	j.Stages[0].Pieces[0].Expires = ms
	out := c.Tick(1500 * ms)
	if len(out.Grants) > 0 || len(out.Calls) != 1 {
		t.Fatalf("grants %+v, calls %+v, want one call", out.Grants, out.Calls)
	}
	if diff := cmp.Diff([]bbpool.Piece{{Job: "a"}}, out.Calls[0].Pieces); diff != "" {
		t.Errorf("recomputed pieces (-want +got):\n%s", diff)
	}
}

// The inputs of a resumable stream are released once it has begun. When its engine breaks off, they
// are recomputed before another engine is granted.
func TestResumableStreamReleasesItsInputs(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 1)
	o.Resumable = true
	calls := toSecond(t, c, o)
	c.CallDone(430*ms, calls[0].ID, "east", bbhealth.OutcomeGood, good(calls[0]))
	wantFreed(t, c.Progress(500*ms, bbjob.Note{
		ID:       "a",
		Endpoint: "e1",
		Started:  true,
	}), calls[0].Endpoint+"/a10")
	o.Repeat = true
	out := c.Submit(900*ms, o)
	if len(out.Grants) > 0 || len(out.Calls) != 1 || out.Calls[0].Service != "first" {
		t.Errorf("grants %+v, calls %+v once the stream broke off, want a call of the first stage", out.Grants, out.Calls)
	}
}

// A retry whose first attempt was long ago, at a coordinator that doesn't know it, is admitted though
// it can't meet its objective, and is ordered after a request that can.
func TestCallerThatAskedBeforeGoesByItsFirstTry(t *testing.T) {
	c := newTestCoordinator()
	c.Submit(0, testOrder("first", 1))
	returning, fresh := testOrder("returning", 1), testOrder("fresh", 1)
	returning.Elapsed = 2 * time.Second
	returning.Stages[0].Pieces, fresh.Stages[0].Pieces = 4, 4
	out := c.Submit(10*ms, returning)
	out.Refusals = append(out.Refusals, c.Submit(20*ms, fresh).Refusals...)
	if len(out.Refusals) > 0 {
		t.Fatalf("refused %+v, want both to be admitted", out.Refusals)
	}
	calls := c.Tick(200 * ms).Calls
	if len(calls) != 1 || calls[0].Pieces[0].Job != "fresh" {
		t.Errorf("next call %+v, want the one that can be on time", calls)
	}
}

func TestStatus(t *testing.T) {
	c := newTestCoordinator()
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		c.Submit(0, testOrder(id, 1))
	}
	got := c.Status(0)
	ratio, requests := 0.2, 9.0
	left := 0.8 * (ratio*requests + 10)
	want := bbdecision.Status{
		Requests:        9,
		Waiting:         map[string]int{"first": 8, "second": 0},
		RepeatBudgets:   map[string]float64{"first": left, "second": left, "engine": left},
		WaitingRequests: map[string]int{},
		Slowness:        map[string]bbspeed.Summary{"first": {Endpoints: 1, Sum: 1, Max: 1}, "second": {Endpoints: 2, Sum: 2, Max: 1}},
	}
	if got.Examined == 0 {
		t.Error("nothing was examined, want the requests and groups that decisions looked at")
	}
	got.Examined = 0
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 2)
	o.Limit = 300 * ms
	out := c.Submit(0, o)
	if len(out.Refusals) != 1 || out.Refusals[0].RetryAfter <= 0 {
		t.Errorf("refusals %+v, want one with a retry delay", out.Refusals)
	}
}

func TestImportedResultsThatWereFreedAreRecomputed(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 1)
	o.Results = []bbjob.StageResult{{Stage: 0, Piece: 0, Handle: "f1/a00", Producer: "f1", Freed: true}}
	out := c.Submit(0, o)
	if len(out.Calls) != 1 || out.Calls[0].Service != "first" {
		t.Errorf("calls %+v, want one that recomputes the first stage", out.Calls)
	}
}

func TestPieceOfAnOverdueCallIsHedged(t *testing.T) {
	c := newTestCoordinator()
	calls := toSecond(t, c, testOrder("a", 1))
	out := c.Tick(1500 * ms)
	if len(out.Calls) != 1 || out.Calls[0].Endpoint == calls[0].Endpoint {
		t.Fatalf("calls %+v for a piece whose call is overdue, want one to the other endpoint", out.Calls)
	}
	wantInputs(t, c, out.Calls)
	// The second call has fetched the input, and fails the piece while the first is still overdue.
	wantFreed(t, c.Tick(1650*ms), "f1/a00")
	out = c.CallDone(1700*ms, out.Calls[0].ID, "east", bbhealth.OutcomeGood, []bbdecision.PieceResult{{}})
	if len(out.Calls) != 1 || out.Calls[0].Service != "first" {
		t.Fatalf("calls %+v after the second one failed, want one that recomputes the input", out.Calls)
	}
	third := out.Calls[0]
	// The first one answers in the end.
	out = c.CallDone(1750*ms, calls[0].ID, "east", bbhealth.OutcomeGood, good(calls[0]))
	if len(out.Grants) != 1 {
		t.Errorf("%d grants once the first call answered, want 1", len(out.Grants))
	}
	late := good(third)
	late[0].Handle += "again"
	wantFreed(t, c.CallDone(1900*ms, third.ID, "east", bbhealth.OutcomeGood, late), late[0].Handle)
}

func TestRepeatThatWaitsIsCountedOnce(t *testing.T) {
	c := newTestCoordinator()
	c.env.Endpoints = func(string) []*bbregistry.Entry { return nil }
	o := testOrder("a", 0)
	o.Stages = nil
	o.Repeat = true
	j := bbprogress.NewJob(0, o)
	c.jobs[o.ID] = j
	c.waiting[o.ID] = j
	for i := range 20 {
		if out := c.Tick(time.Duration(i) * 10 * ms); len(out.Refusals) > 0 {
			t.Fatalf("refused as %s while it waited, want it to wait", out.Refusals[0].Reason)
		}
	}
}

// busyCoordinator returns a coordinator whose first stage has a backlog of seconds. Its Spill function
// names the given cell as faster, unless the name is empty.
func busyCoordinator(t *testing.T, cell string) *Coordinator {
	t.Helper()
	c := newTestCoordinator()
	for i := range 12 {
		o := testOrder(fmt.Sprint("busy", i), 1)
		// Retries are admitted though they will be late.
		o.Elapsed = ms
		o.Limit = time.Minute
		o.Stages[0].Pieces = 4
		c.Submit(0, o)
	}
	c.env.Spill = func(bbjob.Order, time.Duration, func(string) bool) (string, time.Duration) {
		return cell, 500 * ms
	}
	return c
}

// wantElsewhere checks to which coordinator an order is redirected instead of being admitted.
func wantElsewhere(t *testing.T, out bbdecision.Output, want ...bbdecision.Redirect) {
	t.Helper()
	if diff := cmp.Diff(want, out.Redirects); diff != "" {
		t.Errorf("redirected orders (-want +got):\n%s", diff)
	}
}

func TestLateOrdersSpillToAnotherCell(t *testing.T) {
	t.Run("once", func(t *testing.T) {
		c := busyCoordinator(t, "next")
		wantElsewhere(t, c.Submit(0, testOrder("a", 1)), bbdecision.Redirect{
			ID:   "a",
			Cell: "next",
		})
		o := testOrder("b", 1)
		o.Spilled = true
		wantElsewhere(t, c.Submit(0, o))
	})
	t.Run("not if no cell is faster", func(t *testing.T) {
		c := busyCoordinator(t, "")
		out := c.Submit(0, testOrder("a", 1))
		wantElsewhere(t, out)
		if len(out.Refusals) != 1 || out.Refusals[0].Reason != "late" {
			t.Errorf("refusals %+v, want one of an order that would be late", out.Refusals)
		}
	})
	t.Run("not with results stored in this cell", func(t *testing.T) {
		c := busyCoordinator(t, "next")
		o := testOrder("a", 1)
		o.Results = []bbjob.StageResult{{Stage: 0, Piece: 0, Handle: "h", Producer: "f1", Address: "address of f1", Zone: "east"}}
		wantElsewhere(t, c.Submit(0, o))
	})
	t.Run("not while they can be on time here", func(t *testing.T) {
		c := newTestCoordinator()
		c.env.Spill = func(bbjob.Order, time.Duration, func(string) bool) (string, time.Duration) { return "next", 0 }
		wantElsewhere(t, c.Submit(0, testOrder("a", 1)))
	})
}

func TestResumedCoordinatorAcceptsOrders(t *testing.T) {
	c := newTestCoordinator()
	c.Leave()
	wantElsewhere(t, c.Submit(0, testOrder("a", 1)), bbdecision.Redirect{
		ID: "a",
	})
	c.Resume()
	out := c.Submit(0, testOrder("b", 1))
	wantElsewhere(t, out)
	if len(out.Calls) != 1 {
		t.Errorf("%d calls for an order after the coordinator resumed, want 1", len(out.Calls))
	}
}

// The waits that a cell publishes grow with its backlog.
func TestLoadEstimate(t *testing.T) {
	idle := newTestCoordinator()
	toSecond(t, idle, testOrder("a", 1))
	quiet, busy := idle.LoadEstimate(0), busyCoordinator(t, "").LoadEstimate(0)
	if q, b := quiet.Services["first"].Wait, busy.Services["first"].Wait; b < q+time.Second {
		t.Errorf("wait for the first stage is %v in an idle and %v in a busy cell, want a second more", q, b)
	}
	if _, ok := quiet.Engines["engine"]; !ok {
		t.Error("outlook has no engines, want those of the service that had an order")
	}
}

func TestShareOfRetries(t *testing.T) {
	c := newTestCoordinator()
	share := 1.0
	c.env.Share = func() float64 { return share }
	call := toSecond(t, c, testOrder("a", 1))[0]
	// No call is late meanwhile, which would take from the budget.
	c.CallDone(430*ms, call.ID, "east", bbhealth.OutcomeGood, good(call))
	left := func() float64 { return c.Status(5 * time.Second).RepeatBudgets["second"] }
	c.Tick(2 * time.Second)
	whole := left()
	share = 0.25
	c.Tick(4 * time.Second)
	if got := whole - left(); got < 5.9 || got > 6.1 {
		t.Errorf("a quarter of the budget is %.1f retries less, want 6: three quarters of 10, with a part held back", got)
	}
}

// Malformed orders are refused, whoever sent them.
func TestMalformedOrders(t *testing.T) {
	for name, corrupt := range map[string]func(o *bbjob.Order){
		"negative number of pieces":      func(o *bbjob.Order) { o.Stages[0].Pieces = -1 },
		"too many pieces":                func(o *bbjob.Order) { o.Stages[0].Pieces = 1 << 40 },
		"dependency on an unknown stage": func(o *bbjob.Order) { o.Stages[1].After = []int{7} },
		"dependency on itself":           func(o *bbjob.Order) { o.Stages[1].After = []int{1} },
		"negative prompt size":           func(o *bbjob.Order) { o.Prompt.Tokens = -5 },
		"answer size out of range":       func(o *bbjob.Order) { o.Prompt.Output = 1 << 62 },
		"result with a negative stage":   func(o *bbjob.Order) { o.Results = []bbjob.StageResult{{Stage: -1}} },
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCoordinator()
			o := testOrder("a", 1)
			corrupt(&o)
			out := c.Submit(0, o)
			if len(out.Refusals) != 1 || out.Refusals[0].Reason != "malformed" || c.Len() != 0 {
				t.Errorf("refusals %+v and %d requests in progress, want the order refused as malformed", out.Refusals, c.Len())
			}
		})
	}
}
