package bbendpoint

import (
	"testing"
	"time"
)

// TestWarned checks from when on a request over the cold capacity is the owner's fault.
func TestWarned(t *testing.T) {
	cases := []struct {
		name  string
		shown time.Time
		want  bool
	}{
		{name: "nothing shown", want: false},
		{name: "the sign is on its way", shown: time.Now().Add(time.Hour), want: false},
		{name: "the sign has arrived", shown: time.Now().Add(-coldSignalRoundTrip), want: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &Endpoint{
				coldSignaledAt: c.shown,
			}
			if got := e.coldSignalDelivered(); got != c.want {
				t.Errorf("warned is %v, want %v", got, c.want)
			}
		})
	}
}
