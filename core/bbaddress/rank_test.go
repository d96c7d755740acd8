package bbaddress

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbticket"
)

// fleet returns live VMs, spread over three failure domains of one region.
func fleet(count int) []Node {
	var out []Node
	for i := range count {
		name := fmt.Sprint("entry", i)
		out = append(out, Node{
			Name:    name,
			Hash:    bbhash.Name(name),
			Domain:  fmt.Sprint("domain", i%3),
			Region:  "north",
			Alive:   true,
			HeardAt: 0,
		})
	}
	return out
}

func newRanker(seed uint64) *Ranker {
	return &Ranker{Random: rand.New(rand.NewPCG(seed, 1)).Uint64}
}

func TestIneligibleVMsAreNotNamed(t *testing.T) {
	cases := []struct {
		name string
		set  func(*Node)
	}{
		{"lost", func(n *Node) { n.Alive = false }},
		{"leaving", func(n *Node) { n.Leaving = true }},
		{"draining", func(n *Node) { n.Draining = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRanker(1)
			nodes := fleet(7)
			c.set(&nodes[2])
			for i := range 1000 {
				q := Query{}
				if i%2 == 0 {
					q.Session = SessionHash("a", fmt.Sprint(i))
				}
				for _, index := range r.Rank(0, q, nodes) {
					if index == 2 {
						t.Fatalf("the ineligible VM was named")
					}
				}
			}
			nodes = nodes[2:3]
			checkSame(t, "answer without others", 0, len(r.Rank(0, Query{}, nodes)))
		})
	}
}

func TestSessions(t *testing.T) {
	sessions := func(rank func(session uint64) int) []int {
		var homes []int
		for i := range 700 {
			homes = append(homes, rank(SessionHash("account", fmt.Sprint(i))))
		}
		return homes
	}
	first := func(seed uint64, nodes []Node) func(uint64) int {
		r := newRanker(seed)
		return func(session uint64) int { return r.Rank(0, Query{Session: session}, nodes)[0] }
	}
	nodes := fleet(7)
	t.Run("have the same home from all nodes", func(t *testing.T) {
		checkSame(t, "homes", sessions(first(1, nodes)), sessions(first(2, nodes)))
	})
	t.Run("move only from a draining home", func(t *testing.T) {
		before := sessions(first(1, nodes))
		drained := fleet(7)
		drained[3].Draining = true
		after := sessions(first(1, drained))
		for i := range before {
			if before[i] != 3 {
				checkSame(t, "home", before[i], after[i])
			}
		}
	})
	t.Run("stay while the only load is that of their own answers", func(t *testing.T) {
		idle := fleet(7)
		rank := first(1, idle)
		session := SessionHash("account", "chat")
		home := rank(session)
		for range loadSlack {
			checkSame(t, "home", home, rank(session))
			idle[home].NamedFirst++
		}
	})
	t.Run("avoid a home over the bound", func(t *testing.T) {
		loaded := fleet(7)
		for i := range loaded {
			loaded[i].Load = 100
		}
		loaded[3].Load = 140
		for _, home := range sessions(first(1, loaded)) {
			if home == 3 {
				t.Fatalf("a session was sent to the VM over the bound")
			}
		}
	})
	t.Run("of two accounts have different hashes", func(t *testing.T) {
		checkSame(t, "same hash", false, SessionHash("a", "s") == SessionHash("b", "s"))
		checkSame(t, "no session", uint64(0), SessionHash("a", ""))
	})
}

func TestOrder(t *testing.T) {
	nodes := fleet(7)
	nodes[1].Region, nodes[4].Region = "south", "south"
	nodes[0].Load = 3
	for i := range nodes {
		nodes[i].Load += 1000
	}
	nodes[5].Load = 0
	got := newRanker(1).Rank(0, Query{Session: sessionOf(nodes, 5), Region: "north"}, nodes)
	checkSame(t, "other domains, then the own, less loaded first", []int{5, 3, 6, 0}, got)
}

