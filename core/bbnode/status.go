package bbnode

import (
	"time"

	"bluebellhall/core/bbmsg"
)

// Status tells operators about the node.
func (n *Node) Status(now time.Duration) bbmsg.Status {
	s := bbmsg.Status{
		Node:         n.Settings.Self.Name,
		Incarnation:  n.Settings.Incarnation,
		Domain:       n.Settings.Self.Domain,
		Region:       n.Settings.Self.Region,
		Ready:        n.ready,
		Draining:     n.drain.Started(),
		Confirmed:    n.Members.Confirmed(now),
		UptimeMillis: now.Milliseconds(),
		Rules:        n.Config.Status(),
		ListRevision: n.Members.Revision(),
		ListSeen:     n.Members.Seen(),
		Platform: bbmsg.PlatformStatus{
			Up:          n.platform.up,
			SinceMillis: (now - n.platform.since).Milliseconds(),
		},
		Endpoints: n.Owner.Digests(now),
	}
	n.fillDomains(&s)
	n.fillHeldBack(&s)
	n.fillPeers(&s, now)
	n.fillCounts(&s)
	return s
}

// fillDomains lists the failure domains that are out.
func (n *Node) fillDomains(s *bbmsg.Status) {
	if n.Index == nil {
		return
	}
	for _, d := range n.Index.Set.Domains {
		if d.Out {
			s.DomainsOut = append(s.DomainsOut, d.Name)
		}
	}
}

// fillHeldBack lists the owned endpoints that get less than the rules allow.
func (n *Node) fillHeldBack(s *bbmsg.Status) {
	for _, d := range s.Endpoints {
		reason := heldBackReason(s.Confirmed, d)
		if reason == bbmsg.ReasonNone {
			continue
		}
		s.HeldBack = append(s.HeldBack, bbmsg.HeldBack{
			Endpoint: d.Name,
			Reason:   reason,
		})
	}
}

// heldBackReason tells why an endpoint gets less than the rules allow.
func heldBackReason(confirmed bool, d bbmsg.EndpointDigest) bbmsg.Reason {
	switch {
	case d.State == bbmsg.StateOut:
		return bbmsg.ReasonDomainOut
	case d.State == bbmsg.StateLeaving:
		return bbmsg.ReasonDraining
	case d.State == bbmsg.StateWarm || d.State == bbmsg.StateWarming:
		return bbmsg.ReasonNone
	case !confirmed:
		return bbmsg.ReasonUnconfirmed
	default:
		return bbmsg.ReasonColdWait
	}
}

// fillPeers lists the other nodes.
func (n *Node) fillPeers(s *bbmsg.Status, now time.Duration) {
	for _, name := range n.Members.PeerNames() {
		p := n.Members.Peers[name]
		row := bbmsg.PeerStatus{
			Name:          name,
			Incarnation:   p.Incarnation,
			Alive:         p.Heard && p.Alive,
			HeardMillis:   -1,
			RulesRevision: p.Knowledge.RulesRevision,
			ListRevision:  p.Knowledge.ListRevision,
			Draining:      p.Knowledge.Draining,
		}
		if p.Heard {
			row.HeardMillis = (now - p.LastHeard).Milliseconds()
		}
		s.Peers = append(s.Peers, row)
	}
}

// fillCounts counts the entries of the tables.
func (n *Node) fillCounts(s *bbmsg.Status) {
	s.Counts.Requests = n.Home.Running()
	s.Counts.Records = len(n.Home.Records)
	for _, d := range s.Endpoints {
		s.Counts.Attempts += d.InFlight
		s.Counts.Queued += d.Queued
	}
}
