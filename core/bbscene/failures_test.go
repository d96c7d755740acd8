package bbscene

import (
	"fmt"
	"testing"
	"time"

	"bluebellhall/core/bbhealth"
)

// breaks is how a worker fails that answers each call with a failure, refuses one that accepts no connection.
var (
	breaks  = Failure{Outcome: bbhealth.OutcomeBroken, After: 7 * ms}
	refuses = Failure{Outcome: bbhealth.OutcomeUnreachable}
)

// demanding has the pools of a deployment with 19 workers of the middle stage, which shortChain at 367 requests per
// second loads to 80%.
func demanding() Settings {
	s := hallGrown()
	s.Pools[1] = testPool("desk", 19, 36, 4800*time.Microsecond, 4.8e6)
	s.Pools[2].Workers = 26
	s.RetryRefused = false
	return s
}

// demandingRate is the load of demanding, in requests per second.
const demandingRate = 367

// refusals returns the number of refused orders by reason, of those that arrived in a period.
func refusals(s *Scene, from, until time.Duration) map[string]int {
	n := make(map[string]int)
	for _, o := range s.Outcomes {
		if o.Refused != "" && o.Arrived >= from && o.Arrived < until {
			n[o.Refused]++
		}
	}
	return n
}

// wantNoneRefused checks that no order that arrived in a period was refused.
func wantNoneRefused(t *testing.T, s *Scene, from, until time.Duration) {
	t.Helper()
	if n := refusals(s, from, until); len(n) > 0 {
		t.Errorf("refused %v of the requests from %v to %v, want none", n, from, until)
	}
}

// wantWithinAllowance checks that no window of ten seconds has more repeats than the allowance: a fifth of the
// requests for the service, and the slack.
func wantWithinAllowance(t *testing.T, s *Scene) {
	t.Helper()
	for i, from := range s.Failures.Repeats {
		n, requests := 0, 0
		for _, at := range s.Failures.Repeats[i:] {
			if at < from+10*time.Second {
				n++
			}
		}
		for _, o := range s.Outcomes {
			if o.Arrived >= from && o.Arrived < from+10*time.Second {
				requests++
			}
		}
		if allowed := float64(requests)/5 + s.settings.RetrySlack; float64(n) > allowed {
			t.Fatalf("%d repeats in the ten seconds from %v, want at most %.0f", n, from, allowed)
		}
	}
}

// flap makes a worker change between two states every 1.4 s in a period; nil stands for a worker without failure.
func flap(s *Scene, endpoint string, from, until time.Duration, first, second *Failure) {
	states := []*Failure{first, second}
	for i, at := 0, from; at < until; i, at = i+1, at+1400*ms {
		state := states[i%2]
		s.At(at, func() {
			if state == nil {
				s.SetWorking(endpoint)
				return
			}
			s.SetFailing(endpoint, *state)
		})
	}
	s.At(until, func() { s.SetWorking(endpoint) })
}

// Pattern: cascading failure. One of 19 workers of a stage goes down and up every 1.4 s for six seconds, under 80%
// load. An endpoint that breaks its calls is idle at once, and was given the next full call.
func TestFlappingWorkerAffectsFewPieces(t *testing.T) {
	for name, c := range map[string]struct {
		first, second *Failure
		// most bounds the pieces in failed calls: full calls are lost only when the worker goes down.
		most int
	}{
		"breaks calls while up":    {&refuses, &breaks, 120},
		"breaks calls while down":  {&breaks, nil, 3 * 70},
		"refuses calls while down": {&refuses, nil, 3 * 70},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(demanding())
			steady(s, "draft", 0, demandingRate, 0, 10*time.Second, shortChain)
			flap(s, "desk-0", 2*time.Second, 8*time.Second, c.first, c.second)
			made := 0
			s.At(8*time.Second, func() { made = s.workers["desk-0"].resultCount })
			s.Run(17 * time.Second)
			wantNoneRefused(t, s, 0, 10*time.Second)
			if n := s.Failures.Pieces["desk-0"]; n > c.most {
				t.Errorf("%d pieces were in failed calls, want at most %d", n, c.most)
			}
			if n := s.workers["desk-0"].resultCount - made; n < 100 {
				t.Errorf("the worker made %d results once it worked again, want at least 100", n)
			}
			wantWithinAllowance(t, s)
			t.Logf("%d failed calls, %d pieces, %d repeats", s.Failures.Calls, s.Failures.Pieces["desk-0"], len(s.Failures.Repeats))
		})
	}
}

// Pattern: a stage with three workers, two of which break each call for three seconds, at less than half of
// what the third can do alone.
func TestTwoOfThreeWorkersFail(t *testing.T) {
	s := New(fair())
	steady(s, "draft", 0, 8, 0, 10*time.Second, plainChain)
	for _, id := range []string{"portal-0", "portal-1"} {
		flap(s, id, 2*time.Second, 5*time.Second, &breaks, &breaks)
	}
	s.Run(16 * time.Second)
	wantNoneRefused(t, s, 0, 10*time.Second)
	wantShare(t, s, "draft", 0.95)
	wantWithinAllowance(t, s)
	if n := s.Failures.Pieces["portal-0"] + s.Failures.Pieces["portal-1"]; n > 60 {
		t.Errorf("%d pieces were in failed calls, want at most 60", n)
	}
}

// Pattern: as before, with little room for repeats. Calls to workers on probation leave it to the pieces of calls that
// sound workers broke.
func TestLittleRoomForRepeats(t *testing.T) {
	set := fair()
	set.RetrySlack = 0
	s := New(set)
	steady(s, "draft", 0, 8, 0, 10*time.Second, plainChain)
	for _, id := range []string{"portal-0", "portal-1"} {
		flap(s, id, 2*time.Second, 8*time.Second, &breaks, nil)
	}
	s.Run(16 * time.Second)
	wantNoneRefused(t, s, 0, 10*time.Second)
	wantWithinAllowance(t, s)
	t.Logf("%d failed calls, %d repeats", s.Failures.Calls, len(s.Failures.Repeats))
}

// Pattern: all workers of a stage fail and come back. Work must go on at once, however few workers there are.
func TestAllWorkersFailAndComeBack(t *testing.T) {
	for _, workers := range []int{3, 19} {
		for name, f := range map[string]Failure{"break calls": breaks, "refuse calls": refuses} {
			t.Run(fmt.Sprint(workers, " ", name), func(t *testing.T) {
				set := fair()
				set.Pools[0].Workers = workers
				s := New(set)
				steady(s, "draft", 0, 8, 0, 14*time.Second, plainChain)
				for i := range workers {
					flap(s, fmt.Sprint("portal-", i), 2*time.Second, 3500*ms, &f, &f)
				}
				s.Run(20 * time.Second)
				late, first := 0, 20*time.Second
				for _, o := range s.Outcomes {
					if o.First > 3500*ms {
						first = min(first, o.First)
					}
					if o.Arrived > 5500*ms && !o.OnTime(objective) {
						late++
					}
				}
				if first > 5500*ms || late > 2 {
					t.Errorf("the first request is served at %v, and %d are late that arrived two seconds after the workers had recovered; want service by 5.5 s and at most 2", first, late)
				}
				if n := refusals(s, 0, 14*time.Second)["stageFailed"]; n > 0 {
					t.Errorf("%d requests were refused for their failed calls, want none", n)
				}
				wantWithinAllowance(t, s)
				t.Logf("first %v, refused %v, %d failed calls, %d repeats", first, refusals(s, 0, 14*time.Second), s.Failures.Calls, len(s.Failures.Repeats))
			})
		}
	}
}
