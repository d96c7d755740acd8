package bbnode

import (
	"slices"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbflow"
	"bluebellhall/core/bbmsg"
)

// knowledge returns what probes tell of this node.
func (n *Node) knowledge() bbmsg.NodeState {
	return n.Config.Knowledge(bbmsg.NodeState{
		ClockMillis:     n.now.Milliseconds(),
		Draining:        n.drain.Started(),
		Load:            n.Home.Running(),
		HandedOverHomes: n.Home.HandedOverHomes(),
		Endpoints:       n.probeDigests(),
	})
}

// toldDigests returns the digests that probes carry: in a large fleet only those of
// endpoints that were lost, which their new owners have to hear of.
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

// takeProbe answers a probe and learns from it.
func (n *Node) handleProbe(p bbmsg.Probe) {
	before := n.Members.Incarnation(p.From)
	reply := n.Members.HandleProbe(n.now, p, n.knowledge())
	n.out = append(n.out, bbmsg.Output{
		Reply: &bbmsg.ReplyOut{
			To:          p.From,
			Incarnation: p.Incarnation,
			Reply:       reply,
		},
	})
	n.applyPeerKnowledge(p.From, before, p.State)
}

// takeReply learns from the answer to a probe.
func (n *Node) handleReply(r bbmsg.ProbeReply) {
	before := n.Members.Incarnation(r.From)
	n.emit(n.Members.HandleReply(n.now, r))
	n.applyPeerKnowledge(r.From, before, r.State)
}

// learn takes in what a peer knows.
func (n *Node) applyPeerKnowledge(from string, before uint64, k bbmsg.NodeState) {
	n.addresses.PeerHeard(from)
	for _, d := range k.Endpoints {
		n.views.UpdateDigest(n.now, from, d)
	}
	if after := n.Members.Incarnation(from); before != 0 && after != before {
		n.peerChanged(from)
	}
	n.Config.UpdatePeer(from, k)
}

// peerState tells the flow about an owner.
func (n *Node) peerState(_ time.Duration, name string) bbflow.PeerState {
	return bbflow.PeerState{
		Alive:       n.Members.Alive(name),
		Incarnation: n.Members.Incarnation(name),
	}
}

// peerChanged acts on a peer that was lost, came back or started anew.
func (n *Node) peerChanged(name string) {
	n.Flow.PeerChanged(n.now, name)
	n.receiver.PeerChanged(name)
	n.drain.PeerChanged(n.now, name)
	n.updateDeputyEndpoints()
}

// takeDispatch offers an attempt to the owner's table. An attempt that was meant for
// an earlier process of this node may have been sent by it, so it is not run.
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

// takeCancel stops an attempt. Only the process that got the attempt can answer.
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

// takeResult passes news of an attempt to the flow.
func (n *Node) handleResult(from string, r bbmsg.Result) {
	if r.Digest != nil {
		n.views.UpdateDigest(n.now, from, *r.Digest)
	}
	n.Flow.HandleResult(n.now, from, r)
}

// takePlatform notes whether the configuration service answers.
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
