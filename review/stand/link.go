package main

import (
	"io"
	"net"
	"sync"
)

// link passes connections on to an address. While it is cut it passes nothing on, and what is sent meanwhile is held.
type link struct {
	mu   sync.Mutex
	open chan struct{}
	cut  bool
}

// addLink starts a link.
func (t *test) addLink(address, target string) *link {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.unable("%v", err)
	}
	t.cleanup(func() { _ = l.Close() })
	k := &link{open: make(chan struct{})}
	close(k.open)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c, target)
		}
	}()
	return k
}

// set cuts the link or heals it.
func (k *link) set(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if cut == k.cut {
		return
	}
	k.cut = cut
	if cut {
		k.open = make(chan struct{})
		return
	}
	close(k.open)
}

// pass waits until the link passes data on.
func (k *link) pass() {
	k.mu.Lock()
	open := k.open
	k.mu.Unlock()
	<-open
}

func (k *link) serve(c net.Conn, target string) {
	defer c.Close()
	k.pass()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	go k.forward(out, c)
	k.forward(c, out)
}

func (k *link) forward(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		k.pass()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = io.EOF
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
