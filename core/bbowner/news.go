package bbowner

import (
	"net/http"
	"slices"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

const (
	// firstBackoff and lastBackoff bound the pause after an endpoint could not be
	// reached; it doubles with each failure.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// News takes in what happened to a call. News of a call that no longer counts is
// dropped.
func (t *Table) News(now time.Duration, n bbmsg.EndpointNews) {
	w := t.calls[n.Call]
	if w == nil || w.State == WorkQueued || w.State == WorkBroken {
		return
	}
	e := t.Endpoints[w.Dispatch.Endpoint]
	e.dirty = true
	if w.State == WorkStopped {
		if n.Kind != bbmsg.NewsTokens {
			t.release(now, e, w)
		}
		return
	}
	switch n.Kind {
	case bbmsg.NewsTokens:
		t.takeTokens(now, e, w, n)
	case bbmsg.NewsDone:
		t.takeDone(now, e, w, n)
	case bbmsg.NewsFailed:
		t.takeFailed(now, e, w, n)
	case bbmsg.NewsRejected:
		t.takeRejected(now, e, w, n)
	case bbmsg.NewsUnsent:
		t.takeUnsent(now, e, w)
	case bbmsg.NewsBroken:
		t.takeBroken(now, e, w)
	}
}

// takeTokens passes tokens on in order, each once. After a gap the call is stopped.
func (t *Table) takeTokens(now time.Duration, e *Endpoint, w *Work, n bbmsg.EndpointNews) bool {
	if n.Offset > w.Next {
		t.stop(now, e, w)
		t.broken(now, e, w, bbmsg.ReasonEndpointFailed, "gap in the tokens")
		return false
	}
	t.progress(now, e, w)
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
func (t *Table) progress(now time.Duration, e *Endpoint, w *Work) {
	w.Progress = now
	e.failures = 0
	if !w.Started {
		w.Started = true
		t.judgeFirst(now, e, w)
	}
	for _, b := range e.Broken {
		if w.Sent <= b.Progress {
			t.settleBroken(now, e, true)
			return
		}
	}
}

func (t *Table) takeDone(now time.Duration, e *Endpoint, w *Work, n bbmsg.EndpointNews) {
	if len(n.Tokens) > 0 && !t.takeTokens(now, e, w, n) {
		return
	}
	t.progress(now, e, w)
	t.release(now, e, w)
	e.ServiceTime = average(e.ServiceTime, now-w.Sent)
	t.completed(now, e, w)
	t.event(e, bbevent.EndpointReplied, w, "")
	t.result(now, w, bbmsg.Result{
		Kind:          bbmsg.ResultDone,
		Offset:        w.Next,
		Body:          n.Body,
		ServiceMillis: int64((now - w.Sent) / time.Millisecond),
		QueueMillis:   int64((w.Sent - w.Queued) / time.Millisecond),
	})
}

func (t *Table) takeFailed(now time.Duration, e *Endpoint, w *Work, n bbmsg.EndpointNews) {
	t.progress(now, e, w)
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
func (t *Table) takeRejected(now time.Duration, e *Endpoint, w *Work, n bbmsg.EndpointNews) {
	t.release(now, e, w)
	reason, retry := bbmsg.ReasonOverload, max(e.ServiceTime, coldRetry)
	switch {
	case n.Cold:
		t.coldTurn(e, now, true, "rejected as cold")
		e.RetryAt = now + coldRetry
		reason = bbmsg.ReasonColdWait
	case n.Status == http.StatusNotFound:
		reason, retry = bbmsg.ReasonNoEndpoint, 0
	case e.State == bbmsg.StateWarm || e.State == bbmsg.StateWarming:
		e.Window = max(e.Rule.ColdSlots, len(e.Running))
		t.setState(e, bbmsg.StateWarming, "full")
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
func (t *Table) takeUnsent(now time.Duration, e *Endpoint, w *Work) {
	t.release(now, e, w)
	backoff := min(firstBackoff<<min(e.failures, 8), lastBackoff)
	e.failures++
	e.RetryAt = now + backoff
	t.coldTurn(e, now, true, "unreachable")
	t.settleBroken(now, e, true)
	t.event(e, bbevent.EndpointFailed, w, "unreachable")
	t.result(now, w, bbmsg.Result{
		Kind:             bbmsg.ResultRefused,
		Reason:           bbmsg.ReasonEndpointFailed,
		RetryAfterMillis: int64(backoff / time.Millisecond),
	})
}

// takeBroken notes a call whose connection broke. Its result waits until it is known
// whether the endpoint died: all calls break then, or a new one can't connect.
func (t *Table) takeBroken(now time.Duration, e *Endpoint, w *Work) {
	w.State = WorkBroken
	w.Progress = now
	w.Others = e.live()
	e.Running = slices.DeleteFunc(e.Running, func(r *Work) bool { return r == w })
	e.Broken = append(e.Broken, w)
	t.coldTurn(e, now, e.live() == 0, "connection broke")
	if e.live() == 0 {
		t.settleBroken(now, e, true)
	}
}

// live returns the number of calls that still make news.
func (e *Endpoint) live() int {
	live := 0
	for _, w := range e.Running {
		if w.State == WorkRunning {
			live++
		}
	}
	return live
}

// settleBroken gives the results of broken calls when their time has come or when the
// fate of the endpoint is known.
func (t *Table) settleBroken(now time.Duration, e *Endpoint, known bool) {
	if len(e.Broken) == 0 || !known && now < e.Broken[0].Progress+t.settings.BreakGrace {
		return
	}
	others := 0
	for _, w := range e.Broken {
		others = max(others, w.Others)
	}
	died := e.live() == 0 || e.failures > 0
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
func (t *Table) stop(now time.Duration, e *Endpoint, w *Work) {
	delete(t.active, w.Key)
	t.ended.add(now, w.Key, false)
	w.State = WorkStopped
	w.Linger = now + stopLinger
	if e.cold() {
		w.Linger = max(w.Linger, w.Deadline)
	}
	e.dirty = true
	t.outputs = append(t.outputs, bbmsg.Output{Stop: &bbmsg.EndpointStop{Call: w.Number}})
}

// broken gives the result of a call that this node gave up.
func (t *Table) broken(now time.Duration, e *Endpoint, w *Work, reason bbmsg.Reason, detail string) {
	t.event(e, bbevent.EndpointFailed, w, detail)
	t.result(now, w, bbmsg.Result{
		Kind:   bbmsg.ResultBroken,
		Reason: reason,
		Offset: w.Next,
	})
}

// release takes a call off the endpoint.
func (t *Table) release(now time.Duration, e *Endpoint, w *Work) {
	e.Running = slices.DeleteFunc(e.Running, func(r *Work) bool { return r == w })
	if w.Dispatch.Alone {
		e.aloneUntil = now + alonePause
	}
	t.drop(now, w, false)
}

// watch stops calls that made no progress or whose time is over.
func (t *Table) watch(now time.Duration, e *Endpoint) {
	for _, w := range slices.Clone(e.Running) {
		switch {
		case w.State == WorkStopped:
			if now >= w.Linger {
				t.release(now, e, w)
			}
		case now >= w.Deadline:
			t.stop(now, e, w)
			t.broken(now, e, w, bbmsg.ReasonDeadline, "deadline")
		case now >= w.Progress+t.silence(e, w):
			t.silent(now, e, w)
		case !w.Started && e.judgesSlowness() && now > w.Sent+e.slow():
			t.coldTurn(e, now, false, "first token is late")
		}
	}
}

// silent gives a call up that made no progress. Unless another call made some since,
// the endpoint itself may be the cause.
func (t *Table) silent(now time.Duration, e *Endpoint, w *Work) {
	others := false
	for _, r := range e.Running {
		others = others || r != w && r.Progress > w.Progress && r.Started
	}
	t.stop(now, e, w)
	if !others {
		t.coldTurn(e, now, false, "no progress")
	}
	t.broken(now, e, w, bbmsg.ReasonSilent, "no progress")
}
