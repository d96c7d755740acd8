package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	digestPath = "/rapu30/"
	noticePath = "/kami162/"
)

// stageServices are the services of stages.
var stageServices = []struct {
	name string
	spec stageSpec
}{
	{"kafi81c", stageSpec{batch: 8, call: 200 * time.Millisecond, item: 21 * time.Millisecond}},
	{"lovo22d", stageSpec{batch: 8, call: 200 * time.Millisecond, item: 21 * time.Millisecond}},
	{"lohu93e", stageSpec{batch: 16, call: 200 * time.Millisecond, item: 11 * time.Millisecond}},
}

// inputs slows a stage worker down while it works on pieces of a request, and crashes the model worker that runs the
// request later. Stage workers turn calls away meanwhile and name a time to rest.
func inputs(t *test) {
	b := &bench{
		test: t, results: make(map[string]result), routes: make(map[string]phases), pieces: make(map[string][]int),
		onCall: func(*stageWorker, []piece) {}, onDone: func(*stageWorker, []piece) {},
	}
	services := []object{{
		"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 390, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": coldPerS,
		"runtime": object{"slots": workerSlots, "kvCapacity": 221543, "kvTokenBytes": 131072, "linkMbps": 260000.0, "moves": true, "backups": true,
			"stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "modelList": []object{{"name": "m"}}},
	}}
	var last []*stageWorker
	for i, s := range stageServices {
		services = append(services, object{
			"name": s.name, "healthPath": "/healthz", "maxConnections": 390, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"segments": object{"slots": 1, "queue": stageQueue, "batch": s.spec.batch, "callMs": s.spec.call.Milliseconds(), "itemMs": s.spec.item.Milliseconds(),
				"headroomMb": 18.0, "handleTtlS": handleTTL.Seconds(), "linkMbps": 10000},
		})
		places := zones
		if i == len(stageServices)-1 {
			places = append([]string{"ub-east"}, zones...)
		}
		for k, z := range places {
			w := b.addStageWorker(fmt.Sprintf("i-5840f%d%d", i, k), s.name, z, fmt.Sprintf("%s.%d:8080", t.network, 150+10*i+k), s.spec)
			if i == len(stageServices)-1 {
				last = append(last, w)
			}
		}
	}
	route := func(name, prefix string, stages []object) object {
		return object{
			"name": name, "hostname": host, "prefix": prefix, "kind": "streaming", "timeoutMs": 8000, "sloMs": 2300, "priority": 1,
			"service": "huvo11a", "maxAttempts": 2, "anonymous": false, "sticky": true, "resumable": true, "itlTargetMs": 300, "allowedRegions": []string{},
			"phases": stages,
		}
	}
	digest := phases{{}, {0}, {1}}
	notice := phases{{}}
	t.put("op/config", object{
		"version": 1,
		"routes": []object{
			route("r-digest", digestPath, []object{
				{"service": "kafi81c", "after": []int{}, "byteCount": 8000},
				{"service": "lovo22d", "after": []int{0}, "byteCount": 8000},
				{"service": "lohu93e", "after": []int{1}, "byteCount": 6000},
			}),
			route("r-notice", noticePath, []object{{"service": "lohu93e", "after": []int{}, "byteCount": 6000}}),
		},
		"services": services,
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": "bozi300", "apiKeys": []string{key}, "priority": 1, "allowedRegions": []string{}}},
	})
	var models []*worker
	for i := range 9 {
		models = append(models, t.addWorker(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", zones[i%3], fmt.Sprintf("%s.%d:8080", t.network, 200+i)))
	}
	for _, z := range machineZones {
		t.addMachine(z)
	}
	t.startAll()
	time.Sleep(3 * time.Second)
	for round := range 3 {
		t.rec.add("round %d", round+1)
		b.round(t, models, last, digest, notice)
		time.Sleep(4 * time.Second)
	}
	b.mu.Lock()
	wrong := b.wrong
	b.mu.Unlock()
	for _, w := range wrong {
		t.rec.add("wrong: %s", w)
	}
	first := ""
	if len(wrong) > 0 {
		first = ", the first: " + wrong[0]
	}
	t.verdict(len(wrong) > 0, "%d pieces with wrong inputs%s", len(wrong), first)
}

// round sends one request with three phases, and four others that keep the workers of its last phase busy.
func (b *bench) round(t *test, models []*worker, last []*stageWorker, digest, notice phases) {
	subject := newID()
	const slowness = 4.0
	var once sync.Once
	// The worker that has the last pieces of the request turns slow. All workers of that service want rest until a
	// time that they name to whom they turn away.
	onCall := func(w *stageWorker, entries []piece) {
		if entries[0].ID != subject || entries[0].Phase != len(digest)-1 {
			return
		}
		once.Do(func() {
			if t.trouble {
				t.rec.add("%s turns slow", w.id)
				w.setSlow(slowness)
			}
			until := time.Now().Add(1420 * time.Millisecond)
			for _, one := range last {
				one.rest(until)
			}
		})
	}
	onDone := func(w *stageWorker, entries []piece) {
		if entries[0].ID == subject && entries[0].Phase == len(digest)-1 {
			w.setSlow(1)
		}
	}
	b.mu.Lock()
	b.onCall, b.onDone = onCall, onDone
	b.mu.Unlock()
	var all sync.WaitGroup
	send := func(after time.Duration, id, path string, route phases, pieces []int, events int) {
		b.expect(id, route, pieces)
		all.Add(1)
		time.AfterFunc(after, func() {
			defer all.Done()
			t.generate(t.machines[2], id, path, pieces, events, 8*time.Second)
		})
	}
	send(0, subject, digestPath, digest, []int{1, 1, 4}, 60)
	for _, after := range []time.Duration{300, 305, 310, 500} {
		send(after*time.Millisecond, newID(), noticePath, notice, []int{16}, 5)
	}
	for end := time.Now().Add(5 * time.Second); t.trouble && time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, m := range models {
			if began, runs := m.began(subject); runs && time.Since(began) > 190*time.Millisecond {
				t.rec.add("%s crashes", m.id)
				m.crash(2 * time.Second)
				end = time.Now()
				break
			}
		}
	}
	all.Wait()
}
