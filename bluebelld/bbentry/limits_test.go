package bbentry

import (
	"context"
	"testing"
	"time"

	"bluebellhall/bluebelld/bbclock"
	"bluebellhall/bluebelld/bbhub"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbstanding"
)

var oneASecond = bbstanding.Limit{
	Named:     true,
	PerSecond: 1,
}

// newLimitedEntry returns a VM that is alone in its fleet and knows that endpoint a takes one request a second,
// its clock, and the process of a.
func newLimitedEntry(t *testing.T) (*Entry, *clock, bbstanding.Process) {
	t.Helper()
	e, c := newStandingEntry(t)
	e.began = bbclock.Now()
	p, _ := e.Knowledge.MaySend("a")
	e.recordSignal(p, bbstanding.Signal{Limit: oneASecond}, 0)
	return e, c, p
}

// permits asks for a permit as often as possible for some time by the clock of the process.
func permits(t *testing.T, e *Entry, endpoint string, asks int) int {
	t.Helper()
	n := 0
	for range asks {
		if e.limits.Permit(t.Context(), endpoint) {
			n++
		}
	}
	return n
}

// VMs sent requests to endpoints of plain services that had named a limit as if they had not.
func TestPermitsKeepToTheLimit(t *testing.T) {
	e, _, p := newLimitedEntry(t)
	if n := permits(t, e, "a", 100); n > 0 {
		t.Errorf("%d requests at once to an endpoint that has just named a limit, want none", n)
	}
	if n := permits(t, e, "b", 100); n != 100 {
		t.Errorf("%d of 100 requests to an endpoint without a limit", n)
	}
	if e.limits.BackoffUntil("a") == 0 || e.limits.BackoffUntil("b") != 0 {
		t.Error("an endpoint without a permit is not left alone, or another one is")
	}
	t.Run("also after answers that name one which can't be read", func(t *testing.T) {
		for range 3 {
			e.recordSignal(p, bbstanding.Signal{LimitUnclear: true}, time.Hour)
		}
		if _, limited := e.limits.Rate("a"); !limited {
			t.Error("the limit has ended")
		}
	})
	t.Run("until two answers name none", func(t *testing.T) {
		e.recordSignal(p, bbstanding.Signal{}, time.Hour)
		e.recordSignal(p, bbstanding.Signal{}, time.Hour)
		if n := permits(t, e, "a", 100); n != 100 {
			t.Errorf("%d of 100 requests after the end of the limit", n)
		}
	})
}

// A coordinator that has not heard of a limit granted requests that the VM of origin then sent.
func TestGrantWithoutTheLimitIsNotUsed(t *testing.T) {
	e, _, _ := newLimitedEntry(t)
	grant := bbjob.Grant{
		Endpoint: "a",
	}
	if e.limits.GrantHolds(grant, "") {
		t.Error("a grant that was not counted against the limit holds")
	}
	grant.Paced = true
	if !e.limits.GrantHolds(grant, "") {
		t.Error("a grant that was counted against the limit doesn't hold")
	}
	if grant.Endpoint, grant.Paced = "b", false; !e.limits.GrantHolds(grant, "") {
		t.Error("a grant of an endpoint without a limit doesn't hold")
	}
}

func TestPeersReportLimits(t *testing.T) {
	e, _ := newStandingEntry(t)
	p, _ := e.Knowledge.MaySend("a")
	report := func(l bbstanding.Limit) {
		e.limits.Merge(bbpeer.Limits{
			From:   "other",
			Limits: []bbpeer.EndpointLimit{{Process: p, Limit: l}},
		})
	}
	report(oneASecond)
	if _, limited := e.limits.Rate("a"); !limited {
		t.Error("a limit that another VM reports is not known")
	}
	report(bbstanding.Limit{})
	if _, limited := e.limits.Rate("a"); limited {
		t.Error("a limit that has ended according to another VM is still in force")
	}
	t.Run("with the request for a permit", func(t *testing.T) {
		answer := e.limits.Decide(bbpeer.Permit{
			Endpoint: "a",
			Limit:    bbpeer.EndpointLimit{Process: p, Limit: oneASecond},
		})
		if answer.Granted || answer.Wait <= 0 {
			t.Errorf("answer %+v to the first request for a permit, want a delay", answer)
		}
	})
}

// Calls of stage workers name limits too, and freed results are requests.
func TestLimitsOfStageWorkers(t *testing.T) {
	e, _ := newStandingEntry(t)
	e.began = bbclock.Now()
	frees := 0
	run := e.runPieces(func(context.Context, string, string, []bbhub.Piece) bbhub.CallResult {
		return bbhub.CallResult{
			Outcome: bbhealth.OutcomeGood,
			Signal:  bbstanding.Signal{Limit: oneASecond},
		}
	})
	free := e.freeResults(func(context.Context, string, []string) bbstanding.Signal {
		frees++
		return bbstanding.Signal{}
	})
	run(t.Context(), "address of a", "a", nil)
	if _, limited := e.limits.Rate("a"); !limited {
		t.Error("the limit in the answer to a call is not known")
	}
	free(t.Context(), "address of a", nil)
	free(t.Context(), "address of b", nil)
	if frees != 1 {
		t.Errorf("%d calls that free results, want that of the worker without a limit only", frees)
	}
}

// An outdated limit in a request for a permit must not replace a newer one.
func TestPermitDoesNotReplaceAKnownLimit(t *testing.T) {
	e, _, p := newLimitedEntry(t)
	e.limits.Decide(bbpeer.Permit{
		Endpoint: "a",
		Limit: bbpeer.EndpointLimit{
			Process: p,
			Limit: bbstanding.Limit{
				Named:     true,
				PerSecond: 100,
			},
		},
	})
	if l, _, _ := e.Knowledge.Limit("a"); l != oneASecond {
		t.Errorf("limit %+v after a request for a permit, want the one known before", l)
	}
}
