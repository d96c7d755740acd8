package bbnode

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbsuspect"
	"bluebellhall/core/bbticket"
)

// takeForward admits a request whose home is this node, from itself or a peer.
func (n *Node) takeForward(from string, f bbmsg.Forward) {
	arrival, ok := n.arrival(from, f)
	if !ok {
		n.answer(from, bbmsg.Answer{
			Call:    f.Call,
			ID:      f.Request.ID,
			Outcome: bbmsg.OutcomeInvalid,
			Reason:  bbmsg.ReasonBadTicket,
		})
		return
	}
	target := n.resolve(f.Request)
	arrival.Invalid = target.invalid
	arrival.Once = target.once
	verdict := n.Home.Admit(n.now, arrival)
	switch {
	case verdict.Record == nil:
		n.refuse(from, f, verdict)
	case verdict.Fresh:
		n.start(verdict.Record, target)
	default:
		n.joined(from, f, verdict.Record)
	}
}

// arrival describes a request to the table of records. It returns false for an id
// that is not ours.
func (n *Node) arrival(from string, f bbmsg.Forward) (bbhome.Arrival, bool) {
	a := bbhome.Arrival{
		Request: f.Request,
		Waiter: bbhome.Waiter{
			Receiver: from,
			Call:     f.Call,
			Next:     f.Request.FromOffset,
			Stream:   f.Request.Stream,
		},
	}
	if bbticket.IsKeyID(f.Request.ID) {
		a.Key = true
		a.KeySafe = n.keySafe(f.Request.ID)
		a.Home = n.Settings.Self.Name
		a.Incarnation = n.Settings.Incarnation
		return a, true
	}
	ticket, _, err := n.Settings.Keys.Split(f.Request.ID)
	if err != nil {
		return a, false
	}
	a.Home = ticket.Home
	a.Incarnation = ticket.Incarnation
	a.Expiry = time.Duration(ticket.ExpiryMillis) * time.Millisecond
	return a, true
}

// keySafe tells whether no other process can have accepted a key within the time that
// keys are kept: this node is its home by a confirmed list, was so by every list that
// can have been in force within that time, and its process has seen all of them. The
// settling time covers a former home whose confirmation was still running out.
func (n *Node) keySafe(id string) bool {
	place := bbticket.KeyPlace(id)
	since := n.now - n.Settings.Times.KeyRetention - n.Settings.Times.SettleTime
	return n.Members.OwnedSince(since, place, "") &&
		n.Members.ConfirmedFor(n.now, place, "")
}

// target is what a request asks for, by the rules in force.
type target struct {
	steps    []bbflow.Step
	account  bbrule.Account
	deadline time.Duration
	once     bool
	// invalid is the reason why it can't run, if any.
	invalid bbmsg.Reason
}

// resolve looks a request up in the rules in force.
func (n *Node) resolve(q bbmsg.CallerRequest) target {
	if n.Index == nil {
		return target{
			invalid: bbmsg.ReasonNotReady,
		}
	}
	account := n.Index.Accounts[q.Account]
	if account == nil {
		return target{
			invalid: bbmsg.ReasonUnknownAccount,
		}
	}
	t := n.resolveTarget(q)
	t.account = *account
	if budget := time.Duration(q.BudgetMillis) * time.Millisecond; budget > 0 {
		t.deadline = min(t.deadline, budget)
	}
	if int64(len(q.Body)) > n.Index.Set.Limits.BodyBytes {
		t.invalid = bbmsg.ReasonBodyTooLarge
	}
	return t
}

// resolveTarget finds the pipeline or the call that a request names.
func (n *Node) resolveTarget(q bbmsg.CallerRequest) target {
	if q.Pipeline != "" {
		p := n.Index.Pipelines[q.Pipeline]
		if p == nil {
			return target{
				invalid: bbmsg.ReasonUnknownPipeline,
			}
		}
		return n.resolvePipeline(p)
	}
	if n.Index.Services[q.Service] == nil {
		return target{
			invalid: bbmsg.ReasonUnknownService,
		}
	}
	c := n.Index.Call(q.Service, q.Path)
	if c == nil {
		return target{
			invalid: bbmsg.ReasonUnknownCall,
		}
	}
	return target{
		deadline: c.Deadline,
		once:     !c.Idempotent,
		steps: []bbflow.Step{
			{
				Service: c.Service,
				Path:    c.Path,
				Kind:    bbrule.KindPlain,
				Once:    !c.Idempotent,
			},
		},
	}
}

