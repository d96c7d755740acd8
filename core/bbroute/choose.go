package bbroute

import (
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
)

// Router chooses endpoints. It is not safe for concurrent use.
type Router struct {
	// Settings holds the current costs.
	Settings Settings
	// Random returns uniformly distributed numbers.
	Random func() uint64
	// assessments is the buffer for one choice, reused to save allocations.
	assessments []assessment
}

// Cause is the rule that decided a choice.
type Cause uint8

// The causes of a choice.
const (
	// CauseNone means that no endpoint may be chosen.
	CauseNone Cause = iota
	CauseSession
	CauseSessionSpill
	CauseColdTrial
	CauseDomain
	CauseRegion
	CauseOtherRegion
	CauseSaturated
	CauseAllCold
	CauseAlone
	causes
)

// String returns a short text for operators.
func (c Cause) String() string {
	texts := [causes]string{
		CauseNone:         "no endpoint may take it",
		CauseSession:      "the session's own endpoint",
		CauseSessionSpill: "the session's own endpoint is busy or gone; next in its order",
		CauseColdTrial:    "the session's own endpoint is cold and gets a few requests to warm up",
		CauseDomain:       "better of two with room in the failure domain",
		CauseRegion:       "better of two with room in the region",
		CauseOtherRegion:  "the region is full; another region costs less than the wait",
		CauseSaturated:    "no room to spare anywhere near; shortest expected delay",
		CauseAllCold:      "all endpoints near are cold",
		CauseAlone:        "idle endpoint for a request that has to run alone",
	}
	return texts[c]
}

// Choice is the endpoint chosen, with the cause of the choice.
type Choice struct {
	// Index is the position among the candidates, -1 when no endpoint was chosen.
	Index int
	Cause Cause
	// Reason is why no endpoint was chosen, for the refusal.
	Reason bbmsg.Reason
}

// pool is a subset of the candidates from which an endpoint is drawn.
type pool uint8

const (
	// poolDomain, poolRegion and poolOther contain the endpoints with headroom in the
	// home's failure domain, in its region and in other regions.
	poolDomain pool = iota
	poolRegion
	poolOther
	// poolNear contains all eligible endpoints of the region, poolAny those of all regions.
	poolNear
	poolAny
)

// contains returns whether a candidate belongs to the pool.
func (p pool) contains(a *assessment) bool {
	if !a.eligible() {
		return false
	}
	switch p {
	case poolDomain:
		return a.nearness == 2 && a.hasHeadroom()
	case poolRegion:
		return a.nearness >= 1 && a.hasHeadroom()
	case poolOther:
		return a.nearness == 0 && a.hasHeadroom()
	case poolNear:
		return a.nearness >= 1
	default:
		return true
	}
}

// slots returns how many slots a member of the pool offers: the free ones in the pools of
// endpoints with headroom, all slots in the others.
func (p pool) slots(a *assessment) int {
	if p <= poolOther {
		return a.window - a.load
	}
	return a.window
}

// Choose returns the endpoint for a stage.
func (r *Router) Choose(q *Query, candidates []Candidate) Choice {
	r.assessments = r.assessments[:0]
	for i := range candidates {
		r.assessments = append(r.assessments, r.assess(q, &candidates[i]))
	}
	choice := r.choose(q, candidates)
	if choice.Index < 0 {
		choice.Reason = r.refusal()
	}
	return choice
}

func (r *Router) choose(q *Query, candidates []Candidate) Choice {
	if q.Alone {
		return r.chooseAlone()
	}
	if q.Session != 0 {
		if choice := r.chooseSession(q, candidates); choice.Index >= 0 {
			return choice
		}
	}
	if r.hasWarm(poolDomain) {
		return Choice{Index: r.betterOfTwo(poolDomain), Cause: CauseDomain}
	}
	if r.hasWarm(poolRegion) {
		return Choice{Index: r.betterOfTwo(poolRegion), Cause: CauseRegion}
	}
	near := r.betterOfTwo(poolNear)
	if near < 0 {
		return r.chooseAnyRegion()
	}
	why := CauseSaturated
	if !r.hasWarm(poolNear) {
		why = CauseAllCold
	}
	return r.preferOtherRegion(Choice{Index: near, Cause: why})
}

// chooseAnyRegion chooses among all regions when the home's own has no eligible endpoint.
func (r *Router) chooseAnyRegion() Choice {
	if r.hasWarm(poolOther) {
		return Choice{Index: r.betterOfTwo(poolOther), Cause: CauseOtherRegion}
	}
	far := r.betterOfTwo(poolAny)
	if far < 0 {
		return Choice{Index: -1}
	}
	return Choice{Index: far, Cause: CauseSaturated}
}

// preferOtherRegion replaces a choice in a region without headroom when an endpoint of
// another region has headroom and a lower score.
func (r *Router) preferOtherRegion(near Choice) Choice {
	if !r.hasWarm(poolOther) {
		return near
	}
	other := r.betterOfTwo(poolOther)
	if r.assessments[other].scoreMillis < r.assessments[near.Index].scoreMillis {
		return Choice{Index: other, Cause: CauseOtherRegion}
	}
	return near
}

