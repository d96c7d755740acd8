package bbmember

import (
	"cmp"
	"math/bits"
	"slices"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
)

const (
	// maxGroupMembers bounds the group of an entry VM, itself included.
	maxGroupMembers = 9
	// meanGroupMembers is the mean size aimed at when a region has several groups.
	meanGroupMembers = 6
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

// entry is an entry VM as the layout sees it.
type entry struct {
	member bbmsg.Member
	// hash is the hash of the name, for rendezvous hashing.
	hash uint64
}

// groupRow is a group with what the choice of an owner needs.
type groupRow struct {
	Group
	// hash is the hash of region and bucket.
	hash uint64
	// active holds the members that are not leaving, sorted by name.
	active []entry
}

// layout is what one member list says of groups and owners. It is a pure function
// of the list, so nodes that hold the same revision agree.
type layout struct {
	revision int64
	// entries holds all entry VMs by name.
	entries map[string]entry
	// names is sorted and has the names in entries.
	names []string
	// groups is sorted by region and bucket; no group is empty.
	groups []groupRow
	// groupOf maps the name of an entry VM to its index in groups.
	groupOf map[string]int
	// regionOf maps a failure domain to its region, and domainOf an endpoint to its
	// failure domain.
	regionOf map[string]string
	domainOf map[string]string
}

func newLayout(list bbmsg.MemberList) *layout {
	l := &layout{
		revision: list.Revision,
		entries:  map[string]entry{},
		groupOf:  map[string]int{},
		regionOf: map[string]string{},
		domainOf: map[string]string{},
	}
	regions := map[string][]entry{}
	for _, m := range list.Members {
		l.regionOf[m.Domain] = m.Region
		if m.Role != bbmsg.RoleEntry {
			l.domainOf[m.Name] = m.Domain
			continue
		}
		e := entry{member: m, hash: bbhash.Name(m.Name)}
		l.entries[m.Name] = e
		l.names = append(l.names, m.Name)
		regions[m.Region] = append(regions[m.Region], e)
	}
	slices.Sort(l.names)
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

// addRegion splits the entry VMs of a region into groups. A VM takes the bucket that
// ranks highest for it and has room, so that a change of one VM moves few others.
func (l *layout) addRegion(region string, entries []entry) {
	buckets := bucketCount(len(entries))
	room := (len(entries)+buckets-1)/buckets + 2
	room = min(room, maxGroupMembers)
	rows := make([]groupRow, buckets)
	for i := range rows {
		rows[i].Region = region
		rows[i].Bucket = i
		rows[i].hash = bbhash.Score(bbhash.Name(region), uint64(i))
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.Name, b.member.Name))
	})
	for _, e := range entries {
		best := bestBucket(rows, e, room)
		rows[best].Members = append(rows[best].Members, e.member.Name)
		if !e.member.Leaving {
			rows[best].active = append(rows[best].active, e)
		}
	}
	for _, r := range rows {
		if len(r.Members) == 0 {
			continue
		}
		slices.Sort(r.Members)
		slices.SortFunc(r.active, func(a, b entry) int {
			return cmp.Compare(a.member.Name, b.member.Name)
		})
		for _, name := range r.Members {
			l.groupOf[name] = len(l.groups)
		}
		l.groups = append(l.groups, r)
	}
}

// bucketCount returns the number of groups for a region of the given size. It is a
// power of two, so that it changes seldom as a region grows.
func bucketCount(members int) int {
	if members <= maxGroupMembers {
		return 1
	}
	wanted := (members + meanGroupMembers - 1) / meanGroupMembers
	return 1 << bits.Len(uint(wanted-1))
}

func bestBucket(rows []groupRow, e entry, room int) int {
	best := -1
	var score uint64
	for i := range rows {
		if len(rows[i].Members) >= room {
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
func (l *layout) groupFor(endpoint uint64, domain string) int {
	region, known := l.regionOf[domain]
	best := -1
	bestRank := 0
	var bestScore uint64
	for i := range l.groups {
		g := &l.groups[i]
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

func hasDomain(entries []entry, domain string) bool {
	for i := range entries {
		if entries[i].member.Domain == domain {
			return true
		}
	}
	return false
}

// owner returns the owner of an endpoint and the index of its group, or "" and -1. The
// domain that the list names goes before the one given: nodes with one list and
// different rules must agree.
func (l *layout) owner(endpoint, domain string) (string, int) {
	if listed, ok := l.domainOf[endpoint]; ok {
		domain = listed
	}
	hash := bbhash.Name(endpoint)
	group := l.groupFor(hash, domain)
	if group < 0 {
		return "", -1
	}
	active := l.groups[group].active
	local := hasDomain(active, domain)
	best := ""
	var bestScore uint64
	for i := range active {
		if local && active[i].member.Domain != domain {
			continue
		}
		score := bbhash.Score(active[i].hash, hash)
		if best == "" || score > bestScore {
			best = active[i].member.Name
			bestScore = score
		}
	}
	return best, group
}
