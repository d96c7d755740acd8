package bbhome

import (
	"testing"
	"time"

	"bluebellhall/core/bbmsg"
)

// TestEmptyAnswerStays checks that an empty answer is no dropped one.
func TestEmptyAnswerStays(t *testing.T) {
	table := New(Settings{
		Home:           "h",
		Incarnation:    1,
		MaxRecords:     10,
		MaxTombstones:  10,
		MaxAnswerBytes: 10,
		Retention:      time.Minute,
	})
	arrival := Arrival{
		Request:     bbmsg.CallerRequest{ID: "q"},
		Home:        "h",
		Incarnation: 1,
		Expiry:      time.Minute,
	}
	v := table.Admit(0, arrival)
	table.End(v.Record, bbmsg.OutcomeAnswered, bbmsg.ReasonNone)
	table.Tick(time.Second)
	if got := table.Admit(time.Second, arrival).Record.Outcome; got != bbmsg.OutcomeAnswered {
		t.Errorf("a repeat is told %s, want answered", got)
	}
}
