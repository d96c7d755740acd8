package bbresumption

import (
	"context"
	"slices"
	"time"

	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbprovenance"
)

// HandedOver is what a VM has begun to send because the fleet has changed.
type HandedOver struct {
	// Attempts is the number of attempts whose records are sent, Copies that of their copies.
	Attempts, Copies int
	// Peers are the addresses of the VMs that get them.
	Peers []string
}

const (
	// viewSlack bounds the time by which VMs notice a change of the fleet after one another: that until a lost VM no
	// longer counts as running, and two rounds of gossip.
	viewSlack = 3 * time.Second
	// maxUnsettled bounds the attempts that are unsettled at a time; others count as settled at once.
	maxUnsettled = 16384
)

// view is the fleet as this VM saw it from a time on.
type view struct {
	since   time.Duration
	members []bbgossip.Member
}

// unsettled is the state of an attempt whose records were stored less than viewSlack ago. The VM that sent them may not have
// noticed a change of the fleet that this one had noticed before, or the other way round, so that the VMs that are to hold
// them don't all have them.
type unsettled struct {
	since time.Duration
	// reviewed is true once the records were sent to the VMs that had come to hold them when they were stored.
	reviewed bool
}

// handOver sends records to the VMs that are to hold them since the fleet changed. It doesn't wait for them.
func (r *Resumptions) handOver(ctx context.Context) {
	r.handingOver.Lock()
	defer r.handingOver.Unlock()
	members := r.hooks.Members()
	now := r.hooks.Now()
	if len(r.views) == 0 {
		// This VM has just started. The records that it has were sent by VMs that know of it.
		if len(members) > 1 {
			r.views = []view{{
				since:   now,
				members: members,
			}}
		}
		return
	}
	last := r.views[len(r.views)-1].members
	changed := !bbprovenance.SameHolders(last, members)
	if changed {
		r.views = append(r.views, view{
			since:   now,
			members: members,
		})
	}
	// The first view that is kept was in force viewSlack ago.
	for len(r.views) > 1 && r.views[1].since <= now-viewSlack {
		r.views = r.views[1:]
	}
	attempts, recent := r.review(now, changed)
	if len(r.views) == 1 {
		return
	}
	fromFirst := bbprovenance.NewHandover(r.self, r.views[0].members, members)
	fromLast := bbprovenance.NewHandover(r.self, last, members)
	batches := make(map[string][]recordCopy)
	var done HandedOver
	add := func(attempt uint64, to []bbgossip.Member) {
		if len(to) == 0 {
			return
		}
		done.Attempts++
		done.Copies += len(to)
		assign(batches, attempt, to, fromLast.Fallbacks(attempt))
	}
	for _, attempt := range attempts {
		add(attempt, fromLast.Recipients(attempt))
	}
	for attempt, u := range recent {
		switch {
		case !u.reviewed:
			add(attempt, fromFirst.Added(attempt))
		case changed:
			add(attempt, fromLast.Added(attempt))
		}
	}
	if done.Attempts == 0 {
		return
	}
	for peer := range batches {
		done.Peers = append(done.Peers, peer)
	}
	r.hooks.HandedOver(done)
	r.sendAll(ctx, batches)
}

// review returns the unsettled attempts as they were, and marks them as reviewed. If the fleet has changed, it also
// returns all other attempts.
func (r *Resumptions) review(now time.Duration, changed bool) (settled []uint64, recent map[uint64]unsettled) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent = make(map[uint64]unsettled, len(r.unsettled))
	for attempt, u := range r.unsettled {
		recent[attempt] = u
		if now-u.since >= viewSlack {
			delete(r.unsettled, attempt)
			continue
		}
		u.reviewed = true
		r.unsettled[attempt] = u
	}
	if !changed {
		return nil, recent
	}
	settled = slices.DeleteFunc(r.table.Attempts(now), func(attempt uint64) bool {
		_, isRecent := recent[attempt]
		return isRecent
	})
	return settled, recent
}

// Finish hands over the records of a VM that stops, and waits until all copies have been sent or the context ends. It
// returns false if some are still to be sent.
func (r *Resumptions) Finish(ctx context.Context) bool {
	r.handOver(ctx)
	ticker := time.NewTicker(finishPeriod)
	defer ticker.Stop()
	for r.unsent.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
