package bbdispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const second = time.Second

// request returns a request that needs one piece of a service.
func request(id, account string, startBy, lastStart time.Duration) Request {
	return Request{
		ID:        id,
		Account:   account,
		Route:     "route",
		StartBy:   startBy,
		LastStart: lastStart,
		Demand:    map[string]int{"pool": 1},
	}
}

// drain takes all requests that fit out of a room and returns their IDs in order. Each start counts as a second of
// work for its account.
func drain(r *Room, s *Shares, now time.Duration, fits func(q Request, punctual bool) bool) []string {
	var ids []string
	for {
		q, ok := r.Next(now, fits)
		if !ok {
			return ids
		}
		r.Remove(q.ID)
		s.Served(now, q.Account, second)
		ids = append(ids, q.ID)
	}
}

func all(Request, bool) bool { return true }

func wantIDs(t *testing.T, got []string, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("started requests (-want +got):\n%s", diff)
	}
}

// Guards against an order by deadline alone, in which requests that will just miss their objective delay the others.
func TestRequestsThatCanBeOnTimeStartFirst(t *testing.T) {
	s := NewShares()
	r := NewRoom(s)
	r.Add(0, request("a", "", 1*second, 5*second))
	r.Add(0, request("b", "", 2*second, 4*second))
	r.Add(0, request("c", "", 3*second, 9*second))
	r.Add(0, request("d", "", 1*second, 3*second))
	wantIDs(t, drain(r, s, 1500*time.Millisecond, all), "c", "b", "d", "a")
}

// Guards against an account that takes all capacity because it sends most.
func TestAccountsAlternateWhateverTheySend(t *testing.T) {
	for _, weight := range []float64{1, 2} {
		t.Run(fmt.Sprint("weight ", weight), func(t *testing.T) {
			s := NewShares()
			s.Weight = func(account string) float64 {
				if account == "large" {
					return weight
				}
				return 0
			}
			r := NewRoom(s)
			for i := range 30 {
				r.Add(0, request(fmt.Sprint("l", i), "large", 0, second))
			}
			for i := range 10 {
				r.Add(0, request(fmt.Sprint("s", i), "small", 0, second))
			}
			started := 0
			for _, id := range drain(r, s, second, all)[:12] {
				if id[0] == 's' {
					started++
				}
			}
			if want := int(12 / (1 + weight)); started != want {
				t.Errorf("%d of the first 12 are of the small account, want %d", started, want)
			}
		})
	}
}

// An account that is alone gets everything, and one that was idle has no unlimited claim.
func TestSharesForgetOldUsage(t *testing.T) {
	s := NewShares()
	for i := range 2000 {
		s.Served(time.Duration(i)*second, "busy", second)
	}
	if got := s.Recent(1999*second, "busy"); got < 6 || got > 9 {
		t.Errorf("recent usage %.1f s, want about that of the half-life of 5 s divided by ln 2", got)
	}
	if got := s.Recent(1999*second+20*usageHalfLife, "busy"); got > 0.001 {
		t.Errorf("recent usage %.3f s after a long pause, want none", got)
	}
	if got := s.Excess(1999*second, "busy"); got != 0 {
		t.Errorf("excess %.2f of the only account, want 0", got)
	}
	s.Served(1999*second, "idle", 100*time.Millisecond)
	if got := s.Excess(2000*second, "busy"); got < 0.5 {
		t.Errorf("excess %.2f beside an account that got nearly nothing, want more than half of the average", got)
	}
}

func TestRoomIsBoundedForEachAccount(t *testing.T) {
	r := NewRoom(NewShares())
	added := 0
	for i := range maxWaiting {
		if r.Add(0, request(fmt.Sprint(i), "large", 0, second)) {
			added++
		}
	}
	if want := int(maxAccountShare * maxWaiting); added != want {
		t.Errorf("%d requests of one account wait, want %d", added, want)
	}
	if !r.Add(0, request("other", "small", 0, second)) {
		t.Error("a request of another account is turned away")
	}
}

// Guards against counts that drift from the requests that wait.
func TestDemandFollowsTheRequests(t *testing.T) {
	r := NewRoom(NewShares())
	for i := range 20 {
		r.Add(0, request(fmt.Sprint(i), "", 0, time.Duration(i)*second))
	}
	r.Remove("3")
	r.Remove("3")
	r.Remove("unknown")
	if got := r.Ahead("pool", 9*second); got != 9 {
		t.Errorf("%d pieces have to start within 9 s, want 9", got)
	}
	for i := range 20 {
		r.Remove(fmt.Sprint(i))
	}
	if r.Len() != 0 || len(r.Accounts()) != 0 || len(r.routes) != 0 || len(r.demand) != 0 {
		t.Errorf("an empty room has %d requests, %d accounts, %d routes, %d services", r.Len(), len(r.Accounts()), len(r.routes), len(r.demand))
	}
}

// BenchmarkNext shows how the cost of a decision grows with the requests that wait.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := NewShares()
			r := NewRoom(s)
			for i := range n {
				r.Add(0, request(fmt.Sprint(i), fmt.Sprint(i%16), time.Duration(i), time.Duration(i)))
			}
			b.ResetTimer()
			for i := range b.N {
				q, _ := r.Next(time.Duration(i), all)
				r.Remove(q.ID)
				s.Served(time.Duration(i), q.Account, time.Millisecond)
				r.Add(time.Duration(i), q)
			}
		})
	}
}
