package bbnode

import (
	"math/rand/v2"
	"time"

	"bluebellhall/core/bbaddress"
	"bluebellhall/core/bbbudget"
	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbroute"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbsuspect"
)

// policy holds what the decisions at the home have learned.
type policy struct {
	random *rand.Rand
	router *bbroute.Router
	// candidates is memory for one choice, and hashes the hashes of endpoint names.
	candidates []bbroute.Candidate
	hashes     map[string]uint64
	// times has the time that each service takes, and budgets its retries.
	times   map[string]*bbbudget.Quantiles
	budgets map[string]*bbbudget.RetryBudget
	// gates refuse early what can't be in time, by pipeline or call.
	gates map[string]*bbbudget.Gate
	// trials has the requests that a gate let through to learn from them.
	trials map[string]*bbbudget.Gate
	// retryShare is the part of the traffic that retries may add.
	retryShare float64
	suspects   *bbsuspect.Table
	ranker     *bbaddress.Ranker
	// handed counts the answers that named each node first since it was heard, and
	// for this node itself, since the last heartbeat began, which ends at handedUntil.
	handed      map[string]int
	handedUntil time.Duration
	// longestTicket is the longest life of any ticket in this incarnation.
	longestTicket time.Duration
}

const (
	// domainMillis and regionMillis are one-way delays between failure domains and
	// between regions, in milliseconds.
	domainMillis = 1.5
	regionMillis = 10
	// gigabyteMillisPerCost is the delay that is worth a unit of the operators'
	// currency, in milliseconds.
	gigabyteMillisPerCost = 1e6
)

// newPolicy returns a policy that has learned nothing.
func newPolicy(random *rand.Rand) policy {
	return policy{
		random: random,
		router: &bbroute.Router{
			Random: random.Uint64,
			Settings: bbroute.Settings{
				DomainMillis: domainMillis,
				RegionMillis: regionMillis,
			},
		},
		hashes:   make(map[string]uint64),
		times:    make(map[string]*bbbudget.Quantiles),
		budgets:  make(map[string]*bbbudget.RetryBudget),
		gates:    make(map[string]*bbbudget.Gate),
		trials:   make(map[string]*bbbudget.Gate),
		suspects: bbsuspect.New(maxSuspects),
		ranker: &bbaddress.Ranker{
			Random: random.Uint64,
		},
		handed: make(map[string]int),
	}
}

// setLimits takes in the limits of new rules.
func (p *policy) setLimits(l bbrule.Limits) {
	p.retryShare = l.RetryShare
	p.router.Settings.GigabyteMillis = l.CrossRegionCost * gigabyteMillisPerCost
	p.longestTicket = max(p.longestTicket, l.AnswerTTL+ticketMargin)
	for _, b := range p.budgets {
		b.Share = l.RetryShare
	}
	clear(p.hashes)
}

// hashOf returns the hash of an endpoint's name.
func (p *policy) hashOf(name string) uint64 {
	h, ok := p.hashes[name]
	if !ok {
		h = bbhash.Name(name)
		p.hashes[name] = h
	}
	return h
}

// timesOf returns the times of a service.
func (p *policy) timesOf(service string) *bbbudget.Quantiles {
	q, ok := p.times[service]
	if !ok {
		q = &bbbudget.Quantiles{}
		p.times[service] = q
	}
	return q
}

// timesOfSteps returns the times of all steps.
func (p *policy) timesOfSteps(steps []bbflow.Step) []*bbbudget.Quantiles {
	list := make([]*bbbudget.Quantiles, 0, len(steps))
	for _, s := range steps {
		list = append(list, p.timesOf(s.Service))
	}
	return list
}

// budgetOf returns the retry budget of a service.
func (p *policy) budgetOf(service string) *bbbudget.RetryBudget {
	b, ok := p.budgets[service]
	if !ok {
		b = &bbbudget.RetryBudget{
			Share: p.retryShare,
		}
		p.budgets[service] = b
	}
	return b
}

// serviceMillis returns the usual time of a service, 0 if not known.
func (p *policy) serviceMillis(now time.Duration, service string) float64 {
	usual, ok := p.timesOf(service).At(now, 0.5)
	if !ok {
		return 0
	}
	return float64(usual) / float64(time.Millisecond)
}

// allowRetry draws a retry or a hedge from the budget of a service.
func (p *policy) allowRetry(now time.Duration, service string, hedge bool) bool {
	if hedge {
		return p.budgetOf(service).TakeHedge(now)
	}
	return p.budgetOf(service).TakeRetry(now)
}

// pass decides whether a request can be in time. A request that is let through only
// to learn from it is noted, and its end is reported.
func (p *policy) pass(now time.Duration, r *bbhome.Record, t target) bool {
	name := r.Request.Pipeline + "/" + r.Request.Service + "/" + r.Request.Path
	gate, ok := p.gates[name]
	if !ok {
		gate = &bbbudget.Gate{}
		p.gates[name] = gate
	}
	switch gate.Decide(now, t.deadline-answerMargin, p.timesOfSteps(t.steps)) {
	case bbbudget.Refuse:
		return false
	case bbbudget.Probe:
		p.trials[r.ID] = gate
	}
	return true
}

// ended reports the end of a request to the gate that waits for it.
func (p *policy) ended(r *bbhome.Record) {
	if gate, ok := p.trials[r.ID]; ok {
		gate.Report(r.Outcome == bbmsg.OutcomeAnswered)
		delete(p.trials, r.ID)
	}
}

// flowSeams connects the flow with the rest of the node.
func (n *Node) flowSeams() bbflow.Seams {
	return bbflow.Seams{
		Choose:   n.choose,
		Peer:     n.peerState,
		Send:     n.sendAttempt,
		Closed:   n.ended,
		Progress: n.progress,
		End:      n.endRecord,
		Emit:     n.event,
		CanMake: func(now, remaining time.Duration, steps []bbflow.Step) bool {
			return bbbudget.CanMake(now, remaining, n.policy.timesOfSteps(steps))
		},
		Split: func(now, remaining time.Duration, steps []bbflow.Step) time.Duration {
			return bbbudget.StageBudget(now, remaining, n.policy.timesOfSteps(steps))
		},
		First: func(now time.Duration, service string) {
			n.policy.budgetOf(service).Attempt(now)
		},
		AllowRetry: n.policy.allowRetry,
		HedgeDelay: func(now, remaining time.Duration, service string) (time.Duration, bool) {
			return bbbudget.HedgeDelay(now, remaining, n.policy.timesOf(service))
		},
		Observe: func(now time.Duration, service string, took time.Duration) {
			n.policy.timesOf(service).Observe(now, took)
		},
		Died:     n.endpointDied,
		Survived: n.survived,
	}
}

// sendAttempt passes a message of the flow on and counts attempts.
func (n *Node) sendAttempt(_ time.Duration, to string, e bbmsg.Envelope) {
	if e.Dispatch != nil {
		n.sent(e.Dispatch)
	}
	n.send(to, e)
}
