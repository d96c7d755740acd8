// Package bbview keeps a home's view of the endpoints: the newest digest of each, received from
// its owner or deputy, and the attempts that this home has sent since. It chooses endpoints by it.
package bbview

import (
	"time"

	"bluebellhall/core/bbmember"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbowner"
	"bluebellhall/core/bbpolicy"
	"bluebellhall/core/bbroute"
	"bluebellhall/core/bbrule"
)

// Settings configure a table of views.
type Settings struct {
	// Self is this node's entry in the list.
	Self bbmsg.Member
	// Random returns uniformly distributed numbers.
	Random func() uint64
}

// Sources are the tables that views are derived from. The last digest that a former owner sends
// for an endpoint is passed to Owner as a hint.
type Sources struct {
	Members *bbmember.Table
	Policy  *bbpolicy.Policy
	// Owner holds the endpoints owned by this node, Deputy those for which it acts in
	// place of an owner that can't be reached.
	Owner  *bbowner.Table
	Deputy *bbowner.Table
}

// Table holds a home's view of the endpoints. It is not safe for concurrent use.
type Table struct {
	settings Settings
	members  *bbmember.Table
	policy   *bbpolicy.Policy
	owner    *bbowner.Table
	deputy   *bbowner.Table
	// index has the rules in force, nil before the first.
	index  *bbrule.Index
	router *bbroute.Router
	// views holds the newest digest of each endpoint and the attempts of this home since.
	// It has only endpoints that the rules declare.
	views map[string]*view
	// candidates is a buffer reused by each choice; hashes caches the hashes of endpoint names.
	candidates []bbroute.Candidate
	hashes     map[string]uint64
}

// New returns a table without rules or views.
func New(s Settings, from Sources) *Table {
	return &Table{
		settings: s,
		members:  from.Members,
		policy:   from.Policy,
		owner:    from.Owner,
		deputy:   from.Deputy,
		router:   newRouter(s.Random),
		views:    make(map[string]*view),
		hashes:   make(map[string]uint64),
	}
}

// view is this home's view of an endpoint.
type view struct {
	digest bbmsg.EndpointDigest
	// owner is the node that sent the digest, which arrived at receivedAt.
	owner      string
	receivedAt time.Duration
	// inFlight counts this home's attempts in flight, sentSinceDigest those sent since the
	// digest arrived.
	inFlight        int
	sentSinceDigest int
}

// UpdateDigest stores a received digest. Digests are accepted only from the owner by the list in
// use, or from its deputy while the owner can't be reached; for an endpoint that is now owned by
// this node, the digest of the former owner is passed on as a hint.
func (t *Table) UpdateDigest(now time.Duration, from string, d bbmsg.EndpointDigest) {
	if t.index == nil {
		return
	}
	e := t.index.Endpoints[d.Name]
	if e == nil {
		return
	}
	owner := t.members.Owner(d.Name, e.Domain)
	if d.Deputy {
		if owner == t.settings.Self.Name || t.members.Alive(owner) {
			return
		}
		owner = t.members.Deputy(d.Name, e.Domain)
		if owner == t.settings.Self.Name {
			return
		}
	}
	if owner == t.settings.Self.Name {
		t.owner.Hint(now, d, 0)
		return
	}
	if owner != from {
		return
	}
	v := t.view(d.Name)
	v.digest = d
	v.owner = from
	v.receivedAt = now
	v.sentSinceDigest = 0
}

// view returns the view of an endpoint that the rules declare.
func (t *Table) view(name string) *view {
	v, ok := t.views[name]
	if !ok {
		v = &view{}
		t.views[name] = v
	}
	return v
}

// SetRules sets new rules and drops the views of endpoints that they no longer declare.
func (t *Table) SetRules(index *bbrule.Index) {
	t.index = index
	t.router.Settings.GigabyteMillis = index.Set.Limits.CrossRegionCost * gigabyteMillisPerCost
	clear(t.hashes)
	for name := range t.views {
		if index.Endpoints[name] == nil {
			delete(t.views, name)
		}
	}
}

// Digest returns the newest digest of an endpoint from its owner and its age, and false
// if there is none.
func (t *Table) Digest(now time.Duration, name string) (bbmsg.EndpointDigest, time.Duration, bool) {
	v, ok := t.views[name]
	if !ok {
		return bbmsg.EndpointDigest{}, 0, false
	}
	return v.digest, now - v.receivedAt, true
}

// AttemptSent records that this home has sent an attempt.
func (t *Table) AttemptSent(d *bbmsg.Dispatch) {
	v := t.view(d.Endpoint)
	v.inFlight++
	v.sentSinceDigest++
}

// AttemptEnded records that an attempt of this home has ended.
func (t *Table) AttemptEnded(endpoint string) {
	if v, ok := t.views[endpoint]; ok && v.inFlight > 0 {
		v.inFlight--
	}
}

// smallFleetSize is the number of entry VMs up to which every peer is probed often and the probes
// carry the digests of all endpoints. In larger fleets homes receive digests with the results of
// their own attempts.
const smallFleetSize = 9

// IsLargeFleet reports whether there are more entry VMs than smallFleetSize.
func (t *Table) IsLargeFleet() bool {
	return len(t.members.Peers) >= smallFleetSize
}

// MayDeputize reports whether this node may act for an endpoint's lost owner now: by the owner's
// last digest the endpoint is warm, and the endpoint reports its load. Rules must be in force.
func (t *Table) MayDeputize(name string) bool {
	e := t.index.Endpoints[name]
	if e == nil || !t.reportsLoad(e) || !t.members.ActsAsDeputy(name, e.Domain) {
		return false
	}
	v := t.views[name]
	return v != nil && v.owner == t.members.Owner(name, e.Domain) && v.digest.State == bbmsg.StateWarm
}

// reportsLoad reports whether the endpoints of an endpoint's service publish load reports.
func (t *Table) reportsLoad(e *bbrule.Endpoint) bool {
	s := t.index.Services[e.Service]
	return s != nil && (s.ReportsLoad || s.Kind == bbrule.KindEngine)
}
