// Package bbdrain implements the graceful stop of an entry VM: it waits until all tickets that
// name the process have expired and hands its request records over to a peer. It also receives
// the records that a stopping peer hands over.
package bbdrain

import (
	"fmt"
	"slices"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbhome"
	"bluebellhall/core/bbmember"
	"bluebellhall/core/bbmsg"
)

// Settings configure a graceful stop.
type Settings struct {
	// Self is the name of this node, Region its region and Incarnation that of its process.
	Self        string
	Region      string
	Incarnation uint64
}

// Hooks are the functions of the node that the graceful stop calls.
type Hooks struct {
	// Busy returns whether the node still has requests or calls in progress.
	Busy func() bool
	// Send sends a message to a node.
	Send func(to string, e bbmsg.Envelope)
	// Stop makes the driver end the process.
	Stop func()
	// Emit records an event.
	Emit func(e bbevent.Event)
}

// Table is the state of a graceful stop. It is not safe for concurrent use.
type Table struct {
	settings Settings
	hooks    Hooks
	members  *bbmember.Table
	home     *bbhome.Table
	// started is true once the node no longer gives out its own address.
	started bool
	// ticketsEnd is when the last ticket that names this process expires.
	ticketsEnd time.Duration
	// successor is the node that the records were sent to, empty before.
	successor string
	// successorIncarnation is that of its process then, and sentAt when the records were sent.
	successorIncarnation uint64
	sentAt               time.Duration
	// stopped is true once the driver was asked to end the process.
	stopped bool
}

// New returns the state of a node whose graceful stop has not begun.
func New(s Settings, members *bbmember.Table, home *bbhome.Table, hooks Hooks) *Table {
	return &Table{
		settings: s,
		hooks:    hooks,
		members:  members,
		home:     home,
	}
}

const (
	// handoverTimeout is how long a successor may take to report that it has the records.
	handoverTimeout = 3 * time.Second
	// noPeerTimeout is how long a node without any peer waits for one to hand its records to.
	noPeerTimeout = 2 * time.Second
)

// Start begins a graceful stop: the node no longer gives out its own address, and continues to
// serve the tickets it has issued until they expire. longestTicket is the longest lifetime of
// any ticket that names this process.
func (t *Table) Start(now, longestTicket time.Duration) {
	if t.started {
		return
	}
	t.started = true
	t.ticketsEnd = now + longestTicket
	t.hooks.Emit(bbevent.Event{
		Number: bbevent.NodeDraining,
		Detail: fmt.Sprintf("last ticket expires in %s", longestTicket),
	})
}

// Started returns whether the graceful stop has begun.
func (t *Table) Started() bool { return t.started }

// Tick performs the next step of a graceful stop when it is due.
func (t *Table) Tick(now time.Duration) {
	if !t.started || t.stopped || now < t.ticketsEnd {
		return
	}
	if t.hooks.Busy() {
		return
	}
	if len(t.home.Records) == 0 && len(t.home.HandedOver) == 0 {
		t.stop("no records")
		return
	}
	if t.successor == "" || now >= t.sentAt+handoverTimeout {
		t.handOver(now)
		return
	}
	if t.successorHasRecords() {
		t.stop("records handed over to " + t.successor)
	}
}

// handOver sends all records to a peer that stays. Without any peer the node waits for
// noPeerTimeout and then stops; its records are then lost, which the stop event reports.
func (t *Table) handOver(now time.Duration) {
	successor := t.pickSuccessor()
	if successor == "" {
		if now >= t.ticketsEnd+noPeerTimeout {
			t.stop("no peer available to take over the records")
		}
		return
	}
	t.successor = successor
	t.successorIncarnation = t.members.Incarnation(successor)
	t.sentAt = now
	parts := t.home.Handover(now)
	for i := range parts {
		t.hooks.Send(successor, bbmsg.Envelope{
			Handover: &parts[i],
		})
	}
	t.hooks.Emit(bbevent.Event{
		Number: bbevent.RecordsHandedOver,
		Peer:   successor,
		Detail: fmt.Sprintf("%d records", len(t.home.Records)),
	})
}

// pickSuccessor returns the peer to hand the records to: one that is not stopping itself, in
// the same region if there is one, and a different one from the last attempt if possible.
func (t *Table) pickSuccessor() string {
	var near, far []string
	for _, name := range t.members.AlivePeers() {
		p := t.members.Peers[name]
		if !p.Listed || p.Member.Leaving || p.State.Draining || name == t.successor {
			continue
		}
		if p.Member.Region == t.settings.Region {
			near = append(near, name)
			continue
		}
		far = append(far, name)
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 && t.members.Alive(t.successor) {
		return t.successor
	}
	successor, _ := bbhash.Pick(near, t.settings.Self)
	return successor
}

// successorHasRecords returns whether the successor reports that it has all records. A restart
// of the successor after they were sent loses them.
func (t *Table) successorHasRecords() bool {
	p := t.members.Peers[t.successor]
	if p == nil || p.Incarnation != t.successorIncarnation {
		return false
	}
	return slices.Contains(p.State.HandedOverHomes, bbmsg.HandedOverHome{
		Home:        t.settings.Self,
		Incarnation: t.settings.Incarnation,
	})
}

// PeerChanged makes the next Tick hand the records over again when the successor was lost, came
// back or restarted.
func (t *Table) PeerChanged(now time.Duration, name string) {
	if t.successor == name {
		t.sentAt = now - handoverTimeout
	}
}

// stop emits the stop event and makes the driver end the process.
func (t *Table) stop(detail string) {
	t.stopped = true
	t.hooks.Emit(bbevent.Event{
		Number: bbevent.NodeStopped,
		Detail: detail,
	})
	t.hooks.Stop()
}

// ReceiveHandover stores one part of the records of a stopping peer.
func (t *Table) ReceiveHandover(now time.Duration, from string, h bbmsg.Handover) {
	if !t.home.ReceiveHandover(now, h) {
		t.hooks.Emit(bbevent.Event{
			Number: bbevent.TableFull,
			Peer:   from,
			Detail: "limit of handed-over homes reached, records refused: " + h.Home,
		})
		return
	}
	if h.Part+1 == h.Parts {
		t.hooks.Emit(bbevent.Event{
			Number: bbevent.RecordsTakenOver,
			Peer:   from,
			Detail: h.Home,
		})
	}
}
