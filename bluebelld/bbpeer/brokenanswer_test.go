package bbpeer

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"bluebellhall/core/bbjob"
)

// callTimeout bounds the calls of the tests.
const callTimeout = 20 * time.Second

// serveRaw serves each connection to a new address with a function, and returns the address.
func serveRaw(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// resetAfter returns the address of a proxy that resets each connection after the given part of the answer.
func resetAfter(t *testing.T, address string, bytes int64) string {
	t.Helper()
	return serveRaw(t, func(conn *net.TCPConn) {
		inner, err := net.Dial("tcp", address)
		if err != nil {
			t.Error(err)
			return
		}
		defer inner.Close()
		go io.Copy(inner, conn)
		io.CopyN(conn, inner, bytes)
		conn.SetLinger(0)
	})
}

// wantNoAnswer checks that all calls to an address fail.
func wantNoAnswer(t *testing.T, address string, e Exchange) {
	t.Helper()
	conns, cleanup := NewConns()
	defer cleanup()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	if answer, err := conns.Exchange(ctx, address, e); err == nil {
		t.Errorf("exchange with %d states counts as answered", len(answer.States))
	}
	err := conns.Order(ctx, address, bbjob.Order{}, func() {}, func(u bbjob.Update) error {
		t.Errorf("update %+v of an order", u)
		return nil
	})
	if err == nil {
		t.Error("order counts as answered")
	}
}

func TestPeerAnswerThatIsResetIsAnError(t *testing.T) {
	long := Exchange{
		States: make([]uint64, 100_000),
	}
	for i := range long.States {
		long.States[i] = 1<<63 + uint64(i)
	}
	address := freeAddress(t)
	stop, err := Listen(address, Handlers{
		Exchange: func(Exchange) Exchange { return long },
		Order: func(ctx context.Context, _ bbjob.Order, _ func(u bbjob.Update) error) error {
			<-ctx.Done()
			return ctx.Err()
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	const whole = 1 << 30
	for _, bytes := range []int64{0, 9, 100, 10_000, 500_000, whole} {
		t.Run(fmt.Sprint("after ", bytes, " bytes"), func(t *testing.T) {
			conns, cleanup := NewConns()
			defer cleanup()
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			answer, err := conns.Exchange(ctx, resetAfter(t, address, bytes), long)
			if answered := err == nil; answered != (bytes == whole) {
				t.Errorf("exchange with %d states, error %v; want it answered: %t", len(answer.States), err, bytes == whole)
			}
		})
	}
}

func TestPeerAnswerOfHTTP1IsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "200", "600", "1000", "OK"} {
		t.Run(status, func(t *testing.T) {
			wantNoAnswer(t, serveRaw(t, func(conn *net.TCPConn) {
				io.ReadFull(conn, make([]byte, 24))
				io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Type: application/grpc\r\nContent-Length: 5\r\n\r\n\x00\x00\x00\x00\x00")
				io.Copy(io.Discard, conn)
			}), Exchange{})
		})
	}
}
