package bbsoak

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/bluebellbench/bbsoak/bbload"
	"bluebellhall/bluebellbench/bbsoak/bbprocess"
	"bluebellhall/bluebellbench/bbsoak/bbpromise"
	"bluebellhall/bluebellbench/bbsoak/bbproxy"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbregistry"
	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

const (
	// heartbeats is how long the entry of an endpoint that has crashed stays.
	entryExpiry = 3600 * time.Millisecond
	// graceTime is the time from the signal to stop to the end by force.
	graceTime = 8 * time.Second
	// crashTime is how long an endpoint is away that a request has crashed.
	crashDowntime = 1500 * time.Millisecond
	// coldTime is how long engines are cold after a start, coldRate what they carry then.
	coldTime = 3 * time.Second
	coldRate = 9.4
	// pageSize is the most items of one answer of the store.
	pageSize = 50
)

// backEnd is an endpoint behind its proxy; another one takes its place when it ends.
type backEnd struct {
	service bbcatalog.Service
	zone    string
	proxy   *bbproxy.Proxy
	inner   string

	mu      sync.Mutex
	boots   int
	name    string
	current *bbstand.Endpoint
	cleanup func()
}

// Fleet is all that a soak runs.
type Fleet struct {
	Ledger    *bbledger.Ledger
	store     *bbstand.Store
	load      *bbload.Load
	processes []*bbprocess.Process
	// peers and stores are the proxies before each VM and before the store for each VM.
	peerProxies, storeProxies []*bbproxy.Proxy
	backEnds                  []*backEnd

	mu      sync.Mutex
	version uint64
	// versions has when each version was written, out when failure domains were taken out
	// and back.
	versions  map[uint64]time.Time
	evacuated map[string][]bbpromise.Interval
	// left has when endpoints said that they leave.
	leavingSince map[string]time.Time
	// failed has what could not be started again.
	restartErrors []string
	// stopped is true once endpoints are started no more.
	stopped bool
	seed    uint64
	// cleanups end what was started, in its order.
	cleanups []func()
}

// NewFleet starts stand-ins and programs. The clean-up function ends all of them.
func NewFleet(s Settings) (*Fleet, func(), error) {
	if s.VMs > maxVMs {
		return nil, nil, errors.Newf("%d VMs are too many, %d is the most", s.VMs, maxVMs)
	}
	f := &Fleet{
		Ledger:       bbledger.NewLedger(),
		store:        bbstand.NewStore(pageSize),
		versions:     make(map[uint64]time.Time),
		evacuated:    make(map[string][]bbpromise.Interval),
		leavingSince: make(map[string]time.Time),
		seed:         s.Seed,
	}
	f.load = &bbload.Load{
		Ledger: f.Ledger,
	}
	if err := f.start(s); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, f.stop, nil
}

// stop ends all that was started, the last first.
func (f *Fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	for _, end := range slices.Backward(f.cleanups) {
		end()
	}
}

// start starts the store, the endpoints and the programs.
func (f *Fleet) start(s Settings) error {
	network, l, err := reserveNetwork()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: f.store,
	}
	// Serve ends with the clean-up function only.
	go func() { _ = server.Serve(l) }()
	f.cleanups = append(f.cleanups, func() { _ = server.Close() })
	if err := f.Configure(); err != nil {
		return err
	}
	for _, service := range bbdeployment.Services() {
		for i := range endpointsOf(service) {
			if err := f.addEndpoint(network, service, i); err != nil {
				return err
			}
		}
	}
	for i := range s.VMs {
		if err := f.addVM(s, network, i, l.Addr().String()); err != nil {
			return err
		}
	}
	f.load.Processes = f.processes
	for _, p := range f.processes {
		if err := p.Start(); err != nil {
			return err
		}
		f.cleanups = append(f.cleanups, p.Kill)
	}
	return nil
}

// addProxy starts a proxy.
func (f *Fleet) addProxy(address, target string) (*bbproxy.Proxy, error) {
	p, end, err := bbproxy.NewProxy(address, target)
	if err != nil {
		return nil, err
	}
	f.cleanups = append(f.cleanups, end)
	return p, nil
}

// addEndpoint starts an endpoint of a service behind its proxy.
func (f *Fleet) addEndpoint(network string, service bbcatalog.Service, i int) error {
	port := endpointPort + len(f.backEnds)
	b := &backEnd{
		service: service,
		zone:    bbdeployment.Zones[i%len(bbdeployment.Zones)],
		name:    fmt.Sprintf("%s-%d", service.Name, i),
		inner:   fmt.Sprintf("%s.%d:%d", network, endpointHost, port),
	}
	proxy, err := f.addProxy(fmt.Sprintf("%s.%d:%d", network, proxyHost, port), b.inner)
	if err != nil {
		return err
	}
	b.proxy = proxy
	f.backEnds = append(f.backEnds, b)
	f.cleanups = append(f.cleanups, func() { b.end() })
	return f.Restart(b, 0)
}

// endpointsOf returns how many endpoints a service has: three in each failure domain for
// engines, one for others.
func endpointsOf(s bbcatalog.Service) int {
	if s.Engine != nil {
		return 3 * len(bbdeployment.Zones)
	}
	return len(bbdeployment.Zones)
}

