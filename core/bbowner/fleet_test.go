package bbowner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bluebellhall/core/bbmember"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

const (
	fleetStep     = 10 * time.Millisecond
	fleetDeadline = time.Second
	fleetSlots    = 2
	fleetPause    = 250 * time.Millisecond
)

// fleet is a set of owners around endpoints that stay cold. Whatever fails, no endpoint
// may have more calls than its cold slots.
type fleet struct {
	// Rand is for the load and faults for what fails, so that the faults of a seed are
	// the same whatever the load does.
	*rand.Rand
	faults *rand.Rand
	now    time.Duration
	// kind is that of the endpoints: engines report that they are warm.
	kind  bbrule.ServiceKind
	lists []bbmsg.MemberList
	nodes []*fleetNode
	// running has the owner of each call that an endpoint has.
	running map[string]map[uint64]*fleetNode
	// cut is the side of a partition that each node is on.
	cut       map[string]int
	mail      []fleetMail
	processes uint64
	calls     int
	over      []string
	// stampless leaves the list revision out of dispatches, and fetch lets nodes that
	// know of a newer list get it from a peer soon.
	stampless bool
	fetch     bool
	// misdirected counts the calls that were sent by a node that the newest list does
	// not name as the owner; bothStale those whose home had the same old list, and ahead
	// those whose home had a newer list than the sender. notReady counts refusals.
	misdirected int
	bothStale   int
	ahead       int
	notReady    int
}

// fleetMail is something that happens later.
type fleetMail struct {
	at  time.Duration
	act func()
}

// fleetNode is one process.
type fleetNode struct {
	name    string
	process uint64
	member  *bbmember.Table
	owner   *Table
	// held is how many of the newest lists the platform does not show it.
	held    int
	wakeAt  time.Duration
	stopped bool
}

func fleetRules(kind bbrule.ServiceKind) *bbrule.RuleSet {
	r := &bbrule.RuleSet{
		Domains:  []bbrule.Domain{{Name: "east", Region: "r"}},
		Services: []bbrule.Service{{Name: "s", Kind: kind}},
		Calls:    []bbrule.Call{{Service: "s", Deadline: fleetDeadline}},
	}
	for i := range 4 {
		r.Endpoints = append(r.Endpoints, bbrule.Endpoint{
			Name:      fmt.Sprintf("e%d", i),
			Service:   "s",
			Domain:    "east",
			WarmSlots: 4,
			ColdSlots: fleetSlots,
		})
	}
	return r
}

func fleetList(revision int64, names ...string) bbmsg.MemberList {
	l := bbmsg.MemberList{Revision: revision}
	for _, name := range names {
		l.Members = append(l.Members, bbmsg.Member{
			Name:   name,
			Role:   bbmsg.RoleEntry,
			Domain: "east",
			Region: "r",
		})
	}
	return l
}

