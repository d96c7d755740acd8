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

// fleet simulates the owners of endpoints that stay cold. No fault may lead to more calls on
// an endpoint than its cold slots.
type fleet struct {
	// Rand generates the load and faults the faults, so that the faults of a seed don't
	// depend on the load.
	*rand.Rand
	faults *rand.Rand
	now    time.Duration
	// kind is the kind of service: only engines send reports, which say that they are warm.
	kind  bbrule.ServiceKind
	lists []bbmsg.MemberList
	nodes []*fleetNode
	// running has, by endpoint, the node that sent each running call.
	running map[string]map[uint64]*fleetNode
	// partition is the side of a network partition that each node is on.
	partition  map[string]int
	delayed    []delayedEvent
	processes  uint64
	calls      int
	violations []string
	// withoutRevision leaves the list revision out of dispatches, and fetch lets nodes that
	// know of a newer list fetch it soon.
	withoutRevision bool
	fetch           bool
	// misdirected counts the calls sent by a node that is not the owner by the newest list;
	// bothStale those of them whose home had the same list as the sender, and homeAhead those
	// whose home had a newer one. notReady counts refusals with that reason.
	misdirected int
	bothStale   int
	homeAhead   int
	notReady    int
}

// delayedEvent is an action that happens at a time.
type delayedEvent struct {
	at  time.Duration
	act func()
}

// fleetNode is one process.
type fleetNode struct {
	name    string
	process uint64
	member  *bbmember.Table
	owner   *Table
	// listLag is how many revisions the list that the node can read lags behind the newest.
	listLag int
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
		kind:      kind,
		Rand:      rand.New(rand.NewPCG(seed, 1)),
		faults:    rand.New(rand.NewPCG(seed, 2)),
		running:   map[string]map[uint64]*fleetNode{},
		partition: map[string]int{},
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

// start starts a process, which reads the newest list or the one before.
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
		NoFormerOwners:  n.member.NoFormerOwners,
	})
	n.owner.SetRules(f.now, fleetRules(f.kind))
	n.listLag = f.faults.IntN(min(2, len(f.lists)))
	f.nodes = append(f.nodes, n)
}

// stop ends a process and its calls.
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

func (f *fleet) schedule(d time.Duration, act func()) {
	f.delayed = append(f.delayed, delayedEvent{at: f.now + d, act: act})
}

