package bbsoak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"bluebellhall/platform/bbstand"
)

// Fault is one thing that is done to the fleet, and undone after a time.
type Fault struct {
	Name string
	// At is the time from the start, For how long it lasts.
	At, For time.Duration
	// Planned faults are those that must not be felt by callers.
	Planned bool
	// VM is the number of the one concerned; -1 if it is none or all.
	VM    int
	begin func() error
	end   func() error
	// began and ended are when it was done; ended is zero while it lasts.
	began, ended time.Time
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s for %.2f s  %s", f.At.Seconds(), f.For.Seconds(), f.Name)
}

// stopTime is how long a program that is asked to stop may still run beyond its grace time.
const stopTime = 2 * time.Second

// schedule draws the faults of a soak. They come in series and overlap.
func schedule(f *Fleet, random *rand.Rand, duration time.Duration, gap time.Duration) []Fault {
	var faults []Fault
	for at := time.Second; at < duration; at += time.Duration((0.2 + random.ExpFloat64()) * float64(gap)) {
		fault := pick(random, kinds)(f, random)
		fault.At = at
		faults = append(faults, fault)
	}
	return faults
}

// short returns a random time of some seconds.
func short(random *rand.Rand) time.Duration {
	return time.Duration((0.3 + 3*random.Float64()) * float64(time.Second))
}

// kinds are all kinds of faults.
var kinds = []func(f *Fleet, random *rand.Rand) Fault{
	killVM, killVM, pauseVM, stopVM, stopVM, reloadVM, cutPeers, cutPeers, cutStore, cutStore,
	storeDown, compactStore, crashEndpoint, crashEndpoint, leaveEndpoint, faultyEndpoint,
	faultyEndpoint, cutEndpoint, coldEngine, evacuate, configure, configure,
}

// onVM begins a fault of a random VM.
func onVM(f *Fleet, random *rand.Rand, name string) (Fault, *Process) {
	i := random.IntN(len(f.processes))
	return Fault{
		Name: fmt.Sprintf("%s entry-%d", name, i),
		For:  short(random),
		VM:   i,
	}, f.processes[i]
}

func killVM(f *Fleet, random *rand.Rand) Fault {
	fault, p := onVM(f, random, "kill")
	fault.begin = func() error {
		p.Kill()
		return nil
	}
	fault.end = p.Start
	return fault
}

func pauseVM(f *Fleet, random *rand.Rand) Fault {
	fault, p := onVM(f, random, "pause")
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
	fault, p := onVM(f, random, "stop")
	fault.Planned = true
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
	fault, p := onVM(f, random, "reload")
	fault.Planned = true
	var seeds []string
	for range 3 {
		seeds = append(seeds, pick(random, f.processes).VM.Peer)
	}
	fault.begin = func() error { return p.Reload(seeds) }
	return fault
}

// drawFaults draws how an endpoint misbehaves.
func drawFaults(random *rand.Rand) bbstand.Faults {
	share := 0.1 + 0.4*random.Float64()
	switch random.IntN(5) {
	case 0:
		return bbstand.Faults{Refuse: share}
	case 1:
		return bbstand.Faults{Lose: share}
	case 2:
		return bbstand.Faults{Break: share}
	case 3:
		return bbstand.Faults{Fail: share}
	}
	return bbstand.Faults{Slow: 2 + 3*random.Float64()}
}

// trouble draws what a proxy does.
func trouble(random *rand.Rand) (Trouble, string) {
	switch random.IntN(4) {
	case 0:
		return Trouble{Delay: time.Duration(random.IntN(300)) * time.Millisecond}, "delay"
	case 1:
		return Trouble{Reset: true}, "reset"
	case 2:
		return Trouble{OneWay: true}, "one way"
	}
	return Trouble{Silent: true}, "silence"
}

