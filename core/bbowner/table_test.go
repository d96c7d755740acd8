package bbowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

const (
	testSettle   = time.Second
	testDeadline = 6 * time.Second
	testProcess  = 42
)

// rig drives a table step by step.
type rig struct {
	*testing.T
	table     *Table
	now       time.Duration
	confirmed bool
	results   []bbmsg.Result
	calls     []bbmsg.EndpointCall
	stops     []uint64
	offered   int
}

func rules(out bool) *bbrule.RuleSet {
	return &bbrule.RuleSet{
		Domains: []bbrule.Domain{{Name: "east", Region: "r", Out: out}},
		Services: []bbrule.Service{
			{Name: "engines", Kind: bbrule.KindEngine},
			{Name: "ledger", Kind: bbrule.KindPlain},
		},
		Endpoints: []bbrule.Endpoint{
			{Name: "engine", Service: "engines", Address: "1", Domain: "east", WarmSlots: 4, ColdSlots: 2},
			{Name: "plain", Service: "ledger", Address: "2", Domain: "east", WarmSlots: 4, ColdSlots: 2},
		},
		Pipelines: []bbrule.Pipeline{{
			Name:     "p",
			Stages:   []bbrule.Stage{{Service: "ledger"}, {Service: "engines"}},
			Deadline: testDeadline,
		}},
	}
}

// newRig returns a rig whose table has owned all endpoints since time 1.
func newRig(t *testing.T) *rig {
	r := &rig{
		T:         t,
		confirmed: true,
		now:       1,
		table: New(Settings{
			Self:        "a1",
			Incarnation: testProcess,
			SettleTime:  testSettle,
			SilenceTime: 2 * time.Second,
			BreakGrace:  100 * time.Millisecond,
		}),
	}
	r.table.SetRules(r.now, rules(false))
	r.setMembers(5)
	r.setOwned(true)
	return r
}

// settledRig returns a rig in which no calls of a former owner can be left.
func settledRig(t *testing.T) *rig {
	r := newRig(t)
	r.advance(testSettle + testDeadline)
	return r
}

// warmRig returns a rig whose engine is warm.
func warmRig(t *testing.T) *rig {
	r := settledRig(t)
	r.report(bbmsg.LoadReport{Boot: 1})
	return r
}

func (r *rig) setMembers(revision int64, leaving ...string) {
	list := bbmsg.MemberList{Revision: revision}
	for _, name := range []string{"engine", "plain"} {
		m := bbmsg.Member{Name: name, Role: bbmsg.RoleEndpoint}
		for _, l := range leaving {
			m.Leaving = m.Leaving || l == name
		}
		list.Members = append(list.Members, m)
	}
	r.table.SetMembers(r.now, list)
	r.tick()
}

func (r *rig) setOwned(owned bool) {
	r.table.SetOwned(r.now, func(string) bool { return owned })
	r.tick()
}

func (r *rig) tick() {
	r.table.Tick(r.now, r.confirmed)
	for _, o := range r.table.TakeOutputs() {
		switch {
		case o.Send != nil:
			r.results = append(r.results, *o.Send.Envelope.Result)
		case o.Call != nil:
			r.calls = append(r.calls, *o.Call)
		case o.Stop != nil:
			r.stops = append(r.stops, o.Stop.Call)
		}
	}
}

// settle ticks until nothing is due at the current time.
func (r *rig) settle() {
	r.tick()
	for r.table.NextWake(r.now) <= r.now {
		r.tick()
	}
}

func (r *rig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now = min(end, max(r.table.NextWake(r.now), r.now+1))
		r.settle()
	}
}

func (r *rig) dispatch(endpoint string) bbmsg.Dispatch {
	r.offered++
	return bbmsg.Dispatch{
		Attempt:          bbmsg.Attempt{ID: fmt.Sprintf("id-%d", r.offered), Number: 1},
		OwnerIncarnation: testProcess,
		Endpoint:         endpoint,
		ListRevision:     5,
		BudgetMillis:     int64(testDeadline / time.Millisecond),
		Account:          "account",
		Weight:           1,
	}
}