// deliver runs act at a node after a delay, unless the node has stopped or a partition
// separates it from the sender then. A paused node runs it when it resumes.
func (f *fleet) deliver(from, to *fleetNode, act func()) {
	f.schedule(time.Duration(f.IntN(40))*time.Millisecond, func() {
		if f.partition[from.name] != f.partition[to.name] || to.stopped {
			return
		}
		if f.now < to.wakeAt {
			f.schedule(to.wakeAt-f.now, act)
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
	due := f.delayed
	f.delayed = nil
	for _, m := range due {
		if m.at > f.now {
			f.delayed = append(f.delayed, m)
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
	f.handleOutputs(n, n.member.Tick(f.now))
	if n.member.Adopt(f.now, f.lists[len(f.lists)-1-n.listLag]) {
		n.owner.SetMembers(f.now, n.member.List())
		n.owner.SetOwned(f.now, func(e string) bool { return n.member.Owner(e, "east") == n.name })
	}
	if f.fetch && n.member.Seen() > n.member.Revision() && f.IntN(10) == 0 {
		n.listLag = 0
	}
	if n.member.Revision() > 0 {
		f.send(n)
	}
	for ticks := 0; ticks < 3; ticks++ {
		n.owner.Tick(f.now, n.member.Confirmed(f.now))
		f.handleOutputs(n, n.owner.TakeOutputs())
	}
}

// send dispatches an attempt to the owner by the list of a node.
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
	if f.withoutRevision {
		d.ListRevision = 0
	}
	f.deliver(n, to, func() { to.owner.Offer(f.now, d, n.name) })
}

func (f *fleet) handleOutputs(n *fleetNode, outputs []bbmsg.Output) {
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
	f.deliver(n, to, func() {
		reply := to.member.HandleProbe(f.now, p.Probe, bbmsg.NodeState{})
		f.deliver(to, n, func() { f.handleOutputs(n, n.member.HandleReply(f.now, reply)) })
	})
}

// call sends a call. The process may be paused right before; it then sends the call when it
// resumes, or reports it as unsent if more than the permitted time has passed.
func (f *fleet) call(n *fleetNode, c bbmsg.EndpointCall) {
	if f.IntN(50) == 0 {
		n.wakeAt = f.now + time.Duration(f.IntN(6000))*time.Millisecond
	}
	wait := max(n.wakeAt-f.now, 0)
	if wait > time.Duration(c.SendWithinMillis)*time.Millisecond {
		f.schedule(wait, func() {
			n.owner.HandleCallUpdate(f.now, bbmsg.CallUpdate{Call: c.Call, Kind: bbmsg.UpdateUnsent})
		})
		return
	}
	f.schedule(wait, func() {
		if !n.stopped {
			f.arrive(n, c)
		}
	})
}

// arrive adds a call to its endpoint and schedules its end.
func (f *fleet) arrive(n *fleetNode, c bbmsg.EndpointCall) {
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
		f.violations = append(f.violations, fmt.Sprintf("%v: %s has %d calls, the last from %s", f.now, c.Endpoint, len(calls), n.name))
	}
	took := min(time.Duration(f.IntN(1200)), time.Duration(c.TimeoutMillis)) * time.Millisecond
	f.schedule(took, func() {
		delete(calls, id)
		if f.now >= n.wakeAt {
			n.owner.HandleCallUpdate(f.now, bbmsg.CallUpdate{Call: c.Call, Kind: bbmsg.UpdateDone})
		}
	})
}

// countMisdirected counts a call that is not sent by the owner by the newest list. The number
// of the attempt is the list revision of its home.
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
		f.homeAhead++
	}
}

// injectFault causes one random fault or ends one. Lists change by one entry VM at a time,
// and nodes may skip revisions.
func (f *fleet) injectFault() {
	n := f.nodes[f.faults.IntN(len(f.nodes))]
	newest := f.lists[len(f.lists)-1]
	switch f.faults.IntN(7) {
	case 0:
		n.wakeAt = f.now + time.Duration(f.faults.IntN(3000))*time.Millisecond
	case 1:
		f.partition[n.name] = f.faults.IntN(2)
	case 2:
		clear(f.partition)
	case 3:
		f.stop(n)
		f.start(n.name)
	case 4:
		n.listLag = f.faults.IntN(min(3, len(f.lists)))
	case 5:
		n.listLag = 0
	case 6:
		f.publishList(newest)
	}
}

// publishList publishes a list with one entry VM added, or removed when there are more than three.
func (f *fleet) publishList(newest bbmsg.MemberList) {
	var names []string
	for _, m := range newest.Members {
		names = append(names, m.Name)
	}
	if len(names) > 3 {
		removed := f.faults.IntN(len(names))
		names = append(names[:removed:removed], names[removed+1:]...)
	} else {
		name := fmt.Sprintf("x%d", len(f.lists))
		names = append(names, name)
		f.start(name)
	}
	f.lists = append(f.lists, fleetList(newest.Revision+1, names...))
	for _, n := range f.nodes {
		n.listLag = min(n.listLag+f.faults.IntN(2), 2)
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
				f.injectFault()
			}
		}
		calls += f.calls
		if len(f.violations) > 0 {
			t.Errorf("seed %d: over the cold slots %d times, first at %s", seed, len(f.violations), f.violations[0])
		}
	}
	t.Logf("%d calls", calls)
	if calls == 0 {
		t.Error("no call was ever sent")
	}
}

// BenchmarkStamping measures the share of calls that are sent by a node which is not the owner
// by the newest list, with and without the list revision in dispatches. The endpoints are
// warm, so that no confirmation is needed.
func BenchmarkStamping(b *testing.B) {
	for _, stampless := range []bool{false, true} {
		b.Run(fmt.Sprintf("stampless %v", stampless), func(b *testing.B) {
			calls, misdirected, bothStale, ahead, notReady := 0, 0, 0, 0, 0
			for b.Loop() {
				for seed := range uint64(60) {
					f := newFleet(seed, 7, bbrule.KindEngine)
					f.withoutRevision = stampless
					f.fetch = true
					for f.now < time.Minute {
						f.step()
						if f.faults.IntN(150) == 0 {
							f.injectFault()
						}
					}
					calls += f.calls
					misdirected += f.misdirected
					bothStale += f.bothStale
					ahead += f.homeAhead
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
