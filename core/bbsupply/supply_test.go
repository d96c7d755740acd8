package bbsupply

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbplacement"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbregistry"
)

// known is what a test knows of the endpoints a and b.
type known struct {
	entries  []*bbregistry.Entry
	backoffs map[string]time.Duration
	rates    map[string]float64
	// busy has when endpoints with a limit take a request again.
	busy map[string]time.Duration
}

func entry(id string) *bbregistry.Entry {
	return &bbregistry.Entry{
		Endpoint: bbregistry.Endpoint{
			ID:      id,
			Address: "address of " + id,
			Zone:    "z",
		},
	}
}

func newTestSupply() (*Supply, *known) {
	k := &known{
		entries:  []*bbregistry.Entry{entry("a"), entry("b")},
		backoffs: make(map[string]time.Duration),
		rates:    make(map[string]float64),
		busy:     make(map[string]time.Duration),
	}
	return New(Hooks{
		Endpoints:    func(string) []*bbregistry.Entry { return k.entries },
		BackoffUntil: func(id string) time.Duration { return k.backoffs[id] },
		Pace: func() Pace {
			return Pace{
				Rate: func(id string) (float64, bool) {
					rate, limited := k.rates[id]
					return rate, limited
				},
				AvailableAt: func(id string) time.Duration { return k.busy[id] },
				Take:        func(string) {},
			}
		},
	}), k
}

// wantPool checks when a pool has an endpoint again, 0 for now, and the calls that endpoints with a limit take.
func wantPool(t *testing.T, s *Supply, availableAt time.Duration, limitedCalls float64) {
	t.Helper()
	p := bbpool.NewPool("s", bbcatalog.Pool{})
	s.Update("s", p)
	want := []any{availableAt, limitedCalls}
	if diff := cmp.Diff(want, []any{p.AvailableAt, p.LimitedCallsPerSecond}); diff != "" {
		t.Errorf("time of the next endpoint, calls per second of limited ones (-want +got):\n%s", diff)
	}
}

func TestUpdate(t *testing.T) {
	s, k := newTestSupply()
	wantPool(t, s, 0, 0)
	t.Run("one endpoint rests", func(t *testing.T) {
		k.backoffs["a"] = 3 * time.Second
		wantPool(t, s, 0, 0)
	})
	t.Run("all rest, one of them for its limit", func(t *testing.T) {
		k.rates["b"], k.busy["b"] = 0.5, 2*time.Second
		wantPool(t, s, 2*time.Second, 0.5)
	})
	t.Run("none rests any more", func(t *testing.T) {
		clear(k.backoffs)
		clear(k.rates)
		wantPool(t, s, 0, 0)
	})
}

// A pool kept the endpoints of the time when one of them rested.
func TestUpdateAfterARestriction(t *testing.T) {
	s, k := newTestSupply()
	p := bbpool.NewPool("s", bbcatalog.Pool{})
	s.Update("s", p)
	k.backoffs["a"], k.backoffs["b"] = time.Second, time.Second
	s.Update("s", p)
	if p.AvailableAt != time.Second {
		t.Fatalf("next endpoint at %v, want 1s", p.AvailableAt)
	}
	clear(k.backoffs)
	s.Update("s", p)
	if p.AvailableAt != 0 {
		t.Errorf("next endpoint at %v after the restrictions, want now", p.AvailableAt)
	}
}

func TestEngines(t *testing.T) {
	s, k := newTestSupply()
	want := func(endpoints ...bbplacement.Endpoint) {
		t.Helper()
		if diff := cmp.Diff(endpoints, s.Engines("s")); diff != "" {
			t.Errorf("engines (-want +got):\n%s", diff)
		}
	}
	a := bbplacement.Endpoint{ID: "a", Address: "address of a", Zone: "z"}
	b := bbplacement.Endpoint{ID: "b", Address: "address of b", Zone: "z"}
	want(a, b)
	want(a, b)
	cold := entry("a")
	cold.Cold = time.Second
	k.entries = []*bbregistry.Entry{cold, entry("b")}
	a.Cold = true
	want(a, b)
	versioned := entry("b")
	versioned.Version = "v1.1"
	k.entries = []*bbregistry.Entry{cold, versioned}
	b.Version = "v1.1"
	want(a, b)
}

func TestEngineWait(t *testing.T) {
	s, k := newTestSupply()
	version := ""
	want := func(waiting int, want time.Duration) {
		t.Helper()
		if got := s.EngineWait("s", version, func() int { return waiting }); got != want {
			t.Errorf("wait behind %d requests for version %q is %v, want %v", waiting, version, got, want)
		}
	}
	k.rates["a"] = 1
	want(10, 0)
	k.rates["b"] = 4
	want(10, 2*time.Second)
	want(1e6, maxEngineWait)
	k.entries[0].Version = "v1"
	version = "v1"
	want(10, 10*time.Second)
	delete(k.rates, "a")
	want(10, 0)
	version = "v2"
	want(10, 0)
}
