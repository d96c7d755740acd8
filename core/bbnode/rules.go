package bbnode

import (
	"time"

	"bluebellhall/core/bbconfig"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// fetchInterval is the minimum time between two requests to peers for newer configuration.
const fetchInterval = 100 * time.Millisecond

// offerRules applies a revision of the rules if it is newer and valid.
func (n *Node) offerRules(text bbmsg.RulesText, source string) {
	if !n.Config.OfferRules(source, text) {
		return
	}
	n.Index = n.Config.Rules().Index
	n.Owner.SetRules(n.now, n.Index.Set)
	n.deputy.SetRules(n.now, halfSlots(n.Index.Set))
	n.policy.SetRetryShare(n.Index.Set.Limits.RetryShare)
	n.addresses.SetTTL(n.Index.Set.Limits.AnswerTTL)
	n.views.SetRules(n.Index)
	n.intake.SetRules(n.Index)
	n.setOwned()
}

// offerList adopts a member list if it is newer.
func (n *Node) offerList(list bbmsg.MemberList, source string) {
	if !n.Config.OfferList(source, list) {
		return
	}
	adopted := n.Config.List()
	if !n.Members.Adopt(n.now, adopted) {
		return
	}
	n.Owner.SetMembers(n.now, adopted)
	n.deputy.SetMembers(n.now, adopted)
	n.setOwned()
	n.receiver.ListChanged()
	n.setLinks()
}

// setLinks tells the driver which VMs messages may be sent to: those in the list and the
// members of former groups that are still probed.
func (n *Node) setLinks() {
	links := &bbmsg.LinkSet{}
	for _, name := range n.Members.PeerNames() {
		links.Members = append(links.Members, n.Members.Peers[name].Member)
	}
	n.out = append(n.out, bbmsg.Output{
		Links: links,
	})
}

// setOwned updates which endpoints the owner's table owns.
func (n *Node) setOwned() {
	if n.Index == nil {
		return
	}
	self := n.Settings.Self.Name
	gained, _ := n.Owner.SetOwned(n.now, func(name string) bool {
		e := n.Index.Endpoints[name]
		return e != nil && n.Members.Owner(name, e.Domain) == self
	})
	for _, name := range gained {
		if digest, age, ok := n.views.Digest(n.now, name); ok {
			n.Owner.Hint(n.now, digest, age)
		}
	}
	n.emit(n.Owner.TakeOutputs())
	n.updateDeputyEndpoints()
}

// tickConfiguration fetches newer configuration from peers and decides whether the node is
// ready.
func (n *Node) tickConfiguration() {
	n.emit(n.Config.Tick(n.now, n.Members.AlivePeers()))
	if n.ready || !n.Config.Ready() {
		return
	}
	n.ready = true
	n.event(bbevent.Event{
		Number: bbevent.NodeReady,
	})
	n.addresses.SetReady()
	n.receiver.Ready()
}

// newConfig returns a node's configuration, which is empty at first.
func newConfig(s Settings) *bbconfig.Config {
	return bbconfig.New(bbconfig.Settings{
		Self:          s.Self.Name,
		FetchInterval: fetchInterval,
		StartWait:     s.Times.StartTimeout,
	})
}
