package bbsuspect

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
)

// step is a run of content 1 that ends with a crash of its endpoint, with the verdict wanted after
// it. It lasts for half a second unless it began earlier.
type step struct {
	at       time.Duration
	endpoint string
	others   int
	want     Verdict
	ran      time.Duration
}

// run returns the run of a step. Its ID is derived from its endpoint and time.
func (s step) run() Run {
	ran := s.ran
	if ran == 0 {
		ran = 500 * time.Millisecond
	}
	return Run{
		ID:       RunID(s.endpoint, s.at.String()),
		Endpoint: s.endpoint,
		Began:    s.at - ran,
		Ended:    s.at,
		Alone:    s.others == 0,
	}
}

func TestVerdicts(t *testing.T) {
	const sec = time.Second
	cases := []struct {
		name  string
		steps []step
	}{
		{"one crash refuses nothing", []step{{at: 0, endpoint: "a", want: Watched}}},
		{"two isolated crashes are enough for a refusal", []step{{at: 0, endpoint: "a", want: Watched}, {at: 5 * sec, endpoint: "b", want: Refused}}},
		{"two shared crashes lead to isolation", []step{
			{at: 0, endpoint: "a", others: 4, want: Watched}, {at: 5 * sec, endpoint: "b", others: 4, want: Alone},
		}},
		{"three consecutive shared crashes are enough for a refusal", []step{
			{at: 0, endpoint: "a", others: 4, want: Watched}, {at: 5 * sec, endpoint: "b", others: 4, want: Alone},
			{at: 9 * sec, endpoint: "c", others: 1, want: Refused},
		}},
		{"an isolated crash after two shared ones is enough for a refusal", []step{
			{at: 0, endpoint: "a", others: 4, want: Watched}, {at: 5 * sec, endpoint: "b", others: 4, want: Alone},
			{at: 9 * sec, endpoint: "c", others: 0, want: Refused},
		}},
		{"crashes at the same time count once", []step{
			{at: 0, endpoint: "a", others: 4, want: Watched}, {at: 10 * time.Millisecond, endpoint: "b", others: 4, want: Watched},
			{at: 20 * time.Millisecond, endpoint: "c", others: 4, want: Watched}, {at: 30 * time.Millisecond, endpoint: "d", others: 4, want: Watched},
		}},
		{"a long run that overlaps other crashes counts once with them", []step{
			{at: 0, endpoint: "a", others: 4, want: Watched}, {at: sec, endpoint: "b", others: 4, want: Alone},
			{at: 2 * sec, endpoint: "c", others: 4, want: Alone, ran: 10 * sec},
		}},
		{"two isolated crashes of one endpoint may be its own fault", []step{
			{at: 0, endpoint: "a", want: Watched}, {at: 5 * sec, endpoint: "a", want: Alone}, {at: 10 * sec, endpoint: "a", want: Refused},
		}},
		{"crashes of an endpoint that restarts at once all count", []step{
			{at: 0, endpoint: "a", others: 4, want: Watched}, {at: sec, endpoint: "a", others: 4, want: Alone},
			{at: 2 * sec, endpoint: "a", others: 4, want: Refused},
		}},
		{"crashes expire", []step{
			{at: 0, endpoint: "a", others: 4, want: Watched}, {at: suspectTTL, endpoint: "b", others: 4, want: Watched},
		}},
		{"crashes don't expire early", []step{
			{at: 0, endpoint: "a", others: 4, want: Watched}, {at: suspectTTL - 1, endpoint: "b", others: 4, want: Alone},
		}},
		{"after a refusal one more crash refuses again", []step{
			{at: 0, endpoint: "a", want: Watched}, {at: 5 * sec, endpoint: "b", want: Refused}, {at: 6*sec + refusalTTL, endpoint: "c", want: Refused},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New(8)
			for _, s := range c.steps {
				got, noted := table.RecordLoss(s.at, 1, s.run())
				checkSame(t, fmt.Sprint("noted at ", s.at), true, noted)
				checkSame(t, fmt.Sprint("verdict at ", s.at), s.want.String(), got.String())
			}
		})
	}
}

// A run reported twice counts once, however late the second report.
func TestRunReportedTwiceCountsOnce(t *testing.T) {
	table := New(8)
	s := step{endpoint: "a"}
	for _, at := range []time.Duration{0, time.Second, time.Minute} {
		verdict, noted := table.RecordLoss(at, 1, s.run())
		checkSame(t, fmt.Sprint("noted at ", at), at == 0, noted)
		checkSame(t, "verdict", Watched, verdict)
	}
}

// However often content crashes several endpoints at the same time, its row stays small, and the
// counted crashes stay in it.
func TestRowsAreBounded(t *testing.T) {
	table := New(8)
	for i := range 50 {
		at := time.Duration(i) * time.Millisecond
		table.RecordLoss(at, 1, step{at: at, endpoint: "a", others: 1, ran: time.Second}.run())
	}
	checkSame(t, "runs", maxRuns, len(table.rows[1].runs))
	for i, want := range []Verdict{Alone, Refused} {
		at := time.Duration(i+2) * time.Second
		table.RecordLoss(at, 1, step{at: at, endpoint: "b", others: 1}.run())
		checkSame(t, fmt.Sprint("verdict at ", at), want, table.Verdict(at, 1))
	}
	checkSame(t, "runs", maxRuns, len(table.rows[1].runs))
}

