package bbchannel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// endpoint starts a listener that serves each connection with a function, and returns its address.
func endpoint(t *testing.T, serve func(conn net.Conn)) string {
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
				serve(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// respond reads the head of a request and writes a text.
func respond(text string) func(conn net.Conn) {
	return func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		io.WriteString(conn, text)
	}
}

func request(body string) *http.Request {
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Opaque: "/a%2Fb?x=1"},
		Host:          "h",
		Header:        http.Header{"User-Agent": {""}},
		Body:          io.NopCloser(strings.NewReader(body)),
		ContentLength: int64(len(body)),
	}
}

// exchange makes an exchange and returns the body and the error of reading it.
func exchange(t *testing.T, address string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, cleanup, err := Exchange(ctx, address, request("hello"))
	if err != nil {
		return "", err
	}
	defer cleanup()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func TestCompleteAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"with a length":     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"in chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"up to the close":   "HTTP/1.1 200 OK\r\n\r\nok",
		"with extra data":   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"after interim one": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := exchange(t, endpoint(t, respond(text)))
			if err != nil || body != "ok" {
				t.Errorf("body %q, error %v; want ok", body, err)
			}
		})
	}
}

func TestBrokenAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":       "",
		"no answer":     "garbage\r\n\r\n",
		"half a head":   "HTTP/1.1 200 OK\r\nContent-Le",
		"half a body":   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"half a chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
		"no last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := exchange(t, endpoint(t, respond(text)))
			if err == nil {
				t.Error("no error, want one")
			}
			if errors.Is(err, ErrUnreachable) {
				t.Errorf("error %v counts as unreachable, though the request was sent", err)
			}
		})
	}
}

func TestResetWithoutLengthIsAnError(t *testing.T) {
	address := endpoint(t, func(conn net.Conn) {
		respond("HTTP/1.1 200 OK\r\n\r\nok")(conn)
		conn.(*net.TCPConn).SetLinger(0)
	})
	if body, err := exchange(t, address); err == nil {
		t.Errorf("body %q counts as complete, though the connection was reset", body)
	}
}

func TestConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, err := exchange(t, l.Addr().String()); !errors.Is(err, ErrUnreachable) {
		t.Errorf("error %v, want ErrUnreachable", err)
	}
}

func TestAnswerBeforeALongBodyIsRead(t *testing.T) {
	address := endpoint(t, func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno")
		io.Copy(io.Discard, conn)
	})
	a, cleanup, err := Exchange(t.Context(), address, request(strings.Repeat("x", 8<<20)))
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	if a.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d, want 413", a.Status)
	}
}

func TestConnectionClosesWithTheContext(t *testing.T) {
	closed := make(chan struct{})
	address := endpoint(t, func(conn net.Conn) {
		io.Copy(io.Discard, conn)
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		time.Sleep(20 * time.Millisecond)
		cancel()
	}()
	if _, _, err := Exchange(ctx, address, request("hello")); !errors.Is(err, ErrBroken) {
		t.Errorf("error %v, want ErrBroken", err)
	}
	<-closed
}

func TestFraming(t *testing.T) {
	for head, want := range map[string]Framing{
		"Content-Length: 2\r\n\r\nok":                 FramingLength,
		"Content-Length: 0\r\n\r\n":                   FramingLength,
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n": FramingChunked,
		"\r\nok":                      FramingConnection,
		"Connection: close\r\n\r\nok": FramingConnection,
	} {
		t.Run(want.String(), func(t *testing.T) {
			answer, cleanup, err := Exchange(t.Context(), endpoint(t, respond("HTTP/1.1 200 OK\r\n"+head)), request("x"))
			if err != nil {
				t.Fatal(err)
			}
			defer cleanup()
			if answer.Framing != want {
				t.Errorf("%q has framing %v, want %v", head, answer.Framing, want)
			}
		})
	}
}
