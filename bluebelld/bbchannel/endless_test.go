package bbchannel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// exchangeTimeout bounds the wait for an exchange to end. It is long, since the tests measure no times.
const exchangeTimeout = 20 * time.Second

// maxMemoryBytes bounds what an endpoint may make an exchange allocate: two hundred exchanges at once stay
// below the smallest VM's 184 MB, even without any garbage collection.
const maxMemoryBytes = 512 << 10

// respondEndlessly reads the head of a request, writes one text and then another one repeatedly until the
// connection is closed.
func respondEndlessly(text, again string) func(conn net.Conn) {
	block := []byte(strings.Repeat(again, 1+32<<10/len(again)))
	return func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}
}

// allocated returns the bytes that a function allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Regression: an endpoint that sent an endless head made the VM allocate a gigabyte within seconds.
func TestEndlessHeadsEndTheExchange(t *testing.T) {
	for name, serve := range map[string]func(conn net.Conn){
		"status line":     respondEndlessly("HTTP/1.1 200 ", "O"),
		"header line":     respondEndlessly("HTTP/1.1 200 OK\r\nA: ", "b"),
		"header lines":    respondEndlessly("HTTP/1.1 200 OK\r\n", "A: b\r\n"),
		"interim answers": respondEndlessly("", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n"),
		"interim head":    respondEndlessly("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n", "A: b\r\n"),
		"no answer":       respondEndlessly("", "x"),
		"empty lines":     respondEndlessly("", "\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			address := endpoint(t, serve)
			ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
			defer cancel()
			var err error
			bytes := allocated(func() {
				var cleanup func()
				if _, cleanup, err = Exchange(ctx, address, request("hello")); err == nil {
					cleanup()
				}
			})
			if !errors.Is(err, ErrBroken) || ctx.Err() != nil {
				t.Errorf("error %v, context error %v; want ErrBroken before the timeout", err, ctx.Err())
			}
			if bytes > maxMemoryBytes {
				t.Errorf("the exchange allocated %d bytes, want at most %d", bytes, maxMemoryBytes)
			}
		})
	}
}

// A long head below the bound is accepted, and bodies aren't bounded.
func TestLongAnswersAreComplete(t *testing.T) {
	const length = 2 * maxMemoryBytes
	head := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", maxHeadBytes/2) + "\r\n\r\n"
	address := endpoint(t, respond(head+strings.Repeat("x", length)))
	answer, cleanup, err := Exchange(t.Context(), address, request("hello"))
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	n, err := io.Copy(io.Discard, answer.Body)
	if n != length || err != nil {
		t.Errorf("%d bytes, error %v; want %d and none", n, err, length)
	}
}

// Chunk sizes, chunk extensions and trailers are bounded too.
func TestEndlessChunkLinesEndTheBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, serve := range map[string]func(conn net.Conn){
		"size":      respondEndlessly(head, "0"),
		"extension": respondEndlessly(head+"1;a=", "b"),
		"trailer":   respondEndlessly(head+"1\r\nx\r\n0\r\n", "A: b\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
			defer cancel()
			answer, cleanup, err := Exchange(ctx, endpoint(t, serve), request("hello"))
			if err != nil {
				t.Fatal(err)
			}
			defer cleanup()
			bytes := allocated(func() { _, err = io.Copy(io.Discard, answer.Body) })
			if err == nil || ctx.Err() != nil {
				t.Errorf("error %v, context error %v; want an error before the timeout", err, ctx.Err())
			}
			if bytes > maxMemoryBytes {
				t.Errorf("the body allocated %d bytes, want at most %d", bytes, maxMemoryBytes)
			}
		})
	}
}

// The head is read or refused within its bound, whatever an endpoint sends.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 99999999999 \r\n: \r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		source := &headReader{
			inner: strings.NewReader(string(data)),
			left:  maxHeadBytes,
		}
		response, _, err := readHead(bufio.NewReaderSize(source, readBuffer), request(""))
		if err != nil {
			return
		}
		if response.StatusCode < http.StatusOK {
			t.Errorf("final answer with status %d", response.StatusCode)
		}
		source.headDone = true
		if _, err := io.Copy(io.Discard, response.Body); err == nil && len(data) == 0 {
			t.Error("nothing was read as an answer")
		}
	})
}