func (r *rig) offer(endpoint string, count int) {
	for range count {
		r.table.Offer(r.now, r.dispatch(endpoint), "home")
	}
	r.settle()
}

func (r *rig) offerAlone() {
	d := r.dispatch("engine")
	d.Alone = true
	r.table.Offer(r.now, d, "home")
	r.settle()
}

func (r *rig) update(call uint64, kind bbmsg.CallUpdateKind) {
	r.table.HandleCallUpdate(r.now, bbmsg.CallUpdate{Call: call, Kind: kind})
	r.settle()
}

func (r *rig) tokens(call uint64, offset int, tokens ...string) {
	r.table.HandleCallUpdate(r.now, bbmsg.CallUpdate{
		Call:   call,
		Kind:   bbmsg.UpdateTokens,
		Offset: offset,
		Tokens: tokens,
	})
	r.settle()
}

func (r *rig) report(report bbmsg.LoadReport) {
	report.Endpoint = "engine"
	r.table.Report(r.now, report)
	r.settle()
}

func (r *rig) wantCalls(want int) {
	r.Helper()
	if len(r.calls) != want {
		r.Fatalf("%d calls were made, want %d; results %+v", len(r.calls), want, r.results)
	}
}

func (r *rig) wantState(want bbmsg.EndpointState) {
	r.Helper()
	if got := r.table.Endpoints["engine"].State; got != want {
		r.Fatalf("state = %s, want %s", got, want)
	}
}

// wantResults compares the kinds and reasons of all results.
func (r *rig) wantResults(want ...string) {
	r.Helper()
	var got []string
	for _, result := range r.results {
		got = append(got, string(result.Kind)+" "+string(result.Reason))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		r.Fatalf("results (-want +got):\n%s", diff)
	}
}

func TestColdEndpoint(t *testing.T) {
	t.Run("no call before the settling time", func(t *testing.T) {
		r := newRig(t)
		r.table.settings.NoFormerOwners = func() bool { return true }
		r.advance(testSettle - 2)
		r.offer("plain", 1)
		r.wantCalls(0)
		r.wantResults("refused coldWait")
	})
	t.Run("no call while calls of a former owner may run", func(t *testing.T) {
		r := newRig(t)
		r.advance(testSettle + testDeadline - 2)
		r.offer("plain", 1)
		r.wantCalls(0)
	})
	t.Run("earlier when a report counts the calls of a former owner, with a slot reserved", func(t *testing.T) {
		r := newRig(t)
		r.advance(testSettle)
		r.report(bbmsg.LoadReport{Boot: 1, Cold: true})
		r.offer("engine", 2)
		r.wantCalls(1)
		r.report(bbmsg.LoadReport{Boot: 1, Cold: true, Running: 2})
		r.update(1, bbmsg.UpdateDone)
		r.wantCalls(1)
	})
	t.Run("earlier when the group has just started", func(t *testing.T) {
		r := newRig(t)
		r.table.settings.NoFormerOwners = func() bool { return true }
		r.advance(testSettle)
		r.offer("plain", 1)
		r.wantCalls(1)
	})
	t.Run("no call while unconfirmed, and queued attempts are refused", func(t *testing.T) {
		r := settledRig(t)
		r.offer("plain", 3)
		r.wantCalls(2)
		r.confirmed = false
		r.settle()
		r.update(1, bbmsg.UpdateDone)
		r.offer("plain", 1)
		r.wantCalls(2)
		r.wantResults("refused unconfirmed", "done ", "refused unconfirmed")
	})
	t.Run("no call for a while after list revisions were skipped", func(t *testing.T) {
		r := settledRig(t)
		r.setMembers(6)
		r.offer("plain", 1)
		r.wantCalls(1)
		r.setMembers(8)
		r.offer("plain", 1)
		r.wantCalls(1)
	})
	t.Run("one call per tick", func(t *testing.T) {
		r := settledRig(t)
		r.table.Offer(r.now, r.dispatch("plain"), "home")
		r.table.Offer(r.now, r.dispatch("plain"), "home")
		r.tick()
		r.wantCalls(1)
		r.confirmed = false
		r.tick()
		r.wantCalls(1)
	})
	t.Run("never more calls than cold slots until it is warm", func(t *testing.T) {
		r := settledRig(t)
		for done := range uint64(12) {
			r.offer("plain", 3)
			r.wantCalls(int(done) + 2)
			r.update(done+1, bbmsg.UpdateDone)
		}
		r.offer("plain", 4)
		r.update(13, bbmsg.UpdateDone)
		r.wantCalls(12 + 4)
	})
}

