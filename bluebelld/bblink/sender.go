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

// SenderSettings name both ends of a link.
type SenderSettings struct {
	// From and Incarnation name the sending process.
	From        string
	Incarnation uint64
	// To is the peer's name and Address its host:port.
	To      string
	Address string
	// Stamp returns the present hybrid logical time.
	Stamp func() bbevent.Stamp
	// Event reports silent and replaced connections and overflows.
	Event func(e bbevent.Event)
	// Reply takes in probe replies.
	Reply func(r bbmsg.ProbeReply)
	// Blocked tells whether the peer is cut off; nil means never.
	Blocked func(peer string) bool
}

// Sender sends to one peer. Messages wait in a bounded queue until they are
// acknowledged and are sent again on a fresh connection when one fails or goes silent.
type Sender struct {
	settings SenderSettings

	mu sync.Mutex
	// queue has the messages that are not acknowledged, in order.
	queue []queuedMessage
	// next is the sequence number of the next message, from 1.
	nextSequence uint64
	// sent is the sequence number up to which messages went out on the present stream.
	sentOnStream uint64
	// ever is the sequence number up to which messages ever went out.
	highestSent uint64
	// peer is the incarnation of the receiving process, 0 before the first answer.
	peerIncarnation uint64
	// progress is when the last acknowledgement came or the oldest wait began.
	lastProgress time.Time
	// conn is the present connection, nil between two.
	conn *grpc.ClientConn
	// silent counts probes without an answer on the present connection.
	failedProbes int

	wake chan struct{}
	stop context.CancelFunc
	done chan struct{}
}

// queued is a message with its sequence number.
type queuedMessage struct {
	sequence uint64
	envelope bbmsg.Envelope
}

const (
	// maxQueue bounds the messages that wait for one peer.
	maxQueue = 16384
	// maxBatch bounds the messages of one batch.
	maxBatch = 128
	// silenceTime is how long a batch may wait for its acknowledgement.
	ackTimeout = 800 * time.Millisecond
	// shortestReconnect and longestReconnect bound the wait between two connections.
	shortestReconnect = 20 * time.Millisecond
	longestReconnect  = 500 * time.Millisecond
	// silentProbes is how many probes may fail before the connection is replaced.
	maxFailedProbes = 3
)

// NewSender starts a sender. The clean-up function ends it and drops its queue.
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

// close ends the sender and waits for it.
func (s *Sender) close() {
	s.stop()
	<-s.done
}

// Enqueue adds a message and never waits. When the queue is full the oldest message
// is dropped; the core asks for what it misses.
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

// Pending returns the number of messages that are not acknowledged.
func (s *Sender) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// poke wakes the sending loop.
func (s *Sender) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// event reports an event of this link.
func (s *Sender) event(number bbevent.Number, detail string) {
	s.settings.Event(bbevent.Event{
		Number: number,
		Peer:   s.settings.To,
		Detail: detail,
	})
}

// run keeps a stream to the peer until the sender is closed.
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

// session runs one fresh connection until it fails or goes silent.
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

// dial makes a connection of its own, which nothing else shares.
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

// setConn makes a connection the present one.
func (s *Sender) setConn(conn *grpc.ClientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	s.failedProbes = 0
}

// dropConn closes a connection.
func (s *Sender) dropConn(conn *grpc.ClientConn) {
	s.mu.Lock()
	if s.conn == conn {
		s.conn = nil
	}
	s.mu.Unlock()
	_ = conn.Close()
}

// restart makes all unacknowledged messages due for sending.
func (s *Sender) resetSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentOnStream = 0
	s.lastProgress = time.Now()
	s.wakeUp()
}

// receive takes in acknowledgements until the stream ends.
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

// acknowledge drops the messages that have arrived. When the receiving process is a
// new one, messages that went to the old one are dropped as well: they were meant
// for a memory that is gone.
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

// pump sends batches until the stream fails or goes silent.
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
				s.event(bbevent.LinkSilent, "no acknowledgement in time")
				s.event(bbevent.LinkReplaced, s.settings.Address)
				return
			}
		}
		if s.blocked() {
			return
		}
	}
}

// batch returns the next messages to send.
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

// quiet tells whether the connection has gone silent.
func (s *Sender) stalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedProbes >= maxFailedProbes {
		return true
	}
	waiting := len(s.queue) > 0 && s.queue[0].sequence <= s.sentOnStream
	return waiting && time.Since(s.lastProgress) > ackTimeout
}

// blocked tells whether the peer is cut off.
func (s *Sender) blocked() bool {
	return s.settings.Blocked != nil && s.settings.Blocked(s.settings.To)
}

// Probe sends a probe once, on the present connection, and passes on the reply.
// Without a connection the probe is lost.
func (s *Sender) Probe(p bbmsg.Probe) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil || s.blocked() {
		return
	}
	go s.probe(conn, p)
}

// probe makes the call of one probe.
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

// noteProbe counts failed probes of a connection in a row.
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
