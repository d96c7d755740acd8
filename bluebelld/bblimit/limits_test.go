package bblimit

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bluebellhall/bluebelld/bbknowledge"
	"bluebellhall/bluebelld/bblog"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
)

// Guards against a VM that was frozen while it asked for a permit, and uses what it was permitted before.
func TestLatePermitIsNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		takes time.Duration
		want  bool
	}{
		"soon": {100 * time.Millisecond, true},
		"late": {2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			clock := func() time.Duration { return now }
			knowledge := bbknowledge.NewKnowledge(clock)
			knowledge.ReplaceEndpoints(bbregistry.Snapshot{
				Endpoints: []bbregistry.Endpoint{{ID: "a", Service: "s", Zone: "z"}},
			})
			p, _ := knowledge.MaySend("a")
			knowledge.RecordLimit(p, bbstanding.Limit{
				Named:     true,
				PerSecond: 1,
			})
			limits := New(bbgossip.Member{Name: "self"}, knowledge, bblog.Logger{Lines: zerolog.Nop()}, Hooks{
				Now:         clock,
				Coordinator: func(string) bbgossip.Member { return bbgossip.Member{Name: "other"} },
				Ask: func(context.Context, string, bbpeer.Permit) (bbpeer.Permitted, error) {
					now += c.takes
					return bbpeer.Permitted{
						Granted: true,
					}, nil
				},
			})
			if got := limits.Permit(t.Context(), "a"); got != c.want {
				t.Errorf("permitted: %t, want %t", got, c.want)
			}
		})
	}
}
