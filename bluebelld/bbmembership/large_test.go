package bbmembership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
)

// The large fleet of these tests: failure domains in pairs in three regions, with a few large
// VMs in each.
const (
	largeZones      = 6
	largeZoneSize   = 50
	largeVMsPerZone = 3
	// crossRegion is the time of one way between regions.
	crossRegionDelay = 12 * time.Millisecond
	// staleFor is how long a VM that has stopped may still be named to callers; the users allow
	// eight seconds in large fleets.
	staleLimit = 8 * time.Second
)

// largeFleet is a fleet of 300 VMs in virtual time. Exchanges take the time of their way.
type largeFleet struct {
	t     *testing.T
	began time.Time
	conns *bbpeer.Conns

	mu sync.Mutex
	// vms has the running VMs by address, names their order.
	vms   map[string]*largeVM
	names []string
	// cut tells whether two VMs can't reach each other.
	partitioned func(a, b bbgossip.Member) bool
	// boots counts the starts of VMs.
	boots int64
}

type largeVM struct {
	*Fleet
	stop context.CancelFunc
	// self is what the VM told of itself at its start.
	self bbgossip.Member
}

func zoneOf(i int) (zone, region string) {
	return fmt.Sprint("z", i%largeZones), fmt.Sprint("r", i%largeZones/2)
}

// inVirtualTime runs a test of a large fleet; the fleet is started whole.
func inVirtualTime(t *testing.T, check func(l *largeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		conns, cleanup := bbpeer.NewConns()
		defer cleanup()
		l := &largeFleet{
			t:           t,
			began:       time.Now(),
			conns:       conns,
			vms:         make(map[string]*largeVM),
			partitioned: func(_, _ bbgossip.Member) bool { return false },
		}
		l.each("", l.start)
		defer func() {
			for _, v := range l.running() {
				v.stop()
			}
			// Exchanges that began before end by themselves.
			time.Sleep(time.Second)
			synctest.Wait()
		}()
		check(l)
	})
}

func nameOf(i int) string {
	return fmt.Sprintf("vm%03d", i)
}

// start starts a VM, or starts it anew.
func (l *largeFleet) start(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.boots++
	zone, region := zoneOf(i)
	self := bbgossip.Member{
		Name:   nameOf(i),
		Boot:   l.boots,
		Peer:   nameOf(i),
		Front:  "front of " + nameOf(i),
		Zone:   zone,
		Region: region,
		Weight: 0.2,
		Ready:  true,
	}
	if i < largeVMsPerZone*largeZones {
		self.Weight = 0.8
	}
	regions := make(map[string]string)
	for k := range largeZones {
		zone, region := zoneOf(k)
		regions[zone] = region
	}
	began := time.Now()
	// Only one of the seeds is a VM at all times of the tests.
	f := NewFleet(self, []string{nameOf(290), nameOf(291), "nobody"}, regions, func() time.Duration { return time.Since(began) }, l.conns)
	f.Pick = rand.New(rand.NewPCG(1, uint64(l.boots))).IntN
	f.Reset = func(string) {}
	f.Exchange = func(ctx context.Context, address string, e bbpeer.Exchange) (bbpeer.Exchange, error) {
		return l.exchange(ctx, self, address, e)
	}
	ctx, cancel := context.WithCancel(l.t.Context())
	l.vms[self.Peer] = &largeVM{
		Fleet: f,
		stop:  cancel,
		self:  self,
	}
	go f.Run(ctx)
}

// each does something to each VM of a region, or to all if none is named.
func (l *largeFleet) each(region string, do func(i int)) {
	for i := range largeZones * largeZoneSize {
		if _, r := zoneOf(i); region == "" || r == region {
			do(i)
		}
	}
}

// kill ends a VM without a word.
func (l *largeFleet) kill(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.vms[nameOf(i)]; v != nil {
		v.stop()
		delete(l.vms, nameOf(i))
	}
}

// setCut changes which VMs can't reach each other.
func (l *largeFleet) partition(cut func(a, b bbgossip.Member) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = cut
}

