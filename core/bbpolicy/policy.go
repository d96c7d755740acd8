// Package bbpolicy holds a home's measured service times and the decisions based on them:
// which requests can meet their deadline, how the remaining time is divided between stages,
// and when a stage may be retried or hedged.
package bbpolicy

import (
	"time"

	"bluebellhall/core/bbbudget"
	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
)

// Policy holds the measurements on which a home's decisions are based. It is not safe for
// concurrent use.
type Policy struct {
	// times holds the measured durations of each service, budgets its retry budget.
	times   map[string]*bbbudget.Quantiles
	budgets map[string]*bbbudget.RetryBudget
	// gates refuse requests early that can't meet their deadline, by pipeline or call.
	gates map[string]*bbbudget.Gate
	// probes holds the gate of each request that was admitted only to measure whether the
	// deadline can be met, by request id.
	probes map[string]*bbbudget.Gate
	// retryShare is the share of the traffic that retries may add.
	retryShare float64
}

// New returns a policy without measurements.
func New() *Policy {
	return &Policy{
		times:   make(map[string]*bbbudget.Quantiles),
		budgets: make(map[string]*bbbudget.RetryBudget),
		gates:   make(map[string]*bbbudget.Gate),
		probes:  make(map[string]*bbbudget.Gate),
	}
}

// SetRetryShare sets the share of the traffic that retries may add.
func (p *Policy) SetRetryShare(share float64) {
	p.retryShare = share
	for _, b := range p.budgets {
		b.Share = share
	}
}

// serviceTimes returns the measured durations of a service.
func (p *Policy) serviceTimes(service string) *bbbudget.Quantiles {
	q, ok := p.times[service]
	if !ok {
		q = &bbbudget.Quantiles{}
		p.times[service] = q
	}
	return q
}

// stepTimes returns the measured durations of the services of all steps.
func (p *Policy) stepTimes(steps []bbflow.Step) []*bbbudget.Quantiles {
	list := make([]*bbbudget.Quantiles, 0, len(steps))
	for _, s := range steps {
		list = append(list, p.serviceTimes(s.Service))
	}
	return list
}

// retryBudget returns the retry budget of a service.
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

// ServiceMillis returns the median duration of a service in milliseconds, 0 if not known.
func (p *Policy) ServiceMillis(now time.Duration, service string) float64 {
	usual, ok := p.serviceTimes(service).At(now, 0.5)
	if !ok {
		return 0
	}
	return float64(usual) / float64(time.Millisecond)
}

// AllowRetry takes a retry or a hedge from the retry budget of a service and reports whether
// there was one left.
func (p *Policy) AllowRetry(now time.Duration, service string, hedge bool) bool {
	if hedge {
		return p.retryBudget(service).TakeHedge(now)
	}
	return p.retryBudget(service).TakeRetry(now)
}

// Admit decides whether a request can meet its deadline, given its steps and the time that
// remains for them. A request that is admitted only as a probe is recorded, and Ended reports
// its outcome to the gate.
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

// Ended reports the outcome of a request to its gate if the request was a probe.
func (p *Policy) Ended(r *bbhome.Record) {
	if gate, ok := p.probes[r.ID]; ok {
		gate.Report(r.Outcome == bbmsg.OutcomeAnswered)
		delete(p.probes, r.ID)
	}
}

// CanMake reports whether the steps still fit into the remaining time.
func (p *Policy) CanMeetDeadline(now, remaining time.Duration, steps []bbflow.Step) bool {
	return bbbudget.CanMeetDeadline(now, remaining, p.stepTimes(steps))
}

// Split returns the part of the remaining time that the first of the steps gets.
func (p *Policy) Split(now, remaining time.Duration, steps []bbflow.Step) time.Duration {
	return bbbudget.StageBudget(now, remaining, p.stepTimes(steps))
}

// First records the first attempt of a stage for the retry budget of its service.
func (p *Policy) First(now time.Duration, service string) {
	p.retryBudget(service).Attempt(now)
}

// HedgeDelay returns how long to wait for the first result of a stage before a hedge is sent,
// and false for no hedge.
func (p *Policy) HedgeDelay(now, remaining time.Duration, service string) (time.Duration, bool) {
	return bbbudget.HedgeDelay(now, remaining, p.serviceTimes(service))
}

// Observe records the duration of a finished stage.
func (p *Policy) Observe(now time.Duration, service string, took time.Duration) {
	p.serviceTimes(service).Observe(now, took)
}
