package bbchannel

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// uploadBytes is longer than the buffers of a connection.
const uploadBytes = 4 << 20

// answerEarly reads the beginning of a request, writes an answer and ends the connection with a function.
func answerEarly(answer string, end func(conn *net.TCPConn)) func(conn net.Conn) {
	return func(conn net.Conn) {
		if _, err := io.ReadFull(conn, make([]byte, 200)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		end(conn.(*net.TCPConn))
	}
}

// resetAfter returns a function that resets a connection after a delay.
func resetAfter(delay time.Duration) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(delay)
		conn.SetLinger(0)
		conn.Close()
	}
}

// upload makes an exchange with a long body. It waits before it reads the body of the answer, and returns that and
// the error of reading it.
func upload(t *testing.T, address string, wait time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
	defer cancel()
	a, cleanup, err := Exchange(ctx, address, request(strings.Repeat("x", uploadBytes)))
	if err != nil {
		return "", err
	}
	defer cleanup()
	time.Sleep(wait)
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// Regression: a reset during the upload was reported to the write only, so that the body seemed to end in order.
func TestResetDuringTheUploadIsAnError(t *testing.T) {
	for _, delay := range []time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond} {
		for _, wait := range []time.Duration{0, 80 * time.Millisecond} {
			t.Run("reset after "+delay.String()+", read after "+wait.String(), func(t *testing.T) {
				address := endpoint(t, answerEarly("HTTP/1.1 200 OK\r\n\r\npartial", resetAfter(delay)))
				for range 5 {
					if body, err := upload(t, address, wait); err == nil {
						t.Errorf("body %q counts as complete, though the connection was reset", body)
					}
				}
			})
		}
	}
}

// The end of the upload doesn't matter to an answer whose own end has arrived.
func TestAnswerThatEndsDuringTheUploadIsComplete(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\nok"
	for name, c := range map[string]struct {
		answer string
		end    func(conn *net.TCPConn)
	}{
		"length, reset":       {"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nok", resetAfter(0)},
		"chunks, reset":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", resetAfter(0)},
		"length, reset later": {"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nok", resetAfter(30 * time.Millisecond)},
		"length, closed reading side": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", func(conn *net.TCPConn) {
			conn.CloseRead()
			time.Sleep(30 * time.Millisecond)
		}},
		"connection, read on later": {unframed, func(conn *net.TCPConn) {
			conn.CloseWrite()
			time.Sleep(30 * time.Millisecond)
			io.Copy(io.Discard, conn)
		}},
		"connection, read to the end": {unframed, func(conn *net.TCPConn) {
			io.CopyN(io.Discard, conn, uploadBytes-200)
			conn.CloseWrite()
			io.Copy(io.Discard, conn)
		}},
		"connection, reset after its end": {unframed, func(conn *net.TCPConn) {
			conn.CloseWrite()
			resetAfter(30 * time.Millisecond)(conn)
		}},
		"connection, blocked": {unframed, func(conn *net.TCPConn) {
			conn.CloseWrite()
			time.Sleep(300 * time.Millisecond)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			address := endpoint(t, answerEarly(c.answer, c.end))
			for _, wait := range []time.Duration{0, 60 * time.Millisecond} {
				if body, err := upload(t, address, wait); err != nil || body != "ok" {
					t.Errorf("read after %v: body %q, error %v; want ok", wait, body, err)
				}
			}
		})
	}
}
