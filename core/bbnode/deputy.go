package bbnode

import (
	"slices"
	"time"

	"bluebellhall/core/bbowner"
	"bluebellhall/core/bbrule"
)

// deputyFirstCall separates the call numbers of the deputy's table from those of the owner's.
const deputyFirstCall = 1 << 62

// newDeputy returns the table of the endpoints that this node serves while their owner is lost.
func (n *Node) newDeputy() *bbowner.Table {
	s := n.Settings
	return bbowner.New(bbowner.Settings{
		Self:           s.Self.Name,
		Incarnation:    s.Incarnation,
		SettleTime:     s.Times.SettleTime,
		SilenceTime:    s.Times.SilenceTime,
		ReportInterval: s.Times.ReportInterval,
		WarmOnly:       true,
		FirstCall:      deputyFirstCall,
		ConfirmedFor: func(_ time.Duration, name, domain string) bool {
			return n.Members.ActsAsDeputy(name, domain)
		},
	})
}

// updateDeputyEndpoints updates which endpoints the deputy's table may serve.
func (n *Node) updateDeputyEndpoints() {
	if n.Index == nil {
		return
	}
	n.deputy.SetOwned(n.now, n.views.MayDeputize)
	n.emit(n.deputy.TakeOutputs())
}

// halfSlots returns the rules with half of the warm slots of each endpoint and no cold ones.
func halfSlots(set *bbrule.RuleSet) *bbrule.RuleSet {
	half := *set
	half.Endpoints = slices.Clone(set.Endpoints)
	for i := range half.Endpoints {
		half.Endpoints[i].WarmSlots /= 2
		half.Endpoints[i].ColdSlots = 0
	}
	return &half
}

// ownerTable returns the deputy's table or the owner's.
func (n *Node) ownerTable(deputy bool) *bbowner.Table {
	if deputy {
		return n.deputy
	}
	return n.Owner
}
