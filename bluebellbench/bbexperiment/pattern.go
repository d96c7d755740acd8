// Package bbexperiment plays load patterns against a coordinator in virtual time, with the
// present policy and with baselines, at several times the load.
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

// Pattern is a load and what happens beside it. Times are in milliseconds.
type Pattern struct {
	Name string `json:"name"`
	// About says in a line what the pattern is.
	Description string  `json:"about"`
	Pools       []Pool  `json:"pools"`
	Kinds       []Kind  `json:"kinds"`
	Events      []Event `json:"events"`
	// Engines is the number of engines; Zones are the failure domains over which endpoints
	// are spread.
	Engines int      `json:"engines"`
	Zones   []string `json:"zones"`
	// DurationMs is how long requests arrive.
	DurationMs float64 `json:"durationMs"`
	// Returns is true when refused callers come back once.
	RetryRefused bool `json:"returns"`
}

// Pool is a service that works on stages.
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

// Kind is a kind of request.
type Kind struct {
	Name     string `json:"name"`
	Priority int    `json:"priority"`
	// Worth is what an answer on time earns, LateWorth a later one.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
	// PerSecond is the rate, Clump how many arrive at the same moment.
	PerSecond   float64 `json:"perSecond"`
	BurstSize   int     `json:"clump"`
	ObjectiveMs float64 `json:"objectiveMs"`
	LimitMs     float64 `json:"limitMs"`
	// Tokens is the length of the prompt, of which SharedTokens are a part that one request in
	// Subjects has too.
	Tokens       int     `json:"tokens"`
	SharedTokens int     `json:"sharedTokens"`
	SharedParts  int     `json:"subjects"`
	Stages       []Stage `json:"stages"`
}

// Stage is one stage of a kind. Pieces are drawn from 1 to twice the mean less 1; a request
// has the stage with a chance of Share, 0 meaning always.
type Stage struct {
	Service     string  `json:"service"`
	After       []int   `json:"after"`
	ResultBytes float64 `json:"resultBytes"`
	Pieces      float64 `json:"pieces"`
	Share       float64 `json:"share"`
}

// Event changes something for a time.
type Event struct {
	AtMs  float64 `json:"atMs"`
	ForMs float64 `json:"forMs"`
	// Kind is that of which Factor times as many arrive; empty for all.
	Kind   string  `json:"kind"`
	Factor float64 `json:"factor"`
	// Slow is an endpoint that takes Factor times as long; empty if there is none.
	Slow string `json:"slow"`
	// Replace is true when the coordinator is lost at that moment and another one begins
	// without its memory.
	Replace bool `json:"replace"`
}

// Load reads a pattern from a file.
func Load(path string) (Pattern, error) {
	file, err := os.Open(path)
	if err != nil {
		return Pattern{}, errors.Wrap(err, "pattern")
	}
	defer func() {
		// It was only read.
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

// check returns what is wrong with a pattern, with its place.
func (p Pattern) check() error {
	services := make(map[string]bool)
	for i, pool := range p.Pools {
		if pool.Service == "" || pool.Workers < 1 || pool.Batch < 1 || pool.ResultMemoryBytes <= 0 {
			return errors.Newf("pools[%d] needs a service, workers, a batch and room", i)
		}
		services[pool.Service] = true
	}
	if len(p.Zones) == 0 || p.Engines < 1 || p.DurationMs <= 0 || len(p.Kinds) == 0 {
		return errors.New("zones, engines, durationMs and kinds are needed")
	}
	for i, k := range p.Kinds {
		if k.Name == "" || k.PerSecond <= 0 || k.ObjectiveMs <= 0 || k.LimitMs < k.ObjectiveMs {
			return errors.Newf("kinds[%d] needs a name, a rate, an objective and a limit beyond it", i)
		}
		if k.SharedTokens > k.Tokens {
			return errors.Newf("kinds[%d] shares more tokens than it has", i)
		}
		for n, s := range k.Stages {
			if !services[s.Service] || s.Pieces < 1 {
				return errors.Newf("kinds[%d].stages[%d] needs a service of the pools and pieces", i, n)
			}
			for _, before := range s.After {
				if before < 0 || before >= n {
					return errors.Newf("kinds[%d].stages[%d] comes after stage %d, which isn't an earlier one", i, n, before)
				}
			}
		}
	}
	for i, e := range p.Events {
		if !e.Replace && e.Factor <= 0 {
			return errors.Newf("events[%d] needs a factor", i)
		}
	}
	return nil
}

// scene returns the settings of the scene.
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

// order returns a request of a kind; draw returns numbers from 0 to 1.
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
	// linkLatency is the middle of the ways between VMs on the users' sheets.
	linkLatency = 5 * time.Millisecond
	// retrySlack is the free repeats in ten seconds on the users' sheets.
	retrySlack = 54
	// outputTokens is the length of an answer; it only takes memory at the engine.
	outputTokens = 50
)

func millis(n float64) time.Duration {
	return time.Duration(n * float64(time.Millisecond))
}
