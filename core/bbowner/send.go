package bbowner

import (
	"time"

	"bluebellhall/core/bbbacklog"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// maxSendDelay bounds the time between reading the confirmation status and the first byte
// sent to the endpoint.
const maxSendDelay = 50 * time.Millisecond

// never is later than any time that occurs in the process.
const never = time.Duration(1<<63 - 1)

// Tick sends the queued attempts that the windows allow, and expires calls and queued
// attempts. confirmed is whether this node may use cold endpoints, read right before the
// call.
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

// expire refuses queued attempts that can no longer end before their deadline. While the
// endpoint may get no work, it refuses the whole queue at a deputy, during a backoff, and
// when the endpoint is cold.
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

// mayUseCold returns whether this node may send work to a cold endpoint now.
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

// deputyLimit is limit at a deputy, which uses an endpoint only while a recent report shows
// that it is warm.
func (t *Table) deputyLimit(now time.Duration, e *Endpoint) int {
	if e.State != bbmsg.StateWarm || now-e.MeasuredAt > t.settings.MaxFreshLag {
		return 0
	}
	if !t.settings.ConfirmedFor(now, e.Rule.Name, e.Rule.Domain) {
		return 0
	}
	return e.Limit(now, false)
}

// sendQueued sends queued attempts while the window has free slots, and at most one to a
// cold endpoint.
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

// progressTimeout returns how long a call may go without progress.
func (t *Table) progressTimeout(e *Endpoint, w *bbbacklog.Work) time.Duration {
	if e.Kind != bbrule.KindEngine {
		return w.Deadline - w.Sent
	}
	if !w.Started {
		return 2 * t.settings.SilenceTime
	}
	return t.settings.SilenceTime
}

// poll requests a load report when one is due.
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

// nextDue returns when an endpoint must be updated again if there is no input before.
func (t *Table) nextDue(now time.Duration, e *Endpoint) time.Duration {
	due := never
	dueAt := func(at time.Duration) {
		if at > now {
			due = min(due, at)
		}
	}
	if e.Owned && e.Reports && !e.Removed {
		dueAt(e.nextPoll)
	}
	if expiry, ok := e.NextExpiry(); ok {
		dueAt(max(expiry, now) + 1)
	}
	if e.Waiting() > 0 {
		dueAt(e.SettledAt)
		dueAt(e.FormerCallsUntil)
		dueAt(e.RetryAt)
		dueAt(e.AloneAt)
	}
	for _, w := range e.Broken {
		dueAt(w.Progress + t.settings.BreakGrace)
	}
	for _, w := range e.Running {
		dueAt(t.nextCheck(e, w))
	}
	return due
}

// nextCheck returns when checkCalls must look at a call again if no update of it comes before.
func (t *Table) nextCheck(e *Endpoint, w *bbbacklog.Work) time.Duration {
	if w.State == bbbacklog.Stopped {
		return w.StopExpiry
	}
	check := min(w.Deadline, w.Progress+t.progressTimeout(e, w))
	if !w.Started && e.CanJudgeSlowness() {
		check = min(check, max(w.Sent+e.SlowThreshold(), w.Progress+1))
	}
	return check
}
