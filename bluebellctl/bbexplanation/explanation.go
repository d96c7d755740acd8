// Package bbexplanation tells why a request would go where: stage by stage, the
// endpoints as the choice at a home weighs them, with the reason for each.
package bbexplanation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbroute"
	"bluebellhall/core/bbrule"
)

const (
	// unknownOwner stands for the owner while no entry VM was asked.
	unknownOwner = "not asked"
	// seedLow is the second half of the seed of the draws.
	seedLow = 1
)

// Question is the request to explain.
type Question struct {
	// Pipeline or Call is set; Call is service/path.
	Pipeline string
	Call     string
	// Domain is the failure domain of the entry VM that is the request's home.
	Domain string
	// Session may be empty.
	Session string
	// Seed makes the draws between like endpoints.
	Seed uint64
}

// Explanation is the way that a request would take.
type Explanation struct {
	// Target is the pipeline or call, AskedBy the comment of its rule.
	Target  string `json:"target"`
	AskedBy string `json:"askedBy"`
	// DeadlineMillis bounds the request.
	DeadlineMillis int64 `json:"deadlineMillis"`
	// Domain and Region are the home's.
	Domain string `json:"domain"`
	Region string `json:"region"`
	// Live is true when the states of the endpoints come from entry VMs; else all
	// are taken to be warm and idle.
	Live   bool    `json:"live"`
	Stages []Stage `json:"stages"`
}

// Stage is the choice for one stage.
type Stage struct {
	// Target is service[/path][@model].
	Target string `json:"target"`
	// Kind is the service's.
	Kind bbrule.ServiceKind `json:"kind"`
	// Once is true when the stage runs at most once.
	Once bool `json:"once"`
	// Why tells what decided; Reason is set when there is no endpoint.
	Why    string       `json:"why"`
	Reason bbmsg.Reason `json:"reason,omitempty"`
	// Endpoints lists the candidates, those that may be chosen first, then by score.
	Endpoints []bbroute.ExplanationLine `json:"endpoints"`
}

// Explainer holds what all stages share.
type Explainer struct {
	// Index holds the rules.
	Index *bbrule.Index
	// Settings are the costs that the choice weighs.
	Settings bbroute.Settings
	// Statuses are what entry VMs say of themselves; empty to explain from the rules alone.
	Statuses []*bbmsg.Status
}

// Explain returns the way of a request.
func (x *Explainer) Explain(q Question) (Explanation, error) {
	domain := x.Index.Domains[q.Domain]
	if domain == nil {
		return Explanation{}, errors.Newf("failure domain %q is not declared", q.Domain)
	}
	explanation := Explanation{
		Domain: domain.Name,
		Region: domain.Region,
		Live:   len(x.Statuses) > 0,
	}
	stages, err := x.resolveTarget(q, &explanation)
	if err != nil {
		return Explanation{}, err
	}
	router := bbroute.Router{
		Settings: x.Settings,
		Random:   rand.New(rand.NewPCG(q.Seed, seedLow)).Uint64,
	}
	for _, s := range stages {
		explanation.Stages = append(explanation.Stages, x.stage(&router, q, domain, s))
	}
	return explanation, nil
}

// target fills in what is asked for and returns its stages.
func (x *Explainer) resolveTarget(q Question, explanation *Explanation) ([]bbrule.Stage, error) {
	if q.Pipeline != "" {
		p := x.Index.Pipelines[q.Pipeline]
		if p == nil {
			return nil, errors.Newf("pipeline %q is not declared", q.Pipeline)
		}
		explanation.Target = "pipeline " + p.Name
		explanation.AskedBy = p.AskedBy
		explanation.DeadlineMillis = p.Deadline.Milliseconds()
		return p.Stages, nil
	}
	service, path, _ := strings.Cut(q.Call, "/")
	c := x.Index.Call(service, path)
	if c == nil {
		return nil, errors.Newf("call %q is not declared", q.Call)
	}
	explanation.Target = "call " + q.Call
	explanation.AskedBy = c.AskedBy
	explanation.DeadlineMillis = c.Deadline.Milliseconds()
	return []bbrule.Stage{{
		Service: service,
		Path:    path,
	}}, nil
}

// stage explains one stage.
func (x *Explainer) stage(router *bbroute.Router, q Question, domain *bbrule.Domain, s bbrule.Stage) Stage {
	query := bbroute.Query{
		Domain: domain.Name,
		Region: domain.Region,
		Model:  s.Model,
	}
	service := x.Index.Services[s.Service]
	if q.Session != "" && service.Kind == bbrule.KindEngine {
		query.Session = bbhash.Name(q.Session)
	}
	var candidates []bbroute.Candidate
	for _, e := range x.Index.ServiceEndpoints[s.Service] {
		candidates = append(candidates, x.candidate(e))
	}
	choice, lines := router.Explain(&query, candidates)
	slices.SortStableFunc(lines, compareLines)
	call := x.Index.Call(s.Service, s.Path)
	return Stage{
		Target:    s.String(),
		Kind:      service.Kind,
		Once:      call != nil && !call.Idempotent,
		Why:       choice.Cause.String(),
		Reason:    choice.Reason,
		Endpoints: lines,
	}
}

// compareLines orders candidates that may be chosen before others, then by score.
func compareLines(a, b bbroute.ExplanationLine) int {
	if a.Eligible != b.Eligible {
		if a.Eligible {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.ScoreMillis, b.ScoreMillis), cmp.Compare(a.Endpoint, b.Endpoint))
}

// candidate describes an endpoint as its owner tells of it or, when no entry VM was
// asked, as warm and idle.
func (x *Explainer) candidate(e *bbrule.Endpoint) bbroute.Candidate {
	c := bbroute.Candidate{
		Name:       e.Name,
		Hash:       bbhash.Name(e.Name),
		Domain:     e.Domain,
		Region:     x.Index.Region(e.Domain),
		Owner:      unknownOwner,
		OwnerAlive: true,
		Known:      true,
		Digest: bbmsg.EndpointDigest{
			Name:   e.Name,
			State:  bbmsg.StateWarm,
			Window: e.WarmSlots,
			Model:  e.Model,
		},
	}
	if len(x.Statuses) > 0 {
		c.Owner, c.Digest, c.Known = x.ownerDigest(e.Name)
	}
	if x.Index.IsOut(e) {
		c.Known = true
		c.Digest.State = bbmsg.StateOut
	}
	return c
}

// owned returns what the owner of an endpoint tells of it.
func (x *Explainer) ownerDigest(endpoint string) (string, bbmsg.EndpointDigest, bool) {
	for _, s := range x.Statuses {
		for _, d := range s.Endpoints {
			if d.Name == endpoint {
				return s.Node, d, true
			}
		}
	}
	return "none of those asked", bbmsg.EndpointDigest{}, false
}

// Unserved returns a text for each stage without an endpoint.
func (e Explanation) Unserved() []string {
	var texts []string
	for i, s := range e.Stages {
		if s.Reason != bbmsg.ReasonNone {
			texts = append(texts, fmt.Sprintf("stage %d, %s: %s (%s)", i+1, s.Target, s.Why, s.Reason))
		}
	}
	return texts
}
