package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// caseSuspect: the workers of one zone after the other are down and come back cold while long streams run; clients take
// up the streams that are cut.
func caseSuspect() {
	f := newFleet(sevenVMs(), threeZones())
	c := streamConfiguration(3, 9.4)
	c["routes"].([]map[string]any)[0]["timeoutMs"] = 20000
	c["routes"].([]map[string]any)[0]["maxAttempts"] = 3
	c["routes"].([]map[string]any)[0]["sloMs"] = 3000
	f.store.put("op/config", c)
	zones := make(map[string][]*worker)
	boots := 0
	engine := func(i int, cold time.Duration) {
		z := zoneNames[i%3]
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+boots), service: "bluebell-llm", zone: z, address: fmt.Sprintf("%s.%d:8080", f.net, 100+i),
			slots: 96, queue: 200, engine: true, store: f.store, pause: 200 * time.Millisecond,
		}
		boots++
		w.boot("v1", cold, 0)
		zones[z] = append(zones[z], w)
	}
	for i := range 9 {
		engine(i, 0)
	}
	time.Sleep(200 * time.Millisecond)
	f.startAll()
	d := newDirectory(f)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var takenUp, wentOn, fresh, began int
	var wg sync.WaitGroup
	long := func(n int) {
		defer wg.Done()
		a := streamAttempt(n, "ub-east")
		a.headers[1] = "X-Token-Usage: 1460,360"
		a.limit = 20 * time.Second
		end := time.Now().Add(a.limit)
		list := d.addresses(a.zone)
		if len(list) == 0 {
			return
		}
		address := list[rand.IntN(len(list))]
		if !trouble() && n%2 == 0 {
			// The client's own channel breaks, in place of the workers.
			a.breakAfter = 9 * time.Second
		}
		record("sent %s stream to %s", a.id, address)
		o := a.send(address)
		got := lastEvent(o.body)
		record("answered %s status=%d whole=%t events=%d", a.id, o.status, o.whole, got)
		first := a.id
		for try := 0; try < 3 && o.status == 200 && !o.whole && got > 0; try++ {
			on := false
			time.Sleep(reconnect)
			for again := 0; again < 2 && !on && time.Until(end) > 0; again++ {
				others := d.addresses(a.zone)
				if len(others) == 0 {
					break
				}
				address = others[rand.IntN(len(others))]
				b := a
				b.id, b.limit, b.breakAfter = newID(), time.Until(end), 0
				b.headers = append(append([]string{}, a.headers...), "Last-Event-Id: "+strconv.Itoa(got), "Resumes: "+first)
				record("sent %s takes up %s after event %d at %s", b.id, first, got, address)
				o = b.send(address)
				last := lastEvent(o.body)
				record("answered %s status=%d whole=%t events up to %d err=%v", b.id, o.status, o.whole, last, o.err)
				on = o.status == 200 && (last > got || o.whole)
				got = max(got, last)
				if !o.promised() {
					break
				}
				time.Sleep(o.retryAfter(time.Until(end)))
			}
			mu.Lock()
			takenUp++
			if on {
				wentOn++
			}
			mu.Unlock()
			if !on {
				return
			}
		}
	}
	for n := range 50 {
		wg.Add(1)
		go long(n)
		time.Sleep(15 * time.Millisecond)
	}
	stop := make(chan struct{})
	go func() {
		if trouble() {
			var back sync.WaitGroup
			for k, z := range []string{"ub-east", "tsetserleg"} {
				time.Sleep(500*time.Millisecond + time.Duration(k)*downGap)
				record("zone %s: workers down", z)
				for _, w := range zones[z] {
					w.crash()
				}
				back.Add(1)
				go func() {
					defer back.Done()
					time.Sleep(zoneDown)
					for i := range 9 {
						if zoneNames[i%3] == z {
							engine(i, 3*time.Second)
						}
					}
				}()
			}
			back.Wait()
		}
		wg.Wait()
		close(stop)
	}()
	every(20, stop, func(n int) {
		a := streamAttempt(1000+n, zoneNames[n%3])
		a.headers[1] = "X-Token-Usage: 1460,40"
		list := d.addresses(a.zone)
		if len(list) == 0 {
			return
		}
		to := list[n/3%len(list)]
		o := a.send(to)
		record("new stream %s at %s status=%d whole=%t", a.id, to, o.status, o.whole)
		mu.Lock()
		defer mu.Unlock()
		fresh++
		if o.status == 200 {
			began++
		}
	})
	if takenUp < 12 || fresh == 0 {
		cannotRun("only %d streams were taken up, %d new ones", takenUp, fresh)
	}
	on, new := float64(wentOn)/float64(takenUp), float64(began)/float64(fresh)
	verdict(on < new/2, "of %d streams that clients took up again %d went on (%.2f); of %d new streams %d began (%.2f); under half of that share breaks LOST", takenUp, wentOn, on, fresh, began, new)
}

const (
	// reconnect is how long a client waits before it takes a stream up.
	reconnect = time.Second
	// zoneDown is how long the workers of a zone are down, downGap the time between the two zones.
	zoneDown = 4500 * time.Millisecond
	downGap  = 7500 * time.Millisecond
)
