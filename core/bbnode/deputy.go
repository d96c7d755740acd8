package bbnode

import (
	"slices"
	"time"

	"bluebellhall/core/bbmsg"
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
		ConfirmedFor:   n.deputyFor,
	})
}

// deputyFor tells whether this node may act for the owner of an endpoint now: it is the
// next in order, has lost the owner and knows of no newer list.
func (n *Node) deputyFor(_ time.Duration, name, domain string) bool {
	owner := n.Members.Owner(name, domain)
	return owner != "" && !n.Members.Alive(owner) && n.Members.Seen() == n.Members.Revision() &&
		n.Members.Deputy(name, domain) == n.Settings.Self.Name
}

// setDeputies tells the deputy's table what it may look after: endpoints whose lost
// owner told last that they are warm, and that report their load.
func (n *Node) setDeputies() {
	if n.Index == nil {
		return
	}
	n.deputy.SetOwned(n.now, func(name string) bool {
		e := n.Index.Endpoints[name]
		if e == nil || !n.reports(e) || !n.deputyFor(n.now, name, e.Domain) {
			return false
		}
		v := n.views[name]
		return v != nil && v.owner == n.Members.Owner(name, e.Domain) && v.digest.State == bbmsg.StateWarm
	})
	n.emit(n.deputy.TakeOutputs())
}

// reports tells whether the service of an endpoint reports its load.
func (n *Node) reports(e *bbrule.Endpoint) bool {
	s := n.Index.Services[e.Service]
	return s != nil && (s.ReportsLoad || s.Kind == bbrule.KindEngine)
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
func (n *Node) tableOf(deputy bool) *bbowner.Table {
	if deputy {
		return n.deputy
	}
	return n.Owner
}