// exchange carries an exchange out, unless the way is cut.
func (l *largeFleet) exchange(ctx context.Context, from bbgossip.Member, address string, e bbpeer.Exchange) (bbpeer.Exchange, error) {
	l.mu.Lock()
	v := l.vms[address]
	silent := v != nil && l.partitioned(from, v.self)
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return bbpeer.Exchange{}, errors.Wrap(status.FromContextError(ctx.Err()).Err(), "cut")
	}
	time.Sleep(2 * crossRegionDelay)
	if v == nil {
		return bbpeer.Exchange{}, status.Error(codes.Unavailable, "connection refused")
	}
	return v.Answer(e), nil
}

// running returns the running VMs.
func (l *largeFleet) running() []*largeVM {
	l.mu.Lock()
	defer l.mu.Unlock()
	var vms []*largeVM
	for i := range largeZones * largeZoneSize * 2 {
		if v := l.vms[nameOf(i)]; v != nil {
			vms = append(vms, v)
		}
	}
	return vms
}

// coordinators returns how many VMs coordinate each failure domain as they see it, and how many
// of them at the full pace.
func (l *largeFleet) coordinators() (all, full map[string]int) {
	all, full = make(map[string]int), make(map[string]int)
	for _, v := range l.running() {
		if works, _ := v.Coordinates("z0"); !works || v.stableViewWait() > 0 {
			continue
		}
		majority := v.HasMajority()
		_, mine, _ := v.Cells()
		for k := range largeZones {
			zone, _ := zoneOf(k)
			if !mine(zone) {
				continue
			}
			all[zone]++
			if majority {
				full[zone]++
			}
		}
	}
	return all, full
}

// whoCoordinates tells which VMs coordinate a failure domain, with its largest VMs that they reach.
func (l *largeFleet) describeCoordinators(zone string) []string {
	var who []string
	for _, v := range l.running() {
		if _, mine, _ := v.Cells(); !mine(zone) || v.stableViewWait() > 0 {
			continue
		}
		line := fmt.Sprint(v.self.Name, " full ", v.HasMajority(), " reaches")
		v.View(func(t *bbgossip.Table, now time.Duration) {
			for _, m := range t.Reachable(now) {
				if m.Zone == zone && m.Weight > 0.5 {
					line += " " + m.Name
				}
			}
		})
		who = append(who, line)
	}
	return who
}

// run lets time pass and checks throughout that no failure domain has more coordinators than the
// pace of a cold engine bears: one at the full pace and one at half of it, or three at half of it.
func (l *largeFleet) run(d time.Duration) {
	l.t.Helper()
	const step = 200 * time.Millisecond
	for range d / step {
		time.Sleep(step)
		all, full := l.coordinators()
		for zone, n := range all {
			if full[zone] > 1 || n+full[zone] > 3 {
				l.t.Fatalf("after %v, %s has %d coordinators, %d of them at the full pace; want 2 and 1, or 3 and 0: %v", time.Since(l.began), zone, n, full[zone], l.describeCoordinators(zone))
			}
		}
	}
}

// wantAgreed checks that all VMs name the same coordinators, all of which run.
func (l *largeFleet) wantAgreed() {
	l.t.Helper()
	vms := l.running()
	for k := range largeZones {
		zone, _ := zoneOf(k)
		_, want := vms[0].Coordinates(zone)
		if l.vms[want.Peer] == nil {
			l.t.Errorf("%s is coordinated by %s, which doesn't run", zone, want.Name)
		}
		for _, v := range vms {
			if _, got := v.Coordinates(zone); got.Name != want.Name {
				l.t.Errorf("%s is coordinated by %s for %s and by %s for %s", zone, want.Name, vms[0].self.Name, got.Name, v.self.Name)
				return
			}
		}
	}
}

// wantPresent checks that each VM sees all that run and no other.
func (l *largeFleet) wantPresent() {
	l.t.Helper()
	vms := l.running()
	for _, v := range vms {
		var n int
		v.View(func(t *bbgossip.Table, now time.Duration) { n = 1 + len(t.Present(now)) })
		if n != len(vms) {
			l.t.Errorf("%s sees %d VMs, want %d; it doesn't see, among others, %v", v.self.Name, n, len(vms), l.missing(v))
			return
		}
	}
}

