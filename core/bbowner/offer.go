package bbowner

import (
	"slices"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbfair"
	"bluebellhall/core/bbmsg"
)

const (
	// behindRetry is when to come back to an owner that has to fetch a newer list.
	behindRetry = 50 * time.Millisecond
	// coldRetry is when to come back to a cold endpoint that may not be used yet.
	coldRetry = 250 * time.Millisecond
	// unitCost is the cost of an attempt in the fair queue.
	unitCost = 1
)

// Offer takes in an attempt from a home. A copy of a known attempt is dropped. The
// attempt is queued, or refused with a Result among the outputs.
func (t *Table) Offer(now time.Duration, d bbmsg.Dispatch, from string) {
	if d.OwnerIncarnation != 0 && d.OwnerIncarnation != t.settings.Incarnation {
		return
	}
	t.ended.expire(now)
	key := attemptKey(d.Attempt)
	if _, known := t.ended.entries[key]; known || t.active[key] != nil {
		return
	}
	w := &Work{
		Key:      key,
		Dispatch: d,
		Queued:   now,
		Deadline: now + time.Duration(d.BudgetMillis)*time.Millisecond,
		Next:     d.FromOffset,
	}
	w.Dispatch.Home = from
	if len(t.ended.entries)+len(t.active) >= t.settings.RememberLimit {
		t.result(now, w, bbmsg.Result{Kind: bbmsg.ResultBroken, Reason: bbmsg.ReasonTableFull})
		t.outputs = append(t.outputs, bbmsg.Output{Event: &bbevent.Event{
			Number: bbevent.TableFull,
			Node:   t.settings.Self,
			Detail: "attempts at the owner",
		}})
		return
	}
	e := t.Endpoints[d.Endpoint]
	if reason, retry := t.whyNot(now, e, w); reason != bbmsg.ReasonNone {
		t.refuse(now, w, reason, retry)
		return
	}
	t.enqueue(now, e, w)
}

// whyNot returns why an attempt is refused before it is queued, or ReasonNone. The
// list revisions are compared first, as in section 7.2 of the design for hotspot
// splits (elastickv PR 945): a sender that is ahead waits until the owner has caught
// up, and one that is behind learns the owner's revision. When both are behind, the
// confirmation protects cold endpoints.
func (t *Table) whyNot(now time.Duration, e *Endpoint, w *Work) (bbmsg.Reason, time.Duration) {
	switch {
	case w.Dispatch.ListRevision > t.revision:
		return bbmsg.ReasonNotReady, behindRetry
	case e == nil:
		return bbmsg.ReasonNoEndpoint, 0
	case !e.Owned:
		return bbmsg.ReasonMoved, 0
	case !e.usable():
		return bbmsg.ReasonNoEndpoint, 0
	case w.Deadline <= now:
		return bbmsg.ReasonDeadline, 0
	case now < e.RetryAt:
		return bbmsg.ReasonEndpointFailed, e.RetryAt - now
	}
	limit := t.limit(now, e)
	if limit == 0 && e.cold() {
		return t.whyCold(now, e)
	}
	if e.cold() && e.waiting() >= queuePerSlot*limit {
		return bbmsg.ReasonColdWait, max(e.wait(limit), coldRetry)
	}
	if wait := e.wait(limit); now+wait+e.ServiceTime > w.Deadline {
		return bbmsg.ReasonOverload, wait
	}
	if w.Dispatch.Alone && len(e.Alone) >= aloneLimit {
		return bbmsg.ReasonOverload, alonePause
	}
	return bbmsg.ReasonNone, 0
}

// whyCold returns why a cold endpoint may not be used and when to come back.
func (t *Table) whyCold(now time.Duration, e *Endpoint) (bbmsg.Reason, time.Duration) {
	if now < e.SettledAt {
		return bbmsg.ReasonColdWait, e.SettledAt - now
	}
	if !t.mayUseCold(now, e) {
		return bbmsg.ReasonUnconfirmed, coldRetry
	}
	return bbmsg.ReasonColdWait, coldRetry
}

