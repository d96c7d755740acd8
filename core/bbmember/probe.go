package bbmember

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgroup"
	"bluebellhall/core/bbmsg"
)

// Tick returns due probes and queued events.
func (t *Table) Tick(now time.Duration) []bbmsg.Output {
	t.notePause(now)
	t.dropFormers(now)
	t.updateReady(now)
	t.updateCover(now)
	t.tellConfirmed(now)
	if now < t.lookAt {
		return t.takePending()
	}
	t.tellPeers(now)
	outputs := t.probeDue(now, t.takePending())
	t.lookAt = t.nextLook()
	return outputs
}

// takePending returns the queued events.
func (t *Table) takePending() []bbmsg.Output {
	outputs := t.pending
	t.pending = nil
	return outputs
}

// NextWake returns when the next Tick is due.
func (t *Table) NextWake(now time.Duration) time.Duration {
	wake := min(now+t.settings.PauseGap/2, t.lookAt)
	if t.covered && !t.told {
		wake = min(wake, max(t.coveredSince+t.settings.SettleTime+1, now+1))
	}
	return max(wake, now)
}

// nextLook returns when a probe is due or a peer may be lost.
func (t *Table) nextLook() time.Duration {
	look := maxTime
	if len(t.near) < len(t.order) {
		look = t.nextOutside
	}
	for _, p := range t.near {
		look = min(look, p.nextProbe)
		if p.Alive && p.waiting {
			look = min(look, t.lostAt(p))
		}
	}
	return look
}

// probedOften returns true for peers that get a probe each interval: the group, and
// everybody in a fleet that is no larger than a group.
func (t *Table) probedOften(p *Peer) bool {
	return p.InGroup || len(t.Peers) < bbgroup.MaxMembers
}

func (t *Table) probeDue(now time.Duration, outputs []bbmsg.Output) []bbmsg.Output {
	var own bbmsg.Knowledge
	if t.settings.Knowledge != nil {
		own = t.settings.Knowledge()
	}
	own = t.knowledge(own)
	for _, p := range t.near {
		if now >= p.nextProbe {
			outputs = append(outputs, t.probe(now, p, own))
		}
	}
	if len(t.near) == len(t.order) || now < t.nextOutside {
		return outputs
	}
	t.nextOutside = now + t.settings.ProbeInterval
	return append(outputs, t.probe(now, t.nextSeldom(), own))
}

// nextSeldom returns the next peer of the rotation outside the group.
func (t *Table) nextSeldom() *Peer {
	for {
		t.outside = (t.outside + 1) % len(t.order)
		p := t.Peers[t.order[t.outside]]
		if !t.probedOften(p) {
			return p
		}
	}
}

func (t *Table) probe(now time.Duration, p *Peer, own bbmsg.Knowledge) bbmsg.Output {
	t.sequence++
	p.nextProbe = now + t.settings.ProbeInterval
	copy(p.sent[1:], p.sent[:sentProbes-1])
	p.sent[0] = sentProbe{sequence: t.sequence, at: now}
	if !p.waiting {
		p.waiting = true
		p.firstUnanswered = now
	}
	return bbmsg.Output{Probe: &bbmsg.ProbeOut{
		To: p.Member.Name,
		Probe: bbmsg.Probe{
			From:        t.settings.Self.Name,
			Incarnation: t.settings.Incarnation,
			Sequence:    t.sequence,
			Ready:       t.ready,
			Knowledge:   own,
		},
	}}
}

