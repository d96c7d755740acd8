package bbpool

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
	"bluebellhall/core/bburgency"
)

const ms = time.Millisecond

// newTestPool returns a pool of two endpoints with calls of four pieces and memory for six results of a
// megabyte each.
func newTestPool() *Pool {
	p := NewPool("desk", bbcatalog.Pool{
		Slots:             1,
		Queue:             2,
		Batch:             4,
		CallTime:          200 * ms,
		PieceTime:         10 * ms,
		ResultMemoryBytes: 6.3e6,
		ResultTTL:         4 * time.Second,
	})
	p.SetEndpoints([]Endpoint{
		{ID: "w1", Address: "a1", Zone: "east"},
		{ID: "w2", Address: "a2", Zone: "west"},
	})
	return p
}

// group returns n pieces of a request that have to start by a time.
func group(job string, n int, startBy time.Duration) *Group {
	left := make([]int, n)
	for i := range left {
		left[i] = i
	}
	return &Group{
		Job:  job,
		Left: left,
		Due: bburgency.Due{
			StartBy:   startBy,
			LastStart: startBy + 4*time.Second,
		},
		Limit: startBy + 5*time.Second,
	}
}

// calls starts all calls that are possible now.
func calls(p *Pool, now time.Duration) []*Call {
	var made []*Call
	for c := p.Next(now); c != nil; c = p.Next(now) {
		p.Start(now, c, uint64(len(made)+1))
		made = append(made, c)
	}
	return made
}

// jobs returns the number of pieces of each request in a call.
func jobs(c *Call) map[string]int {
	n := make(map[string]int)
	for _, p := range c.Pieces {
		n[p.Job]++
	}
	return n
}

// wantJobs checks the pieces of a call.
func wantJobs(t *testing.T, c *Call, want map[string]int) {
	t.Helper()
	if diff := cmp.Diff(want, jobs(c)); diff != "" {
		t.Errorf("pieces of the call (-want +got):\n%s", diff)
	}
}

func TestPiecesOfRequestsShareACall(t *testing.T) {
	p := newTestPool()
	p.Add(group("a", 2, 500*ms))
	p.Add(group("b", 2, 400*ms))
	made := calls(p, 0)
	if len(made) != 1 {
		t.Fatalf("made %d calls, want 1", len(made))
	}
	wantJobs(t, made[0], map[string]int{"a": 2, "b": 2})
}

// A call is lost as a whole when one of its pieces crashes the endpoint, so the pieces of a suspect request
// must not share a call with those of others.
func TestSuspectPiecesShareNoCall(t *testing.T) {
	p := newTestPool()
	p.Add(group("a", 1, 500*ms))
	suspect := group("b", 1, 510*ms)
	suspect.Alone = true
	p.Add(suspect)
	p.Add(group("c", 1, 520*ms))
	second := group("b", 1, 530*ms)
	second.Alone = true
	second.Stage = 1
	p.Add(second)
	made := calls(p, 0)
	wantJobs(t, made[0], map[string]int{"a": 1, "c": 1})
	wantJobs(t, made[1], map[string]int{"b": 2})
}

// Watched pieces that were lost in one call must be retried in separate calls, or the next loss wouldn't
// tell which of them crashes endpoints.
func TestWatchedPiecesShareNoCall(t *testing.T) {
	p := newTestPool()
	for i, job := range []string{"a", "b", "c"} {
		g := group(job, 1, 500*ms+time.Duration(i)*ms)
		g.Watched = job != "b"
		p.Add(g)
	}
	made := calls(p, 0)
	wantJobs(t, made[0], map[string]int{"a": 1, "b": 1})
	wantJobs(t, made[1], map[string]int{"c": 1})
}

func TestMostUrgentGoesFirst(t *testing.T) {
	p := newTestPool()
	p.Add(group("late", 4, 900*ms))
	p.Add(group("soon", 4, 400*ms))
	wantJobs(t, p.Next(0), map[string]int{"soon": 4})
}

func TestWorkThatCanBeOnTimeGoesFirst(t *testing.T) {
	p := newTestPool()
	p.Add(group("missed", 4, 500*ms))
	p.Add(group("feasible", 4, 1500*ms))
	wantJobs(t, p.Next(1000*ms), map[string]int{"feasible": 4})
}

