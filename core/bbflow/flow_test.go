package bbflow

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbsuspect"
)

const (
	testDeadline         = 6 * time.Second
	testOwnerLossTimeout = 2 * time.Second
	testHedge            = 500 * time.Millisecond
)

// rig is a flow with the endpoints e1, e2, e3, which are owned by o1, o2, o3.
type rig struct {
	t     *testing.T
	now   time.Duration
	table *Table
	home  *bbhome.Table
	// record is the request under test.
	record *bbhome.Record
	// sent lists the messages sent to owners since the last check, formatted.
	sent []string
	// closed endpoints are not chosen; lost owners don't answer; restarted ones have a new
	// incarnation.
	closed    map[string]bool
	lost      map[string]bool
	restarted map[string]bool
	// retries is the rest of the retry budget; hedges is whether attempts are hedged.
	retries int
	hedges  bool
	verdict bbsuspect.Verdict
}

// newRig returns a rig that has started one request.
func newRig(t *testing.T, setUp func(*rig), steps ...Step) *rig {
	t.Helper()
	r := &rig{
		t:         t,
		now:       time.Second,
		closed:    map[string]bool{},
		lost:      map[string]bool{},
		restarted: map[string]bool{},
		retries:   10,
	}
	r.home = bbhome.New(bbhome.Settings{
		Home:           "h",
		Incarnation:    1,
		MaxRecords:     10,
		MaxTombstones:  10,
		MaxAnswerBytes: 1000,
		Retention:      time.Minute,
	})
	r.table = New(Settings{
		Self:              "h",
		Incarnation:       1,
		OwnerLossTimeout:  testOwnerLossTimeout,
		RefusalBackoff:    25 * time.Millisecond,
		MaxRefusalBackoff: 400 * time.Millisecond,
		MaxRefusals:       6,
		MaxAttempts:       10,
		AnswerMargin:      50 * time.Millisecond,
	}, r.hooks())
	if setUp != nil {
		setUp(r)
	}
	v := r.home.Admit(r.now, bbhome.Arrival{
		Request:     bbmsg.CallerRequest{ID: "q", Body: []byte("in")},
		Home:        "h",
		Incarnation: 1,
		Expiry:      time.Minute,
	})
	r.record = v.Record
	r.table.Start(r.now, v.Record, steps, bbrule.Account{Name: "a"}, r.now+testDeadline, false)
	return r
}

func (r *rig) hooks() Hooks {
	return Hooks{
		Choose:        r.choose,
		Peer:          r.peer,
		Send:          func(_ time.Duration, to string, e bbmsg.Envelope) { r.sent = append(r.sent, formatMessage(to, e)) },
		AttemptClosed: func(string) {},
		Progress:      func(*bbhome.Record) {},
		End: func(h *bbhome.Record, o bbmsg.Outcome, why bbmsg.Reason) {
			r.home.End(h, o, why)
		},
		Emit:            func(bbevent.Event) {},
		CanMeetDeadline: func(_, remaining time.Duration, _ []Step) bool { return remaining > 0 },
		SplitBudget: func(_, remaining time.Duration, steps []Step) time.Duration {
			return remaining / time.Duration(len(steps))
		},
		FirstAttempt: func(time.Duration, string) {},
		AllowRetry: func(time.Duration, string, bool) bool {
			r.retries--
			return r.retries >= 0
		},
		HedgeDelay:      func(time.Duration, time.Duration, string) (time.Duration, bool) { return testHedge, r.hedges },
		ObserveDuration: func(time.Duration, string, time.Duration) {},
		EndpointDied: func(time.Duration, *bbhome.Record, int, Attempt, int) bbsuspect.Verdict {
			return r.verdict
		},
		RequestSucceeded: func(*bbhome.Record, time.Duration) {},
	}
}

// choose returns the first endpoint that is neither closed nor excluded.
func (r *rig) choose(_ time.Duration, q Query) (Choice, bool) {
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("e%d", i)
		excluded := r.closed[name]
		for _, x := range q.Exclude {
			excluded = excluded || x == name
		}
		if !excluded {
			return Choice{Endpoint: name, Owner: fmt.Sprintf("o%d", i), OwnerIncarnation: 1}, true
		}
	}
	return Choice{Reason: bbmsg.ReasonNoEndpoint}, false
}

func (r *rig) peer(_ time.Duration, name string) PeerState {
	s := PeerState{Alive: !r.lost[name], Incarnation: 1}
	if r.restarted[name] {
		s.Incarnation = 2
	}
	return s
}

