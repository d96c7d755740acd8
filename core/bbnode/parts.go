package bbnode

import (
	"bluebellhall/core/bbdrain"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbreceiver"
)

// newReceiver returns the table of the callers that wait at this node.
func (n *Node) newReceiver() *bbreceiver.Table {
	s := n.Settings
	return bbreceiver.New(bbreceiver.Settings{
		Self:     s.Self.Name,
		Keys:     s.Keys,
		MaxCalls: s.Bounds.Calls,
	}, n.Members, bbreceiver.Seams{
		Heirs: n.Home.Heirs,
		Send:  n.send,
		Answer: func(a *bbmsg.Answer) {
			n.out = append(n.out, bbmsg.Output{
				Answer: a,
			})
		},
		Emit: n.event,
	})
}

// newDrain returns the state of the graceful stop.
func (n *Node) newDrain() *bbdrain.Table {
	s := n.Settings
	return bbdrain.New(bbdrain.Settings{
		Self:        s.Self.Name,
		Region:      s.Self.Region,
		Incarnation: s.Incarnation,
	}, n.Members, n.Home, bbdrain.Seams{
		Busy: n.busy,
		Send: n.send,
		Stop: func() {
			n.out = append(n.out, bbmsg.Output{
				Stopped: true,
			})
		},
		Emit: n.event,
	})
}

// busy tells whether anything is still under way.
func (n *Node) busy() bool {
	if n.Home.Running() > 0 || n.receiver.Waiting() > 0 {
		return true
	}
	for _, d := range append(n.Owner.Digests(n.now), n.deputy.Digests(n.now)...) {
		if d.InFlight > 0 || d.Queued > 0 {
			return true
		}
	}
	return false
}
