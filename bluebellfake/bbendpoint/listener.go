package bbendpoint

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// reopenInterval is the time between two tries to listen again after a crash.
const reopenInterval = 2 * time.Millisecond

// listener is a loopback listener that knows its connections and that can be
// closed and opened again on the same port.
type listener struct {
	// address is host:port with the port in use.
	address string

	mu sync.Mutex
	// inner is nil while the port is closed for a restart.
	inner net.Listener
	// reopened is closed when inner is set again or the listener ends.
	reopened chan struct{}
	conns    map[*conn]bool
	closed   bool
}

// listen opens a listener on host:port, which must be on loopback.
func listen(address string) (*listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, errors.Newf("address %q is not on loopback", address)
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", address)
	}
	return &listener{
		address:  inner.Addr().String(),
		inner:    inner,
		reopened: make(chan struct{}),
		conns:    map[*conn]bool{},
	}, nil
}

// Accept returns the next connection, over any number of restarts.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, reopened, err := l.current()
		if err != nil {
			return nil, err
		}
		if inner == nil {
			<-reopened
			continue
		}
		c, err := inner.Accept()
		if err == nil {
			return l.track(c), nil
		}
	}
}

// Addr returns the address in use.
func (l *listener) Addr() net.Addr {
	addr, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return addr
}

// Close ends the listener and resets its connections.
func (l *listener) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	inner := l.inner
	if inner == nil {
		close(l.reopened)
	}
	l.inner = nil
	l.mu.Unlock()
	l.resetAll()
	if inner == nil {
		return nil
	}
	return inner.Close()
}

func (l *listener) current() (net.Listener, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, net.ErrClosed
	}
	return l.inner, l.reopened, nil
}

func (l *listener) track(inner net.Conn) *conn {
	c := &conn{Conn: inner, owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c
}

// all returns the open connections that are not spared.
func (l *listener) faultableConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		if !c.exemptFromFaults.Load() {
			open = append(open, c)
		}
	}
	return open
}

// resetAll closes all connections with a reset and returns their number.
func (l *listener) resetAll() int {
	open := l.faultableConns()
	for _, c := range open {
		c.reset()
	}
	return len(open)
}

// silenceAll makes all open connections silent for good.
func (l *listener) silenceAll() {
	for _, c := range l.faultableConns() {
		c.silent.Store(true)
	}
}

// restart closes the port, resets all connections and opens the port after down.
// It returns the number of connections that were reset.
func (l *listener) restart(down time.Duration) int {
	if down > 0 {
		l.closePort(down)
	}
	return l.resetAll()
}

func (l *listener) closePort(down time.Duration) {
	l.mu.Lock()
	inner := l.inner
	if inner == nil || l.closed {
		l.mu.Unlock()
		return
	}
	l.inner = nil
	l.reopened = make(chan struct{})
	l.mu.Unlock()
	inner.Close()
	time.AfterFunc(down, l.reopen)
}

// reopen listens again; it tries until it succeeds or the listener ends.
func (l *listener) reopen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	inner, err := net.Listen("tcp", l.address)
	if err != nil {
		time.AfterFunc(reopenInterval, l.reopen)
		return
	}
	l.inner = inner
	close(l.reopened)
}

// connKey is the key of a request context for the connection.
type connKey struct{}

// conn is a connection that can be silenced and reset.
type conn struct {
	net.Conn
	owner  *listener
	silent atomic.Bool
	// spared is true for a connection that carries a command, which faults leave alone.
	exemptFromFaults atomic.Bool
}

// Read drops what arrives once the connection is silent.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write pretends to write once the connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
