package bbnode

import (
	"bluebellhall/core/bbaddress"
	"bluebellhall/core/bbdrain"
	"bluebellhall/core/bbintake"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbreceiver"
	"bluebellhall/core/bbview"
)

// newReceiver returns the table of the callers that wait at this node.
func (n *Node) newReceiver() *bbreceiver.Table {
	s := n.Settings
	return bbreceiver.New(bbreceiver.Settings{
		Self:     s.Self.Name,
		Keys:     s.Keys,
		MaxCalls: s.Bounds.Calls,
	}, n.Members, bbreceiver.Hooks{
		HandedOverHomes: n.Home.HandedOverHomes,
		Send:            n.send,
		Answer: func(a *bbmsg.Answer) {
			n.out = append(n.out, bbmsg.Output{
				Answer: a,
			})
		},
		Emit: n.event,
	})
}

// newAddresses returns the responder for callers that ask which entry VMs to use.
func (n *Node) newAddresses() *bbaddress.Responder {
	s := n.Settings
	return bbaddress.NewResponder(bbaddress.Settings{
		Self:              s.Self,
		Incarnation:       s.Incarnation,
		Keys:              s.Keys,
		HeartbeatInterval: s.Times.ProbeInterval,
		Random:            s.Random.Uint64,
	}, n.Members, bbaddress.Hooks{
		Load:     n.Home.Running,
		Draining: n.drain.Started,
	})
}

// answerAddress tells a caller which entry VMs to use.
func (n *Node) answerAddress(a bbmsg.AddressRequest) {
	answer := n.addresses.Answer(n.now, a)
	n.out = append(n.out, bbmsg.Output{
		Addresses: &answer,
	})
}

// newIntake returns the intake of this home. Its Flow is set later.
func (n *Node) newIntake() *bbintake.Table {
	s := n.Settings
	return bbintake.New(bbintake.Settings{
		Self:         s.Self.Name,
		Incarnation:  s.Incarnation,
		Keys:         s.Keys,
		KeyRetention: s.Times.KeyRetention,
		SettleTime:   s.Times.SettleTime,
		AnswerMargin: answerMargin,
	}, bbintake.Sources{
		Members:  n.Members,
		Home:     n.Home,
		Policy:   n.policy,
		Suspects: n.suspects,
	}, bbintake.Hooks{
		Send: n.send,
		Emit: n.event,
	})
}

// newViews returns the home's view of the endpoints.
func (n *Node) newViews() *bbview.Table {
	return bbview.New(bbview.Settings{
		Self:   n.Settings.Self,
		Random: n.Settings.Random.Uint64,
	}, bbview.Sources{
		Members: n.Members,
		Policy:  n.policy,
		Owner:   n.Owner,
		Deputy:  n.deputy,
	})
}

// newDrain returns the state of the graceful stop.
func (n *Node) newDrain() *bbdrain.Table {
	s := n.Settings
	return bbdrain.New(bbdrain.Settings{
		Self:        s.Self.Name,
		Region:      s.Self.Region,
		Incarnation: s.Incarnation,
	}, n.Members, n.Home, bbdrain.Hooks{
		Busy: n.hasPendingWork,
		Send: n.send,
		Stop: func() {
			n.out = append(n.out, bbmsg.Output{
				Stopped: true,
			})
		},
		Emit: n.event,
	})
}

// hasPendingWork returns whether requests, callers or calls to endpoints are in progress.
func (n *Node) hasPendingWork() bool {
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
