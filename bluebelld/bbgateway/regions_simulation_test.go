package bbgateway

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/bluebelld/bbrecord"
	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
	"bluebellhall/core/bbsuspect"
)

var regionSeeds = flag.Uint64("regionSeeds", 24, "the number of seeds of TestRandomEventsKeepRegions")

const (
	// arrivalTime is how long requests arrive and configurations and endpoints change.
	arrivalTime      = 20 * time.Second
	simulatedRegions = 3
	simulatedVMs     = 3
	// viewDelay is the longest time until a VM has a published configuration or a change of the endpoints.
	viewDelay = time.Second
	// messageDelay is the longest time that an order, a grant or a permit takes.
	messageDelay = 600 * time.Millisecond
)

// simulatedAnswers are the answers of the endpoints of a simulation, by the header Answer of a request.
var simulatedAnswers = map[string]func(last int) string{
	"ok":     func(int) string { return answerOK },
	"lost":   func(int) string { return answerLost },
	"notRun": func(int) string { return answerNotRun },
	"failed": func(int) string { return answerFailed },
	"events": func(last int) string { return stream(fmt.Sprintf("id: %d\ndata: a\n\n", last+1)) },
	"cut":    func(last int) string { return stream(fmt.Sprintf("id: %d\ndata: a\n\nid: %d\nda", last+1, last+2)) },
}

// serveSimulated answers requests as their headers say, and returns its address.
func serveSimulated(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				last, _ := strconv.Atoi(r.Header.Get("Last"))
				io.WriteString(conn, simulatedAnswers[r.Header.Get("Answer")](last))
			}()
		}
	}()
	return l.Addr().String()
}

// simulatedVM is a gateway with its own view of the configuration and the endpoints.
type simulatedVM struct {
	gateway *Gateway
	index   *bbcatalog.Index
	entries []*bbregistry.Entry
	// routes has each route as of the latest configuration so far that has it.
	routes map[string]*bbcatalog.Route
}

// take puts a configuration in force.
func (v *simulatedVM) take(x *bbcatalog.Index) {
	v.index = bbcatalog.NewIndexAfter(x.Catalog, v.index)
	for i := range x.Catalog.Routes {
		r := &x.Catalog.Routes[i]
		v.routes[r.Name] = r
	}
}

// regions returns the regions in which requests of a route may be served. A route that is gone keeps those that it had
// last.
func (v *simulatedVM) regions(route string) []string {
	var account *bbcatalog.Account
	if accountOf(route) != "" {
		account = v.index.Account("k")
	}
	return bbcatalog.Regions(v.routes[route], account)
}

// simulation drives gateways through a random order of events on the clock of a synctest bubble, and checks each order
// and each request that is sent to an endpoint.
type simulation struct {
	address string
	began   time.Time
	// removes is true if configurations may lack routes.
	removes bool

	mu       sync.Mutex
	random   *rand.Rand
	vms      []*simulatedVM
	versions []*bbcatalog.Index
	// entries are the endpoints that are up, zones the failure domains of all that ever were.
	entries []*bbregistry.Entry
	zones   map[string]string
	// sends and orders count what was checked.
	sends, orders int
	faults        []string
}

// newSimulation returns a simulation whose endpoints answer at an address.
func newSimulation(seed uint64, address string, removes bool) *simulation {
	s := &simulation{
		address: address,
		removes: removes,
		began:   time.Now(),
		random:  rand.New(rand.NewPCG(seed, 0)),
		zones:   make(map[string]string),
	}
	for _, service := range []string{"s", "s", "engine", "engine"} {
		for i := range simulatedRegions {
			s.list(service, fmt.Sprint("z", i))
		}
	}
	s.versions = append(s.versions, s.newCatalog())
	for i := range simulatedVMs {
		v := &simulatedVM{
			entries: slices.Clone(s.entries),
			routes:  make(map[string]*bbcatalog.Route),
		}
		v.take(s.versions[0])
		v.gateway = s.newGateway(fmt.Sprint("vm", i), v)
		s.vms = append(s.vms, v)
	}
	return s
}

