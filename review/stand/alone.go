package main

import (
	"fmt"
	"sync"
	"time"
)

// alone cuts a machine off from the other machines, kills its process, which is started again, and lets clients come to
// it and to another machine while a model worker is cold.
func alone(t *test) {
	t.configure(1)
	workers := t.modelFleet()
	for _, z := range machineZones {
		t.addMachine(z)
	}
	cut := t.machines[6]
	cut.peerListen = cut.ip + ":7740"
	links := []*link{t.addLink(cut.peer, cut.peerListen)}
	for i, other := range []*machine{t.machines[0], t.machines[3], t.machines[5]} {
		address := fmt.Sprintf("%s.%d:8628", t.network, 220+i)
		links = append(links, t.addLink(address, other.peer))
		cut.seeds = append(cut.seeds, address)
	}
	t.startAll()
	time.Sleep(3 * time.Second)
	if t.trouble {
		for _, k := range links {
			k.set(true)
		}
		t.rec.add("%s is cut off from the other machines and killed", cut.name)
		cut.kill()
		time.Sleep(500 * time.Millisecond)
		cut.start()
		t.awaitReady(cut)
	}
	time.Sleep(2500 * time.Millisecond)
	workers[0].turnCold(3 * time.Second)
	time.Sleep(800 * time.Millisecond)
	var all sync.WaitGroup
	for _, m := range []*machine{cut, t.machines[1]} {
		t.crowd(&all, m, chatPath, 60, 100*time.Millisecond, 6*time.Second)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, k := range links {
		k.set(false)
	}
	t.rec.add("the links are whole")
	all.Wait()
	t.failback(workers)
}
