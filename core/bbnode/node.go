// Package bbnode composes the core of an entry VM: members, rules, homes, owners and
// policy. It does no I/O and reads no clock: inputs and the time come in, outputs go
// out, so that the same logic runs under a daemon, a test or any other driver.
package bbnode

import (
	"math/rand/v2"
	"time"

	"bluebellhall/core/bbaddress"
	"bluebellhall/core/bbconfig"
	"bluebellhall/core/bbdrain"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbintake"
	"bluebellhall/core/bbmember"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bborder"
	"bluebellhall/core/bbowner"
	"bluebellhall/core/bbpolicy"
	"bluebellhall/core/bbreceiver"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbsuspect"
	"bluebellhall/core/bbticket"
	"bluebellhall/core/bbview"
)

// Settings configure a node. Zero times and bounds take the defaults of Defaults.
type Settings struct {
	// Self is the node's entry in the list; Name, Domain and Region are set.
	Self bbmsg.Member
	// Incarnation is a random number drawn at the start of the process, not 0.
	Incarnation uint64
	// Keys sign and verify tickets.
	Keys bbticket.Keys
	// Random is the source of random choices.
	Random *rand.Rand
	// Times are the intervals of the protocol.
	Times Times
	// Bounds are the sizes of the tables.
	Bounds Bounds
}

// Times are the intervals of the protocol.
type Times struct {
	// ProbeInterval, ConfirmTime, SettleTime, PeerTimeout and PauseGap are those of
	// bbmember.Settings.
	ProbeInterval time.Duration
	ConfirmTime   time.Duration
	SettleTime    time.Duration
	PeerTimeout   time.Duration
	PauseGap      time.Duration
	// Retention is how long records outlive their tickets, and KeyRetention how long
	// those of plain idempotency keys that may not be repeated are kept from the latest
	// arrival of the key.
	Retention    time.Duration
	KeyRetention time.Duration
	// OwnerPatience is that of bbflow.Settings.
	OwnerPatience time.Duration
	// ReportInterval is the time between polls of load reports.
	ReportInterval time.Duration
	// SilenceTime is the time without progress after which a call counts as silent.
	SilenceTime time.Duration
	// StartPatience is how long a starting node waits for peers before it serves with
	// what the platform told it.
	StartTimeout time.Duration
}

// Bounds are the sizes of the tables.
type Bounds struct {
	// Records, Tombstones and AnswerBytes are those of bbhome.Settings.
	Records     int
	Tombstones  int
	AnswerBytes int
	// Calls bounds the callers that wait at this node.
	Calls int
}

// DefaultTimes are the intervals for links of ten milliseconds.
var DefaultTimes = Times{
	ProbeInterval:  250 * time.Millisecond,
	ConfirmTime:    800 * time.Millisecond,
	SettleTime:     1800 * time.Millisecond,
	PeerTimeout:    900 * time.Millisecond,
	PauseGap:       600 * time.Millisecond,
	Retention:      60 * time.Second,
	KeyRetention:   10 * time.Minute,
	OwnerPatience:  2 * time.Second,
	ReportInterval: 250 * time.Millisecond,
	SilenceTime:    1500 * time.Millisecond,
	StartTimeout:   2 * time.Second,
}

// TimesFor returns the default intervals stretched to another probe interval. All
// nodes of a fleet use the same one: confirmations of one node must have run out
// before another one's settling time has.
func TimesFor(probeInterval time.Duration) Times {
	t := DefaultTimes
	scale := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(probeInterval) / float64(DefaultTimes.ProbeInterval))
	}
	t.ProbeInterval = probeInterval
	t.ConfirmTime = scale(t.ConfirmTime)
	t.SettleTime = scale(t.SettleTime)
	t.PeerTimeout = scale(t.PeerTimeout)
	t.PauseGap = scale(t.PauseGap)
	t.StartTimeout = scale(t.StartTimeout)
	return t
}

// DefaultBounds are the sizes for a small VM.
var DefaultBounds = Bounds{
	Records:     100_000,
	Tombstones:  400_000,
	AnswerBytes: 64 << 20,
	Calls:       20_000,
}

// Node is the core of one entry VM. It is not safe for concurrent use.
type Node struct {
	Settings Settings
	Members  *bbmember.Table
	Home     *bbhome.Table
	Flow     *bbflow.Table
	Owner    *bbowner.Table
	// deputy has the endpoints that this node looks after while their owner is lost.
	deputy *bbowner.Table
	// Index has the rules in force, nil before the first.
	Index *bbrule.Index

	// Config is the configuration in force.
	Config *bbconfig.Config

	receiver  *bbreceiver.Table
	intake    *bbintake.Table
	drain     *bbdrain.Table
	policy    *bbpolicy.Policy
	addresses *bbaddress.Responder
	suspects  *bbsuspect.Table
	platform  platformState
	views     *bbview.Table
	orders    *bborder.Table
	// nextOrders is when the orders are looked at again.
	nextOrders time.Duration
	// ready is true once the node serves callers, and never false again.
	ready bool
	// local has messages of the node to itself.
	local []bbmsg.Envelope
	out   []bbmsg.Output
	// now is the time of the running tick.
	now time.Duration
}

