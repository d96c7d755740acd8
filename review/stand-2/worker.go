package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is a request as a worker reads it, with the target as it stands in the request line.
type request struct {
	method, target string
	header         textproto.MIMEHeader
	body           []byte
	at             time.Time
}

// worker is a stand-in of a worker: HTTP/1.1, one request at a time on a channel.
type worker struct {
	id, service, zone, address string
	born                       int64
	// anyRequest is true if the worker serves requests without an id, as workers of stages do.
	anyRequest bool
	// run serves a request that the worker has accepted; it writes the whole answer.
	run func(w *worker, r request, c net.Conn)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// start begins to listen.
func (w *worker) start() {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		cannotRun("worker %s: %v", w.id, err)
	}
	w.mu.Lock()
	w.listener = listener
	w.conns = make(map[net.Conn]bool)
	w.born = time.Now().UnixMilli()
	w.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go func() {
				w.serve(c)
				_ = c.Close()
				w.mu.Lock()
				delete(w.conns, c)
				w.mu.Unlock()
			}()
		}
	}()
}

// crash ends the worker at once; all channels are reset.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener != nil {
		_ = w.listener.Close()
		w.listener = nil
	}
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (w *worker) serve(c net.Conn) {
	b := bufio.NewReader(c)
	for {
		line, err := b.ReadString('\n')
		if err != nil {
			return
		}
		method, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		target, _, _ := strings.Cut(rest, " ")
		header, err := textproto.NewReader(b).ReadMIMEHeader()
		if err != nil {
			return
		}
		length, _ := strconv.Atoi(header.Get("Content-Length"))
		body := make([]byte, length)
		if _, err := io.ReadFull(b, body); err != nil {
			return
		}
		r := request{
			method: method,
			target: target,
			header: header,
			body:   body,
			at:     time.Now(),
		}
		if want := header.Get("X-Expect-Instance"); want != "" && want != w.id {
			answer(c, 421, map[string]string{"X-Not-Executed": "1"}, nil)
			continue
		}
		if header.Get("X-Attempt-Id") == "" && !w.anyRequest {
			answer(c, 400, map[string]string{"X-Not-Executed": "1"}, nil)
			continue
		}
		w.run(w, r, c)
	}
}

// writeHead writes the head of an answer.
func writeHead(c net.Conn, status int, header map[string]string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d answer\r\n", status)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	_, _ = io.WriteString(c, b.String())
}

// answer writes a whole answer with a length.
func answer(c net.Conn, status int, header map[string]string, body []byte) {
	if header == nil {
		header = make(map[string]string)
	}
	header["Content-Length"] = strconv.Itoa(len(body))
	writeHead(c, status, header)
	_, _ = c.Write(body)
}

// signed returns the headers of an answer to a request that was run.
func (w *worker) signed(r request) map[string]string {
	id := r.header.Get("X-Attempt-Id")
	return map[string]string{
		"X-Attempt-Id":         id,
		"X-Response-Signature": id + "." + w.id,
	}
}
