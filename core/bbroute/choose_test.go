package bbroute

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
)

// TestMain fixes the seed of rapid (-rapid.seed=0 draws one) and sets enough checks for
// rare pools to occur.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// naive is the reference implementation: it scans all candidates for every decision.
type naive struct {
	q      Query
	rows   []row
	random func() uint64
}

type row struct {
	index      int
	c          Candidate
	cold       bool
	load       int
	score      float64
	near, home bool
}

func (n *naive) build(s Settings, candidates []Candidate) {
	for i, c := range candidates {
		d := c.Digest
		good := !c.Out && !c.Excluded && c.OwnerAlive && c.Known && d.Window > 0 &&
			d.State != bbmsg.StateLeaving && d.State != bbmsg.StateOut &&
			(n.q.Model == "" || d.Model == "" || d.Model == n.q.Model)
		if n.q.Alone && (d.InFlight > 0 || d.Queued > 0 || c.InFlight > 0) {
			good = false
		}
		if !good {
			continue
		}
		r := row{index: i, c: c, load: d.InFlight + d.Queued + c.SentSinceDigest}
		r.cold = d.State == bbmsg.StateCold || d.State == bbmsg.StateUnknown || c.DigestAge > staleAfter
		r.near = c.Region == n.q.Region
		r.home = r.near && c.Domain == n.q.Domain
		perSlot := n.q.ServiceMillis / float64(d.Window)
		r.score = perSlot * float64(r.load)
		if r.load >= d.Window {
			r.score += float64(d.WaitMillis) + perSlot*float64(c.SentSinceDigest)
		}
		if !r.near {
			r.score += 2*s.RegionMillis + float64(n.q.Bytes)/1e9*s.GigabyteMillis
		} else if !r.home {
			r.score += 2 * s.DomainMillis
		}
		n.rows = append(n.rows, r)
	}
}

func (r row) hasHeadroom() bool { return float64(r.load) < 0.8*float64(r.c.Digest.Window) }

func isHome(r row) bool  { return r.home && r.hasHeadroom() }
func isNear(r row) bool  { return r.near && r.hasHeadroom() }
func isOther(r row) bool { return !r.near && r.hasHeadroom() }

func where(rows []row, keep func(row) bool) []row {
	var out []row
	for _, r := range rows {
		if keep(r) {
			out = append(out, r)
		}
	}
	return out
}

func anyWarm(rows []row) bool {
	return len(where(rows, func(r row) bool { return !r.cold })) > 0
}

// draw repeats each row as often as its weight and picks one at random.
func (n *naive) draw(rows []row, free bool) row {
	var lots []row
	for _, r := range rows {
		slots := r.c.Digest.Window
		if free {
			slots -= r.load
		}
		if !r.cold {
			slots *= coldWeightDivisor
		}
		for range slots {
			lots = append(lots, r)
		}
	}
	return lots[n.random()%uint64(len(lots))]
}

func (n *naive) betterOfTwo(rows []row, free bool) row {
	first := n.draw(rows, free)
	rest := where(rows, func(r row) bool { return r.index != first.index })
	if len(rest) == 0 {
		return first
	}
	if second := n.draw(rest, free); second.score < first.score {
		return second
	}
	return first
}

func (n *naive) preferOtherRegion(near row, why Cause) (int, Cause) {
	if others := where(n.rows, isOther); anyWarm(others) {
		if other := n.betterOfTwo(others, true); other.score < near.score {
			return other.index, CauseOtherRegion
		}
	}
	return near.index, why
}

func (n *naive) choose() (int, Cause) {
	if len(n.rows) == 0 {
		return -1, CauseNone
	}
	near := where(n.rows, func(r row) bool { return r.near })
	switch {
	case n.q.Alone:
		sort.SliceStable(n.rows, func(i, j int) bool {
			a, b := n.rows[i], n.rows[j]
			return a.cold && !b.cold || a.cold == b.cold && a.score < b.score
		})
		return n.rows[0].index, CauseAlone
	case n.q.Session != 0 && len(near) > 0:
		return n.session(near)
	case anyWarm(where(n.rows, isHome)):
		return n.betterOfTwo(where(n.rows, isHome), true).index, CauseDomain
	case anyWarm(where(n.rows, isNear)):
		return n.betterOfTwo(where(n.rows, isNear), true).index, CauseRegion
	case anyWarm(near):
		return n.preferOtherRegion(n.betterOfTwo(near, false), CauseSaturated)
	case len(near) > 0:
		return n.preferOtherRegion(n.betterOfTwo(near, false), CauseAllCold)
	case anyWarm(where(n.rows, isOther)):
		return n.betterOfTwo(where(n.rows, isOther), true).index, CauseOtherRegion
	default:
		return n.betterOfTwo(n.rows, false).index, CauseSaturated
	}
}

