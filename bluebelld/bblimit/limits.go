// Package bblimit keeps the requests of all VMs to an endpoint within the limit that it has named. The VM that
// coordinates the failure domain of an endpoint counts for all VMs: its coordinator takes a token for each grant and
// call, and other VMs ask it for a permit before each request to a plain service.
package bblimit

import (
	"context"
	"sync"
	"time"

	"bluebellhall/bluebelld/bbknowledge"
	"bluebellhall/bluebelld/bblog"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpace"
	"bluebellhall/core/bbstanding"
	"bluebellhall/core/bbsupply"
)

const (
	// limitTimeout bounds a call that reports a limit, and permitTimeout one that asks for a permit, in which a
	// caller waits.
	limitTimeout  = time.Second
	permitTimeout = 150 * time.Millisecond
	// permitValidity bounds the time from the request for a permit to its use. The time limit of the call doesn't: a VM
	// that was frozen may read the answer before it notices that the time is over.
	permitValidity = 500 * time.Millisecond
	// noPermitBackoff is how long no permit is requested for an endpoint after a call for one has failed.
	noPermitBackoff = 500 * time.Millisecond
	// notCoordinatedWait is how long a VM that doesn't coordinate an endpoint with a limit leaves it alone before
	// it looks again.
	notCoordinatedWait = time.Second
	// maxLimits bounds the limits accepted from one call, and maxDenials the endpoints with a denied permit.
	maxLimits  = 64
	maxDenials = 4096
)

// Hooks connect the limits to the rest of the VM.
type Hooks struct {
	// Now returns the monotonic time.
	Now func() time.Duration
	// Share returns the share of the limits of endpoints in a failure domain that this VM may use.
	Share func(zone string) float64
	// Coordinator returns the VM that coordinates a failure domain.
	Coordinator func(zone string) bbgossip.Member
	// Relays returns the VMs to which this one sends a message that is for all.
	Relays func(relayed bool) []bbgossip.Member
	// Send notifies another VM of limits, and Ask asks one for a permit.
	Send func(ctx context.Context, peer string, l bbpeer.Limits) error
	Ask  func(ctx context.Context, peer string, p bbpeer.Permit) (bbpeer.Permitted, error)
}

// Limits counts the requests to endpoints that have named a limit. Its methods are safe for concurrent use.
type Limits struct {
	self      bbgossip.Member
	knowledge *bbknowledge.Knowledge
	log       bblog.Logger
	hooks     Hooks

	mu    sync.Mutex
	paces bbpace.Table
	// deniedUntil is when this VM may ask again for a permit for an endpoint.
	deniedUntil map[string]time.Duration
}

// New returns the limits of a VM. Knowledge has the limits in force.
func New(self bbgossip.Member, knowledge *bbknowledge.Knowledge, log bblog.Logger, hooks Hooks) *Limits {
	return &Limits{
		self:        self,
		knowledge:   knowledge,
		log:         log,
		hooks:       hooks,
		deniedUntil: make(map[string]time.Duration),
	}
}

// Rate returns the rate at which this VM may use an endpoint, in requests per second, and whether the endpoint
// has a limit.
func (l *Limits) Rate(endpoint string) (perSecond float64, limited bool) {
	limit, _, zone := l.knowledge.Limit(endpoint)
	if !limit.Named {
		return 0, false
	}
	share := l.hooks.Share(zone)
	if share == 0 {
		return 0, true
	}
	return bbpace.Rate(limit.PerSecond, share), true
}

// Pace returns the functions by which the coordinator of this VM keeps to the limits.
func (l *Limits) Pace() bbsupply.Pace {
	return bbsupply.Pace{
		Rate:        l.Rate,
		AvailableAt: l.availableAt,
		Take:        l.take,
	}
}

