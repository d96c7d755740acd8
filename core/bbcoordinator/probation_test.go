package bbcoordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbpool"
)

// Requests were refused because their pieces had been in four calls that workers had broken before they can have
// begun them.
func TestCallsThatCannotHaveBegunCostNoTry(t *testing.T) {
	for _, o := range []bbhealth.Outcome{bbhealth.OutcomeBroken, bbhealth.OutcomeUnreachable, bbhealth.OutcomeFull} {
		t.Run(o.String(), func(t *testing.T) {
			c := newTestCoordinator()
			order := testOrder("a", 1)
			order.Objective = order.Limit
			calls := toSecond(t, c, order)
			failed := 0
			for now := 210 * ms; now < 4*time.Second; now += 10 * ms {
				out := c.Tick(now)
				for _, call := range calls {
					failed++
					done := c.CallDone(now, call.ID, "east", o, nil)
					out.Calls = append(out.Calls, done.Calls...)
					out.Refusals = append(out.Refusals, done.Refusals...)
				}
				if len(out.Refusals) > 0 {
					t.Fatalf("refusals %+v after %d failed calls, want none", out.Refusals, failed)
				}
				if calls = out.Calls; failed > 2*maxPieceTries-1 {
					return
				}
			}
			if failed <= maxPieceTries {
				t.Errorf("%d failed calls, want more than %d", failed, maxPieceTries)
			}
		})
	}
}

func TestProbationIsLogged(t *testing.T) {
	c := newTestCoordinator()
	call := c.Submit(0, testOrder("a", 1)).Calls[0]
	out := c.CallDone(10*ms, call.ID, "east", bbhealth.OutcomeBroken, nil)
	if n := countEvents(out, bbevent.ProbationBegan); n != 1 {
		t.Errorf("%d events that a probation began, want 1", n)
	}
	call = c.Tick(200 * ms).Calls[0]
	out = c.CallDone(210*ms, call.ID, "east", bbhealth.OutcomeBroken, nil)
	call = c.Tick(400 * ms).Calls[0]
	end := c.CallDone(610*ms, call.ID, "east", bbhealth.OutcomeGood, good(call))
	if began, ended := countEvents(out, bbevent.ProbationBegan), countEvents(end, bbevent.ProbationEnded); began != 0 || ended != 1 {
		t.Errorf("%d events that it began after a second failure, %d that it ended after a success, want none and 1", began, ended)
	}
}

// heldPiecesOf returns a coordinator that holds the two pieces of the second stage of request a, since the retry
// budget of its service is used up, and the call that failed.
func heldPiecesOf(t *testing.T) (*Coordinator, *bbpool.Call) {
	t.Helper()
	c := newTestCoordinator()
	c.limits.RetrySlack = 0
	call := toSecond(t, c, testOrder("a", 2))[0]
	c.retries.Of("second").Slack = 0
	out := c.CallDone(420*ms, call.ID, "east", bbhealth.OutcomeBroken, nil)
	if len(out.Refusals)+len(out.Calls) > 0 {
		t.Fatalf("refusals %+v, calls %+v after a call broke without a retry budget, want neither", out.Refusals, out.Calls)
	}
	return c, call
}

// Requests were refused whose pieces could not be sent again at once, though they had seconds left.
func TestPiecesOfAFailedCallWaitForTheRetryBudget(t *testing.T) {
	t.Run("until it has room", func(t *testing.T) {
		c, _ := heldPiecesOf(t)
		for now := 430 * ms; now < 1500*ms; now += 10 * ms {
			if out := c.Tick(now); len(out.Calls)+len(out.Refusals) > 0 {
				t.Fatalf("calls %+v, refusals %+v at %v, want the pieces to wait", out.Calls, out.Refusals, now)
			}
		}
		if diff := cmp.Diff(map[string]int{"second": 2}, c.Status(1500*ms).Held); diff != "" {
			t.Errorf("held pieces (-want +got):\n%s", diff)
		}
		// The inputs of waiting pieces are kept, though the failed call has fetched them.
		wantFreed(t, c.Tick(1500*ms))
		for range 7 {
			c.retries.Of("second").Request(1500 * ms)
		}
		out := c.Tick(1510 * ms)
		if len(out.Calls) != 1 || len(out.Calls[0].Pieces) != 2 {
			t.Fatalf("calls %+v once the budget has room, want one with both pieces", out.Calls)
		}
		wantInputs(t, c, out.Calls)
		if left := c.Status(1510 * ms).RepeatBudgets["second"]; left < 0 || left >= 1 {
			t.Errorf("%.2f repeats left, want one to have been charged", left)
		}
	})
	t.Run("until the deadline", func(t *testing.T) {
		c, _ := heldPiecesOf(t)
		var reasons []string
		for now := 430 * ms; now < 7*time.Second; now += 10 * ms {
			for _, r := range c.Tick(now).Refusals {
				reasons = append(reasons, fmt.Sprint(r.ID, " ", r.Reason))
			}
		}
		if diff := cmp.Diff([]string{"a deadline"}, reasons); diff != "" {
			t.Errorf("refusals (-want +got):\n%s", diff)
		}
		if held := c.Status(7 * time.Second).Held; len(held) > 0 {
			t.Errorf("%v pieces held after the end of their request, want none", held)
		}
	})
	t.Run("but not if the request is ordered anew", func(t *testing.T) {
		c, _ := heldPiecesOf(t)
		c.Cancel(430*ms, "a")
		c.Submit(440*ms, testOrder("a", 2))
		c.Tick(450 * ms)
		if left := c.Status(450 * ms).RepeatBudgets["second"]; left <= 0 || len(c.held) > 0 {
			t.Errorf("%.2f repeats left, %d calls held, want nothing charged for a request that has ended", left, len(c.held))
		}
	})
}

