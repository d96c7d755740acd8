package bbsoak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/bluebellbench/bbsoak/bbload"
	"bluebellhall/bluebellbench/bbsoak/bbloopback"
	"bluebellhall/bluebellbench/bbsoak/bbprocess"
	"bluebellhall/bluebellbench/bbsoak/bbpromise"
	"bluebellhall/bluebellbench/bbsoak/bbproxy"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbregistry"
	"bluebellhall/platform/bbfakestore"
	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

const (
	// entryExpiry is how long the store keeps the entry of an endpoint that has crashed, as if the entry
	// expired for lack of heartbeats.
	entryExpiry = 3600 * time.Millisecond
	// graceTime is the time that a VM has for a graceful shutdown before it is killed.
	graceTime = 8 * time.Second
	// crashDowntime is how long an endpoint is down after a request has crashed it.
	crashDowntime = 1500 * time.Millisecond
	// coldTime is how long engines are cold after a start, coldRate the rate that they can take until then, in
	// requests per second.
	coldTime = 3 * time.Second
	coldRate = 9.4
	// firstVersion is the version of the software of all endpoints before the first release.
	firstVersion = "v1"
	// pageSize is the maximum number of items in one answer of the store.
	pageSize = 50
)

// backEnd is an endpoint behind its proxy. When the endpoint ends, the next one takes over its address.
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
	// leaving is true once the current endpoint's entry says so.
	leaving bool
	// version is the version of the software with which the next endpoint starts.
	version string
	// served are the intervals in which endpoints served.
	served []bbpromise.Serving
}

// Fleet is everything that a soak test runs: the store, the endpoints, the entry VMs and their proxies.
type Fleet struct {
	Ledger    *bbledger.Ledger
	store     *bbfakestore.Store
	load      *bbload.Load
	processes []*bbprocess.Process
	// peerProxies are the proxies through which other VMs connect to each VM, storeProxies those through which
	// each VM connects to the store.
	peerProxies, storeProxies []*bbproxy.Proxy
	backEnds                  []*backEnd

	mu      sync.Mutex
	version uint64
	// versions has the time when each configuration version was written, evacuated the intervals for which
	// each failure domain was evacuated.
	versions  map[uint64]time.Time
	evacuated map[string][]bbpromise.Interval
	// leavingSince has the time when each endpoint was marked as leaving.
	leavingSince map[string]time.Time
	// copies are those from which the store may come back.
	copies *bbfakestore.Copies
	// restartErrors describes the failed restarts of crashed endpoints.
	restartErrors []string
	// stopped is true once crashed endpoints are no longer restarted.
	stopped bool
	seed    uint64
	// cleanups has the clean-up functions of everything started, in the order of the starts.
	cleanups []func()
}

// NewFleet starts the fakes and the entry VMs. The clean-up function stops all of them.
func NewFleet(s Settings) (*Fleet, func(), error) {
	if s.VMs > bbloopback.MaxVMs {
		return nil, nil, errors.Newf("%d VMs exceed the maximum of %d", s.VMs, bbloopback.MaxVMs)
	}
	f := &Fleet{
		Ledger:       bbledger.NewLedger(),
		store:        bbfakestore.NewStore(pageSize),
		versions:     make(map[uint64]time.Time),
		evacuated:    make(map[string][]bbpromise.Interval),
		leavingSince: make(map[string]time.Time),
		seed:         s.Seed,
	}
	f.load = &bbload.Load{
		Ledger: f.Ledger,
		Routes: bbdeployment.Routes(),
	}
	if err := f.start(s); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, f.stop, nil
}

// stop stops everything, in the reverse order of the starts.
func (f *Fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	for _, end := range slices.Backward(f.cleanups) {
		end()
	}
}

// start starts the store, the endpoints and the entry VMs.
func (f *Fleet) start(s Settings) error {
	network, l, err := bbloopback.Reserve()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: f.store,
	}
	// Serve returns only after the clean-up function has closed the server.
	go func() { _ = server.Serve(l) }()
	f.cleanups = append(f.cleanups, func() { _ = server.Close() })
	copies, stopCopies := bbfakestore.KeepCopies(f.store)
	f.copies = copies
	f.cleanups = append(f.cleanups, stopCopies)
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

// addProxy starts a proxy and registers its clean-up function.
func (f *Fleet) addProxy(address, target string) (*bbproxy.Proxy, error) {
	p, end, err := bbproxy.NewProxy(address, target)
	if err != nil {
		return nil, err
	}
	f.cleanups = append(f.cleanups, end)
	return p, nil
}

// addEndpoint starts an endpoint of a service behind its proxy.
func (f *Fleet) addEndpoint(network bbloopback.Network, service bbcatalog.Service, i int) error {
	b := &backEnd{
		service: service,
		zone:    bbdeployment.Zones[i%len(bbdeployment.Zones)],
		name:    fmt.Sprintf("%s-%d", service.Name, i),
		inner:   network.Endpoint(len(f.backEnds)),
		version: firstVersion,
	}
	proxy, err := f.addProxy(network.EndpointProxy(len(f.backEnds)), b.inner)
	if err != nil {
		return err
	}
	b.proxy = proxy
	f.backEnds = append(f.backEnds, b)
	f.cleanups = append(f.cleanups, func() { b.end() })
	return f.Restart(b, 0)
}

