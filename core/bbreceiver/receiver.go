// Package bbreceiver implements the side of an entry VM that faces callers: it finds the home
// of each request, forwards the request to it and returns the home's answers to the caller.
package bbreceiver

import (
	"sort"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmember"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// Settings configure a table of callers.
type Settings struct {
	// Self is the name of this node.
	Self string
	// Keys verify tickets.
	Keys bbticket.Keys
	// MaxCalls bounds the number of waiting callers.
	MaxCalls int
}

// Hooks are the functions of the node that the table calls.
type Hooks struct {
	// HandedOverHomes returns the stopped homes whose records this node has taken over.
	HandedOverHomes func() []bbmsg.HandedOverHome
	// Send sends a message to a node, which may be this one.
	Send func(to string, e bbmsg.Envelope)
	// Answer sends an answer to the caller whose call number it contains.
	Answer func(a *bbmsg.Answer)
	// Emit records an event.
	Emit func(e bbevent.Event)
}

// Table holds the callers that wait at this node. It is not safe for concurrent use.
type Table struct {
	settings Settings
	hooks    Hooks
	members  *bbmember.Table
	// ready is true once the node serves callers; it is never reset.
	ready bool
	// calls holds the waiting callers by the driver's call number, at most MaxCalls.
	calls map[uint64]*call
	// callsByHome has the numbers of the calls that wait for each home.
	callsByHome map[string]map[uint64]bool
	// early has the callers that arrived before the node was ready, at most maxEarly.
	early []bbmsg.CallerArrived
}

// call is a caller that waits at this node.
type call struct {
	number uint64
	id     string
	// home is the node that the request was sent to, and incarnation that of its process then.
	home        string
	incarnation uint64
}

// New returns a table without callers for a node that is not ready.
func New(s Settings, members *bbmember.Table, hooks Hooks) *Table {
	return &Table{
		settings:    s,
		hooks:       hooks,
		members:     members,
		calls:       make(map[uint64]*call),
		callsByHome: make(map[string]map[uint64]bool),
	}
}

// maxEarly bounds the number of callers that wait for the node to become ready.
const maxEarly = 256

// Accept forwards a caller's request to its home, or answers it with the reason why it can't.
// While the node is not ready, the caller is queued.
func (t *Table) Accept(c bbmsg.CallerArrived) {
	if !t.ready {
		t.waitForReady(c)
		return
	}
	if len(t.calls) >= t.settings.MaxCalls {
		t.answerCaller(c.Call, c.Request.ID, bbmsg.OutcomeUnknown, bbmsg.ReasonTableFull)
		return
	}
	if c.Request.ID == "" {
		c.Request.ID = bbticket.KeyID(c.Request.Account, c.Key)
	}
	home, incarnation, reason := t.findHome(c.Request.ID)
	if reason == bbmsg.ReasonBadTicket {
		t.answerCaller(c.Call, c.Request.ID, bbmsg.OutcomeInvalid, reason)
		return
	}
	if reason != bbmsg.ReasonNone {
		t.answerCaller(c.Call, c.Request.ID, bbmsg.OutcomeUnknown, reason)
		return
	}
	t.forward(c, home, incarnation)
}

// waitForReady queues a caller until the node is ready.
func (t *Table) waitForReady(c bbmsg.CallerArrived) {
	if len(t.early) >= maxEarly {
		t.answerCaller(c.Call, c.Request.ID, bbmsg.OutcomeUnknown, bbmsg.ReasonNotReady)
		return
	}
	t.early = append(t.early, c)
}

// Ready starts serving callers and processes the queued early ones.
func (t *Table) Ready() {
	t.ready = true
	early := t.early
	t.early = nil
	for _, c := range early {
		t.Accept(c)
	}
}

// Waiting returns the number of callers that wait for their homes.
func (t *Table) Waiting() int { return len(t.calls) }

// findHome returns the node that answers for a request id and its incarnation, or the reason
// why there is none.
func (t *Table) findHome(id string) (string, uint64, bbmsg.Reason) {
	if bbticket.IsKeyID(id) {
		home := t.members.Owner(bbticket.KeyPlacementName(id), "")
		if home == "" || !t.members.Alive(home) {
			return "", 0, bbmsg.ReasonHomeGone
		}
		return home, t.members.Incarnation(home), bbmsg.ReasonNone
	}
	ticket, _, err := t.settings.Keys.Split(id)
	if err != nil {
		return "", 0, bbmsg.ReasonBadTicket
	}
	if successor, ok := t.successorOf(ticket.Home, ticket.Incarnation); ok {
		return successor, t.members.Incarnation(successor), bbmsg.ReasonNone
	}
	known := t.members.Incarnation(ticket.Home)
	if known != 0 && known != ticket.Incarnation || known != 0 && !t.members.Alive(ticket.Home) {
		return "", 0, bbmsg.ReasonHomeGone
	}
	if known == 0 && t.members.Peers[ticket.Home] == nil {
		return "", 0, bbmsg.ReasonHomeGone
	}
	return ticket.Home, ticket.Incarnation, bbmsg.ReasonNone
}

// successorOf returns the node that answers for a home that handed over its records and stopped.
func (t *Table) successorOf(home string, incarnation uint64) (string, bool) {
	handedOver := bbmsg.HandedOverHome{
		Home:        home,
		Incarnation: incarnation,
	}
	for _, h := range t.hooks.HandedOverHomes() {
		if h == handedOver {
			return t.settings.Self, true
		}
	}
	for _, name := range t.members.AlivePeers() {
		for _, h := range t.members.Peers[name].State.HandedOverHomes {
			if h == handedOver {
				return name, true
			}
		}
	}
	return "", false
}

// forward sends a request to its home and records that the caller waits.
func (t *Table) forward(c bbmsg.CallerArrived, home string, incarnation uint64) {
	t.calls[c.Call] = &call{
		number:      c.Call,
		id:          c.Request.ID,
		home:        home,
		incarnation: incarnation,
	}
	if t.callsByHome[home] == nil {
		t.callsByHome[home] = make(map[uint64]bool)
	}
	t.callsByHome[home][c.Call] = true
	if home != t.settings.Self {
		t.hooks.Emit(bbevent.Event{
			Number:  bbevent.RequestForwarded,
			Request: c.Request.ID,
			Peer:    home,
		})
	}
	t.hooks.Send(home, bbmsg.Envelope{
		Forward: &bbmsg.Forward{
			Call:    c.Call,
			Request: c.Request,
		},
	})
}

// Answer passes an answer from a home to the caller that waits for it. Answers from another
// node, or for another request id, are not meant for this caller and are dropped.
func (t *Table) Answer(from string, a bbmsg.Answer) {
	c, ok := t.calls[a.Call]
	if !ok || c.home != from || c.id != a.ID {
		return
	}
	if a.Outcome != bbmsg.OutcomePending {
		t.removeCall(c)
	}
	t.hooks.Answer(&a)
}

// removeCall removes a caller that was answered or has disconnected.
func (t *Table) removeCall(c *call) {
	delete(t.calls, c.number)
	delete(t.callsByHome[c.home], c.number)
	if len(t.callsByHome[c.home]) == 0 {
		delete(t.callsByHome, c.home)
	}
}

// CallerDisconnected notifies the home that a caller has disconnected. The request continues to
// run.
func (t *Table) CallerDisconnected(number uint64) {
	c, ok := t.calls[number]
	if !ok {
		return
	}
	t.removeCall(c)
	t.hooks.Send(c.home, bbmsg.Envelope{
		Detach: &bbmsg.Detach{
			Call: number,
			ID:   c.id,
		},
	})
}

// PeerChanged answers the callers that wait for a home that was lost or has restarted.
func (t *Table) PeerChanged(name string) {
	waiting := t.callsByHome[name]
	if len(waiting) == 0 || name == t.settings.Self {
		return
	}
	lost := !t.members.Alive(name)
	numbers := make([]uint64, 0, len(waiting))
	for number := range waiting {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for _, number := range numbers {
		c := t.calls[number]
		if lost || c.incarnation != 0 && c.incarnation != t.members.Incarnation(name) {
			t.removeCall(c)
			t.answerCaller(c.number, c.id, bbmsg.OutcomeUnknown, bbmsg.ReasonHomeGone)
		}
	}
}

// ListChanged answers the callers whose home is no longer among the peers.
func (t *Table) ListChanged() {
	var removed []string
	for name := range t.callsByHome {
		if name != t.settings.Self && t.members.Peers[name] == nil {
			removed = append(removed, name)
		}
	}
	sort.Strings(removed)
	for _, name := range removed {
		t.PeerChanged(name)
	}
}

// unknownRetryAfter is the retry delay for an outcome that is unknown because the home does not
// answer. By then the home may be back, or its successor known.
const unknownRetryAfter = time.Second

// answerCaller sends a caller an answer that this node gives itself, without the home.
func (t *Table) answerCaller(number uint64, id string, outcome bbmsg.Outcome, reason bbmsg.Reason) {
	a := &bbmsg.Answer{
		Call:    number,
		ID:      id,
		Outcome: outcome,
		Reason:  reason,
	}
	if outcome == bbmsg.OutcomeUnknown {
		a.RetryAfterMillis = unknownRetryAfter.Milliseconds()
	}
	t.hooks.Emit(bbevent.Event{
		Number:  bbevent.RequestUnknown,
		Request: id,
		Detail:  string(outcome) + " " + string(reason),
	})
	t.hooks.Answer(a)
}