// through returns a fault of a proxy.
func through(fault Fault, p *Proxy, random *rand.Rand) Fault {
	t, name := trouble(random)
	fault.Name += ": " + name
	fault.begin = func() error {
		p.Set(t)
		return nil
	}
	fault.end = func() error {
		p.Set(Trouble{})
		return nil
	}
	return fault
}

func cutPeers(f *Fleet, random *rand.Rand) Fault {
	fault, _ := onVM(f, random, "others to")
	return through(fault, f.peers[fault.VM], random)
}

func cutStore(f *Fleet, random *rand.Rand) Fault {
	fault, _ := onVM(f, random, "to the store from")
	return through(fault, f.stores[fault.VM], random)
}

func storeDown(f *Fleet, random *rand.Rand) Fault {
	return Fault{
		Name: "store down",
		For:  short(random),
		VM:   -1,
		begin: func() error {
			f.store.SetDown(true)
			return nil
		},
		end: func() error {
			f.store.SetDown(false)
			return nil
		},
	}
}

func compactStore(f *Fleet, _ *rand.Rand) Fault {
	return Fault{
		Name: "store forgets its history",
		VM:   -1,
		begin: func() error {
			f.store.Compact()
			return nil
		},
	}
}

// onEndpoint begins a fault of a random endpoint.
func onEndpoint(f *Fleet, random *rand.Rand, name string) (Fault, *backEnd) {
	b := pick(random, f.backEnds)
	return Fault{
		Name: name + " " + b.name,
		For:  short(random),
		VM:   -1,
	}, b
}

func crashEndpoint(f *Fleet, random *rand.Rand) Fault {
	fault, b := onEndpoint(f, random, "crash")
	fault.begin = func() error {
		b.end()
		id := b.id()
		time.AfterFunc(heartbeats, func() { f.store.RemoveEndpoint(id) })
		return nil
	}
	fault.end = func() error { return f.Restart(b, cold(b)) }
	return fault
}

// cold returns how long an endpoint is cold after its start.
func cold(b *backEnd) time.Duration {
	if b.service.Engine == nil {
		return 0
	}
	return coldTime
}

func leaveEndpoint(f *Fleet, random *rand.Rand) Fault {
	fault, b := onEndpoint(f, random, "leave")
	fault.Planned = true
	fault.For = drainTime + lingerTime
	fault.begin = func() error { return f.Leave(b) }
	fault.end = func() error {
		id := b.id()
		b.end()
		f.store.RemoveEndpoint(id)
		return f.Restart(b, cold(b))
	}
	return fault
}

func faultyEndpoint(f *Fleet, random *rand.Rand) Fault {
	fault, b := onEndpoint(f, random, "faulty")
	faults := drawFaults(random)
	fault.begin = func() error {
		b.setFaults(faults)
		return nil
	}
	fault.end = func() error {
		b.setFaults(noFaults)
		return nil
	}
	return fault
}

func cutEndpoint(f *Fleet, random *rand.Rand) Fault {
	fault, b := onEndpoint(f, random, "to")
	return through(fault, b.proxy, random)
}

func coldEngine(f *Fleet, random *rand.Rand) Fault {
	fault, b := onEndpoint(f, random, "restart cold")
	fault.For = 0
	fault.begin = func() error {
		id := b.id()
		b.end()
		f.store.RemoveEndpoint(id)
		return f.Restart(b, cold(b))
	}
	return fault
}

func evacuate(f *Fleet, random *rand.Rand) Fault {
	zone := pick(random, zones)
	return Fault{
		Name:    "evacuate " + zone,
		For:     evacuateTime + short(random),
		Planned: true,
		VM:      -1,
		begin: func() error {
			f.Evacuate(zone, true)
			return nil
		},
		end: func() error {
			f.Evacuate(zone, false)
			return nil
		},
	}
}

func configure(f *Fleet, _ *rand.Rand) Fault {
	return Fault{
		Name:    "new version of the configuration",
		Planned: true,
		VM:      -1,
		begin:   f.Configure,
	}
}
