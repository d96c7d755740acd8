package bbnode

import (
	"slices"
	"time"

	"bluebellhall/core/bbowner"
	"bluebellhall/core/bbrule"
)

// deputyFirstCall keeps the calls of the deputy apart from those of the owner.
const deputyFirstCall = 1 << 62

// newDeputy returns the table of the endpoints that this node looks after for others.
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

// setDeputies tells the deputy's table what it may look after.
func (n *Node) updateDeputyEndpoints() {
	if n.Index == nil {
		return
	}
	n.deputy.SetOwned(n.now, n.views.MayDeputize)
	n.emit(n.deputy.TakeOutputs())
}

// halfSlots returns rules in which endpoints carry half of their slots.
func halfSlots(set *bbrule.RuleSet) *bbrule.RuleSet {
	half := *set
	half.Endpoints = slices.Clone(set.Endpoints)
	for i := range half.Endpoints {
		half.Endpoints[i].WarmSlots /= 2
		half.Endpoints[i].ColdSlots = 0
	}
	return &half
}

// tableOf returns the deputy's table or the owner's.
func (n *Node) ownerTable(deputy bool) *bbowner.Table {
	if deputy {
		return n.deputy
	}
	return n.Owner
}
