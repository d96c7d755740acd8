package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
)

// links are the proxies through which the entry VMs reach each other. A cut is silent: nothing passes between two
// groups of VMs, and channels aren't closed until it heals.
type links struct {
	mu  sync.Mutex
	vms []*vm
	// cut reports whether two VMs don't reach each other; nil if all do.
	cut   func(a, b *vm) bool
	conns map[*link]bool
}

// link is one channel between two VMs; from is nil if the caller isn't a VM.
type link struct {
	from, to       *vm
	caller, target net.Conn
	mu             sync.Mutex
	held           bool
}

func newLinks() *links {
	return &links{
		conns: make(map[*link]bool),
	}
}

// serve opens the address of a VM for other VMs.
func (l *links) serve(v *vm) {
	listener, err := net.Listen("tcp", v.peer)
	if err != nil {
		cannotRun("proxy of %s: %v", v.name, err)
	}
	atEnd(func() { _ = listener.Close() })
	l.vms = append(l.vms, v)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.handle(v, c)
		}
	}()
}

func (l *links) handle(to *vm, c net.Conn) {
	defer c.Close()
	k := &link{
		from:   l.callerOf(c),
		to:     to,
		caller: c,
	}
	if l.cutOff(k) {
		l.hold(k)
		return
	}
	target, err := net.Dial("tcp", to.inner)
	if err != nil {
		// Nothing listens: the channel is reset, as one to a port without a listener.
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	defer target.Close()
	k.target = target
	l.mu.Lock()
	l.conns[k] = true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buffer := make([]byte, 16<<10)
		for {
			n, err := from.Read(buffer)
			if l.cutOff(k) {
				// What was sent during the cut is lost with the channel.
				l.markHeld(k)
				if err != nil {
					break
				}
				continue
			}
			k.mu.Lock()
			held := k.held
			k.mu.Unlock()
			if held {
				break
			}
			if n > 0 {
				if _, e := to.Write(buffer[:n]); e != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(target, c)
	go pass(c, target)
	<-done
	for l.cutOff(k) {
		l.wait()
	}
	l.mu.Lock()
	delete(l.conns, k)
	l.mu.Unlock()
}

var (
	changedMu sync.Mutex
	changed   = make(chan struct{})
)

// wait waits until the groups change.
func (l *links) wait() {
	changedMu.Lock()
	c := changed
	changedMu.Unlock()
	<-c
}

// hold keeps a channel open without an answer until the cut heals.
func (l *links) hold(k *link) {
	for l.cutOff(k) {
		l.wait()
	}
}

func (l *links) markHeld(k *link) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = true
}

func (l *links) cutOff(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return k.from != nil && l.cut != nil && l.cut(k.from, k.to)
}

// split puts VMs into groups that don't reach each other; nil heals all cuts.
func (l *links) split(group map[*vm]int) {
	if group == nil {
		l.set(nil)
		return
	}
	l.set(func(a, b *vm) bool { return group[a] != group[b] })
}

// set changes which VMs don't reach each other.
func (l *links) set(cut func(a, b *vm) bool) {
	l.mu.Lock()
	l.cut = cut
	l.mu.Unlock()
	changedMu.Lock()
	close(changed)
	changed = make(chan struct{})
	changedMu.Unlock()
}

// callerOf returns the VM whose program opened a channel, by the sockets of the programs that this case started.
func (l *links) callerOf(c net.Conn) *vm {
	remote := c.RemoteAddr().(*net.TCPAddr)
	local := c.LocalAddr().(*net.TCPAddr)
	inode := inodeOf(remote, local)
	if inode == "" {
		return nil
	}
	for _, v := range l.vms {
		pid := v.pid()
		if pid == 0 {
			continue
		}
		names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, n := range names {
			if to, err := os.Readlink(n); err == nil && to == "socket:["+inode+"]" {
				return v
			}
		}
	}
	return nil
}

// inodeOf finds a socket by its two addresses.
func inodeOf(local, remote *net.TCPAddr) string {
	file, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		cannotRun("sockets: %v", err)
	}
	defer file.Close()
	want := hexAddress(local) + " " + hexAddress(remote)
	s := bufio.NewScanner(file)
	for s.Scan() {
		f := strings.Fields(s.Text())
		if len(f) > 9 && f[1]+" "+f[2] == want {
			return f[9]
		}
	}
	return ""
}

func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%s", ip[3], ip[2], ip[1], ip[0], strings.ToUpper(fmt.Sprintf("%04s", strconv.FormatInt(int64(a.Port), 16))))
}
