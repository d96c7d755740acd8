package bbnode

import (
	"slices"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbmsg"
)

// nodeState returns the state of this node that probes carry.
func (n *Node) nodeState() bbmsg.NodeState {
	return n.Config.State(bbmsg.NodeState{
		ClockMillis:     n.now.Milliseconds(),
		Draining:        n.drain.Started(),
		Load:            n.Home.Running(),
		HandedOverHomes: n.Home.HandedOverHomes(),
		Endpoints:       n.probeDigests(),
	})
}

// probeDigests returns the endpoint digests that probes carry. In a large fleet these are only
// the ones of endpoints that this node no longer owns: their new owners need them.
func (n *Node) probeDigests() []bbmsg.EndpointDigest {
	digests := n.Owner.Digests(n.now)
	if !n.views.IsLargeFleet() {
		return append(digests, n.deputy.Digests(n.now)...)
	}
	return slices.DeleteFunc(digests, func(d bbmsg.EndpointDigest) bool {
		e := n.Owner.Endpoints[d.Name]
		return e == nil || e.Owned
	})
}

// handleProbe replies to a probe and applies the peer's state.
func (n *Node) handleProbe(p bbmsg.Probe) {
	before := n.Members.Incarnation(p.From)
	reply := n.Members.HandleProbe(n.now, p, n.nodeState())
	n.out = append(n.out, bbmsg.Output{
		Reply: &bbmsg.ReplyOut{
			To:          p.From,
			Incarnation: p.Incarnation,
			Reply:       reply,
		},
	})
	n.applyPeerState(p.From, before, p.State)
}

// handleReply applies the peer's state from the reply to a probe.
func (n *Node) handleReply(r bbmsg.ProbeReply) {
	before := n.Members.Incarnation(r.From)
	n.emit(n.Members.HandleReply(n.now, r))
	n.applyPeerState(r.From, before, r.State)
}

// applyPeerState updates the node with the state that a peer sent. before is the peer's last
// known incarnation before that message.
func (n *Node) applyPeerState(from string, before uint64, k bbmsg.NodeState) {
	n.addresses.PeerHeard(from)
	for _, d := range k.Endpoints {
		n.views.UpdateDigest(n.now, from, d)
	}
	if after := n.Members.Incarnation(from); before != 0 && after != before {
		n.peerChanged(from)
	}
	n.Config.UpdatePeer(from, k)
}

// peerState returns the state of an owner for the flow.
func (n *Node) peerState(_ time.Duration, name string) bbflow.PeerState {
	return bbflow.PeerState{
		Alive:       n.Members.Alive(name),
		Incarnation: n.Members.Incarnation(name),
	}
}

// peerChanged reacts to a peer that was lost, came back or restarted.
func (n *Node) peerChanged(name string) {
	n.Flow.PeerChanged(n.now, name)
	n.receiver.PeerChanged(name)
	n.drain.PeerChanged(n.now, name)
	n.updateDeputyEndpoints()
}

// handleDispatch offers an attempt to the owner's or the deputy's table. An attempt addressed
// to an earlier process of this node is not run, since that process may have sent it already.
func (n *Node) handleDispatch(from string, d bbmsg.Dispatch) {
	if d.OwnerIncarnation != n.Settings.Incarnation {
		n.send(from, bbmsg.Envelope{
			Result: &bbmsg.Result{
				Attempt:      d.Attempt,
				Kind:         bbmsg.ResultBroken,
				Reason:       bbmsg.ReasonOwnerGone,
				ListRevision: n.Members.Revision(),
			},
		})
		return
	}
	n.Members.Observe(d.ListRevision)
	table := n.ownerTable(d.Deputy)
	table.Offer(n.now, d, from)
	n.emit(table.TakeOutputs())
}

// handleCancel stops an attempt. Only the process that received the attempt can answer.
func (n *Node) handleCancel(from string, c bbmsg.Cancel) {
	if c.OwnerIncarnation != n.Settings.Incarnation {
		return
	}
	table := n.ownerTable(c.Deputy)
	answer, ok := table.Cancel(n.now, c)
	n.emit(table.TakeOutputs())
	if !ok {
		return
	}
	n.send(from, bbmsg.Envelope{
		Cancelled: &answer,
	})
}

// handleResult passes the result of an attempt to the flow.
func (n *Node) handleResult(from string, r bbmsg.Result) {
	if r.Digest != nil {
		n.views.UpdateDigest(n.now, from, *r.Digest)
	}
	n.Flow.HandleResult(n.now, from, r)
}

// handlePlatform records whether the configuration service answers.
func (n *Node) handlePlatform(up bool) {
	if n.platform.known && n.platform.up == up {
		return
	}
	n.platform = platformState{
		up:    up,
		known: true,
		since: n.now,
	}
	number := bbevent.PlatformDown
	if up {
		number = bbevent.PlatformUp
	}
	n.event(bbevent.Event{
		Number: number,
	})
}