// endpointsOf returns the number of endpoints of a service: three in each failure domain for engines, one for
// other services.
func endpointsOf(s bbcatalog.Service) int {
	if s.Engine != nil {
		return 3 * len(bbdeployment.Zones)
	}
	return len(bbdeployment.Zones)
}

// addVM prepares the process of a VM and starts its proxies.
func (f *Fleet) addVM(s Settings, network bbloopback.Network, i int, store string) error {
	peer, err := f.addProxy(network.Peer(i), network.Inner(i))
	if err != nil {
		return err
	}
	storeProxy, err := f.addProxy(network.Store(i), store)
	if err != nil {
		return err
	}
	f.peerProxies = append(f.peerProxies, peer)
	f.storeProxies = append(f.storeProxies, storeProxy)
	var seeds []string
	for k := range min(3, s.VMs) {
		seeds = append(seeds, network.Peer(k))
	}
	f.processes = append(f.processes, &bbprocess.Process{
		VM: bbstand.VM{
			Name:  fmt.Sprintf("entry-%d", i),
			Zone:  bbdeployment.Zones[i%len(bbdeployment.Zones)],
			IP:    network.VM(i),
			Port:  bbloopback.FirstPort,
			Peer:  peer.Address,
			Store: storeProxy.Address,
			Seeds: seeds,
			Zones: bbdeployment.Zones,
			Cores: 0.4,
			Grace: graceTime,
		},
		Listen:  network.Inner(i),
		Program: s.Program,
		Dir:     s.Dir,
	})
	return nil
}

// Configure writes the next version of the configuration.
func (f *Fleet) Configure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.versions[f.version] = time.Now()
	return f.store.PutCatalog(bbdeployment.Catalog(f.version))
}

// Evacuate evacuates a failure domain or ends its evacuation; it does nothing if the domain is in that state
// already.
func (f *Fleet) Evacuate(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	intervals := f.evacuated[zone]
	isOut := len(intervals) > 0 && intervals[len(intervals)-1].Until.IsZero()
	if isOut == out {
		return
	}
	f.store.Evacuate(zone, out)
	if out {
		f.evacuated[zone] = append(intervals, bbpromise.Interval{
			From: time.Now(),
		})
		return
	}
	intervals[len(intervals)-1].Until = time.Now()
}

// Restart starts a new endpoint in place of one that has ended, cold for the given time. It does nothing if
// the current endpoint still runs.
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
	e, cleanup, err := bbstand.NewEndpoint(b.inner, entry, b.version, b.service, f.Ledger, f.seed+uint64(b.boots), func() { f.crash(b) })
	if err != nil {
		return err
	}
	b.current, b.cleanup, b.leaving = e, cleanup, false
	b.startServing()
	return f.store.PutEndpoint(entry, b.version)
}

// crash ends the current endpoint and restarts it after crashDowntime. As after a real crash, the entry of the
// endpoint stays in the store until it expires.
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

// replace ends the current endpoint, removes its entry from the store and starts a new endpoint at once.
func (f *Fleet) replace(b *backEnd) error {
	id := b.id()
	b.end()
	f.store.RemoveEndpoint(id)
	return f.Restart(b, b.coldTime())
}

// setVersion sets the version of the software with which the next endpoint starts.
func (b *backEnd) setVersion(version string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = version
}

// engines returns the endpoints that are engines.
func (f *Fleet) engines() []*backEnd {
	return slices.DeleteFunc(slices.Clone(f.backEnds), func(b *backEnd) bool { return b.service.Engine == nil })
}

// coldTime returns how long the endpoint is cold after a start; 0 unless it is an engine.
func (b *backEnd) coldTime() time.Duration {
	if b.service.Engine == nil {
		return 0
	}
	return coldTime
}

// end ends the current endpoint at once; it returns false if none is running.
func (b *backEnd) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cleanup == nil {
		return false
	}
	b.stopServing()
	b.cleanup()
	b.cleanup = nil
	return true
}

// startServing begins an interval in which the current endpoint serves; the caller holds the lock.
func (b *backEnd) startServing() {
	b.served = append(b.served, bbpromise.Serving{
		Interval: bbpromise.Interval{
			From: time.Now(),
		},
		Version: b.current.Version,
		Zone:    b.zone,
	})
}

// stopServing ends the interval in which the current endpoint serves; the caller holds the lock.
func (b *backEnd) stopServing() {
	if last := &b.served[len(b.served)-1]; last.Until.IsZero() {
		last.Until = time.Now()
	}
}

// MarkLeaving marks the current endpoint and its entry in the store as leaving.
func (f *Fleet) MarkLeaving(b *backEnd) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current.MarkLeaving()
	b.leaving = true
	b.stopServing()
	entry := b.current.Entry
	entry.Leaving = true
	f.leavingSince[entry.ID] = time.Now()
	return f.store.PutEndpoint(entry, b.current.Version)
}

// id returns the ID of the current endpoint.
func (b *backEnd) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current.Entry.ID
}

// setFaults changes how the current endpoint misbehaves.
func (b *backEnd) setFaults(f bbstand.Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.current.SetFaults(f)
	if f.Leaving || f.FailResumed {
		// It doesn't serve streams that are taken up.
		b.stopServing()
	} else if b.cleanup != nil && !b.leaving && !b.served[len(b.served)-1].Until.IsZero() {
		b.startServing()
	}
}
