package bbnode

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
)

const deputyRules = `domain d region=r # test
service s kind=plain reports=yes # test
service quiet kind=plain # test
call s/v1/x idempotent deadline=1s # test
call quiet/v1/x idempotent deadline=1s # test
endpoint e service=s address=127.0.0.1:1 domain=d warm=8 cold=1 # test
endpoint q service=quiet address=127.0.0.1:2 domain=d warm=8 cold=1 # test
account a weight=1 priority=0 # test
limit body=1MB answer=30s # test
retry share=10% # test
`

// deputyTest runs a node with simulated peers.
type deputyTest struct {
	n     *Node
	owner string
	other string
	now   time.Duration
	calls int
	sent  int
	got   []bbmsg.Envelope
}

// newDeputyTest returns the deputy of endpoint e after the owner has reported a state of e.
func newDeputyTest(t *testing.T, reported bbmsg.EndpointState) *deputyTest {
	t.Helper()
	list := bbmsg.MemberList{Revision: 1}
	for _, name := range []string{"a1", "a2", "a3"} {
		list.Members = append(list.Members, bbmsg.Member{Name: name, Role: bbmsg.RoleEntry, Domain: "d", Region: "r", Address: "127.0.0.1:1" + name[1:], PeerAddress: "127.0.0.1:2" + name[1:]})
	}
	probe := newDeputyNode("a1")
	probe.Members.Adopt(0, list)
	d := &deputyTest{owner: probe.Members.Owner("e", "d")}
	self := probe.Members.Deputy("e", "d")
	for _, m := range list.Members {
		if m.Name != self && m.Name != d.owner {
			d.other = m.Name
		}
	}
	d.n = newDeputyNode(self)
	d.tick(bbmsg.Input{List: &list}, bbmsg.Input{Rules: &bbmsg.RulesText{Revision: 1, Text: deputyRules}})
	d.hear(d.owner, 1, bbmsg.EndpointDigest{Name: "e", State: reported, Window: 8}, bbmsg.EndpointDigest{Name: "q", State: reported, Window: 8})
	return d
}

func newDeputyNode(name string) *Node {
	return New(Settings{
		Self:        bbmsg.Member{Name: name, Domain: "d", Region: "r"},
		Incarnation: 1,
		Random:      rand.New(rand.NewPCG(1, 1)),
		Times:       DefaultTimes,
		Bounds:      DefaultBounds,
	})
}

func (d *deputyTest) tick(inputs ...bbmsg.Input) {
	d.now += 50 * time.Millisecond
	for _, o := range d.n.Tick(d.now, inputs) {
		if o.Call != nil {
			d.calls++
		}
		if o.Send != nil {
			d.got = append(d.got, o.Send.Envelope)
		}
	}
}

// hear delivers a probe from a peer.
func (d *deputyTest) hear(from string, revision int64, digests ...bbmsg.EndpointDigest) {
	d.tick(bbmsg.Input{Probe: &bbmsg.Probe{From: from, Incarnation: 2, State: bbmsg.NodeState{ListRevision: revision, RulesRevision: 1, Endpoints: digests}}})
}

// lose advances the clock until the owner counts as lost, with probes only from the other peer.
func (d *deputyTest) lose() {
	for range 3 * int(DefaultTimes.PeerTimeout/(50*time.Millisecond)) {
		d.hear(d.other, 1)
	}
}

func (d *deputyTest) report(cold bool, running int) {
	d.tick(bbmsg.Input{Report: &bbmsg.LoadReport{Endpoint: "e", Boot: 1, Cold: cold, Running: running}})
}

// offer sends attempts and checks the total number of calls sent to endpoints.
func (d *deputyTest) offer(t *testing.T, endpoint string, count, want int) {
	t.Helper()
	for range count {
		d.sent++
		d.tick(bbmsg.Input{Peer: &bbmsg.FromPeer{From: d.other, Envelope: bbmsg.Envelope{Dispatch: &bbmsg.Dispatch{
			Deputy: true, Attempt: bbmsg.Attempt{ID: fmt.Sprint("id", d.sent), Number: 1}, Home: d.other, OwnerIncarnation: 1,
			Endpoint: endpoint, ListRevision: 1, BudgetMillis: 900, Account: "a", Weight: 1, Service: "s", Path: "v1/x",
		}}}})
	}
	if diff := cmp.Diff(want, d.calls); diff != "" {
		t.Errorf("calls to %s (-want +got):\n%s", endpoint, diff)
	}
}

