// Package bbframing protects against request smuggling. It refuses requests whose length could be read in
// two ways, such as one with both a Content-Length and chunks. For some of them net/http picks one reading,
// and the bytes between the two possible ends would be taken for another request.
package bbframing

import (
	"bytes"
	"net"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrAmbiguous is the cause when the length of a request could be read in two ways.
var ErrAmbiguous = errors.New("length of the request is ambiguous")

// maxLineBytes bounds the part of a line that is kept. The two headers that matter are shorter, with their
// values.
const maxLineBytes = 96

// tailBytes is the length of the HTTP version at the end of a request line, with a carriage return.
const tailBytes = len("HTTP/1.0\r")

// part is what a scanner expects next.
type part int

// The parts of a request.
const (
	partHead part = iota
	partBody
	partChunkSize
	partChunkEnd
	partTrailer
)

// Scanner follows the boundaries of requests on a connection, byte by byte.
type Scanner struct {
	part part
	// line is the line being read, without its end and truncated to maxLineBytes.
	line []byte
	// tail is the end of a request line, which has the HTTP version even if line is truncated.
	tail []byte
	// left is the number of remaining bytes of the body or chunk.
	left int64
	// started is true after the request line.
	started bool
	// http10 is true for HTTP/1.0, which has no chunked encoding.
	http10      bool
	lengthCount int
	length      int64
	chunked     bool
}

// Scan follows the next bytes. If the length of a request is ambiguous, it returns ErrAmbiguous and the
// number of bytes before the line at which that was found, which is part of the request's head or body. A
// reader that gets only these bytes thus never has the complete request.
func (s *Scanner) Scan(data []byte) (int, error) {
	for i := 0; i < len(data); {
		if s.part == partBody {
			n := min(s.left, int64(len(data)-i))
			i += int(n)
			s.left -= n
			if s.left == 0 {
				s.endBody()
			}
			continue
		}
		end := bytes.IndexByte(data[i:], '\n')
		if end < 0 {
			s.appendLine(data[i:])
			return len(data), nil
		}
		s.appendLine(data[i : i+end])
		if err := s.endLine(); err != nil {
			return i, err
		}
		i += end + 1
	}
	return len(data), nil
}

// appendLine appends data to the line, up to maxLineBytes.
func (s *Scanner) appendLine(data []byte) {
	s.line = append(s.line, data[:min(len(data), maxLineBytes-len(s.line))]...)
	if !s.started {
		s.tail = append(s.tail, data[max(0, len(data)-tailBytes):]...)
		s.tail = s.tail[max(0, len(s.tail)-tailBytes):]
	}
}

// endBody continues after the data of a chunk, or with the next request at the end of a body.
func (s *Scanner) endBody() {
	if s.chunked {
		s.part = partChunkEnd
		return
	}
	*s = Scanner{
		line: s.line[:0],
		tail: s.tail[:0],
	}
}

// endLine processes a complete line.
func (s *Scanner) endLine() error {
	line := string(bytes.TrimSuffix(s.line, []byte("\r")))
	s.line = s.line[:0]
	switch s.part {
	case partChunkSize:
		return s.chunk(line)
	case partChunkEnd:
		s.part = partChunkSize
	case partTrailer:
		if line == "" {
			s.chunked = false
			s.endBody()
		}
	case partHead:
		return s.headLine(line)
	}
	return nil
}

// headLine processes a line of the head of a request.
func (s *Scanner) headLine(line string) error {
	if !s.started {
		// Empty lines before a request line are allowed.
		s.started = line != ""
		s.http10 = strings.HasSuffix(strings.TrimSuffix(string(s.tail), "\r"), "HTTP/1.0")
		s.tail = s.tail[:0]
		return nil
	}
	if line == "" {
		return s.endHead()
	}
	if line[0] == ' ' || line[0] == '\t' {
		return errors.Wrap(ErrAmbiguous, "folded header line")
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		s.lengthCount++
		length, err := strconv.ParseUint(value, 10, 62)
		if err != nil {
			return errors.Wrapf(ErrAmbiguous, "invalid Content-Length %q", value)
		}
		s.length = int64(length)
	case "transfer-encoding":
		if s.chunked || !strings.EqualFold(value, "chunked") {
			return errors.Wrapf(ErrAmbiguous, "unsupported or repeated Transfer-Encoding %q", value)
		}
		s.chunked = true
	}
	return nil
}

// endHead checks a complete head and continues with the body.
func (s *Scanner) endHead() error {
	if s.lengthCount > 1 || (s.lengthCount > 0 && s.chunked) || (s.http10 && s.chunked) {
		return errors.Wrapf(ErrAmbiguous, "%d Content-Length headers, chunked %t", s.lengthCount, s.chunked)
	}
	switch {
	case s.chunked:
		s.part = partChunkSize
	case s.length > 0:
		s.part, s.left = partBody, s.length
	default:
		s.endBody()
	}
	return nil
}

// chunk processes the line with the size of a chunk.
func (s *Scanner) chunk(line string) error {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
	if err != nil {
		return errors.Wrapf(ErrAmbiguous, "invalid chunk size %q", size)
	}
	s.part, s.left = partBody, int64(n)
	if n == 0 {
		s.part = partTrailer
	}
	return nil
}

// Listener wraps a listener and checks the requests on its connections.
type Listener struct {
	net.Listener
}

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn: c,
	}, nil
}

// conn is a connection whose requests are checked.
type conn struct {
	net.Conn
	scanner Scanner
	// err is set once a request is refused; nothing is read after it.
	err error
}

// Read returns the bytes before an ambiguous line and then ErrAmbiguous, which net/http answers with
// status 400 before it closes the connection.
func (c *conn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	accepted, ambiguous := c.scanner.Scan(b[:n])
	if ambiguous != nil {
		c.err = ambiguous
		if accepted == 0 {
			return 0, ambiguous
		}
		return accepted, nil
	}
	return n, err
}