func TestColdTurn(t *testing.T) {
	signs := []struct {
		name string
		sign func(r *rig)
	}{
		{"report", func(r *rig) { r.report(bbmsg.LoadReport{Boot: 1, Cold: true}) }},
		{"boot", func(r *rig) { r.report(bbmsg.LoadReport{Boot: 2, Cold: true}) }},
		{"boot that claims to be warm", func(r *rig) { r.report(bbmsg.LoadReport{Boot: 2, LagMillis: 100}) }},
		{"rejected", func(r *rig) {
			r.table.HandleCallUpdate(r.now, bbmsg.CallUpdate{Call: 1, Kind: bbmsg.UpdateRejected, Cold: true})
			r.settle()
		}},
		{"broken", func(r *rig) { r.update(1, bbmsg.UpdateBroken) }},
		{"unreachable", func(r *rig) { r.update(1, bbmsg.UpdateUnsent) }},
		{"waiting at the endpoint", func(r *rig) { r.report(bbmsg.LoadReport{Boot: 1, Waiting: 4}) }},
		{"silent", func(r *rig) { r.advance(4 * time.Second) }},
	}
	for _, s := range signs {
		t.Run(s.name, func(t *testing.T) {
			r := warmRig(t)
			r.offer("engine", 2)
			r.wantState(bbmsg.StateWarm)
			s.sign(r)
			r.wantState(bbmsg.StateCold)
			calls := len(r.calls)
			r.offer("engine", 2)
			r.wantCalls(calls)
		})
	}
	t.Run("late first token", func(t *testing.T) {
		r := warmRig(t)
		for i := range uint64(8) {
			r.offer("engine", 1)
			r.advance(100 * time.Millisecond)
			r.update(i+1, bbmsg.UpdateDone)
		}
		r.offer("engine", 1)
		r.advance(time.Second)
		r.wantState(bbmsg.StateCold)
		r.update(9, bbmsg.UpdateDone)
		r.offer("engine", 3)
		r.wantCalls(10)
		r.advance(100 * time.Millisecond)
		r.update(10, bbmsg.UpdateDone)
		r.wantState(bbmsg.StateWarming)
	})
	t.Run("a report from before the sign doesn't open the window", func(t *testing.T) {
		r := warmRig(t)
		r.advance(time.Second)
		r.offer("engine", 1)
		r.update(1, bbmsg.UpdateBroken)
		r.advance(100 * time.Millisecond)
		r.report(bbmsg.LoadReport{Boot: 1, LagMillis: 500})
		r.wantState(bbmsg.StateCold)
		r.advance(time.Second)
		r.report(bbmsg.LoadReport{Boot: 1, LagMillis: 500})
		r.wantState(bbmsg.StateWarming)
	})
	t.Run("a report of the former boot is ignored", func(t *testing.T) {
		r := warmRig(t)
		r.report(bbmsg.LoadReport{Boot: 2, Cold: true})
		for range 2 {
			r.advance(time.Second)
			r.report(bbmsg.LoadReport{Boot: 1})
		}
		r.wantState(bbmsg.StateCold)
	})
}

