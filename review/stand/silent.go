package main

import (
	"sync"
	"time"
)

// silent makes the open channels to the coordinator go silent while clients wait there and at another machine for model
// workers, one of which is cold.
func silent(t *test) {
	t.configure(1)
	workers := t.modelFleet()
	for _, z := range machineZones {
		t.addMachine(z)
	}
	oldest := t.machines[0]
	oldest.peerListen = oldest.ip + ":7740"
	channels := t.addLink(oldest.peer, oldest.peerListen)
	t.startAll()
	time.Sleep(3 * time.Second)
	workers[0].turnCold(4 * time.Second)
	time.Sleep(600 * time.Millisecond)
	if t.trouble {
		t.rec.add("the open channels from other machines to %s go silent", oldest.name)
		channels.silence()
	}
	var all sync.WaitGroup
	t.crowd(&all, oldest, chatPath, 100, 200*time.Millisecond, 6*time.Second)
	t.crowd(&all, t.machines[4], chatPath, 60, 200*time.Millisecond, 6*time.Second)
	all.Wait()
	t.failback(workers)
}