func (t *Table) enqueue(now time.Duration, e *Endpoint, w *Work) {
	t.lastCall++
	w.Number = t.lastCall
	e.dirty = true
	if w.Dispatch.Alone {
		e.Alone = append(e.Alone, w)
		t.active[w.Key] = w
		t.calls[w.Number] = w
		return
	}
	evicted, ok := e.queue.Push(now, bbfair.Item{
		Key:      w.Number,
		Account:  w.Dispatch.Account,
		Priority: w.Dispatch.Priority,
		Weight:   w.Dispatch.Weight,
		Cost:     unitCost,
		Deadline: w.Deadline - min(e.ServiceTime, (w.Deadline-now)/2),
	})
	for _, item := range evicted {
		t.refuse(now, t.calls[item.Key], bbmsg.ReasonFairShare, e.wait(t.limit(now, e)))
	}
	if !ok {
		t.event(e, bbevent.QueueFull, w, "")
		t.refuse(now, w, bbmsg.ReasonOverload, e.wait(t.limit(now, e)))
		return
	}
	t.active[w.Key] = w
	t.calls[w.Number] = w
}

// Cancel stops an attempt and tells whether it was never sent. The answer is not to
// be given when ok is false: the attempt went to another process of this name. An
// attempt that is not known is never sent later; when it can't be remembered, or when
// the cancel names no process, NeverSent is false.
func (t *Table) Cancel(now time.Duration, c bbmsg.Cancel) (answer bbmsg.Cancelled, ok bool) {
	answer.Attempt = c.Attempt
	if c.OwnerIncarnation != 0 && c.OwnerIncarnation != t.settings.Incarnation {
		return answer, false
	}
	t.ended.expire(now)
	key := attemptKey(c.Attempt)
	if w := t.active[key]; w != nil {
		answer.NeverSent = w.State == WorkQueued
		t.cancel(now, w)
		return answer, true
	}
	if known, found := t.ended.entries[key]; found {
		answer.NeverSent = known.neverSent
		return answer, true
	}
	if len(t.ended.entries)+len(t.active) < t.settings.RememberLimit {
		answer.NeverSent = c.OwnerIncarnation != 0
		t.ended.add(now, key, answer.NeverSent)
	}
	return answer, true
}

func (t *Table) cancel(now time.Duration, w *Work) {
	e := t.Endpoints[w.Dispatch.Endpoint]
	switch w.State {
	case WorkQueued:
		t.unqueue(e, w)
		t.drop(now, w, true)
	case WorkRunning:
		t.stop(now, e, w)
	case WorkBroken:
		e.Broken = slices.DeleteFunc(e.Broken, func(b *Work) bool { return b == w })
		t.drop(now, w, false)
	}
}

func (t *Table) unqueue(e *Endpoint, w *Work) {
	e.queue.Remove(w.Number)
	e.Alone = slices.DeleteFunc(e.Alone, func(a *Work) bool { return a == w })
}

// drop ends an attempt without a result.
func (t *Table) drop(now time.Duration, w *Work, neverSent bool) {
	delete(t.active, w.Key)
	delete(t.calls, w.Number)
	t.ended.add(now, w.Key, neverSent)
}

// refuse ends an attempt that was not sent.
func (t *Table) refuse(now time.Duration, w *Work, reason bbmsg.Reason, retry time.Duration) {
	t.drop(now, w, true)
	t.result(now, w, bbmsg.Result{
		Kind:             bbmsg.ResultRefused,
		Reason:           reason,
		RetryAfterMillis: int64((retry + time.Millisecond - 1) / time.Millisecond),
		QueueMillis:      int64((now - w.Queued) / time.Millisecond),
	})
}

// refuseQueued refuses all attempts that wait at an endpoint.
func (t *Table) refuseQueued(now time.Duration, e *Endpoint, reason bbmsg.Reason) {
	for _, item := range e.queue.Expire(now) {
		t.refuse(now, t.calls[item.Key], bbmsg.ReasonDeadline, 0)
	}
	for item, ok := e.queue.Pop(now); ok; item, ok = e.queue.Pop(now) {
		t.refuse(now, t.calls[item.Key], reason, 0)
	}
	for _, w := range e.Alone {
		t.refuse(now, w, reason, 0)
	}
	e.Alone = nil
}

// result sends a result to the home of an attempt. The last one has a digest.
func (t *Table) result(now time.Duration, w *Work, r bbmsg.Result) {
	r.Attempt = w.Dispatch.Attempt
	r.ListRevision = t.revision
	if e := t.Endpoints[w.Dispatch.Endpoint]; e != nil && e.Owned && r.Kind != bbmsg.ResultTokens {
		digest := t.digest(now, e)
		r.Digest = &digest
	}
	t.outputs = append(t.outputs, bbmsg.Output{Send: &bbmsg.ToPeer{
		To:       w.Dispatch.Home,
		Envelope: bbmsg.Envelope{Result: &r},
	}})
}
