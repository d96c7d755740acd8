package bbmember

import (
	"slices"
	"strconv"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgroup"
	"bluebellhall/core/bbmsg"
)

// Ready returns true once this node may confirm the list to others: its quiet time after the
// start is over, and either a majority of the other members of its group has answered as
// ready with the newest list revision, or all of them have answered with it and none still
// awaits a former group. It never becomes false again in this incarnation.
func (t *Table) Ready() bool { return t.ready }

// Fresh returns true while this node holds the first list of this process and its whole
// group, of more than one member, had just started when this node did. The endpoints that it
// then owns have had no other owner whose calls could still be running.
func (t *Table) NoFormerOwners() bool {
	return t.ready && t.groupStartedFresh && t.adoptedLists == 1 && !t.unlistedReadyPeer
}

// updateFresh sets groupStartedFresh when each other member of the group either is not ready, or
// was seen not ready by this process and then became ready as a fresh member itself. A member
// that awaits a former group has held an older list and rules that out.
func (t *Table) updateFresh() {
	group := t.Group()
	if t.adoptedLists != 1 || len(group) < 2 {
		return
	}
	for _, name := range group {
		p := t.Peers[name]
		if p == nil {
			continue
		}
		if p.answeredRevision == 0 || p.asking || p.ready && !(p.fresh && t.unready[name]) {
			return
		}
	}
	t.groupStartedFresh = true
}

// recordUnready records that a peer was not ready at some time since this process started.
func (t *Table) recordUnready(name string, ready bool) {
	if !ready && len(t.unready) < maxUnready {
		t.unready[name] = true
	}
}

// Confirmed returns true while this node may act as the owner of cold endpoints that its own
// group was already responsible for before. Callers check it immediately before each send.
func (t *Table) Confirmed(now time.Duration) bool {
	if !t.ready || !t.hasQuorum || t.paused(now) || now >= t.quorumUntil {
		return false
	}
	if now-t.quorumSince <= t.settings.SettleTime {
		return false
	}
	return !t.holdActive(now)
}

// ConfirmedFor is like Confirmed for one endpoint. It stays false for an endpoint that another
// group was responsible for under a former list until that list has expired.
func (t *Table) ConfirmedFor(now time.Duration, endpoint, domain string) bool {
	if !t.Confirmed(now) {
		return false
	}
	for _, f := range t.formerLayouts {
		if f.until <= now {
			continue
		}
		_, group := f.layout.Owner(endpoint, domain)
		own, ok := f.layout.GroupOf[t.settings.Self.Name]
		if group >= 0 && (!ok || own != group) {
			return false
		}
	}
	return true
}

// holdActive returns true while cold endpoints are held back because former lists were
// dropped before they had expired, or are not known to this process. That concerns a node that
// is alone in its group or that still has former groups.
func (t *Table) holdActive(now time.Duration) bool {
	if now >= t.holdUntil {
		return false
	}
	return len(t.Group()) == 1 || len(t.formerGroups) > 0
}

// paused returns true when the last call to the table is longer than PauseGap ago.
func (t *Table) paused(now time.Duration) bool {
	return t.ticked && now-t.lastTick > t.settings.PauseGap
}

// detectPause discards all confirmations when the process was suspended. Probes in flight
// are discarded too, so that only replies to later probes confirm.
func (t *Table) detectPause(now time.Duration) {
	if t.paused(now) {
		t.event(bbevent.NodePaused, "", (now - t.lastTick).String())
		t.clearConfirmations()
		t.nextCheck = now
		for _, p := range t.Peers {
			p.sent = [sentProbes]sentProbe{}
			p.nextProbe = now
			p.awaitingReply = false
		}
	}
	if !t.ticked {
		t.started = now
	}
	t.lastTick = now
	t.ticked = true
}

func (t *Table) clearConfirmations() {
	t.hasQuorum = false
	t.quorumUntil = 0
	for _, p := range t.Peers {
		p.confirmedUntil = 0
		p.listUntil = 0
	}
}

// updateReady makes a node that has started ready, see Ready.
func (t *Table) updateReady(now time.Duration) {
	group := t.Group()
	if t.ready || group == nil || now-t.started < t.quietTime(len(group)) {
		return
	}
	others, answered, ready := 0, 0, 0
	for _, name := range group {
		p := t.Peers[name]
		if name == t.settings.Self.Name {
			continue
		}
		others++
		if p == nil || p.answeredRevision == 0 || p.answeredRevision != t.seen {
			continue
		}
		if p.ready {
			ready++
		}
		if !p.asking {
			answered++
		}
	}
	t.ready = answered == others || ready > others/2
}

func (t *Table) quietTime(members int) time.Duration {
	switch {
	case t.settings.QuietTime > 0:
		return t.settings.QuietTime
	case members <= smallGroup:
		return t.settings.ConfirmTime + t.settings.ConfirmTime/4
	}
	return quietFactor * t.settings.ConfirmTime
}

// updateQuorum updates whether enough members confirm. It is called before and after each
// change, so that a loss of the quorum between two calls is noticed too.
func (t *Table) updateQuorum(now time.Duration) {
	if now >= t.quorumUntil {
		t.hasQuorum = false
	}
	t.quorumUntil = t.quorumExpiry(now)
	if now >= t.quorumUntil {
		t.hasQuorum = false
		return
	}
	if !t.hasQuorum {
		t.hasQuorum = true
		t.quorumSince = now
		t.closeHistory(now)
	}
}

// quorumExpiry returns when the quorum ends unless confirmations are renewed: it takes a
// majority of the group, and the members that the former groups require. It returns 0 when
// the current list is not the newest one seen or does not name this node.
func (t *Table) quorumExpiry(now time.Duration) time.Duration {
	if t.current == nil || t.seen != t.list.Revision {
		return 0
	}
	group := t.current.GroupNames(t.settings.Self.Name)
	if group == nil {
		return 0
	}
	until := t.expiryForCount(group, len(group)/2+1, confirmedUntil)
	return min(until, t.formerGroupsExpiry(now))
}

// expiryForCount returns the time until which at least count of the named nodes hold, where
// until returns the expiry for one peer. This node itself never expires.
func (t *Table) expiryForCount(names []string, count int, until func(p *Peer) time.Duration) time.Duration {
	if count == 0 {
		return maxTime
	}
	var buffer [2 * bbgroup.MaxMembers]time.Duration
	untils := buffer[:0]
	for _, name := range names {
		switch p := t.Peers[name]; {
		case name == t.settings.Self.Name:
			untils = append(untils, maxTime)
		case p == nil:
			untils = append(untils, 0)
		default:
			untils = append(untils, until(p))
		}
	}
	slices.Sort(untils)
	return untils[len(untils)-count]
}

// maxTime is the latest possible time, used for what never expires.
const maxTime = time.Duration(1<<63 - 1)

// reportConfirmed queues an event when the result of Confirmed has changed.
func (t *Table) reportConfirmed(now time.Duration) {
	confirmed := t.Confirmed(now)
	if confirmed == t.reportedConfirmed {
		return
	}
	t.reportedConfirmed = confirmed
	number := bbevent.ConfirmationLost
	if confirmed {
		number = bbevent.Confirmed
	}
	t.event(number, "", revisionDetail(t.seen))
}

func revisionDetail(revision int64) string {
	return "list revision " + strconv.FormatInt(revision, 10)
}

// withListRevision returns this node's state with the newest list revision filled in.
func (t *Table) withListRevision(own bbmsg.NodeState) bbmsg.NodeState {
	own.ListRevision = t.seen
	return own
}
