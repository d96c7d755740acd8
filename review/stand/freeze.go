package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	chatPath = "/puxa400/"
	// coldPerS, coldOverrun and coldTolerance are those of the small site.
	coldPerS      = 9.4
	coldOverrun   = 1.5
	coldTolerance = 5
)

// configure writes a configuration with one route to model workers.
func (t *test) configure(version int) {
	t.put("op/config", object{
		"version": version,
		"routes": []object{{
			"name": "r-chat", "hostname": host, "prefix": chatPath, "kind": "streaming", "timeoutMs": 6000, "sloMs": 1400, "priority": 1,
			"service": "huvo11a", "maxAttempts": 2, "phases": []object{}, "anonymous": false, "sticky": true, "resumable": false,
			"itlTargetMs": 250, "allowedRegions": []string{},
		}},
		"services": []object{{
			"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 490, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": coldPerS,
			"runtime": object{"slots": workerSlots, "kvCapacity": 255091, "kvTokenBytes": 131072, "linkMbps": 260000.0, "moves": true, "backups": true,
				"stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "modelList": []object{{"name": "m"}}},
		}},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": "bozi300", "apiKeys": []string{key}, "priority": 1, "allowedRegions": []string{}}},
	})
}

// modelFleet starts three model workers, one in each zone.
func (t *test) modelFleet() []*worker {
	var workers []*worker
	for i, z := range zones {
		workers = append(workers, t.addWorker(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", z, fmt.Sprintf("%s.%d:8080", t.network, 200+i)))
	}
	return workers
}

// failback ends the case by the rule FAILBACK.
func (t *test) failback(workers []*worker) {
	most, where := 0, ""
	var from time.Time
	for _, w := range workers {
		n, at := w.mostInASecond()
		t.rec.add("%s: at most %d requests in a second while it was cold", w.id, n)
		if n > most {
			most, where, from = n, w.id, at
		}
	}
	bound := coldPerS*coldOverrun + coldTolerance
	if most == 0 {
		t.unable("no request reached a cold worker")
	}
	t.verdict(float64(most) > bound, "%s got %d requests in the second from %.3f on while it was cold, allowed are %.1f", where, most, from.Sub(t.rec.began).Seconds(), bound)
}

// freeze freezes a machine while clients wait there for model workers, and wakes it again.
func freeze(t *test) {
	t.configure(1)
	workers := t.modelFleet()
	for _, z := range machineZones {
		t.addMachine(z)
	}
	t.startAll()
	time.Sleep(3 * time.Second)
	frozen := t.machines[4]
	var all sync.WaitGroup
	t.crowd(&all, frozen, chatPath, 100, 300*time.Millisecond, 6*time.Second)
	time.Sleep(500 * time.Millisecond)
	if t.trouble {
		t.rec.add("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(1400 * time.Millisecond)
	workers[0].turnCold(3 * time.Second)
	time.Sleep(900 * time.Millisecond)
	if t.trouble {
		t.rec.add("%s wakes", frozen.name)
		frozen.signal(syscall.SIGCONT)
	}
	all.Wait()
	t.failback(workers)
}
