package bbpeer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"bluebellhall/bluebelld/bblink"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbprovenance"
)

const (
	// dialTimeout bounds the setup of a connection: several round trips between regions.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout closes connections on which sent bytes are not acknowledged.
	unackedTimeout = 1500 * time.Millisecond
	// maxMessageBytes bounds a message; a catalog of thousands of routes fits.
	maxMessageBytes = 8 << 20
	// bufferBytes is the size of a connection's buffers; most messages are small.
	bufferBytes = 4 << 10
)

// Listen serves the calls of other VMs on an address. The clean-up function closes all connections
// at once.
func Listen(address string, h Handlers) (func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for other VMs on %s", address)
	}
	g := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
	)
	g.RegisterService(&serviceDesc, &server{
		h: h,
	})
	go func() {
		// Serve returns only when the clean-up function stops the server.
		_ = g.Serve(listener)
	}()
	return g.Stop, nil
}

// Conns are the connections to other VMs, by address.
type Conns struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewConns returns an empty table of connections and its clean-up function.
func NewConns() (*Conns, func()) {
	c := &Conns{
		conns: make(map[string]*grpc.ClientConn),
	}
	return c, c.closeAll
}

// Exchange sends what this VM knows of the fleet to another one and returns that one's answer.
func (c *Conns) Exchange(ctx context.Context, address string, e Exchange) (Exchange, error) {
	var answer Exchange
	err := c.invoke(ctx, address, exchangeMethod, &e, &answer)
	return answer, err
}

// Published requests from a VM what the platform published.
func (c *Conns) Published(ctx context.Context, address string, r PublishedRequest) (Published, error) {
	var answer Published
	err := c.invoke(ctx, address, publishedMethod, &r, &answer)
	return answer, err
}

// Order sends an order to a coordinator and passes on the updates of the order until the verdict. Connected is called
// when there is a connection, before the order is sent.
func (c *Conns) Order(ctx context.Context, address string, o bbjob.Order, connected func(), pass func(u bbjob.Update) error) error {
	conn, err := c.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := conn.NewStream(ctx, &orderStream, orderMethod)
	if err != nil {
		return errors.Wrapf(err, "open the stream of an order to %s", address)
	}
	connected()
	if err := stream.SendMsg(&o); err != nil {
		return errors.Wrapf(err, "send an order to %s", address)
	}
	if err := stream.CloseSend(); err != nil {
		return errors.Wrapf(err, "send an order to %s", address)
	}
	for {
		var u bbjob.Update
		if err := stream.RecvMsg(&u); err != nil {
			return errors.Wrapf(err, "receive an update of an order from %s", address)
		}
		if err := pass(u); err != nil || u.Verdict != nil {
			return err
		}
	}
}

// Notes reports progress to a coordinator.
func (c *Conns) Notes(ctx context.Context, address string, n []bbjob.Note) error {
	return c.invoke(ctx, address, notesMethod, &Notes{
		Notes: n,
	}, new(Empty))
}

// Suspects notifies a VM of contents that may crash endpoints.
func (c *Conns) Suspects(ctx context.Context, address string, s Suspects) error {
	return c.invoke(ctx, address, suspectsMethod, &s, new(Empty))
}

// SuspectParts notifies a VM of parts of prompts that may crash engines.
func (c *Conns) SuspectParts(ctx context.Context, address string, s Suspects) error {
	return c.invoke(ctx, address, partsMethod, &s, new(Empty))
}

// Leaving notifies a VM of endpoints that are leaving.
func (c *Conns) Leaving(ctx context.Context, address string, l Leaving) error {
	return c.invoke(ctx, address, leavingMethod, &l, new(Empty))
}

// Limits notifies a VM of limits that endpoints have named.
func (c *Conns) Limits(ctx context.Context, address string, l Limits) error {
	return c.invoke(ctx, address, limitsMethod, &l, new(Empty))
}

// Permit asks a VM whether a request may be sent to an endpoint with a limit.
func (c *Conns) Permit(ctx context.Context, address string, p Permit) (Permitted, error) {
	var answer Permitted
	err := c.invoke(ctx, address, permitMethod, &p, &answer)
	return answer, err
}

// StreamsBegun sends copies of records of begun streams to a VM.
func (c *Conns) StreamsBegun(ctx context.Context, address string, records []bbprovenance.Record) error {
	return c.invoke(ctx, address, streamsBegunMethod, &StreamsBegun{
		Records: records,
	}, new(Empty))
}

// StreamBegan asks a VM who began the stream of an attempt, which can only be a service, or one of several if that is
// empty.
func (c *Conns) StreamBegan(ctx context.Context, address string, attempt uint64, service string) (bbprovenance.Answer, error) {
	var answer bbprovenance.Answer
	err := c.invoke(ctx, address, streamBeganMethod, &StreamBegan{
		Attempt: attempt,
		Service: service,
	}, &answer)
	return answer, err
}

// Reset closes the connection to an address, so that the next call opens a new one: the old one may
// never deliver anything again.
func (c *Conns) Reset(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		// An error here means that it was closed before.
		_ = conn.Close()
	}
}

func (c *Conns) invoke(ctx context.Context, address, method string, request, answer any) error {
	conn, err := c.conn(address)
	if err != nil {
		return err
	}
	return errors.Wrapf(conn.Invoke(ctx, method, request, answer), "call %s of %s", method, address)
}

// conn returns the connection to an address, creating it if there is none.
func (c *Conns) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithContextDialer(dial),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  100 * time.Millisecond,
				Multiplier: 1.5,
				Jitter:     0.2,
				MaxDelay:   time.Second,
			},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDefaultCallOptions(
			grpc.CallContentSubtype(bblink.CodecName),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
		),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", address)
	}
	c.conns[address] = conn
	return conn, nil
}

// dial opens a connection that the kernel closes when sent bytes stay unacknowledged.
func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var option error
			err := raw.Control(func(fd uintptr) {
				option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(err, option)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

func (c *Conns) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}