// missing returns some of the running VMs that a VM doesn't see, with the hubs that they follow.
func (l *largeFleet) missing(v *largeVM) []string {
	var missing []string
	seen := make(map[string]bool)
	v.View(func(t *bbgossip.Table, now time.Duration) {
		for _, m := range t.Present(now) {
			seen[m.Name] = true
		}
	})
	for _, other := range l.running() {
		if other != v && !seen[other.self.Name] {
			missing = append(missing, other.self.Name+" of "+other.Hub().Name)
		}
	}
	return missing[:min(len(missing), 5)]
}

func TestLargeFleetStarts(t *testing.T) {
	inVirtualTime(t, func(l *largeFleet) {
		l.run(3 * time.Second)
		l.wantAgreed()
		l.wantPresent()
		if _, full := l.coordinators(); len(full) > 0 {
			t.Errorf("coordinators pace fully at the start already: %v", full)
		}
		l.run(4 * time.Second)
		if _, full := l.coordinators(); len(full) != largeZones {
			t.Errorf("%d failure domains have a coordinator at the full pace, want %d", len(full), largeZones)
		}
	})
}

func TestLargeFleetLosesACoordinator(t *testing.T) {
	inVirtualTime(t, func(l *largeFleet) {
		l.run(9 * time.Second)
		_, first := l.running()[0].Coordinates("z3")
		l.kill(3)
		if first.Name != nameOf(3) {
			t.Fatalf("z3 is coordinated by %s, want %s", first.Name, nameOf(3))
		}
		l.run(3 * time.Second)
		l.wantAgreed()
		l.run(staleLimit - 3*time.Second)
		l.wantPresent()
		l.start(3)
		l.run(4 * time.Second)
		l.wantAgreed()
		l.wantPresent()
	})
}

func TestLargeFleetLosesARegion(t *testing.T) {
	inVirtualTime(t, func(l *largeFleet) {
		l.run(9 * time.Second)
		l.each("r0", l.kill)
		l.run(staleLimit)
		l.wantAgreed()
		l.wantPresent()
		l.each("r0", l.start)
		l.run(6 * time.Second)
		l.wantAgreed()
		l.wantPresent()
	})
}

func TestLargeFleetWithPartitionedZone(t *testing.T) {
	inVirtualTime(t, func(l *largeFleet) {
		l.run(9 * time.Second)
		l.partition(func(a, b bbgossip.Member) bool { return (a.Zone == "z4") != (b.Zone == "z4") })
		l.run(6 * time.Second)
		for _, v := range l.running() {
			if v.self.Zone == "z4" && v.HasMajority() {
				t.Fatalf("%s has a majority behind the cut", v.self.Name)
			}
		}
		l.partition(func(_, _ bbgossip.Member) bool { return false })
		l.run(5 * time.Second)
		l.wantAgreed()
		l.wantPresent()
	})
}

// Two VMs that may coordinate a failure domain don't reach each other and reach all others, then
// the first loses the others too.
func TestLargeFleetWithTwoThatDontReachEachOther(t *testing.T) {
	inVirtualTime(t, func(l *largeFleet) {
		first, second := nameOf(0), nameOf(largeZones)
		pair := func(a, b bbgossip.Member) bool {
			return (a.Name == first && b.Name == second) || (a.Name == second && b.Name == first)
		}
		l.run(9 * time.Second)
		l.partition(pair)
		l.run(7 * time.Second)
		l.partition(func(a, b bbgossip.Member) bool { return a.Name == first || b.Name == first })
		l.run(9 * time.Second)
		l.partition(pair)
		l.run(3 * time.Second)
		l.partition(func(_, _ bbgossip.Member) bool { return false })
		l.run(5 * time.Second)
		l.wantAgreed()
	})
}

func TestLargeFleetRestartsAtOnce(t *testing.T) {
	inVirtualTime(t, func(l *largeFleet) {
		l.run(9 * time.Second)
		l.each("", l.kill)
		time.Sleep(time.Second)
		l.each("", l.start)
		l.run(5 * time.Second)
		l.wantAgreed()
		l.wantPresent()
	})
}

func TestLargeFleetGrows(t *testing.T) {
	inVirtualTime(t, func(l *largeFleet) {
		l.run(9 * time.Second)
		for i := range 60 {
			l.start(largeZones*largeZoneSize + i)
		}
		l.run(4 * time.Second)
		l.wantAgreed()
		l.wantPresent()
	})
}
