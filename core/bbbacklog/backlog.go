// Package bbbacklog holds the attempts at one endpoint: those waiting in its fair queue, those
// waiting to run in isolation, those running and those whose connection broke.
package bbbacklog

import (
	"slices"
	"time"

	"bluebellhall/core/bbfair"
	"bluebellhall/core/bbmsg"
)

const (
	// queuePerSlot is how many requests may wait per slot of an endpoint, in addition to those
	// that arrive together and find the slots free.
	queuePerSlot = 2
	// aloneLimit bounds the attempts waiting to run in isolation on an endpoint.
	aloneLimit = 2
	// unitCost is the cost of an attempt in the fair queue.
	unitCost = 1
	// AlonePause is the minimum time from the end of an isolated attempt to the next one on an endpoint.
	AlonePause = time.Second
)

// State is the state of an attempt.
type State int

// The states of an attempt.
const (
	// Queued has not been sent.
	Queued State = iota
	// Running has been sent and counts as in flight.
	Running
	// Stopped was cancelled by the owner; its result has been reported.
	Stopped
	// Broken lost its connection; its result is not reported yet.
	Broken
)

// Work is one attempt at the owner of its endpoint.
type Work struct {
	// Number is the number of the call, unique in the process.
	Number uint64
	// Key identifies the attempt.
	Key      uint64
	Dispatch bbmsg.Dispatch
	State    State
	// Queued and Sent are when the attempt was queued and sent. Progress is when it last
	// produced a token or broke.
	Queued   time.Duration
	Sent     time.Duration
	Progress time.Duration
	// Deadline is when its time budget ends.
	Deadline time.Duration
	// StopExpiry is when a stopped call no longer counts as in flight.
	StopExpiry time.Duration
	// Started is true once a token has been received.
	Started bool
	// Next is the offset of the next token to forward.
	Next int
	// ConcurrentCalls is the number of other calls that were running when it broke.
	ConcurrentCalls int
}

// Backlog holds the attempts at one endpoint.
type Backlog struct {
	// Running holds the calls that count as in flight, in sending order.
	Running []*Work
	// Broken holds calls that broke and whose result is held until the outcome of the others is known.
	Broken []*Work
	// Alone holds attempts waiting for the endpoint to be idle, at most aloneLimit.
	Alone []*Work
	// AloneAt is the earliest time of the next isolated attempt.
	AloneAt time.Duration

	queue *bbfair.Queue
	// queued holds the attempts in queue by number.
	queued map[uint64]*Work
}

// New returns an empty backlog for an endpoint with a number of slots.
func New(slots int) Backlog {
	return Backlog{
		queue:  bbfair.New((queuePerSlot + 1) * slots),
		queued: map[uint64]*Work{},
	}
}

// Push queues an attempt that must be sent by sendBy. It returns the attempts evicted in favour of
// it, and false if the queue has no place for it.
func (b *Backlog) Push(now time.Duration, w *Work, sendBy time.Duration) (evicted []*Work, ok bool) {
	if w.Dispatch.Alone {
		if len(b.Alone) >= aloneLimit {
			return nil, false
		}
		b.Alone = append(b.Alone, w)
		return nil, true
	}
	items, ok := b.queue.Push(now, itemOf(w, sendBy))
	if ok {
		b.queued[w.Number] = w
	}
	return b.take(items), ok
}

// take returns the attempts of items that were removed from the queue.
func (b *Backlog) take(items []bbfair.Item) []*Work {
	var works []*Work
	for _, item := range items {
		works = append(works, b.queued[item.Key])
		delete(b.queued, item.Key)
	}
	return works
}

// Next removes and returns the next attempt to send, or nil. An isolated attempt blocks the
// others until the endpoint is idle, and nothing runs beside it.
func (b *Backlog) Next(now time.Duration) *Work {
	if len(b.Running) > 0 && b.Running[0].Dispatch.Alone {
		return nil
	}
	if len(b.Alone) > 0 && now >= b.AloneAt {
		if len(b.Running) > 0 {
			return nil
		}
		w := b.Alone[0]
		b.Alone = b.Alone[1:]
		return w
	}
	item, ok := b.queue.Pop(now)
	if !ok {
		return nil
	}
	return b.take([]bbfair.Item{item})[0]
}

