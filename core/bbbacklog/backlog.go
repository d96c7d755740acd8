// Package bbbacklog holds the attempts at one endpoint: those that wait in its fair
// queue, those that wait to run alone, those that run and those that broke.
package bbbacklog

import (
	"slices"
	"time"

	"bluebellhall/core/bbfair"
	"bluebellhall/core/bbmsg"
)

const (
	// queuePerSlot is how many requests may wait per slot of an endpoint, besides those
	// that arrive together and find the slots free.
	queuePerSlot = 2
	// aloneLimit bounds the attempts that wait to run alone on an endpoint.
	aloneLimit = 2
	// unitCost is the cost of an attempt in the fair queue.
	unitCost = 1
	// AlonePause is the time between two attempts that run alone on an endpoint.
	AlonePause = time.Second
)

// State tells where an attempt stands.
type State int

// The states of an attempt.
const (
	// Queued has not been sent.
	Queued State = iota
	// Running has been sent and counts as in flight.
	Running
	// Stopped was stopped by the owner; its result has been given.
	Stopped
	// Broken broke and waits for its result to be given.
	Broken
)

// Work is one attempt at its owner.
type Work struct {
	// Number is the number of the call, unique in the process.
	Number uint64
	// Key identifies the attempt.
	Key      uint64
	Dispatch bbmsg.Dispatch
	State    State
	// Queued, Sent and Progress are when it came, was sent and last showed a token or
	// broke.
	Queued   time.Duration
	Sent     time.Duration
	Progress time.Duration
	// Deadline is when its budget ends.
	Deadline time.Duration
	// Linger is when a stopped call no longer counts.
	StopExpiry time.Duration
	// Started is true once a token has come.
	Started bool
	// Next is the offset of the next token to pass on.
	Next int
	// Others is how many other calls ran when it broke.
	ConcurrentCalls int
}

// Backlog holds the attempts at one endpoint.
type Backlog struct {
	// Running holds the calls that count as in flight, in the order of sending.
	Running []*Work
	// Broken holds calls that broke and whose result waits for the fate of others.
	Broken []*Work
	// Alone holds attempts that wait for the endpoint to be empty, at most aloneLimit.
	Alone []*Work
	// AloneAt is when the next attempt may run alone.
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

// Push queues an attempt that must be sent by a time. It returns the attempts that lost
// their place to it, and false when there is no place for it.
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

// take returns the attempts of queue items that have left the queue.
func (b *Backlog) take(items []bbfair.Item) []*Work {
	var works []*Work
	for _, item := range items {
		works = append(works, b.queued[item.Key])
		delete(b.queued, item.Key)
	}
	return works
}

// Next takes the next attempt to send, or returns nil. One that must run alone holds
// the others back until the endpoint is empty, and nothing runs beside it.
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

// Expire takes out the attempts that can't be sent in time any more.
func (b *Backlog) Expire(now time.Duration) []*Work {
	works := b.take(b.queue.Expire(now))
	for len(b.Alone) > 0 && b.Alone[0].Deadline <= now {
		works = append(works, b.Alone[0])
		b.Alone = b.Alone[1:]
	}
	return works
}

// Clear takes out all attempts that wait.
func (b *Backlog) Clear(now time.Duration) []*Work {
	works := b.take(b.queue.Expire(now))
	for item, ok := b.queue.Pop(now); ok; item, ok = b.queue.Pop(now) {
		works = append(works, b.take([]bbfair.Item{item})...)
	}
	works = append(works, b.Alone...)
	b.Alone = nil
	return works
}

// Remove takes an attempt that waits out.
func (b *Backlog) Remove(w *Work) {
	b.queue.Remove(w.Number)
	delete(b.queued, w.Number)
	b.Alone = without(b.Alone, w)
}

// Waiting returns the number of attempts that wait.
func (b *Backlog) Waiting() int { return b.queue.Len() + len(b.Alone) }

// QueueFull returns true when a backlog for a number of slots has no place.
func (b *Backlog) QueueFull(slots int) bool { return b.Waiting() >= queuePerSlot*slots }

// Ahead returns how many attempts more than fit into the limit there would be with one
// more.
func (b *Backlog) Ahead(limit int) int {
	return max(b.Waiting()+len(b.Running)+1-limit, 0)
}

// AheadOf is like Ahead for a given attempt, by its turn in the fair queue.
func (b *Backlog) AheadOf(w *Work, limit int) int {
	before := b.queue.CountBefore(itemOf(w, 0)) + len(b.Alone)
	return max(before+len(b.Running)+1-limit, 0)
}

// itemOf returns an attempt that must be sent by a time as an item of the fair queue.
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

// Start notes that an attempt is sent.
func (b *Backlog) Start(now time.Duration, w *Work) {
	w.State = Running
	w.Sent = now
	w.Progress = now
	b.Running = append(b.Running, w)
}

// Finish takes a call off the endpoint.
func (b *Backlog) Finish(now time.Duration, w *Work) {
	b.Running = without(b.Running, w)
	b.Broken = without(b.Broken, w)
	if w.Dispatch.Alone {
		b.AloneAt = now + AlonePause
	}
}

// Break notes that the connection of a call broke.
func (b *Backlog) Break(now time.Duration, w *Work) {
	b.Finish(now, w)
	w.State = Broken
	w.Progress = now
	w.ConcurrentCalls = b.Live()
	b.Broken = append(b.Broken, w)
}

// Live returns the number of calls that still make news.
func (b *Backlog) Live() int {
	live := 0
	for _, w := range b.Running {
		if w.State == Running {
			live++
		}
	}
	return live
}

// SentUpTo returns how many running calls were sent up to a time.
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
