// Package bbplacement chooses the engine for a request by the prompt prefixes in the engines' caches, by
// the prompts queued for prefill, and by the engines' memory. It counts its own grants immediately,
// because the load that engines report is stale when it arrives.
package bbplacement

import (
	"slices"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
)

const (
	// prefillRate is the speed at which an engine processes a prompt, in tokens per second: that of the
	// engines in the deployment specifications.
	prefillRate = 38400.0
	// memoryUtilization is the fraction of an engine's memory that grants may fill; the rest is for
	// requests granted by other VMs and for prompts that turn out longer.
	memoryUtilization = 0.9
	// concurrencyCost is what each running request adds to the time of the next one: some decoding
	// steps in a batch larger by one.
	concurrencyCost = 3 * time.Millisecond
	// failureCost is the time lost by a request that fails.
	failureCost = 3 * time.Second
	// coldCost is the extra time that an engine needs which has just started.
	coldCost = 150 * time.Millisecond
	// zoneCost keeps streams in the caller's failure domain when engines are equally loaded.
	zoneCost = 3 * time.Millisecond
	// regionCost is two round trips between regions. bodyCost is the cost of sending a kilobyte of a body
	// between regions, expressed as the request delay of equal cost.
	regionCost = 48 * time.Millisecond
	bodyCost   = 2 * time.Millisecond
	// moveCost is the cost of moving a megabyte of inputs to another failure domain, recomputeCost that
	// of the prefill of a thousand tokens that another engine has cached, both expressed as the request
	// delay of equal cost. The users price them at about 1 to 3.
	moveCost      = 25 * time.Millisecond
	recomputeCost = 80 * time.Millisecond
	// recomputeWindow is how long after its last use a part counts as cached by some engine: the users
	// charge for a repeated prefill within about nine seconds.
	recomputeWindow = 10 * time.Second
	// assumeStartedAfter is when a request's prefill counts as done although its origin reported nothing.
	assumeStartedAfter = 3 * time.Second
	// runExpiry is when a grant without any report is dropped.
	runExpiry = 30 * time.Second
)

// Need is what a request requires of an engine.
type Need struct {
	Job    string
	Prompt bbjob.Prompt
	Zone   string
	// Version is the version of the software that the engine must have; empty allows any.
	Version string
	// OtherRegion reports whether a failure domain is in another region than the caller.
	OtherRegion func(zone string) bool
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Inputs has the size of the inputs in bytes by the failure domain where they are stored.
	Inputs map[string]float64
	// Allowed reports whether a failure domain may be used.
	Allowed func(zone string) bool
	// Available reports whether an engine takes one more request now; nil if all do.
	Available func(id string) bool
	// Avoid are endpoints at which an earlier attempt ended.
	Avoid []string
	// Watched requests may have crashed an engine. They get an engine on which no other watched request
	// has yet to start.
	Watched bool
	// Alone requests may have crashed several engines. They get an engine that runs nothing else, and it
	// gets no other request until they have started.
	Alone bool
}

// Endpoint is an engine that may get work.
type Endpoint struct {
	ID, Address, Zone string
	// Cold engines take only a low rate of requests.
	Cold bool
	// Version is the version of the engine's software; empty if unknown.
	Version string
}

// suits reports whether an engine may get a request at all, whatever its load.
func (n Need) suits(e Endpoint) bool {
	return (n.Version == "" || n.Version == e.Version) && n.Allowed(e.Zone)
}

// SuitsAny reports whether one of the engines may get a request, whatever their load.
func (n Need) SuitsAny(endpoints []Endpoint) bool {
	return slices.ContainsFunc(endpoints, func(e Endpoint) bool { return n.suits(e) && !avoided(n.Avoid, e.ID) })
}

// RateLimit bounds the grants to one engine.
type RateLimit struct {
	// PerSecond is the rate of grants; 0 means no limit.
	PerSecond float64
	// Burst is how many grants may be made at once.
	Burst float64
	// AllowCold is false when cold engines get no requests.
	AllowCold bool
}

const (
	// majorityBurst is the burst to an engine that may be cold, while this VM reaches a majority.
	majorityBurst = 3.0
	// minorityBurst is the burst when this VM may not be the only coordinator.
	minorityBurst = 1.0
)

// RateLimitOf returns the rate limit for each engine of a service. It applies to warm engines too, because
// they may turn cold at any moment and report it late. A coordinator that doesn't reach a majority of the
// VMs may not be the only one, so it gets half the rate.
func RateLimitOf(s *bbcatalog.Service, majority bool) RateLimit {
	switch {
	case s == nil || s.ColdRate <= 0:
		return RateLimit{
			AllowCold: true,
		}
	case majority:
		return RateLimit{
			PerSecond: s.ColdRate,
			Burst:     majorityBurst,
			AllowCold: true,
		}
	}
	return RateLimit{
		PerSecond: s.ColdRate / 2,
		Burst:     minorityBurst,
	}
}

