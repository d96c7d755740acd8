package bbmembership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
)

// Guards against a VM that reads the store before it has learned which VMs run: a seed that refuses ends the wait
// while the answer of another one is still being followed up.
func TestRefusedSeedDoesNotEndJoining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 20 * time.Millisecond
		began := time.Now()
		f := newTestFleet(t, testMember("b", 200, 1))
		f.Now = func() time.Duration { return time.Since(began) }
		f.Reset = func(string) {}
		seed, other := testMember("a", 100, 1), testMember("c", 300, 1)
		f.Exchange = func(_ context.Context, address string, e bbpeer.Exchange) (bbpeer.Exchange, error) {
			time.Sleep(callTime)
			if address != seed.Peer {
				time.Sleep(callTime / 2)
				return bbpeer.Exchange{}, status.Error(codes.Unavailable, "connection refused")
			}
			states := bbgossip.NewTable(other).States(0)
			return bbpeer.Exchange{
				From:    seed,
				States:  states,
				Members: bbgossip.NewTable(other).ByState(e.Wants),
			}, nil
		}
		f.SetSeeds([]string{seed.Peer, "nobody"})
		f.exchangeRound(t.Context())
		time.Sleep(2*callTime - 1)
		select {
		case <-f.Joined():
			t.Error("joined before the records of the members were fetched")
		default:
		}
		<-f.Joined()
		if _, known := f.table.Member("c"); !known || time.Since(began) > 3*callTime {
			t.Errorf("joined after %v, knowing the other VM: %t; want after two calls, knowing it", time.Since(began), known)
		}
	})
}

// Guards against a view that is used early although another VM is about to coordinate, or still does.
func TestAgreementOnCoordinator(t *testing.T) {
	// follower is a VM whose hub and coordinator is a, its leader since 500 ms.
	follower := func(t *testing.T) *testFleet {
		f := newTestFleet(t, testMember("b", 200, 1))
		f.recordAnswer(500*time.Millisecond, testMember("a", 100, 1))
		return f
	}
	want := func(t *testing.T, f *testFleet, stable bool) {
		t.Helper()
		f.now += agreedPeriod
		if got := f.ViewIsStable(); got != stable {
			t.Errorf("the view is stable: %t, want %t", got, stable)
		}
	}
	answerOf := func(m, coordinator bbgossip.Member) bbpeer.Exchange {
		return bbpeer.Exchange{
			From:        m,
			FromHub:     true,
			Coordinator: coordinator.Process(),
		}
	}
	t.Run("the hub confirms it", func(t *testing.T) {
		f := follower(t)
		f.recordAgreement(answerOf(testMember("a", 100, 2), testMember("a", 100, 2)))
		want(t, f, true)
	})
	t.Run("the hub confirms a former process of it", func(t *testing.T) {
		f := follower(t)
		f.recordAgreement(answerOf(testMember("a", 100, 2), testMember("a", 99, 2)))
		want(t, f, false)
	})
	t.Run("a VM that isn't the hub confirms it", func(t *testing.T) {
		f := follower(t)
		f.recordAgreement(answerOf(testMember("c", 300, 2), testMember("a", 100, 2)))
		want(t, f, false)
	})
	t.Run("a VM that would come before it isn't ready yet", func(t *testing.T) {
		f := follower(t)
		f.recordAgreement(answerOf(testMember("a", 100, 2), testMember("a", 100, 2)))
		first := testMember("0", 50, 1)
		first.Ready = false
		f.recordAnswer(f.now, first)
		want(t, f, false)
	})
	// leads is a VM that comes before the four others that it knows, of which b comes next.
	leads := func(t *testing.T) *testFleet {
		f := newTestFleet(t, testMember("a", 100, 1))
		for i, name := range []string{"b", "c", "d", "e"} {
			f.recordAnswer(500*time.Millisecond, testMember(name, int64(200+i), 1))
		}
		// It has just become the coordinator.
		f.leaderSince = f.now
		f.agreement = newAgreement(f.now)
		return f
	}
	named := func(f *testFleet, names ...string) {
		for _, name := range names {
			f.Answer(answerOf(testMember(name, int64(200+name[0]-'b'), 2), f.table.Self()))
		}
	}
	for _, c := range []struct {
		names  []string
		stable bool
	}{
		{nil, false},
		{[]string{"b"}, false},
		{[]string{"c", "d", "e"}, false},
		{[]string{"b", "c"}, true},
	} {
		t.Run(fmt.Sprint("named by ", c.names), func(t *testing.T) {
			f := leads(t)
			named(f, c.names...)
			want(t, f, c.stable)
		})
	}
	t.Run("the next one names another one again", func(t *testing.T) {
		f := leads(t)
		named(f, "b", "c", "d")
		f.Answer(answerOf(testMember("b", 200, 3), testMember("b", 200, 3)))
		want(t, f, false)
	})
}
