package bbmember

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgroup"
	"bluebellhall/core/bbmsg"
)

// Tick updates the table and returns the probes that are due and the queued events.
func (t *Table) Tick(now time.Duration) []bbmsg.Output {
	t.detectPause(now)
	t.evictFormerLayouts(now)
	t.updateReady(now)
	t.updateQuorum(now)
	t.reportConfirmed(now)
	if now < t.nextCheck {
		return t.takePending()
	}
	t.detectLostPeers(now)
	outputs := t.probeDue(now, t.takePending())
	t.nextCheck = t.computeNextCheck()
	return outputs
}

// takePending returns the queued events and empties the queue.
func (t *Table) takePending() []bbmsg.Output {
	outputs := t.pending
	t.pending = nil
	return outputs
}

// NextWake returns when the next Tick is due.
func (t *Table) NextWake(now time.Duration) time.Duration {
	wake := min(now+t.settings.PauseGap/2, t.nextCheck)
	if t.hasQuorum && !t.reportedConfirmed {
		wake = min(wake, max(t.quorumSince+t.settings.SettleTime+1, now+1))
	}
	return max(wake, now)
}

// computeNextCheck returns when the next probe is due or the next peer may count as lost.
func (t *Table) computeNextCheck() time.Duration {
	next := maxTime
	if len(t.frequentPeers) < len(t.peerNames) {
		next = t.nextRotationProbe
	}
	for _, p := range t.frequentPeers {
		next = min(next, p.nextProbe)
		if p.Alive && p.awaitingReply {
			next = min(next, t.lostAt(p))
		}
	}
	return next
}

// probedOften returns true for peers that get a probe each interval: the members of the
// group, and every peer in a fleet that is no larger than a group may be.
func (t *Table) probedOften(p *Peer) bool {
	return p.InGroup || len(t.Peers) < bbgroup.MaxMembers
}

func (t *Table) probeDue(now time.Duration, outputs []bbmsg.Output) []bbmsg.Output {
	var own bbmsg.NodeState
	if t.settings.State != nil {
		own = t.settings.State()
	}
	own = t.withListRevision(own)
	for _, p := range t.frequentPeers {
		if now >= p.nextProbe {
			outputs = append(outputs, t.probe(now, p, own))
		}
	}
	if len(t.frequentPeers) == len(t.peerNames) || now < t.nextRotationProbe {
		return outputs
	}
	t.nextRotationProbe = now + t.settings.ProbeInterval
	return append(outputs, t.probe(now, t.nextRotationPeer(), own))
}

// nextRotationPeer returns the next peer of the round robin over the peers outside the group.
func (t *Table) nextRotationPeer() *Peer {
	for {
		t.rotationIndex = (t.rotationIndex + 1) % len(t.peerNames)
		p := t.Peers[t.peerNames[t.rotationIndex]]
		if !t.probedOften(p) {
			return p
		}
	}
}

func (t *Table) probe(now time.Duration, p *Peer, own bbmsg.NodeState) bbmsg.Output {
	t.sequence++
	p.nextProbe = now + t.settings.ProbeInterval
	copy(p.sent[1:], p.sent[:sentProbes-1])
	p.sent[0] = sentProbe{sequence: t.sequence, at: now}
	if !p.awaitingReply {
		p.awaitingReply = true
		p.firstUnanswered = now
	}
	return bbmsg.Output{Probe: &bbmsg.ProbeOut{
		To: p.Member.Name,
		Probe: bbmsg.Probe{
			From:        t.settings.Self.Name,
			Incarnation: t.settings.Incarnation,
			Sequence:    t.sequence,
			Ready:       t.ready,
			State:       own,
		},
	}}
}

