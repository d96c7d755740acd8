package bbnode

import (
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbroute"
	"bluebellhall/core/bbrule"
)

// view is what this home knows of an endpoint.
type view struct {
	digest bbmsg.EndpointDigest
	// owner is the node that made the digest, at the time seen.
	owner string
	seen  time.Duration
	// inFlight counts this home's open attempts, and since those after the digest.
	inFlight int
	since    int
}

// see keeps a digest that an owner sent. Only the owner by the list held is believed;
// what a former owner tells of an endpoint that is now owned here is a hint.
func (n *Node) see(from string, d bbmsg.EndpointDigest) {
	if n.Index == nil {
		return
	}
	e := n.Index.Endpoints[d.Name]
	if e == nil {
		return
	}
	owner := n.Members.Owner(d.Name, e.Domain)
	if d.Deputy {
		if owner == n.Settings.Self.Name || n.Members.Alive(owner) {
			return
		}
		owner = n.Members.Deputy(d.Name, e.Domain)
		if owner == n.Settings.Self.Name {
			return
		}
	}
	if owner == n.Settings.Self.Name {
		n.Owner.Hint(n.now, d, 0)
		return
	}
	if owner != from {
		return
	}
	v := n.view(d.Name)
	v.digest = d
	v.owner = from
	v.seen = n.now
	v.since = 0
}

// view returns the view of an endpoint of the rules.
func (n *Node) view(name string) *view {
	v, ok := n.views[name]
	if !ok {
		v = &view{}
		n.views[name] = v
	}
	return v
}

// dropViews forgets the endpoints that the rules no longer name.
func (n *Node) dropViews() {
	for name := range n.views {
		if n.Index.Endpoints[name] == nil {
			delete(n.views, name)
		}
	}
}

// sent counts an attempt of this home.
func (n *Node) sent(d *bbmsg.Dispatch) {
	v := n.view(d.Endpoint)
	v.inFlight++
	v.since++
}

// ended counts the end of an attempt of this home.
func (n *Node) ended(endpoint string) {
	if v, ok := n.views[endpoint]; ok && v.inFlight > 0 {
		v.inFlight--
	}
}

// choose picks an endpoint for a stage.
func (n *Node) choose(_ time.Duration, q bbflow.Query) (bbflow.Choice, bool) {
	if n.Index == nil {
		return bbflow.Choice{
			Reason:     bbmsg.ReasonNotReady,
			RetryAfter: retryAfter(bbmsg.ReasonNotReady),
		}, false
	}
	endpoints := n.Index.ServiceEndpoints[q.Step.Service]
	candidates := n.listCandidates(endpoints, q)
	query := n.routeQuery(q)
	choice := n.router.Choose(&query, candidates)
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
		OwnerIncarnation: n.Members.Incarnation(c.Owner),
		ListRevision:     n.Members.Revision(),
		Deputy:           c.Digest.Deputy,
	}, true
}

const (
	// soonRetry is when a caller may come back for an endpoint that is being looked
	// after: a cold one that carries a little more every moment.
	soonRetry = 500 * time.Millisecond
	// lostRetry is when a caller may come back for endpoints whose owner is lost; the
	// platform's list has to change first.
	lostRetry = 2 * time.Second
	// operatorRetry is when a caller may come back for what operators have to change.
	operatorRetry = 5 * time.Second
)

// retryAfter returns when a caller may come back that found no endpoint.
func retryAfter(reason bbmsg.Reason) time.Duration {
	switch reason {
	case bbmsg.ReasonColdWait, bbmsg.ReasonNotReady:
		return soonRetry
	case bbmsg.ReasonOwnerGone:
		return lostRetry
	default:
		return operatorRetry
	}
}

// routeQuery describes a stage to the router.
func (n *Node) routeQuery(q bbflow.Query) bbroute.Query {
	r := bbroute.Query{
		Domain:        n.Settings.Self.Domain,
		Region:        n.Settings.Self.Region,
		Model:         q.Step.Model,
		Bytes:         int64(q.BodyBytes),
		ServiceMillis: n.policy.ServiceMillis(n.now, q.Step.Service),
		Alone:         q.Alone,
	}
	if q.Session != "" && q.Step.Kind == bbrule.KindEngine {
		r.Session = bbhash.Name(q.Session)
	}
	return r
}

// listCandidates lists the endpoints of a service as this home sees them. The memory is
// used again by the next call.
func (n *Node) listCandidates(endpoints []*bbrule.Endpoint, q bbflow.Query) []bbroute.Candidate {
	list := n.candidates[:0]
	for _, e := range endpoints {
		list = append(list, n.candidate(e, slices.Contains(q.Exclude, e.Name)))
	}
	n.candidates = list
	return list
}

// candidate describes one endpoint to the router.
func (n *Node) candidate(e *bbrule.Endpoint, excluded bool) bbroute.Candidate {
	owner := n.Members.Owner(e.Name, e.Domain)
	lost := owner != "" && owner != n.Settings.Self.Name && !n.Members.Alive(owner) && n.reports(e)
	if lost {
		owner = n.Members.Deputy(e.Name, e.Domain)
	}
	c := bbroute.Candidate{
		Name:       e.Name,
		Hash:       n.hashOf(e.Name),
		Domain:     e.Domain,
		Region:     n.Index.Region(e.Domain),
		Owner:      owner,
		OwnerAlive: owner != "" && n.Members.Alive(owner) && n.Members.Incarnation(owner) != 0,
		Excluded:   excluded,
		Out:        n.Index.IsOut(e),
	}
	if owner == n.Settings.Self.Name {
		c.Digest, c.Known = n.tableOf(lost).Digest(n.now, e.Name)
		return c
	}
	if v, ok := n.views[e.Name]; ok {
		c.InFlight = v.inFlight
		c.Since = v.since
		c.Known = v.owner == owner && v.digest.Deputy == lost
		c.Digest = v.digest
		c.DigestAge = n.now - v.seen
	}
	if !c.Known && n.large() && !lost {
		c.Known = true
		c.Digest = unheardDigest
	}
	return c
}

// unheardDigest stands for an endpoint that this home of a large fleet has not heard
// of: it counts as one that carries little, until the first result tells more.
var unheardDigest = bbmsg.EndpointDigest{
	State:  bbmsg.StateUnknown,
	Window: 1,
}

// hashOf returns the hash of an endpoint's name.
func (n *Node) hashOf(name string) uint64 {
	h, ok := n.hashes[name]
	if !ok {
		h = bbhash.Name(name)
		n.hashes[name] = h
	}
	return h
}

const (
	// domainMillis and regionMillis are one-way delays between failure domains and
	// between regions, in milliseconds.
	domainMillis = 1.5
	regionMillis = 10
	// gigabyteMillisPerCost is the delay that is worth a unit of the operators'
	// currency, in milliseconds.
	gigabyteMillisPerCost = 1e6
)

// newRouter returns the router of a node.
func newRouter(random *rand.Rand) *bbroute.Router {
	return &bbroute.Router{
		Random: random.Uint64,
		Settings: bbroute.Settings{
			DomainMillis: domainMillis,
			RegionMillis: regionMillis,
		},
	}
}
