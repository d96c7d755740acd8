package bbowner

import (
	"net/http"
	"slices"
	"time"

	"bluebellhall/core/bbbacklog"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// HandleCallUpdate applies an update of a call to an endpoint. An update of an unknown
// call, or of one whose connection has already broken, is dropped. Updates of a stopped
// call only free its slot.
func (t *Table) HandleCallUpdate(now time.Duration, u bbmsg.CallUpdate) {
	w := t.calls[u.Call]
	if w == nil || w.State == bbbacklog.Queued || w.State == bbbacklog.Broken {
		return
	}
	e := t.Endpoints[w.Dispatch.Endpoint]
	e.dirty = true
	if w.State == bbbacklog.Stopped {
		if endsCall(u.Kind) || (u.Kind == bbmsg.UpdateBroken && !e.Cold()) {
			t.release(now, e, w)
		}
		return
	}
	switch u.Kind {
	case bbmsg.UpdateTokens:
		t.handleTokens(now, e, w, u)
	case bbmsg.UpdateDone:
		t.handleDone(now, e, w, u)
	case bbmsg.UpdateFailed:
		t.handleFailed(now, e, w, u)
	case bbmsg.UpdateRejected:
		t.handleRejected(now, e, w, u)
	case bbmsg.UpdateUnsent:
		t.handleUnsent(now, e, w)
	case bbmsg.UpdateBroken:
		t.handleBroken(now, e, w)
	}
}

// endsCall returns whether an update shows that the endpoint no longer works on the call.
// A broken connection, closed by this VM or not, doesn't show it.
func endsCall(k bbmsg.CallUpdateKind) bool {
	return k != bbmsg.UpdateTokens && k != bbmsg.UpdateBroken
}

// handleTokens passes tokens on in order and without duplicates. A gap stops the call and
// reports it as broken; the result is then false.
func (t *Table) handleTokens(now time.Duration, e *Endpoint, w *bbbacklog.Work, u bbmsg.CallUpdate) bool {
	if u.Offset > w.Next {
		t.stop(now, e, w)
		t.reportBroken(now, e, w, bbmsg.ReasonEndpointFailed, "gap in the tokens")
		return false
	}
	t.recordProgress(now, e, w)
	seen := w.Next - u.Offset
	if seen >= len(u.Tokens) {
		return true
	}
	fresh := u.Tokens[seen:]
	t.result(now, w, bbmsg.Result{
		Kind:   bbmsg.ResultTokens,
		Offset: w.Next,
		Tokens: fresh,
	})
	w.Next += len(fresh)
	return true
}

// recordProgress records that the endpoint has answered for a call. When this call was sent
// before another one broke, the endpoint has survived the break, and the results of the
// broken calls are given.
func (t *Table) recordProgress(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	w.Progress = now
	e.Failures = 0
	if !w.Started {
		w.Started = true
		e.RecordFirstToken(now, w.Sent)
	}
	for _, b := range e.Broken {
		if w.Sent <= b.Progress {
			t.resolveBroken(now, e, true)
			return
		}
	}
}

func (t *Table) handleDone(now time.Duration, e *Endpoint, w *bbbacklog.Work, u bbmsg.CallUpdate) {
	if len(u.Tokens) > 0 && !t.handleTokens(now, e, w, u) {
		return
	}
	t.recordProgress(now, e, w)
	t.release(now, e, w)
	e.RecordCompletion(now, w.Sent, t.windows)
	t.event(e, bbevent.EndpointReplied, w, "")
	t.result(now, w, bbmsg.Result{
		Kind:          bbmsg.ResultDone,
		Offset:        w.Next,
		Body:          u.Body,
		ServiceMillis: int64((now - w.Sent) / time.Millisecond),
		QueueMillis:   int64((w.Sent - w.Queued) / time.Millisecond),
	})
}

func (t *Table) handleFailed(now time.Duration, e *Endpoint, w *bbbacklog.Work, u bbmsg.CallUpdate) {
	t.recordProgress(now, e, w)
	t.release(now, e, w)
	t.event(e, bbevent.EndpointFailed, w, http.StatusText(u.Status))
	t.result(now, w, bbmsg.Result{
		Kind:   bbmsg.ResultFailed,
		Reason: bbmsg.ReasonEndpointFailed,
		Status: u.Status,
		Body:   u.Body,
		Offset: w.Next,
	})
}

// handleRejected ends a call that the endpoint rejected without running it.
func (t *Table) handleRejected(now time.Duration, e *Endpoint, w *bbbacklog.Work, u bbmsg.CallUpdate) {
	t.release(now, e, w)
	reason, retry := bbmsg.ReasonOverload, max(e.ServiceTime, coldRetry)
	switch {
	case u.Cold:
		e.RejectedCold(now, coldRetry)
		reason = bbmsg.ReasonColdWait
	case u.Status == http.StatusNotFound:
		reason, retry = bbmsg.ReasonNoEndpoint, 0
	default:
		e.RejectedFull(len(e.Running))
	}
	t.event(e, bbevent.EndpointFailed, w, "rejected")
	t.result(now, w, bbmsg.Result{
		Kind:             bbmsg.ResultRefused,
		Reason:           reason,
		Status:           u.Status,
		RetryAfterMillis: int64(retry / time.Millisecond),
	})
}

// handleUnsent ends a call for which no connection could be made and no byte was sent.
func (t *Table) handleUnsent(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	t.release(now, e, w)
	backoff := e.Unreachable(now)
	t.resolveBroken(now, e, true)
	t.event(e, bbevent.EndpointFailed, w, "unreachable")
	t.result(now, w, bbmsg.Result{
		Kind:             bbmsg.ResultRefused,
		Reason:           bbmsg.ReasonEndpointFailed,
		RetryAfterMillis: int64(backoff / time.Millisecond),
	})
}

// handleBroken records a call whose connection broke. Its result is held back until it
// is known whether the endpoint died, which shows in all its calls breaking or in a new
// call that can't connect.
func (t *Table) handleBroken(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	e.Break(now, w)
	e.MarkCold(now, e.Live() == 0, "connection broke")
	if e.Live() == 0 {
		t.resolveBroken(now, e, true)
	}
}

// resolveBroken gives the results of the broken calls once BreakGrace has passed since the
// first one broke, or at once when known says that the state of the endpoint is decided.
func (t *Table) resolveBroken(now time.Duration, e *Endpoint, known bool) {
	if len(e.Broken) == 0 || !known && now < e.Broken[0].Progress+t.settings.BreakGrace {
		return
	}
	others := 0
	for _, w := range e.Broken {
		others = max(others, w.ConcurrentCalls)
	}
	died := e.Live() == 0 || e.Failures > 0
	for _, w := range e.Broken {
		t.drop(now, w, false)
		t.event(e, bbevent.EndpointFailed, w, "connection broke")
		t.result(now, w, bbmsg.Result{
			Kind:         bbmsg.ResultBroken,
			Reason:       bbmsg.ReasonEndpointFailed,
			EndpointDied: died,
			Others:       others,
			Offset:       w.Next,
		})
	}
	e.Broken = nil
	e.dirty = true
}

// stop cancels a running call at the endpoint. The call still counts as in flight until an
// update reports its end or its stop expires (see markStopped).
func (t *Table) stop(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	t.markStopped(now, e, w)
	t.outputs = append(t.outputs, bbmsg.Output{Stop: &bbmsg.EndpointStop{Call: w.Number}})
}

// abandon ends a running call whose result is no longer wanted. On a cold endpoint the call
// is left to finish: nothing would show when the endpoint has noticed a closed connection,
// so the slot could not be freed earlier.
func (t *Table) abandon(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	if e.Cold() {
		t.markStopped(now, e, w)
		return
	}
	t.stop(now, e, w)
}

// markStopped ends the attempt but keeps its call counted as in flight for up to
// stopTimeout, and on a cold endpoint until the call's deadline, because it could run on
// there behind a connection that shows nothing.
func (t *Table) markStopped(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	delete(t.active, w.Key)
	t.ended.Add(now, w.Key, false)
	w.State = bbbacklog.Stopped
	w.StopExpiry = now + stopTimeout
	if e.Cold() {
		w.StopExpiry = max(w.StopExpiry, w.Deadline)
	}
	e.dirty = true
}

// reportBroken sends the result of a call that this node stopped.
func (t *Table) reportBroken(now time.Duration, e *Endpoint, w *bbbacklog.Work, reason bbmsg.Reason, detail string) {
	t.event(e, bbevent.EndpointFailed, w, detail)
	t.result(now, w, bbmsg.Result{
		Kind:   bbmsg.ResultBroken,
		Reason: reason,
		Offset: w.Next,
	})
}

// release removes a call from the endpoint and frees its slot.
func (t *Table) release(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	e.Finish(now, w)
	t.drop(now, w, false)
}

// checkCalls stops calls that made no progress or passed their deadline, releases stopped
// calls whose stop has expired, and marks the endpoint cold when a first token is late.
func (t *Table) checkCalls(now time.Duration, e *Endpoint) {
	for _, w := range slices.Clone(e.Running) {
		switch {
		case w.State == bbbacklog.Stopped:
			if now >= w.StopExpiry {
				t.release(now, e, w)
			}
		case now >= w.Deadline:
			t.stop(now, e, w)
			t.reportBroken(now, e, w, bbmsg.ReasonDeadline, "deadline")
		case now >= w.Progress+t.progressTimeout(e, w):
			t.abortStalled(now, e, w)
		case !w.Started && e.CanJudgeSlowness() && now > w.Sent+e.SlowThreshold():
			e.MarkCold(now, false, "first token is late")
		}
	}
}

// abortStalled stops a call that made no progress. Unless another call has made progress
// more recently, the endpoint itself may be the cause and is marked cold.
func (t *Table) abortStalled(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	others := false
	for _, r := range e.Running {
		others = others || r != w && r.Progress > w.Progress && r.Started
	}
	t.stop(now, e, w)
	if !others {
		e.MarkCold(now, false, "no progress")
	}
	t.reportBroken(now, e, w, bbmsg.ReasonSilent, "no progress")
}