func (n *naive) session(near []row) (int, Cause) {
	sort.Slice(near, func(i, j int) bool {
		return bbhash.Score(near[i].c.Hash, n.q.Session) > bbhash.Score(near[j].c.Hash, n.q.Session)
	})
	usable := where(near, func(r row) bool { return !r.cold || !anyWarm(near) })
	if near[0].index != usable[0].index && near[0].hasHeadroom() && n.random()%coldWeightDivisor == 0 {
		return near[0].index, CauseColdTrial
	}
	load, window := 0, 0
	for _, r := range usable {
		load += r.load
		window += r.c.Digest.Window
	}
	mean := float64(load+1) / float64(window)
	within := where(usable, func(r row) bool {
		if len(where(usable, row.hasHeadroom)) > 0 {
			return r.hasHeadroom()
		}
		return float64(r.load)/float64(r.c.Digest.Window) < 1.25*mean-1e-9
	})
	best, why := within[0], CauseSessionSpill
	if best.index == near[0].index {
		why = CauseSession
	}
	if best.load >= best.c.Digest.Window {
		return n.preferOtherRegion(best, why)
	}
	return best.index, why
}

func TestAgainstNaive(t *testing.T) {
	seen := map[Cause]int{}
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(drawCandidate), 0, 12).Draw(t, "candidates")
		for i := range candidates {
			candidates[i].Name = fmt.Sprint("endpoint", i)
			candidates[i].Hash = bbhash.Name(candidates[i].Name)
		}
		q := Query{
			Session:       rapid.Uint64Range(0, 3).Draw(t, "session"),
			Domain:        "north1",
			Region:        "north",
			Model:         rapid.SampledFrom([]string{"", "m"}).Draw(t, "model"),
			Bytes:         rapid.SampledFrom([]int64{0, 1000, 1_000_000}).Draw(t, "bytes"),
			ServiceMillis: float64(rapid.IntRange(1, 500).Draw(t, "service")),
			Alone:         rapid.IntRange(0, 9).Draw(t, "alone") == 0,
		}
		seed := rapid.Uint64().Draw(t, "seed")
		r := &Router{
			Settings: Settings{DomainMillis: 1.5, RegionMillis: 10, GigabyteMillis: 20_000},
			Random:   rand.New(rand.NewPCG(seed, 0)).Uint64,
		}
		n := &naive{q: q, random: rand.New(rand.NewPCG(seed, 0)).Uint64}
		n.build(r.Settings, candidates)
		for range 4 {
			index, why := n.choose()
			got := r.Choose(&q, candidates)
			seen[got.Cause]++
			checkSame(t, "index", index, got.Index)
			checkSame(t, "why", why.String(), got.Cause.String())
			checkSame(t, "has a reason", index < 0, got.Reason != bbmsg.ReasonNone)
		}
	})
	for why := range causes {
		if seen[why] == 0 {
			t.Errorf("no case was decided by: %s", why)
		}
	}
}

func drawCandidate(t *rapid.T) Candidate {
	region := rapid.SampledFrom([]string{"north", "north", "south"}).Draw(t, "region")
	window := rapid.SampledFrom([]int{0, 1, 2, 4, 8, 8}).Draw(t, "window")
	rare := func(name string) bool { return rapid.IntRange(0, 11).Draw(t, name) == 0 }
	since := rapid.IntRange(0, 3).Draw(t, "since")
	return Candidate{
		Domain:     region + rapid.SampledFrom([]string{"1", "2"}).Draw(t, "domain"),
		Region:     region,
		OwnerAlive: !rare("ownerLost"),
		Known:      !rare("unheard"),
		Digest: bbmsg.EndpointDigest{
			State: rapid.SampledFrom([]bbmsg.EndpointState{
				bbmsg.StateWarm, bbmsg.StateWarm, bbmsg.StateWarm, bbmsg.StateWarming,
				bbmsg.StateCold, bbmsg.StateUnknown, bbmsg.StateLeaving, bbmsg.StateOut,
			}).Draw(t, "state"),
			Window:     window,
			InFlight:   rapid.IntRange(0, window).Draw(t, "inFlight"),
			Queued:     rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "queued"),
			WaitMillis: rapid.IntRange(0, 900).Draw(t, "wait"),
			Model:      rapid.SampledFrom([]string{"", "m", "m", "other"}).Draw(t, "loaded"),
		},
		DigestAge:       time.Duration(rapid.IntRange(0, 12).Draw(t, "age")) * 300 * time.Millisecond,
		SentSinceDigest: since,
		InFlight:        since + rapid.IntRange(0, 1).Draw(t, "before"),
		Excluded:        rare("excluded"),
		Out:             rare("out"),
	}
}

// fleet returns warm idle endpoints, spread over three failure domains of one region.
func fleet(count, window int) []Candidate {
	var out []Candidate
	for i := range count {
		name := fmt.Sprint("endpoint", i)
		out = append(out, Candidate{
			Name:       name,
			Hash:       bbhash.Name(name),
			Domain:     fmt.Sprint("domain", i%3),
			Region:     "north",
			OwnerAlive: true,
			Known:      true,
			Digest:     bbmsg.EndpointDigest{State: bbmsg.StateWarm, Window: window},
		})
	}
	return out
}