// newGateway returns the gateway of a VM.
func (s *simulation) newGateway(name string, v *simulatedVM) *Gateway {
	codec := testCodec
	codec.Encode = func(caller http.Header, f bbcodec.Forward) http.Header {
		h := testCodec.Encode(caller, f)
		h.Set("Answer", s.checkSend(v, caller, f))
		return h
	}
	return New(name, "z0", "r0", codec, Hooks{
		Now: func() time.Duration { return time.Since(s.began) },
		Index: func() *bbcatalog.Index {
			s.mu.Lock()
			defer s.mu.Unlock()
			return v.index
		},
		Endpoints: func(service string) []*bbregistry.Entry { return s.listed(v, service) },
		MaySend: func(id string) (bbstanding.Process, bool) {
			return bbstanding.Process{ID: id}, s.zoneAt(v, id) != ""
		},
		GrantHolds: func(bbjob.Grant, string) bool { return true },
		Permit: func(ctx context.Context, id string) bool {
			s.checkRegion(v, "chosen for", ctx.Value(routeKey{}).(string), id)
			return s.delay(ctx)
		},
		RecordSignal: func(bbstanding.Process, bbstanding.Signal, time.Duration) {},
		BackoffUntil: func(string) time.Duration { return 0 },
		Region:       regionOf,
		Zone:         func(id string) string { return s.zoneAt(v, id) },
		Order: func(ctx context.Context, o bbjob.Order) (bbjob.Verdict, string, error) {
			return s.order(ctx, v, o)
		},
		Note:          func(string, bbjob.Note) {},
		Log:           func(bbrecord.Request) {},
		RunFailed:     func(bbrecord.FailedRun) {},
		Answered:      func(string) {},
		Succeeded:     func(uint64, []uint64, time.Duration) {},
		Suspicion:     func(uint64) bbsuspect.Verdict { return bbsuspect.Clear },
		RefusesPrompt: func([]uint64) bool { return false },
		NewWindow: func() *bballowance.Window {
			return &bballowance.Window{
				Span:  10 * time.Second,
				Ratio: 1,
				Slack: 100,
			}
		},
		Leaving: func() bool { return false },
		ExtraSends: bbfeature.ExtraSends{
			Mode:  bbfeature.ModeOn,
			Share: bbfeature.MaxShare,
		},
	})
}

// regionOf returns the region of a failure domain: z0 is in r0.
func regionOf(zone string) string {
	if zone == "" {
		return ""
	}
	return "r" + zone[1:]
}

// list adds an endpoint that is up.
func (s *simulation) list(service, zone string) *bbregistry.Entry {
	e := &bbregistry.Entry{
		Endpoint: bbregistry.Endpoint{
			ID:      fmt.Sprint(service, len(s.zones)),
			Service: service,
			Address: s.address,
			Zone:    zone,
		},
	}
	s.zones[e.ID] = zone
	s.entries = append(s.entries, e)
	return e
}

// listed returns the endpoints of a service that a VM knows.
func (s *simulation) listed(v *simulatedVM, service string) []*bbregistry.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*bbregistry.Entry
	for _, e := range v.entries {
		if e.Service == service {
			list = append(list, e)
		}
	}
	return list
}

// zoneAt returns the failure domain of an endpoint that a VM knows; empty if it doesn't.
func (s *simulation) zoneAt(v *simulatedVM, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range v.entries {
		if e.ID == id {
			return e.Zone
		}
	}
	return ""
}

// newCatalog returns the next configuration, with random regions of the routes and the account.
func (s *simulation) newCatalog() *bbcatalog.Index {
	c := bbcatalog.Catalog{
		Version:  uint64(len(s.versions) + 1),
		Services: []bbcatalog.Service{{Name: "s"}, {Name: "engine", Engine: &bbcatalog.Engine{}}},
		Accounts: []bbcatalog.Account{{Name: "acme", Keys: []string{"k"}, Regions: s.randomRegions()}},
		Limits:   bbcatalog.Limits{BodyBytes: 100, HeaderBytes: 1000},
	}
	for _, r := range simulatedRoutes {
		if s.removes && len(s.versions) > 0 && s.random.IntN(4) == 0 {
			continue
		}
		r.Host = "host"
		r.Prefix = "/" + r.Name + "/"
		r.Timeout = 5 * time.Second
		r.Objective = time.Second
		r.MaxAttempts = 3
		r.Regions = s.randomRegions()
		c.Routes = append(c.Routes, r)
	}
	return bbcatalog.NewIndex(c)
}

// simulatedRoutes are the routes of a simulation without the fields that all have or that change.
var simulatedRoutes = []bbcatalog.Route{
	{Name: "read", Kind: bbcatalog.KindIdempotent, Anonymous: true, Shares: []bbcatalog.Share{{Service: "s", Weight: 1}}},
	{Name: "keyed", Kind: bbcatalog.KindIdempotent, Shares: []bbcatalog.Share{{Service: "s", Weight: 1}}},
	{Name: "once", Kind: bbcatalog.KindOnce, Shares: []bbcatalog.Share{{Service: "s", Weight: 1}}},
	{Name: "model", Kind: bbcatalog.KindIdempotent, Anonymous: true, Shares: []bbcatalog.Share{{Service: "engine", Weight: 1}}},
	{Name: "resume", Kind: bbcatalog.KindStream, Resumable: true, Shares: []bbcatalog.Share{{Service: "engine", Weight: 1}}},
}