func TestStartedStagesGoFirst(t *testing.T) {
	p := newTestPool()
	p.SetEndpoints([]Endpoint{{ID: "w1", Address: "a1", Zone: "east"}})
	p.Add(group("first", 3, 500*ms))
	p.Add(group("split", 3, 600*ms))
	made := calls(p, 0)
	wantJobs(t, made[0], map[string]int{"first": 3, "split": 1})
	p.Done(240*ms, made[0], bbhealth.OutcomeGood, nil)
	p.Add(group("urgent", 4, 300*ms))
	wantJobs(t, p.Next(240*ms), map[string]int{"split": 2, "urgent": 2})
}

func TestLargeResultsStayTogether(t *testing.T) {
	p := newTestPool()
	p.Add(group("first", 3, 500*ms))
	large := group("large", 2, 600*ms)
	large.ResultBytes = 1e6
	p.Add(large)
	made := calls(p, 0)
	wantJobs(t, made[0], map[string]int{"first": 3})
	wantJobs(t, made[1], map[string]int{"large": 2})
}

func TestMemoryBoundsCalls(t *testing.T) {
	p := newTestPool()
	p.SetEndpoints([]Endpoint{{ID: "w1", Address: "a1", Zone: "east"}})
	for _, job := range []string{"a", "b"} {
		g := group(job, 4, 500*ms)
		g.ResultBytes = 1e6
		p.Add(g)
	}
	made := calls(p, 0)
	p.Done(240*ms, made[0], bbhealth.OutcomeGood, map[string]float64{"h1": 1e6, "h2": 1e6, "h3": 1e6, "h4": 1e6})

	t.Run("no more than fit", func(t *testing.T) {
		made := calls(p, 240*ms)
		if len(made) != 1 {
			t.Fatalf("made %d calls, want 1", len(made))
		}
		wantJobs(t, made[0], map[string]int{"b": 2})
	})
	t.Run("freed memory is used again", func(t *testing.T) {
		p.Free("w1", "h1")
		p.Free("w1", "h1")
		if c := p.Next(480 * ms); c == nil || len(c.Pieces) != 1 {
			t.Errorf("next call %+v, want one with 1 piece", c)
		}
	})
}

func TestEndpointWithFullMemoryGetsNoCalls(t *testing.T) {
	p := newTestPool()
	p.SetEndpoints([]Endpoint{{ID: "w1", Address: "a1", Zone: "east"}})
	g := group("a", 2, 500*ms)
	g.ResultBytes = 1e6
	p.Add(g)
	p.MarkMemoryFull(0, "w1")
	if c := p.Next(100 * ms); c != nil {
		t.Errorf("call %+v while the memory of the endpoint is full, want none", c)
	}
	p.Expire(memoryFullHold)
	if c := p.Next(memoryFullHold); c == nil {
		t.Error("no call after memoryFullHold, want one")
	}
}

func TestSlownessDecays(t *testing.T) {
	p := newTestPool()
	w := p.workers["w1"]
	for range 10 {
		w.observeSlowness(0, 5)
	}
	if slow := w.currentSlowness(0); slow < slowThreshold {
		t.Fatalf("slowness %.2f after slow calls, want at least %.2f", slow, slowThreshold)
	}
	if slow := w.currentSlowness(10 * time.Second); slow > slowThreshold {
		t.Errorf("slowness %.2f ten seconds later, want less than %.2f", slow, slowThreshold)
	}
}

func TestOverdueCallIsReportedOnce(t *testing.T) {
	p := newTestPool()
	p.Add(group("a", 1, 500*ms))
	made := calls(p, 0)
	if late := p.TakeOverdue(300 * ms); len(late) != 0 {
		t.Errorf("%d calls overdue after 300 ms, want none", len(late))
	}
	if late := p.TakeOverdue(time.Second); len(late) != 1 || late[0] != made[0] {
		t.Errorf("%d calls overdue after 1 s, want the one", len(late))
	}
	if late := p.TakeOverdue(2 * time.Second); len(late) != 0 {
		t.Errorf("%d calls overdue again, want none", len(late))
	}
}

func TestUnreachableEndpointGetsNoCalls(t *testing.T) {
	p := newTestPool()
	p.Add(group("a", 4, 500*ms))
	made := calls(p, 0)
	p.Done(0, made[0], bbhealth.OutcomeUnreachable, nil)
	for range 3 {
		p.Add(group("b", 4, 500*ms))
	}
	for _, c := range calls(p, ms) {
		if c.Endpoint == made[0].Endpoint {
			t.Errorf("a call to %s right after it was unreachable, want none", c.Endpoint)
		}
	}
}

