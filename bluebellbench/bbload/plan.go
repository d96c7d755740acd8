package bbload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellhall/core/bbrule"

	"github.com/cockroachdb/errors"
)

const (
	// MaxRequests bounds a load.
	MaxRequests = 200_000
	// DefaultPromptBytes is the size of a prompt of DefaultKinds.
	DefaultPromptBytes = 512
	// DefaultMaxTokens is the length of a completion of DefaultKinds.
	DefaultMaxTokens = 24
	// defaultSessions is the number of conversations of each kind in DefaultKinds.
	defaultSessions = 8
	// pipelineFactor is how much more often pipelines are asked for than calls.
	pipelineWeightFactor = 3
)

// PlanSettings describe a load.
type PlanSettings struct {
	// Seed makes two plans with equal settings alike.
	Seed uint64
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration is the time in which requests are due.
	Duration time.Duration
	// Kinds has at least one entry.
	Kinds []Kind
}

// Plan draws the requests of a load, in the order in which they are due, with
// exponential times between them.
func Plan(s PlanSettings) ([]Request, error) {
	total := 0
	for _, k := range s.Kinds {
		total += k.Weight
	}
	if total < 1 || s.Rate <= 0 {
		return nil, errors.Newf("load: rate %v and a sum of weights of %d", s.Rate, total)
	}
	if s.Rate*s.Duration.Seconds() > MaxRequests {
		return nil, errors.Newf("load: more than %d requests", MaxRequests)
	}
	random := rand.New(rand.NewPCG(s.Seed, 3))
	var requests []Request
	due := time.Duration(0)
	for {
		due += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if due >= s.Duration {
			return requests, nil
		}
		if len(requests) == MaxRequests {
			return nil, errors.Newf("load: more than %d requests", MaxRequests)
		}
		requests = append(requests, drawRequest(s, random, total, len(requests), due))
	}
}

// draw makes the next request of a plan.
func drawRequest(s PlanSettings, random *rand.Rand, total, number int, due time.Duration) Request {
	k := s.Kinds[0]
	pick := random.IntN(total)
	for _, kind := range s.Kinds {
		if pick < kind.Weight {
			k = kind
			break
		}
		pick -= kind.Weight
	}
	tag := fmt.Sprintf("tag-%dn%d", s.Seed, number)
	if k.SameContent {
		tag = fmt.Sprintf("tag-%dr", s.Seed)
	}
	q := Request{
		Kind:   k,
		Number: number,
		Due:    due,
		Tag:    tag,
		Body:   encodeBody(k, tag),
	}
	if k.Sessions > 0 {
		q.Session = fmt.Sprintf("%s-%d", k.Name, random.IntN(k.Sessions))
	}
	return q
}

// DefaultKinds returns a mix of all pipelines and calls of a set of rules over all its
// accounts, by the accounts' weights.
func DefaultKinds(rules *bbrule.RuleSet) []Kind {
	var kinds []Kind
	regions := regionsOf(rules)
	for i, a := range rules.Accounts {
		region := regions[i%len(regions)]
		for _, p := range rules.Pipelines {
			kinds = append(kinds, pipelineKind(a, region, p))
		}
		for _, c := range rules.Calls {
			kinds = append(kinds, callKind(a, region, c))
		}
	}
	return kinds
}

// regionsOf returns the regions of the rules in file order.
func regionsOf(rules *bbrule.RuleSet) []string {
	var regions []string
	seen := map[string]bool{}
	for _, d := range rules.Domains {
		if !seen[d.Region] {
			regions = append(regions, d.Region)
		}
		seen[d.Region] = true
	}
	return regions
}

func pipelineKind(a bbrule.Account, region string, p bbrule.Pipeline) Kind {
	return Kind{
		Name:        a.Name + "/" + p.Name,
		Weight:      a.Weight * pipelineWeightFactor,
		Account:     a.Name,
		Region:      region,
		Pipeline:    p.Name,
		Model:       p.Stages[len(p.Stages)-1].Model,
		Stream:      p.Stages[len(p.Stages)-1].Model != "",
		Deadline:    p.Deadline,
		PromptBytes: DefaultPromptBytes,
		MaxTokens:   DefaultMaxTokens,
		Sessions:    defaultSessions,
	}
}

func callKind(a bbrule.Account, region string, c bbrule.Call) Kind {
	return Kind{
		Name:     a.Name + "/" + c.Service + "/" + c.Path,
		Weight:   a.Weight,
		Account:  a.Name,
		Region:   region,
		Service:  c.Service,
		Path:     c.Path,
		Once:     !c.Idempotent,
		Deadline: c.Deadline,
	}
}
