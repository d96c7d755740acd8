package bbgateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bluebellhall/core/bbjob"
)

// halfClose sends a request on a connection of its own and closes the caller's direction of it, as soon as reached
// is closed and the answer has begun with the given text. It returns what else arrives until the connection ends.
func halfClose(t *testing.T, url, path string, reached <-chan struct{}, begins string) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	<-reached
	b := bufio.NewReader(conn)
	for seen := ""; !strings.HasSuffix(seen, begins); {
		c, err := b.ReadByte()
		if err != nil {
			t.Fatalf("%v after %q, want an answer with %q", err, seen, begins)
		}
		seen += string(c)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// A reset ends the answer as well as a close.
	rest, _ := io.ReadAll(b)
	return string(rest)
}

// newSilentEndpoint returns an endpoint that answers with a text and then nothing more. The channel is closed once it
// has got a request.
func newSilentEndpoint(t *testing.T, text string) (*stubEndpoint, <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	reached := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		b := bufio.NewReader(conn)
		if _, err := http.ReadRequest(b); err != nil {
			t.Error(err)
			return
		}
		io.WriteString(conn, text)
		close(reached)
		io.Copy(io.Discard, b)
	}()
	return &stubEndpoint{
		address: l.Addr().String(),
	}, reached
}

// wantNothing checks that a caller gets nothing more.
func wantNothing(t *testing.T, rest string) {
	t.Helper()
	if rest != "" {
		t.Errorf("the caller gets %q, want the connection to be closed", rest)
	}
}

// Callers that closed their direction of the connection before the answer, and still read, got an empty 200 that no
// endpoint had given (review/2).
func TestCallerThatClosesItsDirectionGetsNoInventedAnswer(t *testing.T) {
	for _, path := range []string{"/once/", "/read/", "/stream/", "/resume/"} {
		t.Run("before the answer to "+path, func(t *testing.T) {
			e, reached := newSilentEndpoint(t, "")
			_, url := newFixture(t, e)
			wantNothing(t, halfClose(t, url, path, reached, ""))
		})
	}
	for _, path := range []string{"/once/", "/read/"} {
		t.Run("inside the answer to "+path, func(t *testing.T) {
			e, reached := newSilentEndpoint(t, strings.TrimSuffix(answerCut, "done"))
			_, url := newFixture(t, e)
			wantNothing(t, halfClose(t, url, path, reached, ""))
		})
	}
	for _, path := range []string{"/stream/", "/resume/"} {
		t.Run("inside the stream of "+path, func(t *testing.T) {
			e, reached := newSilentEndpoint(t, stream("id: 1\ndata: a\n\n"))
			_, url := newFixture(t, e)
			wantNothing(t, halfClose(t, url, path, reached, "data: a\n\n\r\n"))
		})
	}
	t.Run("while the request waits for an engine", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerOK))
		reached := make(chan struct{})
		f.gateway.hooks.Order = func(ctx context.Context, _ bbjob.Order) (bbjob.Verdict, string, error) {
			close(reached)
			<-ctx.Done()
			return bbjob.Verdict{}, "", ctx.Err()
		}
		wantNothing(t, halfClose(t, url, "/stream/", reached, ""))
	})
	t.Run("while the request waits for a permit", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerOK))
		reached := make(chan struct{})
		f.gateway.hooks.Permit = func(ctx context.Context, _ string) bool {
			close(reached)
			<-ctx.Done()
			return false
		}
		// It has not run, and that may be said.
		if rest := halfClose(t, url, "/once/", reached, ""); !strings.HasPrefix(rest, "HTTP/1.1 503 ") {
			t.Errorf("the caller gets %q, want a refusal", rest)
		}
	})
}