// Without a sound endpoint there is nothing to wait for: a request then waited for its deadline, however far.
func TestFailedCallWithoutRetryBudgetAndSoundEndpointsIsRefused(t *testing.T) {
	c := newTestCoordinator("s1")
	call := toSecond(t, c, testOrder("a", 2))[0]
	c.retries.Of("second").Slack = 0
	out := c.CallDone(420*ms, call.ID, "east", bbhealth.OutcomeBroken, nil)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != "stageFailed" {
		t.Errorf("refusals %+v, want one since the only endpoint has failed", out.Refusals)
	}
}

// Pieces went without a try left because several workers broke their calls, though others were sound.
func TestLostCallsDontEndARequestWhileOthersAreSound(t *testing.T) {
	c := newTestCoordinator("s1", "s2", "s3", "s4", "s5", "s6")
	calls := toSecond(t, c, testOrder("a", 1))
	now := 210 * ms
	for i := range maxPieceTries + 1 {
		now += 250 * ms
		out := c.CallDone(now, calls[0].ID, "east", bbhealth.OutcomeBroken, nil)
		if len(out.Refusals) > 0 || len(out.Calls) != 1 {
			t.Fatalf("refusals %+v, calls %+v after %d workers broke the call, want a call to another one", out.Refusals, out.Calls, i+1)
		}
		calls = out.Calls
	}
}

// A piece without a result in the answer of a sound worker is at fault itself, so its tries are bounded.
func TestPieceThatWorkersAnswerWithoutResultIsGivenUp(t *testing.T) {
	c := newTestCoordinator()
	calls := toSecond(t, c, testOrder("a", 1))
	now := 210 * ms
	for range maxPieceTries {
		now += 220 * ms
		out := c.CallDone(now, calls[0].ID, "east", bbhealth.OutcomeGood, good(calls[0])[:0])
		if len(out.Refusals) > 0 {
			if now < 210*ms+maxPieceTries*220*ms {
				t.Errorf("refusals %+v at %v, want %d tries", out.Refusals, now, maxPieceTries)
			}
			return
		}
		calls = out.Calls
	}
	t.Errorf("no refusal after %d tries, want one", maxPieceTries)
}

// A request with several stages at a service counted as several requests, so that more repeats were made than a fifth
// of the requests.
func TestRequestCountsOnceForAService(t *testing.T) {
	c := newTestCoordinator()
	o := testOrder("a", 1)
	o.Stages = append(o.Stages, o.Stages[0], o.Stages[1])
	o.Stages[3].Pieces = 0
	before := c.retries.Of("first").Left(0)
	c.Submit(0, o)
	got := c.retries.Of("first").Left(0) - before
	if want := 0.8 * 0.2; got > want+0.001 || got < want-0.001 {
		t.Errorf("%.2f more repeats after one request, want %.2f", got, want)
	}
}

// Pieces that wait for the retry budget keep their inputs, and leave nothing behind, whatever happens meanwhile.
func TestRandomEventsWithoutRetrySlack(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed)
		s.current.limits.RetrySlack = 0
		if faults := s.run(); len(faults) > 0 {
			t.Errorf("seed %d: %s", seed, faults[0])
		}
	}
}
