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

// Receiver takes in what peers send. Its functions may be called at the same time.
type Receiver struct {
	// Message takes in one envelope.
	Message func(m bbmsg.FromPeer, stamp bbevent.Stamp)
	// Probe takes in a probe; the reply comes later through Server.Reply.
	Probe func(p bbmsg.Probe)
	// Stamp returns the present hybrid logical time.
	Stamp func() bbevent.Stamp
	// Blocked tells whether a peer is cut off; nil means never.
	Blocked func(peer string) bool
}

// Server answers the calls of peers.
type Server struct {
	incarnation uint64
	receiver    Receiver

	mu sync.Mutex
	// senders has the sequence number up to which everything was taken in from each
	// process, for at most maxProcesses of each peer, newest last.
	senders map[string][]senderState
	// probes has the probes that wait for a reply, at most maxWaitingProbes.
	probes map[probeKey]chan bbmsg.ProbeReply
}

// senderState is what was received from one process of a peer.
type senderState struct {
	incarnation uint64
	// received is the sequence number up to which everything was taken in.
	received uint64
}

// maxProcesses bounds the processes of one peer that are told apart. A batch of an
// earlier process can still be on its way when the present one sends.
const maxIncarnations = 8

// probeKey names a probe.
type probeKey struct {
	from        string
	incarnation uint64
	sequence    uint64
}

const (
	// probeWait bounds the time in which the core must answer a probe.
	probeTimeout = 500 * time.Millisecond
	// maxWaitingProbes bounds the probes in hand; more are refused.
	maxPendingProbes = 1024
	// maxMessageBytes bounds a batch.
	maxMessageBytes = 16 << 20
	// keepaliveTime and keepaliveTimeout close connections that went silent.
	keepaliveTime    = 5 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// Listen starts to answer peers on an address. The clean-up function closes all
// connections at once.
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

// Reply gives the core's answer to the probe that waits for it, if it still does.
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

// probe answers one probe.
func (s *Server) probe(ctx context.Context, p *bbmsg.Probe) (*bbmsg.ProbeReply, error) {
	if s.blocked(p.From) {
		return nil, status.Error(codes.Unavailable, "cut off")
	}
	key := probeKey{
		from:        p.From,
		incarnation: p.Incarnation,
		sequence:    p.Sequence,
	}
	c := make(chan bbmsg.ProbeReply, 1)
	if !s.addProbe(key, c) {
		return nil, status.Error(codes.ResourceExhausted, "too many probes")
	}
	defer s.removeProbe(key)
	s.receiver.Probe(*p)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	select {
	case reply := <-c:
		return &reply, nil
	case <-ctx.Done():
		return nil, status.Error(codes.DeadlineExceeded, "no reply in time")
	}
}

// addProbe notes a waiting probe, and returns false when there are too many.
func (s *Server) addProbe(key probeKey, c chan bbmsg.ProbeReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.probes) >= maxPendingProbes {
		return false
	}
	s.probes[key] = c
	return true
}

// removeProbe forgets a waiting probe.
func (s *Server) removeProbe(key probeKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.probes, key)
}

// link takes in batches until the stream ends.
func (s *Server) link(stream grpc.ServerStream) error {
	for {
		b := new(bbmsg.Batch)
		if err := stream.RecvMsg(b); err != nil {
			return err
		}
		if s.blocked(b.From) {
			return status.Error(codes.Unavailable, "cut off")
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

// take passes on the envelopes that are new and returns the last sequence number.
// The lock is held meanwhile, so that two streams of one peer keep the order.
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

// state returns what was received from a process, and makes it for a new one.
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

// blocked tells whether a peer is cut off.
func (s *Server) blocked(peer string) bool {
	return s.receiver.Blocked != nil && s.receiver.Blocked(peer)
}
