package bbowner

import (
	"time"

	"bluebellhall/core/bbbacklog"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// sendWithin bounds the time between the last look at the confirmation and the send.
const maxSendDelay = 50 * time.Millisecond

// never is later than any time of the process.
const never = time.Duration(1<<63 - 1)

// Tick sends what the windows allow and looks after calls and queues. confirmed is
// this node's answer, looked at right now, to whether it may use cold endpoints.
func (t *Table) Tick(now time.Duration, confirmed bool) {
	changed := confirmed != t.confirmed
	t.confirmed = confirmed
	t.updateNoFormerOwners()
	for _, e := range t.tracked {
		if !e.dirty && !changed && now < e.due {
			continue
		}
		t.updateEndpoint(now, e)
	}
}

// NextWake returns when the next Tick is due without any input.
func (t *Table) NextWake(now time.Duration) time.Duration {
	wake := never
	for _, e := range t.tracked {
		if e.dirty {
			return now
		}
		wake = min(wake, e.due)
	}
	return max(wake, now)
}

func (t *Table) updateEndpoint(now time.Duration, e *Endpoint) {
	e.dirty = false
	t.expire(now, e)
	t.checkCalls(now, e)
	t.resolveBroken(now, e, false)
	t.sendQueued(now, e)
	t.poll(now, e)
	e.due = t.nextDue(now, e)
}

// expire refuses what can't end in time any more, and at once what a cold endpoint
// may not get.
func (t *Table) expire(now time.Duration, e *Endpoint) {
	for _, w := range e.Expire(now) {
		t.refuse(now, w, bbmsg.ReasonDeadline, 0)
	}
	if e.Waiting() == 0 || t.limit(now, e) > 0 {
		return
	}
	switch {
	case t.settings.WarmOnly:
		t.refuseQueued(now, e, bbmsg.ReasonOwnerGone)
	case now < e.RetryAt:
		t.refuseQueued(now, e, bbmsg.ReasonEndpointFailed)
	case e.Cold():
		reason, _ := t.coldRefusalReason(now, e)
		t.refuseQueued(now, e, reason)
	}
}

// mayUseCold returns whether this node may give a cold endpoint work now.
func (t *Table) mayUseCold(now time.Duration, e *Endpoint) bool {
	if !t.confirmed {
		return false
	}
	if t.settings.ConfirmedFor == nil {
		return true
	}
	return t.settings.ConfirmedFor(now, e.Rule.Name, e.Rule.Domain)
}

// limit returns how many requests an endpoint may have in flight now.
func (t *Table) limit(now time.Duration, e *Endpoint) int {
	if !e.usable() {
		return 0
	}
	if t.settings.WarmOnly {
		return t.deputyLimit(now, e)
	}
	return e.Limit(now, e.Cold() && t.mayUseCold(now, e))
}

// deputyLimit is limit at a deputy.
func (t *Table) deputyLimit(now time.Duration, e *Endpoint) int {
	if e.State != bbmsg.StateWarm || now-e.MeasuredAt > t.settings.MaxFreshLag {
		return 0
	}
	if !t.settings.ConfirmedFor(now, e.Rule.Name, e.Rule.Domain) {
		return 0
	}
	return e.Limit(now, false)
}

// pump sends queued attempts while the window has room, and at most one to a cold
// endpoint.
func (t *Table) sendQueued(now time.Duration, e *Endpoint) {
	for len(e.Running) < t.limit(now, e) {
		w := e.Next(now)
		if w == nil {
			return
		}
		t.send(now, e, w)
		if e.Cold() {
			e.dirty = e.Waiting() > 0
			return
		}
	}
}

func (t *Table) send(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	e.Start(now, w)
	d := &w.Dispatch
	t.event(e, bbevent.EndpointCalled, w, string(e.State))
	t.outputs = append(t.outputs, bbmsg.Output{Call: &bbmsg.EndpointCall{
		Call:             w.Number,
		Address:          e.Rule.Address,
		Endpoint:         e.Rule.Name,
		Kind:             string(e.Kind),
		Once:             d.Once,
		Attempt:          d.Attempt,
		Path:             d.Path,
		Model:            d.Model,
		Session:          d.Session,
		Priority:         d.Priority,
		FromOffset:       d.FromOffset,
		Body:             d.Body,
		TimeoutMillis:    int64((w.Deadline - now) / time.Millisecond),
		SilenceMillis:    int64(t.progressTimeout(e, w) / time.Millisecond),
		SendWithinMillis: int64(maxSendDelay / time.Millisecond),
	}})
}

// silence returns how long a call may go without progress.
func (t *Table) progressTimeout(e *Endpoint, w *bbbacklog.Work) time.Duration {
	if e.Kind != bbrule.KindEngine {
		return w.Deadline - w.Sent
	}
	if !w.Started {
		return 2 * t.settings.SilenceTime
	}
	return t.settings.SilenceTime
}

// poll asks for a load report when one is due.
func (t *Table) poll(now time.Duration, e *Endpoint) {
	if !e.Owned || !e.Reports || e.Removed || now < e.nextPoll {
		return
	}
	e.nextPoll = now + t.settings.ReportInterval
	t.outputs = append(t.outputs, bbmsg.Output{Poll: &bbmsg.EndpointPoll{
		Endpoint: e.Rule.Name,
		Address:  e.Rule.Address,
	}})
}

// nextDue returns when an endpoint must be looked at again without any input.
func (t *Table) nextDue(now time.Duration, e *Endpoint) time.Duration {
	due := never
	soon := func(at time.Duration) {
		if at > now {
			due = min(due, at)
		}
	}
	if e.Owned && e.Reports && !e.Removed {
		soon(e.nextPoll)
	}
	if expiry, ok := e.NextExpiry(); ok {
		soon(max(expiry, now) + 1)
	}
	if e.Waiting() > 0 {
		soon(e.SettledAt)
		soon(e.FormerCallsUntil)
		soon(e.RetryAt)
		soon(e.AloneAt)
	}
	for _, w := range e.Broken {
		soon(w.Progress + t.settings.BreakGrace)
	}
	for _, w := range e.Running {
		soon(t.nextCheck(e, w))
	}
	return due
}

// nextLook returns when a call must be looked at without any news of it.
func (t *Table) nextCheck(e *Endpoint, w *bbbacklog.Work) time.Duration {
	if w.State == bbbacklog.Stopped {
		return w.StopExpiry
	}
	look := min(w.Deadline, w.Progress+t.progressTimeout(e, w))
	if !w.Started && e.CanJudgeSlowness() {
		look = min(look, max(w.Sent+e.SlowThreshold(), w.Progress+1))
	}
	return look
}
