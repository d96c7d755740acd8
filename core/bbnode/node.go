// Package bbnode composes the core of an entry VM: membership, rules, request homes, endpoint
// owners and policy. It does no I/O and reads no clock: inputs and the time are passed in and
// outputs returned, so that the same logic runs under a daemon, a test or any other driver.
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

// Settings configure a node.
type Settings struct {
	// Self is the node's entry in the member list; Name, Domain and Region are set.
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
	// Retention is how long records outlive their tickets. KeyRetention is how long records of
	// plain idempotency keys of requests that must not run twice are kept after the latest
	// arrival of the key.
	Retention    time.Duration
	KeyRetention time.Duration
	// OwnerLossTimeout is that of bbflow.Settings.
	OwnerLossTimeout time.Duration
	// ReportInterval is the interval at which load reports are polled.
	ReportInterval time.Duration
	// SilenceTime is the time without progress after which a call counts as silent.
	SilenceTime time.Duration
	// StartTimeout is how long a starting node waits for configuration from peers before it
	// serves with the configuration from the platform.
	StartTimeout time.Duration
}

// Bounds are the sizes of the tables.
type Bounds struct {
	// Records, Tombstones and AnswerBytes are those of bbhome.Settings.
	Records     int
	Tombstones  int
	AnswerBytes int
	// Calls bounds the number of callers that wait at this node.
	Calls int
}

// DefaultTimes are the intervals for links with a latency of ten milliseconds.
var DefaultTimes = Times{
	ProbeInterval:    250 * time.Millisecond,
	ConfirmTime:      800 * time.Millisecond,
	SettleTime:       1800 * time.Millisecond,
	PeerTimeout:      900 * time.Millisecond,
	PauseGap:         600 * time.Millisecond,
	Retention:        60 * time.Second,
	KeyRetention:     10 * time.Minute,
	OwnerLossTimeout: 2 * time.Second,
	ReportInterval:   250 * time.Millisecond,
	SilenceTime:      1500 * time.Millisecond,
	StartTimeout:     2 * time.Second,
}

// TimesFor returns the default intervals scaled to another probe interval. All nodes of a fleet
// must use the same one: the confirmations that one node holds must have expired before the
// settling time of another node ends.
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

// DefaultBounds are the table sizes for a small VM.
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
	// deputy has the endpoints that this node may serve as deputy while their owner is lost.
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
	// nextOrders is when the orders are next evaluated.
	nextOrders time.Duration
	// ready is true once the node serves callers; it is never reset.
	ready bool
	// local queues messages of the node to itself.
	local []bbmsg.Envelope
	out   []bbmsg.Output
	// now is the time of the current Tick.
	now time.Duration
}

// platformState is the last known state of the configuration service.
type platformState struct {
	up    bool
	known bool
	since time.Duration
}

// New returns a node whose clock stands at 0.
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
		State:            n.nodeState,
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
		NoFormerOwners: n.Members.NoFormerOwners,
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
		OwnerLossTimeout:  s.Times.OwnerLossTimeout,
		RefusalBackoff:    refusalBackoff,
		MaxRefusalBackoff: maxRefusalBackoff,
		MaxRefusals:       maxRefusals,
		MaxAttempts:       maxAttempts,
		AnswerMargin:      answerMargin,
	}, n.flowHooks())
	n.intake.Flow = n.Flow
	n.event(bbevent.Event{
		Number: bbevent.NodeStarted,
	})
	return n
}

const (
	// refusalBackoff is the backoff of a stage after its first refusal without a retry hint.
	refusalBackoff = 25 * time.Millisecond
	// maxRefusalBackoff is the longest backoff of a stage between two attempts.
	maxRefusalBackoff = 400 * time.Millisecond
	// maxRefusals bounds the number of refusals of one stage.
	maxRefusals = 16
	// maxAttempts bounds the total number of attempts of one stage.
	maxAttempts = 20
	// answerMargin is the part of a deadline that is reserved for returning the answer.
	answerMargin = 60 * time.Millisecond
)

// Tick processes the inputs and returns the resulting outputs in order.
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

// runOwner lets the tables of owned and deputized endpoints send what they may, and collects
// their outputs.
func (n *Node) runOwner() {
	n.Owner.Tick(n.now, n.Members.Confirmed(n.now))
	n.emit(n.Owner.TakeOutputs())
	n.deputy.Tick(n.now, false)
	n.emit(n.deputy.TakeOutputs())
}

// handleInput dispatches one input.
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
		n.receiver.CallerDisconnected(i.CallerDisconnected.Call)
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

// handleRareInput dispatches the kinds of input that arrive rarely.
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

// handleEnvelope dispatches a message from a peer or from the node itself.
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

// send queues a message to a peer or to the node itself.
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

// emit queues the outputs of a subsystem. Messages to the node itself are delivered locally.
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

// reactToOutput handles the loss and return of peers that the member table reports.
func (n *Node) reactToOutput(o bbmsg.Output) {
	if o.Event == nil {
		return
	}
	switch o.Event.Number {
	case bbevent.PeerLost, bbevent.PeerBack:
		n.peerChanged(o.Event.Peer)
	}
}

// event queues an event, with the public form of its request id.
func (n *Node) event(e bbevent.Event) {
	if e.Request != "" {
		e.Request = bbticket.Redact(e.Request)
	}
	n.out = append(n.out, bbmsg.Output{
		Event: &e,
	})
}

// NextWake returns when Tick must be called at the latest if no input arrives.
func (n *Node) NextWake() time.Duration {
	next := n.Members.NextWake(n.now)
	next = min(next, n.Owner.NextWake(n.now))
	next = min(next, n.Flow.NextWake())
	next = min(next, n.deputy.NextWake(n.now))
	return next
}
