package main

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// caseTakeUp: all VMs are stopped and started in turn while streams run; clients take up the streams that end with their VM.
func caseTakeUp() {
	f := newFleet(sevenVMs(), threeZones())
	c := streamConfiguration(3, 9.4)
	c["routes"].([]map[string]any)[0]["timeoutMs"] = 20000
	f.store.put("op/config", c)
	for i := range 9 {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: "bluebell-llm", zone: zoneNames[i%3], address: fmt.Sprintf("%s.%d:8080", f.net, 100+i),
			slots: 96, queue: 200, engine: true, store: f.store, pause: 200 * time.Millisecond,
		}
		w.boot("v1", 0, 0)
	}
	time.Sleep(200 * time.Millisecond)
	f.startAll()
	d := newDirectory(f)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var takenUp, wentOn, whole, fresh, began int
	var wg sync.WaitGroup
	// long is a client with a stream of 16 s. If its channel breaks, it takes the stream up at another VM.
	long := func(n int) {
		defer wg.Done()
		a := streamAttempt(n, zoneNames[n%3])
		a.headers[1] = "X-Token-Usage: 1460,320"
		a.limit = 20 * time.Second
		end := time.Now().Add(a.limit)
		list := d.addresses(a.zone)
		if len(list) == 0 {
			return
		}
		address := list[rand.IntN(len(list))]
		if !trouble() {
			// The client's own channel breaks, in place of the VM.
			a.breakAfter = 9 * time.Second
		}
		record("sent %s stream to %s", a.id, address)
		o := a.send(address)
		got := lastEvent(o.body)
		record("answered %s status=%d whole=%t events=%d", a.id, o.status, o.whole, got)
		if o.status != 200 || o.whole || got == 0 {
			return
		}
		first, counted, on := a.id, false, false
		for try := 0; try < 3 && !on; try++ {
			var others []string
			for _, x := range d.addresses(a.zone) {
				if x != address {
					others = append(others, x)
				}
			}
			if len(others) == 0 || time.Until(end) <= 0 {
				break
			}
			address = others[rand.IntN(len(others))]
			b := a
			b.id, b.limit, b.breakAfter = newID(), time.Until(end), 0
			b.headers = append(append([]string{}, a.headers...), "Last-Event-Id: "+strconv.Itoa(got), "Resumes: "+first)
			inTouch := f.at(address).inTouch()
			record("sent %s takes up %s after event %d at %s in touch=%t", b.id, first, got, address, inTouch)
			o = b.send(address)
			record("answered %s status=%d whole=%t events up to %d", b.id, o.status, o.whole, lastEvent(o.body))
			on = o.status == 200 && (lastEvent(o.body) > got || o.whole)
			if inTouch {
				counted = true
			}
			if !on && !o.promised() && o.opened {
				break
			}
			time.Sleep(o.retryAfter(time.Until(end)))
		}
		mu.Lock()
		defer mu.Unlock()
		if counted {
			takenUp++
			if on {
				wentOn++
				if o.whole {
					whole++
				}
			}
		}
	}
	for n := range 200 {
		wg.Add(1)
		go long(n)
		time.Sleep(20 * time.Millisecond)
	}
	stop := make(chan struct{})
	go func() {
		var restarts sync.WaitGroup
		if trouble() {
			for _, v := range f.vms {
				restarts.Add(1)
				go func() { defer restarts.Done(); v.restart() }()
				time.Sleep(1300 * time.Millisecond)
			}
		}
		restarts.Wait()
		wg.Wait()
		close(stop)
	}()
	// New streams begin meanwhile.
	every(4, stop, func(n int) {
		a := streamAttempt(1000+n, zoneNames[n%3])
		a.headers[1] = "X-Token-Usage: 1460,20"
		list := d.addresses(a.zone)
		if len(list) == 0 {
			return
		}
		to := list[n/3%len(list)]
		inTouch := f.at(to).inTouch()
		record("sent %s new stream to %s in touch=%t", a.id, to, inTouch)
		o := a.send(to)
		record("answered %s status=%d whole=%t", a.id, o.status, o.whole)
		mu.Lock()
		defer mu.Unlock()
		if inTouch {
			fresh++
			if o.status == 200 {
				began++
			}
		}
	})
	if takenUp < 12 || fresh == 0 {
		cannotRun("only %d streams were taken up at machines in touch, %d new ones", takenUp, fresh)
	}
	on, new := float64(wentOn)/float64(takenUp), float64(began)/float64(fresh)
	verdict(on < new/2, "of %d streams that clients took up again at machines in touch %d went on (%.2f), %d to their end; of %d new streams %d began (%.2f); under half of that share breaks LOST", takenUp, wentOn, on, whole, fresh, began, new)
}

var wholeEvents = regexp.MustCompile(`id: (\d+)\ndata: software=\S+ worker=\S+ n=\d+ of=\d+\n\n`)

// lastEvent returns the number of the last whole event of a stream.
func lastEvent(body string) int {
	n := 0
	for _, m := range wholeEvents.FindAllStringSubmatch(body, -1) {
		n, _ = strconv.Atoi(m[1])
	}
	return n
}
