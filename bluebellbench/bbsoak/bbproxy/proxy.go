// Package bbproxy provides a loopback TCP proxy that injects network faults.
package bbproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Impairment is the network fault that a proxy injects into its connections; the zero value is none.
type Impairment struct {
	// Delay is added to each chunk of data, in either direction.
	Delay time.Duration
	// Reset resets all open connections at once, and new ones when they are accepted.
	Reset bool
	// Stall holds back all data without closing connections; StallReplies holds back only the data from the
	// target. Data that is held back is forwarded once the impairment ends.
	Stall, StallReplies bool
}

// Proxy is a loopback TCP proxy for one target address.
type Proxy struct {
	// Address is the address that the proxy listens on.
	Address string
	target  string

	mu         sync.Mutex
	impairment Impairment
	// changed is closed at each change of the impairment.
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// copyBuffer is the size of the chunks in which data is forwarded.
const copyBuffer = 16 << 10

// NewProxy starts a proxy that listens on an address and connects to a target. The clean-up function stops it.
func NewProxy(address, target string) (*Proxy, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen as proxy for %s", target)
	}
	p := &Proxy{
		Address: l.Addr().String(),
		target:  target,
		changed: make(chan struct{}),
		conns:   make(map[net.Conn]bool),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, func() {
		// Accept returns an error once the listener is closed, which ends the loop above.
		_ = l.Close()
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.SetImpairment(Impairment{
			Reset: true,
		})
	}, nil
}

// SetImpairment replaces the impairment of open and new connections.
func (p *Proxy) SetImpairment(t Impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = t
	close(p.changed)
	p.changed = make(chan struct{})
	if t.Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without linger the close below sends a reset; if that fails the connection is closed all the same.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// state returns the current impairment and a channel that is closed when it changes.
func (p *Proxy) state() (Impairment, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment, p.changed
}

// register adds an open connection; if the proxy is closed or resets connections it resets this one and
// returns false.
func (p *Proxy) register(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.impairment.Reset {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) unregister(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// serve forwards one connection in both directions until it ends.
func (p *Proxy) serve(c net.Conn) {
	if !p.register(c) {
		return
	}
	defer p.unregister(c)
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	if !p.register(out) {
		reset(c)
		return
	}
	defer p.unregister(out)
	done := make(chan struct{})
	go func() {
		p.forward(out, c, false)
		close(done)
	}()
	p.forward(c, out, true)
	<-done
}

// forward copies one direction and closes both connections when it ends. Reply is true for the direction from
// the target to the client.
func (p *Proxy) forward(to, from net.Conn, reply bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		p.waitImpairment(reply)
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// waitImpairment delays a chunk of data, and then blocks while the impairment stalls its direction.
func (p *Proxy) waitImpairment(reply bool) {
	t, _ := p.state()
	time.Sleep(t.Delay)
	for {
		t, changed := p.state()
		if t.Reset || !t.Stall && (!t.StallReplies || !reply) {
			return
		}
		<-changed
	}
}
