// Package bbstatus completes the status report of a node for operators with the fields that are
// read from its tables.
package bbstatus

import (
	"time"

	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmember"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbowner"
	"bluebellhall/core/bbrule"
)

// Sources are the tables of the node, which are only read.
type Sources struct {
	Members *bbmember.Table
	Home    *bbhome.Table
	Owner   *bbowner.Table
	// Index holds the rules in force, nil before the first.
	Index *bbrule.Index
}

// Fill sets the fields of a status that are read from the tables; the caller sets the others.
func Fill(s *bbmsg.Status, now time.Duration, from Sources) {
	s.Confirmed = from.Members.Confirmed(now)
	s.ListRevision = from.Members.Revision()
	s.ListSeen = from.Members.Seen()
	s.Endpoints = from.Owner.Digests(now)
	fillDomains(from.Index, s)
	fillHeldBack(s)
	fillPeers(s, now, from.Members)
	fillCounts(s, from.Home)
}

// fillDomains lists the failure domains that operators have taken out of service.
func fillDomains(index *bbrule.Index, s *bbmsg.Status) {
	if index == nil {
		return
	}
	for _, d := range index.Set.Domains {
		if d.Out {
			s.DomainsOut = append(s.DomainsOut, d.Name)
		}
	}
}

// fillHeldBack lists the owned endpoints that get less traffic than the rules allow.
func fillHeldBack(s *bbmsg.Status) {
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

// heldBackReason returns why an endpoint gets less traffic than the rules allow.
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
func fillPeers(s *bbmsg.Status, now time.Duration, members *bbmember.Table) {
	for _, name := range members.PeerNames() {
		p := members.Peers[name]
		row := bbmsg.PeerStatus{
			Name:          name,
			Incarnation:   p.Incarnation,
			Alive:         p.Heard && p.Alive,
			HeardMillis:   -1,
			RulesRevision: p.State.RulesRevision,
			ListRevision:  p.State.ListRevision,
			Draining:      p.State.Draining,
		}
		if p.Heard {
			row.HeardMillis = (now - p.LastHeard).Milliseconds()
		}
		s.Peers = append(s.Peers, row)
	}
}

// fillCounts counts the entries of the tables.
func fillCounts(s *bbmsg.Status, home *bbhome.Table) {
	s.Counts.Requests = home.Running()
	s.Counts.Records = len(home.Records)
	for _, d := range s.Endpoints {
		s.Counts.Attempts += d.InFlight
		s.Counts.Queued += d.Queued
	}
}
