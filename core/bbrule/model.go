// Package bbrule parses and validates the operators' rules: plain text with one line per rule,
// each with a comment that says who asked for it. Validation is a pure function
// of the text, so that all nodes accept or refuse a revision alike.
package bbrule

import (
	"time"

	"bluebellhall/core/bbline"
)

// RuleSet is one valid revision of the rules. It is immutable after parsing.
type RuleSet struct {
	// Domains lists the failure domains, at least one, in file order.
	Domains []Domain
	// Services lists the services: sets of interchangeable endpoints for stages or plain calls.
	Services []Service
	// Calls lists the named calls of plain services and whether they may be repeated.
	Calls []Call
	// Models lists the models that engines may load.
	Models []Model
	// Endpoints lists every endpoint, with unique names and addresses.
	Endpoints []Endpoint
	// Pipelines lists the pipelines that callers may request.
	Pipelines []Pipeline
	// Accounts lists the known client accounts.
	Accounts []Account
	// Limits holds the limits in force.
	Limits Limits
}

// Domain is a failure domain.
type Domain struct {
	// Name is unique among the domains.
	Name string
	// Region groups domains with fast links between them.
	Region string
	// Out is true while operators have taken the domain out of service.
	Out bool
	// AskedBy is the comment of the line that declares the domain, OutAskedBy that of the
	// line that takes it out.
	AskedBy    string
	OutAskedBy string
}

// Service is a set of endpoints that do the same work.
type Service struct {
	// Name is unique among the services.
	Name string
	// Kind determines the protocol of its endpoints.
	Kind ServiceKind
	// ReportsLoad is true when the endpoints publish load reports.
	ReportsLoad bool
	// AskedBy is the comment of the rule.
	AskedBy string
}

// ServiceKind determines the protocol by which the endpoints of a service are called.
type ServiceKind string

// The kinds of service.
const (
	// KindEngine is a model engine that streams tokens.
	KindEngine ServiceKind = "engine"
	// KindPool is an encoder, retriever or reranker.
	KindPool ServiceKind = "pool"
	// KindPlain is a plain service with named calls.
	KindPlain ServiceKind = "plain"
)

// Call is one named call of a plain service.
type Call struct {
	// Service is the name of a service of kind plain.
	Service string
	// Path is the part of the URL after the service, without a leading slash.
	Path string
	// Idempotent is false for calls that run at most once.
	Idempotent bool
	// Deadline is the time limit from acceptance to answer.
	Deadline time.Duration
	// AskedBy is the comment of the rule.
	AskedBy string
}

// Model is a set of weights that engines may load.
type Model struct {
	// Name is unique among the models.
	Name string
	// WeightBytes is the size that the weight store transfers to load it.
	WeightBytes int64
	// AskedBy is the comment of the rule.
	AskedBy string
}

// Endpoint is one endpoint of a service.
type Endpoint struct {
	// Name is unique among the endpoints and is its name in the membership list.
	Name string
	// Service is the name of a service.
	Service string
	// Model is the name of a model; empty unless the service is an engine.
	Model string
	// Address is host:port, unique among the endpoints.
	Address string
	// Domain is the name of a failure domain.
	Domain string
	// WarmSlots is the number of requests that it gets at once when warm, at least 1.
	WarmSlots int
	// ColdSlots is the number of requests that it gets at once when cold, from 1 to WarmSlots.
	ColdSlots int
	// ChecksFencing is true when it refuses orders with an old fencing number.
	ChecksFencing bool
	// AskedBy is the comment of the rule.
	AskedBy string
}

// Pipeline is an ordered list of stages under one deadline.
type Pipeline struct {
	// Name is unique among the pipelines.
	Name string
	// Stages has one to eight entries.
	Stages []Stage
	// Deadline is the time limit from acceptance to the last byte.
	Deadline time.Duration
	// AskedBy is the comment of the rule.
	AskedBy string
}

// Stage is one step of a pipeline.
type Stage struct {
	// Service is the name of a service.
	Service string
	// Model is the model that an engine must have loaded; empty for others.
	Model string
	// Path is the path of a call of a plain service or of the requests of a pool,
	// without a leading slash; empty for engines.
	Path string
}

// Account is a client account.
type Account struct {
	// Name is unique among the accounts.
	Name string
	// Weight is its share in the fair queue relative to other accounts, at least 1.
	Weight int
	// Priority takes precedence over weights; 0 is the highest, 3 the lowest.
	Priority int
	// AskedBy is the comment of the rule.
	AskedBy string
}

// Limits holds the limits set by operators.
type Limits struct {
	// RetryShare is the share of traffic that retries and hedges may add, from 0 to 0.5.
	RetryShare float64
	// CrossRegionCost is the price of a gigabyte between regions, in the operators' currency.
	CrossRegionCost float64
	// WeightStoreRate is the transfer rate of the weight store in bytes per second.
	WeightStoreRate int64
	// AnswerTTL is how long callers may use an address answer and its ticket.
	AnswerTTL time.Duration
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// AskedBy holds the comments of the lines that set the limits.
	AskedBy LimitsAskedBy
}

// LimitsAskedBy holds the comment of each line that sets a limit, empty where the
// default is in force.
type LimitsAskedBy struct {
	RetryShare      string
	CrossRegionCost string
	WeightStoreRate string
	AnswerTTL       string
	BodyBytes       string
}

// Finding is one error in a rules text.
type Finding = bbline.Finding

// LongestCalls returns the longest deadline of any pipeline or call that uses a service, by service.
func (r *RuleSet) LongestCalls() map[string]time.Duration {
	longest := make(map[string]time.Duration)
	for _, p := range r.Pipelines {
		for _, s := range p.Stages {
			longest[s.Service] = max(longest[s.Service], p.Deadline)
		}
	}
	for _, c := range r.Calls {
		longest[c.Service] = max(longest[c.Service], c.Deadline)
	}
	return longest
}
