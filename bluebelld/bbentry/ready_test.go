package bbentry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bluebellhall/bluebelld/bbknowledge"
)

// Guards against requests that are held for longer than a start takes, or by a VM that started long ago.
func TestAwaitReadyIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		age, timeout, want time.Duration
	}{
		"just started":           {0, time.Minute, startWait},
		"a second ago":           {time.Second, time.Minute, startWait - time.Second},
		"long ago":               {time.Hour, time.Minute, 0},
		"caller has little time": {0, 300 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now().Add(-c.age)
				e := &Entry{
					clock: func() time.Duration { return time.Since(began) },
				}
				e.Knowledge = bbknowledge.NewKnowledge(e.now)
				ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
				defer cancel()
				called := time.Now()
				e.awaitReady(ctx)
				if got := time.Since(called); got != c.want {
					t.Errorf("held for %v, want %v", got, c.want)
				}
			})
		})
	}
}
