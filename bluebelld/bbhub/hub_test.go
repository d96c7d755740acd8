package bbhub

import (
	"context"
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

// newTestHub returns a hub of one stage worker and one engine. Run makes its calls.
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

// place places an order and returns the results and the verdict that it was told of.
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
		t.Errorf("told of %d results, inputs %v; want 2, k0 and k1", len(made), verdict.Grant.Inputs)
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
		t.Errorf("error %v, want that the caller left", err)
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

// An unexpected error ends the order that led to it; others go on.
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
