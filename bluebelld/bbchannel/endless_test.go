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

// patience bounds the wait for an exchange to end; tests don't measure time.
const exchangeTimeout = 20 * time.Second

// mostMemory is what an endpoint may make an exchange allocate, in bytes: two hundred of them at
// once stay below the smallest VM's 184 MB, even if nothing is collected in the meantime.
const maxMemoryBytes = 512 << 10

// respondEndlessly reads the head of a request, writes a text and then another one again and
// again until the connection is closed.
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

// One endpoint that sent a head without end took a gigabyte of memory within seconds.
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
				t.Errorf("error %v, time over %v; want the exchange to be broken off before", err, ctx.Err())
			}
			if bytes > maxMemoryBytes {
				t.Errorf("the exchange allocated %d bytes, want at most %d", bytes, maxMemoryBytes)
			}
		})
	}
}

// Heads may be long, and bodies as long as they like.
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

// What comes after the chunks of a body is bounded too.
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
				t.Errorf("error %v, time over %v; want the body to be broken off before", err, ctx.Err())
			}
			if bytes > maxMemoryBytes {
				t.Errorf("the body allocated %d bytes, want at most %d", bytes, maxMemoryBytes)
			}
		})
	}
}

// Whatever an endpoint sends, the head is read or refused within its bound.
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
