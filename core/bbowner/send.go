package bbowner

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// sendWithin bounds the time between the last look at the confirmation and the send.
const sendWithin = 50 * time.Millisecond

// never is later than any time of the process.
const never = time.Duration(1<<63 - 1)

// Tick sends what the windows allow and looks after calls and queues. confirmed is
// this node's answer, looked at right now, to whether it may use cold endpoints.
func (t *Table) Tick(now time.Duration, confirmed bool) {
	changed := confirmed != t.confirmed
	t.confirmed = confirmed
	for _, e := range t.busy {
		if !e.dirty && !changed && now < e.due {
			continue
		}
		t.tend(now, e)
	}
}

// NextWake returns when the next Tick is due without any input.
func (t *Table) NextWake(now time.Duration) time.Duration {
	wake := never
	for _, e := range t.busy {
		if e.dirty {
			return now
		}
		wake = min(wake, e.due)
	}
	return max(wake, now)
}

func (t *Table) tend(now time.Duration, e *Endpoint) {
	e.dirty = false
	t.expire(now, e)
	t.watch(now, e)
	t.settleBroken(now, e, false)
	t.pump(now, e)
	t.poll(now, e)
	e.due = t.nextDue(now, e)
}

// expire refuses what can't end in time any more, and at once what a cold endpoint
// may not get.
func (t *Table) expire(now time.Duration, e *Endpoint) {
	for _, item := range e.queue.Expire(now) {
		t.refuse(now, t.calls[item.Key], bbmsg.ReasonDeadline, 0)
	}
	for len(e.Alone) > 0 && e.Alone[0].Deadline <= now {
		w := e.Alone[0]
		e.Alone = e.Alone[1:]
		t.refuse(now, w, bbmsg.ReasonDeadline, 0)
	}
	if e.waiting() == 0 || t.limit(now, e) > 0 {
		return
	}
	switch {
	case now < e.RetryAt:
		t.refuseQueued(now, e, bbmsg.ReasonEndpointFailed)
	case e.cold():
		reason, _ := t.whyCold(now, e)
		t.refuseQueued(now, e, reason)
	}
}

// cold returns true for endpoints that carry only their cold slots.
func (e *Endpoint) cold() bool {
	return e.State == bbmsg.StateCold || e.State == bbmsg.StateUnknown
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
	if !e.usable() || now < e.RetryAt {
		return 0
	}
	if e.cold() {
		return t.coldLimit(now, e)
	}
	window := e.Window
	if now < e.SettledAt {
		window = min(window, max(e.Rule.ColdSlots, e.Rule.WarmSlots/2))
	}
	if now < e.CarryUntil {
		window = max(window-e.Foreign, 0)
	}
	return window
}

// coldLimit returns the window of a cold endpoint. Until the calls of a former owner
// have ended, they count, and one slot stays free for a call that the former owner
// had in its hands when it was paused, if there is more than one slot.
func (t *Table) coldLimit(now time.Duration, e *Endpoint) int {
	if now < e.SettledAt || !t.mayUseCold(now, e) {
		return 0
	}
	slots := e.Rule.ColdSlots
	if now < e.CarryUntil {
		if !e.Known {
			return 0
		}
		slots = max(slots-1, 1) - e.Foreign
	}
	if e.Probing {
		slots = min(slots, 1)
	}
	return max(slots, 0)
}

// pump sends queued attempts while the window has room, and at most one to a cold
// endpoint.
func (t *Table) pump(now time.Duration, e *Endpoint) {
	for len(e.Running) < t.limit(now, e) && !e.runsAlone() {
		w := t.next(now, e)
		if w == nil {
			return
		}
		t.send(now, e, w)
		if e.cold() {
			e.dirty = e.waiting() > 0
			return
		}
	}
}

// runsAlone returns true while an attempt that must be alone is on the endpoint.
func (e *Endpoint) runsAlone() bool {
	return len(e.Running) > 0 && e.Running[0].Dispatch.Alone
}

// next takes the next attempt from the queues. One that must run alone holds the
// others back until the endpoint is empty.
func (t *Table) next(now time.Duration, e *Endpoint) *Work {
	if len(e.Alone) > 0 && now >= e.aloneUntil {
		if len(e.Running) > 0 {
			return nil
		}
		w := e.Alone[0]
		e.Alone = e.Alone[1:]
		return w
	}
	item, ok := e.queue.Pop(now)
	if !ok {
		return nil
	}
	return t.calls[item.Key]
}

func (t *Table) send(now time.Duration, e *Endpoint, w *Work) {
	w.State = WorkRunning
	w.Sent = now
	w.Progress = now
	e.Running = append(e.Running, w)
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
		SilenceMillis:    int64(t.silence(e, w) / time.Millisecond),
		SendWithinMillis: int64(sendWithin / time.Millisecond),
	}})
}

// silence returns how long a call may go without progress.
func (t *Table) silence(e *Endpoint, w *Work) time.Duration {
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
	if deadline, ok := e.queue.NextDeadline(); ok {
		soon(max(deadline, now) + 1)
	}
	if e.waiting() > 0 {
		soon(e.SettledAt)
		soon(e.CarryUntil)
		soon(e.RetryAt)
		soon(e.aloneUntil)
	}
	for _, w := range e.Alone {
		soon(w.Deadline)
	}
	for _, w := range e.Broken {
		soon(w.Progress + t.settings.BreakGrace)
	}
	for _, w := range e.Running {
		soon(t.nextLook(e, w))
	}
	return due
}

// nextLook returns when a call must be looked at without any news of it.
func (t *Table) nextLook(e *Endpoint, w *Work) time.Duration {
	if w.State == WorkStopped {
		return w.Linger
	}
	look := min(w.Deadline, w.Progress+t.silence(e, w))
	if !w.Started && e.judgesSlowness() {
		look = min(look, max(w.Sent+e.slow(), w.Progress+1))
	}
	return look
}
