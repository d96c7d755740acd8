package bbentry

import (
	"context"
	"time"

	"bluebellhall/bluebelld/bbhub"
	"bluebellhall/bluebelld/bblimit"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

// noAnswer stands for the time when a request was sent whose answer says nothing of a limit: there may have been
// none, or it could not be read.
const noAnswer time.Duration = 0

// newLimits returns the limits of this VM.
func (e *Entry) newLimits() *bblimit.Limits {
	return bblimit.New(e.settings.Self, e.Knowledge, e.log, bblimit.Hooks{
		Now:   e.now,
		Share: e.fleet.LimitShare,
		Coordinator: func(zone string) bbgossip.Member {
			_, coordinator := e.fleet.Coordinates(zone)
			return coordinator
		},
		Relays: e.fleet.Relays,
		Send:   e.conns.Limits,
		Ask:    e.conns.Permit,
	})
}

// recordSignal records the load signal of an endpoint's process in the answer to a request that was sent at the
// given time, and reports to other VMs that it drains or what it names as its limit.
func (e *Entry) recordSignal(p bbstanding.Process, s bbstanding.Signal, sent time.Duration) {
	if s.LimitUnclear {
		sent = noAnswer
	}
	if s.Load.SharesMachine() {
		e.recordSharedMachines(p.ID)
	}
	// The load is of use only to whoever chooses the endpoint, and it is in most answers.
	s.Load = bbspeed.Report{}
	e.limits.Record(p, s.Limit, sent)
	newlyLeaving, extended := e.Knowledge.RecordSignal(p, s)
	if extended {
		e.log.Event(bbevent.EndpointRests).Str("endpoint", p.ID).Dur("value", s.RetryAfter).Send()
	}
	if newlyLeaving {
		e.log.Event(bbevent.EndpointLeaves).Str("endpoint", p.ID).Str("source", e.settings.Self.Name).Send()
		e.reportLeaving(p, false)
	}
}

// recordSharedMachines records that endpoints of the deployment share their machines with other work. Source is the
// endpoint or the VM that stated it.
func (e *Entry) recordSharedMachines(source string) {
	if !e.sharedMachines.Load() && e.sharedMachines.CompareAndSwap(false, true) {
		e.log.Event(bbevent.MachinesShared).Str("source", source).Send()
	}
}

// recordLeaving records endpoints that are draining according to another VM.
func (e *Entry) recordLeaving(l bbpeer.Leaving) {
	for _, p := range l.Processes[:min(len(l.Processes), maxLeaving)] {
		newlyLeaving, _ := e.Knowledge.RecordSignal(p, bbstanding.Signal{
			Leaving: true,
		})
		if newlyLeaving {
			e.log.Event(bbevent.EndpointLeaves).Str("endpoint", p.ID).Str("source", l.From).Send()
			e.reportLeaving(p, true)
		}
	}
}

const (
	// leavingTimeout bounds a call that reports a draining endpoint.
	leavingTimeout = time.Second
	// maxLeaving bounds the endpoints accepted from one call.
	maxLeaving = 64
)

// reportLeaving reports to other VMs that an endpoint drains. A VM that can't be reached learns it from the
// endpoint or from the platform.
func (e *Entry) reportLeaving(p bbstanding.Process, relayed bool) {
	for _, m := range e.fleet.Relays(relayed) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), leavingTimeout)
			defer cancel()
			err := e.conns.Leaving(ctx, m.Peer, bbpeer.Leaving{
				From:      e.settings.Self.Name,
				Processes: []bbstanding.Process{p},
			})
			if err != nil {
				e.log.Event(bbevent.LeavingUntold).Str("peer", m.Name).Str("endpoint", p.ID).Err(err).Send()
			}
		}()
	}
}

// runPieces wraps the call of a stage worker: nothing is sent to a worker that drains or requested a backoff.
func (e *Entry) runPieces(run RunPieces) RunPieces {
	return func(ctx context.Context, address, endpoint string, pieces []bbhub.Piece) bbhub.CallResult {
		p, may := e.Knowledge.MaySend(endpoint)
		if !may {
			return bbhub.CallResult{
				Outcome: bbhealth.OutcomeHeld,
			}
		}
		sent := e.now()
		answer := run(ctx, address, endpoint, pieces)
		if answer.Outcome != bbhealth.OutcomeGood && answer.Outcome != bbhealth.OutcomeFull {
			sent = noAnswer
		}
		e.recordSignal(p, answer.Signal, sent)
		answer.Process = p
		return answer
	}
}

// freeResults wraps the call that frees results at a stage worker. It does nothing if the worker requested
// a backoff from this VM or has named a limit that calls need: results expire by themselves.
func (e *Entry) freeResults(free FreeResults) func(ctx context.Context, address string, handles []string) {
	return func(ctx context.Context, address string, handles []string) {
		p, listed := e.Knowledge.ProcessAt(address)
		if listed && (e.Knowledge.BackoffUntil(p.ID) > 0 || !e.limits.MayFree(p.ID)) {
			return
		}
		signal := free(ctx, address, handles)
		if listed {
			e.recordSignal(p, signal, noAnswer)
			e.hub.ReportLoad(p, signal.Load)
		}
	}
}
