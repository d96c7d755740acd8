package bbentry

import (
	"context"
	"time"

	"bluebellhall/bluebelld/bbhub"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbstanding"
)

// heard takes in what a process of an endpoint says of itself, and tells other VMs if it leaves.
func (e *Entry) recordSignal(p bbstanding.Process, w bbstanding.Signal) {
	leaves, rests := e.Knowledge.RecordSignal(p, w)
	if rests {
		e.log.Event(bbevent.EndpointRests).Str("endpoint", p.ID).Dur("value", w.RetryAfter).Send()
	}
	if leaves {
		e.log.Event(bbevent.EndpointLeaves).Str("endpoint", p.ID).Str("source", e.settings.Self.Name).Send()
		e.reportLeaving(p, false)
	}
}

// heardLeaving takes in that other VMs heard of endpoints that leave.
func (e *Entry) recordLeaving(l bbpeer.Leaving) {
	for _, p := range l.Processes[:min(len(l.Processes), maxLeaving)] {
		leaves, _ := e.Knowledge.RecordSignal(p, bbstanding.Signal{
			Leaving: true,
		})
		if leaves {
			e.log.Event(bbevent.EndpointLeaves).Str("endpoint", p.ID).Str("source", l.From).Send()
			e.reportLeaving(p, true)
		}
	}
}

const (
	// leavingTimeout bounds a call that tells of an endpoint that leaves.
	leavingTimeout = time.Second
	// maxLeaving bounds the endpoints that one call tells of.
	maxLeaving = 64
)

// tellLeaving tells other VMs of an endpoint that leaves. One that isn't told hears it from the
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

// runPieces makes a call of a stage worker, unless that must get nothing now.
func (e *Entry) runPieces(run RunPieces) RunPieces {
	return func(ctx context.Context, address, endpoint string, pieces []bbhub.Piece) bbhub.CallResult {
		p, may := e.Knowledge.MaySend(endpoint)
		if !may {
			return bbhub.CallResult{
				Outcome: bbhealth.OutcomeHeld,
			}
		}
		answer := run(ctx, address, endpoint, pieces)
		e.recordSignal(p, answer.Signal)
		return answer
	}
}

// freeResults tells a stage worker that results are needed no more, unless it wants nothing of this
// VM: they end by themselves.
func (e *Entry) freeResults(free FreeResults) func(ctx context.Context, address string, handles []string) {
	return func(ctx context.Context, address string, handles []string) {
		p, listed := e.Knowledge.ProcessAt(address)
		if listed && e.Knowledge.BackoffUntil(p.ID) > 0 {
			return
		}
		word := free(ctx, address, handles)
		if listed {
			e.recordSignal(p, word)
		}
	}
}