func TestWarmEndpoint(t *testing.T) {
	t.Run("half the window until settled", func(t *testing.T) {
		r := newRig(t)
		r.report(bbmsg.LoadReport{Boot: 1})
		r.offer("engine", 4)
		r.wantCalls(2)
		r.advance(testSettle)
		r.wantCalls(4)
	})
	t.Run("known from the former owner, with the full window if the digest is recent", func(t *testing.T) {
		for age, want := range map[time.Duration]bbmsg.EndpointState{
			time.Second:     bbmsg.StateWarm,
			2 * time.Second: bbmsg.StateWarming,
		} {
			r := newRig(t)
			r.table.Hint(r.now, bbmsg.EndpointDigest{Name: "engine", State: bbmsg.StateWarm, InFlight: 1}, age)
			r.offer("engine", 4)
			r.wantCalls(1)
			r.wantState(want)
		}
	})
	t.Run("starts from its cold slots when the report is old", func(t *testing.T) {
		r := settledRig(t)
		r.report(bbmsg.LoadReport{Boot: 1, LagMillis: 3000})
		r.offer("engine", 4)
		r.wantCalls(2)
		r.update(1, bbmsg.UpdateDone)
		r.wantCalls(4)
	})
	t.Run("is used without confirmation", func(t *testing.T) {
		r := warmRig(t)
		r.confirmed = false
		r.offer("engine", 1)
		r.wantCalls(1)
	})
	t.Run("a full queue refuses", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 4)
		r.offer("engine", 3*4+1)
		r.wantCalls(4)
		r.wantResults("refused overload")
	})
	t.Run("an attempt that would end too late is refused", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 1)
		r.advance(time.Second)
		r.update(1, bbmsg.UpdateDone)
		r.offer("engine", 4)
		d := r.dispatch("engine")
		d.BudgetMillis = 900
		r.table.Offer(r.now, d, "home")
		r.settle()
		r.wantResults("done ", "refused overload")
	})
	t.Run("the backlog of one account causes no refusal for another", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 1)
		r.advance(time.Second)
		r.update(1, bbmsg.UpdateDone)
		r.offer("engine", 8)
		for _, account := range []string{"account", "small"} {
			d := r.dispatch("engine")
			d.Account = account
			d.BudgetMillis = 2200
			r.table.Offer(r.now, d, "home")
		}
		r.settle()
		r.wantResults("done ", "refused overload")
	})
}

func TestOwnership(t *testing.T) {
	t.Run("lost: no new calls, running ones finish", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 5)
		r.setOwned(false)
		r.offer("engine", 1)
		r.wantCalls(4)
		r.update(1, bbmsg.UpdateDone)
		r.wantCalls(4)
		r.wantResults("refused moved", "refused moved", "done ")
		if got := r.table.Digests(r.now)[0]; got.InFlight != 3 || got.Window != 0 {
			t.Errorf("digest = %+v, want 3 in flight and no window", got)
		}
	})
	t.Run("an owner with a stale list uses warm endpoints only", func(t *testing.T) {
		r := warmRig(t)
		for _, endpoint := range []string{"engine", "plain"} {
			d := r.dispatch(endpoint)
			d.ListRevision = 6
			r.table.Offer(r.now, d, "home")
			r.settle()
		}
		r.wantCalls(1)
		r.wantResults("refused notReady")
	})
	t.Run("a leaving endpoint gets no new calls", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 5)
		r.setMembers(6, "engine")
		r.offer("engine", 1)
		r.update(1, bbmsg.UpdateDone)
		r.wantCalls(4)
		r.wantResults("refused noEndpoint", "refused noEndpoint", "done ")
	})
	t.Run("an endpoint of a domain that is out gets no new calls and comes back cold", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 5)
		r.table.SetRules(r.now, rules(true))
		r.settle()
		r.offer("engine", 1)
		r.update(1, bbmsg.UpdateDone)
		r.wantCalls(4)
		r.wantResults("refused noEndpoint", "refused noEndpoint", "done ")
		r.table.SetRules(r.now, rules(false))
		r.wantState(bbmsg.StateCold)
	})
}

