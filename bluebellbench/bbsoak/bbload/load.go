// Package bbload generates the requests of a soak test, as callers send them.
package bbload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/bluebellbench/bbsoak/bbprocess"
	"bluebellhall/bluebellbench/bbsoak/bbpromise"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

// Load sends requests as callers do: each caller asks the directory now and then which addresses to use, keeps
// its connections open, and retries a refused request after the Retry-After of the answer.
type Load struct {
	// Ledger records each attempt before it is sent; Processes are the VMs that receive the requests.
	Ledger    *bbledger.Ledger
	Processes []*bbprocess.Process
	// Routes are the routes that Run sends requests on.
	Routes []bbcatalog.Route
	// BreakShare is the share of attempts on resumable routes, from 0 to 1, whose connections break under way.
	BreakShare float64
	// GivesUp is true if callers don't take up streams that broke off.
	GivesUp bool

	mu    sync.Mutex
	tries []bbpromise.Try
}

const (
	// callers is the number of callers, each with its own connections.
	callers = 12
	// addressTTL is how long a caller uses an answer of the directory.
	addressTTL = 2 * time.Second
	// resolveTimeout is the timeout of a request to the directory.
	resolveTimeout = time.Second
	// maxTries is the maximum number of attempts for one request, maxStreamTries that for one resumable stream.
	maxTries       = 3
	maxStreamTries = 4
)

// Tries returns all attempts that have ended.
func (l *Load) Tries() []bbpromise.Try {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]bbpromise.Try(nil), l.tries...)
}

// Run sends requests at a mean rate until the context ends, and waits for their answers.
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
				q := requestOn(random, Pick(random, l.Routes), fmt.Sprintf("%x-%d-%d", seed, i, n))
				list := addresses
				choice := random.Uint64()
				group.Go(func() { l.send(client, q, list, choice) })
			}
		})
	}
	group.Wait()
}

// resolve returns the addresses that the directory of a random VM answers with, or the previous ones if it
// doesn't answer.
func (l *Load) resolve(random *rand.Rand, client *http.Client, previous []string) []string {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	vm := Pick(random, l.Processes).VM
	if found, err := bbstand.Resolve(ctx, client, vm.Directory(), "region-of-"+vm.Zone); err == nil {
		return found
	}
	return previous
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
		q.Wait = r.Timeout + 2*time.Second
		q.Tokens = 200 + random.IntN(2000)
		q.Events = 5 + random.IntN(40)
		q.Pieces = []int{random.IntN(3), 1, 1 + random.IntN(12)}
		q.Parts = []string{
			fmt.Sprint("first", random.IntN(firstParts)),
			fmt.Sprint("subject", random.IntN(subjects)),
			"of-" + id,
		}
	}
	return q
}

const (
	// firstParts is the number of different first parts of prompts, subjects that of second parts.
	firstParts = 3
	subjects   = 20
)

// SendCrashingPart sends different requests on a route until the context ends, to each VM in turn, whose prompts
// share a part that crashes each engine which begins to answer.
func (l *Load) SendCrashingPart(ctx context.Context, random *rand.Rand, route bbcatalog.Route, gap time.Duration) {
	part := fmt.Sprintf("crash-%s-%x", route.Name, random.Uint32())
	l.sendInTurn(ctx, random, gap, func(n int) bbstand.Request {
		q := requestOn(random, route, fmt.Sprintf("%s-%d", part, n))
		q.CrashPart = part
		q.Parts = slices.Insert(q.Parts, 1+random.IntN(2), part)
		q.Content = bbstand.Content(q.Method, q.Path, []byte(q.Body))
		return q
	})
}

// sendInTurn sends requests until the context ends, to each VM in turn, and waits for their answers.
func (l *Load) sendInTurn(ctx context.Context, random *rand.Rand, gap time.Duration, next func(n int) bbstand.Request) {
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	vms := random.Perm(len(l.Processes))
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		q := next(n)
		l.Ledger.Expect(q.Attempt)
		front := l.Processes[vms[n%len(vms)]].VM.Front()
		group.Go(func() { l.Try(client, q, front) })
		Wait(ctx, gap)
	}
}

// SendPoison sends requests with the same content until the context ends, to each VM in turn. Each request
// crashes every endpoint of a service that starts work on it.
func (l *Load) SendPoison(ctx context.Context, random *rand.Rand, route bbcatalog.Route, service string, gap time.Duration) {
	name := fmt.Sprintf("crash-%s-%s-%x", route.Name, service, random.Uint32())
	q := requestOn(random, route, name)
	q.CrashService = service
	q.Content = bbstand.Content(q.Method, q.Path, []byte(q.Body))
	l.sendInTurn(ctx, random, gap, func(n int) bbstand.Request {
		q.ID = fmt.Sprintf("%s-%d", name, n)
		return q
	})
}

// send sends a request, and repeats it until it is answered, must not be repeated, or has too little
// time left. It takes up a resumable stream that broke off at any VM.
func (l *Load) send(client *http.Client, q bbstand.Request, addresses []string, choice uint64) {
	random := rand.New(rand.NewPCG(choice, 0))
	id, tries := q.ID, maxTries
	if q.Route.Resumable {
		tries = maxStreamTries
	}
	until := time.Now().Add(q.Wait)
	for n := range tries {
		q.ID = fmt.Sprintf("%s-%d", id, n)
		q.Content = bbstand.Content(q.Method, q.Path, []byte(q.Body))
		q.Wait = time.Until(until)
		q.BreakAfter = 0
		if left := q.Events - q.LastEvent; q.Route.Resumable && left > 1 && random.Float64() < l.BreakShare {
			q.BreakAfter = 1 + random.IntN(left-1)
		}
		l.Ledger.Expect(q.Attempt)
		address := addresses[(choice+uint64(n))%uint64(len(addresses))]
		if q.Resumes != "" {
			address = Pick(random, l.Processes).VM.Front()
		}
		reply := l.Try(client, q, address)
		repeat := reply.NotRun() || q.Route.Kind == bbcatalog.KindIdempotent && reply.Status != http.StatusOK
		if q.Route.Resumable && !l.GivesUp {
			q = next(q, reply)
			repeat = !reply.Answered() && q.LastEvent < q.Events
		}
		if !repeat || time.Until(until) < 2*reply.RetryAfter+100*time.Millisecond {
			return
		}
		time.Sleep(reply.RetryAfter)
	}
}

// next returns the request that takes up the stream of an attempt after its last event.
func next(q bbstand.Request, reply bbstand.Reply) bbstand.Request {
	if reply.Status != http.StatusOK {
		return q
	}
	if n := bbstand.CountEvents(reply.Body); n > 0 {
		q.Resumes = q.StreamID()
		q.LastEvent += n
	}
	return q
}

// Try sends one attempt to the VM that listens for callers on an address, and records the reply.
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

// Probe sends a VM a request with the given ID on the route that a configuration version adds.
func (l *Load) Probe(client *http.Client, vm int, id string, version uint64) {
	q := bbstand.Request{
		Attempt: bbledger.Attempt{
			ID:    id,
			Route: bbdeployment.Routes()[0],
		},
		Method:  http.MethodGet,
		Host:    bbdeployment.Host,
		Path:    bbdeployment.ProbePrefix(version) + id,
		Wait:    time.Second,
		Version: version,
	}
	q.Content = bbstand.Content(q.Method, q.Path, nil)
	l.Ledger.Expect(q.Attempt)
	l.Try(client, q, l.Processes[vm].VM.Front())
}

// Wait waits for a duration or until the context ends.
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
