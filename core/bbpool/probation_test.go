package bbpool

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
)

// newFailingPool returns a pool of some endpoints with calls of 40 pieces, of which each of the first failing ones has
// broken a call by now.
func newFailingPool(now time.Duration, endpoints, failing int) *Pool {
	p := NewPool("desk", bbcatalog.Pool{
		Slots:             1,
		Queue:             2,
		Batch:             40,
		CallTime:          200 * ms,
		PieceTime:         5 * ms,
		ResultMemoryBytes: 6e6,
		ResultTTL:         4 * time.Second,
	})
	p.Lead = 15 * ms
	var list []Endpoint
	for i := range endpoints {
		list = append(list, Endpoint{ID: fmt.Sprint("w", i), Zone: "east"})
	}
	p.SetEndpoints(list)
	for i := range failing {
		failCall(p, now, fmt.Sprint("w", i))
	}
	return p
}

// failCall breaks a call that an endpoint got some milliseconds before.
func failCall(p *Pool, now time.Duration, endpoint string) {
	c := &Call{Endpoint: endpoint, Sent: now - 7*ms}
	p.Start(now-7*ms, c, 1000)
	p.Done(now, c, bbhealth.OutcomeBroken, nil)
}

// sizes returns the number of pieces in the calls that each endpoint gets now.
func sizes(p *Pool, now time.Duration) map[string][]int {
	n := make(map[string][]int)
	for _, c := range calls(p, now) {
		n[c.Endpoint] = append(n[c.Endpoint], len(c.Pieces))
	}
	return n
}

// wantSizes checks the sizes of the calls that each endpoint gets now.
func wantSizes(t *testing.T, p *Pool, now time.Duration, want map[string][]int) {
	t.Helper()
	if diff := cmp.Diff(want, sizes(p, now)); diff != "" {
		t.Errorf("pieces of the calls at %v (-want +got):\n%s", now, diff)
	}
}

// addGroups queues groups of three pieces, each of another request.
func addGroups(p *Pool, n int) {
	for i := range n {
		p.Add(group(fmt.Sprint("r", i), 3, time.Second))
	}
}

// An endpoint that broke a call was idle at once, and got the next full call.
func TestEndpointThatFailedGetsASmallCall(t *testing.T) {
	p := newFailingPool(0, 2, 1)
	addGroups(p, 60)
	wantSizes(t, p, ms, map[string][]int{"w1": {40}})
	// The full call has taken one piece of the next request.
	wantSizes(t, p, probationPause, map[string][]int{"w0": {2}})
	// No second call is queued behind the small one.
	wantSizes(t, p, probationPause+210*ms, map[string][]int{})
	for _, c := range p.workers["w0"].calls {
		p.Done(300*ms, c, bbhealth.OutcomeGood, nil)
	}
	wantSizes(t, p, 300*ms, map[string][]int{"w0": {40}})
}

func TestSmallCallsTakePartOfALargeGroup(t *testing.T) {
	p := newFailingPool(0, 2, 1)
	p.Add(group("a", 60, time.Second))
	wantSizes(t, p, probationPause, map[string][]int{"w0": {probationPieces}, "w1": {40}})
}

// An idle sound endpoint is better than one on probation, whatever the failure domain.
func TestSoundEndpointsGoFirst(t *testing.T) {
	p := newFailingPool(0, 2, 1)
	p.endpoints[1].Zone = "west"
	g := group("a", 4, time.Second)
	g.Zone = "east"
	p.Add(g)
	wantSizes(t, p, time.Second, map[string][]int{"w1": {4}})
}

func TestPauseDoublesWithEachFailureInARow(t *testing.T) {
	p := newFailingPool(0, 2, 1)
	now := time.Duration(0)
	for i := range 8 {
		want := min(probationPause<<i, maxProbationPause)
		if got := p.Probation("w0").Until - now; got != want {
			t.Errorf("pause of %v after %d failures, want %v", got, i+1, want)
		}
		now += 2 * time.Second
		failCall(p, now, "w0")
	}
	t.Run("but not with calls sent before the failure", func(t *testing.T) {
		p := newFailingPool(0, 2, 0)
		first, second := &Call{Endpoint: "w0"}, &Call{Endpoint: "w0"}
		p.Start(0, first, 1)
		p.Start(0, second, 2)
		p.Done(ms, first, bbhealth.OutcomeBroken, nil)
		p.Done(2*ms, second, bbhealth.OutcomeBroken, nil)
		if got := p.Probation("w0"); got.Failures != 1 || got.Until != ms+probationPause {
			t.Errorf("probation %+v after two calls that broke at once, want that of one failure", got)
		}
	})
}

