package bbsuspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The parts of the prompts in the tests.
const (
	first uint64 = iota + 1
	subject
	crashing
	otherFirst
	otherSubject
	secondCrashing
)

// promptRun is a run of a prompt with some parts. Those that fail lose their engine.
type promptRun struct {
	at    time.Duration
	parts []uint64
	fails bool
}

func crash(at time.Duration, parts ...uint64) promptRun {
	return promptRun{at: at, parts: parts, fails: true}
}

func success(at time.Duration, parts ...uint64) promptRun {
	return promptRun{at: at, parts: parts}
}

// recordRuns returns a table of parts that has recorded some runs, and the time after the last one.
func recordRuns(runs []promptRun) (*Table, time.Duration) {
	t := NewParts(100)
	var now time.Duration
	for i, r := range runs {
		now = r.at
		for k, part := range r.parts {
			if !r.fails {
				t.RecordSuccess(now, part, now)
				if t.row(now, part) == nil {
					// A VM that knows a success reports it when it learns of the part.
					t.getOrCreate(now, part).clear(now)
				}
				continue
			}
			t.RecordLoss(now, part, Run{
				ID:       RunID(fmt.Sprint(i), "e"),
				Endpoint: fmt.Sprint("e", i),
				Began:    now - 50*time.Millisecond,
				Ended:    now,
				With:     slices.Delete(slices.Clone(r.parts), k, k+1),
			})
		}
	}
	return t, now + time.Millisecond
}

func TestPromptsAreRefusedForTheirParts(t *testing.T) {
	const sec = time.Second
	sameThree := []promptRun{
		crash(1*sec, first, subject, crashing), crash(2*sec, first, subject, crashing), crash(3*sec, first, subject, crashing),
	}
	differentThree := []promptRun{
		crash(1*sec, first, crashing), crash(2*sec, crashing, subject), crash(3*sec, otherFirst, otherSubject, crashing),
	}
	for name, c := range map[string]struct {
		runs []promptRun
		// refused and allowed are prompts, by their parts.
		refused, allowed [][]uint64
	}{
		"two crashes": {
			runs:    differentThree[:2],
			allowed: [][]uint64{{crashing}, {first, crashing}},
		},
		"three crashes with one part in common": {
			runs:    differentThree,
			refused: [][]uint64{{crashing}, {first, crashing}, {99, crashing, 98}},
			allowed: [][]uint64{{first}, {first, subject}, {otherFirst, otherSubject}, nil},
		},
		"parts that are always together are refused together": {
			runs:    sameThree,
			refused: [][]uint64{{first, subject, crashing}, {crashing, subject, 99, first}},
			allowed: [][]uint64{{first}, {first, subject}, {crashing}, {crashing, subject}},
		},
		"a success with one of them shows the other": {
			runs:    append(slices.Clone(sameThree), success(4*sec, first, subject)),
			refused: [][]uint64{{crashing}, {otherFirst, crashing}},
			allowed: [][]uint64{{first, subject}},
		},
		"a success before the crashes shows it too": {
			runs:    append([]promptRun{success(0, first, subject)}, sameThree...),
			refused: [][]uint64{{crashing}},
			allowed: [][]uint64{{first, subject}},
		},
		"a success long before the crashes shows nothing": {
			runs:    append([]promptRun{success(-PartImmunity, first, subject)}, sameThree...),
			allowed: [][]uint64{{crashing}, {first, subject}},
		},
		"a fourth crash without them shows it": {
			runs:    append(slices.Clone(sameThree), crash(4*sec, otherFirst, crashing)),
			refused: [][]uint64{{crashing}},
			allowed: [][]uint64{{first, subject}, {otherFirst}},
		},
		"crashes at the same time count once": {
			runs:    []promptRun{crash(sec, crashing), crash(sec+1, crashing), crash(sec+2, crashing), crash(sec+3, crashing)},
			allowed: [][]uint64{{crashing}},
		},
		"two parts": {
			runs: append(slices.Clone(differentThree),
				crash(4*sec, first, secondCrashing), crash(5*sec, otherFirst, secondCrashing), crash(6*sec, subject, secondCrashing),
				success(7*sec, first)),
			refused: [][]uint64{{crashing}, {secondCrashing}, {first, secondCrashing}},
			allowed: [][]uint64{{first}, {otherFirst}, {subject}},
		},
		"a part that succeeds isn't refused, however often engines crash": {
			runs: []promptRun{
				success(0, first), crash(1*sec, first), crash(2*sec, first), crash(3*sec, first), crash(4*sec, first), crash(5*sec, first),
			},
			allowed: [][]uint64{{first}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := recordRuns(c.runs)
			wantPrompts(t, table, now, true, c.refused)
			wantPrompts(t, table, now, false, c.allowed)
		})
	}
}

