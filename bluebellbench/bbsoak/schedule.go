package bbsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/bluebellbench/bbsoak/bbload"
	"bluebellhall/bluebellbench/bbsoak/bbprocess"
	"bluebellhall/bluebellbench/bbsoak/bbpromise"
	"bluebellhall/bluebellbench/bbsoak/bbproxy"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/platform/bbstand"
)

// Fault is one fault that is injected into the fleet and removed after a time.
type Fault struct {
	bbpromise.Fault
	// At is the time of the injection, counted from the start of the run; For is how long the fault lasts.
	At, For time.Duration
	begin   func() error
	end     func() error
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s for %.2f s  %s", f.At.Seconds(), f.For.Seconds(), f.Name)
}

// stopTime is how long a VM that is asked to stop may run beyond its grace period before it is killed.
const stopTime = 2 * time.Second

// schedule draws the faults of a soak test. The gaps between them are random, with about the given mean, so
// that some faults overlap.
func schedule(f *Fleet, random *rand.Rand, kinds []FaultKind, duration time.Duration, gap time.Duration) []Fault {
	var faults []Fault
	for at := time.Second; at < duration; at += time.Duration((0.2 + random.ExpFloat64()) * float64(gap)) {
		fault := bbload.Pick(random, kinds)(f, random)
		fault.At = at
		faults = append(faults, fault)
	}
	return faults
}

// fleetFault returns a fault that affects no VM in particular.
func fleetFault(name string) bbpromise.Fault {
	return bbpromise.Fault{
		Name: name,
		VM:   -1,
	}
}

// randomDuration returns a random duration from 0.3 to 3.3 s.
func randomDuration(random *rand.Rand) time.Duration {
	return time.Duration((0.3 + 3*random.Float64()) * float64(time.Second))
}

// FaultKind draws a fault of one kind.
type FaultKind func(f *Fleet, random *rand.Rand) Fault

// Aims are the kinds of faults that a soak test may be aimed at, by name. Kinds that are listed twice are drawn twice
// as often.
var Aims = map[string][]FaultKind{
	"":         faultKinds,
	"releases": {release, release, release, release, killVM, killVM, stopVM, stopVM, crashEndpoint, crashEndpoint, cutEndpoint, cutPeers},
	"returns":  {restoreStore, restoreStore, restoreStore, evacuate, evacuate, configure, leaveEndpoint, leaveEndpoint, coldEngine},
	"restarts": {stopVM, stopVM, stopVM, stopVM, stopVM, stopVM, stopVM, stopVM, killVM, pauseVM, cutPeers, release},
}

// longStreamAims are the aims under which callers also ask for streams that may last longer than a VM runs after it was
// asked to stop.
var longStreamAims = map[string]bool{"restarts": true}

// faultKinds are the kinds of faults of a soak test that isn't aimed.
var faultKinds = []FaultKind{
	killVM, killVM, pauseVM, stopVM, stopVM, reloadVM, cutPeers, cutPeers, cutStore, cutStore,
	storeDown, compactStore, restoreStore, crashEndpoint, crashEndpoint, leaveEndpoint, faultyEndpoint,
	faultyEndpoint, cutEndpoint, coldEngine, evacuate, configure, configure, sendPoison,
	sendCrashingPart, release, release,
}

// vmFault returns a fault of a random VM, whose actions are still to be set, and the VM's process.
func vmFault(f *Fleet, random *rand.Rand, name string) (Fault, *bbprocess.Process) {
	i := random.IntN(len(f.processes))
	return Fault{
		Fault: bbpromise.Fault{
			Name: fmt.Sprintf("%s entry-%d", name, i),
			VM:   i,
		},
		For: randomDuration(random),
	}, f.processes[i]
}

func killVM(f *Fleet, random *rand.Rand) Fault {
	fault, p := vmFault(f, random, "kill")
	fault.begin = func() error {
		p.Kill()
		return nil
	}
	fault.end = p.Start
	return fault
}

func pauseVM(f *Fleet, random *rand.Rand) Fault {
	fault, p := vmFault(f, random, "pause")
	fault.begin = func() error {
		p.Signal(syscall.SIGSTOP)
		return nil
	}
	fault.end = func() error {
		p.Signal(syscall.SIGCONT)
		return nil
	}
	return fault
}