// Addresses of a soak: each VM has a loopback address of its own, counted from 1.
const (
	// networks is the number of loopback networks that soaks choose from.
	networks = 50000
	// firstPort is the first port of each VM; those of the proxy before its address for other
	// VMs, of that address, and of the proxy before the store are counted from it.
	firstPort = 8620
	peerPort  = 8
	innerPort = 9
	storePort = 10
	// The last numbers of the addresses of the store, of endpoints and of their proxies; most
	// VMs is below them.
	storeHost    = 250
	endpointHost = 251
	proxyHost    = 252
	maxVMs       = 240
	endpointPort = 9000
)

// addVM prepares a VM and its proxies.
func (f *Fleet) addVM(s Settings, network string, i int, store string) error {
	ip := fmt.Sprintf("%s.%d", network, i+1)
	inner := fmt.Sprintf("%s:%d", ip, firstPort+innerPort)
	peer, err := f.addProxy(fmt.Sprintf("%s:%d", ip, firstPort+peerPort), inner)
	if err != nil {
		return err
	}
	way, err := f.addProxy(fmt.Sprintf("%s:%d", ip, firstPort+storePort), store)
	if err != nil {
		return err
	}
	f.peerProxies = append(f.peerProxies, peer)
	f.storeProxies = append(f.storeProxies, way)
	var seeds []string
	for k := range min(3, s.VMs) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, k+1, firstPort+peerPort))
	}
	f.processes = append(f.processes, &bbprocess.Process{
		VM: bbstand.VM{
			Name:  fmt.Sprintf("entry-%d", i),
			Zone:  bbdeployment.Zones[i%len(bbdeployment.Zones)],
			IP:    ip,
			Port:  firstPort,
			Peer:  peer.Address,
			Store: way.Address,
			Seeds: seeds,
			Zones: bbdeployment.Zones,
			Cores: 0.4,
			Grace: graceTime,
		},
		Listen:  inner,
		Program: s.Program,
		Dir:     s.Dir,
	})
	return nil
}

// takeNetwork returns the first three numbers of loopback addresses that no other soak uses, and
// the listener of the store, which keeps them taken.
func reserveNetwork() (string, net.Listener, error) {
	for i := range networks {
		n := (os.Getpid() + i) % networks
		network := fmt.Sprintf("127.%d.%d", 1+n/250, 1+n%250)
		if l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, storeHost, firstPort)); err == nil {
			return network, l, nil
		}
	}
	return "", nil, errors.New("no free loopback network for the soak")
}

// Configure writes the next version of the configuration.
func (f *Fleet) Configure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.versions[f.version] = time.Now()
	return f.store.PutCatalog(bbdeployment.Catalog(f.version))
}

// Evacuate takes a failure domain out or back, if it isn't so already.
func (f *Fleet) Evacuate(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	spans := f.evacuated[zone]
	isOut := len(spans) > 0 && spans[len(spans)-1].Until.IsZero()
	if isOut == out {
		return
	}
	f.store.Evacuate(zone, out)
	if out {
		f.evacuated[zone] = append(spans, bbpromise.Interval{
			From: time.Now(),
		})
		return
	}
	spans[len(spans)-1].Until = time.Now()
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
		ID:            fmt.Sprintf("%s-%d", b.name, b.boots),
		Service:       b.service.Name,
		Address:       b.proxy.Address,
		Zone:          b.zone,
		StartedMillis: time.Now().UnixMilli(),
		Cold:          cold,
	}
	e, cleanup, err := bbstand.NewEndpoint(b.inner, entry, b.service, f.Ledger, f.seed+uint64(b.boots), func() { f.crash(b) })
	if err != nil {
		return err
	}
	b.current, b.cleanup = e, cleanup
	return f.store.PutEndpoint(entry)
}

// crash ends the present endpoint, as a crash would, and starts another one in its place.
func (f *Fleet) crash(b *backEnd) {
	id := b.id()
	if !b.end() {
		return
	}
	time.AfterFunc(entryExpiry, func() { f.store.RemoveEndpoint(id) })
	time.AfterFunc(crashDowntime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.stopped {
			return
		}
		if err := f.Restart(b, b.coldTime()); err != nil {
			f.restartErrors = append(f.restartErrors, fmt.Sprintf("restart of %s: %v", b.name, err))
		}
	})
}

// replace ends the present endpoint, takes out its entry and puts a new one in its place.
func (f *Fleet) replace(b *backEnd) error {
	id := b.id()
	b.end()
	f.store.RemoveEndpoint(id)
	return f.Restart(b, b.coldTime())
}

// coldTime returns how long an endpoint is cold after its start.
func (b *backEnd) coldTime() time.Duration {
	if b.service.Engine == nil {
		return 0
	}
	return coldTime
}

// end ends the present endpoint at once; false if there is none.
func (b *backEnd) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cleanup == nil {
		return false
	}
	b.cleanup()
	b.cleanup = nil
	return true
}

// Leave tells that the present endpoint leaves.
func (f *Fleet) MarkLeaving(b *backEnd) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current.MarkLeaving()
	entry := b.current.Entry
	entry.Leaving = true
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leavingSince[entry.ID] = time.Now()
	return f.store.PutEndpoint(entry)
}

// id returns the ID of the present endpoint.
func (b *backEnd) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current.Entry.ID
}

// setFaults changes how the present endpoint misbehaves.
func (b *backEnd) setFaults(f bbstand.Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current.SetFaults(f)
}
