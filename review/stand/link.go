package main

import (
	"io"
	"net"
	"sync"
)

// link passes channels on to an address.
type link struct {
	mu sync.Mutex
	// silent is closed, and replaced, when the open channels go silent for good.
	silent chan struct{}
}

// addLink starts a link.
func (t *test) addLink(address, target string) *link {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.unable("%v", err)
	}
	t.cleanup(func() { _ = l.Close() })
	k := &link{silent: make(chan struct{})}
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

// silence makes the channels that are open go silent for good; new ones work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.silent)
	k.silent = make(chan struct{})
}

func (k *link) serve(c net.Conn, target string) {
	defer c.Close()
	k.mu.Lock()
	silent := k.silent
	k.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	go k.forward(out, c, silent)
	k.forward(c, out, silent)
}

func (k *link) forward(to, from net.Conn, silent <-chan struct{}) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			// What is sent on either end is taken and goes nowhere.
			n = 0
			if err != nil {
				select {}
			}
		default:
		}
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