// accountOf returns the name of the account of requests of a route.
func accountOf(route string) string {
	if route == "read" || route == "model" {
		return ""
	}
	return "acme"
}

// randomRegions returns one or two regions, or none, which allows all.
func (s *simulation) randomRegions() []string {
	first := s.random.IntN(simulatedRegions)
	switch s.random.IntN(6) {
	case 0:
		return nil
	case 1, 2:
		return []string{fmt.Sprint("r", first)}
	}
	return []string{fmt.Sprint("r", first), fmt.Sprint("r", (first+1)%simulatedRegions)}
}

// between returns a random duration.
func (s *simulation) between(from, to time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// intn returns a random number below n.
func (s *simulation) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// delay waits for a message. It reports false if the context ends before.
func (s *simulation) delay(ctx context.Context) bool {
	select {
	case <-time.After(s.between(0, messageDelay)):
		return true
	case <-ctx.Done():
		return false
	}
}

// run runs all events.
func (s *simulation) run() {
	var running sync.WaitGroup
	// repeat runs a function again and again.
	repeat := func(from, to time.Duration, event func()) {
		running.Go(func() {
			for time.Since(s.began) < arrivalTime {
				time.Sleep(s.between(from, to))
				running.Go(event)
			}
		})
	}
	repeat(5*time.Millisecond, 80*time.Millisecond, s.request)
	repeat(200*time.Millisecond, 2*time.Second, s.publish)
	repeat(200*time.Millisecond, time.Second, s.endEndpoint)
	running.Wait()
}

// toEachVM changes the view of each VM at a time of its own.
func (s *simulation) toEachVM(change func(v *simulatedVM)) {
	var running sync.WaitGroup
	for _, v := range s.vms {
		d := s.between(0, viewDelay)
		running.Go(func() {
			time.Sleep(d)
			s.mu.Lock()
			defer s.mu.Unlock()
			change(v)
		})
	}
	running.Wait()
}

// publish publishes a configuration.
func (s *simulation) publish() {
	s.mu.Lock()
	x := s.newCatalog()
	s.versions = append(s.versions, x)
	s.mu.Unlock()
	s.toEachVM(func(v *simulatedVM) {
		if x.Catalog.Version > v.index.Catalog.Version {
			v.take(x)
		}
	})
}

// endEndpoint ends an endpoint. It comes back in another failure domain, with another ID at the same address.
func (s *simulation) endEndpoint() {
	s.mu.Lock()
	i := s.random.IntN(len(s.entries))
	e := s.entries[i]
	s.entries = slices.Delete(s.entries, i, i+1)
	s.mu.Unlock()
	s.toEachVM(func(v *simulatedVM) {
		v.entries = slices.DeleteFunc(slices.Clone(v.entries), func(k *bbregistry.Entry) bool { return k == e })
	})
	zone := fmt.Sprint("z", s.intn(simulatedRegions))
	s.mu.Lock()
	back := s.list(e.Service, zone)
	s.mu.Unlock()
	s.toEachVM(func(v *simulatedVM) { v.entries = append(slices.Clone(v.entries), back) })
}

// request sends a request of a random route to a random VM.
func (s *simulation) request() {
	route := simulatedRoutes[s.intn(len(simulatedRoutes))].Name
	r := httptest.NewRequest(http.MethodPost, "http://host/"+route+"/", nil)
	r.RequestURI = "/" + route + "/"
	r.Header.Set("Id", "1")
	r.Header.Set("Route", route)
	if accountOf(route) != "" {
		r.Header.Set("Key", "k")
	}
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	r = r.WithContext(context.WithValue(r.Context(), routeKey{}, route))
	s.vms[s.intn(simulatedVMs)].gateway.ServeHTTP(httptest.NewRecorder(), r)
}

// routeKey is the key of the route's name in the context of a request.
type routeKey struct{}

// checkRegion checks that the configuration in force on a VM allows a route at an endpoint.
func (s *simulation) checkRegion(v *simulatedVM, what, route, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	regions := v.regions(route)
	if region := regionOf(s.zones[endpoint]); !bbcatalog.InRegions(regions, region) {
		s.faults = append(s.faults, fmt.Sprintf("%v: %s %s %s in region %s; version %d of the configuration allows %v",
			time.Since(s.began), endpoint, what, route, region, v.index.Catalog.Version, regions))
	}
}

// checkSend checks a request that is about to be sent, and returns what the endpoint answers.
func (s *simulation) checkSend(v *simulatedVM, caller http.Header, f bbcodec.Forward) string {
	route := caller.Get("Route")
	s.checkRegion(v, "gets a request of", route, f.Endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends++
	answers := []string{"ok", "ok", "ok", "ok", "ok", "ok", "ok", "lost", "lost", "failed", "failed", "notRun"}
	if route == "resume" {
		answers = []string{"events", "cut", "lost", "notRun"}
	}
	return answers[s.random.IntN(len(answers))]
}

// order checks that an order states the regions in force on its VM, and grants an engine. The configuration of the
// coordinator may be earlier or later than that of the origin, and one in four ignores what the order states.
func (s *simulation) order(ctx context.Context, v *simulatedVM, o bbjob.Order) (bbjob.Verdict, string, error) {
	s.mu.Lock()
	s.orders++
	if diff := cmp.Diff(v.regions(o.Route), o.Regions); diff != "" || o.CatalogVersion != v.index.Catalog.Version {
		s.faults = append(s.faults, fmt.Sprintf("%v: order of %s with version %d, want %d; regions (-want +got):\n%s",
			time.Since(s.began), o.Route, o.CatalogVersion, v.index.Catalog.Version, diff))
	}
	s.mu.Unlock()
	if !s.delay(ctx) {
		return bbjob.Verdict{}, "", ctx.Err()
	}
	s.mu.Lock()
	version := s.vms[s.random.IntN(simulatedVMs)].index.Catalog.Version
	if s.random.IntN(4) > 0 {
		version = max(version, o.CatalogVersion)
	}
	regions, ok := s.versions[version-1].RegionsOf(o.Route, o.Account)
	if !ok {
		regions = o.Regions
	}
	engines := slices.DeleteFunc(slices.Clone(s.entries), func(e *bbregistry.Entry) bool {
		return e.Service != "engine" || slices.Contains(o.Avoid, e.ID) || !bbcatalog.InRegions(regions, regionOf(e.Zone))
	})
	verdict := bbjob.Verdict{
		Refusal: &bbjob.Refusal{
			Reason: "noEngine",
		},
	}
	if len(engines) > 0 {
		e := engines[s.random.IntN(len(engines))]
		verdict = bbjob.Verdict{
			Grant: &bbjob.Grant{
				ID:       o.ID,
				Endpoint: e.ID,
				Address:  e.Address,
			},
		}
	}
	s.mu.Unlock()
	if !s.delay(ctx) {
		return bbjob.Verdict{}, "", ctx.Err()
	}
	return verdict, "vm0", nil
}

// wantRegionsKept runs the simulation of each seed and checks that none has a fault. Removes is true if configurations may
// lack routes.
func wantRegionsKept(t *testing.T, removes bool) {
	t.Helper()
	address := serveSimulated(t)
	broken := 0
	for seed := range *regionSeeds {
		var s *simulation
		synctest.Test(t, func(*testing.T) {
			s = newSimulation(seed, address, removes)
			s.run()
		})
		hedges := 0
		for _, v := range s.vms {
			hedges += int(v.gateway.Hedges()["s"].Sent)
		}
		t.Logf("seed %d: %d requests sent, %d hedges, %d orders, %d versions, %d endpoints",
			seed, s.sends, hedges, s.orders, len(s.versions), len(s.zones))
		if s.sends == 0 || s.orders == 0 || hedges == 0 {
			t.Errorf("seed %d: %d requests sent, %d hedges, %d orders; want some of each", seed, s.sends, hedges, s.orders)
		}
		if len(s.faults) > 0 {
			broken++
			t.Errorf("seed %d: %d faults, the first at %s", seed, len(s.faults), s.faults[0])
		}
	}
	if broken > 0 {
		t.Errorf("%d of %d seeds have a fault", broken, *regionSeeds)
	}
}

// TestRandomEventsKeepRegions guards against requests that are sent to engines and plain endpoints outside the regions of
// their route or account, and against orders with such regions, after any order of configurations, changes of endpoints,
// waits, failures and hedges.
func TestRandomEventsKeepRegions(t *testing.T) {
	wantRegionsKept(t, false)
}

// TestRandomEventsKeepRegionsOfRemovedRoutes guards against requests in progress whose route moves to other regions and is
// then removed: they must not return to the regions of their arrival.
func TestRandomEventsKeepRegionsOfRemovedRoutes(t *testing.T) {
	wantRegionsKept(t, true)
}
