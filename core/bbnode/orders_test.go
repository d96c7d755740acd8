package bbnode

import (
	"math/rand/v2"
	"testing"
	"time"

	"bluebellhall/core/bbmsg"
)

// ordersRules has one engine with a model.
const ordersRules = `domain d region=r # test
service engines kind=engine reports=yes # test
model m weight=1KB # test
endpoint e service=engines model=m address=10.0.0.1:80 domain=d warm=4 cold=1 # test
pipeline p stages=engines@m deadline=6s # test
account a weight=1 priority=1 # test
store rate=1MB # test
`

// TestLoadedModelIsSeen checks that a node that owns an engine without any traffic
// knows from its report that the model is loaded, and orders nothing.
func TestLoadedModelIsSeen(t *testing.T) {
	n := New(Settings{
		Self:        bbmsg.Member{Name: "a", Domain: "d", Region: "r"},
		Incarnation: 1,
		Random:      rand.New(rand.NewPCG(1, 1)),
		Times:       DefaultTimes,
		Bounds:      DefaultBounds,
	})
	list := bbmsg.MemberList{Revision: 1, Members: []bbmsg.Member{
		{Name: "a", Role: bbmsg.RoleEntry, Address: "10.0.0.2:80", PeerAddress: "10.0.0.2:81", Domain: "d", Region: "r"},
		{Name: "e", Role: bbmsg.RoleEndpoint, Address: "10.0.0.1:80", Domain: "d", Region: "r"},
	}}
	n.Tick(1, []bbmsg.Input{
		{Rules: &bbmsg.RulesText{Revision: 1, Text: ordersRules}},
		{List: &list},
	})
	if n.Index == nil || n.Members.Revision() == 0 {
		t.Fatal("the rules or the list were refused")
	}
	for now := time.Second; now < time.Minute; now += 200 * time.Millisecond {
		report := &bbmsg.LoadReport{Endpoint: "e", Boot: 1, Model: "m"}
		for _, o := range n.Tick(now, []bbmsg.Input{{Report: report}}) {
			if o.Order != nil {
				t.Fatalf("at %v it ordered %+v", now, *o.Order)
			}
		}
	}
}
