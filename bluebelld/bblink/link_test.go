package bblink

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// testWait bounds the waits of the tests; it is no bound on the links.
const testWait = 30 * time.Second

// inbox collects what a server takes in.
type inbox struct {
	mu  sync.Mutex
	ids []string
}

func (b *inbox) message(m bbmsg.FromPeer, _ bbevent.Stamp) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids = append(b.ids, m.Envelope.Detach.ID)
}

func (b *inbox) list() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.ids...)
}

// listen starts a server with an inbox.
func listen(t *testing.T, address string, incarnation uint64) *inbox {
	t.Helper()
	b := &inbox{}
	_, cleanup, err := Listen(address, incarnation, Receiver{
		Message: b.message,
		Probe:   func(bbmsg.Probe) {},
		Stamp:   func() bbevent.Stamp { return 1 },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return b
}

// connect starts a sender whose events are counted by number.
func connect(t *testing.T, address string) (*Sender, func(bbevent.Number) int) {
	t.Helper()
	var mu sync.Mutex
	counts := make(map[bbevent.Number]int)
	s, cleanup := NewSender(SenderSettings{
		From:        "a",
		Incarnation: 7,
		To:          "b",
		Address:     address,
		Stamp:       func() bbevent.Stamp { return 1 },
		Event: func(e bbevent.Event) {
			mu.Lock()
			defer mu.Unlock()
			counts[e.Number]++
		},
		Reply: func(bbmsg.ProbeReply) {},
	})
	t.Cleanup(cleanup)
	return s, func(number bbevent.Number) int {
		mu.Lock()
		defer mu.Unlock()
		return counts[number]
	}
}

// send enqueues messages numbered from first to last and returns their ids.
func send(s *Sender, first, last int) []string {
	var ids []string
	for i := first; i <= last; i++ {
		id := fmt.Sprint(i)
		ids = append(ids, id)
		s.Enqueue(bbmsg.Envelope{
			Detach: &bbmsg.Detach{
				ID: id,
			},
		})
	}
	return ids
}

// checkDelivered waits until all is acknowledged and compares what arrived.
func checkDelivered(t *testing.T, s *Sender, b *inbox, want []string) {
	t.Helper()
	waitFor(t, func() bool { return s.Pending() == 0 })
	if diff := cmp.Diff(want, b.list()); diff != "" {
		t.Errorf("delivered messages (-want +got):\n%s", diff)
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testWait); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition does not come true")
		}
	}
}

func TestLink(t *testing.T) {
	t.Run("delivers each message once and in order", func(t *testing.T) {
		r := newRelay(t)
		b := listen(t, r.target, 1)
		s, _ := connect(t, r.address)
		checkDelivered(t, s, b, send(s, 1, 500))
	})
	t.Run("replaces a connection that went silent", func(t *testing.T) {
		r := newRelay(t)
		b := listen(t, r.target, 1)
		s, events := connect(t, r.address)
		want := send(s, 1, 50)
		waitFor(t, func() bool { return len(b.list()) > 0 })
		r.silence()
		want = append(want, send(s, 51, 100)...)
		checkDelivered(t, s, b, want)
		if events(bbevent.LinkSilent) == 0 {
			t.Error("the link did not notice the silence by itself")
		}
	})
	t.Run("does not give a new process what went to the old one", func(t *testing.T) {
		s := &Sender{
			nextSequence: 1,
			wake:         make(chan struct{}, 1),
			settings: SenderSettings{
				Stamp: func() bbevent.Stamp { return 1 },
			},
		}
		send(s, 1, 3)
		s.batch()
		send(s, 4, 5)
		s.acknowledge(&bbmsg.BatchAck{Incarnation: 1, Received: 1})
		s.acknowledge(&bbmsg.BatchAck{Incarnation: 2, Received: 0})
		checkQueue(t, s, []string{"4", "5"})
	})
	t.Run("drops the oldest message when the queue is full", func(t *testing.T) {
		overflows := 0
		s := &Sender{
			nextSequence: 1,
			wake:         make(chan struct{}, 1),
			settings: SenderSettings{
				Event: func(bbevent.Event) { overflows++ },
			},
		}
		ids := send(s, 1, maxQueue+2)
		checkQueue(t, s, ids[2:])
		if overflows != 2 {
			t.Errorf("got %d events, want 2", overflows)
		}
	})
}

func checkQueue(t *testing.T, s *Sender, want []string) {
	t.Helper()
	var got []string
	for _, q := range s.queue {
		got = append(got, q.envelope.Detach.ID)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("queue (-want +got):\n%s", diff)
	}
}

func TestTakeDropsRepeats(t *testing.T) {
	b := &inbox{}
	s := &Server{
		senders: make(map[string][]senderState),
		receiver: Receiver{
			Message: b.message,
		},
	}
	batch := func(incarnation, first uint64, ids ...string) *bbmsg.Batch {
		m := &bbmsg.Batch{From: "a", Incarnation: incarnation, First: first}
		for _, id := range ids {
			m.Envelopes = append(m.Envelopes, bbmsg.Envelope{Detach: &bbmsg.Detach{ID: id}})
		}
		return m
	}
	s.receiveBatch(batch(1, 1, "1", "2"))
	s.receiveBatch(batch(1, 1, "1", "2", "3"))
	s.receiveBatch(batch(2, 1, "new process"))
	s.receiveBatch(batch(1, 1, "1", "2", "3"))
	s.receiveBatch(batch(2, 1, "new process"))
	want := []string{"1", "2", "3", "new process"}
	if diff := cmp.Diff(want, b.list()); diff != "" {
		t.Errorf("delivered messages (-want +got):\n%s", diff)
	}
}

// relay passes connections on and can make the present ones silent for good.
type relay struct {
	address string
	target  string
	mu      sync.Mutex
	silent  []*bool
}

// newRelay starts a relay to a free port.
func newRelay(t *testing.T) *relay {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{target: free.Addr().String()}
	_ = free.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r.address = l.Addr().String()
	go r.accept(l)
	return r
}

func (r *relay) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		quiet := new(bool)
		r.mu.Lock()
		r.silent = append(r.silent, quiet)
		r.mu.Unlock()
		go r.pump(out, in, quiet)
		go r.pump(in, out, quiet)
	}
}

// pump copies until an end, or swallows everything once the connection is silent.
func (r *relay) pump(to io.WriteCloser, from io.Reader, quiet *bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		r.mu.Lock()
		swallow := *quiet
		r.mu.Unlock()
		if err != nil && !swallow {
			_ = to.Close()
		}
		if err != nil {
			return
		}
		if !swallow {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// silence makes the present connections silent.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.silent {
		*q = true
	}
}