// run is a request that was granted an engine.
type run struct {
	tokens        float64
	prefillTokens float64
	at            time.Duration
	// watched and alone are copied from the Need.
	watched, alone bool
}

// engine is the state kept for one engine.
type engine struct {
	runs map[string]*run
	// unstarted are those runs whose prompts may not have been processed yet.
	unstarted map[string]*run
	cache     prefixCache
	health    bbhealth.Record
	// tokens is the memory reserved for all runs, in tokens.
	tokens float64
	// bucket is the token bucket of the rate limit: the grants that may be made at once, as of bucketAt.
	bucket      float64
	bucketAt    time.Duration
	bucketReady bool
}

// Table holds the engines of one service.
type Table struct {
	Spec bbcatalog.Engine
	// Examined counts the engines that decisions and estimates have looked at.
	Examined uint64
	engines  map[string]*engine
	// lastUsed has when each prompt part was last in a request granted to any engine.
	lastUsed map[partKey]time.Duration
}

// NewTable returns an empty table.
func NewTable(spec bbcatalog.Engine) *Table {
	return &Table{
		Spec:     spec,
		engines:  make(map[string]*engine),
		lastUsed: make(map[partKey]time.Duration),
	}
}

// Choose returns the engine with the lowest cost for a request and counts the grant; false if no engine
// may take the request now.
func (t *Table) Choose(now time.Duration, n Need, endpoints []Endpoint, limit RateLimit) (Endpoint, bool) {
	best := -1
	var bestCost time.Duration
	need := float64(n.Prompt.Tokens + n.Prompt.Output)
	t.Examined += uint64(len(endpoints))
	recent := t.recentTokens(now, n.Prompt)
	for i, e := range endpoints {
		g := t.engine(e.ID)
		if !n.suits(e) || avoided(n.Avoid, e.ID) || g.health.Paused(now) {
			continue
		}
		if n.Available != nil && !n.Available(e.ID) {
			continue
		}
		if e.Cold && !limit.AllowCold || !g.allowsGrant(now, limit) {
			continue
		}
		if !g.isolates(n) {
			continue
		}
		if len(g.runs) >= max(1, t.Spec.Slots) || (len(g.runs) > 0 && g.tokens+need > memoryUtilization*t.Spec.Tokens) {
			continue
		}
		cost := t.cost(now, g, e, n, recent)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Endpoint{}, false
	}
	t.grant(now, endpoints[best].ID, n, need)
	return endpoints[best], true
}

// cost is the expected time to first token, plus the cost of recomputation, failures and data transfer. Recent
// is the result of recentTokens for the prompt.
func (t *Table) cost(now time.Duration, g *engine, e Endpoint, n Need, recent []float64) time.Duration {
	kept := g.cache.parts(n.Prompt)
	unread := float64(n.Prompt.Tokens) - n.Prompt.Prefix(kept)
	for _, r := range g.unstarted {
		unread += r.pendingPrefill(now)
	}
	cost := time.Duration(unread/prefillRate*float64(time.Second)) + time.Duration(len(g.runs))*concurrencyCost
	recomputed := 0.0
	for _, tokens := range recent[kept:] {
		recomputed += tokens
	}
	cost += RecomputeCost(int(recomputed))
	cost += time.Duration(g.health.Failures(now) * float64(failureCost))
	if e.Cold {
		cost += coldCost
	}
	switch {
	case n.OtherRegion(e.Zone):
		cost += CrossRegionCost(n.BodyBytes)
	case e.Zone != n.Zone:
		cost += zoneCost
	}
	for zone, bytes := range n.Inputs {
		if zone != e.Zone {
			cost += time.Duration(bytes / 1e6 * float64(moveCost))
		}
	}
	return cost
}

// CrossRegionCost is the cost of an engine in another region than the caller's, for a body of a size.
func CrossRegionCost(bodyBytes int) time.Duration {
	return regionCost + time.Duration(bodyBytes/1000)*bodyCost
}

// RecomputeCost is the cost of the prefill of tokens that another engine has cached.
func RecomputeCost(tokens int) time.Duration {
	return time.Duration(float64(tokens) / 1000 * float64(recomputeCost))
}

// recentTokens returns the tokens of each part of a prompt that some engine has cached, and 0 for the others.
func (t *Table) recentTokens(now time.Duration, p bbjob.Prompt) []float64 {
	tokens := make([]float64, len(p.Parts))
	for i, part := range p.Parts {
		at, ok := t.lastUsed[partKey{
			model: p.Model,
			id:    part.ID,
		}]
		if ok && now-at <= recomputeWindow {
			tokens[i] = float64(part.Tokens)
		}
	}
	return tokens
}

