package bbmember

import (
	"slices"
	"strconv"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbgroup"
	"bluebellhall/core/bbmsg"
)

// Ready returns true once this node may confirm others: its quiet time is over, and it
// has heard at its present list revision a majority of ready others of its group, or all
// others while none asks a former group. It stays true for this incarnation.
func (t *Table) Ready() bool { return t.ready }

// Fresh returns true while this node holds its first list and its whole group, of more
// than one, had just started with it. The endpoints that it owns then have had no other
// owner whose calls could still run.
func (t *Table) Fresh() bool {
	return t.ready && t.fresh && t.adoptedLists == 1 && !t.unlistedReadyPeer
}

// updateFresh looks whether each other member either is not ready, or was seen so by
// this process and got ready in the same way. A member that asks a former group has
// held an older list.
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
	t.fresh = true
}

// noteUnready keeps that a peer was not ready during the life of this process.
func (t *Table) recordUnready(name string, ready bool) {
	if !ready && len(t.unready) < maxUnready {
		t.unready[name] = true
	}
}

// Confirmed returns true while this node may act as an owner towards cold endpoints
// that belonged to its own group before. It is to be asked right before each send.
func (t *Table) Confirmed(now time.Duration) bool {
	if !t.ready || !t.hasQuorum || t.paused(now) || now >= t.quorumUntil {
		return false
	}
	if now-t.quorumSince <= t.settings.SettleTime {
		return false
	}
	return !t.holdActive(now)
}

// ConfirmedFor is like Confirmed for one endpoint. An endpoint that another group was
// responsible for is held back until the former list need not be asked any more.
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

// held returns true while forgotten lists keep cold endpoints back.
func (t *Table) holdActive(now time.Duration) bool {
	if now >= t.holdUntil {
		return false
	}
	return len(t.Group()) == 1 || len(t.formerGroups) > 0
}

// paused returns true when no call came for PauseGap.
func (t *Table) paused(now time.Duration) bool {
	return t.ticked && now-t.lastTick > t.settings.PauseGap
}

// notePause voids all confirmations when the process did not run for a while, probes
// on the way included, so that only answers to later probes count.
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

// updateReady applies the rule for nodes that have just started.
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

// updateCover follows whether enough members confirm. It is called before and after
// each change, so that a break is found also when it lies between two calls.
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

// coverUntil returns how long the confirmations that are held now suffice: a majority
// of the group, and what the former groups require. It returns 0 when the list held is
// not the newest seen or does not name this node.
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

// reach returns until when what until tells of a peer holds for at least count of the
// named nodes. For this node itself it always holds.
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

// maxTime is later than any time of the process.
const maxTime = time.Duration(1<<63 - 1)

// tellConfirmed queues an event when the answer of Confirmed has changed.
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

// knowledge returns what this node tells of itself.
func (t *Table) withListRevision(own bbmsg.NodeState) bbmsg.NodeState {
	own.ListRevision = t.seen
	return own
}