// HandleProbe processes a probe and returns the reply. own is this node's state; its list
// revision is filled in. A peer that is probed each interval gets the endpoint digests with
// those probes, so the reply to it omits them.
func (t *Table) HandleProbe(now time.Duration, probe bbmsg.Probe, own bbmsg.NodeState) bbmsg.ProbeReply {
	t.detectPause(now)
	t.Observe(probe.State.ListRevision)
	t.recordUnready(probe.From, probe.Ready)
	p := t.Peers[probe.From]
	t.unlistedReadyPeer = t.unlistedReadyPeer || p == nil && probe.Ready
	if p != nil {
		t.recordContact(now, p, probe.Incarnation, probe.State)
		if t.probedOften(p) {
			own.Endpoints = nil
		}
	}
	asking := t.awaitsFormerGroups(now)
	return bbmsg.ProbeReply{
		From:        t.settings.Self.Name,
		Incarnation: t.settings.Incarnation,
		Sequence:    probe.Sequence,
		Ready:       t.ready && !asking,
		Fresh:       t.NoFormerOwners(),
		Asking:      asking,
		State:       t.withListRevision(own),
	}
}

// awaitsFormerGroups returns true while too few members of the former groups are known to
// have the newest list. While this node lacks that list itself, its current group counts as a
// former group.
func (t *Table) awaitsFormerGroups(now time.Duration) bool {
	if t.current == nil {
		return false
	}
	until := t.formerGroupsExpiry(now)
	if t.seen != t.list.Revision {
		group := t.Group()
		until = min(until, t.expiryForCount(group, len(group)-len(group)/2, listUntil))
	}
	return now >= until
}

// HandleReply processes the reply to a probe. Replies that match no probe are dropped.
func (t *Table) HandleReply(now time.Duration, reply bbmsg.ProbeReply) []bbmsg.Output {
	t.detectPause(now)
	t.Observe(reply.State.ListRevision)
	p := t.Peers[reply.From]
	if p == nil {
		return nil
	}
	sent, ok := p.takeSentProbe(reply.Sequence)
	if !ok {
		return nil
	}
	if reply.State.Endpoints == nil {
		reply.State.Endpoints = p.State.Endpoints
	}
	t.recordContact(now, p, reply.Incarnation, reply.State)
	t.updateQuorum(now)
	t.recordReply(p, reply, sent.at+t.settings.ConfirmTime)
	t.updateReady(now)
	t.updateFresh()
	t.updateQuorum(now)
	t.reportConfirmed(now)
	return t.takePending()
}

// recordReply stores the state that a peer reported. What it reported of the list is valid
// until the given time.
func (t *Table) recordReply(p *Peer, reply bbmsg.ProbeReply, until time.Duration) {
	p.answeredRevision = reply.State.ListRevision
	p.ready = reply.Ready
	p.fresh = reply.Fresh
	p.asking = reply.Asking
	t.recordUnready(reply.From, reply.Ready || reply.Asking)
	if p.answeredRevision != t.seen {
		return
	}
	p.listUntil = max(p.listUntil, until)
	if p.ready {
		p.confirmedUntil = max(p.confirmedUntil, until)
	}
}

// takeSentProbe removes and returns the sent probe with a sequence number.
func (p *Peer) takeSentProbe(sequence uint64) (sentProbe, bool) {
	for i, s := range p.sent {
		if s.sequence == sequence && sequence != 0 {
			p.sent[i] = sentProbe{}
			return s, true
		}
	}
	return sentProbe{}, false
}

func (t *Table) recordContact(now time.Duration, p *Peer, incarnation uint64, k bbmsg.NodeState) {
	p.Heard = true
	p.LastHeard = now
	p.Incarnation = incarnation
	p.State = k
	p.awaitingReply = false
	if !p.Alive {
		p.Alive = true
		t.event(bbevent.PeerBack, p.Member.Name, "")
	}
}

// detectLostPeers marks peers as lost that have left probes unanswered for PeerTimeout.
func (t *Table) detectLostPeers(now time.Duration) {
	for _, name := range t.peerNames {
		p := t.Peers[name]
		if !p.Alive || !p.awaitingReply || now < t.lostAt(p) {
			continue
		}
		p.Alive = false
		t.event(bbevent.PeerLost, name, "")
	}
}

// lostAt returns when a peer counts as lost unless a probe or reply of it arrives before.
func (t *Table) lostAt(p *Peer) time.Duration {
	return max(p.LastHeard, p.firstUnanswered) + t.settings.PeerTimeout
}
