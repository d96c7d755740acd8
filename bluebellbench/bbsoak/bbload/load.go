// Package bbload sends the requests of a soak, as callers do.
package bbload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/bluebellbench/bbsoak/bbprocess"
	"bluebellhall/bluebellbench/bbsoak/bbpromise"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

// Load sends requests, as callers do: each asks now and then which addresses to use, keeps its
// connections, and comes back after a refusal as it was told.
type Load struct {
	// Ledger is told of each attempt, and Processes are the VMs that are asked.
	Ledger    *bbledger.Ledger
	Processes []*bbprocess.Process

	mu    sync.Mutex
	tries []bbpromise.Try
}

const (
	// callers is the number of those that keep connections.
	callers = 12
	// addressLife is how long a caller keeps an answer of the directory.
	addressTTL = 2 * time.Second
	// askTimeout bounds a question to the directory.
	resolveTimeout = time.Second
	// maxTries bounds the attempts for one request.
	maxTries = 3
)

// Tries returns all attempts.
func (l *Load) Tries() []bbpromise.Try {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]bbpromise.Try(nil), l.tries...)
}

// Run sends requests at a rate until the context ends, and waits for their answers.
func (l *Load) Run(ctx context.Context, seed uint64, perSecond float64) {
	var group sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		client := &http.Client{
			Transport: &http.Transport{
				DisableCompression: true,
			},
		}
		var addresses []string
		var asked time.Time
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				pause := time.Duration(random.ExpFloat64() * callers / perSecond * float64(time.Second))
				if Wait(ctx, pause); ctx.Err() != nil {
					return
				}
				if time.Since(asked) > addressTTL {
					asked = time.Now()
					addresses = l.resolve(random, client, addresses)
				}
				if len(addresses) == 0 {
					continue
				}
				q := request(random, fmt.Sprintf("%x-%d-%d", seed, i, n))
				list := addresses
				choice := random.Uint64()
				group.Go(func() { l.send(client, q, list, choice) })
			}
		})
	}
	group.Wait()
}

// ask returns the addresses that a VM names, or the former ones.
func (l *Load) resolve(random *rand.Rand, client *http.Client, former []string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	vm := Pick(random, l.Processes).VM
	if found, err := bbstand.Resolve(ctx, client, vm.Directory(), "region-of-"+vm.Zone); err == nil {
		return found
	}
	return former
}

// request returns a random request.
func request(random *rand.Rand, id string) bbstand.Request {
	return requestOn(random, Pick(random, bbdeployment.Routes()), id)
}

// requestOn returns a random request on a route.
func requestOn(random *rand.Rand, r bbcatalog.Route, id string) bbstand.Request {
	q := bbstand.Request{
		Attempt: bbledger.Attempt{
			ID:      id,
			Route:   r,
			Key:     "input of " + id,
			Account: bbdeployment.AccountName,
		},
		Method: http.MethodPost,
		Host:   bbdeployment.Host,
		Path:   r.Prefix + "x?y=" + id,
		Body:   fmt.Sprintf("body of %s", id),
		Key:    bbdeployment.AccountKey,
		Wait:   3 * time.Second,
	}
	if r.Engine {
		q.Wait = 8 * time.Second
		q.Tokens = 200 + random.IntN(2000)
		q.Events = 5 + random.IntN(40)
		q.Pieces = []int{random.IntN(3), 1, 1 + random.IntN(12)}
	}
	return q
}

// Crash sends requests that ask for the same until the context ends, each to another VM: they end
// every endpoint of a service that begins to work on one.
func (l *Load) SendPoison(ctx context.Context, random *rand.Rand, route bbcatalog.Route, service string, gap time.Duration) {
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	name := fmt.Sprintf("crash-%s-%s-%x", route.Name, service, random.Uint32())
	q := requestOn(random, route, name)
	q.CrashService = service
	q.Content = bbstand.Content(q.Method, q.Path, []byte(q.Body))
	vms := random.Perm(len(l.Processes))
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		q.ID = fmt.Sprintf("%s-%d", name, n)
		l.Ledger.Expect(q.Attempt)
		front := l.Processes[vms[n%len(vms)]].VM.Front()
		attempt := q
		group.Go(func() { l.Try(client, attempt, front) })
		Wait(ctx, gap)
	}
}

// send sends a request until it is answered, may not be repeated, or its time is over.
func (l *Load) send(client *http.Client, q bbstand.Request, addresses []string, choice uint64) {
	id := q.ID
	until := time.Now().Add(q.Wait)
	for n := range maxTries {
		q.ID = fmt.Sprintf("%s-%d", id, n)
		q.Content = bbstand.Content(q.Method, q.Path, []byte(q.Body))
		q.Wait = time.Until(until)
		l.Ledger.Expect(q.Attempt)
		reply := l.Try(client, q, addresses[(choice+uint64(n))%uint64(len(addresses))])
		again := reply.NotRun() || q.Route.Kind == bbcatalog.KindIdempotent && reply.Status != http.StatusOK
		if !again || time.Until(until) < 2*reply.RetryAfter+100*time.Millisecond {
			return
		}
		time.Sleep(reply.RetryAfter)
	}
}

// Try sends one attempt to the VM with an address for callers and notes what came of it.
func (l *Load) Try(client *http.Client, q bbstand.Request, address string) bbstand.Reply {
	t := bbpromise.Try{
		Request: q,
		VM:      -1,
		Sent:    time.Now(),
	}
	for i, p := range l.Processes {
		if p.VM.Front() == address {
			t.VM, t.Boot = i, p.Boot()
		}
	}
	t.Reply = bbstand.Send(context.Background(), client, address, q)
	t.Ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, t)
	return t.Reply
}

// Wait waits for a time or for the end of the context.
func Wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Pick returns a random element.
func Pick[T any](random *rand.Rand, list []T) T {
	return list[random.IntN(len(list))]
}
