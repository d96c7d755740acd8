package bbcoordinator

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbsuspect"
)

// newWatchfulCoordinator returns a coordinator with a table of suspects, whose verdicts are as of the
// time that now points to.
func newWatchfulCoordinator(second ...string) (c *Coordinator, table *bbsuspect.Table, now *time.Duration) {
	c = newTestCoordinator(second...)
	table, now = bbsuspect.New(100), new(time.Duration)
	c.env.Suspicion = func(content uint64) bbsuspect.Verdict { return table.Verdict(*now, content) }
	c.env.RecordLoss = func(content uint64, run bbsuspect.Run) { table.RecordLoss(*now, content, run) }
	return c, table, now
}

// orderOf returns an order with a fingerprint, without stages if second is 0.
func orderOf(id string, content uint64, second int) bbjob.Order {
	o := testOrder(id, second)
	o.Fingerprint = content
	if second == 0 {
		o.Stages = nil
	}
	return o
}

// recordCrashes records crashes of some endpoints by a content, one after the other, until now.
func recordCrashes(table *bbsuspect.Table, now time.Duration, content uint64, times int) {
	for i := range times {
		ended := now - time.Duration(times-1-i)*100*ms
		table.RecordLoss(now, content, bbsuspect.Run{
			ID:       uint64(ended),
			Endpoint: "e1",
			Began:    ended - 50*ms,
			Ended:    ended,
		})
	}
}

// wantRefused checks that the given orders, and no others, are refused as suspect.
func wantRefused(t *testing.T, out bbdecision.Output, ids ...string) {
	t.Helper()
	var got []string
	for _, r := range out.Refusals {
		if r.Reason == suspectReason && r.RetryAfter == bbsuspect.RetryAfter {
			got = append(got, r.ID)
		}
	}
	slices.Sort(got)
	if diff := cmp.Diff(ids, got); diff != "" {
		t.Errorf("orders refused as suspect (-want +got):\n%s\nall refusals: %+v", diff, out.Refusals)
	}
}

// A request that crashes each engine it runs on was granted engines without limit.
func TestContentThatCrashesEnginesIsRefused(t *testing.T) {
	c, table, now := newWatchfulCoordinator()
	granted := 0
	for try := range 8 {
		*now = time.Duration(try) * 10 * time.Second
		out := c.Submit(*now, orderOf(string(rune('0'+try)), 1, 0))
		if try >= 3 {
			wantRefused(t, out, string(rune('0'+try)))
		}
		for _, g := range out.Grants {
			granted++
			*now += 50 * ms
			recordCrashes(table, *now, 1, 1)
			c.Progress(*now, bbjob.Note{
				ID:       g.ID,
				Endpoint: g.Endpoint,
				Ended:    true,
				Outcome:  bbhealth.OutcomeBroken,
			})
		}
	}
	if granted != 3 {
		t.Errorf("a request that crashes engines was granted one %d times, want 3", granted)
	}
	if out := c.Submit(*now, orderOf("b", 2, 1)); len(out.Refusals) > 0 {
		t.Errorf("another request was refused: %+v", out.Refusals)
	}
}

// A request was sent to an engine though its content had been classified as refused while it waited.
func TestVerdictBindsRequestsThatWait(t *testing.T) {
	t.Run("for an engine", func(t *testing.T) {
		c, table, now := newWatchfulCoordinator()
		o := orderOf("a", 1, 0)
		o.Avoid = []string{"e1"}
		if out := c.Submit(0, o); len(out.Refusals)+len(out.Grants) > 0 {
			t.Fatalf("output %+v, want the order to wait", out)
		}
		recordCrashes(table, 0, 1, 3)
		out := c.Submit(*now, orderOf("b", 2, 0))
		wantRefused(t, out, "a")
		if len(out.Grants) != 1 || out.Grants[0].ID != "b" {
			t.Errorf("grants %+v, want one for the other request", out.Grants)
		}
	})
	t.Run("for a stage", func(t *testing.T) {
		c, table, now := newWatchfulCoordinator()
		calls := toSecond(t, c, orderOf("a", 1, 1))
		c.CallDone(300*ms, calls[0].ID, "east", bbhealth.OutcomeFull, nil)
		*now = 310 * ms
		recordCrashes(table, *now, 1, 3)
		wantRefused(t, c.Tick(*now), "a")
	})
	t.Run("with the verdict of the origin", func(t *testing.T) {
		c, _, _ := newWatchfulCoordinator()
		o := orderOf("a", 1, 0)
		o.Suspicion = bbsuspect.Refused
		wantRefused(t, c.Submit(0, o), "a")
	})
}