// formatMessage formats a message to an owner as one word.
func formatMessage(to string, e bbmsg.Envelope) string {
	if d := e.Dispatch; d != nil {
		return fmt.Sprintf("%s:run(%d.%d@%d)", to, d.Attempt.Stage, d.Attempt.Number, d.FromOffset)
	}
	return fmt.Sprintf("%s:cancel(%d.%d)", to, e.Cancel.Attempt.Stage, e.Cancel.Attempt.Number)
}

// result passes a result of an attempt to the flow.
func (r *rig) result(from string, stage, number int, m bbmsg.Result) {
	m.Attempt = bbmsg.Attempt{ID: "q", Stage: stage, Number: number}
	r.table.HandleResult(r.now, from, m)
}

// advance advances the time, with a tick whenever one is due.
func (r *rig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now = min(max(r.table.NextWake(), r.now), end)
		r.table.Tick(r.now)
	}
}

// peerChanged reports to the flow that a node was lost or restarted.
func (r *rig) peerChanged(name string) { r.table.PeerChanged(r.now, name) }

func (r *rig) checkSent(want ...string) {
	r.t.Helper()
	if diff := cmp.Diff(want, r.sent); diff != "" {
		r.t.Errorf("messages to owners (-want +got):\n%s", diff)
	}
	r.sent = nil
}

func (r *rig) checkOutcome(want bbmsg.Outcome, reason bbmsg.Reason) {
	r.t.Helper()
	if r.record.Outcome != want || r.record.Reason != reason {
		r.t.Errorf("outcome %s/%s, want %s/%s", r.record.Outcome, r.record.Reason, want, reason)
	}
	if r.record.Ended != (want != bbmsg.OutcomePending) {
		r.t.Errorf("ended is %v", r.record.Ended)
	}
}

func (r *rig) checkTokens(want ...string) {
	r.t.Helper()
	if diff := cmp.Diff(want, r.record.Tokens); diff != "" {
		r.t.Errorf("tokens (-want +got):\n%s", diff)
	}
}

var (
	once   = Step{Service: "s", Once: true}
	repeat = Step{Service: "s"}
)

func TestOnce(t *testing.T) {
	t.Run("a broken call is unknown and never sent again", func(t *testing.T) {
		r := newRig(t, nil, once)
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultBroken, Reason: bbmsg.ReasonSilent})
		r.advance(2 * testDeadline)
		r.checkSent("o1:run(0.1@0)")
		r.checkOutcome(bbmsg.OutcomeUnknown, bbmsg.ReasonSilent)
	})
	t.Run("an error status is unknown", func(t *testing.T) {
		r := newRig(t, nil, once)
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultFailed, Status: 500})
		r.checkOutcome(bbmsg.OutcomeUnknown, bbmsg.ReasonEndpointFailed)
	})
	t.Run("a refused call was not sent and is retried on another endpoint", func(t *testing.T) {
		r := newRig(t, nil, once)
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultRefused, Reason: bbmsg.ReasonOverload})
		r.checkSent("o1:run(0.1@0)", "o2:run(0.2@0)")
		r.result("o2", 0, 2, bbmsg.Result{Kind: bbmsg.ResultDone, Body: []byte("out")})
		r.checkOutcome(bbmsg.OutcomeAnswered, bbmsg.ReasonNone)
	})
	t.Run("with a lost owner it waits for an answer, then the outcome is unknown", func(t *testing.T) {
		r := newRig(t, nil, once)
		r.lost["o1"] = true
		r.peerChanged("o1")
		r.checkSent("o1:run(0.1@0)", "o1:cancel(0.1)")
		r.checkOutcome(bbmsg.OutcomePending, bbmsg.ReasonNone)
		r.advance(testOwnerLossTimeout)
		r.checkSent()
		r.checkOutcome(bbmsg.OutcomeUnknown, bbmsg.ReasonOwnerGone)
	})
	t.Run("it is retried when the owner reports neverSent", func(t *testing.T) {
		r := newRig(t, nil, once)
		r.lost["o1"] = true
		r.peerChanged("o1")
		r.table.HandleCancelled(r.now, "o1", bbmsg.Cancelled{Attempt: bbmsg.Attempt{ID: "q", Number: 1}, NeverSent: true})
		r.checkSent("o1:run(0.1@0)", "o1:cancel(0.1)", "o2:run(0.2@0)")
	})
	t.Run("it stays open when the owner can't report neverSent", func(t *testing.T) {
		r := newRig(t, nil, once)
		r.table.HandleCancelled(r.now, "o1", bbmsg.Cancelled{Attempt: bbmsg.Attempt{ID: "q", Number: 1}})
		r.checkSent("o1:run(0.1@0)")
		r.checkOutcome(bbmsg.OutcomePending, bbmsg.ReasonNone)
	})
	t.Run("it is never hedged", func(t *testing.T) {
		r := newRig(t, func(r *rig) { r.hedges = true }, once)
		r.advance(2 * testHedge)
		r.checkSent("o1:run(0.1@0)")
	})
	t.Run("when the owner restarted the outcome is unknown at once", func(t *testing.T) {
		r := newRig(t, nil, once)
		r.restarted["o1"] = true
		r.peerChanged("o1")
		r.checkSent("o1:run(0.1@0)")
		r.checkOutcome(bbmsg.OutcomeUnknown, bbmsg.ReasonOwnerGone)
	})
	t.Run("a result that arrives while the owner is lost counts", func(t *testing.T) {
		r := newRig(t, nil, once)
		r.lost["o1"] = true
		r.peerChanged("o1")
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultDone, Body: []byte("out")})
		r.checkOutcome(bbmsg.OutcomeAnswered, bbmsg.ReasonNone)
	})
}