func TestOnce(t *testing.T) {
	t.Run("a duplicate of a dispatch is dropped, also after its end", func(t *testing.T) {
		r := warmRig(t)
		d := r.dispatch("engine")
		for range 2 {
			r.table.Offer(r.now, d, "home")
			r.settle()
		}
		r.update(1, bbmsg.UpdateDone)
		r.table.Offer(r.now, d, "home")
		r.settle()
		r.wantCalls(1)
		r.wantResults("done ")
	})
	t.Run("a duplicate of a refused dispatch is not sent later", func(t *testing.T) {
		r := settledRig(t)
		r.confirmed = false
		r.tick()
		d := r.dispatch("plain")
		r.table.Offer(r.now, d, "home")
		r.confirmed = true
		r.tick()
		r.table.Offer(r.now, d, "home")
		r.settle()
		r.wantCalls(0)
	})
	t.Run("a dispatch to an earlier process is dropped", func(t *testing.T) {
		r := warmRig(t)
		d := r.dispatch("engine")
		d.OwnerIncarnation = testProcess - 1
		r.table.Offer(r.now, d, "home")
		r.settle()
		r.wantCalls(0)
		r.wantResults()
	})
	t.Run("attempts above the limit end as broken", func(t *testing.T) {
		r := warmRig(t)
		r.table.settings.AttemptLimit = 2
		r.offer("engine", 3)
		r.wantCalls(2)
		r.wantResults("broken tableFull")
	})
}

func TestCancel(t *testing.T) {
	cancel := func(r *rig, d bbmsg.Dispatch, process uint64) (bool, bool) {
		answer, ok := r.table.Cancel(r.now, bbmsg.Cancel{
			Attempt:          d.Attempt,
			Endpoint:         d.Endpoint,
			OwnerIncarnation: process,
		})
		r.settle()
		return answer.NeverSent, ok
	}
	check := func(t *testing.T, gotSent, gotOK, wantNever, wantOK bool) {
		t.Helper()
		if diff := cmp.Diff([]bool{wantNever, wantOK}, []bool{gotSent, gotOK}); diff != "" {
			t.Errorf("never sent, answered (-want +got):\n%s", diff)
		}
	}
	t.Run("queued", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 4)
		d := r.dispatch("engine")
		r.table.Offer(r.now, d, "home")
		never, ok := cancel(r, d, testProcess)
		check(t, never, ok, true, true)
		r.update(1, bbmsg.UpdateDone)
		r.wantCalls(4)
	})
	t.Run("running, and counted until its end is reported", func(t *testing.T) {
		r := warmRig(t)
		d := r.dispatch("engine")
		r.table.Offer(r.now, d, "home")
		r.settle()
		never, ok := cancel(r, d, testProcess)
		check(t, never, ok, false, true)
		never, ok = cancel(r, d, testProcess)
		check(t, never, ok, false, true)
		if diff := cmp.Diff([]uint64{1}, r.stops); diff != "" {
			t.Errorf("stops (-want +got):\n%s", diff)
		}
		r.offer("engine", 4)
		r.wantCalls(4)
		r.update(1, bbmsg.UpdateBroken)
		r.wantCalls(5)
	})
	// coldWithCancelled returns a rig with a cold endpoint both of whose slots are taken, one of
	// them by a cancelled call. With a connection per call the cancelled call would end at once
	// for this VM, but the endpoint notices that only later.
	coldWithCancelled := func(t *testing.T) *rig {
		r := settledRig(t)
		r.report(bbmsg.LoadReport{Boot: 1, Cold: true})
		r.wantState(bbmsg.StateCold)
		d := r.dispatch("engine")
		r.table.Offer(r.now, d, "home")
		r.settle()
		r.wantCalls(1)
		never, ok := cancel(r, d, testProcess)
		check(t, never, ok, false, true)
		// The second slot is taken by another call.
		r.offer("engine", 1)
		r.wantCalls(2)
		return r
	}
	t.Run("running on a cold endpoint, where it may go on after the connection broke", func(t *testing.T) {
		r := coldWithCancelled(t)
		r.update(1, bbmsg.UpdateBroken)
		r.offer("engine", 1)
		r.advance(500 * time.Millisecond)
		r.wantCalls(2)
	})
	t.Run("running on a cold endpoint, where it is left to finish", func(t *testing.T) {
		r := coldWithCancelled(t)
		if diff := cmp.Diff([]uint64(nil), r.stops); diff != "" {
			t.Errorf("stops (-want +got):\n%s", diff)
		}
		r.offer("engine", 1)
		r.advance(100 * time.Millisecond)
		r.wantCalls(2)
		r.update(1, bbmsg.UpdateDone)
		r.wantCalls(3)
	})
	t.Run("unknown: never sent later", func(t *testing.T) {
		r := warmRig(t)
		d := r.dispatch("engine")
		never, ok := cancel(r, d, testProcess)
		check(t, never, ok, true, true)
		r.table.Offer(r.now, d, "home")
		r.settle()
		r.wantCalls(0)
	})
	t.Run("unknown and not recorded because of the limit", func(t *testing.T) {
		r := warmRig(t)
		r.table.settings.AttemptLimit = 0
		never, ok := cancel(r, r.dispatch("engine"), testProcess)
		check(t, never, ok, false, true)
	})
	t.Run("for another process", func(t *testing.T) {
		r := warmRig(t)
		never, ok := cancel(r, r.dispatch("engine"), testProcess-1)
		check(t, never, ok, false, false)
	})
}

