package bbhome

import (
	"testing"
	"time"

	"bluebellhall/core/bbmsg"
)

// TestEmptyAnswerIsNotDropped checks that a stored answer without content isn't treated as one
// that was dropped, which would change its outcome to ran.
func TestEmptyAnswerIsNotDropped(t *testing.T) {
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
		t.Errorf("outcome of a repeat is %s, want answered", got)
	}
}