// chooseAlone returns the idle endpoint whose loss would cost least: a cold one if there
// is one, and among equals the one with the lowest score.
func (r *Router) chooseAlone() Choice {
	best := -1
	for i := range r.assessments {
		a := &r.assessments[i]
		if !a.eligible() {
			continue
		}
		if best < 0 || r.cheaperLoss(a, &r.assessments[best]) {
			best = i
		}
	}
	if best < 0 {
		return Choice{Index: -1}
	}
	return Choice{Index: best, Cause: CauseAlone}
}

func (r *Router) cheaperLoss(a, b *assessment) bool {
	if a.verdict != b.verdict {
		return a.verdict == VerdictCold
	}
	return a.scoreMillis < b.scoreMillis
}

// chooseSession returns the first endpoint of the region, in the session's rendezvous
// order, that has headroom, or if none has, the first whose load is within the bound. Cold
// endpoints are considered only if the region has no warm one. The exception is a cold
// endpoint with headroom that is first in the session's order: it gets one request in
// coldWeightDivisor, at random.
func (r *Router) chooseSession(q *Query, candidates []Candidate) Choice {
	base := VerdictWarm
	if !r.hasWarm(poolNear) {
		base = VerdictCold
	}
	load, window := r.totals(base)
	if window == 0 {
		return Choice{Index: -1}
	}
	var first, spare, bounded bestCandidate
	for i := range r.assessments {
		a := &r.assessments[i]
		if !poolNear.contains(a) {
			continue
		}
		score := bbhash.Score(candidates[i].Hash, q.Session)
		first.consider(i, score)
		if a.verdict == base && a.hasHeadroom() {
			spare.consider(i, score)
		}
		if a.verdict == base && withinBound(a, load, window) {
			bounded.consider(i, score)
		}
	}
	top := &r.assessments[first.index]
	if top.verdict != base && top.hasHeadroom() && r.Random()%coldWeightDivisor == 0 {
		return Choice{Index: first.index, Cause: CauseColdTrial}
	}
	best := bounded
	if spare.set {
		best = spare
	}
	choice := Choice{Index: best.index, Cause: CauseSession}
	if best.index != first.index {
		choice.Cause = CauseSessionSpill
	}
	if a := &r.assessments[best.index]; a.load >= a.window {
		return r.preferOtherRegion(choice)
	}
	return choice
}

// bestCandidate is the candidate with the highest rendezvous score so far.
type bestCandidate struct {
	index int
	score uint64
	// set is false before the first call of consider.
	set bool
}

func (b *bestCandidate) consider(index int, score uint64) {
	if !b.set || score > b.score {
		*b = bestCandidate{
			index: index,
			score: score,
			set:   true,
		}
	}
}

// totals returns the sums of load and window over the region's endpoints with a verdict.
func (r *Router) totals(v Verdict) (load, window int) {
	for i := range r.assessments {
		a := &r.assessments[i]
		if a.verdict == v && poolNear.contains(a) {
			load += a.load
			window += a.window
		}
	}
	return load, window
}

// withinBound returns whether the load per slot of an endpoint is below the bound relative
// to the mean, where the mean includes the new request. load and window are sums over a set
// of endpoints, of which at least one is within the bound.
func withinBound(a *assessment, load, window int) bool {
	return a.load*window*boundDenominator < boundNumerator*(load+1)*a.window
}

// hasWarm returns whether a pool has a warm endpoint. A pool with only cold endpoints is
// not preferred to more distant pools, because its few endpoints would get all the work.
func (r *Router) hasWarm(p pool) bool {
	for i := range r.assessments {
		a := &r.assessments[i]
		if a.verdict == VerdictWarm && p.contains(a) {
			return true
		}
	}
	return false
}

// betterOfTwo draws two members of a pool by weight and returns the one with the
// lower score, or -1 for an empty pool.
func (r *Router) betterOfTwo(p pool) int {
	total := r.totalWeight(p)
	if total == 0 {
		return -1
	}
	first := r.draw(p, total, -1)
	a := &r.assessments[first]
	rest := total - a.weight(p.slots(a))
	if rest == 0 {
		return first
	}
	second := r.draw(p, rest, first)
	if r.assessments[second].scoreMillis < a.scoreMillis {
		return second
	}
	return first
}

func (r *Router) totalWeight(p pool) int {
	total := 0
	for i := range r.assessments {
		if a := &r.assessments[i]; p.contains(a) {
			total += a.weight(p.slots(a))
		}
	}
	return total
}

// draw returns a member of the pool other than skip, with a probability proportional to
// its weight. total is the sum of the weights of all members but skip.
func (r *Router) draw(p pool, total, skip int) int {
	left := int(r.Random() % uint64(total))
	for i := range r.assessments {
		a := &r.assessments[i]
		if i == skip || !p.contains(a) {
			continue
		}
		left -= a.weight(p.slots(a))
		if left < 0 {
			return i
		}
	}
	return skip
}

// refusal returns the reason of the refusal when no endpoint may be chosen.
func (r *Router) refusal() bbmsg.Reason {
	var counts [verdicts]int
	for i := range r.assessments {
		counts[r.assessments[i].verdict]++
	}
	switch {
	case counts[VerdictWindowClosed]+counts[VerdictNotIdle] > 0:
		return bbmsg.ReasonColdWait
	case counts[VerdictOwnerLost]+counts[VerdictNoDigest] > 0:
		return bbmsg.ReasonOwnerGone
	case counts[VerdictOut] > 0 && counts[VerdictOut] == len(r.assessments):
		return bbmsg.ReasonDomainOut
	default:
		return bbmsg.ReasonNoEndpoint
	}
}
