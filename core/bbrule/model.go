// Package bbrule holds the operators' rules: plain text with one line per rule,
// each with a comment that says who asked for it. Validation is a pure function
// of the text, so every node accepts or refuses a revision alike.
package bbrule

import (
	"time"

	"bluebellhall/core/bbline"
)

// RuleSet is one valid revision of the rules. It is never changed once parsed.
type RuleSet struct {
	// Domains lists the failure domains, at least one, in file order.
	Domains []Domain
	// Services lists pools of like endpoints: stages and plain services.
	Services []Service
	// Calls lists the named calls of services and whether they may be repeated.
	Calls []Call
	// Models lists the models that engines may load.
	Models []Model
	// Endpoints lists every endpoint, with unique names and addresses.
	Endpoints []Endpoint
	// Pipelines lists the pipelines that callers may ask for.
	Pipelines []Pipeline
	// Accounts lists the known client accounts.
	Accounts []Account
	// Limits holds the bounds in force.
	Limits Limits
}

// Domain is a failure domain.
type Domain struct {
	// Name is unique among the domains.
	Name string
	// Region groups domains with fast links between them.
	Region string
	// Out is true while operators have taken the domain out.
	Out bool
	// AskedBy is the comment of the domain's line, OutAskedBy that of the line
	// that takes it out.
	AskedBy    string
	OutAskedBy string
}

// Service is a set of endpoints that do the same work.
type Service struct {
	// Name is unique among the services.
	Name string
	// Kind tells how its endpoints are spoken to.
	Kind ServiceKind
	// ReportsLoad is true when the endpoints publish load reports.
	ReportsLoad bool
	// AskedBy is the comment of the rule.
	AskedBy string
}

// ServiceKind tells how the endpoints of a service are spoken to.
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
	// Deadline bounds the call from acceptance to answer.
	Deadline time.Duration
	// AskedBy is the comment of the rule.
	AskedBy string
}

// Model is a set of weights that engines may load.
type Model struct {
	// Name is unique among the models.
	Name string
	// WeightBytes is what the weight store transfers to load it.
	WeightBytes int64
	// AskedBy is the comment of the rule.
	AskedBy string
}

// Endpoint is one back end of a service.
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
	// WarmSlots is how many requests it carries at once when warm, at least 1.
	WarmSlots int
	// ColdSlots is how many it carries at once when cold, from 1 to WarmSlots.
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
	// Deadline bounds the request from acceptance to the last byte.
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
	// Path is the call of a plain service or the path of a pool's requests,
	// without a leading slash; empty for engines.
	Path string
}

// Account is a client account.
type Account struct {
	// Name is unique among the accounts.
	Name string
	// Weight is its share relative to others, at least 1.
	Weight int
	// Priority orders accounts before weights do; 0 is the highest, 3 the lowest.
	Priority int
	// AskedBy is the comment of the rule.
	AskedBy string
}

// Limits holds the bounds that operators set.
type Limits struct {
	// RetryShare is the part of traffic that retries and hedges may add, from 0 to 0.5.
	RetryShare float64
	// CrossRegionCost is the price of a gigabyte between regions, in the operators' currency.
	CrossRegionCost float64
	// WeightStoreRate is the rate of the weight store in bytes per second.
	WeightStoreRate int64
	// AnswerTTL is how long callers keep an address answer and its ticket.
	AnswerTTL time.Duration
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// AskedBy holds the comments of the lines that set the bounds.
	AskedBy LimitsAskedBy
}

// LimitsAskedBy holds the comment of each line that sets a bound, empty where the
// default holds.
type LimitsAskedBy struct {
	RetryShare      string
	CrossRegionCost string
	WeightStoreRate string
	AnswerTTL       string
	BodyBytes       string
}

// Finding is one thing wrong with a rules text.
type Finding = bbline.Finding
