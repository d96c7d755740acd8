package bbmember

import (
	gocmp "cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgroup"
	"bluebellhall/core/bbmsg"
)

const (
	testProbe   = 100 * time.Millisecond
	testConfirm = 300 * time.Millisecond
	testSettle  = 500 * time.Millisecond
	testPause   = 150 * time.Millisecond
	testStep    = 10 * time.Millisecond
)

// fleet runs tables on one simulated clock, with links that can be cut.
type fleet struct {
	now    time.Duration
	tables map[string]*Table
	names  []string
	// cut holds pairs of sender and receiver without a link; stopped holds paused or dead nodes.
	cut     map[[2]string]bool
	stopped map[string]bool
	events  map[string][]bbevent.Number
	starts  int
}

func newFleet(list bbmsg.MemberList, names ...string) *fleet {
	f := &fleet{
		tables:  map[string]*Table{},
		cut:     map[[2]string]bool{},
		stopped: map[string]bool{},
		events:  map[string][]bbevent.Number{},
	}
	for _, name := range names {
		f.start(name, list)
	}
	return f
}

func (f *fleet) start(name string, list bbmsg.MemberList) *Table {
	if f.tables[name] == nil {
		f.names = append(f.names, name)
	}
	f.starts++
	t := New(Settings{
		Self:             member(name),
		Incarnation:      uint64(1000 * f.starts),
		ProbeInterval:    testProbe,
		ConfirmTime:      testConfirm,
		SettleTime:       testSettle,
		PeerTimeout:      testConfirm,
		PauseGap:         testPause,
		HistoryRetention: testPast,
	})
	t.Adopt(f.now, list)
	f.tables[name] = t
	f.stopped[name] = false
	return t
}

func (f *fleet) adopt(list bbmsg.MemberList, names ...string) {
	for _, name := range names {
		f.tables[name].Adopt(f.now, list)
	}
}

// split cuts the links between the named nodes and all others.
func (f *fleet) split(names []string) {
	for _, x := range f.names {
		for _, y := range f.names {
			if slices.Contains(names, x) != slices.Contains(names, y) {
				f.cut[[2]string{x, y}] = true
			}
		}
	}
}

// run advances the clock and calls check after each step.
func (f *fleet) run(d time.Duration, check func()) {
	for end := f.now + d; f.now < end; f.now += testStep {
		for _, name := range f.names {
			if !f.stopped[name] {
				f.process(name, f.tables[name].Tick(f.now))
			}
		}
		if check != nil {
			check()
		}
	}
}

func (f *fleet) process(name string, outputs []bbmsg.Output) {
	for _, o := range outputs {
		switch {
		case o.Event != nil:
			f.events[name] = append(f.events[name], o.Event.Number)
		case o.Probe != nil:
			f.deliver(name, *o.Probe)
		}
	}
}

func (f *fleet) deliver(from string, p bbmsg.ProbeOut) {
	to := f.tables[p.To]
	if to == nil || f.stopped[p.To] || f.cut[[2]string{from, p.To}] {
		return
	}
	reply := to.HandleProbe(f.now, p.Probe, bbmsg.NodeState{})
	f.process(from, f.tables[from].HandleReply(f.now, reply))
}

func member(name string) bbmsg.Member {
	region := name[:1]
	return bbmsg.Member{
		Name:   name,
		Role:   bbmsg.RoleEntry,
		Domain: region + "-domain",
		Region: region,
	}
}

func list(revision int64, names ...string) bbmsg.MemberList {
	l := bbmsg.MemberList{Revision: revision}
	for _, name := range names {
		l.Members = append(l.Members, member(name))
	}
	return l
}

// ownedBy returns an endpoint that a node owns under a list.
func ownedBy(t *testing.T, l bbmsg.MemberList, owner string) string {
	t.Helper()
	for i := range 1000 {
		name := fmt.Sprintf("endpoint-%d", i)
		if got, _ := bbgroup.New(l).Owner(name, "a-domain"); got == owner {
			return name
		}
	}
	t.Fatalf("no endpoint is owned by %s", owner)
	return ""
}

// movedBetween returns an endpoint whose owner changes as given between two lists.
func movedBetween(t *testing.T, before, after bbmsg.MemberList, from, to string) string {
	t.Helper()
	for i := range 10000 {
		name := fmt.Sprintf("endpoint-%d", i)
		first, _ := bbgroup.New(before).Owner(name, "a-domain")
		second, _ := bbgroup.New(after).Owner(name, "a-domain")
		if first == from && second == to {
			return name
		}
	}
	t.Fatalf("no endpoint moves from %s to %s", from, to)
	return ""
}

