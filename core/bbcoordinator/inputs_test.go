package bbcoordinator

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
)

// gone returns results that report the inputs of all pieces as missing.
func gone(c *bbpool.Call) []bbdecision.PieceResult {
	results := make([]bbdecision.PieceResult, len(c.Pieces))
	for i := range results {
		results[i].InputMissing = true
	}
	return results
}

// wantInputs checks that all pieces of calls have all of their inputs, none of them released.
func wantInputs(t *testing.T, c *Coordinator, calls []*bbpool.Call) {
	t.Helper()
	for _, call := range calls {
		for _, p := range call.Pieces {
			if _, inputs, ok := c.PieceInputs(p); !ok || p.Stage > 0 && (len(inputs) == 0 || slices.Contains(inputs, "")) {
				t.Errorf("call %d to %s has %+v with inputs %q", call.ID, call.Endpoint, p, inputs)
			}
			if j := c.jobs[p.Job]; j != nil && !j.InputsAvailable(p.Stage) {
				t.Errorf("call %d to %s has %+v, whose inputs were released", call.ID, call.Endpoint, p)
			}
		}
	}
}

// twoCalls returns a coordinator with two calls for the second stage of a request that share their
// input. Until wake is called the workers of that stage get no other calls.
func twoCalls(t *testing.T) (c *Coordinator, first, second *bbpool.Call, wake func()) {
	t.Helper()
	c = newTestCoordinator()
	backingOff := false
	c.env.BackoffUntil = func(endpoint string) time.Duration {
		if backingOff && endpoint != "f1" && endpoint != "e1" {
			return time.Second
		}
		return 0
	}
	calls := toSecond(t, c, testOrder("a", 6))
	if len(calls) != 2 {
		t.Fatalf("calls %+v, want two for six pieces", calls)
	}
	backingOff = true
	return c, calls[0], calls[1], func() { backingOff = false }
}

// Pieces that waited for a worker while their input was recomputed were sent without it. Found by the
// soak test: seed 301, on a build that reported no crash suspects to peers.
func TestPiecesWaitForRecomputedInputs(t *testing.T) {
	c, first, second, wake := twoCalls(t)
	out := c.CallDone(300*ms, first.ID, "east", bbhealth.OutcomeGood, gone(first))
	if len(out.Calls) != 1 || out.Calls[0].Service != "first" {
		t.Fatalf("calls %+v, want one that recomputes the input", out.Calls)
	}
	// The pieces of the first call still wait for a worker when the input is available again.
	remade := out.Calls[0]
	out = c.CallDone(500*ms, remade.ID, "east", bbhealth.OutcomeGood, good(remade))
	wantInputs(t, c, out.Calls)
	// That input is lost too.
	c.jobs["a"].Stages[0].Pieces[0].CompletedAt = 0
	out = c.CallDone(510*ms, second.ID, "east", bbhealth.OutcomeGood, gone(second))
	wantInputs(t, c, out.Calls)
	wake()
	out2 := c.Tick(520 * ms)
	wantInputs(t, c, out2.Calls)
	for _, call := range append(out.Calls, out2.Calls...) {
		if call.Service == "first" {
			out = c.CallDone(800*ms, call.ID, "east", bbhealth.OutcomeGood, good(call))
		}
	}
	wantInputs(t, c, out.Calls)
	pieces := 0
	for _, call := range out.Calls {
		pieces += len(call.Pieces)
	}
	if pieces != 6 {
		t.Errorf("%d pieces are sent once the input is available, want all 6", pieces)
	}
}

// The late answer of a call with an older input caused a newer one to be recomputed.
func TestLateAnswerKeepsNewerInput(t *testing.T) {
	c, first, second, wake := twoCalls(t)
	remade := c.CallDone(300*ms, first.ID, "east", bbhealth.OutcomeGood, gone(first)).Calls[0]
	c.CallDone(500*ms, remade.ID, "east", bbhealth.OutcomeGood, good(remade))
	out := c.CallDone(510*ms, second.ID, "east", bbhealth.OutcomeGood, gone(second))
	wake()
	for _, call := range append(out.Calls, c.Tick(520*ms).Calls...) {
		if call.Service == "first" {
			t.Errorf("call %+v recomputes an input that is available", call)
		}
	}
}

