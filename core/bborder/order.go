// Package bborder issues orders to endpoints: which model to load, which role to take.
//
// Each order carries a fencing number that grows with the revision of the member list,
// so that an endpoint that checks it refuses orders of a former owner. An endpoint that
// ignores it gets only orders that are safe to repeat while a former owner may still act.
//
// Nothing is persisted: what an endpoint has loaded is read from its reports, so a new owner
// continues where the former one stopped. The rate of the weight store is divided evenly between
// the active entry VMs of the list.
package bborder

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

const (
	// fenceBits is the width of the counter in a fencing number.
	fenceBits = 20
	// maxCounter is the last counter of one list revision.
	maxCounter = 1<<fenceBits - 1
	// sendWithin bounds the time between the decision and the send.
	sendWithin = 50 * time.Millisecond
)

// Settings configures a Table. Zero times take the defaults named.
type Settings struct {
	// Self is this node's name.
	Self string
	// FormerTime is the minimum time between a change of owner and a change of role; 10 s by
	// default. A former owner that was paused has sent or dropped its order by then.
	FormerTime time.Duration
	// ShortTime is how long a model must be short of capacity before an endpoint of another model
	// switches to it; 5 s by default.
	ShortTime time.Duration
	// ResultTime is the timeout for the result of an order; 2 min by default.
	ResultTime time.Duration
}

// Row is an engine endpoint, owned here or known from the digest of its owner.
type Row struct {
	// Rule is the endpoint's rule.
	Rule bbrule.Endpoint
	// Digest is its owner's view; Model is the model that it has loaded.
	Digest bbmsg.EndpointDigest
	// Reported is true once the endpoint has reported to its current owner, so that an
	// empty model means that none is loaded.
	Reported bool
	// Owned is true if this node owns the endpoint, since OwnedSince. SettledAt is when the
	// settling time ended.
	Owned      bool
	OwnedSince time.Duration
	SettledAt  time.Duration
}

// View is the input of a decision.
type View struct {
	// Revision is the revision of the member list held.
	Revision int64
	// Confirmed is true while this node's member list is confirmed, so that it may use cold endpoints.
	Confirmed bool
	// Owners is the number of active entry VMs in the list, at least 1.
	Owners int
	// Rate is the rate of the weight store in bytes per second; 0 forbids loading.
	Rate int64
	// Models has the models of the rules, Wanted those used by a pipeline.
	Models []bbrule.Model
	Wanted []string
	// Rows has the engine endpoints, sorted by name.
	Rows []Row
}

// Open is an order whose result is pending.
type Open struct {
	Order bbmsg.Order
	// Until is when the result is no longer awaited.
	Until time.Duration
}

// Table holds the orders of one node. It is not safe for concurrent use.
type Table struct {
	settings Settings
	// Open holds the pending order of each endpoint.
	Open map[string]Open
	// counter is the last one used in revision.
	revision int64
	counter  int64
	// loadBudget is the unused part of this node's share of the weight store's rate, in bytes, as of
	// budgetUpdatedAt. It starts at 0 so that nodes that restart together don't load at once.
	loadBudget      float64
	budgetUpdatedAt time.Duration
	started         bool
	// shortSince is when each model became short of capacity.
	shortSince map[string]time.Duration
}

// New returns a table without orders.
func New(settings Settings) *Table {
	setDefault(&settings.FormerTime, 10*time.Second)
	setDefault(&settings.ShortTime, 5*time.Second)
	setDefault(&settings.ResultTime, 2*time.Minute)
	return &Table{
		settings:   settings,
		Open:       map[string]Open{},
		shortSince: map[string]time.Duration{},
	}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Allowed reports whether an order of a kind may be issued to an endpoint now.
// Loading a model is safe to repeat, so an endpoint that ignores fencing numbers may
// be ordered to load after the settling time. A role is changed only while the list is
// confirmed, and long enough after the change of owner that no former owner can act.
func (t *Table) Allowed(now time.Duration, v View, r Row, kind bbmsg.OrderKind) bool {
	if !r.Owned {
		return false
	}
	if kind == bbmsg.OrderLoad {
		return r.Rule.ChecksFencing || v.Confirmed && now >= r.SettledAt
	}
	if !v.Confirmed || now < r.SettledAt {
		return false
	}
	return r.Rule.ChecksFencing || now >= r.OwnedSince+t.settings.FormerTime
}

// Give returns an order and its event, or nil if it is not allowed now, if another order
// to the endpoint is pending or if the fencing numbers of the revision are used up.
func (t *Table) Give(now time.Duration, v View, r Row, kind bbmsg.OrderKind, argument string) []bbmsg.Output {
	if !t.Allowed(now, v, r, kind) {
		return nil
	}
	if _, open := t.Open[r.Rule.Name]; open {
		return nil
	}
	fence, ok := t.fence(v.Revision)
	if !ok {
		return nil
	}
	order := bbmsg.Order{
		Endpoint:         r.Rule.Name,
		Address:          r.Rule.Address,
		Kind:             kind,
		Fence:            fence,
		Argument:         argument,
		SendWithinMillis: int64(sendWithin / time.Millisecond),
	}
	t.Open[r.Rule.Name] = Open{Order: order, Until: now + t.settings.ResultTime}
	return []bbmsg.Output{
		{Order: &order},
		t.event(bbevent.EndpointOrdered, order),
	}
}

// fence returns the next fencing number of a list revision.
func (t *Table) fence(revision int64) (int64, bool) {
	if revision != t.revision {
		t.revision = revision
		t.counter = 0
	}
	if t.counter >= maxCounter {
		return 0, false
	}
	t.counter++
	return revision<<fenceBits | t.counter, true
}

// Result handles the result of an order. After a refusal the counter is doubled: an
// earlier process of this name may have used numbers of the same list revision. The
// counter never reaches the numbers of a newer revision.
func (t *Table) Result(r bbmsg.OrderResult) []bbmsg.Output {
	open, ok := t.Open[r.Endpoint]
	if !ok || open.Order.Fence != r.Fence {
		return nil
	}
	delete(t.Open, r.Endpoint)
	if r.Accepted || r.Status == 0 {
		return nil
	}
	if r.Fence>>fenceBits == t.revision {
		t.counter = min(2*t.counter, maxCounter)
	}
	return []bbmsg.Output{t.event(bbevent.EndpointOrderRefused, open.Order)}
}

func (t *Table) event(number bbevent.Number, o bbmsg.Order) bbmsg.Output {
	return bbmsg.Output{Event: &bbevent.Event{
		Number:   number,
		Node:     t.settings.Self,
		Endpoint: o.Endpoint,
		Detail:   string(o.Kind) + " " + o.Argument,
	}}
}
