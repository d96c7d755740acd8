// Package bbchannel makes one HTTP/1.1 exchange with an endpoint on a connection of its
// own, and tells apart what was never sent, what may have run and what was answered. A
// connection is never used again, so no late answer can meet another request.
package bbchannel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Dialing bounds and buffers.
const (
	// dialTimeout bounds the opening of a connection: a round trip between regions, and
	// one repeat of a lost packet.
	dialTimeout = 400 * time.Millisecond
	// readBuffer holds the head of an answer.
	readBuffer = 4 << 10
	// maxHead bounds the head of an answer, with the interim ones before it, in bytes: many times
	// what endpoints send.
	maxHeadBytes = 16 << 10
	// keepAliveIdle and keepAliveInterval find peers that are gone while nothing is sent.
	keepAliveIdle     = 1500 * time.Millisecond
	keepAliveInterval = 700 * time.Millisecond
	keepAliveCount    = 2
)

// ErrUnreachable is the cause when no connection could be made: nothing was sent.
var ErrUnreachable = errors.New("endpoint unreachable")

// ErrBroken is the cause when the request may have been read and no whole head of an
// answer came back.
var ErrBroken = errors.New("exchange broken off")

// Answer is the answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	// Interim are the headers of the answers before the final one.
	Interim []http.Header
	// Body ends with io.EOF only when the whole body was read.
	Body io.Reader
	// Length is that of the body, or -1 if the endpoint didn't say.
	Length int64
}

// dialer returns the one for connections to endpoints.
func dialer() net.Dialer {
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

// TakesConnections tells whether an address takes a connection, and sends nothing on it.
func AcceptsConnections(ctx context.Context, address string) bool {
	d := dialer()
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// Nothing was sent.
	_ = conn.Close()
	return true
}

// Exchange sends a request to an address and reads the head of the answer. The clean-up
// function closes the connection; it is nil when there is an error. The connection also
// closes when the context ends.
func Exchange(ctx context.Context, address string, r *http.Request) (*Answer, func(), error) {
	d := dialer()
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrUnreachable)
	}
	stop := context.AfterFunc(ctx, func() {
		// The error of a second close says nothing.
		_ = conn.Close()
	})
	cleanup := func() {
		stop()
		_ = conn.Close()
	}
	// The endpoint may answer before it has read a long body. A failed write shows in the
	// answer that doesn't come.
	go func() { _ = write(conn, r) }()
	source := &headReader{
		inner: conn,
		left:  maxHeadBytes,
	}
	response, interim, err := readHead(bufio.NewReaderSize(source, readBuffer), r)
	if err != nil {
		cleanup()
		return nil, nil, errors.Mark(errors.Wrapf(err, "answer of %s", address), ErrBroken)
	}
	source.headDone = true
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   response.Body,
		Length: response.ContentLength,

		Interim: interim,
	}, cleanup, nil
}

// write sends the request.
func write(conn net.Conn, r *http.Request) error {
	w := bufio.NewWriterSize(conn, readBuffer)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// errLongHead is the cause when a head is longer than maxHead.
var errLongHead = errors.New("head of the answer is too long")

// headReader bounds what is read until the head is whole.
type headReader struct {
	inner io.Reader
	// left is the number of bytes that may still come before the head is whole.
	left     int
	headDone bool
}

func (r *headReader) Read(p []byte) (int, error) {
	if r.headDone {
		return r.inner.Read(p)
	}
	if r.left <= 0 {
		return 0, errLongHead
	}
	n, err := r.inner.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// maxInterim bounds the interim answers before the final one.
const maxInterim = 5

// readHead reads the head of the final answer, and the headers of those before it.
func readHead(b *bufio.Reader, r *http.Request) (*http.Response, []http.Header, error) {
	var interim []http.Header
	for range maxInterim {
		response, err := http.ReadResponse(b, r)
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, interim, nil
		}
		interim = append(interim, response.Header)
	}
	return nil, nil, errors.New("too many interim answers")
}