func newFleet(seed uint64, size int, kind bbrule.ServiceKind) *fleet {
	f := &fleet{
		kind:    kind,
		Rand:    rand.New(rand.NewPCG(seed, 1)),
		faults:  rand.New(rand.NewPCG(seed, 2)),
		running: map[string]map[uint64]*fleetNode{},
		cut:     map[string]int{},
	}
	var names []string
	for i := range size {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	f.lists = append(f.lists, fleetList(1, names...))
	for _, name := range names {
		f.start(name)
	}
	return f
}

// start starts a process that has the newest or an older list.
func (f *fleet) start(name string) {
	f.processes++
	n := &fleetNode{name: name, process: f.processes << 32}
	n.member = bbmember.New(bbmember.Settings{
		Self:          bbmsg.Member{Name: name},
		Incarnation:   n.process,
		ProbeInterval: 100 * time.Millisecond,
		ConfirmTime:   300 * time.Millisecond,
		SettleTime:    500 * time.Millisecond,
		PeerTimeout:   300 * time.Millisecond,
		PauseGap:      fleetPause,
	})
	n.owner = New(Settings{
		Self:            name,
		Incarnation:     n.process,
		SettleTime:      500 * time.Millisecond,
		WarmCompletions: 1 << 30,
		ConfirmedFor:    n.member.ConfirmedFor,
		NoFormerOwners:  n.member.Fresh,
	})
	n.owner.SetRules(f.now, fleetRules(f.kind))
	n.held = f.faults.IntN(min(2, len(f.lists)))
	f.nodes = append(f.nodes, n)
}

// stop ends a process; its calls end with it.
func (f *fleet) stop(n *fleetNode) {
	n.stopped = true
	f.nodes = slices.DeleteFunc(f.nodes, func(o *fleetNode) bool { return o == n })
	for _, calls := range f.running {
		for call, owner := range calls {
			if owner == n {
				delete(calls, call)
			}
		}
	}
}

func (f *fleet) later(d time.Duration, act func()) {
	f.mail = append(f.mail, fleetMail{at: f.now + d, act: act})
}

// reach runs act at a node after a delay, when both run and hear each other then.
func (f *fleet) reach(from, to *fleetNode, act func()) {
	f.later(time.Duration(f.IntN(40))*time.Millisecond, func() {
		if f.cut[from.name] != f.cut[to.name] || to.stopped {
			return
		}
		if f.now < to.wakeAt {
			f.later(to.wakeAt-f.now, act)
			return
		}
		act()
	})
}

func (f *fleet) node(name string) *fleetNode {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (f *fleet) step() {
	f.now += fleetStep
	due := f.mail
	f.mail = nil
	for _, m := range due {
		if m.at > f.now {
			f.mail = append(f.mail, m)
			continue
		}
		m.act()
	}
	for _, n := range f.nodes {
		if f.now >= n.wakeAt {
			f.run(n)
		}
	}
}

func (f *fleet) run(n *fleetNode) {
	f.take(n, n.member.Tick(f.now))
	if n.member.Adopt(f.now, f.lists[len(f.lists)-1-n.held]) {
		n.owner.SetMembers(f.now, n.member.List())
		n.owner.SetOwned(f.now, func(e string) bool { return n.member.Owner(e, "east") == n.name })
	}
	if f.fetch && n.member.Seen() > n.member.Revision() && f.IntN(10) == 0 {
		n.held = 0
	}
	if n.member.Revision() > 0 {
		f.send(n)
	}
	for looks := 0; looks < 3; looks++ {
		n.owner.Tick(f.now, n.member.Confirmed(f.now))
		f.take(n, n.owner.TakeOutputs())
	}
}

// send gives work to the owner that a node believes in.
func (f *fleet) send(n *fleetNode) {
	e := fmt.Sprintf("e%d", f.IntN(4))
	to := f.node(n.member.Owner(e, "east"))
	if to == nil {
		return
	}
	d := bbmsg.Dispatch{
		Attempt:      bbmsg.Attempt{ID: fmt.Sprint(n.process, f.now), Number: int(n.member.Revision())},
		Endpoint:     e,
		ListRevision: n.member.Revision(),
		BudgetMillis: int64(100 + f.IntN(900)),
		Weight:       1,
	}
	if f.stampless {
		d.ListRevision = 0
	}
	f.reach(n, to, func() { to.owner.Offer(f.now, d, n.name) })
}

func (f *fleet) take(n *fleetNode, outputs []bbmsg.Output) {
	for _, o := range outputs {
		switch {
		case o.Probe != nil:
			f.probe(n, *o.Probe)
		case o.Call != nil:
			f.call(n, *o.Call)
		case o.Send != nil && o.Send.Envelope.Result.Reason == bbmsg.ReasonNotReady:
			f.notReady++
		case o.Poll != nil:
			n.owner.Report(f.now, bbmsg.LoadReport{Endpoint: o.Poll.Endpoint, Boot: 1})
		case o.Stop != nil:
			for _, calls := range f.running {
				delete(calls, o.Stop.Call+n.process)
			}
		}
	}
}

func (f *fleet) probe(n *fleetNode, p bbmsg.ProbeOut) {
	to := f.node(p.To)
	if to == nil {
		return
	}
	f.reach(n, to, func() {
		reply := to.member.HandleProbe(f.now, p.Probe, bbmsg.NodeState{})
		f.reach(to, n, func() { f.take(n, n.member.HandleReply(f.now, reply)) })
	})
}

// call sends a call. A process that is paused with the call in its hands sends it when
// it wakes, unless that is too late.
func (f *fleet) call(n *fleetNode, c bbmsg.EndpointCall) {
	if f.IntN(50) == 0 {
		n.wakeAt = f.now + time.Duration(f.IntN(6000))*time.Millisecond
	}
	wait := max(n.wakeAt-f.now, 0)
	if wait > time.Duration(c.SendWithinMillis)*time.Millisecond {
		f.later(wait, func() {
			n.owner.HandleCallUpdate(f.now, bbmsg.CallUpdate{Call: c.Call, Kind: bbmsg.UpdateUnsent})
		})
		return
	}
	f.later(wait, func() {
		if !n.stopped {
			f.bring(n, c)
		}
	})
}

// bring lets a call arrive at its endpoint.
func (f *fleet) bring(n *fleetNode, c bbmsg.EndpointCall) {
	f.calls++
	f.countMisdirected(n, c)
	calls := f.running[c.Endpoint]
	if calls == nil {
		calls = map[uint64]*fleetNode{}
		f.running[c.Endpoint] = calls
	}
	id := c.Call + n.process
	calls[id] = n
	if len(calls) > fleetSlots {
		f.over = append(f.over, fmt.Sprintf("%v: %s has %d calls, the last from %s", f.now, c.Endpoint, len(calls), n.name))
	}
	took := min(time.Duration(f.IntN(1200)), time.Duration(c.TimeoutMillis)) * time.Millisecond
	f.later(took, func() {
		delete(calls, id)
		if f.now >= n.wakeAt {
			n.owner.HandleCallUpdate(f.now, bbmsg.CallUpdate{Call: c.Call, Kind: bbmsg.UpdateDone})
		}
	})
}

// countMisdirected looks whether a call is sent by the owner of the newest list. The
// number of the attempt is the list revision that its home had.
func (f *fleet) countMisdirected(n *fleetNode, c bbmsg.EndpointCall) {
	newest := bbmember.New(bbmember.Settings{})
	newest.Adopt(0, f.lists[len(f.lists)-1])
	if newest.Owner(c.Endpoint, "east") == n.name {
		return
	}
	f.misdirected++
	switch home := int64(c.Attempt.Number); {
	case home == n.member.Revision():
		f.bothStale++
	case home > n.member.Revision():
		f.ahead++
	}
}

// fail makes one thing go wrong, or heals. Lists change by one entry VM at a time;
// nodes may skip some.
func (f *fleet) fail() {
	n := f.nodes[f.faults.IntN(len(f.nodes))]
	newest := f.lists[len(f.lists)-1]
	switch f.faults.IntN(7) {
	case 0:
		n.wakeAt = f.now + time.Duration(f.faults.IntN(3000))*time.Millisecond
	case 1:
		f.cut[n.name] = f.faults.IntN(2)
	case 2:
		clear(f.cut)
	case 3:
		f.stop(n)
		f.start(n.name)
	case 4:
		n.held = f.faults.IntN(min(3, len(f.lists)))
	case 5:
		n.held = 0
	case 6:
		f.replace(newest)
	}
}

// replace publishes a list with one entry VM more, or one less when there are many.
func (f *fleet) replace(newest bbmsg.MemberList) {
	var names []string
	for _, m := range newest.Members {
		names = append(names, m.Name)
	}
	if len(names) > 3 {
		gone := f.faults.IntN(len(names))
		names = append(names[:gone:gone], names[gone+1:]...)
	} else {
		name := fmt.Sprintf("x%d", len(f.lists))
		names = append(names, name)
		f.start(name)
	}
	f.lists = append(f.lists, fleetList(newest.Revision+1, names...))
	for _, n := range f.nodes {
		n.held = min(n.held+f.faults.IntN(2), 2)
	}
}

func TestFleetOfColdEndpoints(t *testing.T) {
	calls := 0
	for i := range uint64(12) {
		seed := 10 + i
		f := newFleet(seed, 3, bbrule.KindPlain)
		for f.now < time.Minute {
			f.step()
			if f.faults.IntN(150) == 0 {
				f.fail()
			}
		}
		calls += f.calls
		if len(f.over) > 0 {
			t.Errorf("seed %d: over the cold slots %d times, first at %s", seed, len(f.over), f.over[0])
		}
	}
	t.Logf("%d calls", calls)
	if calls == 0 {
		t.Error("no call was ever sent")
	}
}

// BenchmarkStamping tells which share of calls is sent by a node that is not the owner
// by the newest list, with the list revision in dispatches and without it. The endpoints
// are warm, so that no confirmation is asked for.
func BenchmarkStamping(b *testing.B) {
	for _, stampless := range []bool{false, true} {
		b.Run(fmt.Sprintf("stampless %v", stampless), func(b *testing.B) {
			calls, misdirected, bothStale, ahead, notReady := 0, 0, 0, 0, 0
			for b.Loop() {
				for seed := range uint64(60) {
					f := newFleet(seed, 7, bbrule.KindEngine)
					f.stampless = stampless
					f.fetch = true
					for f.now < time.Minute {
						f.step()
						if f.faults.IntN(150) == 0 {
							f.fail()
						}
					}
					calls += f.calls
					misdirected += f.misdirected
					bothStale += f.bothStale
					ahead += f.ahead
					notReady += f.notReady
				}
			}
			b.ReportMetric(float64(calls)/float64(b.N), "calls")
			b.ReportMetric(float64(misdirected)/float64(b.N), "misdirected")
			b.ReportMetric(float64(bothStale)/float64(b.N), "bothStale")
			b.ReportMetric(float64(ahead)/float64(b.N), "ahead")
			b.ReportMetric(float64(notReady)/float64(b.N), "notReady")
		})
	}
}