func wantConfirmed(t *testing.T, f *fleet, name string, want bool) {
	t.Helper()
	if got := f.tables[name].Confirmed(f.now); got != want {
		t.Errorf("Confirmed of %s at %v = %v, want %v", name, f.now, got, want)
	}
}

// wantOneOwner returns a check that at most one node of the fleet may act for an endpoint.
func wantOneOwner(t *testing.T, f *fleet, endpoint string) func() {
	return func() {
		t.Helper()
		var owners []string
		for _, name := range f.names {
			table := f.tables[name]
			if f.stopped[name] {
				continue
			}
			if table.Owner(endpoint, "a-domain") == name && table.ConfirmedFor(f.now, endpoint, "a-domain") {
				owners = append(owners, name)
			}
		}
		if len(owners) > 1 {
			t.Fatalf("at %v several nodes may act for %s: %v", f.now, endpoint, owners)
		}
	}
}

func TestConfirmation(t *testing.T) {
	three := list(1, "a1", "a2", "a3")
	t.Run("a fleet that starts together is confirmed after the settling time", func(t *testing.T) {
		f := newFleet(three, "a1", "a2", "a3")
		f.run(testSettle+testConfirm, func() { wantConfirmed(t, f, "a1", false) })
		f.run(3*testProbe, nil)
		wantConfirmed(t, f, "a1", true)
	})
	t.Run("a minority loses its confirmation within the confirmation time", func(t *testing.T) {
		f := newFleet(three, "a1", "a2", "a3")
		f.run(2*testSettle, nil)
		f.split([]string{"a1"})
		f.run(testConfirm+testStep, nil)
		wantConfirmed(t, f, "a1", false)
		wantConfirmed(t, f, "a2", true)
		want := []bbevent.Number{bbevent.ListAdopted, bbevent.Confirmed}
		if diff := cmp.Diff(want, f.events["a2"][:2]); diff != "" {
			t.Errorf("events (-want +got):\n%s", diff)
		}
	})
	t.Run("the revision of a newer list voids the confirmation at once", func(t *testing.T) {
		f := newFleet(three, "a1", "a2", "a3")
		f.run(2*testSettle, nil)
		f.tables["a1"].HandleProbe(f.now, bbmsg.Probe{From: "a2", State: bbmsg.NodeState{ListRevision: 2}}, bbmsg.NodeState{})
		wantConfirmed(t, f, "a1", false)
	})
	t.Run("a paused node is unconfirmed even before its next tick", func(t *testing.T) {
		f := newFleet(three, "a1", "a2", "a3")
		f.run(2*testSettle, nil)
		wantConfirmed(t, f, "a1", true)
		f.now += testPause
		wantConfirmed(t, f, "a1", false)
		f.run(testSettle, func() { wantConfirmed(t, f, "a1", false) })
	})
	t.Run("a node alone in its group waits for FormerTime", func(t *testing.T) {
		f := newFleet(list(1, "a1"), "a1")
		f.run(5*testSettle, func() { wantConfirmed(t, f, "a1", false) })
		wantConfirmed(t, f, "a1", true)
	})
	answers := []struct {
		name     string
		at       time.Duration
		ready    bool
		revision int64
		sequence uint64
		want     bool
	}{
		{"in time", testConfirm - 1, true, 1, 0, true},
		{"counts from the sending of the probe", testConfirm, true, 1, 0, false},
		{"of a node that is not ready", 0, false, 1, 0, false},
		{"of a node with an older list", 0, true, 0, 0, false},
		{"to an earlier process of this name", 0, true, 1, 1, false},
	}
	for _, a := range answers {
		t.Run("answer "+a.name, func(t *testing.T) {
			f := newFleet(list(1, "a1", "a2"), "a1")
			table := f.tables["a1"]
			probe := table.Tick(0)[1].Probe.Probe
			for now := time.Duration(0); now < a.at; now += testPause {
				table.Tick(now)
			}
			sequence := gocmp.Or(a.sequence, probe.Sequence)
			table.HandleReply(a.at, bbmsg.ProbeReply{
				From:     "a2",
				Sequence: sequence,
				Ready:    a.ready,
				State:    bbmsg.NodeState{ListRevision: a.revision},
			})
			if table.hasQuorum != a.want {
				t.Errorf("confirms = %v, want %v", table.hasQuorum, a.want)
			}
		})
	}
}

