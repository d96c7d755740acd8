// Package bbplacement chooses the engine for a request by the prompt parts that engines
// keep, by the prompts that they still have to read, and by their memory. It counts its
// own grants at once, because the load that engines report is old when it arrives.
package bbplacement

import (
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
)

const (
	// readRate is the speed at which an engine reads a prompt, in tokens a second: that of
	// the engines on the users' sheets.
	prefillRate = 38400.0
	// memoryPart is the part of an engine's memory that grants may fill; the rest is for
	// requests of other VMs and for prompts that turn out longer.
	memoryUtilization = 0.9
	// neighbourCost is what each running request adds to the time of the next: some steps
	// with one more neighbour.
	concurrencyCost = 3 * time.Millisecond
	// failureCost is the time lost by a request that fails.
	failureCost = 3 * time.Second
	// coldCost is how much slower an endpoint is that has just started.
	coldCost = 150 * time.Millisecond
	// zoneCost keeps streams in the caller's failure domain where load is alike.
	zoneCost = 3 * time.Millisecond
	// regionCost is two round trips between regions, and bodyCost what a kilobyte of a body
	// between regions costs, as the delay of a request that is worth as much.
	regionCost = 48 * time.Millisecond
	bodyCost   = 2 * time.Millisecond
	// moveCost is what it costs to move a megabyte of inputs to another failure domain, and
	// rereadCost to read a thousand tokens again that another engine keeps, both as the
	// delay of a request that is worth as much. The users price them at about 1 to 3.
	moveCost      = 25 * time.Millisecond
	recomputeCost = 80 * time.Millisecond
	// rereadWindow is how long after its last use a part counts as kept: the users price
	// readings again within about nine seconds.
	recomputeWindow = 10 * time.Second
	// startedAfter is when a request counts as read though its origin said nothing.
	assumeStartedAfter = 3 * time.Second
	// forgetAfter is when a grant of which nothing was heard no longer counts.
	runExpiry = 30 * time.Second
)

// Need is what a request asks of an engine.
type Need struct {
	Job    string
	Prompt bbjob.Prompt
	Zone   string
	// Far tells whether a failure domain is in another region than the caller.
	OtherRegion func(zone string) bool
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// Inputs has the bytes of the inputs by the failure domain where they are.
	Inputs map[string]float64
	// Allowed tells whether a failure domain may be used.
	Allowed func(zone string) bool
	// Avoid are endpoints at which an earlier try ended.
	Avoid []string
	// Watched requests may have crashed an engine and get one where no other of them begins.
	Watched bool
	// Alone requests may have crashed several and get one that runs nothing else. Until they have
	// begun it gets nothing else either.
	Alone bool
}

// Endpoint is an engine that may get work.
type Endpoint struct {
	ID, Address, Zone string
	// Cold engines carry only a little.
	Cold bool
}

// Pace bounds the grants to one engine.
type RateLimit struct {
	// PerSecond is the rate of grants; 0 means no limit.
	PerSecond float64
	// Burst is how many may follow each other at once.
	Burst float64
	// Cold is false when cold engines get nothing.
	AllowCold bool
}

const (
	// fullBurst bounds the grants to an engine that may be cold.
	majorityBurst = 3.0
	// loneBurst is the burst when this VM may not be the only coordinator.
	minorityBurst = 1.0
)

// PaceOf returns how fast one engine of a service may get requests. Warm engines are paced
// too, because they may turn cold at any moment and tell it later. A coordinator that doesn't
// reach most VMs may not be the only one.
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
	started       bool
	// watched and alone are those of the need.
	watched, alone bool
}

// engine is what is remembered of an endpoint.
type engine struct {
	runs   map[string]*run
	cache  prefixCache
	health bbhealth.Record
	// tokens is the memory of all runs.
	tokens float64
	// bucket has the grants that may be made at once, as of bucketAt.
	bucket      float64
	bucketAt    time.Duration
	bucketReady bool
}

