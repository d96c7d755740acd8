// Package bbproxy has a loopback proxy that harms the connections through it.
package bbproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Trouble is what a proxy does to connections.
type Impairment struct {
	// Delay holds up what is sent, either way.
	Delay time.Duration
	// Reset closes open connections and new ones at once.
	Reset bool
	// Silent passes nothing on and closes nothing; OneWay does so for what the listener sends
	// back only.
	Stall, StallReplies bool
}

// Proxy is a loopback proxy before one address.
type Proxy struct {
	// Address is where it listens.
	Address string
	target  string

	mu         sync.Mutex
	impairment Impairment
	// changed is closed at each change of the trouble.
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
}

// copyBuffer is the most that is passed on at once.
const copyBuffer = 16 << 10

// NewProxy starts a proxy from one address to another. The clean-up function ends it.
func NewProxy(address, target string) (*Proxy, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "proxy for %s", target)
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
		// Accept ends with the listener.
		_ = l.Close()
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.SetImpairment(Impairment{
			Reset: true,
		})
	}, nil
}

// Set changes what is done to connections from now on.
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

// reset closes a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// The connection is closed in any case.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// state returns the present trouble and a channel that is closed when it changes.
func (p *Proxy) state() (Impairment, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment, p.changed
}

// keep notes an open connection; false if there may be none.
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

// serve passes on one connection.
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

// pass copies one direction and ends both connections with it. Back is the direction from the
// listener.
func (p *Proxy) forward(to, from net.Conn, back bool) {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := from.Read(buffer)
		p.waitImpairment(back)
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

// hold waits as long as the trouble says.
func (p *Proxy) waitImpairment(back bool) {
	t, _ := p.state()
	time.Sleep(t.Delay)
	for {
		t, changed := p.state()
		if t.Reset || !t.Stall && (!t.StallReplies || !back) {
			return
		}
		<-changed
	}
}
