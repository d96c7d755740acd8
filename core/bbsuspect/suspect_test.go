package bbsuspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// step is a death of content 1 at a time, with the verdict wanted after it.
type step struct {
	at       time.Duration
	endpoint string
	others   int
	want     Verdict
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
	}{
		{"one death proves nothing", []step{{0, "a", 0, Clear}}},
		{"two sole deaths are proof", []step{{0, "a", 0, Clear}, {5 * time.Second, "b", 0, Refused}}},
		{"two shared deaths are suspect", []step{{0, "a", 4, Clear}, {5 * time.Second, "b", 4, Alone}}},
		{"shared deaths alone never prove", []step{
			{0, "a", 4, Clear}, {5 * time.Second, "b", 4, Alone}, {9 * time.Second, "c", 1, Alone}, {12 * time.Second, "d", 1, Alone},
			{15 * time.Second, "e", 1, Alone},
		}},
		{"a sole death after shared ones is proof", []step{
			{0, "a", 4, Clear}, {5 * time.Second, "b", 4, Alone}, {9 * time.Second, "c", 0, Refused},
		}},
		{"the same death told twice counts once", []step{{0, "a", 0, Clear}, {time.Second, "a", 0, Clear}}},
		{"one endpoint may be at fault itself", []step{
			{0, "a", 0, Clear}, {5 * time.Second, "a", 0, Alone}, {10 * time.Second, "a", 0, Refused},
		}},
		{"shared deaths are forgotten soon", []step{{0, "a", 4, Clear}, {sharedKeep, "b", 4, Clear}}},
		{"sole deaths are forgotten later", []step{{0, "a", 0, Clear}, {sharedKeep, "b", 0, Refused}}},
		{"sole deaths are forgotten at last", []step{{0, "a", 0, Clear}, {soleKeep, "b", 0, Clear}}},
		{"after a refusal one sole death is enough", []step{
			{0, "a", 0, Clear}, {5 * time.Second, "b", 0, Refused}, {6*time.Second + refusedKeep, "c", 0, Refused},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New(8)
			for _, s := range c.steps {
				got, _, noted := table.Died(s.at, Death{Fingerprint: 1, Endpoint: s.endpoint, Others: s.others})
				checkSame(t, fmt.Sprint("noted at ", s.at), true, noted)
				checkSame(t, fmt.Sprint("verdict at ", s.at), s.want.String(), got.String())
			}
		})
	}
}

func TestRefusalExpiresToAlone(t *testing.T) {
	table := New(8)
	refuse(table, 0, 1)
	checkSame(t, "before", Refused, table.Verdict(refusedKeep-1, 1))
	checkSame(t, "after", Alone, table.Verdict(refusedKeep, 1))
	table.Succeeded(refusedKeep, 1)
	checkSame(t, "after a success", Clear, table.Verdict(refusedKeep, 1))
}

func TestSucceeded(t *testing.T) {
	table := New(8)
	table.Died(0, Death{Fingerprint: 1, Endpoint: "a", Others: 3})
	table.Died(0, Death{Fingerprint: 1, Endpoint: "b", Others: 3})
	table.Succeeded(0, 1)
	checkSame(t, "innocent content", Clear, table.Verdict(0, 1))
	refuse(table, 0, 2)
	table.Succeeded(0, 2)
	checkSame(t, "refused content", Refused, table.Verdict(0, 2))
}

