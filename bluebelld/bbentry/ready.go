package bbentry

import (
	"context"
	"time"
)

// startWait is how long after its start a VM holds requests that it can't serve yet: about three times as long as VMs
// take that all start at once. A VM that is alone or can't reach the store refuses requests from then on.
const startWait = 2 * time.Second

// awaitReady returns when this VM becomes ready, startWait after its start, or when the context ends.
func (e *Entry) awaitReady(ctx context.Context) {
	for {
		changed := e.Knowledge.Changed()
		ready, _, _ := e.Knowledge.Ready()
		left := startWait - e.now()
		if ready || left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}
