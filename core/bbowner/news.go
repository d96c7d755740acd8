package bbowner

import (
	"net/http"
	"slices"
	"time"

	"bluebellhall/core/bbbacklog"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// News takes in what happened to a call. News of a call that no longer counts is
// dropped.
func (t *Table) HandleCallUpdate(now time.Duration, n bbmsg.CallUpdate) {
	w := t.calls[n.Call]
	if w == nil || w.State == bbbacklog.Queued || w.State == bbbacklog.Broken {
		return
	}
	e := t.Endpoints[w.Dispatch.Endpoint]
	e.dirty = true
	if w.State == bbbacklog.Stopped {
		if endsCall(n.Kind) || (n.Kind == bbmsg.UpdateBroken && !e.Cold()) {
			t.release(now, e, w)
		}
		return
	}
	switch n.Kind {
	case bbmsg.UpdateTokens:
		t.handleTokens(now, e, w, n)
	case bbmsg.UpdateDone:
		t.handleDone(now, e, w, n)
	case bbmsg.UpdateFailed:
		t.handleFailed(now, e, w, n)
	case bbmsg.UpdateRejected:
		t.handleRejected(now, e, w, n)
	case bbmsg.UpdateUnsent:
		t.handleUnsent(now, e, w)
	case bbmsg.UpdateBroken:
		t.handleBroken(now, e, w)
	}
}

// ended tells whether news shows that an endpoint no longer works on a call. A connection that
// broke, by this VM's doing or not, doesn't.
func endsCall(k bbmsg.CallUpdateKind) bool {
	return k != bbmsg.UpdateTokens && k != bbmsg.UpdateBroken
}

// takeTokens passes tokens on in order, each once. After a gap the call is stopped.
func (t *Table) handleTokens(now time.Duration, e *Endpoint, w *bbbacklog.Work, n bbmsg.CallUpdate) bool {
	if n.Offset > w.Next {
		t.stop(now, e, w)
		t.reportBroken(now, e, w, bbmsg.ReasonEndpointFailed, "gap in the tokens")
		return false
	}
	t.recordProgress(now, e, w)
	seen := w.Next - n.Offset
	if seen >= len(n.Tokens) {
		return true
	}
	fresh := n.Tokens[seen:]
	t.result(now, w, bbmsg.Result{
		Kind:   bbmsg.ResultTokens,
		Offset: w.Next,
		Tokens: fresh,
	})
	w.Next += len(fresh)
	return true
}

// progress notes a sign of life of a call.
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

func (t *Table) handleDone(now time.Duration, e *Endpoint, w *bbbacklog.Work, n bbmsg.CallUpdate) {
	if len(n.Tokens) > 0 && !t.handleTokens(now, e, w, n) {
		return
	}
	t.recordProgress(now, e, w)
	t.release(now, e, w)
	e.RecordCompletion(now, w.Sent, t.windows)
	t.event(e, bbevent.EndpointReplied, w, "")
	t.result(now, w, bbmsg.Result{
		Kind:          bbmsg.ResultDone,
		Offset:        w.Next,
		Body:          n.Body,
		ServiceMillis: int64((now - w.Sent) / time.Millisecond),
		QueueMillis:   int64((w.Sent - w.Queued) / time.Millisecond),
	})
}

func (t *Table) handleFailed(now time.Duration, e *Endpoint, w *bbbacklog.Work, n bbmsg.CallUpdate) {
	t.recordProgress(now, e, w)
	t.release(now, e, w)
	t.event(e, bbevent.EndpointFailed, w, http.StatusText(n.Status))
	t.result(now, w, bbmsg.Result{
		Kind:   bbmsg.ResultFailed,
		Reason: bbmsg.ReasonEndpointFailed,
		Status: n.Status,
		Body:   n.Body,
		Offset: w.Next,
	})
}

// takeRejected ends a call that the endpoint did not take, so that it has not run.
func (t *Table) handleRejected(now time.Duration, e *Endpoint, w *bbbacklog.Work, n bbmsg.CallUpdate) {
	t.release(now, e, w)
	reason, retry := bbmsg.ReasonOverload, max(e.ServiceTime, coldRetry)
	switch {
	case n.Cold:
		e.RejectedCold(now, coldRetry)
		reason = bbmsg.ReasonColdWait
	case n.Status == http.StatusNotFound:
		reason, retry = bbmsg.ReasonNoEndpoint, 0
	default:
		e.RejectedFull(len(e.Running))
	}
	t.event(e, bbevent.EndpointFailed, w, "rejected")
	t.result(now, w, bbmsg.Result{
		Kind:             bbmsg.ResultRefused,
		Reason:           reason,
		Status:           n.Status,
		RetryAfterMillis: int64(retry / time.Millisecond),
	})
}

// takeUnsent ends a call of which no byte left.
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

// takeBroken notes a call whose connection broke. Its result waits until it is known
// whether the endpoint died: all calls break then, or a new one can't connect.
func (t *Table) handleBroken(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	e.Break(now, w)
	e.MarkCold(now, e.Live() == 0, "connection broke")
	if e.Live() == 0 {
		t.resolveBroken(now, e, true)
	}
}

// settleBroken gives the results of broken calls when their time has come or when the
// fate of the endpoint is known.
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

// stop ends a running call at the endpoint. It counts until news of its end, or for a
// while; on a cold endpoint as long as it could run on behind a silent connection.
func (t *Table) stop(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	t.markStopped(now, e, w)
	t.outputs = append(t.outputs, bbmsg.Output{Stop: &bbmsg.EndpointStop{Call: w.Number}})
}

// abandon gives up a running call whose result nobody wants. A cold endpoint is left to finish
// it: nothing tells when it has noticed that the connection was closed.
func (t *Table) abandon(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	if e.Cold() {
		t.markStopped(now, e, w)
		return
	}
	t.stop(now, e, w)
}

// linger makes a call count on for a while though its result is not wanted.
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

// broken gives the result of a call that this node gave up.
func (t *Table) reportBroken(now time.Duration, e *Endpoint, w *bbbacklog.Work, reason bbmsg.Reason, detail string) {
	t.event(e, bbevent.EndpointFailed, w, detail)
	t.result(now, w, bbmsg.Result{
		Kind:   bbmsg.ResultBroken,
		Reason: reason,
		Offset: w.Next,
	})
}

// release takes a call off the endpoint.
func (t *Table) release(now time.Duration, e *Endpoint, w *bbbacklog.Work) {
	e.Finish(now, w)
	t.drop(now, w, false)
}

// watch stops calls that made no progress or whose time is over.
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

// silent gives a call up that made no progress. Unless another call made some since,
// the endpoint itself may be the cause.
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