// Table has the engines of one service.
type Table struct {
	Spec    bbcatalog.Engine
	engines map[string]*engine
	// used has when each part was last granted to any engine.
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

// Choose returns the best engine for a request and counts the grant; false if none may
// have it now.
func (t *Table) Choose(now time.Duration, n Need, endpoints []Endpoint, pace RateLimit) (Endpoint, bool) {
	best := -1
	var bestCost time.Duration
	need := float64(n.Prompt.Tokens + n.Prompt.Output)
	for i, e := range endpoints {
		g := t.engine(e.ID)
		if avoided(n.Avoid, e.ID) || !n.Allowed(e.Zone) || g.health.Paused(now) {
			continue
		}
		if e.Cold && !pace.AllowCold || !g.mayStart(now, pace) {
			continue
		}
		g.expire(now)
		if !g.isolates(n) {
			continue
		}
		if len(g.runs) >= max(1, t.Spec.Slots) || (len(g.runs) > 0 && g.tokens+need > memoryUtilization*t.Spec.Tokens) {
			continue
		}
		cost := t.cost(now, g, e, n)
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

// cost is the time until the first token, with what is lost elsewhere added.
func (t *Table) cost(now time.Duration, g *engine, e Endpoint, n Need) time.Duration {
	unread := float64(n.Prompt.Tokens) - g.cache.prefix(n.Prompt)
	for _, r := range g.runs {
		unread += r.pendingPrefill(now)
	}
	cost := time.Duration(unread/prefillRate*float64(time.Second)) + time.Duration(len(g.runs))*concurrencyCost
	cost += RecomputeCost(int(t.recomputedTokens(now, g, n.Prompt)))
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

// FarCost is the cost of an engine in another region than the caller, for a body of a size.
func CrossRegionCost(bodyBytes int) time.Duration {
	return regionCost + time.Duration(bodyBytes/1000)*bodyCost
}

// RereadCost is the cost of reading some tokens again that another engine keeps.
func RecomputeCost(tokens int) time.Duration {
	return time.Duration(float64(tokens) / 1000 * float64(recomputeCost))
}

// reread returns the tokens of a prompt that an engine would read though another one kept
// them.
func (t *Table) recomputedTokens(now time.Duration, g *engine, p bbjob.Prompt) float64 {
	tokens := 0.0
	kept := g.cache.parts(p)
	for _, part := range p.Parts[kept:] {
		at, ok := t.lastUsed[partKey{
			model: p.Model,
			id:    part.ID,
		}]
		if ok && now-at <= recomputeWindow {
			tokens += float64(part.Tokens)
		}
	}
	return tokens
}

// Outlook returns the failure domain of the engine that would be chosen for a request that came
// now, and the time until its first token; an empty one and a long time if there is no engine.
func (t *Table) EstimateFirstToken(now time.Duration, n Need, endpoints []Endpoint) (zone string, wait time.Duration) {
	found := false
	for _, e := range endpoints {
		g := t.engine(e.ID)
		if !n.Allowed(e.Zone) || g.health.Paused(now) {
			continue
		}
		if cost := t.cost(now, g, e, n); !found || cost < wait {
			found, zone, wait = true, e.Zone, cost
		}
	}
	if !found {
		return "", runExpiry
	}
	return zone, wait
}

// Tidy forgets parts that were not used for long and engines that are no longer listed and
// run nothing.
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

// grant counts a request at an engine.
func (t *Table) grant(now time.Duration, id string, n Need, need float64) {
	g := t.engine(id)
	g.bucket--
	g.runs[n.Job] = &run{
		tokens:        need,
		prefillTokens: float64(n.Prompt.Tokens) - g.cache.prefix(n.Prompt),
		at:            now,
		watched:       n.Watched,
		alone:         n.Alone,
	}
	g.tokens += need
	g.cache.add(n.Prompt, t.Spec.Tokens-g.tokens)
	for _, part := range n.Prompt.Parts {
		t.lastUsed[partKey{
			model: n.Prompt.Model,
			id:    part.ID,
		}] = now
	}
}

// Running returns the number of requests that an engine was granted and that have not ended.
func (t *Table) Running(id string) int {
	return len(t.engine(id).runs)
}

// Started notes that an engine has read a request's prompt.
func (t *Table) Started(id, job string) {
	if r := t.engine(id).runs[job]; r != nil {
		r.started = true
	}
}

// Ended notes that a request no longer runs at an engine.
func (t *Table) Ended(now time.Duration, id, job string, o bbhealth.Outcome) {
	g := t.engine(id)
	g.health.Observe(now, o)
	if r := g.runs[job]; r != nil {
		g.tokens -= r.tokens
		delete(g.runs, job)
	}
	if o == bbhealth.OutcomeUnreachable || o == bbhealth.OutcomeMoved {
		g.cache = prefixCache{}
	}
}

func (t *Table) engine(id string) *engine {
	g := t.engines[id]
	if g == nil {
		g = &engine{
			runs: make(map[string]*run),
		}
		t.engines[id] = g
	}
	return g
}

// mayStart tells whether the pace allows one more grant.
func (g *engine) mayStart(now time.Duration, p RateLimit) bool {
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

// isolates tells whether a request may go to an engine without sharing the blame for a crash: one
// that may have crashed engines does so, if at all, when it begins.
func (g *engine) isolates(n Need) bool {
	if n.Alone && len(g.runs) > 0 {
		return false
	}
	for _, r := range g.runs {
		if !r.started && (r.alone || r.watched && n.Watched) {
			return false
		}
	}
	return true
}

// expire drops runs of which nothing was heard for long.
func (g *engine) expire(now time.Duration) {
	for job, r := range g.runs {
		if now-r.at > runExpiry {
			g.tokens -= r.tokens
			delete(g.runs, job)
		}
	}
}

// waiting is the part of a run's prompt that is still to be read.
func (r *run) pendingPrefill(now time.Duration) float64 {
	if r.started || now-r.at > assumeStartedAfter {
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
