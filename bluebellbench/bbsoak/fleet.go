package bbsoak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbregistry"
	"bluebellhall/platform/bbstand"
)

// The services of a soak.
const (
	plainService  = "lookup"
	firstStage    = "portal"
	secondStage   = "board"
	engineService = "llm"
)

// host is the host name of all routes.
const host = "soak.example"

// accountKey names the client account of all requests that need one.
const (
	accountKey  = "key-of-acme"
	accountName = "acme"
)

const (
	// heartbeats is how long the entry of an endpoint that has crashed stays.
	heartbeats = 3600 * time.Millisecond
	// graceTime is the time from the signal to stop to the end by force.
	graceTime = 8 * time.Second
	// coldTime is how long engines are cold after a start, coldRate what they carry then.
	coldTime = 3 * time.Second
	coldRate = 9.4
	// pageSize is the most items of one answer of the store.
	pageSize = 50
)

// zones are the failure domains, one a region.
var zones = []string{"east", "west", "south"}

// services returns all services. Stages are quick, so that small soaks go through many.
func services() []bbcatalog.Service {
	pool := func(name string, batch int, room float64) bbcatalog.Service {
		return bbcatalog.Service{
			Name:           name,
			MaxConnections: 300,
			Pool: &bbcatalog.Pool{
				Slots:      1,
				Queue:      2,
				Batch:      batch,
				CallTime:   60 * time.Millisecond,
				PieceTime:  5 * time.Millisecond,
				RoomBytes:  room,
				ResultLife: 4 * time.Second,
			},
		}
	}
	return []bbcatalog.Service{
		{
			Name:           plainService,
			MaxConnections: 300,
		},
		pool(firstStage, 8, 18e6),
		pool(secondStage, 16, 1e6),
		{
			Name:           engineService,
			MaxConnections: 300,
			ColdRate:       coldRate,
			Engine: &bbcatalog.Engine{
				Slots:  96,
				Tokens: 250e3,
			},
		},
	}
}

// routes returns the routes that are always there.
func routes() []bbcatalog.Route {
	plain := func(name string, kind bbcatalog.Kind, attempts int) bbcatalog.Route {
		return bbcatalog.Route{
			Name:        name,
			Host:        host,
			Prefix:      "/" + name + "/",
			Kind:        kind,
			Timeout:     1500 * time.Millisecond,
			Objective:   300 * time.Millisecond,
			Priority:    1,
			Shares:      []bbcatalog.Share{{Service: plainService, Weight: 1}},
			MaxAttempts: attempts,
		}
	}
	chat := func(name string, resumable bool, attempts int) bbcatalog.Route {
		return bbcatalog.Route{
			Name:        name,
			Host:        host,
			Prefix:      "/" + name + "/",
			Kind:        bbcatalog.KindStream,
			Timeout:     6 * time.Second,
			Objective:   1500 * time.Millisecond,
			Pause:       300 * time.Millisecond,
			Shares:      []bbcatalog.Share{{Service: engineService, Weight: 1}},
			MaxAttempts: attempts,
			Engine:      true,
			Resumable:   resumable,
			Stages: []bbcatalog.Stage{
				{Service: firstStage, ResultBytes: 1.5e6},
				{Service: firstStage, ResultBytes: 8e3},
				{Service: secondStage, After: []int{1}, ResultBytes: 6e3},
			},
		}
	}
	return []bbcatalog.Route{
		plain("read", bbcatalog.KindIdempotent, 2),
		plain("once", bbcatalog.KindOnce, 2),
		chat("chat", true, 2),
		chat("draft", false, 1),
	}
}

// probePrefix is the path of the route that a version of the configuration adds.
func probePrefix(version uint64) string {
	return fmt.Sprintf("/v%d/", version)
}

// catalog returns a version of the configuration. Each adds a route of its own.
func catalog(version uint64) bbcatalog.Catalog {
	c := bbcatalog.Catalog{
		Version:  version,
		Routes:   routes(),
		Services: services(),
		Accounts: []bbcatalog.Account{
			{
				Name: accountName,
				Keys: []string{accountKey},
			},
		},
		Limits: bbcatalog.Limits{
			HeaderBytes: 16 << 10,
			BodyBytes:   1 << 20,
		},
	}
	for v := range version {
		probe := c.Routes[0]
		probe.Name = fmt.Sprint("probe", v+1)
		probe.Prefix = probePrefix(v + 1)
		probe.Anonymous = true
		c.Routes = append(c.Routes, probe)
	}
	return c
}

// backEnd is an endpoint behind its proxy; another one takes its place when it ends.
type backEnd struct {
	service bbcatalog.Service
	zone    string
	proxy   *Proxy
	inner   string

	mu      sync.Mutex
	boots   int
	name    string
	present *bbstand.Endpoint
	cleanup func()
}

// Fleet is all that a soak runs.
type Fleet struct {
	Ledger    *bbstand.Ledger
	store     *bbstand.Store
	processes []*Process
	// peers and stores are the proxies before each VM and before the store for each VM.
	peers, stores []*Proxy
	backEnds      []*backEnd

	mu      sync.Mutex
	version uint64
	// versions has when each version was written, out when failure domains were taken out
	// and back.
	versions map[uint64]time.Time
	out      map[string][]span
	// left has when endpoints said that they leave.
	left map[string]time.Time
	seed uint64
}

// span is a time; it has no end yet if that is zero.
type span struct {
	from, until time.Time
}

