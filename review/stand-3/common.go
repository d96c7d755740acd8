package main

import (
	"fmt"
	"sync"
	"time"
)

// configuration returns a configuration in the platform's form.
func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{},
	}
}

func plainRoute(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "hostname": "fair.example", "prefix": prefix, "kind": kind, "timeoutMs": 3000, "sloMs": 200,
		"priority": 2, "service": service, "maxAttempts": 2, "phases": []any{}, "anonymous": false, "sticky": false,
		"resumable": false, "itlTargetMs": 0, "allowedRegions": []any{},
	}
}

func plainService(name string, coldS, coldPerS float64) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false,
		"coldStartS": coldS, "coldPerS": coldPerS,
	}
}

// sevenVMs are those of the small sites.
func sevenVMs() []string {
	return []string{"ub-east", "ub-east", "ub-east", "tsetserleg", "tsetserleg", "khovd-central", "khovd-central"}
}

var zoneNames = []string{"ub-east", "tsetserleg", "khovd-central"}

// streamConfiguration has one route of streams that may be resumed, and the engines' service.
func streamConfiguration(coldS, coldPerS float64) map[string]any {
	return configuration(7, []map[string]any{{
		"name": "contract", "hostname": "fair.example", "prefix": "/contract/", "kind": "streaming", "timeoutMs": 6000, "sloMs": 2000,
		"priority": 0, "service": "bluebell-llm", "maxAttempts": 2, "phases": []any{}, "anonymous": false, "sticky": true,
		"resumable": true, "itlTargetMs": 250, "allowedRegions": []any{},
	}}, []map[string]any{{
		"name": "bluebell-llm", "healthPath": "/healthz", "maxConnections": 490, "protocol": "h1", "tls": false,
		"coldStartS": coldS, "coldPerS": coldPerS,
		"runtime": map[string]any{"slots": 96, "kvCapacity": 255091, "kvTokenBytes": 131072, "linkMbps": 260000.0, "moves": true,
			"backups": true, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0,
			"modelList": []any{map[string]any{"name": "m"}}},
	}})
}

// streamAttempt is a request for a stream of 40 events.
func streamAttempt(n int, zone string) attempt {
	return attempt{
		id: newID(), zone: zone, method: "POST", target: "/contract/2f", body: fmt.Sprintf("draft %d", n), limit: 6 * time.Second,
		headers: []string{"X-Model: m", "X-Token-Usage: 1460,160", fmt.Sprintf("X-Prefix-Hash: 5c1e07a2:568,%08x:892", n+1)},
	}
}

// arrivals has the times of the requests that reached each worker.
type arrivals struct {
	mu    sync.Mutex
	times map[string][]time.Time
	ids   map[string][]string
}

func newArrivals() *arrivals {
	return &arrivals{times: make(map[string][]time.Time), ids: make(map[string][]string)}
}

func (a *arrivals) add(worker, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[worker] = append(a.times[worker], time.Now())
	a.ids[worker] = append(a.ids[worker], id)
}

// most returns the most arrivals at a worker in a span that lies between two times.
func (a *arrivals) most(worker string, from, to time.Time, span time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	t := a.times[worker]
	for i := range t {
		n := 0
		for _, x := range t[i:] {
			if !t[i].Before(from) && x.Before(to) && x.Sub(t[i]) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
