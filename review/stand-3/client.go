package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// directory is what clients of a region know of the addresses: they ask as the protocol page says and keep an answer
// for its ttlS.
type directory struct {
	fleet *fleet

	mu      sync.Mutex
	known   map[string][]string
	expires map[string]time.Time
}

func newDirectory(f *fleet) *directory {
	return &directory{fleet: f, known: make(map[string][]string), expires: make(map[string]time.Time)}
}

// addresses returns the front addresses for a client in a zone.
func (d *directory) addresses(zone string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.expires[zone]) {
		return d.known[zone]
	}
	var near, far []*vm
	for _, v := range d.fleet.vms {
		if v.zone == zone {
			near = append(near, v)
		} else {
			far = append(far, v)
		}
	}
	rand.Shuffle(len(far), func(a, b int) { far[a], far[b] = far[b], far[a] })
	c := http.Client{Timeout: time.Second}
	all := append(near, far...)
	for _, v := range all[:min(3, len(all))] {
		q := url.Values{"name": {"fair.example"}, "region": {d.fleet.regs[zone]}, "zone": {zone}}
		r, err := c.Get("http://" + v.directory() + "/bluebellhall/resolve?" + q.Encode())
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttlS"`
		}
		err = json.NewDecoder(r.Body).Decode(&a)
		_ = r.Body.Close()
		if err != nil || len(a.Addresses) == 0 {
			continue
		}
		d.known[zone] = a.Addresses
		d.expires[zone] = time.Now().Add(time.Duration(min(a.TTL, 5) * float64(time.Second)))
		return a.Addresses
	}
	return d.known[zone]
}

// attempt is one client attempt, on a channel of its own.
type attempt struct {
	id, zone, method, target, body string
	headers                        []string
	limit                          time.Duration
	// breakAfter is when the client's channel breaks; 0 if it doesn't.
	breakAfter time.Duration
}

// outcome is what the client saw.
type outcome struct {
	status int
	header http.Header
	body   string
	whole  bool
	err    error
	// read is false if no channel could be opened.
	opened bool
}

var attempts struct {
	sync.Mutex
	n int
}

// newID returns the id of an attempt.
func newID() string {
	attempts.Lock()
	defer attempts.Unlock()
	attempts.n++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.n)
}

// send makes one attempt at an address.
func (a attempt) send(address string) (o outcome) {
	deadline := time.Now().Add(a.limit)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	o.opened = true
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline)
	if a.breakAfter > 0 {
		defer time.AfterFunc(a.breakAfter, func() { _ = conn.Close() }).Stop()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: fair.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.target, a.id, a.limit.Milliseconds())
	for _, h := range a.headers {
		b.WriteString(h + "\r\n")
	}
	if a.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	if _, o.err = io.WriteString(conn, b.String()); o.err != nil {
		return o
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		o.err = err
		return o
	}
	o.status, o.header = r.StatusCode, r.Header
	data, err := io.ReadAll(r.Body)
	o.body, o.err, o.whole = string(data), err, err == nil
	return o
}

// retryAfter is the time that an answer asks the client to wait, at most a third of the time left.
func (o outcome) retryAfter(left time.Duration) time.Duration {
	s, err := strconv.ParseFloat(o.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(s*float64(time.Second)), left/3)
}

// promised reports whether the answer promises that the attempt has not run and never will.
func (o outcome) promised() bool {
	return o.status == 429 || o.status == 503 || o.status == 408 || o.status == 421
}

// request is what a client wants; it makes an attempt and retries at most once, as the protocol page allows it.
func (d *directory) request(a attempt, idempotent bool, done func(a attempt, o outcome)) {
	end := time.Now().Add(a.limit)
	var failed string
	for try := range 2 {
		var list []string
		for _, x := range d.addresses(a.zone) {
			if x != failed {
				list = append(list, x)
			}
		}
		if len(list) == 0 {
			return
		}
		address := list[rand.IntN(len(list))]
		a.id = newID()
		a.limit = time.Until(end)
		if a.limit <= 0 {
			return
		}
		record("sent %s %s %s to %s", a.id, a.method, a.target, address)
		o := a.send(address)
		record("answered %s status=%d whole=%t err=%v", a.id, o.status, o.whole, o.err)
		done(a, o)
		if o.whole && !o.promised() && (o.status < 500 || !idempotent) {
			return
		}
		if !idempotent && o.opened && !o.promised() || try == 1 {
			return
		}
		failed = address
		time.Sleep(o.retryAfter(time.Until(end)))
	}
}

// every calls f at a rate until stop is closed, each call in a goroutine of its own, and returns when all have ended.
func every(perSecond float64, stop <-chan struct{}, f func(n int)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(float64(time.Second) / perSecond))
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(n)
		}()
	}
}
