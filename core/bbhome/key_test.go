package bbhome

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
)

const (
	testRetention    = time.Minute
	testKeyRetention = 10 * time.Minute
	testKey          = "k1.00112233445566778899aabbccddeeff"
)

func newTable(records int) *Table {
	return New(Settings{
		Home:           "a",
		Incarnation:    1,
		MaxRecords:     records,
		MaxTombstones:  2,
		MaxAnswerBytes: 100,
		Retention:      testRetention,
		KeyRetention:   testKeyRetention,
	})
}

func keyArrival(id string, safe, once bool) Arrival {
	return Arrival{
		Request:     bbmsg.CallerRequest{ID: id, Service: "ledger", Path: "v1/confirmations"},
		Home:        "a",
		Incarnation: 1,
		Key:         true,
		KeySafe:     safe,
		Once:        once,
	}
}

// decision is what an arrival leads to.
type decision struct {
	Created bool
	Outcome bbmsg.Outcome
	Reason  bbmsg.Reason
}

// want admits an arrival at a time and checks the decision. A newly created record is ended as
// answered at once.
func want(t *testing.T, table *Table, now time.Duration, a Arrival, want decision) {
	t.Helper()
	table.Tick(now)
	v := table.Admit(now, a)
	got := decision{Created: v.Created, Outcome: v.Outcome, Reason: v.Reason}
	if v.Record != nil {
		got.Outcome, got.Reason = v.Record.Outcome, v.Record.Reason
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("at %v (-want +got):\n%s", now, diff)
	}
	if v.Created {
		v.Record.Body = []byte("done")
		table.End(v.Record, bbmsg.OutcomeAnswered, bbmsg.ReasonNone)
		v.Record.Waiters = nil
	}
}

var (
	created  = decision{Created: true, Outcome: bbmsg.OutcomePending}
	answered = decision{Outcome: bbmsg.OutcomeAnswered}
	ran      = decision{Outcome: bbmsg.OutcomeRan, Reason: bbmsg.ReasonRetention}
	unknown  = decision{Outcome: bbmsg.OutcomeUnknown, Reason: bbmsg.ReasonKeyTakenOver}
)

func TestKeyRepeats(t *testing.T) {
	once := keyArrival(testKey, true, true)
	t.Run("run once, the answer is dropped before the record", func(t *testing.T) {
		table := newTable(10)
		want(t, table, time.Hour, once, created)
		want(t, table, time.Hour+35*time.Second, once, answered)
		want(t, table, time.Hour+2*time.Minute, once, ran)
		want(t, table, time.Hour+9*time.Minute, once, ran)
	})
	t.Run("each repeat extends the retention", func(t *testing.T) {
		table := newTable(10)
		want(t, table, 0, once, created)
		for i := range 5 {
			want(t, table, time.Duration(i+1)*9*time.Minute, once, ran)
		}
		want(t, table, 55*time.Minute+1, once, created)
		table.Tick(3 * time.Hour)
		if diff := cmp.Diff([]int{0, 0, 0, 0}, []int{len(table.Records), table.keys, table.ended, table.answerBytes}); diff != "" {
			t.Errorf("remaining records, keys, ended records, answer bytes (-want +got):\n%s", diff)
		}
	})
	t.Run("idempotent calls are kept for a shorter time and never refused", func(t *testing.T) {
		table := newTable(10)
		again := keyArrival(testKey, false, false)
		want(t, table, 0, again, created)
		want(t, table, 35*time.Second, again, answered)
		want(t, table, testRetention, again, created)
	})
}

func TestKeyTakenOver(t *testing.T) {
	unsafe, safe := keyArrival(testKey, false, true), keyArrival(testKey, true, true)
	t.Run("a refused key stays refused while it is repeated", func(t *testing.T) {
		table := newTable(10)
		want(t, table, 0, unsafe, unknown)
		want(t, table, 9*time.Minute, safe, unknown)
		want(t, table, 18*time.Minute, safe, unknown)
		want(t, table, 28*time.Minute, safe, created)
	})
	t.Run("no new key while a refused one could not be recorded", func(t *testing.T) {
		table := newTable(10)
		for _, id := range []string{"k1.1", "k1.2", testKey} {
			want(t, table, 0, keyArrival(id, false, true), unknown)
		}
		want(t, table, 9*time.Minute, safe, unknown)
		want(t, table, 19*time.Minute, safe, created)
	})
	t.Run("invalid request without a safe key is unknown, not notRun", func(t *testing.T) {
		invalid := keyArrival(testKey, false, false)
		invalid.Invalid = bbmsg.ReasonUnknownCall
		want(t, newTable(10), 0, invalid, decision{Outcome: bbmsg.OutcomeUnknown, Reason: bbmsg.ReasonUnknownCall})
	})
	t.Run("record was handed over", func(t *testing.T) {
		leaving, successor := newTable(10), newTable(10)
		want(t, leaving, 0, safe, created)
		parts := leaving.Handover(time.Minute)
		parts[0].Home = "b"
		successor.ReceiveHandover(0, parts[0])
		want(t, successor, 8*time.Minute, unsafe, answered)
		want(t, successor, 17*time.Minute, unsafe, answered)
		want(t, successor, 28*time.Minute, unsafe, unknown)
	})
	t.Run("keys use at most half of the table", func(t *testing.T) {
		table := newTable(2)
		want(t, table, 0, safe, created)
		full := decision{Outcome: bbmsg.OutcomeNotRun, Reason: bbmsg.ReasonTableFull}
		want(t, table, 0, keyArrival("k1.1", true, true), full)
		want(t, table, 0, keyArrival("k1.2", true, false), created)
	})
}
