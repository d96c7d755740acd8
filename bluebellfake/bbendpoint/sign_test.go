package bbendpoint

import (
	"testing"
	"time"
)

// TestColdSignalDelivered checks from when on a request above the cold capacity counts as
// avoidable by the owner: a round trip after the endpoint signaled that it is cold.
func TestColdSignalDelivered(t *testing.T) {
	cases := []struct {
		name       string
		signaledAt time.Time
		want       bool
	}{
		{name: "no signal", want: false},
		{name: "signal not yet delivered", signaledAt: time.Now().Add(time.Hour), want: false},
		{name: "signal delivered", signaledAt: time.Now().Add(-coldSignalRoundTrip), want: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &Endpoint{
				coldSignaledAt: c.signaledAt,
			}
			if got := e.coldSignalDelivered(); got != c.want {
				t.Errorf("coldSignalDelivered is %v, want %v", got, c.want)
			}
		})
	}
}
