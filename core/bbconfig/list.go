package bbconfig

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// maxMembers is the longest member list.
const maxMembers = 8192

// OfferList takes in a member list from the platform or a peer and returns true when
// it is newer and valid; List returns it from then on, sorted. Events follow with
// the next Tick.
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
			c.reportList(bbevent.ListConflict, source, offer.Revision, fmt.Sprintf("revision %d has two contents; the first is kept", offer.Revision))
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

// noteList keeps the highest revisions offered.
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

// listProblem returns what is wrong with a sorted list, empty if nothing is.
func listProblem(list bbmsg.MemberList) string {
	if len(list.Members) > maxMembers {
		return fmt.Sprintf("%d members, more than %d", len(list.Members), maxMembers)
	}
	for i, m := range list.Members {
		if m.Name == "" || i > 0 && m.Name == list.Members[i-1].Name {
			return fmt.Sprintf("member name %q is empty or stands twice", m.Name)
		}
		if problem := memberProblem(m); problem != "" {
			return fmt.Sprintf("member %q: %s", m.Name, problem)
		}
	}
	return ""
}

// memberProblem returns what is wrong with a member, empty if nothing is.
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

// reportList queues an event unless it repeats the latest report.
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