func stopVM(f *Fleet, random *rand.Rand) Fault {
	fault, p := vmFault(f, random, "stop")
	fault.Planned, fault.Stop = true, true
	fault.For = graceTime + stopTime
	boot := 0
	fault.begin = func() error {
		boot = p.Boot()
		p.Signal(syscall.SIGTERM)
		return nil
	}
	fault.end = func() error {
		if p.Boot() == boot {
			p.Kill()
		}
		return p.Start()
	}
	return fault
}

func reloadVM(f *Fleet, random *rand.Rand) Fault {
	fault, p := vmFault(f, random, "reload")
	fault.Planned = true
	var seeds []string
	for range 3 {
		seeds = append(seeds, bbload.Pick(random, f.processes).VM.Peer)
	}
	fault.begin = func() error { return p.Reload(seeds) }
	return fault
}

// proxyFault completes a fault that impairs a proxy.
func proxyFault(fault Fault, p *bbproxy.Proxy, random *rand.Rand) Fault {
	t, name := bbproxy.DrawImpairment(random)
	fault.Name += ": " + name
	fault.begin = func() error {
		p.SetImpairment(t)
		return nil
	}
	fault.end = func() error {
		p.SetImpairment(bbproxy.Impairment{})
		return nil
	}
	return fault
}

func cutPeers(f *Fleet, random *rand.Rand) Fault {
	fault, _ := vmFault(f, random, "peers to")
	return proxyFault(fault, f.peerProxies[fault.VM], random)
}

func cutStore(f *Fleet, random *rand.Rand) Fault {
	fault, _ := vmFault(f, random, "to the store from")
	return proxyFault(fault, f.storeProxies[fault.VM], random)
}

func storeDown(f *Fleet, random *rand.Rand) Fault {
	fault := Fault{
		Fault: fleetFault("store down"),
		For:   randomDuration(random),
		begin: func() error {
			f.store.SetDown(true)
			return nil
		},
		end: func() error {
			f.store.SetDown(false)
			return nil
		},
	}
	fault.Store = true
	return fault
}

func compactStore(f *Fleet, _ *rand.Rand) Fault {
	fault := Fault{
		Fault: fleetFault("compact the store's history"),
		begin: func() error {
			f.store.Compact()
			return nil
		},
	}
	fault.Store = true
	return fault
}

// endpointFault returns a fault of a random endpoint, whose actions are still to be set, and the endpoint.
func endpointFault(f *Fleet, random *rand.Rand, name string) (Fault, *backEnd) {
	b := bbload.Pick(random, f.backEnds)
	return Fault{
		Fault: fleetFault(name + " " + b.name),
		For:   randomDuration(random),
	}, b
}

func crashEndpoint(f *Fleet, random *rand.Rand) Fault {
	fault, b := endpointFault(f, random, "crash")
	fault.begin = func() error {
		id := b.id()
		b.end()
		time.AfterFunc(entryExpiry, func() { f.store.RemoveEndpoint(id) })
		return nil
	}
	fault.end = func() error { return f.Restart(b, b.coldTime()) }
	return fault
}

func leaveEndpoint(f *Fleet, random *rand.Rand) Fault {
	fault, b := endpointFault(f, random, "leave")
	fault.Planned = true
	fault.For = bbpromise.DrainTime + bbpromise.LingerTime
	fault.begin = func() error { return f.MarkLeaving(b) }
	fault.end = func() error { return f.replace(b) }
	return fault
}

const (
	// softwareVersions is the number of versions of the engines' software, releaseStep the number of engines that a
	// step of a release replaces.
	softwareVersions = 3
	releaseStep      = 3
)

// release replaces some engines by ones with a random version of the software, as one step of a release: they leave
// and start again.
func release(f *Fleet, random *rand.Rand) Fault {
	version := fmt.Sprint("v", 1+random.IntN(softwareVersions))
	engines := f.engines()
	random.Shuffle(len(engines), func(i, k int) { engines[i], engines[k] = engines[k], engines[i] })
	engines = engines[:min(releaseStep, len(engines))]
	// left are the IDs of the endpoints that leave.
	left := make([]string, len(engines))
	fault := Fault{
		Fault: fleetFault(fmt.Sprintf("release of %s to %d engines", version, len(engines))),
		For:   bbpromise.DrainTime + bbpromise.LingerTime,
		begin: func() error {
			for i, b := range engines {
				left[i] = b.id()
				if err := f.MarkLeaving(b); err != nil {
					return err
				}
			}
			return nil
		},
		end: func() error {
			for i, b := range engines {
				// Another fault may have replaced it meanwhile.
				if b.id() != left[i] {
					continue
				}
				b.setVersion(version)
				if err := f.replace(b); err != nil {
					return err
				}
			}
			return nil
		},
	}
	fault.Planned = true
	return fault
}