// availableAt returns when an endpoint takes one more request; 0 if it does now.
func (l *Limits) availableAt(endpoint string) time.Duration {
	rate, limited := l.Rate(endpoint)
	now := l.hooks.Now()
	switch {
	case !limited:
		return 0
	case rate == 0:
		return now + notCoordinatedWait
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if wait := l.paces.Wait(now, endpoint, rate); wait > 0 {
		return now + wait
	}
	return 0
}

// take counts a request to an endpoint.
func (l *Limits) take(endpoint string) {
	if rate, limited := l.Rate(endpoint); limited && rate > 0 {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.paces.Take(l.hooks.Now(), endpoint, rate)
	}
}

// MayFree reports whether this VM may send an endpoint a request that can be left out, and counts it.
func (l *Limits) MayFree(endpoint string) bool {
	rate, limited := l.Rate(endpoint)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return rate > 0 && l.paces.TakeSpare(l.hooks.Now(), endpoint, rate)
}

// GrantHolds reports whether a grant may be used: a coordinator that didn't know of the engine's limit has not
// counted it. It is told of the limit.
func (l *Limits) GrantHolds(g bbjob.Grant, coordinator string) bool {
	limit, p, _ := l.knowledge.Limit(g.Endpoint)
	if !limit.Named || g.Paced {
		return true
	}
	if coordinator != l.self.Peer {
		go l.send(coordinator, bbpeer.EndpointLimit{
			Process: p,
			Limit:   limit,
		}, true)
	}
	return false
}

// Permit reports whether this VM may send a request to an endpoint of a plain service.
func (l *Limits) Permit(ctx context.Context, endpoint string) bool {
	limit, p, zone := l.knowledge.Limit(endpoint)
	if !limit.Named {
		return true
	}
	request := bbpeer.Permit{
		Endpoint: endpoint,
		Limit: bbpeer.EndpointLimit{
			Process: p,
			Limit:   limit,
		},
	}
	coordinator := l.hooks.Coordinator(zone)
	if coordinator.Name == l.self.Name {
		return l.accept(endpoint, l.Decide(request))
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	asked := l.hooks.Now()
	answer, err := l.hooks.Ask(ctx, coordinator.Peer, request)
	if err != nil {
		l.log.Event(bbevent.LimitUntold).Str("peer", coordinator.Name).Str("endpoint", endpoint).Err(err).Send()
		answer = bbpeer.Permitted{
			Wait: noPermitBackoff,
		}
	}
	if l.hooks.Now()-asked > permitValidity {
		answer = bbpeer.Permitted{}
	}
	return l.accept(endpoint, answer)
}

// accept records for how long no permit is to be had, and reports whether there is one.
func (l *Limits) accept(endpoint string, answer bbpeer.Permitted) bool {
	if answer.Granted {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.deniedUntil) >= maxDenials {
		clear(l.deniedUntil)
	}
	l.deniedUntil[endpoint] = l.hooks.Now() + answer.Wait
	return false
}

// Decide decides on a request of this or another VM to an endpoint with a limit.
func (l *Limits) Decide(p bbpeer.Permit) bbpeer.Permitted {
	// A limit that this VM knows may be newer than that of the VM which asks.
	if known, _, _ := l.knowledge.Limit(p.Endpoint); !known.Named && p.Limit.Process.ID == p.Endpoint {
		l.learn(p.Limit, l.self.Name)
	}
	rate, limited := l.Rate(p.Endpoint)
	if !limited || rate == 0 {
		return bbpeer.Permitted{
			Wait: noPermitBackoff,
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.hooks.Now()
	return bbpeer.Permitted{
		Granted: l.paces.Take(now, p.Endpoint, rate),
		Wait:    l.paces.Wait(now, p.Endpoint, rate),
	}
}

// BackoffUntil returns when this VM may send to an endpoint again that has requested backoff or for which it got
// no permit; 0 if it may now.
func (l *Limits) BackoffUntil(endpoint string) time.Duration {
	until := l.knowledge.BackoffUntil(endpoint)
	l.mu.Lock()
	defer l.mu.Unlock()
	denied, ok := l.deniedUntil[endpoint]
	if !ok {
		return until
	}
	if denied <= l.hooks.Now() {
		delete(l.deniedUntil, endpoint)
		return until
	}
	return max(until, denied)
}

// Record records what an answer to a request that was sent at the given time says of its endpoint's limit, and
// reports changes to all VMs.
func (l *Limits) Record(p bbstanding.Process, limit bbstanding.Limit, sent time.Duration) {
	news := bbpeer.EndpointLimit{
		Process: p,
		Limit:   limit,
	}
	if limit.Named {
		if l.learn(news, l.self.Name) {
			l.report(news, false)
		}
		return
	}
	if l.knowledge.RecordNoLimit(p, sent) {
		l.log.Event(bbevent.EndpointUnlimited).Str("endpoint", p.ID).Str("source", l.self.Name).Send()
		l.report(news, false)
	}
}

// learn records a limit of an endpoint. It reports whether it is new.
func (l *Limits) learn(news bbpeer.EndpointLimit, source string) bool {
	if !l.knowledge.RecordLimit(news.Process, news.Limit) {
		return false
	}
	l.log.Event(bbevent.EndpointLimited).Str("endpoint", news.Process.ID).Float64("perSecond", news.Limit.PerSecond).Str("source", source).Send()
	return true
}

// Merge records limits that another VM reports.
func (l *Limits) Merge(r bbpeer.Limits) {
	for _, news := range r.Limits[:min(len(r.Limits), maxLimits)] {
		changed := false
		if news.Limit.Named {
			changed = l.learn(news, r.From)
		} else if changed = l.knowledge.EndLimit(news.Process); changed {
			l.log.Event(bbevent.EndpointUnlimited).Str("endpoint", news.Process.ID).Str("source", r.From).Send()
		}
		if changed {
			l.report(news, true)
		}
	}
}

// report reports a limit to other VMs.
func (l *Limits) report(news bbpeer.EndpointLimit, relayed bool) {
	for _, m := range l.hooks.Relays(relayed) {
		go l.send(m.Peer, news, relayed)
	}
}

// send reports a limit to one VM.
func (l *Limits) send(peer string, news bbpeer.EndpointLimit, relayed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), limitTimeout)
	defer cancel()
	err := l.hooks.Send(ctx, peer, bbpeer.Limits{
		From:    l.self.Name,
		Limits:  []bbpeer.EndpointLimit{news},
		Relayed: relayed,
	})
	if err != nil {
		l.log.Event(bbevent.LimitUntold).Str("peer", peer).Str("endpoint", news.Process.ID).Err(err).Send()
	}
}
