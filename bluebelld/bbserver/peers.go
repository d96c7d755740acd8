package bbserver

import (
	"sync"

	"bluebellhall/bluebelld/bblink"
	"bluebellhall/bluebelld/bbsettings"
	"bluebellhall/core/bbmsg"
)

// peers has the links that send to the other entry VMs.
type peers struct {
	server   *Server
	settings bbsettings.Settings
	hooks    Hooks

	mu sync.Mutex
	// senders maps the name of each VM of the core's last LinkSet to its sender.
	senders map[string]*sender
	closed  bool
}

// sender is a link with its destination address and clean-up function.
type sender struct {
	link    *bblink.Sender
	address string
	cleanup func()
}

// newPeers returns a table without senders.
func newPeers(v *Server, s bbsettings.Settings, hooks Hooks) *peers {
	return &peers{
		server:   v,
		settings: s,
		hooks:    hooks,
		senders:  make(map[string]*sender),
	}
}

// setLinks creates senders for VMs new in the set and closes those of VMs no longer in it.
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

// ensure creates a sender to a VM unless there is one to the same address; one to another
// address is closed.
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

// send queues a message for a VM. A message to a VM without a sender is dropped, as it would
// be lost if the VM were down.
func (p *peers) send(to string, e bbmsg.Envelope) {
	if s := p.find(to); s != nil {
		s.Enqueue(e)
	}
}

// probe sends a probe to a VM, if it has a sender.
func (p *peers) probe(to string, probe bbmsg.Probe) {
	if s := p.find(to); s != nil {
		s.Probe(probe)
	}
}

// close closes all senders; later link sets are ignored.
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
