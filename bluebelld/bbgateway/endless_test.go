package bbgateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbstream"
)

// newEndless returns an endpoint that writes a text and then another one again and again, until
// the connection is closed.
func newEndless(t *testing.T, text, again string) *stubEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	block := strings.Repeat(again, 1+32<<10/len(again))
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, text)
				for err == nil {
					_, err = io.WriteString(conn, block)
				}
			}()
		}
	}()
	return &stubEndpoint{
		address: l.Addr().String(),
	}
}

// mostMemory is what one endless answer may hold in memory, in bytes.
const maxMemoryBytes = 16 << 20

// An answer without end filled the memory, or went on until the caller's time was over.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSigned: yes\r\n\r\n"
	for name, test := range map[string]struct {
		path, text, again string
		// cause is why the run counts as broken.
		cause error
	}{
		"event":              {"/resume/", head, "x", bbstream.ErrLongEvent},
		"event after others": {"/resume/", head + "id: 1\ndata: a\n\n", "data: x\n", bbstream.ErrLongEvent},
		"plain answer":       {"/once/", head, "x", errLongAnswer},
		"unsigned answer":    {"/once/", "HTTP/1.1 200 OK\r\n\r\n", "x", errNoReceipt},
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := newFixture(t, newEndless(t, test.text, test.again))
			peak := uint64(0)
			w := &memorySampler{
				header: make(http.Header),
				sample: func() {
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					peak = max(peak, m.HeapAlloc)
				},
			}
			w.sample()
			before := peak
			r := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader("hello"))
			r.Host = "127.0.0.1"
			r.Header.Set("Id", "1")
			func() {
				// An answer that has begun is cut by a panic, as net/http wants it.
				defer func() { _ = recover() }()
				f.gateway.ServeHTTP(w, r)
			}()
			w.sample()
			if peak-min(peak, before) > maxMemoryBytes {
				t.Errorf("the heap grew by %d bytes, want at most %d", peak-before, maxMemoryBytes)
			}
			if len(f.failedRuns) != 1 || !errors.Is(f.failedRuns[0].Cause, test.cause) {
				t.Errorf("broken runs %+v, want one because of: %v", f.failedRuns, test.cause)
			}
			if len(f.succeeded) > 0 {
				t.Error("the run counts as good")
			}
		})
	}
}

// discarder takes an answer and looks at the memory now and then.
type memorySampler struct {
	header http.Header
	writes int
	sample func()
}

func (d *memorySampler) Header() http.Header { return d.header }

func (d *memorySampler) WriteHeader(int) {}

func (d *memorySampler) Write(p []byte) (int, error) {
	if d.writes++; d.writes%64 == 0 {
		d.sample()
	}
	return len(p), nil
}

func (d *memorySampler) Flush() {}