func TestReady(t *testing.T) {
	three := list(1, "a1", "a2", "a3")
	t.Run("replies with an older list revision don't count", func(t *testing.T) {
		f := newFleet(list(2, "a1", "a2"), "a1")
		table := f.tables["a1"]
		probe := table.Tick(0)[1].Probe.Probe
		table.HandleReply(0, bbmsg.ProbeReply{
			From:     "a2",
			Sequence: probe.Sequence,
			Ready:    true,
			State:    bbmsg.NodeState{ListRevision: 1},
		})
		table.Tick(time.Minute)
		if table.Ready() {
			t.Error("is ready")
		}
	})
	t.Run("a restarted node waits for the others", func(t *testing.T) {
		f := newFleet(three, "a1", "a2", "a3")
		f.run(2*testSettle, nil)
		f.split([]string{"a3"})
		f.start("a3", three)
		f.run(2*testSettle, nil)
		if f.tables["a3"].Ready() {
			t.Errorf("a3 is ready without a reply from another node, want not ready")
		}
		clear(f.cut)
		f.run(2*testProbe, nil)
		if !f.tables["a3"].Ready() {
			t.Errorf("a3 has replies from all others and is not ready, want ready")
		}
	})
}

func TestFormerGroups(t *testing.T) {
	t.Run("must have the newest list again after each list", func(t *testing.T) {
		f := newFleet(list(1, "a1", "a2", "a3"), "a1", "a2", "a3")
		f.run(2*testSettle, nil)
		f.adopt(list(2, "a1", "a4", "a5"), "a1")
		reply := f.tables["a1"].HandleProbe(f.now, bbmsg.Probe{From: "a4"}, bbmsg.NodeState{})
		if reply.Ready || !reply.Asking {
			t.Errorf("reply = %+v, want asking and not ready", reply)
		}
	})
	t.Run("members that are not listed count as stopped after FormerTime", func(t *testing.T) {
		three := formerGroup{members: list(1, "a1", "a2", "a3").Members, until: 10}
		replaced := newFleet(list(2, "a1", "a4", "a5"), "a1").tables["a1"]
		grown := newFleet(list(2, "a1", "a2", "a3", "a4", "a5"), "a1").tables["a1"]
		got := []int{
			replaced.requiredMembers(9, three),
			replaced.requiredMembers(10, three),
			grown.requiredMembers(10, three),
		}
		if diff := cmp.Diff([]int{2, 0, 2}, got); diff != "" {
			t.Errorf("required (-want +got):\n%s", diff)
		}
	})
	t.Run("need not be asked when all majorities intersect", func(t *testing.T) {
		three := formerGroup{members: list(1, "a1", "a2", "a3").Members}
		got := []bool{
			quorumsIntersect(three, []string{"a1", "a2", "a3", "a4"}),
			quorumsIntersect(three, []string{"a1", "a2", "a4"}),
		}
		if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
			t.Errorf("one added, one replaced (-want +got):\n%s", diff)
		}
	})
}

func TestExclusion(t *testing.T) {
	three := []string{"a1", "a2", "a3"}
	pair := []string{"a1", "a2"}
	cases := []struct {
		name          string
		before, after []string
		// from and to are the old and the new owner. The nodes in stale keep the old list, and
		// those in cut have no link to the other nodes.
		from, to   string
		stale, cut []string
		// wantNew is whether the new owner is confirmed in the end.
		wantNew bool
	}{
		{"an owner with an old list is cut off", three, []string{"a2", "a3", "a4"}, "a1", "a4", []string{"a1"}, []string{"a1"}, true},
		{"one of three replaced, one stays with the old owner", three, []string{"a2", "a3", "a4"}, "a1", "a4", []string{"a1", "a3"}, []string{"a1", "a3"}, false},
		{"one of three replaced, one follows the old list", three, []string{"a2", "a3", "a4"}, "a1", "a4", []string{"a1", "a3"}, nil, true},
		{"one of a pair replaced", pair, []string{"a2", "a4"}, "a1", "a4", []string{"a1"}, []string{"a1"}, true},
		{"two of three replaced", three, []string{"a3", "a4", "a5"}, "a1", "a4", []string{"a1", "a2"}, []string{"a1", "a2"}, false},
		{"two of three replaced, the third owns", three, []string{"a1", "a4", "a5"}, "a2", "a1", []string{"a2", "a3"}, []string{"a2", "a3"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before, after := list(1, c.before...), list(2, c.after...)
			moved := movedBetween(t, before, after, c.from, c.to)
			f := newFleet(before, c.before...)
			f.run(2*testSettle, wantOneOwner(t, f, moved))
			wantConfirmed(t, f, c.from, true)
			for _, name := range c.after {
				if f.tables[name] == nil {
					f.start(name, after)
				} else if !slices.Contains(c.stale, name) {
					f.adopt(after, name)
				}
			}
			f.split(c.cut)
			f.run(4*testSettle, wantOneOwner(t, f, moved))
			wantConfirmed(t, f, c.to, c.wantNew)
		})
	}
	t.Run("an endpoint of another group is held back", func(t *testing.T) {
		second := list(2, "b1", "b2")
		f := newFleet(list(1, "a1", "b1", "b2"), "a1", "b1", "b2")
		f.run(8*testSettle, nil)
		f.split([]string{"a1"})
		f.adopt(second, "b1", "b2")
		owned := ownedBy(t, second, "b1")
		f.run(4*testSettle, wantOneOwner(t, f, owned))
		wantConfirmed(t, f, "b1", true)
	})
}