// Expire removes the attempts that can no longer be sent in time.
func (b *Backlog) Expire(now time.Duration) []*Work {
	works := b.take(b.queue.Expire(now))
	for len(b.Alone) > 0 && b.Alone[0].Deadline <= now {
		works = append(works, b.Alone[0])
		b.Alone = b.Alone[1:]
	}
	return works
}

// Clear removes all waiting attempts.
func (b *Backlog) Clear(now time.Duration) []*Work {
	works := b.take(b.queue.Expire(now))
	for item, ok := b.queue.Pop(now); ok; item, ok = b.queue.Pop(now) {
		works = append(works, b.take([]bbfair.Item{item})...)
	}
	works = append(works, b.Alone...)
	b.Alone = nil
	return works
}

// Remove removes a waiting attempt.
func (b *Backlog) Remove(w *Work) {
	b.queue.Remove(w.Number)
	delete(b.queued, w.Number)
	b.Alone = without(b.Alone, w)
}

// Waiting returns the number of waiting attempts.
func (b *Backlog) Waiting() int { return b.queue.Len() + len(b.Alone) }

// QueueFull reports whether the backlog has reached its limit for a number of slots.
func (b *Backlog) QueueFull(slots int) bool { return b.Waiting() >= queuePerSlot*slots }

// Ahead returns by how many attempts the backlog would exceed a concurrency limit if one more
// were added.
func (b *Backlog) Ahead(limit int) int {
	return max(b.Waiting()+len(b.Running)+1-limit, 0)
}

// AheadOf is like Ahead for a given attempt, by its position in the fair queue.
func (b *Backlog) AheadOf(w *Work, limit int) int {
	before := b.queue.CountBefore(itemOf(w, 0)) + len(b.Alone)
	return max(before+len(b.Running)+1-limit, 0)
}

// itemOf returns the item of the fair queue for an attempt that must be sent by sendBy.
func itemOf(w *Work, sendBy time.Duration) bbfair.Item {
	return bbfair.Item{
		Key:      w.Number,
		Account:  w.Dispatch.Account,
		Priority: w.Dispatch.Priority,
		Weight:   w.Dispatch.Weight,
		Cost:     unitCost,
		Deadline: sendBy,
	}
}

// Start records that an attempt was sent.
func (b *Backlog) Start(now time.Duration, w *Work) {
	w.State = Running
	w.Sent = now
	w.Progress = now
	b.Running = append(b.Running, w)
}

// Finish removes a call from the endpoint's running and broken calls.
func (b *Backlog) Finish(now time.Duration, w *Work) {
	b.Running = without(b.Running, w)
	b.Broken = without(b.Broken, w)
	if w.Dispatch.Alone {
		b.AloneAt = now + AlonePause
	}
}

// Break records that the connection of a call broke.
func (b *Backlog) Break(now time.Duration, w *Work) {
	b.Finish(now, w)
	w.State = Broken
	w.Progress = now
	w.ConcurrentCalls = b.Live()
	b.Broken = append(b.Broken, w)
}

// Live returns the number of running calls that have not been stopped.
func (b *Backlog) Live() int {
	live := 0
	for _, w := range b.Running {
		if w.State == Running {
			live++
		}
	}
	return live
}

// SentUpTo returns how many running calls were sent at or before a time.
func (b *Backlog) SentUpTo(sent time.Duration) int {
	count := 0
	for _, w := range b.Running {
		if w.Sent <= sent {
			count++
		}
	}
	return count
}

// NextExpiry returns the earliest time at which Expire would return an attempt.
func (b *Backlog) NextExpiry() (time.Duration, bool) {
	at, ok := b.queue.NextDeadline()
	for _, w := range b.Alone {
		if !ok || w.Deadline < at {
			at = w.Deadline
		}
		ok = true
	}
	return at, ok
}

func without(works []*Work, w *Work) []*Work {
	return slices.DeleteFunc(works, func(o *Work) bool { return o == w })
}