// lateCall returns a coordinator with one call for the second stage of an order, which is late, so that its pieces
// are queued again. Until wake is called the workers of that stage get no other calls.
func lateCall(t *testing.T, o bbjob.Order) (c *Coordinator, late *bbpool.Call, wake func()) {
	t.Helper()
	c = newTestCoordinator()
	backingOff := false
	c.env.BackoffUntil = func(endpoint string) time.Duration {
		if backingOff && endpoint[0] == 's' {
			return 3 * time.Second
		}
		return 0
	}
	calls := toSecond(t, c, o)
	if len(calls) != 1 {
		t.Fatalf("calls %+v, want one of the second stage", calls)
	}
	backingOff = true
	// The call is overdue before its inputs count as fetched, so that these are kept.
	out := c.Tick(1500 * ms)
	wantNoCalls(t, out)
	wantFreed(t, out)
	return c, calls[0], func() { backingOff = false }
}

// wantNoCalls checks that an output has no calls.
func wantNoCalls(t *testing.T, out bbdecision.Output) {
	t.Helper()
	for _, call := range out.Calls {
		t.Errorf("call %d to %s has %+v, want no call", call.ID, call.Endpoint, call.Pieces)
	}
}

// The inputs of pieces that were queued again for a late call were released once that call had fetched them.
func TestQueuedPiecesKeepTheInputsThatALateCallHasFetched(t *testing.T) {
	c, _, wake := lateCall(t, testOrder("a", 2))
	wantFreed(t, c.Tick(1510*ms))
	wake()
	out := c.Tick(1600 * ms)
	wantInputs(t, c, out.Calls)
	if len(out.Calls) != 1 {
		t.Errorf("calls %+v, want one", out.Calls)
	}
	wantFreed(t, c.Tick(1650*ms))
	wantFreed(t, c.Tick(1800*ms), "f1/a00")
}

// Pieces that were queued again for a late call were sent although that call had answered.
func TestPiecesOfAnAnsweredLateCallLeaveTheQueue(t *testing.T) {
	c, late, wake := lateCall(t, testOrder("a", 2))
	if out := c.CallDone(1550*ms, late.ID, "east", bbhealth.OutcomeGood, good(late)); len(out.Grants) != 1 {
		t.Fatalf("grants %+v, want one", out.Grants)
	}
	wake()
	wantNoCalls(t, c.Tick(1600*ms))
	if n := c.Status(1600 * ms).Waiting["second"]; n != 0 {
		t.Errorf("%d pieces wait, want none", n)
	}
}

// Pieces that were queued again for a late call were sent with an empty input, when an engine crashed after the
// call had answered and the stages began anew (review/1).
func TestStagesBeginAnewWithoutPiecesOfALateCall(t *testing.T) {
	o := testOrder("a", 2)
	o.Resumable = true
	c, late, wake := lateCall(t, o)
	c.CallDone(1550*ms, late.ID, "east", bbhealth.OutcomeGood, good(late))
	c.Progress(1700*ms, bbjob.Note{
		ID:       "a",
		Endpoint: "e1",
		Started:  true,
	})
	c.Progress(1750*ms, bbjob.Note{
		ID:       "a",
		Endpoint: "e1",
		Ended:    true,
		Again:    true,
		Outcome:  bbhealth.OutcomeBroken,
	})
	o.Avoid = []string{"e1"}
	o.Repeat = true
	first := c.Submit(1760*ms, o).Calls
	wake()
	out := c.Tick(1800 * ms)
	wantInputs(t, c, out.Calls)
	wantNoCalls(t, out)
	if len(first) != 1 || first[0].Service != "first" {
		t.Fatalf("calls %+v, want one that computes the first stage anew", first)
	}
	out = c.CallDone(2*time.Second, first[0].ID, "east", bbhealth.OutcomeGood, good(first[0]))
	wantInputs(t, c, out.Calls)
	if len(out.Calls) != 1 || len(out.Calls[0].Pieces) != 2 {
		t.Errorf("calls %+v once the input is there, want one with both pieces", out.Calls)
	}
}

// lateThird returns a coordinator in which the inputs of the last of three stages are computed again, because a
// second call for it found them missing, while the first call is late. The first stage is in a call.
func lateThird(t *testing.T) (c *Coordinator, late, remade *bbpool.Call) {
	t.Helper()
	c = newTestCoordinator()
	o := testOrder("a", 1)
	o.Stages = append(o.Stages, bbjob.Stage{
		Service:     "second",
		After:       []int{1},
		ResultBytes: 1e3,
		Pieces:      1,
	})
	second := toSecond(t, c, o)
	c.Tick(400 * ms)
	late = c.CallDone(420*ms, second[0].ID, "east", bbhealth.OutcomeGood, good(second[0])).Calls[0]
	again := c.Tick(1500 * ms).Calls
	if len(again) != 1 || again[0].Pieces[0].Stage != 2 {
		t.Fatalf("calls %+v, want one for the third stage as the first is late", again)
	}
	out := c.CallDone(1520*ms, again[0].ID, "east", bbhealth.OutcomeGood, gone(again[0]))
	if len(out.Calls) != 1 || out.Calls[0].Service != "first" {
		t.Fatalf("calls %+v, want one that computes the first stage anew", out.Calls)
	}
	return c, late, out.Calls[0]
}

