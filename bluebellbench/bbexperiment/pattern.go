// Package bbexperiment simulates load patterns against a coordinator in virtual time, with the current
// scheduling policy and with baseline policies, at several multiples of the pattern's load.
package bbexperiment

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbscene"
)

// Pattern is a load together with changes of the load and faults at set times. Times are in milliseconds.
type Pattern struct {
	Name string `json:"name"`
	// Description is one line about the pattern.
	Description string  `json:"about"`
	Pools       []Pool  `json:"pools"`
	Kinds       []Kind  `json:"kinds"`
	Events      []Event `json:"events"`
	// Engines is the number of engines; Zones are the failure domains over which endpoints
	// are spread.
	Engines int      `json:"engines"`
	Zones   []string `json:"zones"`
	// DurationMs is the time during which requests arrive.
	DurationMs float64 `json:"durationMs"`
	// RetryRefused is true if refused callers retry once.
	RetryRefused bool `json:"returns"`
}

// Pool describes the endpoints of a service that runs stages.
type Pool struct {
	Service           string  `json:"service"`
	Workers           int     `json:"workers"`
	Batch             int     `json:"batch"`
	Queue             int     `json:"queue"`
	CallMs            float64 `json:"callMs"`
	PieceMs           float64 `json:"pieceMs"`
	ResultMemoryBytes float64 `json:"roomBytes"`
	ResultTTLMs       float64 `json:"resultLifeMs"`
}

// Kind describes the requests of one kind.
type Kind struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// Worth is the value of an answer within the objective, LateWorth that of a later one within the limit.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
	// PerSecond is the mean rate of requests, BurstSize the number of requests that arrive at the same time.
	PerSecond   float64 `json:"perSecond"`
	BurstSize   int     `json:"clump"`
	ObjectiveMs float64 `json:"objectiveMs"`
	LimitMs     float64 `json:"limitMs"`
	// Tokens is the length of the prompt. SharedTokens is the length of a part of it that other requests
	// contain too: each request draws its shared part from SharedParts different ones.
	Tokens       int     `json:"tokens"`
	SharedTokens int     `json:"sharedTokens"`
	SharedParts  int     `json:"subjects"`
	Stages       []Stage `json:"stages"`
}

// Stage is one stage of a kind. The number of pieces is drawn from 1 to 2*Pieces-1, with a mean of Pieces.
// Share is the probability that a request has the stage; 0 means always.
type Stage struct {
	Service     string  `json:"service"`
	After       []int   `json:"after"`
	ResultBytes float64 `json:"resultBytes"`
	Pieces      float64 `json:"pieces"`
	Share       float64 `json:"share"`
}

// Event is a temporary change of the load, a slow endpoint, or the loss of the coordinator.
type Event struct {
	AtMs  float64 `json:"atMs"`
	ForMs float64 `json:"forMs"`
	// Kind is the kind of request whose rate is multiplied by Factor; empty means all kinds.
	Kind   string  `json:"kind"`
	Factor float64 `json:"factor"`
	// Slow is an endpoint whose calls take Factor times as long; empty means that none is slow.
	Slow string `json:"slow"`
	// Replace is true if the coordinator is lost at that time and replaced by one with empty state.
	Replace bool `json:"replace"`
}

// Load reads a pattern from a file.
func Load(path string) (Pattern, error) {
	file, err := os.Open(path)
	if err != nil {
		return Pattern{}, errors.Wrap(err, "pattern")
	}
	defer func() {
		// Close errors don't matter: the file was opened for reading only.
		_ = file.Close()
	}()
	d := json.NewDecoder(file)
	d.DisallowUnknownFields()
	var p Pattern
	if err := d.Decode(&p); err != nil {
		return p, errors.Wrapf(err, "pattern %s", path)
	}
	return p, errors.Wrapf(p.check(), "pattern %s", path)
}

