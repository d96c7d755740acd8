package main

import (
	"fmt"
	"regexp"
	"strings"
	"sync/atomic"
	"time"
)

// caseVersions: a worker goes down and up by turns and comes back with another version of its software under its id.
func caseVersions() {
	f := newFleet(sevenVMs(), threeZones())
	f.store.put("op/config", streamConfiguration(3, 2.5))
	var engines []*worker
	for i := range 9 {
		z := zoneNames[i%3]
		w := &worker{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), service: "bluebell-llm", zone: z, address: fmt.Sprintf("%s.%d:8080", f.net, 100+i),
			slots: 96, queue: 200, engine: true, store: f.store,
		}
		w.boot("v1", 0, 0)
		engines = append(engines, w)
	}
	time.Sleep(200 * time.Millisecond)
	f.startAll()
	d := newDirectory(f)
	stop := make(chan struct{})
	var mixed, streams, complete atomic.Int64
	marks := regexp.MustCompile(`software=(\S+) worker=(\S+) n=(\d+)`)
	go func() {
		time.Sleep(6 * time.Second)
		if trouble() {
			// The worker goes down and up by turns under its id: with the next version of its software, which is rolled back
			// and tried again.
			e := engines[0]
			for _, version := range []string{"v2", "v1", "v2", "v1"} {
				e.crash()
				time.Sleep(downTime)
				e.boot(version, 0, firstBeat)
				time.Sleep(upTime)
			}
		} else {
			time.Sleep(4 * (downTime + upTime))
		}
		time.Sleep(5 * time.Second)
		close(stop)
	}()
	every(24, stop, func(n int) {
		a := streamAttempt(n, zoneNames[n%3])
		list := d.addresses(a.zone)
		if len(list) == 0 {
			return
		}
		record("sent %s stream to %s", a.id, list[n%len(list)])
		o := a.send(list[n%len(list)])
		versions := map[string]bool{}
		var story []string
		for _, m := range marks.FindAllStringSubmatch(o.body, -1) {
			versions[m[1]] = true
			if k := len(story); k == 0 || !strings.HasSuffix(story[k-1], m[1]+"@"+m[2]) {
				story = append(story, m[3]+":"+m[1]+"@"+m[2])
			}
		}
		streams.Add(1)
		if o.whole && o.status == 200 {
			complete.Add(1)
		}
		word := ""
		if len(versions) > 1 {
			mixed.Add(1)
			word = " MIXED"
		}
		record("answered %s status=%d whole=%t events=%v%s", a.id, o.status, o.whole, story, word)
	})
	if complete.Load() < streams.Load()/2 {
		cannotRun("only %d of %d streams were complete", complete.Load(), streams.Load())
	}
	verdict(mixed.Load() > 2, "%d of %d streams hold events of workers of two software versions (more than 2 break ORDER); %d complete", mixed.Load(), streams.Load(), complete.Load())
}

const (
	// downTime and upTime make the period of 1.7 s with which the worker goes down and up.
	downTime = 300 * time.Millisecond
	upTime   = 1400 * time.Millisecond
	// firstBeat is when after its start the worker writes its entry: one heartbeat.
	firstBeat = heartbeat
)