func TestRepeatable(t *testing.T) {
	t.Run("a broken call is retried on another endpoint", func(t *testing.T) {
		r := newRig(t, nil, repeat)
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultBroken})
		r.checkSent("o1:run(0.1@0)", "o2:run(0.2@0)")
	})
	t.Run("without retry budget it fails at once", func(t *testing.T) {
		r := newRig(t, func(r *rig) { r.retries = 0 }, repeat)
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultBroken, Reason: bbmsg.ReasonSilent})
		r.checkSent("o1:run(0.1@0)")
		r.checkOutcome(bbmsg.OutcomeFailed, bbmsg.ReasonSilent)
	})
	t.Run("a lost owner is not waited for", func(t *testing.T) {
		r := newRig(t, nil, repeat)
		r.lost["o1"] = true
		r.peerChanged("o1")
		r.checkSent("o1:run(0.1@0)", "o1:cancel(0.1)", "o2:run(0.2@0)")
	})
	t.Run("a client error is not retried", func(t *testing.T) {
		r := newRig(t, nil, repeat)
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultFailed, Status: 422, Body: []byte("why")})
		r.checkSent("o1:run(0.1@0)")
		r.checkOutcome(bbmsg.OutcomeFailed, bbmsg.ReasonEndpointFailed)
	})
	t.Run("a slow attempt is hedged, the first answer counts, the other is dropped", func(t *testing.T) {
		r := newRig(t, func(r *rig) { r.hedges = true }, repeat)
		r.advance(testHedge)
		r.checkSent("o1:run(0.1@0)", "o2:run(0.2@0)")
		r.result("o2", 0, 2, bbmsg.Result{Kind: bbmsg.ResultDone, Body: []byte("second")})
		r.checkSent("o1:cancel(0.1)")
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultDone, Body: []byte("first")})
		if diff := cmp.Diff("second", string(r.record.Body)); diff != "" {
			t.Errorf("body (-want +got):\n%s", diff)
		}
	})
	t.Run("a request refused as suspect ends", func(t *testing.T) {
		r := newRig(t, func(r *rig) { r.verdict = bbsuspect.Refused }, repeat)
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultBroken, EndpointDied: true})
		r.checkSent("o1:run(0.1@0)")
		r.checkOutcome(bbmsg.OutcomeFailed, bbmsg.ReasonSuspect)
	})
}

func TestMismatchedResultsAreDropped(t *testing.T) {
	done := bbmsg.Result{Kind: bbmsg.ResultDone, Body: []byte("x")}
	cases := []struct {
		name          string
		from          string
		stage, number int
	}{
		{name: "from another owner", from: "o2", stage: 0, number: 1},
		{name: "of another stage", from: "o1", stage: 1, number: 1},
		{name: "of an attempt that does not exist", from: "o1", stage: 0, number: 2},
		{name: "of attempt 0", from: "o1", stage: 0, number: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, nil, repeat, repeat)
			r.result(c.from, c.stage, c.number, done)
			r.checkOutcome(bbmsg.OutcomePending, bbmsg.ReasonNone)
			r.checkSent("o1:run(0.1@0)")
		})
	}
}

