package bbhub

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbcoordinator"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

// newTestHub returns a hub with one stage worker and one engine. Run executes its calls.
func newTestHub(t *testing.T, run func(pieces []Piece) ([]bbdecision.PieceResult, bbhealth.Outcome)) *Hub {
	t.Helper()
	began := time.Now()
	services := map[string]*bbcatalog.Service{
		"stage": {
			Name: "stage",
			Pool: &bbcatalog.Pool{
				Slots:             1,
				Batch:             4,
				CallTime:          time.Second,
				ResultMemoryBytes: 1e6,
				ResultTTL:         time.Minute,
			},
		},
		"engine": {
			Name:   "engine",
			Engine: &bbcatalog.Engine{Slots: 4, Tokens: 1e6},
		},
	}
	h, cleanup := New(bbcoordinator.New(bbcoordinator.Environment{
		Service: func(name string) *bbcatalog.Service {
			if name == "poison" {
				panic("no such service")
			}
			return services[name]
		},
		Endpoints: func(service string) []*bbregistry.Entry {
			return []*bbregistry.Entry{
				{Endpoint: bbregistry.Endpoint{ID: service + "1", Service: service, Zone: "z"}},
			}
		},
		Region:          func(string) string { return "r" },
		Majority:        func() bool { return true },
		SoleCoordinator: func() bool { return true },
	}, bbcoordinator.Limits{
		RetrySpan: time.Second,
	}), Hooks{
		Now: func() time.Duration { return time.Since(began) },
		RunPieces: func(_ context.Context, _, _ string, pieces []Piece) CallResult {
			results, outcome := run(pieces)
			return CallResult{
				Results: results,
				Outcome: outcome,
			}
		},
		FreeResults: func(context.Context, string, []string) {},
		Zone:        func(string) string { return "z" },
		Log:         func(bbdecision.Event) {},
	})
	t.Cleanup(cleanup)
	return h
}

func testOrder() bbjob.Order {
	return bbjob.Order{
		ID:        "a",
		Service:   "engine",
		Stages:    []bbjob.Stage{{Service: "stage", Pieces: 2}},
		Key:       "k",
		Objective: time.Minute,
		Limit:     time.Hour,
	}
}

// placeOrder places an order and returns the results and the verdict that it got.
func placeOrder(t *testing.T, h *Hub) (made []bbjob.StageResult, verdict *bbjob.Verdict, err error) {
	t.Helper()
	err = h.Order(t.Context(), testOrder(), func(u bbjob.Update) error {
		made = u.Apply(made)
		verdict = u.Verdict
		return nil
	})
	return made, verdict, err
}

func TestOrderIsGrantedWithItsInputs(t *testing.T) {
	h := newTestHub(t, func(pieces []Piece) ([]bbdecision.PieceResult, bbhealth.Outcome) {
		results := make([]bbdecision.PieceResult, len(pieces))
		for i, p := range pieces {
			results[i].Handle = p.Key + string(rune('0'+p.Piece))
		}
		return results, bbhealth.OutcomeGood
	})
	made, verdict, err := placeOrder(t, h)
	if err != nil || verdict == nil || verdict.Grant == nil {
		t.Fatalf("verdict %+v, error %v; want a grant", verdict, err)
	}
	if len(made) != 2 || len(verdict.Grant.Inputs) != 2 || verdict.Grant.Inputs[1] != "k1" {
		t.Errorf("got %d results, inputs %v; want 2, k0 and k1", len(made), verdict.Grant.Inputs)
	}
}

func TestOrderIsDroppedWhenCallerLeaves(t *testing.T) {
	called := make(chan struct{})
	release := make(chan struct{})
	h := newTestHub(t, func([]Piece) ([]bbdecision.PieceResult, bbhealth.Outcome) {
		close(called)
		<-release
		return nil, bbhealth.OutcomeBroken
	})
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-called
		cancel()
	}()
	err := h.Order(ctx, testOrder(), func(bbjob.Update) error { return nil })
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want the cancellation of the caller's context", err)
	}
	if h.Len() != 0 {
		t.Errorf("%d requests in progress, want none", h.Len())
	}
}

