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

// Regression: a client error whose body broke off ended the call with that part of it.
func TestErrorThatBreaksOffIsBroken(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   bbmsg.CallUpdateKind
	}{
		"length":               {"HTTP/1.1 413 Large\r\nContent-Length: 99\r\n\r\npartial", bbmsg.UpdateBroken},
		"chunks":               {"HTTP/1.1 413 Large\r\nTransfer-Encoding: chunked\r\n\r\n7\r\npartial\r\n", bbmsg.UpdateBroken},
		"connection":           {"HTTP/1.1 413 Large\r\n\r\npartial", bbmsg.UpdateBroken},
		"server error":         {"HTTP/1.1 500 Failed\r\nContent-Length: 99\r\n\r\npartial", bbmsg.UpdateBroken},
		"whole":                {"HTTP/1.1 413 Large\r\nContent-Length: 5\r\n\r\nwhole", bbmsg.UpdateFailed},
		"not run, by its head": {"HTTP/1.1 429 Full\r\nContent-Length: 99\r\n\r\npartial", bbmsg.UpdateRejected},
	} {
		t.Run(name, func(t *testing.T) {
			e := earlyEndpoint(t, c.answer, 20*time.Millisecond)
			for range 5 {
				checkKind(t, run(t, e, time.Now()), c.want)
			}
		})
	}
}
