package bbhome

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bluebellhall/core/bbmsg"
)

// TestMain fixes the seed of rapid; -rapid.seed=0 draws one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	referenceIDs       = 5
	referenceRetention = 10 * time.Second
)

// reference is the home of spec/home.pml with unbounded tables and without expiry.
type reference struct {
	// state is the state of each id.
	state map[string]referenceState
	// refused has the ids for which the outcome notRun was returned.
	refused map[string]bool
}

// referenceState is the state of one id in spec/home.pml.
type referenceState struct {
	started bool
	ended   bool
	outcome bbmsg.Outcome
}

// check compares the decision on an arrival with the rules of the specification.
func (f *reference) check(r *rapid.T, now time.Duration, a Arrival, v Verdict, successor bool) {
	id := a.Request.ID
	s := f.state[id]
	outcome := v.Outcome
	if v.Record != nil {
		outcome = v.Record.Outcome
	}
	switch {
	case v.Created && (s.started || f.refused[id] || now >= a.Expiry || successor):
		r.Fatalf("at %v %s starts, though %+v, refused %v, successor %v", now, id, s, f.refused[id], successor)
	case v.Created:
		f.state[id] = referenceState{started: true}
	case outcome == bbmsg.OutcomeNotRun && s.started && s.outcome != bbmsg.OutcomeNotRun:
		r.Fatalf("at %v the outcome of %s is notRun (%s), though %+v", now, id, v.Reason, s)
	case outcome == bbmsg.OutcomeNotRun:
		f.refused[id] = true
	case s.started && !s.ended && (v.Record == nil || successor):
		r.Fatalf("at %v a repeat of the running %s has the outcome %s", now, id, outcome)
	case s.ended && now < a.Expiry+referenceRetention && !successor && !sameEnd(s.outcome, outcome):
		r.Fatalf("at %v a repeat of %s has the outcome %s, want %s", now, id, outcome, s.outcome)
	}
}

// sameEnd compares outcomes; an answer may have been dropped, which makes answered ran.
func sameEnd(want, got bbmsg.Outcome) bool {
	return want == got || want == bbmsg.OutcomeAnswered && got == bbmsg.OutcomeRan
}

func ticketArrival(number int, incarnation uint64) Arrival {
	return Arrival{
		Request: bbmsg.CallerRequest{
			ID:   fmt.Sprintf("id%d", number),
			Body: []byte("body"),
		},
		Home:        "a",
		Incarnation: incarnation,
		Expiry:      time.Duration(number+1) * 4 * time.Second,
		Once:        true,
	}
}

// TestAgainstReference runs random sequences of arrivals, ends, refusals by later stages, time
// steps and full tables, then a handover whose parts arrive in any order and repeatedly.
// Longer: go test ./bbhome -run AgainstReference -rapid.checks=100000 -rapid.seed=0
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		settings := Settings{
			Home:           "a",
			Incarnation:    1,
			MaxRecords:     rapid.IntRange(1, referenceIDs).Draw(r, "records"),
			MaxTombstones:  rapid.IntRange(0, 2).Draw(r, "tombstones"),
			MaxAnswerBytes: 8,
			Retention:      referenceRetention,
			KeyRetention:   referenceRetention,
		}
		home := New(settings)
		settings.Home, settings.Incarnation = "b", 2
		successor := New(settings)
		f := &reference{
			state:   map[string]referenceState{},
			refused: map[string]bool{},
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			a := ticketArrival(rapid.IntRange(0, referenceIDs-1).Draw(r, "id"), 1)
			switch rapid.IntRange(0, 3).Draw(r, "kind") {
			case 0:
				now += time.Duration(rapid.IntRange(0, 4000).Draw(r, "millis")) * time.Millisecond
				home.Tick(now)
			case 1:
				f.end(r, home, a.Request.ID)
			default:
				f.check(r, now, a, home.Admit(now, a), false)
			}
		}
		f.handOver(r, now, home, successor)
	})
}

// end ends a running record with a random outcome.
func (f *reference) end(r *rapid.T, home *Table, id string) {
	record := home.Records[id]
	if record == nil || record.Ended {
		return
	}
	outcomes := []bbmsg.Outcome{bbmsg.OutcomeAnswered, bbmsg.OutcomeUnknown, bbmsg.OutcomeFailed, bbmsg.OutcomeNotRun}
	outcome := rapid.SampledFrom(outcomes).Draw(r, "outcome")
	record.Body = []byte("answer")
	record.Waiters = nil
	home.End(record, outcome, bbmsg.ReasonNone)
	f.state[id] = referenceState{
		started: true,
		ended:   true,
		outcome: outcome,
	}
}

// handOver ends all running records, lets all tickets expire, hands over and queries the
// successor.
func (f *reference) handOver(r *rapid.T, now time.Duration, home, successor *Table) {
	for i := range referenceIDs {
		f.end(r, home, ticketArrival(i, 1).Request.ID)
	}
	now = max(now, ticketArrival(referenceIDs-1, 1).Expiry)
	home.Tick(now)
	parts := smallParts(home, now)
	for range rapid.IntRange(0, 2*len(parts)).Draw(r, "parts") {
		successor.ReceiveHandover(now, rapid.SampledFrom(parts).Draw(r, "part"))
	}
	for i := range referenceIDs {
		a := ticketArrival(i, 1)
		f.check(r, now, a, successor.Admit(now, a), true)
		other := ticketArrival(i, 7)
		for _, table := range []*Table{home, successor} {
			if v := table.Admit(0, other); v.Outcome != bbmsg.OutcomeUnknown {
				r.Fatalf("%s returns %q for a process whose records nobody took over", table.Settings.Home, v.Outcome)
			}
		}
	}
}

// smallParts returns the handover of a home split into parts of one record each.
func smallParts(home *Table, now time.Duration) []bbmsg.Handover {
	var parts []bbmsg.Handover
	for _, whole := range home.Handover(now) {
		for _, record := range whole.Records {
			part := whole
			part.Records = []bbmsg.Record{record}
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return home.Handover(now)
	}
	for i := range parts {
		parts[i].Part = i
		parts[i].Parts = len(parts)
	}
	return parts
}