// NewFleet starts stand-ins and programs. The clean-up function ends all of them.
func NewFleet(s Settings) (*Fleet, func(), error) {
	f := &Fleet{
		Ledger:   bbstand.NewLedger(),
		store:    bbstand.NewStore(pageSize),
		versions: make(map[uint64]time.Time),
		out:      make(map[string][]span),
		left:     make(map[string]time.Time),
		seed:     s.Seed,
	}
	var cleanups []func()
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "store")
	}
	server := &http.Server{
		Handler: f.store,
	}
	// Serve ends with the clean-up function only.
	go func() { _ = server.Serve(l) }()
	cleanups = append(cleanups, func() { _ = server.Close() })
	if err := f.Configure(); err != nil {
		cleanup()
		return nil, nil, err
	}
	for _, service := range services() {
		for i := range endpointsOf(service) {
			b := &backEnd{
				service: service,
				zone:    zones[i%len(zones)],
				name:    fmt.Sprintf("%s-%d", service.Name, i),
			}
			if b.inner, err = freeAddress(); err == nil {
				var end func()
				if b.proxy, end, err = NewProxy("127.0.0.1:0", b.inner); err == nil {
					cleanups = append(cleanups, end)
					err = f.Restart(b, 0)
				}
			}
			if err != nil {
				cleanup()
				return nil, nil, err
			}
			cleanups = append(cleanups, b.end)
			f.backEnds = append(f.backEnds, b)
		}
	}
	base := 1 + int(s.Seed%100)
	for i := range s.VMs {
		end, err := f.addVM(s, base, i, l.Addr().String())
		if err != nil {
			cleanup()
			return nil, nil, err
		}
		cleanups = append(cleanups, end)
	}
	for _, p := range f.processes {
		if err := p.Start(); err != nil {
			cleanup()
			return nil, nil, err
		}
		cleanups = append(cleanups, p.Kill)
	}
	return f, cleanup, nil
}

// endpointsOf returns how many endpoints a service has: three in each failure domain for
// engines, one for others.
func endpointsOf(s bbcatalog.Service) int {
	if s.Engine != nil {
		return 3 * len(zones)
	}
	return len(zones)
}

// firstPort is the first port of each VM; VMs differ by their loopback addresses.
const firstPort = 8620

// addVM prepares a VM and its proxies.
func (f *Fleet) addVM(s Settings, base, i int, store string) (func(), error) {
	inner, err := freeAddress()
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("127.0.%d.%d", base, i+1)
	peer, endPeer, err := NewProxy(fmt.Sprintf("%s:%d", ip, firstPort+8), inner)
	if err != nil {
		return nil, err
	}
	way, endWay, err := NewProxy("127.0.0.1:0", store)
	if err != nil {
		endPeer()
		return nil, err
	}
	f.peers = append(f.peers, peer)
	f.stores = append(f.stores, way)
	var seeds []string
	for k := range min(3, s.VMs) {
		seeds = append(seeds, fmt.Sprintf("127.0.%d.%d:%d", base, k+1, firstPort+8))
	}
	f.processes = append(f.processes, &Process{
		VM: bbstand.VM{
			Name:  fmt.Sprintf("entry-%d", i),
			Zone:  zones[i%len(zones)],
			IP:    ip,
			Port:  firstPort,
			Peer:  peer.Address,
			Store: way.Address,
			Seeds: seeds,
			Zones: zones,
			Cores: 0.4,
			Grace: graceTime,
		},
		listen:  inner,
		program: s.Program,
		dir:     s.Dir,
	})
	return func() {
		endPeer()
		endWay()
	}, nil
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "free address")
	}
	return l.Addr().String(), l.Close()
}

// Configure writes the next version of the configuration.
func (f *Fleet) Configure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.versions[f.version] = time.Now()
	return f.store.PutCatalog(catalog(f.version))
}

// Evacuate takes a failure domain out or back, if it isn't so already.
func (f *Fleet) Evacuate(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	spans := f.out[zone]
	isOut := len(spans) > 0 && spans[len(spans)-1].until.IsZero()
	if isOut == out {
		return
	}
	f.store.Evacuate(zone, out)
	if out {
		f.out[zone] = append(spans, span{
			from: time.Now(),
		})
		return
	}
	spans[len(spans)-1].until = time.Now()
}

// Restart puts a new endpoint in the place of one that has ended, cold for a time.
func (f *Fleet) Restart(b *backEnd, cold time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cleanup != nil {
		return nil
	}
	b.boots++
	entry := bbregistry.Endpoint{
		ID:      fmt.Sprintf("%s-%d", b.name, b.boots),
		Service: b.service.Name,
		Address: b.proxy.Address,
		Zone:    b.zone,
		Born:    time.Now().UnixMilli(),
		Cold:    cold,
	}
	e, cleanup, err := bbstand.NewEndpoint(b.inner, entry, b.service, f.Ledger, f.seed+uint64(b.boots))
	if err != nil {
		return err
	}
	b.present, b.cleanup = e, cleanup
	return f.store.PutEndpoint(entry)
}

// end ends the present endpoint at once, if there is one.
func (b *backEnd) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cleanup != nil {
		b.cleanup()
		b.cleanup = nil
	}
}

// Leave tells that the present endpoint leaves.
func (f *Fleet) Leave(b *backEnd) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.present.Leave()
	entry := b.present.Entry
	entry.Leaving = true
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left[entry.ID] = time.Now()
	return f.store.PutEndpoint(entry)
}

// id returns the ID of the present endpoint.
func (b *backEnd) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.present.Entry.ID
}

// setFaults changes how the present endpoint misbehaves.
func (b *backEnd) setFaults(f bbstand.Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.present.SetFaults(f)
}

// pick returns a random element.
func pick[T any](random *rand.Rand, list []T) T {
	return list[random.IntN(len(list))]
}
