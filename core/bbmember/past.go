package bbmember

import (
	"maps"
	"time"

	"bluebellhall/core/bbgroup"
	"bluebellhall/core/bbmsg"
)

// maxHistory bounds the number of earlier sets of entry VMs in the history.
const maxHistory = 32

// listHistory records the earlier sets of entry VMs that another node may still have used
// within HistoryRetention.
type listHistory struct {
	// lists has the earlier sets, oldest first, at most maxHistory.
	lists []historyEntry
	// knownFrom is when the history begins to be complete. Sets that other nodes used before
	// it, or that this process never held, are missing from lists.
	knownFrom time.Duration
}

// historyEntry is a set of entry VMs that this process has held.
type historyEntry struct {
	layout *bbgroup.Layout
	// until is when the last node can have used the set, unset while open.
	until time.Duration
	// open is true until a majority has confirmed a later list. Until then other nodes may
	// still act by this one.
	open bool
}

// recordHistory is called before a list replaces the current one. When the revision skips
// one, this process has missed a list: the history starts empty, since nothing is known of the
// lists that were in force before.
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

// closeHistory is called when a majority begins to confirm the current list: no node can
// then act by an earlier one any more.
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

// evictBefore drops the sets that no node can have used since the given time.
func (p *listHistory) evictBefore(before time.Duration) {
	for len(p.lists) > 0 && !p.lists[0].open && p.lists[0].until < before {
		p.lists = p.lists[1:]
	}
}

// OwnedSince returns whether this node owns a name by the current list and by every list that
// any node can have used since the given time. It is false when this process can't know all
// of those lists. The name must not be that of a listed endpoint; domain is as for Owner.
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

// entriesOnly returns a copy of a list that contains only its entry VMs.
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
