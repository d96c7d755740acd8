package bbserver

import (
	"sync"

	"bluebellhall/bluebelld/bblink"
	"bluebellhall/bluebelld/bbsettings"
	"bluebellhall/core/bbmsg"
)

// peers has a sender for each other entry VM.
type peers struct {
	server   *Server
	settings bbsettings.Settings
	hooks    Hooks

	mu sync.Mutex
	// senders maps names to senders, one for each VM that the core wants to reach.
	senders map[string]*sender
	closed  bool
}

// sender is a link with its address and clean-up function.
type sender struct {
	link    *bblink.Sender
	address string
	cleanup func()
}

// newPeers returns a table without peers.
func newPeers(v *Server, s bbsettings.Settings, seams Hooks) *peers {
	return &peers{
		server:   v,
		settings: s,
		hooks:    seams,
		senders:  make(map[string]*sender),
	}
}

// setLinks makes senders for new VMs and ends those of VMs that are gone.
func (p *peers) setLinks(l bbmsg.LinkSet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	wanted := make(map[string]bool)
	for _, m := range l.Members {
		wanted[m.Name] = true
		p.ensure(m)
	}
	for name, s := range p.senders {
		if !wanted[name] {
			delete(p.senders, name)
			go s.cleanup()
		}
	}
}

// ensure makes a sender unless there is one to the same address.
func (p *peers) ensure(m bbmsg.Member) {
	s := p.senders[m.Name]
	if s != nil && s.address == m.PeerAddress {
		return
	}
	if s != nil {
		go s.cleanup()
	}
	link, cleanup := bblink.NewSender(bblink.SenderSettings{
		From:        p.settings.Name,
		Incarnation: p.server.Incarnation,
		To:          m.Name,
		Address:     m.PeerAddress,
		Stamp:       p.server.loop.clock.next,
		Event:       p.server.events.add,
		Blocked:     p.hooks.Blocked,
		Reply: func(r bbmsg.ProbeReply) {
			p.server.loop.input(bbmsg.Input{
				Reply: &r,
			})
		},
	})
	p.senders[m.Name] = &sender{
		link:    link,
		address: m.PeerAddress,
		cleanup: cleanup,
	}
}

// find returns the sender to a peer, or nil.
func (p *peers) find(name string) *bblink.Sender {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.senders[name]; s != nil {
		return s.link
	}
	return nil
}

// send passes a message on. A message to a VM that is not listed is dropped, as if
// the VM were gone.
func (p *peers) send(to string, e bbmsg.Envelope) {
	if s := p.find(to); s != nil {
		s.Enqueue(e)
	}
}

// probe sends a probe.
func (p *peers) probe(to string, probe bbmsg.Probe) {
	if s := p.find(to); s != nil {
		s.Probe(probe)
	}
}

// close ends all senders.
func (p *peers) close() {
	p.mu.Lock()
	p.closed = true
	senders := p.senders
	p.senders = nil
	p.mu.Unlock()
	for _, s := range senders {
		s.cleanup()
	}
}
