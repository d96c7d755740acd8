package bbbackend

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"bluebellhall/core/bbmsg"
)

// earlyEndpoint starts an endpoint that reads the beginning of each request, writes an answer, and resets the
// connection after a delay. It returns a call to it with a long body.
func earlyEndpoint(t *testing.T, answer string, delay time.Duration) bbmsg.EndpointCall {
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
				conn.(*net.TCPConn).SetLinger(0)
				if _, err := io.ReadFull(conn, make([]byte, 200)); err != nil {
					return
				}
				io.WriteString(conn, answer)
				time.Sleep(delay)
			}()
		}
	}()
	return bbmsg.EndpointCall{
		Call:          1,
		Address:       l.Addr().String(),
		Kind:          "plain",
		Path:          "v1/run",
		Body:          bytes.Repeat([]byte("x"), 4<<20),
		TimeoutMillis: testWait.Milliseconds(),
	}
}

// Regression: a reset during the upload was reported to the write only, so that the body seemed to end in order.
func TestCallResetDuringTheUploadIsBroken(t *testing.T) {
	for _, once := range []bool{false, true} {
		for _, delay := range []time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(map[bool]string{false: "repeatable", true: "once"}[once]+", reset after "+delay.String(), func(t *testing.T) {
				e := earlyEndpoint(t, "HTTP/1.1 200 OK\r\n\r\npartial", delay)
				e.Once = once
				for range 20 {
					checkKind(t, run(t, e, time.Now()), bbmsg.UpdateBroken)
				}
			})
		}
	}
}