func TestStream(t *testing.T) {
	engine := Step{Service: "s", Kind: bbrule.KindEngine}
	tokens := func(offset int, words ...string) bbmsg.Result {
		return bbmsg.Result{Kind: bbmsg.ResultTokens, Offset: offset, Tokens: words}
	}
	t.Run("resumes on another endpoint at its offset, without duplicate tokens", func(t *testing.T) {
		r := newRig(t, nil, engine)
		r.result("o1", 0, 1, tokens(0, "a", "b"))
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultBroken})
		r.checkSent("o1:run(0.1@0)", "o2:run(0.2@2)")
		r.result("o1", 0, 1, tokens(2, "late"))
		r.result("o2", 0, 2, tokens(1, "b", "c"))
		r.result("o2", 0, 2, bbmsg.Result{Kind: bbmsg.ResultDone, Offset: 3})
		r.checkTokens("a", "b", "c")
		r.checkOutcome(bbmsg.OutcomeAnswered, bbmsg.ReasonNone)
	})
	t.Run("a done result with a higher token count than received is treated as broken", func(t *testing.T) {
		r := newRig(t, nil, engine)
		r.result("o1", 0, 1, tokens(0, "a"))
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultDone, Offset: 3})
		r.checkSent("o1:run(0.1@0)", "o2:run(0.2@1)")
	})
	t.Run("tokens after a gap are dropped", func(t *testing.T) {
		r := newRig(t, nil, engine)
		r.result("o1", 0, 1, tokens(0, "a"))
		r.result("o1", 0, 1, tokens(2, "c"))
		r.checkTokens("a")
	})
	t.Run("the first attempt with tokens is the source, the other is cancelled", func(t *testing.T) {
		r := newRig(t, func(r *rig) { r.hedges = true }, engine)
		r.advance(testHedge)
		r.result("o2", 0, 2, tokens(0, "a"))
		r.result("o1", 0, 1, tokens(0, "x", "y"))
		r.checkSent("o1:run(0.1@0)", "o2:run(0.2@0)", "o1:cancel(0.1)")
		r.checkTokens("a")
	})
	t.Run("tokens of a stage before the last are the input of the next", func(t *testing.T) {
		r := newRig(t, nil, engine, repeat)
		r.result("o1", 0, 1, tokens(0, "a", "b"))
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultDone, Offset: 2})
		r.checkSent("o1:run(0.1@0)", "o1:run(1.1@0)")
		r.checkTokens()
	})
}

func TestDeadline(t *testing.T) {
	t.Run("never sent: not run, before the deadline when no time is left", func(t *testing.T) {
		r := newRig(t, func(r *rig) { r.closed = map[string]bool{"e1": true, "e2": true, "e3": true} }, once)
		r.advance(testDeadline)
		r.checkSent()
		r.checkOutcome(bbmsg.OutcomeNotRun, bbmsg.ReasonNoEndpoint)
	})
	t.Run("sent and repeatable: failed", func(t *testing.T) {
		r := newRig(t, func(r *rig) { r.retries = 0 }, repeat)
		r.advance(testDeadline)
		r.checkOutcome(bbmsg.OutcomeFailed, bbmsg.ReasonSilent)
	})
	t.Run("sent and not repeatable: unknown", func(t *testing.T) {
		r := newRig(t, nil, once)
		r.advance(testDeadline)
		r.checkSent("o1:run(0.1@0)", "o1:cancel(0.1)")
		r.checkOutcome(bbmsg.OutcomeUnknown, bbmsg.ReasonDeadline)
	})
	t.Run("a stage that must not be repeated and was only refused leaves the request repeatable", func(t *testing.T) {
		r := newRig(t, nil, repeat, once)
		r.result("o1", 0, 1, bbmsg.Result{Kind: bbmsg.ResultDone, Body: []byte("x")})
		r.closed = map[string]bool{"e1": true, "e2": true, "e3": true}
		r.result("o1", 1, 1, bbmsg.Result{Kind: bbmsg.ResultRefused, Reason: bbmsg.ReasonOverload})
		r.advance(testDeadline)
		r.checkOutcome(bbmsg.OutcomeFailed, bbmsg.ReasonNoEndpoint)
		if !r.record.Repeatable {
			t.Error("the request is not repeatable")
		}
	})
}