// check returns an error that names the first invalid field.
func (p Pattern) check() error {
	services := make(map[string]bool)
	for i, pool := range p.Pools {
		if pool.Service == "" || pool.Workers < 1 || pool.Batch < 1 || pool.ResultMemoryBytes <= 0 {
			return errors.Newf("pools[%d] needs a service, workers and a batch of at least 1, and roomBytes above 0", i)
		}
		services[pool.Service] = true
	}
	if len(p.Zones) == 0 || p.Engines < 1 || p.DurationMs <= 0 || len(p.Kinds) == 0 {
		return errors.New("zones, engines, durationMs and kinds are needed")
	}
	for i, k := range p.Kinds {
		if k.Name == "" || k.PerSecond <= 0 || k.ObjectiveMs <= 0 || k.LimitMs < k.ObjectiveMs {
			return errors.Newf("kinds[%d] needs a name, a rate, an objective and a limit not below the objective", i)
		}
		if k.SharedTokens > k.Tokens {
			return errors.Newf("kinds[%d]: sharedTokens exceeds tokens", i)
		}
		for n, s := range k.Stages {
			if !services[s.Service] || s.Pieces < 1 {
				return errors.Newf("kinds[%d].stages[%d] needs a service of the pools and at least 1 piece", i, n)
			}
			for _, before := range s.After {
				if before < 0 || before >= n {
					return errors.Newf("kinds[%d].stages[%d] comes after stage %d, which is not an earlier stage", i, n, before)
				}
			}
		}
	}
	for i, e := range p.Events {
		if !e.Replace && e.Factor <= 0 {
			return errors.Newf("events[%d] needs a factor above 0", i)
		}
	}
	return nil
}

// scene returns the settings of the simulation.
func (p Pattern) scene() bbscene.Settings {
	s := bbscene.Settings{
		Engines:      p.Engines,
		Zones:        p.Zones,
		Latency:      linkLatency,
		RetrySlack:   retrySlack,
		RetryRefused: p.RetryRefused,
	}
	for _, pool := range p.Pools {
		s.Pools = append(s.Pools, bbscene.Pool{
			Service: pool.Service,
			Workers: pool.Workers,
			Spec: bbcatalog.Pool{
				Slots:             1,
				Queue:             pool.Queue,
				Batch:             pool.Batch,
				CallTime:          millis(pool.CallMs),
				PieceTime:         millis(pool.PieceMs),
				ResultMemoryBytes: pool.ResultMemoryBytes,
				ResultTTL:         millis(pool.ResultTTLMs),
			},
		})
	}
	return s
}

// order returns an order of this kind; draw returns random numbers in [0, 1).
func (k Kind) order(number int, zone string, draw func() float64) bbjob.Order {
	id := fmt.Sprintf("%s-%d", k.Name, number)
	o := bbjob.Order{
		ID:      id,
		Route:   k.Name,
		Service: bbscene.EngineService,
		Key:     "key of " + id,
		Prompt: bbjob.Prompt{
			Model:  "m",
			Tokens: k.Tokens,
			Output: outputTokens,
		},
		Priority:  k.Priority,
		Objective: millis(k.ObjectiveMs),
		Limit:     millis(k.LimitMs),
		Zone:      zone,
		Region:    zone,
	}
	if k.SharedTokens > 0 {
		subject := int(draw() * float64(max(1, k.SharedParts)))
		o.Prompt.Parts = []bbjob.Part{
			{
				ID:     fmt.Sprintf("%s-subject-%d", k.Name, subject),
				Tokens: k.SharedTokens,
			},
			{
				ID:     id,
				Tokens: k.Tokens - k.SharedTokens,
			},
		}
	}
	for _, s := range k.Stages {
		pieces := int(s.Pieces + (2*draw()-1)*(s.Pieces-1) + 0.5)
		if s.Share > 0 && draw() >= s.Share {
			pieces = 0
		}
		o.Stages = append(o.Stages, bbjob.Stage{
			Service:     s.Service,
			After:       s.After,
			ResultBytes: s.ResultBytes,
			Pieces:      pieces,
		})
	}
	return o
}

const (
	// linkLatency is the middle of the range of one-way delays between VMs in the users' specifications.
	linkLatency = 5 * time.Millisecond
	// retrySlack is the number of repeated calls allowed per ten seconds in the users' specifications.
	retrySlack = 54
	// outputTokens is the length of an answer; it only affects memory use at the engine.
	outputTokens = 50
)

func millis(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
