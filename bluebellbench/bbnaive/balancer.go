// Package bbnaive is the baseline that the system is measured against: each caller
// goes to the endpoints itself, round robin over those that are live, and tries a
// failed stage again up to three times. There is no ownership, no fairness and no
// difference between calls that may be repeated and others.
package bbnaive

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"

	"github.com/cockroachdb/errors"
)

const (
	// retries is how often a failed stage is tried again.
	maxRetries = 3
	// pollInterval is the time between two looks at the platform.
	pollInterval = time.Second
	// idleConnections bounds the idle connections to one endpoint.
	idleConnections = 256
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 8 << 20
)

// Balancer sends requests. Its methods may be called from any goroutine.
type Balancer struct {
	platform string
	http     *http.Client

	mu sync.Mutex
	// rules and live are from the last look at the platform.
	rules *bbrule.Index
	live  map[string]bool
	// turns counts the picks by service and model.
	pickCounts map[target]int
	// requests counts the requests, for their ids.
	requests int
}

// target is what a stage needs: a service, and a model if it is an engine.
type target struct {
	service string
	model   string
}

// Start reads the platform at host:port and goes on reading it. The clean-up function
// ends that and closes the connections.
func Start(platform string) (*Balancer, func(), error) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
	}
	b := &Balancer{
		platform:   platform,
		http:       &http.Client{Transport: transport},
		pickCounts: map[target]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	if err := b.poll(ctx); err != nil {
		cancel()
		return nil, nil, err
	}
	go b.pollLoop(ctx)
	cleanup := func() {
		cancel()
		transport.CloseIdleConnections()
	}
	return b, cleanup, nil
}

// follow looks at the platform until the context ends; what it can't read stays.
func (b *Balancer) pollLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = b.poll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// poll takes in the rules and the members.
func (b *Balancer) poll(ctx context.Context) error {
	var rules bbmsg.RulesText
	if err := b.getJSON(ctx, "/v1/rules", &rules); err != nil {
		return err
	}
	var members bbmsg.MemberList
	if err := b.getJSON(ctx, "/v1/members", &members); err != nil {
		return err
	}
	set, findings := bbrule.Parse(rules.Text)
	if len(findings) > 0 {
		return errors.Newf("rules: %d findings", len(findings))
	}
	live := map[string]bool{}
	for _, m := range members.Members {
		live[m.Name] = !m.Leaving
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rules = bbrule.NewIndex(set)
	b.live = live
	return nil
}

func (b *Balancer) getJSON(ctx context.Context, path string, value any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.platform+path, nil)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	answer, err := b.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("platform: %s: status %d", path, answer.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(answer.Body).Decode(value), "platform")
}

// pick returns the endpoint whose turn it is, or nil when none is live.
func (b *Balancer) pick(t target) *bbrule.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []*bbrule.Endpoint
	for _, e := range b.rules.ServiceEndpoints[t.service] {
		if e.Model == t.model && b.live[e.Name] && !b.rules.Domains[e.Domain].Out {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	turn := b.pickCounts[t]
	b.pickCounts[t]++
	return candidates[turn%len(candidates)]
}

// stages returns the stages of a request, nil when the rules don't know them.
func (b *Balancer) stages(pipeline, service, path string) []bbrule.Stage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if pipeline == "" {
		return []bbrule.Stage{{Service: service, Path: path}}
	}
	if p := b.rules.Pipelines[pipeline]; p != nil {
		return p.Stages
	}
	return nil
}

// newID returns the id of the next request.
func (b *Balancer) newID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	return "naive." + strconv.Itoa(b.requests)
}
