// Package bbframing refuses requests whose length could be read in two ways, such as one with
// both a length and chunks. net/http picks one reading of some of them, and what lies between
// the two would be taken for another request.
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

// maxLine is how much of a line is kept: the two headers that matter and their values are
// shorter.
const maxLineBytes = 96

// tailBytes is the length of the version and the end of the line after it.
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

// Scanner follows the requests on a connection from byte to byte.
type Scanner struct {
	part part
	// line is the line being read, without its end and cut at maxLine.
	line []byte
	// tail is the end of the line, which has the version if it is the first one.
	tail []byte
	// left is the number of bytes until the end of the body or of the chunk.
	left int64
	// started is true after the first line of a head.
	started bool
	// old is true for HTTP/1.0, which knows no chunks.
	http10      bool
	lengthCount int
	length      int64
	chunked     bool
}

// Scan takes in the next bytes. It returns ErrAmbiguous, and how many bytes come before the
// end of the head in question, once a head is ambiguous.
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

// keep adds to the line, as far as it is kept.
func (s *Scanner) appendLine(data []byte) {
	s.line = append(s.line, data[:min(len(data), maxLineBytes-len(s.line))]...)
	if !s.started {
		s.tail = append(s.tail, data[max(0, len(data)-tailBytes):]...)
		s.tail = s.tail[max(0, len(s.tail)-tailBytes):]
	}
}

// next goes on after a body or a chunk.
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

// endLine takes in a whole line.
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

// headLine takes in a line of a head.
func (s *Scanner) headLine(line string) error {
	if !s.started {
		// Empty lines before a request are allowed.
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
			return errors.Wrapf(ErrAmbiguous, "length %q", value)
		}
		s.length = int64(length)
	case "transfer-encoding":
		if s.chunked || !strings.EqualFold(value, "chunked") {
			return errors.Wrapf(ErrAmbiguous, "transfer encoding %q", value)
		}
		s.chunked = true
	}
	return nil
}

// endHead checks a whole head and goes on with the body.
func (s *Scanner) endHead() error {
	if s.lengthCount > 1 || (s.lengthCount > 0 && s.chunked) || (s.http10 && s.chunked) {
		return errors.Wrapf(ErrAmbiguous, "%d lengths, chunked %t", s.lengthCount, s.chunked)
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

// chunk takes in the line before a chunk.
func (s *Scanner) chunk(line string) error {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
	if err != nil {
		return errors.Wrapf(ErrAmbiguous, "size of a chunk %q", size)
	}
	s.part, s.left = partBody, int64(n)
	if n == 0 {
		s.part = partTrailer
	}
	return nil
}

// Listener checks the requests on the connections of another listener.
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
	// err is set once a request is refused: nothing is read any more.
	err error
}

// Read returns what comes before an ambiguous head and then ErrAmbiguous, which net/http
// answers with 400 before it closes the connection.
func (c *conn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	good, wrong := c.scanner.Scan(b[:n])
	if wrong != nil {
		c.err = wrong
		if good == 0 {
			return 0, wrong
		}
		return good, nil
	}
	return n, err
}