// platformState is what is known of the configuration service.
type platformState struct {
	up    bool
	known bool
	since time.Duration
}

// New returns a node at time 0 of its clock.
func New(s Settings) *Node {
	n := &Node{
		Settings: s,
		Config:   newConfig(s),
	}
	n.policy = bbpolicy.New()
	n.suspects = bbsuspect.New(maxSuspects)
	n.orders = bborder.New(bborder.Settings{
		Self: s.Self.Name,
	})
	n.Members = bbmember.New(bbmember.Settings{
		Self:             s.Self,
		Incarnation:      s.Incarnation,
		ProbeInterval:    s.Times.ProbeInterval,
		ConfirmTime:      s.Times.ConfirmTime,
		SettleTime:       s.Times.SettleTime,
		PeerTimeout:      s.Times.PeerTimeout,
		PauseGap:         s.Times.PauseGap,
		HistoryRetention: s.Times.KeyRetention + s.Times.SettleTime,
		Knowledge:        n.knowledge,
	})
	n.Home = bbhome.New(bbhome.Settings{
		Home:           s.Self.Name,
		Incarnation:    s.Incarnation,
		MaxRecords:     s.Bounds.Records,
		MaxTombstones:  s.Bounds.Tombstones,
		MaxAnswerBytes: s.Bounds.AnswerBytes,
		Retention:      s.Times.Retention,
		KeyRetention:   s.Times.KeyRetention,
	})
	n.Owner = bbowner.New(bbowner.Settings{
		Self:           s.Self.Name,
		Incarnation:    s.Incarnation,
		SettleTime:     s.Times.SettleTime,
		SilenceTime:    s.Times.SilenceTime,
		ReportInterval: s.Times.ReportInterval,
		ConfirmedFor:   n.Members.ConfirmedFor,
		NoFormerOwners: n.Members.Fresh,
	})
	n.deputy = n.newDeputy()
	n.views = n.newViews()
	n.intake = n.newIntake()
	n.receiver = n.newReceiver()
	n.drain = n.newDrain()
	n.addresses = n.newAddresses()
	n.Flow = bbflow.New(bbflow.Settings{
		Self:              s.Self.Name,
		Incarnation:       s.Incarnation,
		OwnerLossTimeout:  s.Times.OwnerPatience,
		RefusalBackoff:    refusalBackoff,
		MaxRefusalBackoff: maxRefusalBackoff,
		MaxRefusals:       maxRefusals,
		MaxAttempts:       maxAttempts,
		AnswerMargin:      answerMargin,
	}, n.flowSeams())
	n.intake.Flow = n.Flow
	n.event(bbevent.Event{
		Number: bbevent.NodeStarted,
	})
	return n
}

const (
	// refusedWait is the pause of a stage after its first refusal without a hint.
	refusalBackoff = 25 * time.Millisecond
	// refusedCeiling is the longest pause of a stage between two tries.
	maxRefusalBackoff = 400 * time.Millisecond
	// maxRefusals bounds the refusals of one stage.
	maxRefusals = 16
	// maxAttempts bounds all attempts of one stage.
	maxAttempts = 20
	// answerMargin is kept of a deadline for the way back.
	answerMargin = 60 * time.Millisecond
)

// Tick takes in what has happened and returns what is to be done, in order.
func (n *Node) Tick(now time.Duration, inputs []bbmsg.Input) []bbmsg.Output {
	n.now = now
	n.addresses.Tick(n.now)
	n.emit(n.Members.Tick(now))
	for i := range inputs {
		n.handleInput(&inputs[i])
	}
	n.drainLocal()
	n.Home.Tick(now)
	n.Flow.Tick(now)
	n.tickConfiguration()
	n.drainLocal()
	n.runOwner()
	n.drainLocal()
	n.tickOrders()
	n.drain.Tick(n.now)
	out := n.out
	n.out = nil
	return out
}

// drainLocal delivers the messages of the node to itself until none is left.
func (n *Node) drainLocal() {
	for len(n.local) > 0 {
		batch := n.local
		n.local = nil
		for i := range batch {
			n.handleEnvelope(n.Settings.Self.Name, &batch[i])
		}
		if len(n.local) == 0 {
			n.runOwner()
		}
	}
}