// wantPrompts checks whether prompts with the given parts are refused.
func wantPrompts(t *testing.T, table *Table, now time.Duration, want bool, prompts [][]uint64) {
	t.Helper()
	for _, parts := range prompts {
		if got := table.RefusesPrompt(now, parts, func(uint64) bool { return false }); got != want {
			t.Errorf("prompt with parts %v is refused: %t, want %t", parts, got, want)
		}
	}
}

// A VM that knows a success of its own with a part doesn't need another VM to tell.
func TestOwnSuccessOfAnotherPartCounts(t *testing.T) {
	table, now := recordRuns([]promptRun{crash(1*time.Second, first, crashing), crash(2*time.Second, first, crashing), crash(3*time.Second, first, crashing)})
	if !table.RefusesPrompt(now, []uint64{crashing}, func(part uint64) bool { return part == first }) {
		t.Error("prompt is allowed, though only its part can be the cause")
	}
}

// Whichever VM learns of runs in which order, it refuses the same prompts.
func TestMergedPartsGiveTheSameVerdicts(t *testing.T) {
	source, now := recordRuns([]promptRun{
		crash(1*time.Second, first, crashing), crash(2*time.Second, subject, crashing), crash(3*time.Second, first, subject, crashing),
		crash(4*time.Second, first), success(5*time.Second, first),
	})
	prompts := [][]uint64{{first}, {subject}, {crashing}, {first, crashing}, {subject, crashing}}
	verdicts := func(t *Table) []bool {
		var list []bool
		for _, parts := range prompts {
			list = append(list, t.RefusesPrompt(now, parts, func(uint64) bool { return false }))
		}
		return list
	}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		target := NewParts(100)
		parts := []uint64{first, subject, crashing, first, subject, crashing}
		random.Shuffle(len(parts), func(i, k int) { parts[i], parts[k] = parts[k], parts[i] })
		for _, part := range parts {
			target.Merge(now, source.Snapshot(now, part))
		}
		if diff := cmp.Diff(verdicts(source), verdicts(target)); diff != "" {
			t.Errorf("seed %d: prompts %v refused (-want +got):\n%s", seed, prompts, diff)
		}
	}
}

// Reports with more parts than a prompt is tracked with are ignored.
func TestReportsWithTooManyPartsAreIgnored(t *testing.T) {
	source, now := recordRuns([]promptRun{crash(time.Second, crashing)})
	report := source.Snapshot(now, crashing)
	report.Runs[0].With = make([]uint64, maxWith+1)
	target := NewParts(100)
	if learned, _ := target.Merge(now, report); learned {
		t.Error("the report was recorded")
	}
}

// A caller that crashes engines with many parts of its own doesn't evict a refused part of another.
func TestManyPartsDontEvictRefusedOnes(t *testing.T) {
	table, now := recordRuns([]promptRun{crash(1*time.Second, crashing), crash(2*time.Second, crashing), crash(3*time.Second, crashing)})
	for i := range uint64(1000) {
		now += time.Millisecond
		table.RecordLoss(now, 1000+i, Run{ID: i + 1, Endpoint: "e", Began: now - time.Millisecond, Ended: now})
	}
	wantPrompts(t, table, now, true, [][]uint64{{crashing}})
	if table.Len() > 100 {
		t.Errorf("%d rows, want at most 100", table.Len())
	}
}
