// Package bbroute chooses the endpoint for a stage at the home of its request. The
// choice is based on digests that the owners of endpoints sent some time ago; the owner
// decides whether an endpoint gets another request, and after a refusal the home chooses
// again.
//
// Requests of a session go to the endpoint that wins the rendezvous hash of the
// session, so that its prefix cache is used, as long as the load of that endpoint
// stays within a bound. Other requests take the better of two random choices, so
// that homes with the same stale digests don't all pick the same endpoint. Both stay
// close to the home while there is spare capacity: in its failure domain, then in its
// region.
package bbroute

import (
	"time"

	"bluebellhall/core/bbmsg"
)

const (
	// staleAfter is the age from which the state and load in a digest are not trusted.
	staleAfter = 3 * time.Second
	// coldWeightDivisor is the weight of a slot of a warm endpoint relative to a slot of a
	// cold one. It also is the inverse of the share of a session's requests that go to the
	// session's own endpoint while that is cold.
	coldWeightDivisor = 8
	// spillNumerator / spillDenominator is the part of the window below which an
	// endpoint has headroom.
	spillNumerator   = 4
	spillDenominator = 5
	// boundNumerator / boundDenominator is the bound on the load per slot of a session's
	// endpoint, relative to the mean, when no endpoint has headroom.
	boundNumerator   = 5
	boundDenominator = 4
	// defaultServiceMillis is used while no service time is known.
	defaultServiceMillis = 100
	bytesPerGigabyte     = 1e9
)

// Candidate is one endpoint of the service as the home sees it.
type Candidate struct {
	// Name is the endpoint's name and Hash is bbhash.Name of it.
	Name string
	Hash uint64
	// Domain and Region are the location of the endpoint.
	Domain string
	Region string
	// Owner is the entry VM that owns the endpoint; OwnerAlive is false while the home
	// regards it as lost.
	Owner      string
	OwnerAlive bool
	// Known is true when the owner has sent a digest; Digest is the latest, sent DigestAge ago.
	Known     bool
	Digest    bbmsg.EndpointDigest
	DigestAge time.Duration
	// InFlight counts this home's attempts on the endpoint; SentSinceDigest counts those of
	// them that were sent after the digest was made.
	InFlight        int
	SentSinceDigest int
	// Out is true when the endpoint's failure domain was taken out by the rules.
	Out bool
	// Excluded is true when the request must not use the endpoint, for instance because an
	// attempt failed there.
	Excluded bool
}

// Query describes the stage for which an endpoint is chosen.
type Query struct {
	// Session is bbhash.Name of the session, 0 without one.
	Session uint64
	// Domain and Region are the location of the home.
	Domain string
	Region string
	// Model is the model that the endpoint must have loaded; empty for any.
	Model string
	// Bytes is the expected size of request and answer together.
	Bytes int64
	// ServiceMillis is the average service time of an endpoint; 0 if not known.
	ServiceMillis float64
	// Alone is true when the endpoint must not have other work.
	Alone bool
}

// Settings holds the costs of a choice. With the zero value only the load counts.
type Settings struct {
	// DomainMillis and RegionMillis are one-way delays between failure domains of a
	// region and between regions.
	DomainMillis float64
	RegionMillis float64
	// GigabyteMillis is the delay whose cost equals that of sending a gigabyte between
	// regions: the price of the gigabyte divided by the price of a millisecond.
	GigabyteMillis float64
}

// Verdict is whether an endpoint may be chosen, and why.
type Verdict uint8

// The verdicts on a candidate.
const (
	// VerdictWarm and VerdictCold may be chosen; a cold one gets few requests. An endpoint
	// in an unknown state or with a stale digest counts as cold.
	VerdictWarm Verdict = iota
	VerdictCold
	// VerdictExcluded and the following may not be chosen.
	VerdictExcluded
	VerdictOwnerLost
	VerdictNoDigest
	VerdictLeaving
	VerdictOut
	VerdictWindowClosed
	VerdictModel
	VerdictNotIdle
	verdicts
)