// faultyEndpoint makes an endpoint misbehave, or announce in its answers that it is leaving or that VMs have
// to back off. An endpoint that announced that it is leaving is replaced afterwards.
func faultyEndpoint(f *Fleet, random *rand.Rand) Fault {
	fault, b := endpointFault(f, random, "faulty")
	faults := bbstand.DrawFaults(random)
	fault.begin = func() error {
		b.setFaults(faults)
		return nil
	}
	fault.end = func() error {
		if faults.Leaving {
			return f.replace(b)
		}
		b.setFaults(bbstand.Faults{})
		return nil
	}
	return fault
}

func cutEndpoint(f *Fleet, random *rand.Rand) Fault {
	fault, b := endpointFault(f, random, "to")
	return proxyFault(fault, b.proxy, random)
}

func coldEngine(f *Fleet, random *rand.Rand) Fault {
	fault, b := endpointFault(f, random, "restart cold")
	fault.For = 0
	fault.begin = func() error { return f.replace(b) }
	return fault
}

// sendPoison sends requests whose content crashes the endpoints of one service of a route, to each VM in turn.
func sendPoison(f *Fleet, random *rand.Rand) Fault {
	route := bbload.Pick(random, bbdeployment.Routes())
	services := []string{route.Shares[0].Service}
	for _, s := range route.Stages {
		services = append(services, s.Service)
	}
	service := bbload.Pick(random, services)
	seed := random.Uint64()
	return senderFault(random, fmt.Sprintf("content of %s that crashes %s", route.Name, service), func(ctx context.Context) {
		f.load.SendPoison(ctx, rand.New(rand.NewPCG(seed, 2)), route, service, poisonGap)
	})
}

// sendCrashingPart sends requests on a route with engines, to each VM in turn, whose prompts share a part that
// crashes engines.
func sendCrashingPart(f *Fleet, random *rand.Rand) Fault {
	routes := slices.DeleteFunc(bbdeployment.Routes(), func(r bbcatalog.Route) bool { return !r.Engine })
	route := bbload.Pick(random, routes)
	seed := random.Uint64()
	return senderFault(random, "part of prompts of "+route.Name+" that crashes engines", func(ctx context.Context) {
		f.load.SendCrashingPart(ctx, rand.New(rand.NewPCG(seed, 3)), route, poisonGap)
	})
}

// senderFault returns a fault that lasts while a function sends requests, until its context ends.
func senderFault(random *rand.Rand, name string, send func(ctx context.Context)) Fault {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	return Fault{
		Fault: fleetFault(name),
		For:   poisonDurationFactor * randomDuration(random),
		begin: func() error {
			go func() {
				defer close(done)
				send(ctx)
			}()
			return nil
		},
		end: func() error {
			cancel()
			<-done
			return nil
		},
	}
}

const (
	// poisonGap is the time between two requests with content that crashes endpoints.
	poisonGap = 400 * time.Millisecond
	// poisonDurationFactor is how many times as long as other faults such requests are sent.
	poisonDurationFactor = 4
)

func evacuate(f *Fleet, random *rand.Rand) Fault {
	zone := bbload.Pick(random, bbdeployment.Zones)
	fault := Fault{
		Fault: fleetFault("evacuate " + zone),
		For:   bbpromise.EvacuateTime + randomDuration(random),
		begin: func() error {
			f.Evacuate(zone, true)
			return nil
		},
		end: func() error {
			f.Evacuate(zone, false)
			return nil
		},
	}
	fault.Planned = true
	return fault
}

func configure(f *Fleet, _ *rand.Rand) Fault {
	fault := Fault{
		Fault: fleetFault("new version of the configuration"),
		begin: f.Configure,
	}
	fault.Planned = true
	return fault
}