// Stages went on to be computed whose results nothing needed any more, because a late call had answered.
func TestStagesThatNothingNeedsAreNotComputed(t *testing.T) {
	c, late, remade := lateThird(t)
	if out := c.CallDone(1530*ms, late.ID, "east", bbhealth.OutcomeGood, good(late)); len(out.Grants) != 1 {
		t.Fatalf("grants %+v, want one", out.Grants)
	}
	results := good(remade)
	results[0].Handle += "again"
	out := c.CallDone(1700*ms, remade.ID, "east", bbhealth.OutcomeGood, results)
	wantNoCalls(t, out)
	wantFreed(t, out, results[0].Handle)
}

// A request that used its engine was refused and its results were released, because a call had failed whose pieces
// nothing needed any more.
func TestFailureOfAnUnneededPieceKeepsTheGrant(t *testing.T) {
	c, late, remade := lateThird(t)
	c.CallDone(1530*ms, late.ID, "east", bbhealth.OutcomeGood, good(late))
	out := c.CallDone(1600*ms, remade.ID, "east", bbhealth.OutcomeGood, []bbdecision.PieceResult{{Expired: true}})
	if len(out.Refusals) > 0 || c.jobs["a"] == nil {
		t.Errorf("refusals %+v, want the request to stay at its engine", out.Refusals)
	}
}

// The end of a second call granted an engine to a request that was using one.
func TestEndOfASecondCallDoesNotGrantAgain(t *testing.T) {
	c, late, wake := lateCall(t, testOrder("a", 1))
	wake()
	again := c.Tick(1520 * ms).Calls
	if len(again) != 1 {
		t.Fatalf("calls %+v, want one as the first is late", again)
	}
	out := c.CallDone(1550*ms, late.ID, "east", bbhealth.OutcomeGood, good(late))
	if len(out.Grants) != 1 {
		t.Fatalf("grants %+v, want one", out.Grants)
	}
	out = c.CallDone(1560*ms, again[0].ID, "east", bbhealth.OutcomeBroken, nil)
	if out.Grants = append(out.Grants, c.Tick(1600*ms).Grants...); len(out.Grants) > 0 {
		t.Errorf("grants %+v while the request uses an engine, want none", out.Grants)
	}
}

// The end of a call for an order that had ended counted against the same order, sent again by its origin: its pieces
// were in -1 calls, and were never queued again after a failure.
func TestCallOfAnEarlierOrderDoesNotCount(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 1)
	before := c.Submit(0, o).Calls[0]
	c.Cancel(50*ms, "a")
	c.Submit(60*ms, o)
	late := good(before)
	late[0].Handle += "before"
	out := c.CallDone(210*ms, before.ID, "east", bbhealth.OutcomeGood, late)
	wantFreed(t, out, late[0].Handle)
	out.Calls = append(out.Calls, c.Tick(300*ms).Calls...)
	if len(out.Calls) != 1 || out.Calls[0].Service != "first" {
		t.Fatalf("calls %+v, want one of the first stage", out.Calls)
	}
	again := c.CallDone(600*ms, out.Calls[0].ID, "east", bbhealth.OutcomeBroken, nil).Calls
	if len(again) == 0 {
		again = c.Tick(800 * ms).Calls
	}
	if len(again) != 1 {
		t.Errorf("calls %+v after the call has failed, want another one", again)
	}
}

// A leaving coordinator handed a request back without what it had released last, and the next one sent pieces with
// these inputs.
func TestHandedBackRequestTellsWhatWasReleased(t *testing.T) {
	c := newTestCoordinator()
	call := toSecond(t, c, testOrder("a", 1))[0]
	wantFreed(t, c.Tick(400*ms), "f1/a00")
	c.Leave()
	out := c.CallDone(420*ms, call.ID, "east", bbhealth.OutcomeBroken, nil)
	wantElsewhere(t, out, bbdecision.Redirect{
		ID: "a",
	})
	if diff := cmp.Diff([]int{0}, out.Updates["a"].Freed); diff != "" {
		t.Errorf("stages whose results were released (-want +got):\n%s", diff)
	}
}

// A note of an engine that had been given up released the inputs of the next one.
func TestNoteOfAnEarlierEngineReleasesNothing(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 1)
	o.Resumable = true
	call := toSecond(t, c, o)[0]
	c.CallDone(430*ms, call.ID, "east", bbhealth.OutcomeGood, good(call))
	// The engine crashed after it had begun, and the order for the next one overtakes the note on that.
	o.Avoid = []string{"e1"}
	c.Submit(500*ms, o)
	wantFreed(t, c.Progress(510*ms, bbjob.Note{
		ID:       "a",
		Endpoint: "e1",
		Started:  true,
	}))
	if j := c.jobs["a"]; !j.Done() || j.Started {
		t.Errorf("started is %v, inputs are available %v, want the request to wait with its inputs", j.Started, j.Done())
	}
}

