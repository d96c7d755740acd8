package bbcaller

import (
	"sync"

	"bluebellhall/core/bbmsg"
)

// calls has the connections that wait for answers of the core.
type calls struct {
	mu   sync.Mutex
	last uint64
	max  int
	// open maps call numbers to their connections, at most max.
	open map[uint64]*call
}

// call is one waiting connection.
type call struct {
	number uint64
	// more is signalled when there is something to read.
	ready chan struct{}

	mu sync.Mutex
	// answers wait to be written. A slow caller's tokens gather here; their number is
	// bounded by the length of the stream.
	answers []bbmsg.Answer
	address *bbmsg.AddressAnswer
}

// newCalls returns an empty table.
func newCalls(limit int) *calls {
	return &calls{
		max:  limit,
		open: make(map[uint64]*call),
	}
}

// add returns a new call, and false when there are too many.
func (c *calls) add() (*call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.max {
		return nil, false
	}
	c.last++
	k := &call{
		number: c.last,
		ready:  make(chan struct{}, 1),
	}
	c.open[k.number] = k
	return k, true
}

// remove forgets a call.
func (c *calls) remove(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, k.number)
}

// find returns a call, or nil when its connection is gone.
func (c *calls) find(number uint64) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[number]
}

// Answer gives an answer of the core to the connection that waits for it.
func (a *API) Answer(m bbmsg.Answer) {
	k := a.calls.find(m.Call)
	if k == nil {
		return
	}
	k.mu.Lock()
	k.answers = append(k.answers, m)
	k.mu.Unlock()
	k.signal()
}

// Addresses gives an address answer to the connection that waits for it.
func (a *API) Addresses(m bbmsg.AddressAnswer) {
	k := a.calls.find(m.Call)
	if k == nil {
		return
	}
	k.mu.Lock()
	k.address = &m
	k.mu.Unlock()
	k.signal()
}

// signal wakes the connection.
func (k *call) signal() {
	select {
	case k.ready <- struct{}{}:
	default:
	}
}

// take returns the answers that wait.
func (k *call) takeAnswers() []bbmsg.Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := k.answers
	k.answers = nil
	return taken
}
