package bbnode

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
)

// drainState is the state of a graceful stop.
type drainState struct {
	// started is true once the node hands out no more of its own address.
	started bool
	// ticketsEnd is when the last ticket that names this process has expired.
	ticketsEnd time.Duration
	// heir is the node that the records were sent to, empty before.
	heir string
	// heirIncarnation is its process, and sentAt when the records were sent.
	heirIncarnation uint64
	sentAt          time.Duration
	// stopped is true once the driver was told to end.
	stopped bool
}

const (
	// handoverPatience is how long an heir may take to tell that it has the records.
	handoverPatience = 3 * time.Second
	// lonelyPatience is how long a node without any peer keeps its records.
	lonelyPatience = 2 * time.Second
)

// startDrain begins a graceful stop: own addresses are no longer handed out, and
// everything that was handed out is served to its end.
func (n *Node) startDrain() {
	if n.drain.started {
		return
	}
	n.drain.started = true
	n.drain.ticketsEnd = n.now + n.policy.longestTicket
	n.event(bbevent.Event{
		Number: bbevent.NodeDraining,
		Detail: fmt.Sprintf("tickets end in %s", n.policy.longestTicket),
	})
}

// tickDrain takes a graceful stop further when its next step is due.
func (n *Node) tickDrain() {
	d := &n.drain
	if !d.started || d.stopped || n.now < d.ticketsEnd {
		return
	}
	if n.busy() {
		return
	}
	if len(n.Home.Records) == 0 && len(n.Home.Inherited) == 0 {
		n.stop("no records")
		return
	}
	if d.heir == "" || n.now >= d.sentAt+handoverPatience {
		n.handOver()
		return
	}
	if n.heirHasAll() {
		n.stop("records are with " + d.heir)
	}
}

// busy tells whether anything is still under way.
func (n *Node) busy() bool {
	if n.Home.Running() > 0 || len(n.receiver.calls) > 0 {
		return true
	}
	for _, d := range append(n.Owner.Digests(n.now), n.deputy.Digests(n.now)...) {
		if d.InFlight > 0 || d.Queued > 0 {
			return true
		}
	}
	return false
}

// handOver sends all records to a peer that stays. Without any peer the node waits
// a little and then ends; its records are then lost, and the time line says so.
func (n *Node) handOver() {
	heir := n.pickHeir()
	if heir == "" {
		if n.now >= n.drain.ticketsEnd+lonelyPatience {
			n.stop("no peer could take the records")
		}
		return
	}
	n.drain.heir = heir
	n.drain.heirIncarnation = n.incarnationOf(heir)
	n.drain.sentAt = n.now
	parts := n.Home.Handover(n.now)
	for i := range parts {
		n.send(heir, bbmsg.Envelope{
			Handover: &parts[i],
		})
	}
	n.event(bbevent.Event{
		Number: bbevent.RecordsHandedOver,
		Peer:   heir,
		Detail: fmt.Sprintf("%d records", len(n.Home.Records)),
	})
}

// pickHeir returns the peer that is to have the records: one that stays, of the same
// region if there is one, another than the one tried before if there is a choice.
func (n *Node) pickHeir() string {
	var near, far []string
	for _, name := range n.alivePeers() {
		p := n.Members.Peers[name]
		if !p.Listed || p.Member.Leaving || p.Knowledge.Draining || name == n.drain.heir {
			continue
		}
		if p.Member.Region == n.Settings.Self.Region {
			near = append(near, name)
			continue
		}
		far = append(far, name)
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 && n.alive(n.drain.heir) {
		return n.drain.heir
	}
	heir, _ := bbhash.Pick(near, n.Settings.Self.Name)
	return heir
}

// heirHasAll tells whether the heir says that it has the records, in the process
// that they were sent to.
func (n *Node) heirHasAll() bool {
	p := n.Members.Peers[n.drain.heir]
	if p == nil || p.Incarnation != n.drain.heirIncarnation {
		return false
	}
	return slices.Contains(p.Knowledge.Heirs, bbmsg.Heir{
		Home:        n.Settings.Self.Name,
		Incarnation: n.Settings.Incarnation,
	})
}

// drainPeerChanged hands over anew when the heir is gone.
func (n *Node) drainPeerChanged(name string) {
	if n.drain.heir == name {
		n.drain.sentAt = n.now - handoverPatience
	}
}

// stop tells the driver to end the process.
func (n *Node) stop(detail string) {
	n.drain.stopped = true
	n.event(bbevent.Event{
		Number: bbevent.NodeStopped,
		Detail: detail,
	})
	n.out = append(n.out, bbmsg.Output{
		Stopped: true,
	})
}

// takeHandover takes in records of a leaving home.
func (n *Node) takeHandover(from string, h bbmsg.Handover) {
	if !n.Home.Inherit(n.now, h) {
		n.event(bbevent.Event{
			Number: bbevent.TableFull,
			Peer:   from,
			Detail: "no room for the records of " + h.Home,
		})
		return
	}
	if h.Part+1 == h.Parts {
		n.event(bbevent.Event{
			Number: bbevent.RecordsTakenOver,
			Peer:   from,
			Detail: h.Home,
		})
	}
}

// sortedNames returns the names of all peers, sorted.
func (n *Node) sortedNames() []string {
	names := make([]string, 0, len(n.Members.Peers))
	for name := range n.Members.Peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
