// Package bbpolicy is what a home has learned of the time that services take, and what
// it decides from it: which requests can be in time, how the time is shared between
// stages, and when a stage may be tried again or hedged.
package bbpolicy

import (
	"time"

	"bluebellhall/core/bbbudget"
	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
)

// Policy holds what the decisions at a home have learned. It is not safe for concurrent
// use.
type Policy struct {
	// times has the time that each service takes, and budgets its retries.
	times   map[string]*bbbudget.Quantiles
	budgets map[string]*bbbudget.RetryBudget
	// gates refuse early what can't be in time, by pipeline or call.
	gates map[string]*bbbudget.Gate
	// trials has the requests that a gate let through to learn from them.
	probes map[string]*bbbudget.Gate
	// retryShare is the part of the traffic that retries may add.
	retryShare float64
}

// New returns a policy that has learned nothing.
func New() *Policy {
	return &Policy{
		times:   make(map[string]*bbbudget.Quantiles),
		budgets: make(map[string]*bbbudget.RetryBudget),
		gates:   make(map[string]*bbbudget.Gate),
		probes:  make(map[string]*bbbudget.Gate),
	}
}

// SetRetryShare sets the part of the traffic that retries may add.
func (p *Policy) SetRetryShare(share float64) {
	p.retryShare = share
	for _, b := range p.budgets {
		b.Share = share
	}
}

// timesOf returns the times of a service.
func (p *Policy) serviceTimes(service string) *bbbudget.Quantiles {
	q, ok := p.times[service]
	if !ok {
		q = &bbbudget.Quantiles{}
		p.times[service] = q
	}
	return q
}

// timesOfSteps returns the times of all steps.
func (p *Policy) stepTimes(steps []bbflow.Step) []*bbbudget.Quantiles {
	list := make([]*bbbudget.Quantiles, 0, len(steps))
	for _, s := range steps {
		list = append(list, p.serviceTimes(s.Service))
	}
	return list
}

// budgetOf returns the retry budget of a service.
func (p *Policy) retryBudget(service string) *bbbudget.RetryBudget {
	b, ok := p.budgets[service]
	if !ok {
		b = &bbbudget.RetryBudget{
			Share: p.retryShare,
		}
		p.budgets[service] = b
	}
	return b
}

// ServiceMillis returns the usual time of a service, 0 if not known.
func (p *Policy) ServiceMillis(now time.Duration, service string) float64 {
	usual, ok := p.serviceTimes(service).At(now, 0.5)
	if !ok {
		return 0
	}
	return float64(usual) / float64(time.Millisecond)
}

// AllowRetry draws a retry or a hedge from the budget of a service.
func (p *Policy) AllowRetry(now time.Duration, service string, hedge bool) bool {
	if hedge {
		return p.retryBudget(service).TakeHedge(now)
	}
	return p.retryBudget(service).TakeRetry(now)
}

// Pass decides whether a request can be in time through its steps, with the time that
// remains for them. A request that is let through only
// to learn from it is noted, and its end is reported.
func (p *Policy) Admit(now time.Duration, r *bbhome.Record, remaining time.Duration, steps []bbflow.Step) bool {
	name := r.Request.Pipeline + "/" + r.Request.Service + "/" + r.Request.Path
	gate, ok := p.gates[name]
	if !ok {
		gate = &bbbudget.Gate{}
		p.gates[name] = gate
	}
	switch gate.Decide(now, remaining, p.stepTimes(steps)) {
	case bbbudget.Refuse:
		return false
	case bbbudget.Probe:
		p.probes[r.ID] = gate
	}
	return true
}

// Ended reports the end of a request to the gate that waits for it.
func (p *Policy) Ended(r *bbhome.Record) {
	if gate, ok := p.probes[r.ID]; ok {
		gate.Report(r.Outcome == bbmsg.OutcomeAnswered)
		delete(p.probes, r.ID)
	}
}

// CanMake tells whether the steps still fit into the remaining time.
func (p *Policy) CanMeetDeadline(now, remaining time.Duration, steps []bbflow.Step) bool {
	return bbbudget.CanMeetDeadline(now, remaining, p.stepTimes(steps))
}

// Split returns the share of the remaining time for the first of the steps.
func (p *Policy) Split(now, remaining time.Duration, steps []bbflow.Step) time.Duration {
	return bbbudget.StageBudget(now, remaining, p.stepTimes(steps))
}

// First counts the first attempt of a stage for the retry budget of its service.
func (p *Policy) First(now time.Duration, service string) {
	p.retryBudget(service).Attempt(now)
}

// HedgeDelay is how long to wait for first news before a hedge, and false for none.
func (p *Policy) HedgeDelay(now, remaining time.Duration, service string) (time.Duration, bool) {
	return bbbudget.HedgeDelay(now, remaining, p.serviceTimes(service))
}

// Observe takes in the duration of a finished stage.
func (p *Policy) Observe(now time.Duration, service string, took time.Duration) {
	p.serviceTimes(service).Observe(now, took)
}
