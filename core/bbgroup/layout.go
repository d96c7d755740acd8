// Package bbgroup divides the entry VMs of a member list into groups and determines the owner
// of each endpoint. Both are pure functions of the list, so nodes that hold the same
// revision agree.
package bbgroup

import (
	"cmp"
	"math/bits"
	"slices"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
)

const (
	// MaxMembers bounds the size of a group.
	MaxMembers = 9
	// meanMembers is the target mean group size in a region with several groups.
	meanMembers = 6
)

// Group is a set of entry VMs of one region that confirm each other's list.
type Group struct {
	// Region is the region of all members.
	Region string
	// Bucket numbers the groups of a region, from 0.
	Bucket int
	// Members is sorted by name and includes leaving VMs, which can still confirm.
	Members []string
}

// Entry is an entry VM with the hash of its name.
type Entry struct {
	Member bbmsg.Member
	// hash is the hash of the name, for rendezvous hashing.
	hash uint64
}

// RankedGroup is a group with the data for the choice of an owner.
type RankedGroup struct {
	Group
	// hash is the hash of region and bucket.
	hash uint64
	// active holds the members that are not leaving, sorted by name.
	active []Entry
}

// Layout holds the groups and owners that follow from one member list. It is immutable.
type Layout struct {
	// Revision is that of the list.
	Revision int64
	// Entries holds all entry VMs by name.
	Entries map[string]Entry
	// Groups is sorted by region and bucket; no group is empty.
	Groups []RankedGroup
	// GroupOf maps the name of an entry VM to its index in Groups.
	GroupOf map[string]int
	// regionOf maps a failure domain to its region, and domainOf an endpoint to its
	// failure domain.
	regionOf map[string]string
	domainOf map[string]string
}

// New returns the layout of a list.
func New(list bbmsg.MemberList) *Layout {
	l := &Layout{
		Revision: list.Revision,
		Entries:  map[string]Entry{},
		GroupOf:  map[string]int{},
		regionOf: map[string]string{},
		domainOf: map[string]string{},
	}
	regions := map[string][]Entry{}
	for _, m := range list.Members {
		l.regionOf[m.Domain] = m.Region
		if m.Role != bbmsg.RoleEntry {
			l.domainOf[m.Name] = m.Domain
			continue
		}
		e := Entry{Member: m, hash: bbhash.Name(m.Name)}
		l.Entries[m.Name] = e
		regions[m.Region] = append(regions[m.Region], e)
	}
	names := make([]string, 0, len(regions))
	for name := range regions {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		l.addRegion(name, regions[name])
	}
	return l
}

// addRegion splits the entry VMs of a region into groups. A VM joins the bucket with the
// highest score for it that is not full, so that a change of one VM moves few others.
func (l *Layout) addRegion(region string, entries []Entry) {
	buckets := bucketCount(len(entries))
	capacity := (len(entries)+buckets-1)/buckets + 2
	capacity = min(capacity, MaxMembers)
	rows := make([]RankedGroup, buckets)
	for i := range rows {
		rows[i].Region = region
		rows[i].Bucket = i
		rows[i].hash = bbhash.Score(bbhash.Name(region), uint64(i))
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Member.Name, b.Member.Name))
	})
	for _, e := range entries {
		best := bestBucket(rows, e, capacity)
		rows[best].Members = append(rows[best].Members, e.Member.Name)
		if !e.Member.Leaving {
			rows[best].active = append(rows[best].active, e)
		}
	}
	for _, r := range rows {
		if len(r.Members) == 0 {
			continue
		}
		slices.Sort(r.Members)
		slices.SortFunc(r.active, func(a, b Entry) int {
			return cmp.Compare(a.Member.Name, b.Member.Name)
		})
		for _, name := range r.Members {
			l.GroupOf[name] = len(l.Groups)
		}
		l.Groups = append(l.Groups, r)
	}
}

// bucketCount returns the number of groups for a region with the given number of VMs. It is a
// power of two, so that it rarely changes as a region grows.
func bucketCount(members int) int {
	if members <= MaxMembers {
		return 1
	}
	wanted := (members + meanMembers - 1) / meanMembers
	return 1 << bits.Len(uint(wanted-1))
}

func bestBucket(rows []RankedGroup, e Entry, capacity int) int {
	best := -1
	var score uint64
	for i := range rows {
		if len(rows[i].Members) >= capacity {
			continue
		}
		s := bbhash.Score(rows[i].hash, e.hash)
		if best < 0 || s > score {
			best = i
			score = s
		}
	}
	return best
}

// groupFor returns the index of the group that is responsible for an endpoint, or -1
// when the list has no active entry VM. It prefers groups with an active member in the
// endpoint's failure domain, then groups of its region.
func (l *Layout) groupFor(endpoint uint64, domain string) int {
	region, known := l.regionOf[domain]
	best := -1
	bestRank := 0
	var bestScore uint64
	for i := range l.Groups {
		g := &l.Groups[i]
		if len(g.active) == 0 {
			continue
		}
		rank := 1
		if known && g.Region == region {
			rank = 2
			if hasDomain(g.active, domain) {
				rank = 3
			}
		}
		score := bbhash.Score(g.hash, endpoint)
		if rank > bestRank || rank == bestRank && score > bestScore {
			best = i
			bestRank = rank
			bestScore = score
		}
	}
	return best
}

func hasDomain(entries []Entry, domain string) bool {
	for i := range entries {
		if entries[i].Member.Domain == domain {
			return true
		}
	}
	return false
}

// Owner returns the owner of an endpoint and the index of its group, or "" and -1. A failure
// domain in the list takes precedence over the given one, so that nodes with the same list but
// different rules agree.
func (l *Layout) Owner(endpoint, domain string) (string, int) {
	if listed, ok := l.domainOf[endpoint]; ok {
		domain = listed
	}
	hash := bbhash.Name(endpoint)
	group := l.groupFor(hash, domain)
	if group < 0 {
		return "", -1
	}
	active := l.Groups[group].active
	local := hasDomain(active, domain)
	best := ""
	var bestScore uint64
	for i := range active {
		if local && active[i].Member.Domain != domain {
			continue
		}
		score := bbhash.Score(active[i].hash, hash)
		if best == "" || score > bestScore {
			best = active[i].Member.Name
			bestScore = score
		}
	}
	return best, group
}

// GroupNames returns the members of the group that a node belongs to, or nil.
func (l *Layout) GroupNames(name string) []string {
	i, ok := l.GroupOf[name]
	if !ok {
		return nil
	}
	return l.Groups[i].Members
}

// OnlyGroup returns the group of a region that has exactly one, else nil. A node that has
// started and is not listed yet belongs to that group.
func (l *Layout) OnlyGroup(region string) []string {
	var names []string
	for _, g := range l.Groups {
		if g.Region != region {
			continue
		}
		if names != nil {
			return nil
		}
		names = g.Members
	}
	return names
}
