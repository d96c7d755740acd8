package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// The cold limit of the site files, and the bound of the rule FAILBACK: coldPerS x coldOverrun + coldTolerance.
const (
	coldStart = 3 * time.Second
	coldPerS  = 9.4
	coldBound = coldPerS*1.5 + 5
)

// arrivals are the times at which requests reached a cold worker.
type arrivals struct {
	mu   sync.Mutex
	at   map[string][]time.Time
	most map[string]int
}

func newArrivals() *arrivals {
	return &arrivals{
		at:   make(map[string][]time.Time),
		most: make(map[string]int),
	}
}

// add counts an arrival, and returns how many there were within the second that ends with it.
func (a *arrivals) add(id string, now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := append(a.at[id], now)
	for now.Sub(list[0]) >= time.Second {
		list = list[1:]
	}
	a.at[id] = list
	a.most[id] = max(a.most[id], len(list))
	return len(list)
}

// worst returns the highest count of one second.
func (a *arrivals) worst() (id string, most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, n := range a.most {
		if n > most {
			id, most = i, n
		}
	}
	return id, most
}

// load sends requests at a steady rate to VMs in turn until the context ends; send is called for each.
func load(ctx context.Context, group *sync.WaitGroup, vms []*vm, perSecond float64, send func(n int, v *vm)) {
	group.Go(func() {
		gap := time.Duration(float64(time.Second) / perSecond)
		next := time.Now()
		for n := 0; ; n++ {
			next = next.Add(gap)
			if !sleep(ctx, time.Until(next)) {
				return
			}
			v := vms[n%len(vms)]
			group.Go(func() { send(n, v) })
		}
	})
}

// get sends a request and returns the status, 0 if there was no whole answer.
func get(c *http.Client, v *vm, method, path, id string, wait time.Duration, header map[string]string) int {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+v.front+path, nil)
	if err != nil {
		return 0
	}
	q.Host = "lots.example"
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	q.Header.Set("Authorization", "Bearer key-of-coop")
	for name, value := range header {
		q.Header.Set(name, value)
	}
	a, err := c.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}

// counts are the answers of clients by status.
type counts struct {
	mu sync.Mutex
	by map[int]int
}

func (c *counts) add(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = make(map[int]int)
	}
	c.by[status]++
}

func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.by)
}

// beat writes the entry of a worker as it does about every heartbeatMs, until the context ends.
func (f *fleet) beat(ctx context.Context, w *worker, slots int, coldUntil time.Time) {
	for {
		cold := max(0, int(time.Until(coldUntil).Milliseconds()))
		f.putWorker(w.id, w.service, w.address, w.zone, slots, cold, w.born)
		if !sleep(ctx, 1200*time.Millisecond) {
			return
		}
	}
}

var tenants = []any{map[string]any{"name": "coop", "apiKeys": []string{"key-of-coop"}, "priority": 1, "allowedRegions": []string{}}}

var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
