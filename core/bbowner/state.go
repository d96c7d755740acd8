package bbowner

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

const (
	// slowFactor is how many times the usual time a first token may take.
	slowFactor = 5
	// slowMargin is what it may take more than usual in any case.
	slowMargin = 250 * time.Millisecond
	// slowSamples is how many calls must have been seen before slowness is judged.
	slowSamples = 8
	// averageShare is the inverse of the weight of a new sample in an average.
	averageShare = 8
)

// Report takes in a load report. The owner's own count leads; the report tells of a
// cold turn, of the end of a cold start and of calls of a former owner.
func (t *Table) Report(now time.Duration, r bbmsg.LoadReport) {
	e := t.Endpoints[r.Endpoint]
	if e == nil || !e.Owned || r.Boot == e.FormerBoot && r.Boot != 0 {
		return
	}
	e.dirty = true
	e.Model = r.Model
	measured := now - time.Duration(r.LagMillis)*time.Millisecond
	rebooted := e.Boot != 0 && r.Boot != e.Boot
	if rebooted {
		e.FormerBoot = e.Boot
		t.coldTurn(e, measured, true, "new boot")
	}
	e.Boot = r.Boot
	t.countForeign(e, r, measured)
	switch {
	case r.Cold:
		t.coldTurn(e, measured, true, "reports cold")
	case e.State == bbmsg.StateUnknown:
		t.warmAgain(e, now-measured <= t.settings.FreshReport)
	case e.State == bbmsg.StateCold && measured > e.ColdSince:
		t.warmAgain(e, false)
	case e.State == bbmsg.StateWarm && r.Waiting >= e.Rule.WarmSlots:
		t.coldTurn(e, now, false, "requests wait at the endpoint")
	}
}

// countForeign learns from a report what a former owner's calls may be.
func (t *Table) countForeign(e *Endpoint, r bbmsg.LoadReport, measured time.Duration) {
	if measured >= e.CarryUntil {
		return
	}
	own := 0
	for _, w := range e.Running {
		if w.Sent <= measured {
			own++
		}
	}
	e.Foreign = max(r.Running+r.Waiting-own, 0)
	e.Known = measured >= e.SettledAt
}

// warmAgain opens an endpoint that is not cold: wholly, or starting at its cold slots.
func (t *Table) warmAgain(e *Endpoint, whole bool) {
	e.Probing = false
	e.Suspected = false
	if whole {
		e.Window = e.Rule.WarmSlots
		t.setState(e, bbmsg.StateWarm, "")
		return
	}
	e.Window = e.Rule.ColdSlots
	t.setState(e, bbmsg.StateWarming, "")
}

// coldTurn notes a sign, true of the time given, that an endpoint is cold. certain is
// false when it was concluded from slowness alone. A warm endpoint gets one request at
// a time until one that was sent later has come back.
func (t *Table) coldTurn(e *Endpoint, at time.Duration, certain bool, detail string) {
	e.ColdSince = max(e.ColdSince, at)
	e.Completions = 0
	wasWarm := e.State == bbmsg.StateWarm || e.State == bbmsg.StateWarming
	if wasWarm {
		e.Suspected = true
		t.event(e, bbevent.EndpointColdTurn, nil, detail)
	}
	if certain {
		e.Suspected = false
	}
	e.Probing = e.Probing || wasWarm
	t.setState(e, bbmsg.StateCold, detail)
	e.dirty = true
}

func (t *Table) setState(e *Endpoint, state bbmsg.EndpointState, detail string) {
	if e.State == state {
		return
	}
	e.State = state
	e.dirty = true
	if detail != "" {
		detail = ", " + detail
	}
	t.event(e, bbevent.EndpointState, nil, string(state)+detail)
}

// completed counts a completed call. A window grows by one with each.
func (t *Table) completed(now time.Duration, e *Endpoint, w *Work) {
	if w.Sent < e.ColdSince {
		return
	}
	e.Completions++
	switch e.State {
	case bbmsg.StateUnknown:
		t.setState(e, bbmsg.StateCold, "")
		e.Completions = 1
	case bbmsg.StateCold:
		e.Probing = false
		if e.Suspected && now-w.Sent <= e.ServiceTime+slowMargin {
			t.warmAgain(e, false)
		} else if !e.Reports && e.Completions >= t.settings.WarmCompletions {
			t.warmAgain(e, false)
		}
	case bbmsg.StateWarming:
		e.Window++
		if e.Window >= e.Rule.WarmSlots {
			e.Window = e.Rule.WarmSlots
			t.setState(e, bbmsg.StateWarm, "")
		}
	}
}

// judgeFirst looks at the time to the first token of a call.
func (t *Table) judgeFirst(now time.Duration, e *Endpoint, w *Work) {
	first := now - w.Sent
	if e.judgesSlowness() && first > e.slow() {
		t.coldTurn(e, now, false, "first token was late")
		return
	}
	if e.State == bbmsg.StateWarm || e.State == bbmsg.StateWarming {
		e.FirstTime = average(e.FirstTime, first)
		e.Samples++
	}
}

// judgesSlowness returns true when enough calls were seen on a warm endpoint.
func (e *Endpoint) judgesSlowness() bool {
	return e.State == bbmsg.StateWarm && e.Samples >= slowSamples
}

// slow returns the time to the first token from which an endpoint seems cold.
func (e *Endpoint) slow() time.Duration {
	return max(slowFactor*e.FirstTime, e.FirstTime+slowMargin)
}

// average returns a moving average after a new sample.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/averageShare
}
