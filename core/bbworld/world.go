// Package bbworld simulates a few entry VMs under a manual clock. It delivers the messages that
// they send to each other and to plain endpoints that count every run; messages may be lost,
// delayed and duplicated. It is for tests; time advances in steps and nothing else takes time.
package bbworld

import (
	"math/rand/v2"
	"sort"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbnode"
	"bluebellhall/core/bbticket"
)

// Settings configure a World.
type Settings struct {
	// Random generates the incarnations and seeds the random numbers of the nodes.
	Random *rand.Rand
	// Times and Bounds are those of every node.
	Times  bbnode.Times
	Bounds bbnode.Bounds
	// Delays returns the delays after which the copies of a message from one node to another
	// arrive; an empty list loses the message. Endpoint calls are not subject to it.
	Delays func(from, to string) []time.Duration
	// ServiceTime returns how long an endpoint takes to process a call.
	ServiceTime func() time.Duration
	// LoseAnswer returns true when the connection of a call breaks after the run.
	LoseAnswer func() bool
}

// World holds the nodes, the endpoints and the messages in transit.
type World struct {
	Settings Settings
	// Now is the simulated time. A node's clock starts at 0 with its process.
	Now time.Duration
	// Nodes holds the nodes by name, including stopped ones.
	Nodes map[string]*Node
	// Runs counts the runs of each request id at the endpoints.
	Runs map[string]int
	// Running counts the calls that each endpoint runs now, MaxRunning is the highest count seen.
	Running    map[string]int
	MaxRunning int
	// Answers has the final answers that reached callers, by call.
	Answers map[uint64][]bbmsg.Answer
	// Tickets holds the tickets that callers received, by call.
	Tickets map[uint64]string
	// Events is the timeline of all nodes.
	Events []bbevent.Event
	// Stopped counts the processes that ended by a graceful stop.
	Stopped int

	names []string
	queue []delivery
	// nextReport is when the endpoints send their next load reports.
	nextReport time.Duration
	calls      uint64
	order      uint64
	keys       bbticket.Keys
	list       bbmsg.MemberList
	rules      bbmsg.RulesText
}

// Node is one entry VM.
type Node struct {
	// Core is nil while the process is down.
	Core *bbnode.Node
	// Paused processes process nothing; their inputs are queued.
	Paused bool
	// Partitioned nodes exchange no messages with other nodes.
	Partitioned bool
	member      bbmsg.Member
	incarnation uint64
	started     time.Duration
	inputs      []bbmsg.Input
}

// delivery is an action scheduled for a later time.
type delivery struct {
	at    time.Duration
	order uint64
	run   func()
}

// New returns a world whose nodes will get the list and the rules when they are started.
func New(s Settings, keys bbticket.Keys, list bbmsg.MemberList, rules bbmsg.RulesText) *World {
	w := &World{
		Settings: s,
		Nodes:    map[string]*Node{},
		Runs:     map[string]int{},
		Running:  map[string]int{},
		Answers:  map[uint64][]bbmsg.Answer{},
		Tickets:  map[uint64]string{},
		keys:     keys,
		list:     list,
		rules:    rules,
	}
	for _, m := range list.Members {
		if m.Role == bbmsg.RoleEntry {
			w.Nodes[m.Name] = &Node{
				member: m,
			}
			w.names = append(w.names, m.Name)
		}
	}
	sort.Strings(w.names)
	return w
}

// Start starts the process of a node without any state; the platform's list and rules are its
// first inputs.
func (w *World) Start(name string) {
	n := w.Nodes[name]
	n.incarnation = w.Settings.Random.Uint64() | 1
	n.started = w.Now
	n.Paused = false
	n.Core = bbnode.New(bbnode.Settings{
		Self:        n.member,
		Incarnation: n.incarnation,
		Keys:        w.keys,
		Random:      rand.New(rand.NewPCG(w.Settings.Random.Uint64(), 1)),
		Times:       w.Settings.Times,
		Bounds:      w.Settings.Bounds,
	})
	n.inputs = []bbmsg.Input{
		{Platform: &bbmsg.PlatformState{Up: true}},
		{List: &w.list},
		{Rules: &w.rules},
	}
}

// Crash ends the process of a node. Its calls continue to run at the endpoints.
func (w *World) Crash(name string) {
	n := w.Nodes[name]
	n.Core = nil
	n.inputs = nil
}

// Publish sends a list to some nodes; the others get it from them.
func (w *World) Publish(list bbmsg.MemberList, names ...string) {
	w.list = list
	for _, name := range names {
		w.input(name, bbmsg.Input{List: &list})
	}
}

// RequestTicket makes a caller request a ticket from a node and returns the number of the call.
func (w *World) RequestTicket(name, account string) uint64 {
	w.calls++
	w.input(name, bbmsg.Input{AddressRequest: &bbmsg.AddressRequest{
		Call:    w.calls,
		Account: account,
	}})
	return w.calls
}

// Send makes a caller send a request to a node and returns the number of the call. There is no
// answer when the node's process is down or ends.
func (w *World) Send(name string, request bbmsg.CallerRequest) uint64 {
	w.calls++
	w.input(name, bbmsg.Input{Caller: &bbmsg.CallerArrived{
		Call:    w.calls,
		Request: request,
	}})
	return w.calls
}

