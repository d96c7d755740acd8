package bbnode

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
)

// engineRules has one engine endpoint that should have a model loaded.
const engineRules = `domain d region=r # x
service g kind=engine reports=yes # x
model m weight=1KB # x
endpoint e service=g model=m address=127.0.0.1:1 domain=d # x
pipeline p stages=g@m # x
`

// TestOrdersToOwnEngines checks that an owner orders a model only where the endpoint's load
// report has none, even when the owner has sent no request to the endpoint yet.
func TestOrdersToOwnEngines(t *testing.T) {
	cases := []struct {
		name     string
		reported string
		want     bool
	}{
		{name: "model is loaded", reported: "m", want: false},
		{name: "no model is loaded", reported: "", want: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, isOrdered(t, test.reported)); diff != "" {
				t.Errorf("ordered (-want +got):\n%s", diff)
			}
		})
	}
}

// isOrdered returns whether a node issues an order within a minute to its only engine, whose
// load report has the given model.
func isOrdered(t *testing.T, model string) bool {
	t.Helper()
	self := bbmsg.Member{Name: "a", Role: bbmsg.RoleEntry, Address: "127.0.0.1:2", PeerAddress: "127.0.0.1:3", Domain: "d", Region: "r"}
	n := New(Settings{
		Self:        self,
		Incarnation: 1,
		Random:      rand.New(rand.NewPCG(1, 1)),
		Times:       DefaultTimes,
		Bounds:      DefaultBounds,
	})
	n.Tick(time.Millisecond, []bbmsg.Input{
		{Rules: &bbmsg.RulesText{Revision: 1, Text: engineRules}},
		{List: &bbmsg.MemberList{Revision: 1, Members: []bbmsg.Member{self}}},
	})
	if n.Index == nil || n.Members.Revision() == 0 {
		t.Fatal("the rules or the list were refused")
	}
	for now := DefaultTimes.ReportInterval; now < time.Minute; now += DefaultTimes.ReportInterval {
		outputs := n.Tick(now, []bbmsg.Input{
			{Report: &bbmsg.LoadReport{Endpoint: "e", Boot: 1, Model: model}},
		})
		for _, o := range outputs {
			if o.Order != nil {
				return true
			}
		}
	}
	return false
}
