// Package bbroute chooses the endpoint for a stage at the home of its request. The
// choice works on digests that the owners of endpoints sent some time ago; the owner
// decides whether an endpoint takes one more, and the home then chooses again.
//
// Requests of a session go to the endpoint that wins the rendezvous hash of the
// session, so that its prefix cache is used, as long as the load of that endpoint
// stays within a bound. Other requests take the better of two random choices, so
// that homes with the same stale digests don't all pick the same endpoint. Both stay
// near the home while there is room: in its failure domain, then in its region.
package bbroute

import (
	"time"

	"bluebellhall/core/bbmsg"
)

const (
	// staleAfter is the age from which a digest's load is not trusted.
	staleAfter = 3 * time.Second
	// coldShare is the inverse of the weight of a cold endpoint's slot against a warm one's.
	coldWeightDivisor = 8
	// spillNumerator / spillDenominator is the part of the window below which an
	// endpoint counts as having room to spare.
	spillNumerator   = 4
	spillDenominator = 5
	// boundNumerator / boundDenominator is the load by window that a session's
	// endpoint may have relative to the mean when none has room to spare.
	boundNumerator   = 5
	boundDenominator = 4
	// defaultServiceMillis stands in while no service time is known.
	defaultServiceMillis = 100
	bytesPerGigabyte     = 1e9
)

// Candidate is one endpoint of the service as its home sees it.
type Candidate struct {
	// Name is the endpoint's and Hash is bbhash.Name of it.
	Name string
	Hash uint64
	// Domain and Region tell where the endpoint is.
	Domain string
	Region string
	// Owner is the entry VM that owns the endpoint; OwnerAlive is false while the
	// home has lost it.
	Owner      string
	OwnerAlive bool
	// Known is true when Digest holds what the owner sent, DigestAge ago.
	Known     bool
	Digest    bbmsg.EndpointDigest
	DigestAge time.Duration
	// InFlight counts this home's attempts on the endpoint; Since counts those of
	// them that were sent after the digest was made.
	InFlight        int
	SentSinceDigest int
	// Out is true when the endpoint's failure domain was taken out by the rules.
	Out bool
	// Excluded is true when the request must not go there, for instance because an
	// attempt failed there.
	Excluded bool
}

// Query describes the stage to place.
type Query struct {
	// Session is bbhash.Name of the session, 0 without one.
	Session uint64
	// Domain and Region are the home's.
	Domain string
	Region string
	// Model is the model that the endpoint must have loaded; empty for any.
	Model string
	// Bytes is the expected size of request and answer together.
	Bytes int64
	// ServiceMillis is the usual time on an endpoint; 0 if not known.
	ServiceMillis float64
	// Alone is true when the endpoint must carry nothing else.
	Alone bool
}

// Settings holds the costs that the choice weighs. The zero value weighs load only.
type Settings struct {
	// DomainMillis and RegionMillis are one-way delays between failure domains of a
	// region and between regions.
	DomainMillis float64
	RegionMillis float64
	// GigabyteMillis is the delay that is worth as much as sending a gigabyte between
	// regions: the price of the gigabyte by the price of a millisecond.
	GigabyteMillis float64
}

// Verdict tells whether an endpoint may be chosen.
type Verdict uint8

// The verdicts on a candidate.
const (
	// VerdictWarm and VerdictCold may be chosen; a cold one gets little. An endpoint
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

// String returns a short text for people.
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

// assessment is what the choice needs to know of a candidate.
type assessment struct {
	verdict Verdict
	// nearness is 2 in the home's failure domain, 1 in its region, 0 elsewhere.
	nearness uint8
	// load counts what the endpoint has or will have; window is what it may have.
	load   int
	window int
	// scoreMillis is the expected delay with costs as delay; the lower the better.
	scoreMillis float64
}

// eligible tells whether the endpoint may be chosen.
func (a *assessment) eligible() bool { return a.verdict <= VerdictCold }

// roomy tells whether the endpoint has room to spare.
func (a *assessment) hasHeadroom() bool {
	return a.load*spillDenominator < a.window*spillNumerator
}

// weight returns the chance of the endpoint to be drawn, relative to others, for a
// number of slots that it offers.
func (a *assessment) weight(slots int) int {
	if a.verdict == VerdictCold {
		return max(slots, 1)
	}
	return max(slots, 1) * coldWeightDivisor
}

// assess returns what the home knows of a candidate.
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

// score returns the expected delay of the request on the endpoint, with the cost of
// bytes between regions as delay.
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
