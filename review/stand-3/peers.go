package main

import (
	"net"
	"regexp"
	"sync"
	"time"
)

// links are the links between the VMs: a proxy before each VM's peer address. Two zones can lose each other, while the
// VMs of other zones reach both. What is sent meanwhile is held back, as by a partition without resets.
type links struct {
	fleet *fleet

	mu  sync.Mutex
	cut map[[2]string]bool
}

// newLinks starts the proxies. The VMs listen behind them.
func newLinks(f *fleet) *links {
	l := &links{fleet: f, cut: make(map[[2]string]bool)}
	for _, v := range f.vms {
		v.inner = v.ip + ":8629"
		listener, err := net.Listen("tcp", v.control())
		if err != nil {
			cannotRun("%v", err)
		}
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go l.serve(c, v)
			}
		}()
	}
	return l
}

// lose cuts two zones off from each other, or heals the cut.
func (l *links) lose(a, b string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]string{a, b}], l.cut[[2]string{b, a}] = cut, cut
	record("zones %s and %s lost each other: %t", a, b, cut)
}

func (l *links) isCut(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[[2]string{a, b}]
}

var vmName = regexp.MustCompile(`edge-[a-z-]+-\d+`)

// serve forwards a channel to a VM. The first message on it names the VM that opened it.
func (l *links) serve(client net.Conn, to *vm) {
	server, err := net.Dial("tcp", to.inner)
	if err != nil {
		_ = client.Close()
		return
	}
	var mu sync.Mutex
	from := ""
	held := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return from != "" && l.isCut(from, to.zone)
	}
	forward := func(dst, src net.Conn, look bool) {
		defer func() { _ = dst.Close(); _ = src.Close() }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			if look {
				if name := vmName.Find(buffer[:n]); name != nil {
					for _, v := range l.fleet.vms {
						if v.name == string(name) {
							mu.Lock()
							if from == "" {
								from = v.zone
							}
							mu.Unlock()
						}
					}
				}
			}
			for held() {
				time.Sleep(5 * time.Millisecond)
			}
			if _, werr := dst.Write(buffer[:n]); err != nil || werr != nil {
				return
			}
		}
	}
	go forward(server, client, true)
	go forward(client, server, false)
}
