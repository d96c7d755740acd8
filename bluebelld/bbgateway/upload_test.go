package bbgateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bluebellhall/core/bbcatalog"
)

// uploadBytes is longer than the buffers of a connection.
const uploadBytes = 4 << 20

// newEarlyEndpoint returns an endpoint that reads the beginning of each request, writes a text, and resets the
// connection after a delay.
func newEarlyEndpoint(t *testing.T, text string, delay time.Duration) *lateEndpoint {
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
				io.WriteString(conn, text)
				time.Sleep(delay)
			}()
		}
	}()
	e := new(lateEndpoint)
	e.address = l.Addr().String()
	return e
}

// allowUploads raises the limit of request bodies.
func allowUploads(f *fixture) {
	c := f.gateway.hooks.Index().Catalog
	c.Limits.BodyBytes = 2 * uploadBytes
	index := bbcatalog.NewIndex(c)
	f.gateway.hooks.Index = func() *bbcatalog.Index { return index }
}

// Regression: an answer without a length whose connection was reset during the upload was forwarded as complete.
func TestAnswerResetDuringTheUploadIsNotComplete(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nSigned: yes\r\n\r\npartial"
	upload := strings.Repeat("x", uploadBytes)
	for name, c := range map[string]struct {
		path, answer string
		// begun is what another engine has sent before; empty if there was none.
		begun  string
		hedges bool
	}{
		"once":               {path: "/once/", answer: plain},
		"idempotent":         {path: "/read/", answer: plain},
		"hedged":             {path: "/read/", answer: plain, hedges: true},
		"long":               {path: "/once/", answer: plain + strings.Repeat("x", maxBuffered)},
		"error":              {path: "/once/", answer: strings.Replace(plain, "200 OK", "500 Failed", 1)},
		"model":              {path: "/model/", answer: plain},
		"stream":             {path: "/stream/", answer: stream("id: 1\ndata: a\n\n")},
		"resumable stream":   {path: "/resume/", answer: stream("id: 1\ndata: a\n\n")},
		"resumed stream":     {path: "/resume/", answer: stream("id: 2\ndata: b\n\n"), begun: stream("id: 1\ndata: a\n\nid")},
		"error of an engine": {path: "/stream/", answer: strings.Replace(plain, "200 OK", "500 Failed", 1)},
	} {
		for _, delay := range []time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond} {
			t.Run(name+", reset after "+delay.String(), func(t *testing.T) {
				early := newEarlyEndpoint(t, c.answer, delay)
				for range 3 {
					f, url := newUploadFixture(t, c.hedges, c.begun, early)
					status, body, err := send(t, url+c.path, upload)
					if status != http.StatusBadGateway && err == nil {
						t.Errorf("answer %d with %d bytes looks complete, though the endpoint's was reset", status, len(body))
					}
					f.mu.Lock()
					if len(f.succeeded) > 0 {
						t.Error("the run was reported as successful")
					}
					f.mu.Unlock()
				}
			})
		}
	}
}

// newUploadFixture returns a gateway that accepts uploads. If begun isn't empty, the first endpoint answers with it.
func newUploadFixture(t *testing.T, hedges bool, begun string, early *lateEndpoint) (*fixture, string) {
	t.Helper()
	if hedges {
		f, url := newHedgingFixture(t, early, early)
		allowUploads(f)
		return f, url
	}
	endpoints := []*stubEndpoint{&early.stubEndpoint}
	if begun != "" {
		endpoints = []*stubEndpoint{newStubEndpoint(t, begun), &early.stubEndpoint}
	}
	f, url := newFixture(t, endpoints...)
	allowUploads(f)
	return f, url
}
