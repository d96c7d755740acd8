package bbmembership

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
)

// eventualTimeout bounds the wait for what must happen eventually; tests don't measure time.
const eventualTimeout = 20 * time.Second

// vm is one entry VM of a test.
type vm struct {
	fleet *Fleet
	stop  func()
	// orders has the IDs of the orders that it coordinated.
	orders chan string
}

// freeAddresses returns addresses that nothing listens on.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, l.Addr().String())
		defer l.Close()
	}
	return addresses
}

// startVM starts a VM whose coordinator answers each order with a grant that names the VM, unless
// order is set and replaces it.
func startVM(t *testing.T, name, address string, boot int64, seeds []string, order LocalCoordinator) *vm {
	t.Helper()
	began := time.Now()
	conns, closeConns := bbpeer.NewConns()
	v := &vm{
		orders: make(chan string, 100),
	}
	v.fleet = NewFleet(bbgossip.Member{
		Name:  name,
		Boot:  boot,
		Peer:  address,
		Ready: true,
	}, seeds, nil, func() time.Duration { return time.Since(began) }, conns)
	if order == nil {
		order = v.grant
	}
	stopServer, err := bbpeer.Listen(address, bbpeer.Handlers{
		Exchange:      v.fleet.Answer,
		Published:     func(bbpeer.PublishedRequest) bbpeer.Published { return bbpeer.Published{} },
		Order:         order,
		Notes:         func([]bbjob.Note) {},
		HandlerFailed: func(string, error) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go v.fleet.Run(ctx)
	v.stop = func() {
		cancel()
		stopServer()
		closeConns()
	}
	t.Cleanup(v.stop)
	return v
}

// grant answers an order with a grant of this VM.
func (v *vm) grant(_ context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error {
	v.orders <- o.ID
	return pass(bbjob.Update{
		Verdict: &bbjob.Verdict{
			Grant: &bbjob.Grant{
				ID:       o.ID,
				Endpoint: v.fleet.self().Name,
			},
		},
	})
}

// eventually waits until a condition holds, and fails the test after eventualTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventualTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s did not happen", what)
}

// follows reports whether a VM has a certain coordinator and reaches a certain number of others.
func (v *vm) follows(leader string, reachable int) bool {
	m, _ := v.fleet.Leader()
	n := 0
	v.fleet.View(func(t *bbgossip.Table, now time.Duration) { n = len(t.Reachable(now)) })
	return m.Name == leader && n == reachable
}

// startThree starts three VMs with two seeds: the first VM, and an address that nothing listens on.
func startThree(t *testing.T, order LocalCoordinator) []*vm {
	t.Helper()
	addresses := freeAddresses(t, 4)
	seeds := []string{addresses[0], addresses[3]}
	var vms []*vm
	for i := range 3 {
		local := order
		if i > 0 {
			local = nil
		}
		vms = append(vms, startVM(t, fmt.Sprint("vm", i), addresses[i], int64(100+i), seeds, local))
	}
	eventually(t, "that all know each other", func() bool {
		return vms[0].follows("vm0", 2) && vms[1].follows("vm0", 2) && vms[2].follows("vm0", 2)
	})
	return vms
}

// wantGrant places an order at a VM and checks which VM granted it.
func wantGrant(t *testing.T, v *vm, id, want string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), eventualTimeout)
	defer cancel()
	verdict, _, err := v.fleet.Order(ctx, bbjob.Order{
		ID:    id,
		Limit: eventualTimeout,
	}, v.grant)
	if err != nil || verdict.Grant == nil {
		t.Fatalf("verdict %+v, error %v; want a grant", verdict, err)
	}
	if diff := cmp.Diff(want, verdict.Grant.Endpoint); diff != "" {
		t.Errorf("VM that granted %s (-want +got):\n%s", id, diff)
	}
}

func TestVMsFindEachOtherThroughOneSeed(t *testing.T) {
	vms := startThree(t, nil)
	wantGrant(t, vms[2], "a", "vm0")
	wantGrant(t, vms[0], "b", "vm0")
}

