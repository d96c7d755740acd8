package bbmember

import (
	"slices"
	"time"

	"bluebellhall/core/bbmsg"
)

// formerGroup is a group of an older list. Its members are asked whether they have the
// newest list, since an owner of then could still act with a majority of them.
type formerGroup struct {
	// members is sorted by name.
	members []bbmsg.Member
	// until is when members that the newest list does not name count as stopped.
	until time.Duration
}

// rememberGroup keeps the group of a layout that is about to be replaced. A group with
// the same members is kept once. When there are too many the oldest is forgotten, and
// cold endpoints wait until its members would count as stopped.
func (t *Table) rememberGroup(until time.Duration) {
	names := t.Group()
	if names == nil {
		return
	}
	f := formerGroup{until: until}
	for _, name := range names {
		f.members = append(f.members, t.current.Entries[name].Member)
	}
	t.formerGroups = slices.DeleteFunc(t.formerGroups, func(g formerGroup) bool {
		return slices.EqualFunc(g.members, f.members, sameName)
	})
	t.formerGroups = append(t.formerGroups, f)
	if len(t.formerGroups) > maxFormer {
		t.holdUntil = max(t.holdUntil, t.formerGroups[0].until)
		t.formerGroups = t.formerGroups[1:]
	}
}

func sameName(a, b bbmsg.Member) bool { return a.Name == b.Name }

// dropGroups forgets former groups of which no majority can be left, and returns
// whether there were any.
func (t *Table) evictFormerGroups(now time.Duration) bool {
	before := len(t.formerGroups)
	t.formerGroups = slices.DeleteFunc(t.formerGroups, func(f formerGroup) bool {
		return now >= f.until && t.requiredMembers(now, f) == 0
	})
	return len(t.formerGroups) < before
}

// required returns how many members of a former group must have the newest list, so
// that the others are no majority of it.
func (t *Table) requiredMembers(now time.Duration, f formerGroup) int {
	alive := 0
	for _, m := range f.members {
		_, listed := t.current.Entries[m.Name]
		if listed || now < f.until {
			alive++
		}
	}
	return max(alive-len(f.members)/2, 0)
}

// meets returns true when each majority of a former group has a member in common with
// each majority of the present one, so that the former one need not be asked.
func quorumsIntersect(f formerGroup, group []string) bool {
	common := 0
	for _, m := range f.members {
		if slices.Contains(group, m.Name) {
			common++
		}
	}
	all := len(f.members) + len(group) - common
	return len(f.members)/2+len(group)/2+2 > all
}

// formerUntil returns how long enough members of each former group are known to have
// the newest list. Each node looks at that before it confirms others, since a new entry
// VM remembers no former group: see docs/notes/confirmation.md.
func (t *Table) formerGroupsExpiry(now time.Duration) time.Duration {
	until := maxTime
	group := t.Group()
	for _, f := range t.formerGroups {
		if quorumsIntersect(f, group) {
			continue
		}
		until = min(until, t.expiryForCount(f.memberNames(), t.requiredMembers(now, f), listUntil))
	}
	return until
}

func (f formerGroup) memberNames() []string {
	names := make([]string, 0, len(f.members))
	for _, m := range f.members {
		names = append(names, m.Name)
	}
	return names
}

// listUntil and confirmedUntil return until when a peer is known to have the newest
// list, and until when it confirms it.
func listUntil(p *Peer) time.Duration      { return p.listUntil }
func confirmedUntil(p *Peer) time.Duration { return p.confirmedUntil }
