package bbowner

import (
	"time"

	"bluebellhall/core/bbattempt"
	"bluebellhall/core/bbbacklog"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

const (
	// staleListRetry is the retry delay for an owner that has to fetch a newer list first.
	staleListRetry = 50 * time.Millisecond
	// coldRetry is the retry delay for a cold endpoint that may not be used yet.
	coldRetry = 250 * time.Millisecond
)

// Offer accepts an attempt from a home. A duplicate of a known attempt, or one addressed to
// another incarnation of this node, is dropped. Otherwise the attempt is queued, or ended
// at once with a Result among the outputs.
func (t *Table) Offer(now time.Duration, d bbmsg.Dispatch, from string) {
	if d.OwnerIncarnation != 0 && d.OwnerIncarnation != t.settings.Incarnation {
		return
	}
	t.ended.Expire(now)
	key := bbattempt.Key(d.Attempt)
	if _, known := t.ended.Find(key); known || t.active[key] != nil {
		return
	}
	w := &bbbacklog.Work{
		Key:      key,
		Dispatch: d,
		Queued:   now,
		Deadline: now + bbmsg.Millis(d.BudgetMillis),
		Next:     max(d.FromOffset, 0),
	}
	w.Dispatch.Home = from
	if t.ended.Len()+len(t.active) >= t.settings.AttemptLimit {
		t.result(now, w, bbmsg.Result{Kind: bbmsg.ResultBroken, Reason: bbmsg.ReasonTableFull})
		t.outputs = append(t.outputs, bbmsg.Output{Event: &bbevent.Event{
			Number: bbevent.TableFull,
			Node:   t.settings.Self,
			Detail: "attempts at the owner",
		}})
		return
	}
	e := t.Endpoints[d.Endpoint]
	if reason, retry := t.refusalReason(now, e, w); reason != bbmsg.ReasonNone {
		t.refuse(now, w, reason, retry)
		return
	}
	t.enqueue(now, e, w)
}

// refusalReason returns why an attempt is refused before it is queued, or ReasonNone, and
// after which delay to retry.
//
// The attempt carries the home's list revision, like the observed route version in section
// 7.2 of the design for hotspot splits (elastickv PR 945). A home with a higher revision
// shows that this node's list is stale, so that no cold endpoint gets work until this node
// has caught up. A warm endpoint is still used: the owner is a function of the list, so a
// home with the newer list sends only to the right owner. When both lists are stale the
// revision shows nothing, and only the confirmation protects cold endpoints.
func (t *Table) refusalReason(now time.Duration, e *Endpoint, w *bbbacklog.Work) (bbmsg.Reason, time.Duration) {
	switch {
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
	if e.Cold() && w.Dispatch.ListRevision > t.revision {
		return bbmsg.ReasonNotReady, staleListRetry
	}
	limit := t.limit(now, e)
	if limit == 0 && t.settings.WarmOnly {
		return bbmsg.ReasonOwnerGone, coldRetry
	}
	if limit == 0 && e.Cold() {
		return t.coldRefusalReason(now, e)
	}
	if e.Cold() && e.QueueFull(limit) {
		return bbmsg.ReasonColdWait, max(e.expectedWait(limit), coldRetry)
	}
	if wait := e.expectedWaitOf(w, limit); now+wait+e.ServiceTime > w.Deadline {
		return bbmsg.ReasonOverload, wait
	}
	return bbmsg.ReasonNone, 0
}

// coldRefusalReason returns why a cold endpoint may not be used and after which delay to retry.
func (t *Table) coldRefusalReason(now time.Duration, e *Endpoint) (bbmsg.Reason, time.Duration) {
	if now < e.SettledAt {
		return bbmsg.ReasonColdWait, e.SettledAt - now
	}
	if !t.mayUseCold(now, e) {
		return bbmsg.ReasonUnconfirmed, coldRetry
	}
	return bbmsg.ReasonColdWait, coldRetry
}

func (t *Table) enqueue(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	t.lastCall++
	w.Number = t.lastCall
	e.dirty = true
	evicted, ok := e.Push(now, w, w.Deadline-min(e.ServiceTime, (w.Deadline-now)/2))
	for _, v := range evicted {
		t.refuse(now, v, bbmsg.ReasonFairShare, e.expectedWait(t.limit(now, e)))
	}
	if !ok {
		t.event(e, bbevent.QueueFull, w, "")
		t.refuse(now, w, bbmsg.ReasonOverload, max(e.expectedWait(t.limit(now, e)), coldRetry))
		return
	}
	t.active[w.Key] = w
	t.calls[w.Number] = w
}

// Cancel stops an attempt and reports whether it was never sent. When ok is false, no
// answer may be sent, because the cancel is meant for another incarnation of this node.
// An unknown attempt is recorded as ended, so that it is never sent later; NeverSent is
// false when it can't be recorded or when the cancel contains no incarnation.
func (t *Table) Cancel(now time.Duration, c bbmsg.Cancel) (answer bbmsg.Cancelled, ok bool) {
	answer.Attempt = c.Attempt
	if c.OwnerIncarnation != 0 && c.OwnerIncarnation != t.settings.Incarnation {
		return answer, false
	}
	t.ended.Expire(now)
	key := bbattempt.Key(c.Attempt)
	if w := t.active[key]; w != nil {
		answer.NeverSent = w.State == bbbacklog.Queued
		t.cancel(now, w)
		return answer, true
	}
	if neverSent, known := t.ended.Find(key); known {
		answer.NeverSent = neverSent
		return answer, true
	}
	if t.ended.Len()+len(t.active) < t.settings.AttemptLimit {
		answer.NeverSent = c.OwnerIncarnation != 0
		t.ended.Add(now, key, answer.NeverSent)
	}
	return answer, true
}

func (t *Table) cancel(now time.Duration, w *bbbacklog.Work) {
	e := t.Endpoints[w.Dispatch.Endpoint]
	switch w.State {
	case bbbacklog.Queued:
		e.Remove(w)
		t.drop(now, w, true)
	case bbbacklog.Running:
		t.abandon(now, e, w)
	case bbbacklog.Broken:
		e.Finish(now, w)
		t.drop(now, w, false)
	}
}

// drop ends an attempt without sending a result.
func (t *Table) drop(now time.Duration, w *bbbacklog.Work, neverSent bool) {
	delete(t.active, w.Key)
	delete(t.calls, w.Number)
	t.ended.Add(now, w.Key, neverSent)
}

// refuse ends an attempt that was not sent to the endpoint with a refusal.
func (t *Table) refuse(now time.Duration, w *bbbacklog.Work, reason bbmsg.Reason, retry time.Duration) {
	t.drop(now, w, true)
	t.result(now, w, bbmsg.Result{
		Kind:             bbmsg.ResultRefused,
		Reason:           reason,
		RetryAfterMillis: int64((retry + time.Millisecond - 1) / time.Millisecond),
		QueueMillis:      int64((now - w.Queued) / time.Millisecond),
	})
}

// refuseQueued refuses all attempts queued at an endpoint.
func (t *Table) refuseQueued(now time.Duration, e *Endpoint, reason bbmsg.Reason) {
	for _, w := range e.Clear(now) {
		t.refuse(now, w, reason, 0)
	}
}

// result sends a result to the home of an attempt. Results other than tokens carry the
// digest of the endpoint while it is owned.
func (t *Table) result(now time.Duration, w *bbbacklog.Work, r bbmsg.Result) {
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
