package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// caseLeaders: two regions lose each other while the third reaches both, and an empty worker is added there.
func caseLeaders() {
	const coldPerS, coldS = 9.4, 3.0
	bound := coldPerS*1.5 + 5
	f := newFleet([]string{"ub-east", "tsetserleg", "ub-east", "ub-east", "tsetserleg", "khovd-central", "khovd-central"}, threeZones())
	f.store.put("op/config", streamConfiguration(coldS, coldPerS))
	seen := newArrivals()
	engine := func(i int) *worker {
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: "bluebell-llm", zone: "khovd-central", address: fmt.Sprintf("%s.%d:8080", f.net, 100+i),
			slots: 96, queue: 200, engine: true, store: f.store,
		}
		w.onArrival = func(w *worker, id string) bool {
			seen.add(w.id, id)
			record("arrival %s at %s", id, w.id)
			return false
		}
		return w
	}
	for i := range 2 {
		engine(i).boot("v1", 0, 0)
	}
	time.Sleep(200 * time.Millisecond)
	l := newLinks(f)
	f.startAll()
	d := newDirectory(f)
	stop := make(chan struct{})
	added := engine(2)
	var from, to time.Time
	go func() {
		time.Sleep(3 * time.Second)
		if trouble() {
			l.lose("ub-east", "tsetserleg", true)
		}
		time.Sleep(burstAt - 3*time.Second)
		record("many users come at once")
		time.Sleep(5 * time.Second)
		added.boot("v1", time.Duration(coldS*float64(time.Second)), 0)
		from = time.Now()
		time.Sleep(time.Duration(coldS * float64(time.Second)))
		to = time.Now()
		if trouble() {
			l.lose("ub-east", "tsetserleg", false)
		}
		close(stop)
	}()
	var streams, complete, refused atomic.Int64
	one := func(n int) {
		zone := clientZones[n%len(clientZones)]
		a := streamAttempt(n, zone)
		a.headers[1] = "X-Token-Usage: 1460,80"
		list := d.addresses(zone)
		if len(list) == 0 {
			return
		}
		to := list[n/len(clientZones)%len(list)]
		record("sent %s stream to %s", a.id, to)
		o := a.send(to)
		record("answered %s status=%d whole=%t err=%v", a.id, o.status, o.whole, o.err)
		streams.Add(1)
		switch {
		case o.status == 200 && o.whole:
			complete.Add(1)
		case o.promised():
			refused.Add(1)
		}
	}
	go every(calmRate, stop, one)
	time.Sleep(burstAt)
	every((burstFactor-1)*calmRate, stop, func(n int) { one(1000000 + n) })
	if complete.Load() == 0 {
		cannotRun("no stream was complete")
	}
	most := seen.most(added.id, from, to, time.Second)
	verdict(float64(most) > bound, "a cold worker got up to %d requests in a second (more than %.1f break FAILBACK); %d streams, %d complete, %d refused", most, bound, streams.Load(), complete.Load(), refused.Load())
}

const (
	// calmRate is the usual number of streams a second: about what two engines take. burstFactor is how many times as
	// many come while many users come at once, from burstAt on.
	calmRate    = 18.0
	burstFactor = 2.5
	burstAt     = 6 * time.Second
)

// clientZones has a client's zone for each of 20 requests in turn: half of the clients are in one of the two zones that
// lose each other, most others in the other.
var clientZones = []string{
	"ub-east", "tsetserleg", "ub-east", "tsetserleg", "ub-east", "tsetserleg", "khovd-central", "tsetserleg", "ub-east", "tsetserleg",
	"ub-east", "tsetserleg", "ub-east", "tsetserleg", "ub-east", "tsetserleg", "khovd-central", "tsetserleg", "ub-east", "tsetserleg",
}
