// Package bbowner implements the owner of an endpoint: all requests for an endpoint
// pass through the one entry VM that owns it. The owner counts the calls in flight,
// limits the concurrency of cold and warming endpoints, queues a few requests and
// refuses the rest.
//
// Requests are sent only by Tick, which gets the owner's confirmation status (see
// bbmember.Table.Confirmed) as read just before, and at most one per Tick goes to a
// cold endpoint. After a change of owner a cold endpoint gets no work until the
// settling time has passed and then until the calls of the former owner are known or
// must have ended; a warm one gets half of its window, but no less than its cold slots,
// during the settling time.
package bbowner

import (
	"slices"
	"time"

	"bluebellhall/core/bbattempt"
	"bluebellhall/core/bbbacklog"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbwindow"
)

const (
	// stopTimeout is how long a stopped call still counts as in flight when no update
	// reports its end.
	stopTimeout = time.Second
	// lostDigestTTL is how long digests of an endpoint are still sent after this node
	// lost its ownership.
	lostDigestTTL = 10 * time.Second
	// deputyCallTime is how long a deputy assumes that calls of the owner may still run:
	// in effect for as long as it is the deputy.
	deputyCallTime = 10000 * time.Hour
)

// Settings configures a Table. Zero times and counts take the defaults named.
type Settings struct {
	// Self is this node's name and Incarnation its process's random number.
	Self        string
	Incarnation uint64
	// SettleTime is how long a new owner sends no requests to a cold endpoint; 2 s by default.
	SettleTime time.Duration
	// SilenceTime is the time between tokens after which a call is stopped; the first
	// token may take twice as long; 2 s by default.
	SilenceTime time.Duration
	// ReportInterval is the time between polls of load reports; 500 ms by default.
	ReportInterval time.Duration
	// MaxFreshLag is the largest lag of a load report of a warm endpoint that opens its
	// full window at once. During SettleTime the limit is nevertheless the larger of the
	// cold slots and half of the window. 1 s by default.
	MaxFreshLag time.Duration
	// BreakGrace is how long the result of a call whose connection broke is held back to
	// see whether the other calls on the endpoint fail too; 100 ms by default.
	BreakGrace time.Duration
	// EndedTTL is how long ended attempts are recognised as duplicates; 2 min by default.
	// No duplicate of a dispatch and no cancel arrives later than that.
	EndedTTL time.Duration
	// AttemptLimit bounds the number of active and remembered attempts; 65536 by default.
	// Above it new attempts end as broken, because a refusal could not be remembered and
	// a duplicate might then be sent.
	AttemptLimit int
	// WarmCompletions is how many requests an endpoint without reports must complete
	// before its window grows; 12 by default.
	WarmCompletions int
	// ConfirmedFor returns whether a cold endpoint may be used. It is called right before
	// each send, in addition to the status passed to Tick. It may be nil.
	ConfirmedFor func(now time.Duration, endpoint, domain string) bool
	// WarmOnly makes this the table of a deputy, which stands in for a lost owner: an
	// endpoint gets work only while a fresh report shows that it is warm and
	// ConfirmedFor, which is then required, allows it. FirstCall is the base of the call
	// numbers; it keeps those of the deputy table distinct from those of the owner table.
	WarmOnly  bool
	FirstCall uint64
	// NoFormerOwners returns whether this node's endpoints have had no other owner yet,
	// because its whole group has just started. It may be nil.
	NoFormerOwners func() bool
}

// Endpoint is the state that the owner keeps of an endpoint.
type Endpoint struct {
	// Rule is the endpoint's rule and Kind that of its service.
	Rule bbrule.Endpoint
	Kind bbrule.ServiceKind
	// Owned is true while this node owns it, and LostAt is when it lost the ownership.
	Owned  bool
	LostAt time.Duration
	// Removed is true when the rules no longer contain it, Out when its failure domain
	// was taken out by the rules, and Leaving when the member list marks it as leaving
	// or does not contain it.
	Removed bool
	Out     bool
	Leaving bool
	// Window limits the requests in flight. Digests also report the states leaving and out.
	bbwindow.Window
	// Backlog holds the queued and running attempts.
	bbbacklog.Backlog

	nextPoll time.Duration
	// due is when Tick has to update it again; dirty makes the next Tick update it.
	due   time.Duration
	dirty bool
}