// sessionOf returns a session whose home is the given node.
func sessionOf(nodes []Node, home int) uint64 {
	for i := uint64(1); ; i++ {
		if newRanker(1).sessionHomeOfAll(i, nodes) == home {
			return i
		}
	}
}

func (r *Ranker) sessionHomeOfAll(session uint64, nodes []Node) int {
	q := Query{Session: session}
	r.prepare(0, q, nodes)
	return r.sessionHome(q, r.eligible, nodes)
}

func TestRegions(t *testing.T) {
	nodes := fleet(6)
	for i := range nodes {
		nodes[i].Load = 10
		if i >= 3 {
			nodes[i].Region = "south"
		}
	}
	inSouth := func(region string) bool {
		r := newRanker(1)
		for range 200 {
			if r.Rank(0, Query{Region: region}, nodes)[0] >= 3 {
				return true
			}
		}
		return false
	}
	checkSame(t, "another region while the own has capacity", false, inSouth("north"))
	checkSame(t, "unknown region", true, inSouth(""))
	checkSame(t, "region without VMs", true, inSouth("west"))
	for i := range 3 {
		nodes[i].Load = 200
	}
	checkSame(t, "another region at more than twice the mean", false, inSouth("north"))
	for i := 3; i < 6; i++ {
		nodes[i].Load = 0
	}
	nodes = append(nodes, nodes[3], nodes[4], nodes[5])
	checkSame(t, "another region at thrice the mean", true, inSouth("north"))
}

func TestOwnAnswersCountForAllNodes(t *testing.T) {
	nodes := fleet(2)
	nodes[0].Load, nodes[0].NamedFirst = 10, 1
	nodes[1].Load = 11
	r := newRanker(1)
	for range 100 {
		checkSame(t, "first", 1, r.Rank(0, Query{}, nodes)[0])
	}
}

func TestStaleLoadIsNotTrusted(t *testing.T) {
	nodes := fleet(2)
	nodes[0].Load = 100
	r := newRanker(1)
	count := func(now time.Duration) int {
		named := 0
		for range 1000 {
			if r.Rank(now, Query{}, nodes)[0] == 1 {
				named++
			}
		}
		return named
	}
	checkSame(t, "while fresh", 1000, count(staleAfter))
	stale := count(staleAfter + 1)
	checkSame(t, "when stale about half", true, stale > 400 && stale < 600)
}

func TestKeepAndTicket(t *testing.T) {
	r := newRanker(1)
	const ttl = 10 * time.Second
	least, most := ttl, time.Duration(0)
	for range 1000 {
		keep := r.KeepTime(ttl)
		least, most = min(least, keep), max(most, keep)
	}
	checkSame(t, "spread", true, least >= 8*time.Second && least < 8500*time.Millisecond && most <= ttl && most > 9500*time.Millisecond)
	checkSame(t, "no time to live", time.Duration(0), r.KeepTime(0))
	home := Node{Name: "entry1", Incarnation: 7, ClockMillis: 50_000, HeardAt: 3 * time.Second}
	want := bbticket.Ticket{Home: "entry1", Incarnation: 7, ExpiryMillis: 50_000 + 1000 + 10_000 + 2000}
	checkSame(t, "ticket", want, Ticket(4*time.Second, &home, ttl))
}

// simulation simulates callers that ask random entry VMs, keep the answers and put load
// on the first address. Each VM knows the loads of the others as of the last heartbeat.
type simulation struct {
	homes  int
	random *rand.Rand
	// rank returns the home for a caller that asks the VM with index asked.
	rank func(now time.Duration, asked int, views [][]Node) int
}