// Pieces that crashed a stage worker were sent to the next one, together with those that had been in
// the same call, until no worker was left.
func TestContentThatCrashesStageWorkersIsRefusedAndOthersAreServed(t *testing.T) {
	c, _, now := newWatchfulCoordinator("s1", "s2", "s3", "s4")
	var open []*bbpool.Call
	for i, id := range []string{"a", "b", "c"} {
		open = append(open, c.Submit(0, orderOf(id, uint64(i+1), 1)).Calls...)
	}
	const crasher = "b"
	var granted []string
	refused, crashed := false, 0
	for len(open) > 0 {
		call := open[0]
		open = open[1:]
		*now += 200 * ms
		crashes := slices.ContainsFunc(call.Pieces, func(p bbpool.Piece) bool { return p.Job == crasher && p.Stage == 1 })
		var out bbdecision.Output
		if crashes {
			crashed++
			out = c.CallDone(*now, call.ID, "", bbhealth.OutcomeBroken, nil)
		} else {
			out = c.CallDone(*now, call.ID, "east", bbhealth.OutcomeGood, good(call))
		}
		for _, g := range out.Grants {
			granted = append(granted, g.ID)
		}
		for _, r := range out.Refusals {
			refused = refused || r.ID == crasher && r.Reason == suspectReason
		}
		open = append(open, out.Calls...)
		open = append(open, c.Tick(*now+60*ms).Calls...)
	}
	slices.Sort(granted)
	if diff := cmp.Diff([]string{"a", "c"}, granted); diff != "" {
		t.Errorf("requests granted an engine (-want +got):\n%s", diff)
	}
	if !refused || crashed != 3 {
		t.Errorf("refused %t after %d crashes, want true after 3", refused, crashed)
	}
}

// Regression: orders of prompts with a part that had crashed engines were granted further ones.
func TestPromptsWithARefusedPartAreRefused(t *testing.T) {
	c := newTestCoordinator()
	refused := false
	c.env.RefusesPrompt = func(parts []uint64) bool { return refused && len(parts) > 0 }
	order := func(id string, second int) bbjob.Order {
		o := orderOf(id, 0, second)
		o.Prompt.Parts = []bbjob.Part{{ID: "a", Tokens: 1}, {ID: "own", Tokens: 1}}
		return o
	}
	if out := c.Submit(0, order("waiting", 1)); len(out.Refusals) > 0 {
		t.Fatalf("refused %+v before the part was known", out.Refusals)
	}
	refused = true
	out := c.Submit(10*ms, order("new", 0))
	out.Refusals = append(out.Refusals, c.Tick(time.Second).Refusals...)
	var got []string
	for _, r := range out.Refusals {
		got = append(got, r.ID+" "+r.Reason)
	}
	slices.Sort(got)
	if diff := cmp.Diff([]string{"new " + suspectPartReason, "waiting " + suspectPartReason}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if out := c.Submit(time.Second, orderOf("sound", 0, 0)); len(out.Refusals) > 0 {
		t.Errorf("order without the part is refused: %+v", out.Refusals)
	}
}

// Runs that crashed an endpoint were not recorded when their request had ended before the call did, or had been
// ordered anew by its origin.
func TestLostCallsOfEndedOrdersAreRecorded(t *testing.T) {
	for name, orderAgain := range map[string]bool{"ended": false, "ordered anew": true} {
		t.Run(name, func(t *testing.T) {
			c := newTestCoordinator()
			var lost []uint64
			c.env.RecordLoss = func(content uint64, _ bbsuspect.Run) { lost = append(lost, content) }
			call := c.Submit(0, orderOf("a", 7, 1)).Calls[0]
			c.Cancel(50*ms, "a")
			if orderAgain {
				c.Submit(60*ms, orderOf("a", 7, 1))
			}
			c.CallDone(100*ms, call.ID, "east", bbhealth.OutcomeBroken, nil)
			if diff := cmp.Diff([]uint64{7}, lost); diff != "" {
				t.Errorf("contents of lost runs (-want +got):\n%s", diff)
			}
		})
	}
}