func TestFailureDomainsThatAreNotAllowed(t *testing.T) {
	p := newTestPool()
	g := group("a", 2, 500*ms)
	g.Allowed = func(zone string) bool { return zone == "west" }
	p.Add(g)
	if c := p.Next(0); c == nil || c.Endpoint != "w2" {
		t.Errorf("call %+v, want one to w2 in the allowed failure domain", c)
	}
}

// nearGroup returns pieces whose inputs are in the west and are costly to move.
func nearGroup(job string) *Group {
	g := group(job, 4, 900*ms)
	g.Zone = "west"
	g.MoveBytes = 3e6
	return g
}

func TestWorkWaitsForALocalEndpoint(t *testing.T) {
	busy := func(p *Pool) *Call {
		g := group("other", 4, 500*ms)
		g.Allowed = func(zone string) bool { return zone == "west" }
		p.Add(g)
		return calls(p, 0)[0]
	}
	t.Run("that will soon be free", func(t *testing.T) {
		p := newTestPool()
		c := busy(p)
		p.Add(nearGroup("near"))
		if got := p.Next(c.Expected - 100*ms); got != nil {
			t.Errorf("call to %s, want the pieces to wait for their failure domain", got.Endpoint)
		}
	})
	t.Run("not for long", func(t *testing.T) {
		p := newTestPool()
		busy(p)
		p.Add(nearGroup("near"))
		if got := p.Next(ms); got == nil || got.Endpoint != "w1" {
			t.Errorf("call %+v, want one to the idle endpoint", got)
		}
	})
	t.Run("not for one that is late", func(t *testing.T) {
		p := newTestPool()
		c := busy(p)
		p.Add(nearGroup("near"))
		if got := p.Next(c.Expected + 100*ms); got == nil || got.Endpoint != "w1" {
			t.Errorf("call %+v, want one to the idle endpoint", got)
		}
	})
	t.Run("not for one with full memory", func(t *testing.T) {
		p := newTestPool()
		c := busy(p)
		g := nearGroup("near")
		g.ResultBytes = 1e6
		p.Add(g)
		p.MarkMemoryFull(c.Expected-100*ms, "w2")
		if got := p.Next(c.Expected - 100*ms); got == nil || got.Endpoint != "w1" {
			t.Errorf("call %+v, want one to the idle endpoint", got)
		}
	})
}

// The report of a process that has ended says nothing of the one that follows it at another time or place.
func TestReportOfEndedProcess(t *testing.T) {
	p := newTestPool()
	slow := bbspeed.Report{Running: 1, Places: 1, Slowness: 3, Valid: true}
	want := func(now time.Duration, largest float64) {
		t.Helper()
		if got := p.Slowness(now).Max; got != largest {
			t.Errorf("largest slowness %.2f, want %.2f", got, largest)
		}
	}
	p.ReportLoad(0, bbstanding.Process{ID: "w1", Born: 7}, slow)
	want(0, 1)
	p.ReportLoad(0, bbstanding.Process{ID: "w1"}, slow)
	want(0, 3)
	p.SetEndpoints([]Endpoint{
		{ID: "w1", Address: "a1", Zone: "east", Born: 7},
		{ID: "w2", Address: "a2", Zone: "west"},
	})
	want(0, 1)
}

// An idle endpoint that has just reported a slow spell is used after the others, and again once the report has faded.
func TestReportedEndpointGetsWorkLast(t *testing.T) {
	p := newTestPool()
	p.ReportLoad(0, bbstanding.Process{ID: "w1"}, bbspeed.Report{Running: 0, Places: 1, Slowness: 3, Valid: true})
	p.Add(group("a", 4, time.Second))
	if made := calls(p, 0); len(made) != 1 || made[0].Endpoint != "w2" {
		t.Fatalf("calls %+v, want one to w2", made)
	}
	p.Add(group("b", 4, 2*time.Second))
	if made := calls(p, time.Second); len(made) != 1 || made[0].Endpoint != "w1" {
		t.Errorf("calls %+v after the spell, want one to w1", made)
	}
}
