package bbchannel

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrReset is the cause when a body that ends with its connection ended because the connection failed.
var ErrReset = errors.New("connection failed before the end of the body")

// pastDeadline is a deadline that ends operations at once.
var pastDeadline = time.Unix(1, 0)

// conn is a connection whose Read returns io.EOF only if the peer has ended its direction in order. A socket reports
// its failure once, to a read or a write; after a write, reads return io.EOF as if the peer had ended.
type conn struct {
	net.Conn
	// mu is held during each write.
	mu sync.Mutex
	// failure is the error of the first failed write; nil if none has failed.
	failure error
}

// NewConn returns a connection whose Read returns io.EOF only if the peer of inner has ended its direction in order,
// and an ErrReset if inner has failed instead. The end of the peer's direction ends writes that have not finished.
func NewConn(inner net.Conn) net.Conn {
	return &conn{
		Conn: inner,
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.endWrites(); failure != nil {
		return n, errors.Mark(failure, ErrReset)
	}
	return n, err
}

// endWrites ends a write in progress, and returns the failure of the connection that a write was told of.
func (c *conn) endWrites() error {
	// The deadline can't be set on a connection that is closed, which ends a write as well.
	_ = c.Conn.SetWriteDeadline(pastDeadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	// A write gets EPIPE if the peer reset the connection after the end of its direction.
	if errors.Is(c.failure, os.ErrDeadlineExceeded) || errors.Is(c.failure, syscall.EPIPE) {
		return nil
	}
	return c.failure
}