// Table holds the endpoints of one owner. It is not safe for concurrent use.
type Table struct {
	settings Settings
	windows  bbwindow.Settings
	// Endpoints holds all endpoints of the rules by name. Other packages only read it.
	Endpoints map[string]*Endpoint
	// names holds the keys of Endpoints, sorted. tracked has the endpoints, by name, that
	// are owned, have calls or were lost recently.
	names   []string
	tracked []*Endpoint
	// active holds the attempts that have not ended, by key. calls also has the stopped ones,
	// by call number.
	active map[uint64]*bbbacklog.Work
	calls  map[uint64]*bbbacklog.Work
	ended  *bbattempt.DedupCache
	// lastCall is the number of the last call.
	lastCall uint64
	// revision is that of the member list, and listedLeaving has the endpoints of that
	// list with their leaving marks.
	revision      int64
	listedLeaving map[string]bool
	// maxCallTime is the longest time that a call of any owner may run, by service.
	maxCallTime map[string]time.Duration
	// confirmed and noFormerOwners are the values at the last Tick.
	confirmed      bool
	noFormerOwners bool
	outputs        []bbmsg.Output
}

// New returns a table without endpoints.
func New(settings Settings) *Table {
	s := &settings
	setDefault(&s.SettleTime, 2*time.Second)
	setDefault(&s.SilenceTime, 2*time.Second)
	setDefault(&s.ReportInterval, 500*time.Millisecond)
	setDefault(&s.MaxFreshLag, time.Second)
	setDefault(&s.BreakGrace, 100*time.Millisecond)
	setDefault(&s.EndedTTL, 2*time.Minute)
	setDefault(&s.AttemptLimit, 65536)
	setDefault(&s.WarmCompletions, 12)
	return &Table{
		settings: settings,
		windows: bbwindow.Settings{
			SettleTime:      settings.SettleTime,
			MaxFreshLag:     settings.MaxFreshLag,
			WarmCompletions: settings.WarmCompletions,
		},
		Endpoints: map[string]*Endpoint{},
		lastCall:  settings.FirstCall,
		active:    map[uint64]*bbbacklog.Work{},
		calls:     map[uint64]*bbbacklog.Work{},
		ended:     bbattempt.NewDedupCache(settings.EndedTTL),
	}
}

