package bbintake

import (
	"time"

	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

// target is what a request resolves to by the rules in force.
type target struct {
	steps    []bbflow.Step
	account  bbrule.Account
	deadline time.Duration
	once     bool
	// invalid is the reason why it can't run; empty if it can.
	invalid bbmsg.Reason
}

// resolve looks a request up in the rules in force; index is nil until rules are set.
func resolve(index *bbrule.Index, q bbmsg.CallerRequest) target {
	if index == nil {
		return target{
			invalid: bbmsg.ReasonNotReady,
		}
	}
	account := index.Accounts[q.Account]
	if account == nil {
		return target{
			invalid: bbmsg.ReasonUnknownAccount,
		}
	}
	t := resolveTarget(index, q)
	t.account = *account
	if budget := bbmsg.Millis(q.BudgetMillis); budget > 0 {
		t.deadline = min(t.deadline, budget)
	}
	if int64(len(q.Body)) > index.Set.Limits.BodyBytes {
		t.invalid = bbmsg.ReasonBodyTooLarge
	}
	return t
}

// resolveTarget finds the pipeline or the call named by a request.
func resolveTarget(index *bbrule.Index, q bbmsg.CallerRequest) target {
	if q.Pipeline != "" {
		p := index.Pipelines[q.Pipeline]
		if p == nil {
			return target{
				invalid: bbmsg.ReasonUnknownPipeline,
			}
		}
		return resolvePipeline(index, p)
	}
	if index.Services[q.Service] == nil {
		return target{
			invalid: bbmsg.ReasonUnknownService,
		}
	}
	c := index.Call(q.Service, q.Path)
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
func resolvePipeline(index *bbrule.Index, p *bbrule.Pipeline) target {
	t := target{
		deadline: p.Deadline,
	}
	for _, s := range p.Stages {
		step := bbflow.Step{
			Service: s.Service,
			Path:    s.Path,
			Model:   s.Model,
			Kind:    index.Services[s.Service].Kind,
		}
		if c := index.Call(s.Service, s.Path); c != nil {
			step.Once = !c.Idempotent
		}
		t.once = t.once || step.Once
		t.steps = append(t.steps, step)
	}
	return t
}