// While the budget is short, the repeats that are left are for endpoints that were sound.
func TestEndpointsOnProbationAreTriedSeldomWhileRepeatsAreShort(t *testing.T) {
	p := newFailingPool(0, 2, 1)
	p.SaveRepeats = true
	addGroups(p, 60)
	wantSizes(t, p, time.Second, map[string][]int{"w1": {40}})
	wantSizes(t, p, savingPause, map[string][]int{"w0": {2}})
}

// Where all endpoints of a service are on probation, small calls and long pauses would stop the work.
func TestWorkGoesOnWithoutSoundEndpoints(t *testing.T) {
	p := newFailingPool(0, 3, 3)
	for i := range 6 {
		failCall(p, time.Duration(i+1)*2*time.Second, "w0")
	}
	// The last failed call was sent just before.
	now := 12*time.Second + unsoundInterval
	addGroups(p, 60)
	wantSizes(t, p, now, map[string][]int{"w1": {20}})
	// One after the other, since each failure costs a repeat.
	wantSizes(t, p, now+unsoundInterval-ms, map[string][]int{})
	wantSizes(t, p, now+unsoundInterval, map[string][]int{"w2": {20}})
	wantSizes(t, p, 12*time.Second+3*unsoundPausePerEndpoint, map[string][]int{"w0": {20}})
	t.Run("or without one that is allowed", func(t *testing.T) {
		p := newFailingPool(0, 2, 1)
		p.endpoints[1].Zone = "west"
		g := group("a", 40, time.Second)
		g.Allowed = func(zone string) bool { return zone == "east" }
		p.Add(g)
		wantSizes(t, p, probationPause, map[string][]int{"w0": {20}})
	})
}

// The estimates of waits took an endpoint that breaks its calls for an idle one with its whole throughput.
func TestEndpointsOnProbationCountLittle(t *testing.T) {
	one, three := newFailingPool(0, 1, 0).PerSecond(0), newFailingPool(0, 3, 2).PerSecond(0)
	if three > 1.4*one {
		t.Errorf("%.0f pieces per second of three endpoints, two of which are on probation, want about the %.0f of one", three, one)
	}
	p := newFailingPool(0, 3, 2)
	addGroups(p, 14)
	calls(p, ms)
	if wait := p.Wait(100*ms, 0, 0); wait < 200*ms {
		t.Errorf("wait of %v while the only sound endpoint is busy, want that until it is free", wait)
	}
	if wait := newFailingPool(0, 3, 3).Wait(0, 0, 0); wait != probationPause {
		t.Errorf("wait of %v while all endpoints pause after a failure, want the pause", wait)
	}
}

func TestCanHaveBegun(t *testing.T) {
	p := newFailingPool(0, 1, 0)
	first, second := &Call{Endpoint: "w0"}, &Call{Endpoint: "w0"}
	p.Start(0, first, 1)
	p.Start(0, second, 2)
	for name, c := range map[string]struct {
		call    *Call
		now     time.Duration
		outcome bbhealth.Outcome
		want    bool
	}{
		"broken early":            {first, 199 * ms, bbhealth.OutcomeBroken, false},
		"broken late":             {first, 200 * ms, bbhealth.OutcomeBroken, true},
		"broken behind another":   {second, 300 * ms, bbhealth.OutcomeBroken, false},
		"refused the connection":  {first, 300 * ms, bbhealth.OutcomeUnreachable, false},
		"had no place":            {first, 300 * ms, bbhealth.OutcomeFull, false},
		"answered without result": {first, ms, bbhealth.OutcomeGood, true},
	} {
		if got := p.CanHaveBegun(c.now, c.call, c.outcome); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