func TestDeputy(t *testing.T) {
	t.Run("half the warm slots, minus what others run", func(t *testing.T) {
		d := newDeputyTest(t, bbmsg.StateWarm)
		d.lose()
		d.report(false, 0)
		d.offer(t, "e", 12, 4)
		d = newDeputyTest(t, bbmsg.StateWarm)
		d.lose()
		d.report(false, 3)
		d.offer(t, "e", 12, 1)
	})
	t.Run("nothing while the owner is alive, and nothing more once it is back", func(t *testing.T) {
		d := newDeputyTest(t, bbmsg.StateWarm)
		d.report(false, 0)
		d.offer(t, "e", 4, 0)
		d.lose()
		d.report(false, 0)
		d.offer(t, "e", 1, 1)
		d.hear(d.owner, 1)
		d.offer(t, "e", 4, 1)
	})
	t.Run("nothing more once a newer list is known", func(t *testing.T) {
		d := newDeputyTest(t, bbmsg.StateWarm)
		d.lose()
		d.report(false, 0)
		d.hear(d.other, 2)
		d.offer(t, "e", 4, 0)
	})
	t.Run("nothing to an endpoint that is not warm", func(t *testing.T) {
		for _, reported := range []bbmsg.EndpointState{bbmsg.StateCold, bbmsg.StateUnknown, bbmsg.StateWarming} {
			d := newDeputyTest(t, reported)
			d.lose()
			d.report(false, 0)
			d.offer(t, "e", 4, 0)
		}
		d := newDeputyTest(t, bbmsg.StateWarm)
		d.lose()
		d.report(true, 0)
		d.offer(t, "e", 4, 0)
		d.report(false, 0)
		d.offer(t, "e", 4, 0)
	})
	t.Run("nothing without a recent load report", func(t *testing.T) {
		d := newDeputyTest(t, bbmsg.StateWarm)
		d.lose()
		d.offer(t, "e", 2, 0)
		d.offer(t, "q", 2, 0)
		d.report(false, 0)
		d.lose()
		d.offer(t, "e", 2, 0)
	})
	t.Run("endpoint responses reach the deputy's table, and a full endpoint gets no more", func(t *testing.T) {
		d := newDeputyTest(t, bbmsg.StateWarm)
		d.lose()
		d.lose()
		d.report(false, 0)
		d.offer(t, "e", 3, 3)
		d.got = nil
		d.tick(bbmsg.Input{CallUpdate: &bbmsg.CallUpdate{Call: deputyFirstCall + 1, Kind: bbmsg.UpdateRejected, Status: 429}})
		if len(d.got) == 0 || d.got[0].Result == nil || d.got[0].Result.Attempt.ID != "id1" {
			t.Errorf("answers to a rejection: %+v", d.got)
		}
		d.tick(bbmsg.Input{CallUpdate: &bbmsg.CallUpdate{Call: deputyFirstCall + 2, Kind: bbmsg.UpdateDone}})
		d.report(false, 1)
		d.offer(t, "e", 3, 3)
	})
	t.Run("a cancel reaches the deputy's table", func(t *testing.T) {
		d := newDeputyTest(t, bbmsg.StateWarm)
		d.lose()
		d.report(false, 0)
		d.offer(t, "e", 1, 1)
		d.got = nil
		d.tick(bbmsg.Input{Peer: &bbmsg.FromPeer{From: d.other, Envelope: bbmsg.Envelope{Cancel: &bbmsg.Cancel{
			Deputy: true, Attempt: bbmsg.Attempt{ID: "id1", Number: 1}, Endpoint: "e", Home: d.other, OwnerIncarnation: 1,
		}}}})
		if len(d.got) == 0 || d.got[0].Cancelled == nil || d.got[0].Cancelled.NeverSent {
			t.Errorf("answers to the cancel: %+v", d.got)
		}
	})
}
