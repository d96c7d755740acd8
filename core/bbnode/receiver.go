package bbnode

import (
	"sort"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// receiver has the callers that wait at this node.
type receiver struct {
	// calls maps the driver's call numbers to the callers, at most Bounds.Calls.
	calls map[uint64]*call
	// peerCalls has the calls that wait for each home.
	peerCalls map[string]map[uint64]bool
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

// maxEarly bounds the callers that wait for the node to become ready.
const maxEarly = 256

// takeCaller takes in a caller's request and passes it to its home.
func (n *Node) takeCaller(c bbmsg.CallerArrived) {
	if !n.ready {
		n.waitForReady(c)
		return
	}
	if len(n.receiver.calls) >= n.Settings.Bounds.Calls {
		n.answerCaller(c.Call, c.Request.ID, bbmsg.OutcomeUnknown, bbmsg.ReasonTableFull)
		return
	}
	if c.Request.ID == "" {
		c.Request.ID = bbticket.KeyID(c.Request.Account, c.Key)
	}
	home, incarnation, reason := n.findHome(c.Request.ID)
	if reason == bbmsg.ReasonBadTicket {
		n.answerCaller(c.Call, c.Request.ID, bbmsg.OutcomeInvalid, reason)
		return
	}
	if reason != bbmsg.ReasonNone {
		n.answerCaller(c.Call, c.Request.ID, bbmsg.OutcomeUnknown, reason)
		return
	}
	n.forward(c, home, incarnation)
}

// waitForReady keeps an early caller for a while.
func (n *Node) waitForReady(c bbmsg.CallerArrived) {
	if len(n.receiver.early) >= maxEarly {
		n.answerCaller(c.Call, c.Request.ID, bbmsg.OutcomeUnknown, bbmsg.ReasonNotReady)
		return
	}
	n.receiver.early = append(n.receiver.early, c)
}

// tickReceiver serves the early callers once the node is ready.
func (n *Node) tickReceiver() {
	if !n.ready || len(n.receiver.early) == 0 {
		return
	}
	early := n.receiver.early
	n.receiver.early = nil
	for _, c := range early {
		n.takeCaller(c)
	}
}

// findHome returns the node that answers for an id, or why there is none.
func (n *Node) findHome(id string) (string, uint64, bbmsg.Reason) {
	if bbticket.IsKeyID(id) {
		home := n.keyHome(id)
		if home == "" || !n.alive(home) {
			return "", 0, bbmsg.ReasonHomeGone
		}
		return home, n.incarnationOf(home), bbmsg.ReasonNone
	}
	ticket, _, err := n.Settings.Keys.Split(id)
	if err != nil {
		return "", 0, bbmsg.ReasonBadTicket
	}
	if heir, ok := n.heirOf(ticket.Home, ticket.Incarnation); ok {
		return heir, n.incarnationOf(heir), bbmsg.ReasonNone
	}
	known := n.incarnationOf(ticket.Home)
	if known != 0 && known != ticket.Incarnation || known != 0 && !n.alive(ticket.Home) {
		return "", 0, bbmsg.ReasonHomeGone
	}
	if known == 0 && n.Members.Peers[ticket.Home] == nil {
		return "", 0, bbmsg.ReasonHomeGone
	}
	return ticket.Home, ticket.Incarnation, bbmsg.ReasonNone
}

// heirOf returns the node that answers for a home that left.
func (n *Node) heirOf(home string, incarnation uint64) (string, bool) {
	heir := bbmsg.Heir{
		Home:        home,
		Incarnation: incarnation,
	}
	for _, h := range n.Home.Heirs() {
		if h == heir {
			return n.Settings.Self.Name, true
		}
	}
	for _, name := range n.alivePeers() {
		for _, h := range n.Members.Peers[name].Knowledge.Heirs {
			if h == heir {
				return name, true
			}
		}
	}
	return "", false
}

// forward passes a request to its home and notes that the caller waits.
func (n *Node) forward(c bbmsg.CallerArrived, home string, incarnation uint64) {
	n.receiver.calls[c.Call] = &call{
		number:      c.Call,
		id:          c.Request.ID,
		home:        home,
		incarnation: incarnation,
	}
	if n.receiver.peerCalls[home] == nil {
		n.receiver.peerCalls[home] = make(map[uint64]bool)
	}
	n.receiver.peerCalls[home][c.Call] = true
	if home != n.Settings.Self.Name {
		n.event(bbevent.Event{
			Number:  bbevent.RequestForwarded,
			Request: c.Request.ID,
			Peer:    home,
		})
	}
	n.send(home, bbmsg.Envelope{
		Forward: &bbmsg.Forward{
			Call:    c.Call,
			Request: c.Request,
		},
	})
}

// takeAnswer gives an answer of a home to the caller that waits for it. An answer
// from another node, or to another id, is not for this caller and is dropped.
func (n *Node) takeAnswer(from string, a bbmsg.Answer) {
	c, ok := n.receiver.calls[a.Call]
	if !ok || c.home != from || c.id != a.ID {
		return
	}
	if a.Outcome != bbmsg.OutcomePending {
		n.forgetCall(c)
	}
	n.out = append(n.out, bbmsg.Output{
		Answer: &a,
	})
}

// forgetCall drops a caller that was answered or has left.
func (n *Node) forgetCall(c *call) {
	delete(n.receiver.calls, c.number)
	delete(n.receiver.peerCalls[c.home], c.number)
	if len(n.receiver.peerCalls[c.home]) == 0 {
		delete(n.receiver.peerCalls, c.home)
	}
}

// callerGone tells the home that a caller has left. The request goes on.
func (n *Node) callerGone(number uint64) {
	c, ok := n.receiver.calls[number]
	if !ok {
		return
	}
	n.forgetCall(c)
	n.send(c.home, bbmsg.Envelope{
		Detach: &bbmsg.Detach{
			Call: number,
			ID:   c.id,
		},
	})
}

// receiverPeerChanged answers the callers that wait for a home that is gone.
func (n *Node) receiverPeerChanged(name string) {
	waiting := n.receiver.peerCalls[name]
	if len(waiting) == 0 || name == n.Settings.Self.Name {
		return
	}
	gone := !n.alive(name)
	numbers := make([]uint64, 0, len(waiting))
	for number := range waiting {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for _, number := range numbers {
		c := n.receiver.calls[number]
		if gone || c.incarnation != 0 && c.incarnation != n.incarnationOf(name) {
			n.forgetCall(c)
			n.answerCaller(c.number, c.id, bbmsg.OutcomeUnknown, bbmsg.ReasonHomeGone)
		}
	}
}

// receiverListChanged answers the callers whose home is no longer known at all.
func (n *Node) receiverListChanged() {
	var gone []string
	for name := range n.receiver.peerCalls {
		if name != n.Settings.Self.Name && n.Members.Peers[name] == nil {
			gone = append(gone, name)
		}
	}
	sort.Strings(gone)
	for _, name := range gone {
		n.receiverPeerChanged(name)
	}
}

// comeBack is when a caller may ask again for an outcome that is unknown because its
// home does not answer. It may be back then, or its heir known.
const comeBack = time.Second

// answerCaller answers a caller from this node alone.
func (n *Node) answerCaller(number uint64, id string, outcome bbmsg.Outcome, reason bbmsg.Reason) {
	a := &bbmsg.Answer{
		Call:    number,
		ID:      id,
		Outcome: outcome,
		Reason:  reason,
	}
	if outcome == bbmsg.OutcomeUnknown {
		a.RetryAfterMillis = comeBack.Milliseconds()
	}
	n.event(bbevent.Event{
		Number:  bbevent.RequestUnknown,
		Request: id,
		Detail:  string(outcome) + " " + string(reason),
	})
	n.out = append(n.out, bbmsg.Output{
		Answer: a,
	})
}