// runOwner lets the owner send what it may and takes its outputs.
func (n *Node) runOwner() {
	n.Owner.Tick(n.now, n.Members.Confirmed(n.now))
	n.emit(n.Owner.TakeOutputs())
	n.deputy.Tick(n.now, false)
	n.emit(n.deputy.TakeOutputs())
}

// take dispatches one input.
func (n *Node) handleInput(i *bbmsg.Input) {
	switch {
	case i.Peer != nil:
		n.handleEnvelope(i.Peer.From, &i.Peer.Envelope)
	case i.CallUpdate != nil:
		if i.CallUpdate.Call > deputyFirstCall {
			n.deputy.HandleCallUpdate(n.now, *i.CallUpdate)
			return
		}
		n.Owner.HandleCallUpdate(n.now, *i.CallUpdate)
	case i.Caller != nil:
		n.receiver.Accept(*i.Caller)
	case i.CallerDisconnected != nil:
		n.receiver.CallerGone(i.CallerDisconnected.Call)
	case i.AddressRequest != nil:
		n.answerAddress(*i.AddressRequest)
	case i.Probe != nil:
		n.handleProbe(*i.Probe)
	case i.Reply != nil:
		n.handleReply(*i.Reply)
	case i.Report != nil:
		n.Owner.Report(n.now, *i.Report)
		n.deputy.Report(n.now, *i.Report)
	default:
		n.handleRareInput(i)
	}
}

// takeRare dispatches the inputs that come seldom.
func (n *Node) handleRareInput(i *bbmsg.Input) {
	switch {
	case i.Rules != nil:
		n.offerRules(*i.Rules, bbconfig.SourcePlatform)
	case i.List != nil:
		n.offerList(*i.List, bbconfig.SourcePlatform)
	case i.Platform != nil:
		n.handlePlatform(i.Platform.Up)
	case i.OrderResult != nil:
		n.handleOrderResult(*i.OrderResult)
	case i.Drain:
		n.drain.Start(n.now, n.addresses.LongestTicket())
	}
}

// takeEnvelope dispatches a message of a peer or of the node itself.
func (n *Node) handleEnvelope(from string, e *bbmsg.Envelope) {
	switch {
	case e.Result != nil:
		n.handleResult(from, *e.Result)
	case e.Dispatch != nil:
		n.handleDispatch(from, *e.Dispatch)
	case e.Forward != nil:
		n.intake.Take(n.now, from, *e.Forward)
	case e.Answer != nil:
		n.receiver.Answer(from, *e.Answer)
	case e.Detach != nil:
		n.Home.Detach(e.Detach.ID, from, e.Detach.Call)
	case e.Cancel != nil:
		n.handleCancel(from, *e.Cancel)
	case e.Cancelled != nil:
		n.Flow.HandleCancelled(n.now, from, *e.Cancelled)
	case e.Handover != nil:
		n.drain.ReceiveHandover(n.now, from, *e.Handover)
	case e.Suspect != nil:
		n.handleSuspect(*e.Suspect)
	case e.Rules != nil:
		n.offerRules(*e.Rules, from)
	case e.List != nil:
		n.offerList(e.List.List, from)
	case e.Fetch != nil:
		n.emit(n.Config.HandleFetch(from, *e.Fetch))
	}
}

// send passes a message to a peer or to the node itself.
func (n *Node) send(to string, e bbmsg.Envelope) {
	if to == n.Settings.Self.Name {
		n.local = append(n.local, e)
		return
	}
	n.out = append(n.out, bbmsg.Output{
		Send: &bbmsg.ToPeer{
			To:       to,
			Envelope: e,
		},
	})
}

// emit takes the outputs of a subsystem. Messages to the node itself stay here.
func (n *Node) emit(outputs []bbmsg.Output) {
	for _, o := range outputs {
		n.reactToOutput(o)
		if o.Send != nil {
			n.send(o.Send.To, o.Send.Envelope)
			continue
		}
		n.out = append(n.out, o)
	}
}

// noteOutput lets the node act on what its subsystems report.
func (n *Node) reactToOutput(o bbmsg.Output) {
	if o.Event == nil {
		return
	}
	switch o.Event.Number {
	case bbevent.PeerLost, bbevent.PeerBack:
		n.peerChanged(o.Event.Peer)
	}
}

// event adds an event to the time line.
func (n *Node) event(e bbevent.Event) {
	if e.Request != "" {
		e.Request = bbticket.Redact(e.Request)
	}
	n.out = append(n.out, bbmsg.Output{
		Event: &e,
	})
}

// NextWake returns when Tick is to be called at the latest without an input.
func (n *Node) NextWake() time.Duration {
	next := n.Members.NextWake(n.now)
	next = min(next, n.Owner.NextWake(n.now))
	next = min(next, n.Flow.NextWake())
	next = min(next, n.deputy.NextWake(n.now))
	return next
}