// EstimateFirstToken returns the failure domain of the engine with the lowest cost for a request that
// arrived now, and that cost as a time; an empty one and runExpiry if there is no engine.
func (t *Table) EstimateFirstToken(now time.Duration, n Need, endpoints []Endpoint) (zone string, wait time.Duration) {
	found := false
	t.Examined += uint64(len(endpoints))
	recent := t.recentTokens(now, n.Prompt)
	for _, e := range endpoints {
		g := t.engine(e.ID)
		if !n.suits(e) || g.health.Paused(now) {
			continue
		}
		if cost := t.cost(now, g, e, n, recent); !found || cost < wait {
			found, zone, wait = true, e.Zone, cost
		}
	}
	if !found {
		return "", runExpiry
	}
	return zone, wait
}

// EvictStale drops parts that were not used within recomputeWindow, and engines that are no longer listed
// and run nothing.
func (t *Table) EvictStale(now time.Duration, listed []Endpoint) {
	for key, at := range t.lastUsed {
		if now-at > recomputeWindow {
			delete(t.lastUsed, key)
		}
	}
	present := make(map[string]bool, len(listed))
	for _, e := range listed {
		present[e.ID] = true
	}
	for id, g := range t.engines {
		g.expire(now)
		if !present[id] && len(g.runs) == 0 {
			delete(t.engines, id)
		}
	}
}

// grant counts a request at an engine: its rate limit, memory and prefix cache.
func (t *Table) grant(now time.Duration, id string, n Need, need float64) {
	g := t.engine(id)
	g.bucket--
	r := &run{
		tokens:        need,
		prefillTokens: float64(n.Prompt.Tokens) - n.Prompt.Prefix(g.cache.parts(n.Prompt)),
		at:            now,
		watched:       n.Watched,
		alone:         n.Alone,
	}
	g.runs[n.Job] = r
	g.unstarted[n.Job] = r
	g.tokens += need
	g.cache.add(n.Prompt, t.Spec.Tokens-g.tokens)
	for _, part := range n.Prompt.Parts {
		t.lastUsed[partKey{
			model: n.Prompt.Model,
			id:    part.ID,
		}] = now
	}
}

// Running returns the number of requests that were granted to an engine and have not ended.
func (t *Table) Running(id string) int {
	return len(t.engine(id).runs)
}

// Started records that an engine has finished the prefill of a request.
func (t *Table) Started(id, job string) {
	delete(t.engine(id).unstarted, job)
}

// Ended records that a request no longer runs at an engine. The prefix cache counts as lost if the engine
// was unreachable or replaced at its address.
func (t *Table) Ended(now time.Duration, id, job string, o bbhealth.Outcome) {
	g := t.engine(id)
	g.health.Observe(now, o)
	if r := g.runs[job]; r != nil {
		g.remove(job, r)
	}
	if o == bbhealth.OutcomeUnreachable || o == bbhealth.OutcomeMoved {
		g.cache = prefixCache{}
	}
}

func (t *Table) engine(id string) *engine {
	g := t.engines[id]
	if g == nil {
		g = &engine{
			runs:      make(map[string]*run),
			unstarted: make(map[string]*run),
		}
		t.engines[id] = g
	}
	return g
}

// allowsGrant reports whether the rate limit allows one more grant.
func (g *engine) allowsGrant(now time.Duration, p RateLimit) bool {
	if p.PerSecond <= 0 {
		return true
	}
	if !g.bucketReady {
		g.bucketReady = true
		g.bucket = p.Burst
		g.bucketAt = now
	}
	g.bucket = min(p.Burst, g.bucket+(now-g.bucketAt).Seconds()*p.PerSecond)
	g.bucketAt = now
	return g.bucket >= 1
}

// isolates reports whether a request can go to an engine so that a crash can be attributed to one request:
// a request that crashes engines, if it does, crashes them when it starts.
func (g *engine) isolates(n Need) bool {
	if n.Alone && len(g.runs) > 0 {
		return false
	}
	for _, r := range g.unstarted {
		if r.alone || r.watched && n.Watched {
			return false
		}
	}
	return true
}

// expire drops runs without any report for longer than runExpiry.
func (g *engine) expire(now time.Duration) {
	for job, r := range g.runs {
		if now-r.at > runExpiry {
			g.remove(job, r)
		}
	}
}

// remove removes a run.
func (g *engine) remove(job string, r *run) {
	g.tokens -= r.tokens
	delete(g.runs, job)
	delete(g.unstarted, job)
}

// pendingPrefill returns the tokens of a run's prompt that are still to be processed.
func (r *run) pendingPrefill(now time.Duration) float64 {
	if now-r.at > assumeStartedAfter {
		return 0
	}
	return r.prefillTokens
}

func avoided(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}