// HandleProbe takes in what a probe tells and returns the reply. own is this node's
// state; its list revision is filled in. A peer that gets probes each interval has the
// digests of the endpoints from these, so that its reply leaves them out.
func (t *Table) HandleProbe(now time.Duration, probe bbmsg.Probe, own bbmsg.Knowledge) bbmsg.ProbeReply {
	t.notePause(now)
	t.Observe(probe.Knowledge.ListRevision)
	t.noteUnready(probe.From, probe.Ready)
	p := t.Peers[probe.From]
	t.elder = t.elder || p == nil && probe.Ready
	if p != nil {
		t.hear(now, p, probe.Incarnation, probe.Knowledge)
		if t.probedOften(p) {
			own.Endpoints = nil
		}
	}
	asking := t.asking(now)
	return bbmsg.ProbeReply{
		From:        t.settings.Self.Name,
		Incarnation: t.settings.Incarnation,
		Sequence:    probe.Sequence,
		Ready:       t.ready && !asking,
		Fresh:       t.Fresh(),
		Asking:      asking,
		Knowledge:   t.knowledge(own),
	}
}

// asking returns true while this node can't count on its former groups having the newest
// list. While it lacks that list itself, the group of the one it holds is such a group.
func (t *Table) asking(now time.Duration) bool {
	if t.current == nil {
		return false
	}
	until := t.formerUntil(now)
	if t.seen != t.list.Revision {
		group := t.Group()
		until = min(until, t.reach(group, len(group)-len(group)/2, listUntil))
	}
	return now >= until
}

// HandleReply takes in the answer to a probe. Answers that match no probe are dropped.
func (t *Table) HandleReply(now time.Duration, reply bbmsg.ProbeReply) []bbmsg.Output {
	t.notePause(now)
	t.Observe(reply.Knowledge.ListRevision)
	p := t.Peers[reply.From]
	if p == nil {
		return nil
	}
	sent, ok := p.take(reply.Sequence)
	if !ok {
		return nil
	}
	if reply.Knowledge.Endpoints == nil {
		reply.Knowledge.Endpoints = p.Knowledge.Endpoints
	}
	t.hear(now, p, reply.Incarnation, reply.Knowledge)
	t.updateCover(now)
	t.takeReply(p, reply, sent.at+t.settings.ConfirmTime)
	t.updateReady(now)
	t.updateFresh()
	t.updateCover(now)
	t.tellConfirmed(now)
	return t.takePending()
}

// takeReply notes what a peer says of itself. Its word counts until the time given.
func (t *Table) takeReply(p *Peer, reply bbmsg.ProbeReply, until time.Duration) {
	p.answered = reply.Knowledge.ListRevision
	p.ready = reply.Ready
	p.fresh = reply.Fresh
	p.asking = reply.Asking
	t.noteUnready(reply.From, reply.Ready || reply.Asking)
	if p.answered != t.seen {
		return
	}
	p.listUntil = max(p.listUntil, until)
	if p.ready {
		p.confirmedUntil = max(p.confirmedUntil, until)
	}
}

// take returns the probe with a sequence number and forgets it.
func (p *Peer) take(sequence uint64) (sentProbe, bool) {
	for i, s := range p.sent {
		if s.sequence == sequence && sequence != 0 {
			p.sent[i] = sentProbe{}
			return s, true
		}
	}
	return sentProbe{}, false
}

func (t *Table) hear(now time.Duration, p *Peer, incarnation uint64, k bbmsg.Knowledge) {
	p.Heard = true
	p.LastHeard = now
	p.Incarnation = incarnation
	p.Knowledge = k
	p.waiting = false
	if !p.Alive {
		p.Alive = true
		t.event(bbevent.PeerBack, p.Member.Name, "")
	}
}

// tellPeers finds peers that have been silent for the peer timeout.
func (t *Table) tellPeers(now time.Duration) {
	for _, name := range t.order {
		p := t.Peers[name]
		if !p.Alive || !p.waiting || now < t.lostAt(p) {
			continue
		}
		p.Alive = false
		t.event(bbevent.PeerLost, name, "")
	}
}

// lostAt returns when a peer counts as lost unless it is heard.
func (t *Table) lostAt(p *Peer) time.Duration {
	return max(p.LastHeard, p.firstUnanswered) + t.settings.PeerTimeout
}
