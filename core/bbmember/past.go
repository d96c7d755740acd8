package bbmember

import (
	"maps"
	"time"

	"bluebellhall/core/bbgroup"
	"bluebellhall/core/bbmsg"
)

// maxPast bounds the earlier sets of entry VMs that are remembered.
const maxHistory = 32

// past remembers the sets of entry VMs that may have been in force of late.
type listHistory struct {
	// lists has the former sets, oldest first, at most maxPast.
	lists []historyEntry
	// knownFrom is when the knowledge begins: sets that were in force before it, or
	// that this process never held, are not in lists.
	knownFrom time.Duration
}

// pastList is a set of entry VMs that was held.
type historyEntry struct {
	layout *bbgroup.Layout
	// until is when it was last in force anywhere, unset while open.
	until time.Duration
	// open is true until a majority has confirmed a later list: before that others may
	// still act by this one.
	open bool
}

// notePast is called before a list replaces the current one. After a list that was
// never seen, whose revision was skipped, nothing is known of the time before.
func (t *Table) recordHistory(now time.Duration, list bbmsg.MemberList) {
	p := &t.history
	if t.current == nil || list.Revision != t.list.Revision+1 {
		p.lists = nil
		p.knownFrom = maxTime
		return
	}
	p.evictBefore(now - t.settings.HistoryRetention)
	held := bbgroup.New(entriesOnly(t.list))
	if maps.Equal(held.Entries, bbgroup.New(entriesOnly(list)).Entries) {
		return
	}
	p.lists = append(p.lists, historyEntry{
		layout: held,
		open:   true,
	})
	if len(p.lists) <= maxHistory {
		return
	}
	if oldest := p.lists[0]; !oldest.open {
		p.knownFrom = max(p.knownFrom, oldest.until)
	} else {
		p.knownFrom = maxTime
	}
	p.lists = p.lists[1:]
}

// closePast is called when a majority begins to confirm the list held.
func (t *Table) closeHistory(now time.Duration) {
	p := &t.history
	if p.knownFrom == maxTime {
		p.knownFrom = now
	}
	for i := range p.lists {
		if p.lists[i].open {
			p.lists[i].open = false
			p.lists[i].until = now
		}
	}
}

// drop forgets the sets that were no longer in force at a time.
func (p *listHistory) evictBefore(before time.Duration) {
	for len(p.lists) > 0 && !p.lists[0].open && p.lists[0].until < before {
		p.lists = p.lists[1:]
	}
}

// OwnedSince tells whether this node is the owner of a name by the list held and by
// every list that can have been in force anywhere since a time. It is false when this
// process can't know all of them. The name must not be that of a listed endpoint, and
// domain is as for Owner.
func (t *Table) OwnedSince(since time.Duration, name, domain string) bool {
	if t.history.knownFrom > since || t.Owner(name, domain) != t.settings.Self.Name {
		return false
	}
	for i := range t.history.lists {
		p := &t.history.lists[i]
		if !p.open && p.until < since {
			continue
		}
		if owner, _ := p.layout.Owner(name, domain); owner != t.settings.Self.Name {
			return false
		}
	}
	return true
}

// entriesOnly returns a list with its entry VMs alone.
func entriesOnly(list bbmsg.MemberList) bbmsg.MemberList {
	entries := bbmsg.MemberList{
		Revision: list.Revision,
	}
	for _, m := range list.Members {
		if m.Role == bbmsg.RoleEntry {
			entries.Members = append(entries.Members, m)
		}
	}
	return entries
}