// run returns the ratio of the maximum to the mean load: its largest value and its mean over time.
func (s simulation) run(callers int) (worst, mean float64) {
	const steps, heartbeat, ttl = 600, 10, 100 // steps of 100 ms
	views := make([][]Node, s.homes)
	for i := range views {
		views[i] = fleet(s.homes)
	}
	loads := make([]int, s.homes)
	home := make([]int, callers)
	until := make([]int, callers)
	size := make([]int, callers)
	for i := range callers {
		home[i] = -1
		until[i] = s.random.IntN(ttl)
		size[i] = 1 + s.random.IntN(3)
	}
	sum := 0.0
	for step := range steps {
		now := time.Duration(step) * 100 * time.Millisecond
		for i := range views {
			if step%heartbeat == i%heartbeat {
				for j := range views {
					views[i][j].Load, views[i][j].NamedFirst, views[i][j].HeardAt = loads[j], 0, now
				}
			}
		}
		for i := range callers {
			if until[i] > step {
				continue
			}
			if home[i] >= 0 {
				loads[home[i]] -= size[i]
			}
			asked := s.random.IntN(s.homes)
			home[i] = s.rank(now, asked, views)
			views[asked][home[i]].NamedFirst++
			loads[home[i]] += size[i]
			until[i] = step + ttl
		}
		if step < 2*ttl {
			continue
		}
		total, most := 0, 0
		for _, l := range loads {
			total += l
			most = max(most, l)
		}
		ratio := float64(most) * float64(s.homes) / float64(total)
		worst = max(worst, ratio)
		sum += ratio / float64(steps-2*ttl)
	}
	return worst, sum
}

// policySimulation uses the Ranker, for callers without or with sessions.
func policySimulation(homes int, seed uint64, session bool) simulation {
	r := newRanker(seed)
	random := rand.New(rand.NewPCG(seed, 2))
	return simulation{homes: homes, random: random, rank: func(now time.Duration, asked int, views [][]Node) int {
		q := Query{}
		if session {
			q.Session = 1 + random.Uint64N(5000)
		}
		return r.Rank(now, q, views[asked])[0]
	}}
}

// uniformSimulation picks a random VM.
func uniformSimulation(homes int, seed uint64) simulation {
	random := rand.New(rand.NewPCG(seed, 2))
	return simulation{homes: homes, random: random, rank: func(time.Duration, int, [][]Node) int {
		return random.IntN(homes)
	}}
}

func TestLoadStaysWithinTheFactor(t *testing.T) {
	const homes, callers = 7, 700
	for seed := range uint64(5) {
		_, uniform := uniformSimulation(homes, seed).run(callers)
		for _, session := range []bool{false, true} {
			worst, mean := policySimulation(homes, seed, session).run(callers)
			if worst > LoadFactor {
				t.Errorf("seed %d, sessions %t: load reached %.3f times the mean, want at most %g", seed, session, worst, LoadFactor)
			}
			if mean >= uniform {
				t.Errorf("seed %d, sessions %t: load is %.3f times the mean, uniform random is %.3f", seed, session, mean, uniform)
			}
		}
	}
}

func checkSame(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

func BenchmarkSpread(b *testing.B) {
	for _, homes := range []int{7, 50} {
		for _, each := range []int{10, 100, 1000} {
			for _, c := range []struct {
				name string
				make func() simulation
			}{
				{"uniform", func() simulation { return uniformSimulation(homes, 1) }},
				{"policy", func() simulation { return policySimulation(homes, 1, false) }},
				{"sessions", func() simulation { return policySimulation(homes, 1, true) }},
			} {
				b.Run(fmt.Sprintf("homes=%d/callersEach=%d/%s", homes, each, c.name), func(b *testing.B) {
					var worst, mean float64
					for b.Loop() {
						worst, mean = c.make().run(homes * each)
					}
					b.ReportMetric(worst, "worst/mean")
					b.ReportMetric(mean, "max/mean")
				})
			}
		}
	}
}

func BenchmarkRank(b *testing.B) {
	for _, count := range []int{7, 50, 330} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			r := newRanker(1)
			nodes := fleet(count)
			b.ReportAllocs()
			for b.Loop() {
				r.Rank(0, Query{Session: 5}, nodes)
			}
		})
	}
}