func setDefault[T time.Duration | int](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// TakeOutputs returns and clears the outputs collected since the last call.
func (t *Table) TakeOutputs() []bbmsg.Output {
	outputs := t.outputs
	t.outputs = nil
	return outputs
}

// SetRules applies a revision of the rules. New endpoints start in the unknown state;
// endpoints whose address changed, that are back in the rules, or whose failure domain
// is no longer out start cold.
func (t *Table) SetRules(now time.Duration, rules *bbrule.RuleSet) {
	t.maxCallTime = rules.LongestCalls()
	services := map[string]bbrule.Service{}
	for _, s := range rules.Services {
		services[s.Name] = s
	}
	out := map[string]bool{}
	for _, d := range rules.Domains {
		out[d.Name] = d.Out
	}
	present := map[string]bool{}
	for _, rule := range rules.Endpoints {
		present[rule.Name] = true
		s := services[rule.Service]
		t.setRule(now, rule, s, out[rule.Domain])
	}
	for _, name := range t.names {
		e := t.Endpoints[name]
		if present[name] {
			continue
		}
		e.Removed = true
		if len(e.Running) == 0 && len(e.Broken) == 0 {
			t.refuseQueued(now, e, bbmsg.ReasonNoEndpoint)
			delete(t.Endpoints, name)
		}
	}
	t.rebuildIndex(now)
	t.refuseUnusable(now)
}

func (t *Table) setRule(now time.Duration, rule bbrule.Endpoint, s bbrule.Service, out bool) {
	e := t.Endpoints[rule.Name]
	if e == nil {
		e = t.newEndpoint(rule)
		t.Endpoints[rule.Name] = e
	}
	moved := e.Rule.Address != "" && e.Rule.Address != rule.Address
	if moved || e.Out && !out || e.Removed {
		e.Restart(now)
	}
	e.Rule = rule
	e.Kind = s.Kind
	e.Reports = s.ReportsLoad || s.Kind == bbrule.KindEngine
	e.Removed = false
	e.Out = out
	e.WarmSlots = rule.WarmSlots
	e.ColdSlots = rule.ColdSlots
	e.Size = min(e.Size, rule.WarmSlots)
	e.dirty = true
}

func (t *Table) newEndpoint(rule bbrule.Endpoint) *Endpoint {
	e := &Endpoint{Backlog: bbbacklog.New(rule.WarmSlots)}
	e.State = bbmsg.StateUnknown
	e.Notify = func(number bbevent.Number, detail string) {
		e.dirty = true
		t.event(e, number, nil, detail)
	}
	return e
}

// SetMembers applies a member list: its revision and which endpoints are leaving.
// Endpoints that it does not contain get no new work, unless it contains no endpoint at
// all. When revisions were skipped, another node may have owned an endpoint in between
// that this node owned before and after; the owned endpoints then wait for its calls as
// after a change of owner.
func (t *Table) SetMembers(now time.Duration, list bbmsg.MemberList) {
	if list.Revision > t.revision+1 {
		t.awaitFormerCalls(now)
	}
	t.revision = list.Revision
	t.listedLeaving = map[string]bool{}
	for _, m := range list.Members {
		if m.Role == bbmsg.RoleEndpoint {
			t.listedLeaving[m.Name] = m.Leaving
		}
	}
	t.rebuildIndex(now)
	t.refuseUnusable(now)
}

func (t *Table) awaitFormerCalls(now time.Duration) {
	for _, e := range t.tracked {
		if e.Owned {
			e.AwaitFormerCalls(now, t.windows, t.maxCallTime[e.Rule.Service])
		}
	}
}

// rebuildIndex recomputes names, tracked and the leaving marks of the endpoints.
func (t *Table) rebuildIndex(now time.Duration) {
	t.names = t.names[:0]
	for name, e := range t.Endpoints {
		t.names = append(t.names, name)
		leaving, listed := t.listedLeaving[name]
		e.Leaving = leaving || !listed && len(t.listedLeaving) > 0
		e.dirty = true
	}
	slices.Sort(t.names)
	t.tracked = t.tracked[:0]
	for _, name := range t.names {
		e := t.Endpoints[name]
		if e.Owned || len(e.Running)+len(e.Broken) > 0 || e.recentlyLost(now) {
			t.tracked = append(t.tracked, e)
		}
	}
}

// SetOwned sets which endpoints this node owns and returns the changes. Attempts queued
// at an endpoint that was lost are refused; running ones continue.
func (t *Table) SetOwned(now time.Duration, owned func(name string) bool) (gained, lost []string) {
	for _, name := range t.names {
		e := t.Endpoints[name]
		is := owned(name)
		if is == e.Owned {
			continue
		}
		e.Owned = is
		if is {
			t.startOwnership(now, e)
			gained = append(gained, name)
			continue
		}
		e.LostAt = now
		t.refuseQueued(now, e, bbmsg.ReasonMoved)
		t.event(e, bbevent.OwnershipLost, nil, t.role())
		lost = append(lost, name)
	}
	t.rebuildIndex(now)
	return gained, lost
}

func (t *Table) startOwnership(now time.Duration, e *Endpoint) {
	callTime := t.maxCallTime[e.Rule.Service]
	if t.settings.WarmOnly {
		callTime = deputyCallTime
	}
	e.StartOwnership(now, t.windows, callTime)
	if t.noFormerOwners {
		e.FormerCallsUntil = e.SettledAt
	}
	e.nextPoll = now
	t.event(e, bbevent.OwnershipGained, nil, t.role())
}

// role returns the event detail that marks the events of a deputy.
func (t *Table) role() string {
	if t.settings.WarmOnly {
		return "as deputy"
	}
	return ""
}

// updateNoFormerOwners ends the wait for calls of former owners once it is known that
// there were none.
func (t *Table) updateNoFormerOwners() {
	fresh := t.settings.NoFormerOwners != nil && t.settings.NoFormerOwners()
	if fresh && !t.noFormerOwners {
		for _, e := range t.tracked {
			e.FormerCallsUntil = min(e.FormerCallsUntil, e.SettledAt)
			e.dirty = true
		}
	}
	t.noFormerOwners = fresh
}

// Hint applies the last digest of an endpoint from its former owner, received age ago.
func (t *Table) Hint(now time.Duration, d bbmsg.EndpointDigest, age time.Duration) {
	if e := t.Endpoints[d.Name]; e != nil && e.Owned {
		e.Hint(now, t.windows, d, age)
		e.dirty = true
	}
}

// Report applies a load report of an owned endpoint.
func (t *Table) Report(now time.Duration, r bbmsg.LoadReport) {
	e := t.Endpoints[r.Endpoint]
	if e == nil || !e.Owned {
		return
	}
	e.dirty = true
	e.Window.Report(now, t.windows, r, e.SentUpTo)
}

// usable returns whether an endpoint may get new work at all.
func (e *Endpoint) usable() bool {
	return e.Owned && !e.Removed && !e.Out && !e.Leaving
}

// refuseUnusable refuses the attempts queued at owned endpoints that may get no new work.
func (t *Table) refuseUnusable(now time.Duration) {
	for _, e := range t.tracked {
		if e.Owned && !e.usable() {
			t.refuseQueued(now, e, bbmsg.ReasonNoEndpoint)
		}
	}
}

// Digests returns the digests of the endpoints that are owned, have running calls or
// were lost recently, sorted by name. The window of a lost endpoint is 0.
func (t *Table) Digests(now time.Duration) []bbmsg.EndpointDigest {
	digests := make([]bbmsg.EndpointDigest, 0, len(t.tracked))
	for _, e := range t.tracked {
		if !e.Owned && len(e.Running) == 0 && !e.recentlyLost(now) {
			continue
		}
		digests = append(digests, t.digest(now, e))
	}
	return digests
}

// Digest returns the digest of one endpoint, and false when it is not owned.
func (t *Table) Digest(now time.Duration, name string) (bbmsg.EndpointDigest, bool) {
	e := t.Endpoints[name]
	if e == nil || !e.Owned {
		return bbmsg.EndpointDigest{}, false
	}
	return t.digest(now, e), true
}

func (t *Table) digest(now time.Duration, e *Endpoint) bbmsg.EndpointDigest {
	limit := t.limit(now, e)
	return bbmsg.EndpointDigest{
		Name:       e.Rule.Name,
		State:      e.reportedState(),
		Window:     limit,
		InFlight:   len(e.Running),
		Queued:     e.Waiting(),
		WaitMillis: int(e.expectedWait(limit) / time.Millisecond),
		Model:      e.Model,
		Deputy:     t.settings.WarmOnly,
	}
}

// recentlyLost returns whether an endpoint was lost at most lostDigestTTL ago.
func (e *Endpoint) recentlyLost(now time.Duration) bool {
	return e.LostAt > 0 && now-e.LostAt <= lostDigestTTL
}

func (e *Endpoint) reportedState() bbmsg.EndpointState {
	switch {
	case e.Out:
		return bbmsg.StateOut
	case e.Leaving || e.Removed:
		return bbmsg.StateLeaving
	}
	return e.State
}

// expectedWait returns the expected queueing delay of a new attempt.
func (e *Endpoint) expectedWait(limit int) time.Duration {
	return e.ServiceTime * time.Duration(e.Ahead(limit)) / time.Duration(max(limit, 1))
}

// expectedWaitOf returns the expected queueing delay of a given attempt. The backlog of
// other accounts counts only as far as the fair queue serves it first.
func (e *Endpoint) expectedWaitOf(w *bbbacklog.Work, limit int) time.Duration {
	return e.ServiceTime * time.Duration(e.AheadOf(w, limit)) / time.Duration(max(limit, 1))
}

// event adds an event to the outputs.
func (t *Table) event(e *Endpoint, number bbevent.Number, w *bbbacklog.Work, detail string) {
	event := &bbevent.Event{
		Number:   number,
		Node:     t.settings.Self,
		Endpoint: e.Rule.Name,
		Detail:   detail,
	}
	if w != nil {
		event.Request = w.Dispatch.Attempt.ID
		event.Stage = w.Dispatch.Attempt.Stage
		event.Attempt = w.Dispatch.Attempt.Number
	}
	t.outputs = append(t.outputs, bbmsg.Output{Event: event})
}
