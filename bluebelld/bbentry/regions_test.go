package bbentry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"bluebellhall/bluebelld/bbhub"
	"bluebellhall/bluebelld/bblog"
	"bluebellhall/bluebelld/bbmeter"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbrevision"
	"bluebellhall/core/bbstanding"
)

// stagedCatalog is a configuration with a route of two stages, served in one region, by the route's regions or by those
// of its account.
func stagedCatalog(version uint64, region string, byAccount bool) bbcatalog.Catalog {
	c := bbcatalog.Catalog{
		Version: version,
		Routes: []bbcatalog.Route{{
			Name:        "route",
			Kind:        bbcatalog.KindStream,
			Objective:   time.Second,
			MaxAttempts: 1,
			Shares:      []bbcatalog.Share{{Service: "engine", Weight: 1}},
			Stages:      []bbcatalog.Stage{{Service: "pool"}, {Service: "pool", After: []int{0}}},
			Engine:      true,
		}},
		Services: []bbcatalog.Service{
			{
				Name:   "engine",
				Engine: &bbcatalog.Engine{Slots: 8, Tokens: 1e5},
			},
			{
				Name: "pool",
				Pool: &bbcatalog.Pool{
					Slots:             1,
					Queue:             2,
					Batch:             4,
					CallTime:          20 * time.Millisecond,
					PieceTime:         time.Millisecond,
					ResultMemoryBytes: 1e9,
					ResultTTL:         time.Minute,
				},
			},
		},
		Accounts: []bbcatalog.Account{{Name: "acme"}},
	}
	if byAccount {
		c.Accounts[0].Regions = []string{region}
	} else {
		c.Routes[0].Regions = []string{region}
	}
	return c
}

// startCoordinator starts a VM that coordinates by itself, with a stage worker and an engine in each of two regions. Run
// is called with the endpoint of each call.
func startCoordinator(t *testing.T, run func(e *Entry, endpoint string)) *Entry {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	var e *Entry
	e, cleanup, err := Start(Settings{
		Self: bbgossip.Member{
			Name:   "vm",
			Boot:   time.Now().UnixMilli(),
			Peer:   address,
			Zone:   "z0",
			Region: "r0",
			Weight: 1,
		},
		PeerListen: address,
		Regions:    map[string]string{"z0": "r0", "z1": "r1"},
	}, Hooks{
		Log:         bblog.Logger{Lines: zerolog.Nop()},
		Meter:       bbmeter.NewMeter(),
		FreeResults: func(context.Context, string, []string) bbstanding.Signal { return bbstanding.Signal{} },
		RunPieces: func(_ context.Context, _, endpoint string, pieces []bbhub.Piece) bbhub.CallResult {
			run(e, endpoint)
			result := bbhub.CallResult{
				Outcome: bbhealth.OutcomeGood,
			}
			for i := range pieces {
				result.Results = append(result.Results, bbdecision.PieceResult{
					Handle: fmt.Sprint(endpoint, "/", pieces[i].Stage),
				})
			}
			return result
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	s := bbregistry.Snapshot{
		Revision: bbrevision.Revision{Era: 1, Number: 1},
	}
	for _, n := range []string{"0", "1"} {
		s.Endpoints = append(s.Endpoints,
			bbregistry.Endpoint{ID: "engine" + n, Service: "engine", Address: "engine" + n, Zone: "z" + n},
			bbregistry.Endpoint{ID: "worker" + n, Service: "pool", Address: "worker" + n, Zone: "z" + n})
	}
	e.Knowledge.ReplaceEndpoints(s)
	return e
}

// Guards against pieces and engines outside the regions of a route or an account, because these were other ones in the
// configuration in force when the request arrived.
func TestOrdersStayInTheRegionsInForce(t *testing.T) {
	for name, byAccount := range map[string]bool{"regions of the route": false, "regions of the account": true} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var used []string
			e := startCoordinator(t, func(e *Entry, endpoint string) {
				mu.Lock()
				defer mu.Unlock()
				used = append(used, endpoint)
				e.Knowledge.OfferCatalog(stagedCatalog(2, "r1", byAccount), "test")
			})
			e.Knowledge.OfferCatalog(stagedCatalog(1, "r0", byAccount), "test")
			o := bbjob.Order{
				ID:        "a",
				Origin:    "vm",
				Route:     "route",
				Service:   "engine",
				Account:   "acme",
				Objective: 5 * time.Second,
				Limit:     5 * time.Second,
				Zone:      "z0",
				Region:    "r0",
				Regions:   []string{"r0"},
				Stages:    []bbjob.Stage{{Service: "pool", Pieces: 1}, {Service: "pool", After: []int{0}, Pieces: 1}},
			}
			var verdict bbjob.Verdict
			err := e.coordinate(t.Context(), o, func(u bbjob.Update) error {
				if u.Verdict != nil {
					verdict = *u.Verdict
				}
				return nil
			})
			if err != nil || verdict.Grant == nil {
				t.Fatalf("verdict %+v, error %v; want a grant", verdict, err)
			}
			if diff := cmp.Diff([]string{"worker0", "worker1", "engine1"}, append(used, verdict.Grant.Endpoint)); diff != "" {
				t.Errorf("endpoints of the stages and the engine (-want +got):\n%s", diff)
			}
		})
	}
}