func TestRefusalExpiresToIsolation(t *testing.T) {
	table := New(8)
	refuse(table, 0, 1)
	const last = time.Second
	checkSame(t, "before", Refused, table.Verdict(last+refusalTTL-1, 1))
	checkSame(t, "after", Alone, table.Verdict(last+refusalTTL, 1))
	table.RecordSuccess(last+refusalTTL, 1, last+refusalTTL)
	checkSame(t, "after a success", Clear, table.Verdict(last+refusalTTL, 1))
}

func TestSucceeded(t *testing.T) {
	table := New(8)
	table.RecordLoss(0, 1, step{at: 0, endpoint: "a", others: 3}.run())
	table.RecordLoss(time.Second, 1, step{at: time.Second, endpoint: "b", others: 3}.run())
	checkSame(t, "a run that began before the crashes clears nothing", false, table.RecordSuccess(2*time.Second, 1, -time.Second))
	checkSame(t, "suspect content", Alone, table.Verdict(2*time.Second, 1))
	checkSame(t, "a run after a crash clears it", true, table.RecordSuccess(2*time.Second, 1, 500*time.Millisecond))
	checkSame(t, "partly cleared content", Watched, table.Verdict(2*time.Second, 1))
	checkSame(t, "a run after all crashes clears them", true, table.RecordSuccess(2*time.Second, 1, time.Second))
	checkSame(t, "cleared content", Clear, table.Verdict(2*time.Second, 1))
	refuse(table, 0, 2)
	table.RecordSuccess(2*time.Second, 2, -time.Second)
	checkSame(t, "content that was refused after the run had begun", Refused, table.Verdict(2*time.Second, 2))
}

// A successful run doesn't clear the crashes that follow it.
func TestCrashesAfterASuccessCount(t *testing.T) {
	table := New(8)
	table.RecordLoss(0, 1, step{at: 0, endpoint: "a", others: 3}.run())
	table.RecordSuccess(time.Second, 1, 0)
	for i, want := range []Verdict{Watched, Alone, Refused} {
		at := time.Duration(i+2) * time.Second
		table.RecordLoss(at, 1, step{at: at, endpoint: "a", others: 3}.run())
		checkSame(t, fmt.Sprint("verdict at ", at), want, table.Verdict(at, 1))
	}
}

func TestPeers(t *testing.T) {
	t.Run("crashes seen by two processes add up", func(t *testing.T) {
		a, b := New(8), New(8)
		a.RecordLoss(0, 1, step{at: 0, endpoint: "a"}.run())
		checkSame(t, "learned", true, pass(a, 0, b))
		b.RecordLoss(time.Second, 1, step{at: time.Second, endpoint: "b"}.run())
		checkSame(t, "at the second", Refused, b.Verdict(time.Second, 1))
		pass(b, time.Second, a)
		checkSame(t, "at the first", Refused, a.Verdict(time.Second, 1))
		checkSame(t, "crashes", 2, len(a.rows[1].runs))
	})
	t.Run("a repeated report changes nothing", func(t *testing.T) {
		a, b := New(8), New(8)
		a.RecordLoss(0, 1, step{at: 0, endpoint: "a"}.run())
		checkSame(t, "first time", true, pass(a, 0, b))
		checkSame(t, "second time", false, pass(a, time.Second, b))
		checkSame(t, "back", false, pass(b, time.Second, a))
		checkSame(t, "crashes", 1, len(b.rows[1].runs))
	})
	t.Run("a successful run is reported too", func(t *testing.T) {
		a, b := New(8), New(8)
		for i, endpoint := range []string{"a", "b"} {
			at := time.Duration(i) * time.Second
			a.RecordLoss(at, 1, step{at: at, endpoint: endpoint, others: 2}.run())
		}
		pass(a, time.Second, b)
		checkSame(t, "before", Alone, b.Verdict(time.Second, 1))
		a.RecordSuccess(3*time.Second, 1, 2*time.Second)
		checkSame(t, "learned", true, pass(a, 3*time.Second, b))
		checkSame(t, "after", Clear, b.Verdict(3*time.Second, 1))
		checkSame(t, "verdict after successTTL", Clear, b.Verdict(3*time.Second+successTTL, 1))
		checkSame(t, "remaining rows", 0, b.Len())
	})
	t.Run("implausible runs are ignored", func(t *testing.T) {
		table := New(8)
		good := -time.Hour
		table.Merge(0, bbmsg.Suspect{
			Fingerprint: 1,
			Good:        &good,
			Runs: []bbmsg.SuspectRun{
				{ID: 1, BeganAgo: time.Second, EndedAgo: -1},
				{ID: 2, BeganAgo: time.Second, EndedAgo: 2 * time.Second},
				{ID: 3, BeganAgo: 1 << 62, EndedAgo: 0},
				{ID: 4, BeganAgo: -1 << 62, EndedAgo: -1 << 62},
				{ID: 5, BeganAgo: time.Second, Endpoint: strings.Repeat("e", maxName+1)},
			},
		})
		checkSame(t, "rows", 0, table.Len())
	})
}