// Drain begins the graceful stop of a node.
func (w *World) Drain(name string) {
	w.input(name, bbmsg.Input{Drain: true})
}

func (w *World) input(name string, i bbmsg.Input) {
	n := w.Nodes[name]
	if n != nil && n.Core != nil {
		n.inputs = append(n.inputs, i)
	}
}

// after schedules a function; functions due at the same time run in the order of the calls.
func (w *World) after(d time.Duration, run func()) {
	w.order++
	w.queue = append(w.queue, delivery{
		at:    w.Now + d,
		order: w.order,
		run:   run,
	})
}

// Run advances the simulated time in steps.
func (w *World) Run(d, step time.Duration) {
	for end := w.Now + d; w.Now < end; w.Now += step {
		w.deliver()
		w.report()
		for _, name := range w.names {
			w.tick(name)
		}
	}
}

// report sends a load report of every endpoint to every node once per report interval.
func (w *World) report() {
	if w.Now < w.nextReport {
		return
	}
	w.nextReport = w.Now + w.Settings.Times.ReportInterval
	for _, m := range w.list.Members {
		if m.Role == bbmsg.RoleEntry {
			continue
		}
		for _, name := range w.names {
			w.input(name, bbmsg.Input{Report: &bbmsg.LoadReport{
				Endpoint: m.Name,
				Boot:     1,
				Cold:     true,
				Running:  w.Running[m.Name],
			}})
		}
	}
}

// deliver runs the actions that are due.
func (w *World) deliver() {
	var due, later []delivery
	for _, d := range w.queue {
		if d.at <= w.Now {
			due = append(due, d)
		} else {
			later = append(later, d)
		}
	}
	w.queue = later
	sort.Slice(due, func(i, j int) bool {
		if due[i].at != due[j].at {
			return due[i].at < due[j].at
		}
		return due[i].order < due[j].order
	})
	for _, d := range due {
		d.run()
	}
}

func (w *World) tick(name string) {
	n := w.Nodes[name]
	if n.Core == nil || n.Paused {
		return
	}
	inputs := n.inputs
	n.inputs = nil
	for _, o := range n.Core.Tick(w.Now-n.started, inputs) {
		w.handleOutput(name, n, o)
	}
}

// handleOutput carries out one output of a node.
func (w *World) handleOutput(name string, n *Node, o bbmsg.Output) {
	switch {
	case o.Send != nil:
		w.sendMessage(name, o.Send.To, bbmsg.Input{Peer: &bbmsg.FromPeer{
			From:        name,
			Incarnation: n.incarnation,
			Envelope:    o.Send.Envelope,
		}})
	case o.Probe != nil:
		w.sendMessage(name, o.Probe.To, bbmsg.Input{Probe: &o.Probe.Probe})
	case o.Reply != nil:
		w.sendMessage(name, o.Reply.To, bbmsg.Input{Reply: &o.Reply.Reply})
	case o.Call != nil:
		w.call(name, n.incarnation, *o.Call)
	case o.Answer != nil:
		if o.Answer.Outcome != bbmsg.OutcomePending {
			w.Answers[o.Answer.Call] = append(w.Answers[o.Answer.Call], *o.Answer)
		}
	case o.Addresses != nil:
		w.Tickets[o.Addresses.Call] = o.Addresses.Ticket
	case o.Stopped:
		w.Stopped++
		w.Crash(name)
	case o.Event != nil:
		w.Events = append(w.Events, *o.Event)
	}
}

// sendMessage delivers the copies of a message to another node after their delays.
func (w *World) sendMessage(from, to string, i bbmsg.Input) {
	for _, d := range w.Settings.Delays(from, to) {
		w.after(d, func() {
			if w.Nodes[to] == nil || w.Nodes[from].Partitioned || w.Nodes[to].Partitioned {
				return
			}
			w.input(to, i)
		})
	}
}

// call runs a call at an endpoint. A cancelled call still runs to its end, since cancelling can't
// undo it.
func (w *World) call(name string, incarnation uint64, c bbmsg.EndpointCall) {
	w.Runs[c.Attempt.ID]++
	w.Running[c.Endpoint]++
	w.MaxRunning = max(w.MaxRunning, w.Running[c.Endpoint])
	w.after(w.Settings.ServiceTime(), func() {
		w.Running[c.Endpoint]--
		n := w.Nodes[name]
		if n.Core == nil || n.incarnation != incarnation {
			return
		}
		update := bbmsg.CallUpdate{
			Call: c.Call,
			Kind: bbmsg.UpdateDone,
			Body: Reply(c.Attempt.ID, c.Body),
			Cold: true,
		}
		if w.Settings.LoseAnswer() {
			update.Kind = bbmsg.UpdateBroken
			update.Body = nil
		}
		w.input(name, bbmsg.Input{CallUpdate: &update})
	})
}

// Reply returns the answer of every endpoint. It depends only on the request, so it is also the
// answer that a single reliable process would give.
func Reply(id string, body []byte) []byte {
	return append([]byte(id+" "), body...)
}
