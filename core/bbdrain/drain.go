// Package bbdrain is the graceful stop of an entry VM: it waits until nothing names the
// process any more and hands its records over to a peer. It also takes in the records
// that a stopping peer hands over.
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
	// Self is the name of this node, Region where it is and Incarnation its process.
	Self        string
	Region      string
	Incarnation uint64
}

// Seams connect the stop with the rest of the node.
type Hooks struct {
	// Busy tells whether anything is still under way at the node.
	Busy func() bool
	// Send passes a message to a node.
	Send func(to string, e bbmsg.Envelope)
	// Stop tells the driver to end the process.
	Stop func()
	// Emit adds an event to the time line.
	Emit func(e bbevent.Event)
}

// Table is the state of a graceful stop. It is not safe for concurrent use.
type Table struct {
	settings Settings
	seams    Hooks
	members  *bbmember.Table
	home     *bbhome.Table
	// started is true once the node hands out no more of its own address.
	started bool
	// ticketsEnd is when the last ticket that names this process has expired.
	ticketsEnd time.Duration
	// heir is the node that the records were sent to, empty before.
	successor string
	// heirIncarnation is its process, and sentAt when the records were sent.
	successorIncarnation uint64
	sentAt               time.Duration
	// stopped is true once the driver was told to end.
	stopped bool
}

// New returns the state of a node that has not begun to stop.
func New(s Settings, members *bbmember.Table, home *bbhome.Table, seams Hooks) *Table {
	return &Table{
		settings: s,
		seams:    seams,
		members:  members,
		home:     home,
	}
}

const (
	// handoverPatience is how long an heir may take to tell that it has the records.
	handoverTimeout = 3 * time.Second
	// lonelyPatience is how long a node without any peer keeps its records.
	noPeerTimeout = 2 * time.Second
)

// Start begins a graceful stop: own addresses are no longer handed out, and everything
// that was handed out is served to its end. LongestTicket is the longest life of any
// ticket that names this process.
func (t *Table) Start(now, longestTicket time.Duration) {
	if t.started {
		return
	}
	t.started = true
	t.ticketsEnd = now + longestTicket
	t.seams.Emit(bbevent.Event{
		Number: bbevent.NodeDraining,
		Detail: fmt.Sprintf("tickets end in %s", longestTicket),
	})
}

// Started tells whether the graceful stop has begun.
func (t *Table) Started() bool { return t.started }

// Tick takes a graceful stop further when its next step is due.
func (t *Table) Tick(now time.Duration) {
	if !t.started || t.stopped || now < t.ticketsEnd {
		return
	}
	if t.seams.Busy() {
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
		t.stop("records are with " + t.successor)
	}
}

// handOver sends all records to a peer that stays. Without any peer the node waits
// a little and then ends; its records are then lost, and the time line says so.
func (t *Table) handOver(now time.Duration) {
	heir := t.pickSuccessor()
	if heir == "" {
		if now >= t.ticketsEnd+noPeerTimeout {
			t.stop("no peer could take the records")
		}
		return
	}
	t.successor = heir
	t.successorIncarnation = t.members.Incarnation(heir)
	t.sentAt = now
	parts := t.home.Handover(now)
	for i := range parts {
		t.seams.Send(heir, bbmsg.Envelope{
			Handover: &parts[i],
		})
	}
	t.seams.Emit(bbevent.Event{
		Number: bbevent.RecordsHandedOver,
		Peer:   heir,
		Detail: fmt.Sprintf("%d records", len(t.home.Records)),
	})
}

// pickHeir returns the peer that is to have the records: one that stays, of the same
// region if there is one, another than the one tried before if there is a choice.
func (t *Table) pickSuccessor() string {
	var near, far []string
	for _, name := range t.members.AlivePeers() {
		p := t.members.Peers[name]
		if !p.Listed || p.Member.Leaving || p.Knowledge.Draining || name == t.successor {
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
	heir, _ := bbhash.Pick(near, t.settings.Self)
	return heir
}

// heirHasAll tells whether the heir says that it has the records, in the process
// that they were sent to.
func (t *Table) successorHasRecords() bool {
	p := t.members.Peers[t.successor]
	if p == nil || p.Incarnation != t.successorIncarnation {
		return false
	}
	return slices.Contains(p.Knowledge.HandedOverHomes, bbmsg.HandedOverHome{
		Home:        t.settings.Self,
		Incarnation: t.settings.Incarnation,
	})
}

// PeerChanged hands over anew when the heir is gone.
func (t *Table) PeerChanged(now time.Duration, name string) {
	if t.successor == name {
		t.sentAt = now - handoverTimeout
	}
}

// stop tells the driver to end the process.
func (t *Table) stop(detail string) {
	t.stopped = true
	t.seams.Emit(bbevent.Event{
		Number: bbevent.NodeStopped,
		Detail: detail,
	})
	t.seams.Stop()
}

// Take takes in records of a leaving home.
func (t *Table) ReceiveHandover(now time.Duration, from string, h bbmsg.Handover) {
	if !t.home.ReceiveHandover(now, h) {
		t.seams.Emit(bbevent.Event{
			Number: bbevent.TableFull,
			Peer:   from,
			Detail: "no room for the records of " + h.Home,
		})
		return
	}
	if h.Part+1 == h.Parts {
		t.seams.Emit(bbevent.Event{
			Number: bbevent.RecordsTakenOver,
			Peer:   from,
			Detail: h.Home,
		})
	}
}
