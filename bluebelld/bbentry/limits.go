package bbentry

import (
	"context"
	"sync"
	"time"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbcoordinator"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpace"
	"bluebellhall/core/bbstanding"
)

const (
	// limitTimeout bounds a call that reports a limit, and permitTimeout one that asks for a permit, in which a
	// caller waits.
	limitTimeout  = time.Second
	permitTimeout = 150 * time.Millisecond
	// noPermitBackoff is how long no permit is requested for an endpoint after a call for one has failed.
	noPermitBackoff = 500 * time.Millisecond
	// maxLimits bounds the limits accepted from one call, and maxDenials the endpoints with a denied permit.
	maxLimits  = 64
	maxDenials = 4096
)

// limits counts the requests to endpoints that have named a limit. The VM that coordinates the failure domain of
// an endpoint counts for all VMs: its coordinator takes a token for each grant and call, and other VMs ask it for
// a permit before each request to a plain service.
type limits struct {
	mu    sync.Mutex
	paces bbpace.Table
	// deniedUntil is when this VM may ask again for a permit for an endpoint.
	deniedUntil map[string]time.Duration
}

// limitRate returns the rate at which this VM may use an endpoint, and whether the endpoint has a limit.
func (e *Entry) limitRate(endpoint string) (perSecond float64, limited bool) {
	l, _, zone := e.Knowledge.Limit(endpoint)
	if !l.Named {
		return 0, false
	}
	share := e.fleet.LimitShare(zone)
	if share == 0 {
		return 0, true
	}
	return bbpace.Rate(l.PerSecond, share), true
}

// notCoordinatedWait is how long a VM that doesn't coordinate an endpoint with a limit leaves it alone before it
// looks again.
const notCoordinatedWait = time.Second

// pace returns the functions by which the coordinator of this VM keeps to the limits of endpoints.
func (e *Entry) pace() bbcoordinator.Pace {
	return bbcoordinator.Pace{
		Rate: e.limitRate,
		AvailableAt: func(endpoint string) time.Duration {
			rate, limited := e.limitRate(endpoint)
			switch {
			case !limited:
				return 0
			case rate == 0:
				return e.now() + notCoordinatedWait
			}
			e.limits.mu.Lock()
			defer e.limits.mu.Unlock()
			now := e.now()
			if wait := e.limits.paces.Wait(now, endpoint, rate); wait > 0 {
				return now + wait
			}
			return 0
		},
		Take: func(endpoint string) {
			if rate, limited := e.limitRate(endpoint); limited && rate > 0 {
				e.limits.mu.Lock()
				defer e.limits.mu.Unlock()
				e.limits.paces.Take(e.now(), endpoint, rate)
			}
		},
	}
}