// The verdict follows from the set of recorded runs: the order and number of merges between
// processes don't matter.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		var runs []Run
		for i := range 1 + random.IntN(maxRuns) {
			at := time.Duration(random.IntN(5000)) * time.Millisecond
			runs = append(runs, step{at: at, endpoint: fmt.Sprint("e", i), others: random.IntN(2), ran: time.Duration(1+random.IntN(2000)) * time.Millisecond}.run())
		}
		good := time.Duration(random.IntN(5000)) * time.Millisecond
		const now = 6 * time.Second
		var want Verdict
		for turn := range 4 {
			tables := []*Table{New(8), New(8), New(8)}
			random.Shuffle(len(runs), func(i, k int) { runs[i], runs[k] = runs[k], runs[i] })
			for i, run := range runs {
				tables[random.IntN(3)].RecordLoss(now, 1, run)
				if i == len(runs)/2 {
					for _, table := range tables {
						table.RecordSuccess(now, 1, good)
					}
				}
				if random.IntN(3) == 0 {
					pass(tables[random.IntN(3)], now, tables[random.IntN(3)])
				}
			}
			for range 2 {
				for i := range tables {
					pass(tables[i], now, tables[(i+1)%3])
				}
			}
			for i, table := range tables {
				if turn == 0 && i == 0 {
					want = table.Verdict(now, 1)
				}
				checkSame(t, fmt.Sprintf("seed %d, order %d, verdict of process %d", seed, turn, i), want, table.Verdict(now, 1))
			}
		}
	}
}

func TestActive(t *testing.T) {
	table := New(8)
	table.RecordLoss(0, 1, step{at: 0, endpoint: "a", others: 3}.run())
	refuse(table, 0, 2)
	for i, endpoint := range []string{"a", "b"} {
		at := time.Duration(i) * time.Second
		table.RecordLoss(at, 3, step{at: at, endpoint: endpoint, others: 3}.run())
	}
	checkSame(t, "contents", []uint64{2, 3}, table.Active(time.Second))
}

func TestFull(t *testing.T) {
	table := New(2)
	refuse(table, 0, 1)
	table.RecordLoss(time.Second, 2, step{at: time.Second, endpoint: "a", others: 9}.run())
	refuse(table, time.Second, 3)
	checkSame(t, "the less strict row was evicted", Clear, table.Verdict(time.Second, 2))
	checkSame(t, "refused rows are kept", Refused, table.Verdict(time.Second, 1))
	_, noted := table.RecordLoss(time.Second, 4, step{at: time.Second, endpoint: "a"}.run())
	checkSame(t, "recorded in a table of refused content", false, noted)
	checkSame(t, "length", 2, table.Len())
}

// TestContainment runs content that crashes its endpoint among other content on shared endpoints.
// Whatever ran on a crashed endpoint runs again, as its verdict says.
func TestContainment(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		table := New(64)
		const contents, crasher = 24, 0
		open := make([]bool, contents)
		for i := range open {
			open[i] = true
		}
		crashes := 0
		for round := range 40 {
			now := time.Duration(round) * 3 * time.Second
			placed := map[int][]uint64{}
			idle := 6
			for i := range uint64(contents) {
				switch verdict := table.Verdict(now, i); {
				case !open[i]:
				case verdict == Refused:
					checkSame(t, "refused", uint64(crasher), i)
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
				crashes += run(table, now, fmt.Sprint("endpoint", e), placed[e], crasher, open)
			}
		}
		checkSame(t, "all settled", make([]bool, contents), open)
		if crashes > 3 {
			t.Errorf("seed %d: one content crashed %d endpoints", seed, crashes)
		}
	}
}

// run runs contents on an endpoint, and returns 1 if it crashed.
func run(table *Table, now time.Duration, endpoint string, contents []uint64, crasher uint64, open []bool) int {
	crashed := 0
	for _, i := range contents {
		if i == crasher {
			crashed = 1
		}
	}
	for _, i := range contents {
		if crashed == 1 {
			table.RecordLoss(now, i, step{at: now, endpoint: endpoint, others: len(contents) - 1}.run())
			continue
		}
		table.RecordSuccess(now, i, now-500*time.Millisecond)
		open[i] = false
	}
	return crashed
}

// refuse records two crashes on otherwise idle endpoints, the second a second after now, so that
// content is refused.
func refuse(table *Table, now time.Duration, fingerprint uint64) {
	for i, endpoint := range []string{"x", "y"} {
		at := now + time.Duration(i)*time.Second
		table.RecordLoss(at, fingerprint, step{at: at, endpoint: endpoint}.run())
	}
}

// pass merges one process's history of content 1 into another's table.
func pass(from *Table, now time.Duration, to *Table) bool {
	learned, _ := to.Merge(now, from.Snapshot(now, 1))
	return learned
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
