package bbmember

import (
	"slices"
	"time"

	"bluebellhall/core/bbmsg"
)

// formerGroup is this node's group under an older list. Its members are asked whether they
// have the newest list: an owner under the older list can act while a majority of the group
// still holds that list.
type formerGroup struct {
	// members is sorted by name.
	members []bbmsg.Member
	// until is when members that the newest list no longer names count as stopped.
	until time.Duration
}

// rememberGroup records the group of a layout that is about to be replaced. A group with the
// same members is recorded only once. Beyond maxFormer groups the oldest is dropped, and cold
// endpoints are held back until its members would count as stopped.
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

// evictFormerGroups drops former groups of which no majority can still be running, and
// returns whether it dropped any.
func (t *Table) evictFormerGroups(now time.Duration) bool {
	before := len(t.formerGroups)
	t.formerGroups = slices.DeleteFunc(t.formerGroups, func(f formerGroup) bool {
		return now >= f.until && t.requiredMembers(now, f) == 0
	})
	return len(t.formerGroups) < before
}

// requiredMembers returns how many members of a former group must have the newest list so
// that the remaining members are no majority of it.
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

// quorumsIntersect returns true when every majority of a former group shares a member with
// every majority of the current group, so that the former group need not be asked.
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

// formerGroupsExpiry returns until when enough members of each former group are known to
// have the newest list. A node checks this before it confirms the list to others, since a
// new entry VM knows of no former groups: see docs/notes/confirmation.md.
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

// listUntil returns until when a peer is known to have the newest list.
func listUntil(p *Peer) time.Duration { return p.listUntil }

// confirmedUntil returns until when a peer confirms the newest list.
func confirmedUntil(p *Peer) time.Duration { return p.confirmedUntil }