// Orders that reach VMs while all of them start at once are all decided by the same coordinator.
func TestOrdersDuringStartGoToOneCoordinator(t *testing.T) {
	const vms = 8
	addresses := freeAddresses(t, vms)
	var all []*vm
	for i := range vms {
		all = append(all, startVM(t, fmt.Sprint("vm", i), addresses[i], int64(100+i), addresses[:2], nil))
	}
	var group sync.WaitGroup
	for i, v := range all {
		group.Go(func() { wantGrant(t, v, fmt.Sprint("order", i), "vm0") })
	}
	group.Wait()
}

func TestStableViewWait(t *testing.T) {
	var now time.Duration
	conns, cleanup := bbpeer.NewConns()
	t.Cleanup(cleanup)
	f := NewFleet(bbgossip.Member{
		Name: "b",
		Boot: 200,
	}, nil, nil, func() time.Duration { return now }, conns)
	want := func(at, wait time.Duration) {
		t.Helper()
		now = at
		if got := max(0, f.stableViewWait()); got != wait {
			t.Errorf("at %v the view is stable in %v, want %v", at, got, wait)
		}
	}
	want(0, stablePeriod)
	want(stablePeriod, 0)
	f.seeds = []string{"peer of a"}
	want(stablePeriod, startupPeriod-stablePeriod)
	now = 500 * time.Millisecond
	f.table.RecordAnswer(now, bbgossip.Member{
		Name:  "a",
		Boot:  100,
		Beat:  1,
		Peer:  "peer of a",
		Ready: true,
	})
	f.refresh()
	want(600*time.Millisecond, 300*time.Millisecond)
	want(900*time.Millisecond, 0)
	f.table.RecordRefusal("a")
	now = startupPeriod
	f.refresh()
	want(startupPeriod, 0)
}

