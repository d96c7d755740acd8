// Package bbchannel makes one HTTP/1.1 exchange with an endpoint on a connection of its own. Its errors
// distinguish requests that were never sent from those that may have run. A connection is never reused, so
// that a late answer can't be taken for that of another request.
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

// Bounds of connections, buffers and heads.
const (
	// dialTimeout bounds the opening of a connection. It allows for a round trip between regions and one
	// retransmission of a lost packet.
	dialTimeout = 400 * time.Millisecond
	// readBuffer is the size of the buffers for reading an answer and for writing a request.
	readBuffer = 4 << 10
	// maxHeadBytes bounds the head of an answer together with the interim answers before it. It is many
	// times the size of what endpoints send.
	maxHeadBytes = 16 << 10
	// TCP keep-alive probes detect a lost peer while nothing is sent: they begin after keepAliveIdle, are
	// keepAliveInterval apart, and the connection is closed after keepAliveCount unanswered ones.
	keepAliveIdle     = 1500 * time.Millisecond
	keepAliveInterval = 700 * time.Millisecond
	keepAliveCount    = 2
)

// ErrUnreachable is the cause when no connection could be made: nothing was sent.
var ErrUnreachable = errors.New("endpoint unreachable")

// ErrBroken is the cause when the request may have been read and no complete head of an answer was
// received.
var ErrBroken = errors.New("no complete head of an answer received")

// Framing is how the end of an answer's body is recognized.
type Framing uint8

// The framings of a body.
const (
	// FramingLength bodies have a stated length, which may be 0.
	FramingLength Framing = iota
	// FramingChunked bodies end with a last chunk.
	FramingChunked
	// FramingConnection bodies end with their connection. A body that broke off in an orderly close can't be
	// told from a complete one; one whose connection failed ends with ErrReset or the error of the read.
	FramingConnection
)

// String returns the framing as a word.
func (f Framing) String() string {
	if f > FramingConnection {
		return "unknown"
	}
	return [...]string{"length", "chunked", "connection"}[f]
}

// framing returns how the body of a response is framed.
func framing(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramingChunked
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	}
	return FramingConnection
}

// Answer is the answer of an endpoint.
type Answer struct {
	Status int
	Header http.Header
	// Interim are the headers of the interim (1xx) answers before the final one.
	Interim []http.Header
	// Body returns io.EOF only if the whole body was read.
	Body io.Reader
	// Length is that of the body, or -1 if the endpoint didn't state it.
	Length  int64
	Framing Framing
}

// dialer returns a dialer for connections to endpoints.
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

// AcceptsConnections reports whether an address accepts a connection. It sends nothing on it.
func AcceptsConnections(ctx context.Context, address string) bool {
	d := dialer()
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	// Nothing was sent, so an error on closing is of no consequence.
	_ = conn.Close()
	return true
}

// Exchange sends a request to an address and reads the head of the answer. The clean-up
// function closes the connection; it is nil when there is an error. The connection also
// closes when the context ends.
func Exchange(ctx context.Context, address string, r *http.Request) (*Answer, func(), error) {
	d := dialer()
	dialed, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrUnreachable)
	}
	conn := NewConn(dialed)
	stop := context.AfterFunc(ctx, func() {
		// The connection may be closed already, which is no problem.
		_ = conn.Close()
	})
	cleanup := func() {
		stop()
		_ = conn.Close()
	}
	// The endpoint may answer before it has read all of a long body, so the request is written
	// concurrently. After a failed write, the end of the connection isn't the end of an answer.
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
		Framing: framing(response),
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

// errLongHead is the cause when a head is longer than maxHeadBytes.
var errLongHead = errors.New("head of the answer is too long")

// headReader bounds the number of bytes read until the head is complete.
type headReader struct {
	inner io.Reader
	// left is the number of bytes that may still be read before the head is complete.
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

const (
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 5
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
)

// IsFinal reports whether a status is that of a final answer. The parsers of net/http accept any three digits, and
// two with a sign.
func IsFinal(status int) bool {
	return status >= http.StatusOK && status <= maxStatus
}

// readHead reads the head of the final answer, and the headers of those before it.
func readHead(b *bufio.Reader, r *http.Request) (*http.Response, []http.Header, error) {
	var interim []http.Header
	for range maxInterim {
		response, err := http.ReadResponse(b, r)
		if err != nil {
			return nil, nil, err
		}
		if IsFinal(response.StatusCode) {
			return response, interim, nil
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
			return nil, nil, errors.Newf("invalid status %d", response.StatusCode)
		}
		interim = append(interim, response.Header)
	}
	return nil, nil, errors.New("too many interim answers")
}
