package bbcoordinator

import (
	"testing"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
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