// countEvents counts the events of a kind.
func countEvents(out bbdecision.Output, number bbevent.Number) int {
	n := 0
	for _, e := range out.Events {
		if e.Number == number {
			n++
		}
	}
	return n
}

// Whatever state a request is in, no piece and no grant leaves without its inputs. The state is made inconsistent
// here, as it was when pieces of late calls stayed in the queue.
func TestNothingLeavesWithoutItsInputs(t *testing.T) {
	t.Run("a queued piece", func(t *testing.T) {
		c, _, wake := lateCall(t, testOrder("a", 2))
		c.jobs["a"].Stages[0].Pieces[0].Freed = true
		wake()
		out := c.Tick(1520 * ms)
		wantNoCalls(t, out)
		if n := countEvents(out, bbevent.SendWithheld); n != 1 {
			t.Errorf("%d events that pieces were kept back, want 1", n)
		}
		out = c.Tick(1530 * ms)
		if len(out.Calls) != 1 || out.Calls[0].Service != "first" {
			t.Fatalf("calls %+v, want one that computes the input anew", out.Calls)
		}
		out = c.CallDone(1800*ms, out.Calls[0].ID, "east", bbhealth.OutcomeGood, good(out.Calls[0]))
		wantInputs(t, c, out.Calls)
		if len(out.Calls) != 1 || len(out.Calls[0].Pieces) != 2 {
			t.Errorf("calls %+v once the input is there, want one with both pieces", out.Calls)
		}
	})
	t.Run("a queued piece with a result, beside one without", func(t *testing.T) {
		c, late, wake := lateCall(t, testOrder("a", 2))
		c.jobs["a"].Stages[1].Pieces[0].Handle = "result"
		wake()
		out := c.Tick(1520 * ms)
		if len(out.Calls) != 1 {
			t.Fatalf("calls %+v, want one", out.Calls)
		}
		if diff := cmp.Diff(late.Pieces[1:], out.Calls[0].Pieces); diff != "" {
			t.Errorf("pieces (-want +got):\n%s", diff)
		}
		if out.Calls[0].Bytes != 1e3 || len(out.Calls[0].Limits) != 1 {
			t.Errorf("call %+v, want size and limit of one piece", out.Calls[0])
		}
	})
	t.Run("a grant", func(t *testing.T) {
		c := newTestCoordinator()
		o := testOrder("a", 1)
		o.Avoid = []string{"e1"}
		call := toSecond(t, c, o)[0]
		c.CallDone(430*ms, call.ID, "east", bbhealth.OutcomeGood, good(call))
		j := c.jobs["a"]
		j.Order.Avoid = nil
		j.Stages[1].Pieces[0].Freed = true
		out := c.Tick(500 * ms)
		if n := countEvents(out, bbevent.SendWithheld); len(out.Grants) > 0 || n != 1 {
			t.Errorf("grants %+v, %d events that one was kept back, want none and 1", out.Grants, n)
		}
	})
}

// A draining coordinator kept a request whose origin asked for another engine, and decided nothing on it.
func TestRequestThatNeedsAnotherEngineIsHandedBack(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 1)
	call := toSecond(t, c, o)[0]
	c.CallDone(430*ms, call.ID, "east", bbhealth.OutcomeGood, good(call))
	wantElsewhere(t, c.Leave())
	o.Avoid = []string{"e1"}
	wantElsewhere(t, c.Submit(500*ms, o), bbdecision.Redirect{
		ID: "a",
	})
}

// Pieces were sent with a released input, when an earlier coordinator had obtained only a part of the results of
// that stage.
func TestImportedPartOfAStageIsRecomputedWhereFreed(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 1)
	o.Stages[0].Pieces = 2
	o.Results = []bbjob.StageResult{{Stage: 0, Piece: 0, Handle: "f1/a00", Producer: "f1", Freed: true}}
	out := c.Submit(0, o)
	if len(out.Calls) != 1 || len(out.Calls[0].Pieces) != 2 {
		t.Fatalf("calls %+v, want one with both pieces of the first stage", out.Calls)
	}
	out = c.CallDone(230*ms, out.Calls[0].ID, "east", bbhealth.OutcomeGood, good(out.Calls[0]))
	wantInputs(t, c, out.Calls)
	if len(out.Calls) != 1 {
		t.Errorf("calls %+v once the inputs are there, want one", out.Calls)
	}
}