func testRouter() *Router {
	return &Router{
		Settings: Settings{DomainMillis: 1.5, RegionMillis: 10, GigabyteMillis: 20_000},
		Random:   rand.New(rand.NewPCG(7, 7)).Uint64,
	}
}

func TestColdEndpointGetsFewRequests(t *testing.T) {
	candidates := fleet(9, 8)
	candidates[0].Digest.State = bbmsg.StateCold
	candidates[0].Digest.Window = 1
	for _, session := range []bool{false, true} {
		t.Run(fmt.Sprintf("session=%t", session), func(t *testing.T) {
			r := testRouter()
			const choices = 20_000
			cold := 0
			for i := range choices {
				q := Query{Domain: "domain0", Region: "north"}
				if session {
					q.Session = bbhash.Name(fmt.Sprint("session", i))
				}
				if r.Choose(&q, candidates).Index == 0 {
					cold++
				}
			}
			// A ninth of the sessions, or one slot of 17 in the domain, each reduced by the weight
			// of cold endpoints.
			if limit := 2 * choices / 9 / coldWeightDivisor; cold == 0 || cold > limit {
				t.Errorf("the cold endpoint got %d of %d, want 1 to %d", cold, choices, limit)
			}
		})
	}
}

func TestHotSessionSpills(t *testing.T) {
	r := testRouter()
	candidates := fleet(6, 10)
	q := Query{Session: bbhash.Name("hot"), Domain: "domain0", Region: "north"}
	used := func(requests int) (endpoints, most int) {
		for range requests {
			candidates[r.Choose(&q, candidates).Index].SentSinceDigest++
		}
		for i := range candidates {
			if candidates[i].SentSinceDigest > 0 {
				endpoints++
			}
			most = max(most, candidates[i].SentSinceDigest)
		}
		return endpoints, most
	}
	endpoints, most := used(8)
	checkSame(t, "endpoints while the first has headroom", 1, endpoints)
	checkSame(t, "most on one", 8, most)
	endpoints, most = used(52)
	checkSame(t, "endpoints when all are full", 6, endpoints)
	checkSame(t, "most on one is within the bound", true, most <= 13)
}

func TestAloneRequestTakesCheapestLoss(t *testing.T) {
	r := testRouter()
	candidates := fleet(6, 8)
	candidates[0].Digest.InFlight = 1
	candidates[5].Digest.State = bbmsg.StateCold
	q := Query{Domain: "domain0", Region: "north", Alone: true}
	checkSame(t, "cold before warm", Choice{Index: 5, Cause: CauseAlone}, r.Choose(&q, candidates))
	candidates[5].InFlight = 1
	checkSame(t, "idle and near", Choice{Index: 3, Cause: CauseAlone}, r.Choose(&q, candidates))
	candidates = candidates[:1]
	checkSame(t, "none idle", Choice{Index: -1, Reason: bbmsg.ReasonColdWait}, r.Choose(&q, candidates))
}

func TestReasons(t *testing.T) {
	candidates := fleet(2, 8)
	candidates[0].Out, candidates[1].Out = true, true
	q := Query{Domain: "domain0", Region: "north"}
	checkSame(t, "all out", Choice{Index: -1, Reason: bbmsg.ReasonDomainOut}, testRouter().Choose(&q, candidates))
	candidates[1].Out, candidates[1].OwnerAlive = false, false
	checkSame(t, "owner lost", Choice{Index: -1, Reason: bbmsg.ReasonOwnerGone}, testRouter().Choose(&q, candidates))
}

func TestExplain(t *testing.T) {
	r := testRouter()
	candidates := fleet(2, 8)
	candidates[0].Owner, candidates[1].Owner = "entry1", "entry2"
	candidates[0].Digest.State = bbmsg.StateLeaving
	choice, lines := r.Explain(&Query{Domain: "domain0", Region: "north"}, candidates)
	checkSame(t, "why", CauseRegion, choice.Cause)
	checkSame(t, "first", "  endpoint0 (domain0, owner entry1): leaving", lines[0].String())
	checkSame(t, "second", "* endpoint1 (domain1, owner entry2): warm, 0 of 8, expected delay 3.0 ms", lines[1].String())
}

func TestChooseDoesNotAllocate(t *testing.T) {
	r := testRouter()
	candidates := fleet(30, 8)
	q := Query{Session: 5, Domain: "domain0", Region: "north"}
	r.Choose(&q, candidates)
	checkSame(t, "allocations", 0.0, testing.AllocsPerRun(100, func() { r.Choose(&q, candidates) }))
}

func checkSame(t interface {
	Helper()
	Fatalf(string, ...any)
}, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, nodes := range []int{7, 50, 330} {
		for _, session := range []uint64{0, 5} {
			b.Run(fmt.Sprintf("nodes=%d/session=%t", nodes, session != 0), func(b *testing.B) {
				r := testRouter()
				candidates := fleet(3*nodes, 8)
				q := Query{Session: session, Domain: "domain0", Region: "north"}
				b.ReportAllocs()
				for b.Loop() {
					r.Choose(&q, candidates)
				}
			})
		}
	}
}