func TestPeers(t *testing.T) {
	t.Run("deaths at two homes add up", func(t *testing.T) {
		a, b := New(8), New(8)
		a.Died(0, Death{Fingerprint: 1, Endpoint: "a"})
		pass(a, 0, b)
		b.Died(0, Death{Fingerprint: 1, Endpoint: "b"})
		checkSame(t, "at the second", Refused, b.Verdict(0, 1))
		pass(b, 0, a)
		checkSame(t, "at the first", Refused, a.Verdict(0, 1))
		checkSame(t, "deaths", 2, a.rows[1].Deaths)
	})
	t.Run("news told again changes nothing and is not passed on", func(t *testing.T) {
		a, b := New(8), New(8)
		a.Died(0, Death{Fingerprint: 1, Endpoint: "a"})
		news := a.Outbox()
		b.Merge(0, news[0])
		b.Merge(time.Second, news[0])
		checkSame(t, "deaths", 1, b.rows[1].Deaths)
		checkSame(t, "outbox", 0, len(b.Outbox()))
	})
	t.Run("a peer can't make content stay for ever", func(t *testing.T) {
		table := New(8)
		refuse(table, 0, 1)
		news := table.Outbox()[1]
		news.KeepMillis = 1 << 50
		table.Merge(0, news)
		checkSame(t, "verdict", Clear, table.Verdict(refusedKeep+soleKeep, 1))
	})
	t.Run("the outbox is bounded and keeps what is suspect", func(t *testing.T) {
		table := New(2 * maxOutbox)
		refuse(table, 0, 1)
		for i := range uint64(2 * maxOutbox) {
			table.Died(0, Death{Fingerprint: 100 + i, Endpoint: "e", Others: 9})
		}
		refuse(table, 0, 2)
		news := table.Outbox()
		checkSame(t, "length", maxOutbox, len(news))
		checkSame(t, "last", uint64(2), news[maxOutbox-1].Fingerprint)
		checkSame(t, "first", uint64(1), news[0].Fingerprint)
	})
}

func TestFull(t *testing.T) {
	table := New(2)
	refuse(table, 0, 1)
	table.Died(0, Death{Fingerprint: 2, Endpoint: "a", Others: 9})
	refuse(table, 0, 3)
	checkSame(t, "the weaker row gave way", Clear, table.Verdict(0, 2))
	checkSame(t, "the refused stay", Refused, table.Verdict(0, 1))
	_, _, noted := table.Died(0, Death{Fingerprint: 4, Endpoint: "a"})
	checkSame(t, "noted among refused ones only", false, noted)
	checkSame(t, "length", 2, table.Len())
}

// TestContainment runs a killer among innocent contents on shared endpoints: whoever
// was on an endpoint that died runs again, as its verdict says.
func TestContainment(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		table := New(64)
		const contents, killer = 24, 0
		open := make([]bool, contents)
		for i := range open {
			open[i] = true
		}
		deaths := 0
		for round := range 40 {
			now := time.Duration(round) * 3 * time.Second
			placed := map[int][]uint64{}
			idle := 6
			for i := range uint64(contents) {
				switch verdict := table.Verdict(now, i); {
				case !open[i]:
				case verdict == Refused:
					checkSame(t, "refused", uint64(killer), i)
					open[i] = false
				case verdict == Alone:
					placed[idle] = []uint64{i}
					idle++
				default:
					e := random.IntN(6)
					placed[e] = append(placed[e], i)
				}
			}
			for e := range idle {
				deaths += run(table, now, fmt.Sprint("endpoint", e), placed[e], killer, open)
			}
		}
		checkSame(t, "all settled", make([]bool, contents), open)
		if deaths > 3 {
			t.Errorf("seed %d: %d endpoints died of one content", seed, deaths)
		}
	}
}

// run lets an endpoint run contents, and returns 1 if it died.
func run(table *Table, now time.Duration, endpoint string, contents []uint64, killer uint64, open []bool) int {
	died := 0
	for _, i := range contents {
		if i == killer {
			died = 1
		}
	}
	for _, i := range contents {
		if died == 1 {
			table.Died(now, Death{Fingerprint: i, Endpoint: endpoint, Others: len(contents) - 1})
			continue
		}
		table.Succeeded(now, i)
		open[i] = false
	}
	return died
}

// refuse makes content refused by two sole deaths.
func refuse(table *Table, now time.Duration, fingerprint uint64) {
	for _, endpoint := range []string{"x", "y"} {
		table.Died(now, Death{Fingerprint: fingerprint, Endpoint: endpoint})
	}
}

func pass(from *Table, now time.Duration, to *Table) {
	for _, news := range from.Outbox() {
		to.Merge(now, news)
	}
}

func checkSame(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", what, diff)
	}
}

func BenchmarkVerdict(b *testing.B) {
	table := New(1024)
	for i := range uint64(1024) {
		refuse(table, 0, i)
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		table.Verdict(0, i%2048)
		i++
	}
}