// String returns a short text for operators.
func (v Verdict) String() string {
	texts := [verdicts]string{
		VerdictWarm:         "warm",
		VerdictCold:         "cold, gets little",
		VerdictExcluded:     "excluded for this request",
		VerdictOwnerLost:    "owner does not answer",
		VerdictNoDigest:     "owner has sent no digest",
		VerdictLeaving:      "leaving",
		VerdictOut:          "failure domain is out",
		VerdictWindowClosed: "window is closed",
		VerdictModel:        "another model is loaded",
		VerdictNotIdle:      "carries other work",
	}
	return texts[v]
}

// assessment is what the choice considers of a candidate.
type assessment struct {
	verdict Verdict
	// nearness is 2 in the home's failure domain, 1 in its region, 0 elsewhere.
	nearness uint8
	// load is the number of requests in flight, queued or on their way; window is the limit
	// on those in flight.
	load   int
	window int
	// scoreMillis is the expected delay, with costs converted to delay; lower is better.
	scoreMillis float64
}

// eligible returns whether the endpoint may be chosen.
func (a *assessment) eligible() bool { return a.verdict <= VerdictCold }

// hasHeadroom returns whether the load is low enough that the endpoint needs no fallback.
func (a *assessment) hasHeadroom() bool {
	return a.load*spillDenominator < a.window*spillNumerator
}

// weight returns the relative probability of drawing the endpoint when it offers a number
// of slots.
func (a *assessment) weight(slots int) int {
	if a.verdict == VerdictCold {
		return max(slots, 1)
	}
	return max(slots, 1) * coldWeightDivisor
}

// assess returns the assessment of a candidate for a query.
func (r *Router) assess(q *Query, c *Candidate) assessment {
	a := assessment{
		verdict:  verdict(q, c),
		nearness: nearness(q, c),
		load:     c.Digest.InFlight + c.Digest.Queued + c.SentSinceDigest,
		window:   c.Digest.Window,
	}
	if a.eligible() {
		a.scoreMillis = r.score(q, c, &a)
	}
	return a
}

func verdict(q *Query, c *Candidate) Verdict {
	switch {
	case c.Out:
		return VerdictOut
	case c.Excluded:
		return VerdictExcluded
	case !c.OwnerAlive:
		return VerdictOwnerLost
	case !c.Known:
		return VerdictNoDigest
	case c.Digest.State == bbmsg.StateLeaving:
		return VerdictLeaving
	case c.Digest.State == bbmsg.StateOut:
		return VerdictOut
	case c.Digest.Window <= 0:
		return VerdictWindowClosed
	case q.Model != "" && c.Digest.Model != "" && c.Digest.Model != q.Model:
		return VerdictModel
	case q.Alone && c.Digest.InFlight+c.Digest.Queued+c.InFlight > 0:
		return VerdictNotIdle
	}
	started := c.Digest.State == bbmsg.StateWarm || c.Digest.State == bbmsg.StateWarming
	if !started || c.DigestAge > staleAfter {
		return VerdictCold
	}
	return VerdictWarm
}

func nearness(q *Query, c *Candidate) uint8 {
	switch {
	case c.Region != q.Region:
		return 0
	case c.Domain != q.Domain:
		return 1
	default:
		return 2
	}
}

// score returns the expected delay of the request on the endpoint, plus the cost of
// transfer between regions converted to delay.
func (r *Router) score(q *Query, c *Candidate, a *assessment) float64 {
	service := q.ServiceMillis
	if service <= 0 {
		service = defaultServiceMillis
	}
	perSlot := service / float64(a.window)
	score := perSlot * float64(a.load)
	if a.load >= a.window {
		score += float64(c.Digest.WaitMillis) + perSlot*float64(c.SentSinceDigest)
	}
	switch a.nearness {
	case 0:
		score += 2*r.Settings.RegionMillis + float64(q.Bytes)/bytesPerGigabyte*r.Settings.GigabyteMillis
	case 1:
		score += 2 * r.Settings.DomainMillis
	}
	return score
}
