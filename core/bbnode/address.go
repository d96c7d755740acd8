package bbnode

import (
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// answerAddress tells a caller which entry VMs to use, with a ticket of the first.
func (n *Node) answerAddress(a bbmsg.AddressAsked) {
	answer := bbmsg.AddressAnswer{
		Call:   a.Call,
		Reason: bbmsg.ReasonNotReady,
	}
	if n.ready {
		n.fillAddresses(&answer)
	}
	n.out = append(n.out, bbmsg.Output{
		Addresses: &answer,
	})
}

// fillAddresses ranks this node first.
func (n *Node) fillAddresses(answer *bbmsg.AddressAnswer) {
	keep := n.Index.Set.Limits.AnswerTTL
	answer.Reason = bbmsg.ReasonNone
	answer.KeepMillis = keep.Milliseconds()
	answer.Addresses = []string{n.Settings.Self.Address}
	for _, name := range n.alivePeers() {
		answer.Addresses = append(answer.Addresses, n.Members.Peers[name].Member.Address)
	}
	answer.Ticket = n.Settings.Keys.Sign(n.ticket(n.Settings.Self.Name, n.Settings.Incarnation, n.now, keep))
}

// ticket returns a ticket that expires on the clock of its home.
func (n *Node) ticket(home string, incarnation uint64, clock, keep time.Duration) bbticket.Ticket {
	return bbticket.Ticket{
		Home:         home,
		Incarnation:  incarnation,
		ExpiryMillis: (clock + keep).Milliseconds(),
	}
}
