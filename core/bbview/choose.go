package bbview

import (
	"slices"
	"time"

	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbowner"
	"bluebellhall/core/bbroute"
	"bluebellhall/core/bbrule"
)

// Choose picks an endpoint for a stage.
func (t *Table) Choose(now time.Duration, q bbflow.Query) (bbflow.Choice, bool) {
	if t.index == nil {
		return bbflow.Choice{
			Reason:     bbmsg.ReasonNotReady,
			RetryAfter: retryAfter(bbmsg.ReasonNotReady),
		}, false
	}
	endpoints := t.index.ServiceEndpoints[q.Step.Service]
	candidates := t.listCandidates(now, endpoints, q)
	query := t.routeQuery(now, q)
	choice := t.router.Choose(&query, candidates)
	if choice.Index < 0 {
		return bbflow.Choice{
			Reason:     choice.Reason,
			RetryAfter: retryAfter(choice.Reason),
		}, false
	}
	c := candidates[choice.Index]
	return bbflow.Choice{
		Endpoint:         c.Name,
		Owner:            c.Owner,
		OwnerIncarnation: t.members.Incarnation(c.Owner),
		ListRevision:     t.members.Revision(),
		Deputy:           c.Digest.Deputy,
	}, true
}

const (
	// shortRetryDelay is the retry delay for what changes without intervention: a cold
	// endpoint whose window grows continually, or rules that have yet to arrive.
	shortRetryDelay = 500 * time.Millisecond
	// ownerLostRetryDelay is the retry delay for endpoints whose owner is lost; the platform
	// has to publish a new list first.
	ownerLostRetryDelay = 2 * time.Second
	// operatorRetryDelay is the retry delay for all other reasons, which operators have to
	// deal with.
	operatorRetryDelay = 5 * time.Second
)

// retryAfter returns the retry delay for a caller whose request found no endpoint.
func retryAfter(reason bbmsg.Reason) time.Duration {
	switch reason {
	case bbmsg.ReasonColdWait, bbmsg.ReasonNotReady:
		return shortRetryDelay
	case bbmsg.ReasonOwnerGone:
		return ownerLostRetryDelay
	default:
		return operatorRetryDelay
	}
}

// routeQuery returns the router's query for a stage.
func (t *Table) routeQuery(now time.Duration, q bbflow.Query) bbroute.Query {
	r := bbroute.Query{
		Domain:        t.settings.Self.Domain,
		Region:        t.settings.Self.Region,
		Model:         q.Step.Model,
		Bytes:         int64(q.BodyBytes),
		ServiceMillis: t.policy.ServiceMillis(now, q.Step.Service),
		Alone:         q.Alone,
	}
	if q.Session != "" && q.Step.Kind == bbrule.KindEngine {
		r.Session = bbhash.Name(q.Session)
	}
	return r
}

// listCandidates returns the endpoints of a service as this home sees them. The next call reuses
// the memory of the list.
func (t *Table) listCandidates(now time.Duration, endpoints []*bbrule.Endpoint, q bbflow.Query) []bbroute.Candidate {
	list := t.candidates[:0]
	for _, e := range endpoints {
		list = append(list, t.candidate(now, e, slices.Contains(q.Exclude, e.Name)))
	}
	t.candidates = list
	return list
}

// candidate returns the router's candidate for an endpoint.
func (t *Table) candidate(now time.Duration, e *bbrule.Endpoint, excluded bool) bbroute.Candidate {
	owner := t.members.Owner(e.Name, e.Domain)
	lost := owner != "" && owner != t.settings.Self.Name && !t.members.Alive(owner) && t.reportsLoad(e)
	if lost {
		owner = t.members.Deputy(e.Name, e.Domain)
	}
	c := bbroute.Candidate{
		Name:       e.Name,
		Hash:       t.endpointHash(e.Name),
		Domain:     e.Domain,
		Region:     t.index.Region(e.Domain),
		Owner:      owner,
		OwnerAlive: owner != "" && t.members.Alive(owner) && t.members.Incarnation(owner) != 0,
		Excluded:   excluded,
		Out:        t.index.IsOut(e),
	}
	if owner == t.settings.Self.Name {
		c.Digest, c.Known = t.localTable(lost).Digest(now, e.Name)
		return c
	}
	if v, ok := t.views[e.Name]; ok {
		c.InFlight = v.inFlight
		c.SentSinceDigest = v.sentSinceDigest
		c.Known = v.owner == owner && v.digest.Deputy == lost
		c.Digest = v.digest
		c.DigestAge = now - v.receivedAt
	}
	if !c.Known && t.IsLargeFleet() && !lost {
		c.Known = true
		c.Digest = defaultDigest
	}
	return c
}

// localTable returns the deputy's table for an endpoint whose owner is lost, else the owner's.
func (t *Table) localTable(lost bool) *bbowner.Table {
	if lost {
		return t.deputy
	}
	return t.owner
}

// defaultDigest is assumed for an endpoint of which this home of a large fleet has received no
// digest: it counts as cold with a window of one request, until the first result brings a digest.
var defaultDigest = bbmsg.EndpointDigest{
	State:  bbmsg.StateUnknown,
	Window: 1,
}

// endpointHash returns the hash of an endpoint's name.
func (t *Table) endpointHash(name string) uint64 {
	h, ok := t.hashes[name]
	if !ok {
		h = bbhash.Name(name)
		t.hashes[name] = h
	}
	return h
}

const (
	// domainMillis and regionMillis are one-way delays between failure domains and
	// between regions, in milliseconds.
	domainMillis = 1.5
	regionMillis = 10
	// gigabyteMillisPerCost is the delay that counts as much as one unit of the operators'
	// currency per gigabyte, in milliseconds.
	gigabyteMillisPerCost = 1e6
)

// newRouter returns the router of a node.
func newRouter(random func() uint64) *bbroute.Router {
	return &bbroute.Router{
		Random: random,
		Settings: bbroute.Settings{
			DomainMillis: domainMillis,
			RegionMillis: regionMillis,
		},
	}
}
