package bbflow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// TestRefusalReason checks that a request for which no endpoint can be chosen ends with the
// reason and the retry delay of the choice.
func TestRefusalReason(t *testing.T) {
	type end struct {
		Outcome    bbmsg.Outcome
		Reason     bbmsg.Reason
		RetryAfter int64
	}
	for _, reason := range []bbmsg.Reason{bbmsg.ReasonColdWait, bbmsg.ReasonOwnerGone, bbmsg.ReasonDomainOut} {
		t.Run(string(reason), func(t *testing.T) {
			var got end
			table := New(Settings{MaxAttempts: 4, MaxRefusals: 3, RefusalBackoff: time.Millisecond, MaxRefusalBackoff: time.Millisecond}, Hooks{
				Choose: func(time.Duration, Query) (Choice, bool) {
					return Choice{Reason: reason, RetryAfter: 2 * time.Second}, false
				},
				CanMeetDeadline: func(time.Duration, time.Duration, []Step) bool { return true },
				Emit:            func(bbevent.Event) {},
				End: func(r *bbhome.Record, outcome bbmsg.Outcome, reason bbmsg.Reason) {
					got = end{Outcome: outcome, Reason: reason, RetryAfter: r.RetryAfterMillis}
				},
			})
			table.Start(0, &bbhome.Record{ID: "a"}, []Step{{Service: "ledger"}}, bbrule.Account{}, time.Second, false)
			for now := time.Duration(0); now < 10*time.Millisecond; now += time.Millisecond {
				table.Tick(now)
			}
			want := end{Outcome: bbmsg.OutcomeNotRun, Reason: reason, RetryAfter: 2000}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("end (-want +got):\n%s", diff)
			}
		})
	}
}
