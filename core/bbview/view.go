// Package bbview is what a home knows of the endpoints: the newest digest of each, from
// its owner or deputy, and what this home has sent since. It chooses endpoints by it.
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

// Sources are the tables that views are made of. What a former owner tells of an endpoint
// goes to Owner as a hint.
type Sources struct {
	Members *bbmember.Table
	Policy  *bbpolicy.Policy
	// Owner has the endpoints that this node owns, and Deputy those that it looks
	// after for others.
	Owner  *bbowner.Table
	Deputy *bbowner.Table
}

// Table has what a home knows of the endpoints. It is not safe for concurrent use.
type Table struct {
	settings Settings
	members  *bbmember.Table
	policy   *bbpolicy.Policy
	owner    *bbowner.Table
	deputy   *bbowner.Table
	// index has the rules in force, nil before the first.
	index  *bbrule.Index
	router *bbroute.Router
	// views has the newest digest of each endpoint and what this home sent since. Only
	// endpoints of the rules are in it.
	views map[string]*view
	// candidates is memory for one choice, and hashes the hashes of endpoint names.
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

// view is what this home knows of an endpoint.
type view struct {
	digest bbmsg.EndpointDigest
	// owner is the node that made the digest, at the time seen.
	owner      string
	receivedAt time.Duration
	// inFlight counts this home's open attempts, and since those after the digest.
	inFlight        int
	sentSinceDigest int
}

// See keeps a digest that an owner sent. Only the owner by the list held is believed;
// what a former owner tells of an endpoint that is now owned here is a hint.
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

// view returns the view of an endpoint of the rules.
func (t *Table) view(name string) *view {
	v, ok := t.views[name]
	if !ok {
		v = &view{}
		t.views[name] = v
	}
	return v
}

// SetRules takes in new rules and forgets the endpoints that they no longer name.
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

// Sent counts an attempt of this home.
func (t *Table) AttemptSent(d *bbmsg.Dispatch) {
	v := t.view(d.Endpoint)
	v.inFlight++
	v.sentSinceDigest++
}

// Ended counts the end of an attempt of this home.
func (t *Table) AttemptEnded(endpoint string) {
	if v, ok := t.views[endpoint]; ok && v.inFlight > 0 {
		v.inFlight--
	}
}

// smallFleet is the number of entry VMs up to which everybody is probed often and told
// of all endpoints. In larger fleets homes hear of endpoints with the results of their
// own attempts.
const smallFleetSize = 9

// Large tells whether the fleet is larger than a small one.
func (t *Table) IsLargeFleet() bool {
	return len(t.members.Peers) >= smallFleetSize
}

// MayDeputize tells whether this node may look after an endpoint now: its lost owner told
// last that it is warm, and it reports its load. Rules are in force.
func (t *Table) MayDeputize(name string) bool {
	e := t.index.Endpoints[name]
	if e == nil || !t.reportsLoad(e) || !t.members.ActsAsDeputy(name, e.Domain) {
		return false
	}
	v := t.views[name]
	return v != nil && v.owner == t.members.Owner(name, e.Domain) && v.digest.State == bbmsg.StateWarm
}

// reports tells whether the service of an endpoint reports its load.
func (t *Table) reportsLoad(e *bbrule.Endpoint) bool {
	s := t.index.Services[e.Service]
	return s != nil && (s.ReportsLoad || s.Kind == bbrule.KindEngine)
}