func TestLeavingHubHandsOrdersBack(t *testing.T) {
	called := make(chan struct{})
	release := make(chan struct{})
	h := newTestHub(t, func([]Piece) ([]bbdecision.PieceResult, bbhealth.Outcome) {
		close(called)
		<-release
		return []bbdecision.PieceResult{{Handle: "h0"}, {Handle: "h1"}}, bbhealth.OutcomeGood
	})
	go func() {
		<-called
		h.Leave()
		close(release)
	}()
	made, verdict, err := placeOrder(t, h)
	if err != nil || verdict == nil || !verdict.Elsewhere || len(made) != 2 {
		t.Errorf("verdict %+v with %d results, error %v; want to be sent elsewhere with 2", verdict, len(made), err)
	}
}

// A panic in the coordinator ends the order that caused it; other orders are still served.
func TestUnexpectedError(t *testing.T) {
	h := newTestHub(t, func(pieces []Piece) ([]bbdecision.PieceResult, bbhealth.Outcome) {
		return make([]bbdecision.PieceResult, len(pieces)), bbhealth.OutcomeBroken
	})
	logged := make(chan bbevent.Number, 8)
	h.hooks.Log = func(e bbdecision.Event) {
		if e.Number == bbevent.HandlerFailed {
			logged <- e.Number
		}
	}
	o := testOrder()
	o.Service = "poison"
	if err := h.Order(t.Context(), o, func(bbjob.Update) error { return nil }); err == nil {
		t.Error("an order that led to an unexpected error was decided, want an error")
	}
	if got := <-logged; got != bbevent.HandlerFailed {
		t.Errorf("event %d, want %d", got, bbevent.HandlerFailed)
	}
	if n := len(h.waiters); n != 0 {
		t.Errorf("%d orders wait, want none", n)
	}
	_, verdict, err := placeOrder(t, h)
	if err != nil || verdict == nil || verdict.Refusal == nil {
		t.Errorf("verdict %+v, error %v; want the refusal of an order whose pieces fail", verdict, err)
	}
}

// The age of a grant is judged by what it states of the time before it was made.
func TestGrantStatesHowLongItsOrderWaited(t *testing.T) {
	const callTime = 30 * time.Millisecond
	h := newTestHub(t, func([]Piece) ([]bbdecision.PieceResult, bbhealth.Outcome) {
		time.Sleep(callTime)
		return []bbdecision.PieceResult{{Handle: "a"}, {Handle: "b"}}, bbhealth.OutcomeGood
	})
	began := time.Now()
	_, verdict, err := placeOrder(t, h)
	if err != nil || verdict == nil || verdict.Grant == nil {
		t.Fatalf("verdict %+v, error %v; want a grant", verdict, err)
	}
	if g := verdict.Grant; g.Waited < callTime || g.Waited > time.Since(began) || g.ValidFor <= 0 {
		t.Errorf("grant after %v states that its order waited %v, valid for %v", time.Since(began), g.Waited, g.ValidFor)
	}
}

// Guards against a VM that was frozen, and sends the calls that were decided before.
func TestCallThatWasHeldUpIsNotSent(t *testing.T) {
	h := newTestHub(t, func([]Piece) ([]bbdecision.PieceResult, bbhealth.Outcome) {
		t.Error("call was sent")
		return nil, bbhealth.OutcomeBroken
	})
	var readings atomic.Int64
	h.hooks.Now = func() time.Duration { return time.Duration(readings.Add(1)) * (maxCallDelay + time.Millisecond) }
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := h.Order(ctx, testOrder(), func(bbjob.Update) error { return nil }); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want the order to wait", err)
	}
}
