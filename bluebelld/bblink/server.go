package bblink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// Receiver has the functions that process what peers send. They may be called concurrently.
type Receiver struct {
	// Message receives one envelope and the stamp of its batch.
	Message func(m bbmsg.FromPeer, stamp bbevent.Stamp)
	// Probe receives a probe; the reply comes later through Server.Reply.
	Probe func(p bbmsg.Probe)
	// Stamp returns the current hybrid logical time.
	Stamp func() bbevent.Stamp
	// Blocked returns true while traffic from a peer is blocked to simulate a partition; nil
	// means never.
	Blocked func(peer string) bool
}

// Server handles the calls of peers.
type Server struct {
	incarnation uint64
	receiver    Receiver

	mu sync.Mutex
	// senders has the receive state of each process by the peer's name: at most
	// maxIncarnations for each peer, the process first heard from latest last.
	senders map[string][]senderState
	// probes has the probes that wait for a reply, at most maxPendingProbes.
	probes map[probeKey]chan bbmsg.ProbeReply
}

// senderState is the receive state of one process of a peer.
type senderState struct {
	incarnation uint64
	// received is the sequence number up to which all envelopes have been received.
	received uint64
}

// maxIncarnations bounds the processes of one peer whose state is kept. A batch of an earlier
// process can still arrive after the current one has begun to send.
const maxIncarnations = 8

// probeKey identifies a probe.
type probeKey struct {
	from        string
	incarnation uint64
	sequence    uint64
}

const (
	// probeTimeout bounds the wait for the core's reply to a probe and, at the sender, the
	// whole call.
	probeTimeout = 500 * time.Millisecond
	// maxPendingProbes bounds the probes that wait for a reply; more are refused.
	maxPendingProbes = 1024
	// maxMessageBytes bounds a message that is received.
	maxMessageBytes = 16 << 20
	// keepaliveTime and keepaliveTimeout close connections that went silent: a server pings
	// after keepaliveTime without activity and closes without an answer in keepaliveTimeout.
	keepaliveTime    = 5 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// Listen starts to serve peers on an address. The clean-up function closes the listener and
// all connections at once.
func Listen(address string, incarnation uint64, r Receiver) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen for peers on %s", address)
	}
	s := &Server{
		incarnation: incarnation,
		receiver:    r,
		senders:     make(map[string][]senderState),
		probes:      make(map[probeKey]chan bbmsg.ProbeReply),
	}
	g := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
	)
	g.RegisterService(&serviceDesc, s)
	go func() { _ = g.Serve(listener) }()
	return s, g.Stop, nil
}

// Reply delivers the core's reply to a probe if the probe still waits for it.
func (s *Server) Reply(to string, incarnation uint64, reply bbmsg.ProbeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := probeKey{
		from:        to,
		incarnation: incarnation,
		sequence:    reply.Sequence,
	}
	if c, ok := s.probes[key]; ok {
		c <- reply
		delete(s.probes, key)
	}
}

// probe handles one probe: it passes the probe to the core and waits for the reply.
func (s *Server) probe(ctx context.Context, p *bbmsg.Probe) (*bbmsg.ProbeReply, error) {
	if s.blocked(p.From) {
		return nil, status.Error(codes.Unavailable, "link blocked by a simulated partition")
	}
	key := probeKey{
		from:        p.From,
		incarnation: p.Incarnation,
		sequence:    p.Sequence,
	}
	c := make(chan bbmsg.ProbeReply, 1)
	if !s.addProbe(key, c) {
		return nil, status.Error(codes.ResourceExhausted, "too many pending probes")
	}
	defer s.removeProbe(key)
	s.receiver.Probe(*p)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	select {
	case reply := <-c:
		return &reply, nil
	case <-ctx.Done():
		return nil, status.Error(codes.DeadlineExceeded, "no reply from the core in time")
	}
}

// addProbe registers a probe that waits for its reply; it returns false when there are too many.
func (s *Server) addProbe(key probeKey, c chan bbmsg.ProbeReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.probes) >= maxPendingProbes {
		return false
	}
	s.probes[key] = c
	return true
}

// removeProbe removes a probe, answered or not.
func (s *Server) removeProbe(key probeKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probes, key)
}

// link receives and acknowledges batches until the stream ends.
func (s *Server) link(stream grpc.ServerStream) error {
	for {
		b := new(bbmsg.Batch)
		if err := stream.RecvMsg(b); err != nil {
			return err
		}
		if s.blocked(b.From) {
			return status.Error(codes.Unavailable, "link blocked by a simulated partition")
		}
		ack := bbmsg.BatchAck{
			Incarnation: s.incarnation,
			Received:    s.receiveBatch(b),
			Stamp:       s.receiver.Stamp(),
		}
		if err := stream.SendMsg(&ack); err != nil {
			return err
		}
	}
}

// receiveBatch passes on the envelopes that are new and returns the sequence number up to which
// all have been received. It holds the lock throughout, so that two streams of one process
// deliver in order.
func (s *Server) receiveBatch(b *bbmsg.Batch) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(b.From, b.Incarnation)
	for i, e := range b.Envelopes {
		sequence := b.First + uint64(i)
		if sequence <= state.received {
			continue
		}
		state.received = sequence
		s.receiver.Message(bbmsg.FromPeer{
			From:        b.From,
			Incarnation: b.Incarnation,
			Envelope:    e,
		}, b.Stamp)
	}
	return state.received
}

// state returns the receive state of a process, a new one if there is none yet. When the peer
// has maxIncarnations, the oldest is dropped. The caller holds the lock.
func (s *Server) state(from string, incarnation uint64) *senderState {
	known := s.senders[from]
	for i := range known {
		if known[i].incarnation == incarnation {
			return &known[i]
		}
	}
	if len(known) == maxIncarnations {
		known = known[1:]
	}
	known = append(known, senderState{
		incarnation: incarnation,
	})
	s.senders[from] = known
	return &known[len(known)-1]
}

// blocked returns true while traffic from a peer is blocked.
func (s *Server) blocked(peer string) bool {
	return s.receiver.Blocked != nil && s.receiver.Blocked(peer)
}