func TestCalls(t *testing.T) {
	t.Run("tokens without duplicates and in order", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 1)
		r.tokens(1, 0, "a", "b")
		r.tokens(1, 1, "b", "c")
		r.tokens(1, 0, "a")
		r.tokens(1, 5, "f")
		got := ""
		for _, result := range r.results {
			for i, token := range result.Tokens {
				got += fmt.Sprint(result.Offset+i, token, " ")
			}
		}
		if diff := cmp.Diff("0a 1b 2c ", got); diff != "" {
			t.Errorf("tokens (-want +got):\n%s", diff)
		}
		last := r.results[len(r.results)-1]
		if last.Kind != bbmsg.ResultBroken || last.Offset != 3 {
			t.Errorf("last result = %+v, want broken at 3", last)
		}
	})
	t.Run("a call without progress is stopped, the endpoint stays warm", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 2)
		for offset := range 5 {
			r.advance(time.Second)
			r.tokens(2, offset, "t")
		}
		r.wantState(bbmsg.StateWarm)
		token := "tokens "
		r.wantResults(token, token, token, "broken silent", token, token)
	})
	t.Run("an endpoint is reported dead when all its calls broke", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 2)
		r.update(1, bbmsg.UpdateBroken)
		r.wantResults()
		r.update(2, bbmsg.UpdateBroken)
		r.wantResults("broken endpointFailed", "broken endpointFailed")
		for _, result := range r.results {
			if !result.EndpointDied || result.Others != 1 {
				t.Errorf("result = %+v, want died with one other", result)
			}
		}
	})
	t.Run("one broken connection beside a working one", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 2)
		r.update(1, bbmsg.UpdateBroken)
		r.tokens(2, 0, "t")
		if r.results[0].Kind != bbmsg.ResultBroken || r.results[0].EndpointDied {
			t.Errorf("result = %+v, want broken and not died", r.results[0])
		}
	})
	t.Run("a call that must run alone waits for an empty endpoint", func(t *testing.T) {
		r := warmRig(t)
		r.offer("engine", 1)
		r.offerAlone()
		r.offer("engine", 1)
		r.wantCalls(1)
		r.update(1, bbmsg.UpdateDone)
		r.wantCalls(2)
		r.update(2, bbmsg.UpdateDone)
		r.wantCalls(3)
	})
}
