// Package bbreceiver is the work of an entry VM as the receiver of callers: it finds the
// home of each request, passes the request to it and gives its answers to the caller.
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
	// MaxCalls bounds the callers that wait at this node.
	MaxCalls int
}

// Seams connect the table with the rest of the node.
type Hooks struct {
	// Heirs returns the former homes whose records this node has taken over.
	HandedOverHomes func() []bbmsg.HandedOverHome
	// Send passes a message to a node, which may be this one.
	Send func(to string, e bbmsg.Envelope)
	// Answer gives an answer to the caller that it names.
	Answer func(a *bbmsg.Answer)
	// Emit adds an event to the time line.
	Emit func(e bbevent.Event)
}

// Table has the callers that wait at this node. It is not safe for concurrent use.
type Table struct {
	settings Settings
	seams    Hooks
	members  *bbmember.Table
	// ready is true once the node serves callers, and never false again.
	ready bool
	// calls maps the driver's call numbers to the callers, at most MaxCalls.
	calls map[uint64]*call
	// peerCalls has the calls that wait for each home.
	callsByHome map[string]map[uint64]bool
	// early has callers that came before the node was ready, at most maxEarly.
	early []bbmsg.CallerArrived
}

// call is a caller that waits at this node.
type call struct {
	number uint64
	id     string
	// home is the node that was asked, and incarnation its process as known then.
	home        string
	incarnation uint64
}

// New returns a table without callers, of a node that is not ready.
func New(s Settings, members *bbmember.Table, seams Hooks) *Table {
	return &Table{
		settings:    s,
		seams:       seams,
		members:     members,
		calls:       make(map[uint64]*call),
		callsByHome: make(map[string]map[uint64]bool),
	}
}

// maxEarly bounds the callers that wait for the node to become ready.
const maxEarly = 256

// Take takes in a caller's request and passes it to its home.
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

// waitForReady keeps an early caller for a while.
func (t *Table) waitForReady(c bbmsg.CallerArrived) {
	if len(t.early) >= maxEarly {
		t.answerCaller(c.Call, c.Request.ID, bbmsg.OutcomeUnknown, bbmsg.ReasonNotReady)
		return
	}
	t.early = append(t.early, c)
}

// Ready serves the early callers: from now on the node serves callers.
func (t *Table) Ready() {
	t.ready = true
	early := t.early
	t.early = nil
	for _, c := range early {
		t.Accept(c)
	}
}

// Waiting returns how many callers wait for their homes.
func (t *Table) Waiting() int { return len(t.calls) }

// findHome returns the node that answers for an id, or why there is none.
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
	if heir, ok := t.successorOf(ticket.Home, ticket.Incarnation); ok {
		return heir, t.members.Incarnation(heir), bbmsg.ReasonNone
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

// heirOf returns the node that answers for a home that left.
func (t *Table) successorOf(home string, incarnation uint64) (string, bool) {
	heir := bbmsg.HandedOverHome{
		Home:        home,
		Incarnation: incarnation,
	}
	for _, h := range t.seams.HandedOverHomes() {
		if h == heir {
			return t.settings.Self, true
		}
	}
	for _, name := range t.members.AlivePeers() {
		for _, h := range t.members.Peers[name].Knowledge.HandedOverHomes {
			if h == heir {
				return name, true
			}
		}
	}
	return "", false
}

// forward passes a request to its home and notes that the caller waits.
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
		t.seams.Emit(bbevent.Event{
			Number:  bbevent.RequestForwarded,
			Request: c.Request.ID,
			Peer:    home,
		})
	}
	t.seams.Send(home, bbmsg.Envelope{
		Forward: &bbmsg.Forward{
			Call:    c.Call,
			Request: c.Request,
		},
	})
}

// Answer gives an answer of a home to the caller that waits for it. An answer
// from another node, or to another id, is not for this caller and is dropped.
func (t *Table) Answer(from string, a bbmsg.Answer) {
	c, ok := t.calls[a.Call]
	if !ok || c.home != from || c.id != a.ID {
		return
	}
	if a.Outcome != bbmsg.OutcomePending {
		t.removeCall(c)
	}
	t.seams.Answer(&a)
}

// forgetCall drops a caller that was answered or has left.
func (t *Table) removeCall(c *call) {
	delete(t.calls, c.number)
	delete(t.callsByHome[c.home], c.number)
	if len(t.callsByHome[c.home]) == 0 {
		delete(t.callsByHome, c.home)
	}
}

// Gone tells the home that a caller has left. The request goes on.
func (t *Table) CallerGone(number uint64) {
	c, ok := t.calls[number]
	if !ok {
		return
	}
	t.removeCall(c)
	t.seams.Send(c.home, bbmsg.Envelope{
		Detach: &bbmsg.Detach{
			Call: number,
			ID:   c.id,
		},
	})
}

// PeerChanged answers the callers that wait for a home that is gone.
func (t *Table) PeerChanged(name string) {
	waiting := t.callsByHome[name]
	if len(waiting) == 0 || name == t.settings.Self {
		return
	}
	gone := !t.members.Alive(name)
	numbers := make([]uint64, 0, len(waiting))
	for number := range waiting {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for _, number := range numbers {
		c := t.calls[number]
		if gone || c.incarnation != 0 && c.incarnation != t.members.Incarnation(name) {
			t.removeCall(c)
			t.answerCaller(c.number, c.id, bbmsg.OutcomeUnknown, bbmsg.ReasonHomeGone)
		}
	}
}

// ListChanged answers the callers whose home is no longer known at all.
func (t *Table) ListChanged() {
	var gone []string
	for name := range t.callsByHome {
		if name != t.settings.Self && t.members.Peers[name] == nil {
			gone = append(gone, name)
		}
	}
	sort.Strings(gone)
	for _, name := range gone {
		t.PeerChanged(name)
	}
}

// comeBack is when a caller may ask again for an outcome that is unknown because its
// home does not answer. It may be back then, or its heir known.
const unknownRetryAfter = time.Second

// answerCaller answers a caller from this node alone.
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
	t.seams.Emit(bbevent.Event{
		Number:  bbevent.RequestUnknown,
		Request: id,
		Detail:  string(outcome) + " " + string(reason),
	})
	t.seams.Answer(a)
}