// resolvePipeline resolves the stages of a pipeline.
func (n *Node) resolvePipeline(p *bbrule.Pipeline) target {
	t := target{
		deadline: p.Deadline,
	}
	for _, s := range p.Stages {
		step := bbflow.Step{
			Service: s.Service,
			Path:    s.Path,
			Model:   s.Model,
			Kind:    n.Index.Services[s.Service].Kind,
		}
		if c := n.Index.Call(s.Service, s.Path); c != nil {
			step.Once = !c.Idempotent
		}
		t.once = t.once || step.Once
		t.steps = append(t.steps, step)
	}
	return t
}

// start runs a fresh record, unless its content is a suspect that is to be refused.
func (n *Node) start(r *bbhome.Record, t target) {
	n.event(bbevent.Event{
		Number:  bbevent.RequestAccepted,
		Request: r.ID,
		Detail:  r.Request.Pipeline + r.Request.Service,
	})
	suspicion := n.suspects.Verdict(n.now, r.Fingerprint)
	if suspicion == bbsuspect.Refused {
		r.Repeatable = true
		n.endRecord(r, bbmsg.OutcomeNotRun, bbmsg.ReasonSuspect)
		return
	}
	if !n.policy.Pass(n.now, r, t.deadline-answerMargin, t.steps) {
		r.Repeatable = true
		n.endRecord(r, bbmsg.OutcomeNotRun, bbmsg.ReasonDeadline)
		return
	}
	n.Flow.Start(n.now, r, t.steps, t.account, n.now+t.deadline, suspicion == bbsuspect.Alone)
}

// joined answers a repeat of a known request with what there is.
func (n *Node) joined(from string, f bbmsg.Forward, r *bbhome.Record) {
	n.event(bbevent.Event{
		Number:  bbevent.RequestJoined,
		Request: r.ID,
		Peer:    from,
	})
	if !r.Ended {
		n.progress(r)
		return
	}
	n.answerWaiter(r, &bbhome.Waiter{
		Receiver: from,
		Call:     f.Call,
		Next:     f.Request.FromOffset,
		Stream:   f.Request.Stream,
	})
}

// refuse answers an arrival that has no record.
func (n *Node) refuse(from string, f bbmsg.Forward, v bbhome.Verdict) {
	n.event(bbevent.Event{
		Number:  bbevent.RequestRefused,
		Request: f.Request.ID,
		Peer:    from,
		Detail:  string(v.Outcome) + " " + string(v.Reason),
	})
	n.answer(from, bbmsg.Answer{
		Call:             f.Call,
		ID:               f.Request.ID,
		Outcome:          v.Outcome,
		Reason:           v.Reason,
		RetryAfterMillis: v.RetryAfterMillis,
		Repeatable:       v.Outcome == bbmsg.OutcomeNotRun,
	})
}

// progress gives new tokens to the waiters that take them as they come.
func (n *Node) progress(r *bbhome.Record) {
	for i := range r.Waiters {
		w := &r.Waiters[i]
		if !w.Stream || w.Next >= len(r.Tokens) {
			continue
		}
		n.answer(w.Receiver, bbmsg.Answer{
			Call:    w.Call,
			ID:      r.ID,
			Outcome: bbmsg.OutcomePending,
			Offset:  w.Next,
			Tokens:  r.Tokens[w.Next:len(r.Tokens):len(r.Tokens)],
		})
		w.Next = len(r.Tokens)
	}
}

// endRecord fixes the outcome of a record and answers its waiters.
func (n *Node) endRecord(r *bbhome.Record, outcome bbmsg.Outcome, reason bbmsg.Reason) {
	if !n.Home.End(r, outcome, reason) {
		return
	}
	n.policy.Ended(r)
	waiters := r.Waiters
	r.Waiters = nil
	for i := range waiters {
		n.answerWaiter(r, &waiters[i])
	}
}

// answerWaiter gives the end of a record to one waiter, with the tokens it lacks.
func (n *Node) answerWaiter(r *bbhome.Record, w *bbhome.Waiter) {
	next := min(w.Next, len(r.Tokens))
	if !w.Stream {
		next = 0
	}
	n.answer(w.Receiver, bbmsg.Answer{
		Call:             w.Call,
		ID:               r.ID,
		Outcome:          r.Outcome,
		Reason:           r.Reason,
		RetryAfterMillis: r.RetryAfterMillis,
		Repeatable:       r.Repeatable,
		Offset:           next,
		Tokens:           r.Tokens[next:],
		Body:             r.Body,
	})
}

// answer passes an answer to the node that holds the caller's connection.
func (n *Node) answer(receiver string, a bbmsg.Answer) {
	n.send(receiver, bbmsg.Envelope{
		Answer: &a,
	})
}
