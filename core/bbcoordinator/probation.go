package bbcoordinator

import (
	"fmt"
	"time"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbpool"
)

// logProbation logs that the end of a call put its endpoint on probation, or ended that.
func (c *Coordinator) logProbation(now time.Duration, call *bbpool.Call, o bbhealth.Outcome, before, after bbpool.Probation) {
	e := bbdecision.Event{
		Call:     call.ID,
		Endpoint: call.Endpoint,
		Service:  call.Service,
	}
	switch {
	case before.Failures == 0 && after.Failures > 0:
		e.Number = bbevent.ProbationBegan
		e.Detail = fmt.Sprintf("%s outcome=%s", call.Service, o)
		e.Value = after.Until - now
	case before.Failures > 0 && after.Failures == 0:
		e.Number = bbevent.ProbationEnded
		e.Detail = fmt.Sprintf("%s failures=%d", call.Service, before.Failures)
		e.Value = now - before.Since
	default:
		return
	}
	c.log(e)
}