// mayFree reports whether this VM may send an endpoint a request that can be left out.
func (e *Entry) mayFree(endpoint string) bool {
	rate, limited := e.limitRate(endpoint)
	if !limited {
		return true
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	return rate > 0 && e.limits.paces.TakeSpare(e.now(), endpoint, rate)
}

// grantHolds reports whether a grant may be used: a coordinator that didn't know of the engine's limit has not
// counted it. It is told of the limit.
func (e *Entry) grantHolds(g bbjob.Grant, coordinator string) bool {
	l, p, _ := e.Knowledge.Limit(g.Endpoint)
	if !l.Named || g.Paced {
		return true
	}
	if coordinator != e.settings.Self.Peer {
		go e.sendLimit(coordinator, p, l, true)
	}
	return false
}

// permit reports whether this VM may send a request to an endpoint of a plain service, which takes only a
// limited rate from all VMs.
func (e *Entry) permit(ctx context.Context, endpoint string) bool {
	l, p, zone := e.Knowledge.Limit(endpoint)
	if !l.Named {
		return true
	}
	request := bbpeer.Permit{
		Endpoint: endpoint,
		Limit: bbpeer.EndpointLimit{
			Process: p,
			Limit:   l,
		},
	}
	_, coordinator := e.fleet.Coordinates(zone)
	answer := bbpeer.Permitted{
		Wait: noPermitBackoff,
	}
	if coordinator.Name == e.settings.Self.Name {
		answer = e.decidePermit(request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		permitted, err := e.conns.Permit(ctx, coordinator.Peer, request)
		if err != nil {
			e.log.Event(bbevent.LimitUntold).Str("peer", coordinator.Name).Str("endpoint", endpoint).Err(err).Send()
		} else {
			answer = permitted
		}
	}
	if !answer.Granted {
		e.deny(endpoint, answer.Wait)
	}
	return answer.Granted
}

// decidePermit decides on a request of this or another VM to an endpoint with a limit.
func (e *Entry) decidePermit(p bbpeer.Permit) bbpeer.Permitted {
	// A limit that this VM knows may be newer than that of the VM which asks.
	if known, _, _ := e.Knowledge.Limit(p.Endpoint); !known.Named && p.Limit.Process.ID == p.Endpoint {
		e.learnLimit(p.Limit, e.settings.Self.Name)
	}
	rate, limited := e.limitRate(p.Endpoint)
	if !limited || rate == 0 {
		return bbpeer.Permitted{
			Wait: noPermitBackoff,
		}
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	now := e.now()
	return bbpeer.Permitted{
		Granted: e.limits.paces.Take(now, p.Endpoint, rate),
		Wait:    e.limits.paces.Wait(now, p.Endpoint, rate),
	}
}

// deny records that an endpoint takes no request of this VM for a time.
func (e *Entry) deny(endpoint string, wait time.Duration) {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	if e.limits.deniedUntil == nil || len(e.limits.deniedUntil) >= maxDenials {
		e.limits.deniedUntil = make(map[string]time.Duration)
	}
	e.limits.deniedUntil[endpoint] = e.now() + wait
}

// backoffUntil returns when this VM may send to an endpoint again that has requested backoff or for which it got
// no permit; 0 if it may now.
func (e *Entry) backoffUntil(endpoint string) time.Duration {
	until := e.Knowledge.BackoffUntil(endpoint)
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	denied, ok := e.limits.deniedUntil[endpoint]
	if !ok {
		return until
	}
	if denied <= e.now() {
		delete(e.limits.deniedUntil, endpoint)
		return until
	}
	return max(until, denied)
}

// recordLimit records what an answer to a request that was sent at the given time says of its endpoint's limit,
// and reports changes to all VMs.
func (e *Entry) recordLimit(p bbstanding.Process, l bbstanding.Limit, sent time.Duration) {
	limit := bbpeer.EndpointLimit{
		Process: p,
		Limit:   l,
	}
	if l.Named {
		e.recordNamedLimit(p, l)
		return
	}
	if e.Knowledge.RecordNoLimit(p, sent) {
		e.log.Event(bbevent.EndpointUnlimited).Str("endpoint", p.ID).Str("source", e.settings.Self.Name).Send()
		e.reportLimit(limit, false)
	}
}

// recordNamedLimit records a limit that an endpoint has named to this VM, if any.
func (e *Entry) recordNamedLimit(p bbstanding.Process, l bbstanding.Limit) {
	limit := bbpeer.EndpointLimit{
		Process: p,
		Limit:   l,
	}
	if e.learnLimit(limit, e.settings.Self.Name) {
		e.reportLimit(limit, false)
	}
}

// learnLimit records a limit of an endpoint. It reports whether it is new.
func (e *Entry) learnLimit(l bbpeer.EndpointLimit, source string) bool {
	if !e.Knowledge.RecordLimit(l.Process, l.Limit) {
		return false
	}
	e.log.Event(bbevent.EndpointLimited).Str("endpoint", l.Process.ID).Float64("perSecond", l.Limit.PerSecond).Str("source", source).Send()
	return true
}

// recordLimits records limits that another VM reports.
func (e *Entry) recordLimits(r bbpeer.Limits) {
	for _, l := range r.Limits[:min(len(r.Limits), maxLimits)] {
		changed := false
		if l.Limit.Named {
			changed = e.learnLimit(l, r.From)
		} else if changed = e.Knowledge.EndLimit(l.Process); changed {
			e.log.Event(bbevent.EndpointUnlimited).Str("endpoint", l.Process.ID).Str("source", r.From).Send()
		}
		if changed {
			e.reportLimit(l, true)
		}
	}
}

// reportLimit reports a limit of an endpoint to other VMs.
func (e *Entry) reportLimit(l bbpeer.EndpointLimit, relayed bool) {
	for _, m := range e.fleet.Relays(relayed) {
		go e.sendLimit(m.Peer, l.Process, l.Limit, relayed)
	}
}

// sendLimit reports a limit of an endpoint to one VM.
func (e *Entry) sendLimit(peer string, p bbstanding.Process, l bbstanding.Limit, relayed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), limitTimeout)
	defer cancel()
	err := e.conns.Limits(ctx, peer, bbpeer.Limits{
		From:    e.settings.Self.Name,
		Relayed: relayed,
		Limits: []bbpeer.EndpointLimit{
			{
				Process: p,
				Limit:   l,
			},
		},
	})
	if err != nil {
		e.log.Event(bbevent.LimitUntold).Str("peer", peer).Str("endpoint", p.ID).Err(err).Send()
	}
}