func TestPeers(t *testing.T) {
	f := newFleet(list(1, "a1", "a2"), "a1", "a2")
	f.run(2*testSettle, nil)
	f.stopped["a2"] = true
	f.run(2*testConfirm, nil)
	f.stopped["a2"] = false
	f.run(2*testProbe, nil)
	want := []bbevent.Number{
		bbevent.ListAdopted,
		bbevent.Confirmed,
		bbevent.ConfirmationLost,
		bbevent.PeerLost,
		bbevent.PeerBack,
	}
	if diff := cmp.Diff(want, f.events["a1"]); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

func TestOwner(t *testing.T) {
	table := New(Settings{Self: member("a1"), Incarnation: 1, PauseGap: time.Second})
	table.Adopt(0, list(1, "a1", "a2", "b1", "c1"))
	t.Run("prefers the failure domain", func(t *testing.T) {
		if got := table.Owner("e", "b-domain"); got != "b1" {
			t.Errorf("owner = %s, want b1", got)
		}
	})
	t.Run("takes the failure domain from the list", func(t *testing.T) {
		l := list(1, "a1", "b1")
		l.Members = append(l.Members, bbmsg.Member{Name: "e", Role: bbmsg.RoleEndpoint, Domain: "b-domain", Region: "b"})
		if got, _ := bbgroup.New(l).Owner("e", "a-domain"); got != "b1" {
			t.Errorf("owner = %s, want b1", got)
		}
	})
	t.Run("leaving VMs own nothing", func(t *testing.T) {
		l := list(2, "a1", "a2", "b1", "c1")
		l.Members[2].Leaving = true
		table.Adopt(0, l)
		if got := table.Owner("e", "b-domain"); got == "b1" || got == "" {
			t.Errorf("owner = %q, want one that is not leaving", got)
		}
	})
	t.Run("groups of a large region are bounded and move little", func(t *testing.T) {
		names := make([]string, 165)
		for i := range names {
			names[i] = fmt.Sprintf("a%03d", i)
		}
		whole, less := bbgroup.New(list(1, names...)), bbgroup.New(list(2, names[1:]...))
		moved := 0
		for _, name := range names[1:] {
			size := len(whole.GroupNames(name))
			if size > bbgroup.MaxMembers {
				t.Errorf("group of %s has %d members", name, size)
			}
			if whole.Groups[whole.GroupOf[name]].Bucket != less.Groups[less.GroupOf[name]].Bucket {
				moved++
			}
		}
		t.Logf("%d groups, %d of %d VMs moved", len(whole.Groups), moved, len(names)-1)
	})
}

func TestFresh(t *testing.T) {
	three := list(1, "a1", "a2", "a3")
	check := func(t *testing.T, f *fleet, name string, want bool) {
		t.Helper()
		if got := f.tables[name].NoFormerOwners(); got != want {
			t.Errorf("Fresh of %s = %v, want %v", name, got, want)
		}
	}
	t.Run("true for nodes that start within a moment", func(t *testing.T) {
		f := newFleet(three, "a1", "a2")
		f.run(testProbe, nil)
		f.start("a3", three)
		f.run(2*testConfirm, nil)
		for _, name := range f.names {
			check(t, f, name, true)
		}
	})
	t.Run("false while a node runs that the list doesn't name", func(t *testing.T) {
		f := newFleet(three, "a1", "a2", "a3")
		f.tables["a1"].HandleProbe(0, bbmsg.Probe{From: "a9", Ready: true}, bbmsg.NodeState{})
		f.run(3*testConfirm, nil)
		check(t, f, "a1", false)
	})
	t.Run("false after a later restart and after a second list", func(t *testing.T) {
		f := newFleet(three, "a1", "a2", "a3")
		f.run(2*testConfirm, nil)
		f.start("a3", three)
		f.run(2*testConfirm, nil)
		check(t, f, "a3", false)
		f.adopt(list(2, "a1", "a2", "a3"), "a1")
		check(t, f, "a1", false)
	})
}
