package bbnode

import (
	"time"

	"bluebellhall/core/bbaddress"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
)

// ticketMargin covers the time until all peers have heard that a node drains, and
// the grace that tickets outlive their answers by.
const ticketMargin = 5 * time.Second

// answerAddress tells a caller which entry VMs to use, with a ticket of the first.
func (n *Node) answerAddress(a bbmsg.AddressAsked) {
	answer := bbmsg.AddressAnswer{
		Call:   a.Call,
		Reason: bbmsg.ReasonNotReady,
	}
	if n.ready {
		n.fillAddresses(&answer, a)
	}
	n.out = append(n.out, bbmsg.Output{
		Addresses: &answer,
	})
}

// fillAddresses ranks the entry VMs for a caller. Callers come to a near VM by
// themselves, so the region of the VM that is asked stands for theirs.
func (n *Node) fillAddresses(answer *bbmsg.AddressAnswer, a bbmsg.AddressAsked) {
	nodes := n.addressNodes()
	ranked := n.policy.ranker.Rank(n.now, bbaddress.Query{
		Session: bbaddress.SessionHash(a.Account, a.Session),
		Region:  n.Settings.Self.Region,
	}, nodes)
	if len(ranked) == 0 {
		return
	}
	ttl := n.Index.Set.Limits.AnswerTTL
	home := &nodes[ranked[0]]
	n.policy.handed[home.Name]++
	answer.Reason = bbmsg.ReasonNone
	answer.KeepMillis = n.policy.ranker.Keep(ttl).Milliseconds()
	answer.Ticket = n.Settings.Keys.Sign(bbaddress.Ticket(n.now, home, ttl))
	for _, i := range ranked {
		answer.Addresses = append(answer.Addresses, nodes[i].Address)
	}
}

// addressNodes lists the entry VMs as this node sees them, itself included.
func (n *Node) addressNodes() []bbaddress.Node {
	self := n.Settings.Self
	nodes := []bbaddress.Node{
		{
			Name:        self.Name,
			Hash:        bbhash.Name(self.Name),
			Address:     self.Address,
			Domain:      self.Domain,
			Region:      self.Region,
			Incarnation: n.Settings.Incarnation,
			ClockMillis: n.now.Milliseconds(),
			HeardAt:     n.now,
			Alive:       true,
			Draining:    n.drain.Started(),
			Load:        n.Home.Running(),
			Handed:      n.policy.handed[self.Name],
		},
	}
	for _, name := range n.Members.PeerNames() {
		p := n.Members.Peers[name]
		if !p.Listed {
			continue
		}
		nodes = append(nodes, bbaddress.Node{
			Name:        name,
			Hash:        bbhash.Name(name),
			Address:     p.Member.Address,
			Domain:      p.Member.Domain,
			Region:      p.Member.Region,
			Incarnation: p.Incarnation,
			ClockMillis: p.Knowledge.ClockMillis,
			HeardAt:     p.LastHeard,
			Alive:       p.Heard && p.Alive,
			Leaving:     p.Member.Leaving,
			Draining:    p.Knowledge.Draining,
			Load:        p.Knowledge.Load,
			Handed:      n.policy.handed[name],
		})
	}
	return nodes
}

// tickHanded forgets, once for each heartbeat, the answers that named this node: their
// callers have come, or their load is as well known as that of other nodes.
func (n *Node) tickHanded() {
	if n.now < n.policy.handedUntil {
		return
	}
	n.policy.handedUntil = n.now + n.Settings.Times.ProbeInterval
	n.policy.handed[n.Settings.Self.Name] = 0
}
