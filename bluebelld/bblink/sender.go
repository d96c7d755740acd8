package bblink

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// SenderSettings configure a Sender.
type SenderSettings struct {
	// From and Incarnation identify the sending process.
	From        string
	Incarnation uint64
	// To is the peer's name and Address its host:port.
	To      string
	Address string
	// Stamp returns the current hybrid logical time.
	Stamp func() bbevent.Stamp
	// Event records link events: silent and replaced connections and queue overflows.
	Event func(e bbevent.Event)
	// Reply is called with each reply to a probe.
	Reply func(r bbmsg.ProbeReply)
	// Blocked returns true while traffic to the peer is blocked to simulate a partition; nil
	// means never.
	Blocked func(peer string) bool
}

// Sender sends messages to one peer. Messages stay in a bounded queue until they are
// acknowledged and are retransmitted on a new connection when the current one fails or goes
// silent.
type Sender struct {
	settings SenderSettings

	mu sync.Mutex
	// queue has the unacknowledged messages, in order.
	queue []queuedMessage
	// nextSequence is the sequence number of the next message; the first is 1.
	nextSequence uint64
	// sentOnStream is the last sequence number sent on the current stream.
	sentOnStream uint64
	// highestSent is the highest sequence number sent on any stream.
	highestSent uint64
	// peerIncarnation is the incarnation of the receiving process, 0 before the first
	// acknowledgement.
	peerIncarnation uint64
	// lastProgress is the latest of three times: the last acknowledgement, the start of the
	// current stream, and the last time a message was added to an empty queue.
	lastProgress time.Time
	// conn is the current connection, nil while there is none.
	conn *grpc.ClientConn
	// failedProbes counts the probes that failed in a row on the current connection.
	failedProbes int

	wake chan struct{}
	stop context.CancelFunc
	done chan struct{}
}

// queuedMessage is a message with its sequence number.
type queuedMessage struct {
	sequence uint64
	envelope bbmsg.Envelope
}

const (
	// maxQueue bounds the unacknowledged messages for one peer.
	maxQueue = 16384
	// maxBatch bounds the messages of one batch.
	maxBatch = 128
	// ackTimeout is how long sent messages may go without any acknowledgement before the
	// connection is replaced.
	ackTimeout = 800 * time.Millisecond
	// shortestReconnect and longestReconnect bound the backoff between two connections.
	shortestReconnect = 20 * time.Millisecond
	longestReconnect  = 500 * time.Millisecond
	// maxFailedProbes is the number of probes failed in a row at which the connection is
	// replaced.
	maxFailedProbes = 3
)

// NewSender starts a sender. The clean-up function stops it and discards its queue.
func NewSender(s SenderSettings) (*Sender, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Sender{
		settings:     s,
		nextSequence: 1,
		wake:         make(chan struct{}, 1),
		stop:         cancel,
		done:         make(chan struct{}),
	}
	go r.run(ctx)
	return r, r.close
}

// close stops the sender and waits until its goroutine has ended.
func (s *Sender) close() {
	s.stop()
	<-s.done
}

// Enqueue adds a message without blocking. When the queue is full it drops the oldest
// message; the core requests missing messages again.
func (s *Sender) Enqueue(e bbmsg.Envelope) {
	s.mu.Lock()
	if len(s.queue) == 0 {
		s.lastProgress = time.Now()
	}
	overflow := len(s.queue) >= maxQueue
	if overflow {
		s.queue = s.queue[1:]
	}
	s.queue = append(s.queue, queuedMessage{
		sequence: s.nextSequence,
		envelope: e,
	})
	s.nextSequence++
	s.mu.Unlock()
	if overflow {
		s.event(bbevent.LinkOverflow, "oldest message dropped")
	}
	s.wakeUp()
}

// Pending returns the number of unacknowledged messages.
func (s *Sender) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// wakeUp wakes the send loop if it waits.
func (s *Sender) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// event records an event of this link.
func (s *Sender) event(number bbevent.Number, detail string) {
	s.settings.Event(bbevent.Event{
		Number: number,
		Peer:   s.settings.To,
		Detail: detail,
	})
}

// run opens one connection after another, with exponential backoff, until the sender is
// closed. A connection that lasted longer than longestReconnect resets the backoff.
func (s *Sender) run(ctx context.Context) {
	defer close(s.done)
	wait := shortestReconnect
	for ctx.Err() == nil {
		began := time.Now()
		s.session(ctx)
		if time.Since(began) > longestReconnect {
			wait = shortestReconnect
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, longestReconnect)
	}
}

