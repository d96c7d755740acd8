package main

import (
	"os"
	"path/filepath"
	"sync"
	"time"
)

// seeds loses the machines that the seeds name, adds a machine whose settings still name them, and mends its settings
// file without a signal.
func seeds(t *test) {
	t.configure(1)
	workers := t.modelFleet()
	for _, z := range machineZones {
		t.addMachine(z)
	}
	t.startAll()
	time.Sleep(3 * time.Second)
	old := []*machine{t.machines[0], t.machines[3], t.machines[5]}
	lost := time.Now()
	if t.trouble {
		for _, m := range old {
			m.kill()
			t.rec.add("%s is lost", m.name)
		}
		time.Sleep(time.Second)
	}
	added := t.addMachine("ub-east")
	for _, m := range old {
		added.seeds = append(added.seeds, m.peer)
	}
	added.start()
	t.awaitReady(added)
	// Seeds are stale for at most seedLagS.
	time.Sleep(time.Until(lost.Add(2900 * time.Millisecond)))
	added.seeds = []string{t.machines[1].peer, t.machines[4].peer, t.machines[6].peer}
	if err := os.WriteFile(filepath.Join(t.dir, added.name+".conf"), []byte(added.settings()), 0o600); err != nil {
		t.unable("%v", err)
	}
	t.rec.add("the settings file of %s names running machines as seeds", added.name)
	time.Sleep(15 * time.Second)
	workers[0].turnCold(3 * time.Second)
	time.Sleep(800 * time.Millisecond)
	var all sync.WaitGroup
	for _, m := range []*machine{added, t.machines[2]} {
		t.crowd(&all, m, chatPath, 60, 100*time.Millisecond, 6*time.Second)
	}
	all.Wait()
	t.failback(workers)
}