func TestOrderSurvivesLossOfCoordinator(t *testing.T) {
	reached := make(chan struct{})
	// The first coordinator reports a result and is lost before its verdict.
	vms := startThree(t, func(ctx context.Context, _ bbjob.Order, pass func(u bbjob.Update) error) error {
		if err := pass(bbjob.Update{
			Results: []bbjob.StageResult{{Stage: 0, Handle: "h"}},
		}); err != nil {
			return err
		}
		close(reached)
		<-ctx.Done()
		return ctx.Err()
	})
	leader, _ := vms[1].fleet.Leader()
	go func() {
		<-reached
		// An answer on the same connection shows that the update sent before it has arrived.
		if _, err := vms[1].fleet.Conns.Exchange(t.Context(), leader.Peer, bbpeer.Exchange{
			From: vms[1].fleet.self(),
		}); err != nil {
			t.Errorf("exchange with the coordinator: %v", err)
		}
		vms[0].stop()
	}()
	made := make(chan []bbjob.StageResult, 1)
	verdict, coordinator, err := vms[1].fleet.Order(t.Context(), bbjob.Order{
		ID:    "a",
		Limit: eventualTimeout,
	}, func(ctx context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error {
		made <- o.Results
		return vms[1].grant(ctx, o, pass)
	})
	if err != nil || verdict.Grant == nil {
		t.Fatalf("verdict %+v, error %v; want a grant of the next coordinator", verdict, err)
	}
	if coordinator.Name != "vm1" {
		t.Errorf("coordinator is %s, want vm1, the oldest that still runs", coordinator.Name)
	}
	if diff := cmp.Diff([]bbjob.StageResult{{Stage: 0, Handle: "h"}}, <-made); diff != "" {
		t.Errorf("results that the next coordinator got (-want +got):\n%s", diff)
	}
}

func TestLeavingCoordinatorSendsOrdersElsewhere(t *testing.T) {
	vms := startThree(t, func(_ context.Context, _ bbjob.Order, pass func(u bbjob.Update) error) error {
		return pass(bbjob.Update{
			Verdict: &bbjob.Verdict{
				Elsewhere: true,
			},
		})
	})
	go func() {
		vms[0].fleet.Update(func(m *bbgossip.Member) { m.Leaving = true })
	}()
	wantGrant(t, vms[2], "a", "vm1")
}

func TestOrderEndsWithItsCaller(t *testing.T) {
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	vms := startThree(t, func(ctx context.Context, _ bbjob.Order, _ func(u bbjob.Update) error) error {
		cancel()
		<-ctx.Done()
		close(ended)
		return ctx.Err()
	})
	_, _, err := vms[1].fleet.Order(ctx, bbjob.Order{
		ID:    "a",
		Limit: eventualTimeout,
	}, vms[1].grant)
	if !errors.Is(ctx.Err(), context.Canceled) {
		t.Errorf("error %v, want the caller's", err)
	}
	<-ended
}

func TestRestartedVMRejoins(t *testing.T) {
	addresses := freeAddresses(t, 2)
	first := startVM(t, "vm0", addresses[0], 100, nil, nil)
	second := startVM(t, "vm1", addresses[1], 200, addresses[:1], nil)
	eventually(t, "that both know each other", func() bool { return first.follows("vm0", 1) && second.follows("vm0", 1) })
	first.stop()
	eventually(t, "that the other one coordinates", func() bool { return second.follows("vm1", 0) })
	again := startVM(t, "vm0", addresses[0], 300, addresses[1:], nil)
	eventually(t, "that the restarted one follows", func() bool { return again.follows("vm1", 1) && second.follows("vm1", 1) })
}

func TestLargeFleet(t *testing.T) {
	const size = meshSize + 6
	addresses := freeAddresses(t, size)
	var vms []*vm
	for i := range size {
		vms = append(vms, startVM(t, fmt.Sprintf("vm%02d", i), addresses[i], int64(100+i), addresses[:3], nil))
	}
	follow := func(leader string, vms []*vm) func() bool {
		return func() bool {
			for _, v := range vms {
				if !v.follows(leader, len(vms)-1) {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "that all follow the oldest", follow("vm00", vms))
	vms[0].stop()
	eventually(t, "that all follow the next", follow("vm01", vms[1:]))
}

// Guards against a grant whose time in transit isn't counted, in a message that waited in a frozen VM for instance.
func TestAgeOfAGrantIncludesItsTransit(t *testing.T) {
	const waited, transit = 300 * time.Millisecond, 100 * time.Millisecond
	coordinate := func(_ context.Context, o bbjob.Order, pass func(u bbjob.Update) error) error {
		time.Sleep(waited + transit)
		return pass(bbjob.Update{
			Verdict: &bbjob.Verdict{
				Grant: &bbjob.Grant{
					ID:     o.ID,
					Waited: waited,
				},
			},
		})
	}
	for _, v := range startThree(t, coordinate) {
		began := v.fleet.Now()
		verdict, _, err := v.fleet.Order(t.Context(), bbjob.Order{
			ID:    "a",
			Limit: eventualTimeout,
		}, coordinate)
		if err != nil || verdict.Grant == nil {
			t.Fatalf("verdict %+v, error %v; want a grant", verdict, err)
		}
		if at := verdict.Grant.GrantedAt; at < began+waited || at > v.fleet.Now()-transit {
			t.Errorf("order at %v, granted at %v, got at %v; want at least %v after the first and %v before the last", began, at, v.fleet.Now(), waited, transit)
		}
	}
}

func TestVMsThatAreHeard(t *testing.T) {
	f := fleetOfThree(t)
	want := func(at time.Duration, name string, heard bool) {
		t.Helper()
		f.now = at
		f.Update(func(*bbgossip.Member) {})
		if got := f.Heard(name); got != heard {
			t.Errorf("%s is heard at %v: %t, want %t", name, at, got, heard)
		}
	}
	want(1100*time.Millisecond, "a", true)
	want(1100*time.Millisecond, "unknown", true)
	want(1100*time.Millisecond, "b", true)
	want(5*time.Second, "a", false)
	want(5*time.Second, "b", true)
}