// session sends over one new connection until it fails, goes silent or is blocked.
func (s *Sender) session(ctx context.Context) {
	if s.blocked() {
		return
	}
	conn, err := s.dial()
	if err != nil {
		return
	}
	s.setConn(conn)
	defer s.dropConn(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := conn.NewStream(ctx, &linkStream, linkMethod, grpc.CallContentSubtype(CodecName))
	if err != nil {
		return
	}
	s.resetSent()
	go s.receive(stream, cancel)
	s.sendBatches(ctx, stream)
}

// dial creates a client connection that only this sender uses.
func (s *Sender) dial() (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+s.settings.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    10 * time.Second,
			Timeout: keepaliveTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
}

// setConn records a new connection as the current one.
func (s *Sender) setConn(conn *grpc.ClientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	s.failedProbes = 0
}

// dropConn closes a connection and clears it if it is the current one.
func (s *Sender) dropConn(conn *grpc.ClientConn) {
	s.mu.Lock()
	if s.conn == conn {
		s.conn = nil
	}
	s.mu.Unlock()
	_ = conn.Close()
}

// resetSent makes all unacknowledged messages due for sending on the new stream.
func (s *Sender) resetSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentOnStream = 0
	s.lastProgress = time.Now()
	s.wakeUp()
}

// receive processes acknowledgements until the stream ends.
func (s *Sender) receive(stream grpc.ClientStream, cancel context.CancelFunc) {
	defer cancel()
	for {
		ack := new(bbmsg.BatchAck)
		if err := stream.RecvMsg(ack); err != nil {
			return
		}
		s.acknowledge(ack)
	}
}

// acknowledge drops the messages that have arrived. When the peer's incarnation has changed,
// it also drops all messages that were ever sent: they were meant for the earlier process,
// whose state the new one doesn't have.
func (s *Sender) acknowledge(ack *bbmsg.BatchAck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	upTo := ack.Received
	if s.peerIncarnation != 0 && s.peerIncarnation != ack.Incarnation {
		upTo = max(upTo, s.highestSent)
	}
	s.peerIncarnation = ack.Incarnation
	for len(s.queue) > 0 && s.queue[0].sequence <= upTo {
		s.queue = s.queue[1:]
	}
	s.lastProgress = time.Now()
}

// sendBatches sends batches until the stream fails, goes silent or is blocked.
func (s *Sender) sendBatches(ctx context.Context, stream grpc.ClientStream) {
	ticker := time.NewTicker(ackTimeout / 4)
	defer ticker.Stop()
	for {
		for {
			b, ok := s.batch()
			if !ok {
				break
			}
			if err := stream.SendMsg(b); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.C:
			if s.stalled() {
				s.event(bbevent.LinkSilent, "no acknowledgement or probe reply in time")
				s.event(bbevent.LinkReplaced, s.settings.Address)
				return
			}
		}
		if s.blocked() {
			return
		}
	}
}

// batch returns the next messages to send, and false when there are none.
func (s *Sender) batch() (*bbmsg.Batch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &bbmsg.Batch{
		From:        s.settings.From,
		Incarnation: s.settings.Incarnation,
		Stamp:       s.settings.Stamp(),
	}
	for _, m := range s.queue {
		if m.sequence <= s.sentOnStream {
			continue
		}
		if len(b.Envelopes) == maxBatch {
			break
		}
		if len(b.Envelopes) == 0 {
			b.First = m.sequence
		}
		b.Envelopes = append(b.Envelopes, m.envelope)
	}
	if len(b.Envelopes) == 0 {
		return nil, false
	}
	s.sentOnStream = b.First + uint64(len(b.Envelopes)) - 1
	s.highestSent = max(s.highestSent, s.sentOnStream)
	return b, true
}

// stalled returns true when the connection has gone silent: too many probes failed in a row,
// or sent messages have waited longer than ackTimeout without any acknowledgement.
func (s *Sender) stalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedProbes >= maxFailedProbes {
		return true
	}
	waiting := len(s.queue) > 0 && s.queue[0].sequence <= s.sentOnStream
	return waiting && time.Since(s.lastProgress) > ackTimeout
}

// blocked returns true while traffic to the peer is blocked.
func (s *Sender) blocked() bool {
	return s.settings.Blocked != nil && s.settings.Blocked(s.settings.To)
}

// Probe sends a probe once, on the current connection, and passes the reply to the Reply
// function. Without a connection the probe is dropped.
func (s *Sender) Probe(p bbmsg.Probe) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil || s.blocked() {
		return
	}
	go s.probe(conn, p)
}

// probe makes the unary call of one probe.
func (s *Sender) probe(conn *grpc.ClientConn, p bbmsg.Probe) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	reply := new(bbmsg.ProbeReply)
	err := conn.Invoke(ctx, probeMethod, &p, reply, grpc.CallContentSubtype(CodecName))
	s.recordProbe(conn, err == nil)
	if err == nil && !s.blocked() {
		s.settings.Reply(*reply)
	}
}

// recordProbe counts the probes that failed in a row, unless the connection was replaced.
func (s *Sender) recordProbe(conn *grpc.ClientConn, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != conn {
		return
	}
	s.failedProbes++
	if answered {
		s.failedProbes = 0
	}
}
