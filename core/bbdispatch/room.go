// Package bbdispatch decides who starts next when there is too little capacity for all: it holds requests that
// have started nothing, and selects the next one by whether it can still be on time, by what its client account
// got lately, and by its last possible start.
package bbdispatch

import "time"

const (
	// maxWaiting bounds the requests that wait: some seconds of the load of the largest deployment specification.
	maxWaiting = 10000
	// maxAccountShare is the largest fraction of maxWaiting that the requests of one account may take.
	maxAccountShare = 0.5
)

// Request is a request that has started nothing.
type Request struct {
	ID string
	// Account is the client account; empty if there is none.
	Account string
	// Route groups requests that need the same services.
	Route string
	// StartBy is the latest start for an answer that is on time, LastStart the latest one for any answer.
	StartBy, LastStart time.Duration
	// Demand is the number of pieces that it needs of each service.
	Demand map[string]int
}

// Room holds requests that wait for their start.
type Room struct {
	shares  *Shares
	routes  map[string]*route
	entries map[string]*entry
	// perAccount counts the requests of each account.
	perAccount map[string]int
	// demand has the pieces that all requests need of each service, by the time of their last start.
	demand map[string]*histogram
}

// route has the requests of one route.
type route struct {
	name string
	// punctual requests can still be on time, late ones can't.
	punctual, late *line
}

// entry is a request and its place in a line.
type entry struct {
	Request
	line  *line
	queue *accountQueue
	// inQueue and inLine are the positions in the heaps of the account and of the line.
	inQueue, inLine int
}

// NewRoom returns an empty room that orders accounts by their shares.
func NewRoom(shares *Shares) *Room {
	r := &Room{
		shares:     shares,
		routes:     make(map[string]*route),
		entries:    make(map[string]*entry),
		perAccount: make(map[string]int),
		demand:     make(map[string]*histogram),
	}
	shares.changed = r.reorder
	return r
}

// Len returns the number of requests that wait.
func (r *Room) Len() int {
	return len(r.entries)
}

// Has reports whether a request waits.
func (r *Room) Has(id string) bool {
	return r.entries[id] != nil
}

// Full reports whether no further request of an account may wait.
func (r *Room) Full(account string) bool {
	return len(r.entries) >= maxWaiting || r.perAccount[account] >= maxAccountShare*maxWaiting
}

// Add makes a request wait. It reports false if the room is full.
func (r *Room) Add(now time.Duration, q Request) bool {
	if r.Has(q.ID) || r.Full(q.Account) {
		return r.Has(q.ID)
	}
	t := r.routes[q.Route]
	if t == nil {
		t = &route{
			name:     q.Route,
			punctual: newLine(startsLater, startsEarlier),
			late:     newLine(endsEarlier, endsEarlier),
		}
		r.routes[q.Route] = t
	}
	e := &entry{
		Request: q,
	}
	r.entries[q.ID] = e
	r.perAccount[q.Account]++
	r.count(q, 1)
	if q.StartBy >= now {
		t.punctual.add(e, r.shares.of(q.Account))
	} else {
		t.late.add(e, r.shares.of(q.Account))
	}
	return true
}

// Remove ends the wait of a request; it does nothing if the request doesn't wait.
func (r *Room) Remove(id string) {
	e := r.entries[id]
	if e == nil {
		return
	}
	e.line.remove(e)
	delete(r.entries, id)
	if r.perAccount[e.Account]--; r.perAccount[e.Account] == 0 {
		delete(r.perAccount, e.Account)
	}
	r.count(e.Request, -1)
	if t := r.routes[e.Route]; t.punctual.accounts.len()+t.late.accounts.len() == 0 {
		delete(r.routes, e.Route)
	}
}

// Next returns the request that should start next among those that fit, without removing it; false if there is
// none. Requests that can still be on time go before those that can't, the account that got least before the others,
// and late requests by their last start; among routes the one whose first request must start first. Fits is called for the first request of each route at most twice.
func (r *Room) Next(now time.Duration, fits func(q Request, punctual bool) bool) (Request, bool) {
	for _, t := range r.routes {
		r.demote(now, t)
	}
	for _, punctual := range []bool{true, false} {
		if e := r.next(punctual, fits); e != nil {
			return e.Request, true
		}
	}
	return Request{}, false
}

// next returns the first request of the route that must start first among those that fit, or nil.
func (r *Room) next(punctual bool, fits func(q Request, punctual bool) bool) *entry {
	var best *entry
	for _, t := range r.routes {
		l := t.late
		if punctual {
			l = t.punctual
		}
		e := l.first()
		if e == nil || best != nil && !precedes(l, e, best) {
			continue
		}
		if fits(e.Request, punctual) {
			best = e
		}
	}
	return best
}

// startsLater orders requests that can still be on time. The one with the most time to spare goes first: if it doesn't
// fit, none does, and one that will just miss its objective must not hold up the others.
func startsLater(a, b *entry) bool { return a.StartBy > b.StartBy }

func startsEarlier(a, b *entry) bool { return a.StartBy < b.StartBy }

func endsEarlier(a, b *entry) bool { return a.LastStart < b.LastStart }

// precedes orders the first requests of two routes. The ID decides between equals, so that decisions can be replayed.
func precedes(l *line, a, b *entry) bool {
	if l.due(a, b) || l.due(b, a) {
		return l.due(a, b)
	}
	return a.ID < b.ID
}

// demote moves the requests that can no longer be on time.
func (r *Room) demote(now time.Duration, t *route) {
	for {
		e := t.punctual.earliest()
		if e == nil || e.StartBy >= now {
			return
		}
		t.punctual.remove(e)
		t.late.add(e, r.shares.of(e.Account))
	}
}

// Ahead returns the pieces of a service that requests need whose last start is not later than the given time.
func (r *Room) Ahead(service string, lastStart time.Duration) int {
	if h := r.demand[service]; h != nil {
		return h.upTo(lastStart)
	}
	return 0
}

// Accounts returns the number of requests that wait by account.
func (r *Room) Accounts() map[string]int {
	counts := make(map[string]int, len(r.perAccount))
	for account, n := range r.perAccount {
		counts[account] = n
	}
	return counts
}

// count adds the demand of a request n times.
func (r *Room) count(q Request, n int) {
	for service, pieces := range q.Demand {
		h := r.demand[service]
		if h == nil {
			h = &histogram{}
			r.demand[service] = h
		}
		if h.add(q.LastStart, n*pieces); h.total == 0 {
			delete(r.demand, service)
		}
	}
}

// reorder restores the order of the accounts after the share of one has changed.
func (r *Room) reorder(account string) {
	if r.perAccount[account] == 0 {
		return
	}
	for _, t := range r.routes {
		t.punctual.fix(account)
		t.late.fix(account)
	}
}
