package bbconfig

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// maxMembers is the maximum number of members in a list.
const maxMembers = 8192

// OfferList offers a member list from the platform or a peer, and returns true if it is newer and valid and
// was adopted. List returns it, sorted, from then on. Events are returned by the next Tick.
func (c *Config) OfferList(source string, offer bbmsg.MemberList) bool {
	c.recordListOffer(source, offer.Revision)
	if offer.Revision < c.list.Revision {
		return false
	}
	list := bbmsg.MemberList{
		Revision: offer.Revision,
		Members:  slices.Clone(offer.Members),
	}
	slices.SortFunc(list.Members, func(a, b bbmsg.Member) int {
		return cmp.Compare(a.Name, b.Name)
	})
	if offer.Revision == c.list.Revision {
		if !slices.Equal(list.Members, c.list.Members) {
			c.reportList(bbevent.ListConflict, source, offer.Revision, fmt.Sprintf("revision %d has two different contents; the first is kept", offer.Revision))
		}
		return false
	}
	if problem := listProblem(list); problem != "" {
		c.reportList(bbevent.ListRefused, source, offer.Revision, fmt.Sprintf("revision %d: %s", offer.Revision, problem))
		return false
	}
	c.list = list
	return true
}

// recordListOffer records the highest revision that a source has offered.
func (c *Config) recordListOffer(source string, revision int64) {
	if source == SourcePlatform {
		c.platformList = max(c.platformList, revision)
		return
	}
	if p := c.peers[source]; p != nil {
		p.list = max(p.list, revision)
		p.hasReported = true
	}
}

// listProblem describes the first error in a sorted list; empty if it is valid.
func listProblem(list bbmsg.MemberList) string {
	if len(list.Members) > maxMembers {
		return fmt.Sprintf("%d members, the maximum is %d", len(list.Members), maxMembers)
	}
	for i, m := range list.Members {
		if m.Name == "" || i > 0 && m.Name == list.Members[i-1].Name {
			return fmt.Sprintf("member name %q is empty or duplicate", m.Name)
		}
		if problem := memberProblem(m); problem != "" {
			return fmt.Sprintf("member %q: %s", m.Name, problem)
		}
	}
	return ""
}

// memberProblem describes the first error in a member; empty if it is valid.
func memberProblem(m bbmsg.Member) string {
	if m.Role != bbmsg.RoleEntry && m.Role != bbmsg.RoleEndpoint {
		return fmt.Sprintf("unknown role %q", m.Role)
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return fmt.Sprintf("address %q is not IP:port", m.Address)
	}
	if _, err := netip.ParseAddrPort(m.PeerAddress); err != nil && m.Role == bbmsg.RoleEntry {
		return fmt.Sprintf("peer address %q is not IP:port", m.PeerAddress)
	}
	return ""
}

// reportList queues an event unless it repeats the latest one.
func (c *Config) reportList(number bbevent.Number, source string, revision int64, detail string) {
	r := report{
		version: version{revision: revision},
		source:  source,
	}
	if r == c.reportedList {
		return
	}
	c.reportedList = r
	c.event(number, source, detail)
}
