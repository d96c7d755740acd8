package bbentry

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bluebellhall/bluebelld/bbhub"
	"bluebellhall/bluebelld/bblog"
	"bluebellhall/bluebelld/bbmembership"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbrevision"
	"bluebellhall/core/bbstanding"
)

// newStandingEntry returns a VM that is alone in its fleet and knows two endpoints of the service s, and its
// clock.
func newStandingEntry(t *testing.T) (*Entry, *clock) {
	t.Helper()
	conns, cleanup := bbpeer.NewConns()
	t.Cleanup(cleanup)
	knowledge, c := newTestKnowledge()
	self := bbgossip.Member{
		Name: "self",
		Peer: "peer of self",
		Zone: "z0",
	}
	e := &Entry{
		Knowledge: knowledge,
		conns:     conns,
		settings: Settings{
			Self: self,
		},
		log: bblog.Logger{
			Lines: zerolog.Nop(),
		},
	}
	e.fleet = bbmembership.NewFleet(self, nil, testRegions, func() time.Duration { return c.now }, conns)
	e.limits = e.newLimits()
	listProcesses(e, 1)
	return e, c
}

// listProcesses lists the endpoints a and b, whose processes started at the given time.
func listProcesses(e *Entry, born int64) {
	var s bbregistry.Snapshot
	for _, id := range []string{"a", "b"} {
		s.Endpoints = append(s.Endpoints, bbregistry.Endpoint{
			ID:            id,
			Service:       "s",
			Address:       "address of " + id,
			Zone:          "z0",
			StartedMillis: born,
		})
	}
	e.Knowledge.ReplaceEndpoints(s)
}

// wantMaySend checks whether endpoint a may be sent requests, and whether it is usable for new work.
func wantMaySend(t *testing.T, e *Entry, may, usable bool) {
	t.Helper()
	if _, got := e.Knowledge.MaySend("a"); got != may {
		t.Errorf("a may be sent requests: %t, want %t", got, may)
	}
	got := false
	for _, entry := range e.Knowledge.Usable("s") {
		got = got || entry.ID == "a"
	}
	if got != usable {
		t.Errorf("a is usable for new work: %t, want %t", got, usable)
	}
}

var leavingSignal = bbstanding.Signal{Leaving: true}

// Endpoints that announced in their answers that they drain got new work until the platform listed it.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	e, _ := newStandingEntry(t)
	wantMaySend(t, e, true, true)
	p, _ := e.Knowledge.MaySend("a")
	e.recordSignal(p, leavingSignal, noAnswer)
	wantMaySend(t, e, false, false)
	t.Run("though the list shows it as running", func(t *testing.T) {
		listProcesses(e, 1)
		wantMaySend(t, e, false, false)
	})
	t.Run("though its entry had been removed", func(t *testing.T) {
		e.Knowledge.ApplyEndpointUpdates([]bbregistry.Update{{Endpoint: bbregistry.Endpoint{ID: "a"}, Number: 1, Removed: true}}, bbrevision.Revision{Number: 1})
		listProcesses(e, 1)
		wantMaySend(t, e, false, false)
	})
	t.Run("until its next process is listed", func(t *testing.T) {
		listProcesses(e, 2)
		wantMaySend(t, e, true, true)
	})
}

func TestPeerReportsLeavingEndpoint(t *testing.T) {
	e, _ := newStandingEntry(t)
	e.recordLeaving(bbpeer.Leaving{
		From:      "other",
		Processes: []bbstanding.Process{{ID: "a", Born: 1}},
	})
	wantMaySend(t, e, false, false)
}

// A backoff applies to one VM and one endpoint: the endpoint stays usable for requests of other VMs.
func TestEndpointRequestsBackoff(t *testing.T) {
	e, c := newStandingEntry(t)
	p, _ := e.Knowledge.MaySend("a")
	e.recordSignal(p, bbstanding.Signal{RetryAfter: 3 * time.Second}, noAnswer)
	wantMaySend(t, e, false, true)
	if got := e.Knowledge.BackoffUntil("a"); got != c.now+3*time.Second {
		t.Errorf("backoff of a lasts until %v, want 3 s from %v", got, c.now)
	}
	c.now += 3 * time.Second
	wantMaySend(t, e, true, true)
	if got := e.Knowledge.BackoffUntil("a"); got != 0 {
		t.Errorf("backoff of a lasts until %v, want it to have ended", got)
	}
}

// Calls of stage workers and the freeing of results obey the workers' load signals and record new ones.
func TestStageWorkerSignalsAreObeyed(t *testing.T) {
	e, c := newStandingEntry(t)
	calls, frees := 0, 0
	signal := bbstanding.Signal{RetryAfter: 2 * time.Second}
	run := e.runPieces(func(context.Context, string, string, []bbhub.Piece) bbhub.CallResult {
		calls++
		return bbhub.CallResult{
			Outcome: bbhealth.OutcomeFull,
			Signal:  signal,
		}
	})
	free := e.freeResults(func(context.Context, string, []string) bbstanding.Signal {
		frees++
		return leavingSignal
	})
	call := func(want bbhealth.Outcome) {
		t.Helper()
		if got := run(t.Context(), "address of a", "a", nil).Outcome; got != want {
			t.Errorf("outcome %v, want %v", got, want)
		}
	}
	call(bbhealth.OutcomeFull)
	call(bbhealth.OutcomeHeld)
	free(t.Context(), "address of a", nil)
	if calls != 1 || frees != 0 {
		t.Errorf("%d calls and %d frees, want the first call only", calls, frees)
	}
	c.now += 2 * time.Second
	free(t.Context(), "address of a", nil)
	if frees != 1 {
		t.Errorf("%d frees after the backoff, want 1", frees)
	}
	call(bbhealth.OutcomeHeld)
	wantMaySend(t, e, false, false)
}
