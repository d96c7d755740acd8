package bbscene

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbfeature"
)

// spellDay simulates 20 s of load on stage workers that are 2.5 times as slow in 15 of 100 of the time, for 600 ms
// each. Reported is true if their answers state it.
func spellDay(mode bbfeature.Mode, reported bool) *Scene {
	set := hallGrown()
	set.Features.EndpointSpeed = mode
	set.Spells = Spells{
		Share:    0.15,
		Length:   600 * ms,
		Factor:   2.5,
		Reported: reported,
		Seed:     1,
	}
	s := New(set)
	steady(s, "digest", 1, 72, 0, 20*time.Second, shortChain)
	steady(s, "brief", 0, 72, 20*ms, 20*time.Second, shortChain)
	steady(s, "chat", 2, 72, 40*ms, 20*time.Second, shortChain)
	s.Run(28 * time.Second)
	return s
}

// summarize returns the fraction of late requests and the mean time to the first token.
func summarize(t *testing.T, s *Scene) (late float64, mean time.Duration) {
	t.Helper()
	for id, o := range s.Outcomes {
		if o.First == 0 {
			t.Fatalf("%s was not served", id)
		}
		if !o.OnTime(objective) {
			late++
		}
		mean += o.First - o.Arrived
	}
	n := len(s.Outcomes)
	t.Logf("%.1f%% of %d late, %v on average, %d calls", 100*late/float64(n), n, mean/time.Duration(n), s.Totals.Calls)
	return late / float64(n), mean / time.Duration(n)
}

// Pattern: workers that share their machines. An average over calls knows of a spell only when it is nearly over, so
// that full calls went to slow workers, and pieces waited for those.
func TestReportedSpellsAreAvoided(t *testing.T) {
	unknownLate, unknownMean := summarize(t, spellDay(bbfeature.ModeOff, true))
	late, mean := summarize(t, spellDay(bbfeature.ModeAuto, true))
	if late > 0.6*unknownLate {
		t.Errorf("%.3f of the requests are late, want at most 0.6 of the %.3f without the reports", late, unknownLate)
	}
	if mean > unknownMean-50*ms {
		t.Errorf("the mean time is %v, want at least 50 ms less than the %v without the reports", mean, unknownMean)
	}
}

// Deployments whose workers don't state their speed must be served as before, whatever the settings.
func TestSettingsHaveNoEffectWithoutReports(t *testing.T) {
	off, on := spellDay(bbfeature.ModeOff, false), spellDay(bbfeature.ModeOn, false)
	if diff := cmp.Diff(off.Outcomes, on.Outcomes); diff != "" {
		t.Errorf("outcomes with the settings off and on differ (-off +on):\n%s", diff)
	}
	if diff := cmp.Diff(off.Totals, on.Totals); diff != "" {
		t.Errorf("totals with the settings off and on differ (-off +on):\n%s", diff)
	}
}
