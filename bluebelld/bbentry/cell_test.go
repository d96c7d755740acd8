package bbentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbknowledge"
	"bluebellhall/bluebelld/bbmembership"
	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbrevision"
)

// clock is a manual clock.
type clock struct {
	now time.Duration
}

func newTestKnowledge() (*bbknowledge.Knowledge, *clock) {
	c := &clock{
		now: time.Second,
	}
	return bbknowledge.NewKnowledge(func() time.Duration { return c.now }), c
}

var testRegions = map[string]string{
	"z0": "north",
	"z1": "north",
	"z2": "south",
}

// newLargeEntry returns a VM of z0 with a capacity in cores, which has heard from the given number of other
// VMs: the first of each failure domain has one core, the others have less. Each failure domain has two
// endpoints of the service s.
func newLargeEntry(t *testing.T, cores float64, others int) *Entry {
	t.Helper()
	conns, cleanup := bbpeer.NewConns()
	t.Cleanup(cleanup)
	knowledge, c := newTestKnowledge()
	self := bbgossip.Member{
		Name:   "self",
		Boot:   1,
		Peer:   "peer of self",
		Zone:   "z0",
		Region: "north",
		Weight: cores,
		Ready:  true,
	}
	e := &Entry{
		Knowledge: knowledge,
		settings: Settings{
			Self:    self,
			Regions: testRegions,
		},
	}
	e.fleet = bbmembership.NewFleet(self, nil, testRegions, func() time.Duration { return c.now }, conns)
	e.fleet.Serves = e.serves
	e.fleet.ServesVersion = e.servesVersion
	for i := range others {
		zone := fmt.Sprint("z", i%len(testRegions))
		m := bbgossip.Member{
			Name:   fmt.Sprintf("%s-%03d", zone, i),
			Boot:   int64(100 + i),
			Beat:   1,
			Peer:   fmt.Sprint("peer ", i),
			Zone:   zone,
			Region: testRegions[zone],
			Weight: 0.2,
			Ready:  true,
		}
		if i < len(testRegions) {
			m.Weight = 1
		}
		e.fleet.Answer(bbpeer.Exchange{
			From: m,
		})
	}
	var s bbregistry.Snapshot
	for i := range 2 * len(testRegions) {
		s.Endpoints = append(s.Endpoints, bbregistry.Endpoint{
			ID:      fmt.Sprintf("z%d-s%d", i/2, i%2),
			Service: "s",
			Zone:    fmt.Sprint("z", i/2),
		})
	}
	knowledge.ReplaceEndpoints(s)
	return e
}

// wantCoordinated checks which endpoints a VM coordinates.
func wantCoordinated(t *testing.T, e *Entry, want ...string) {
	t.Helper()
	var got []string
	for _, entry := range e.coordinated("s") {
		got = append(got, entry.ID)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("coordinated endpoints (-want +got):\n%s", diff)
	}
}

func TestCoordinatedEndpoints(t *testing.T) {
	t.Run("all in a small fleet", func(t *testing.T) {
		wantCoordinated(t, newLargeEntry(t, 2, 30), "z0-s0", "z0-s1", "z1-s0", "z1-s1", "z2-s0", "z2-s1")
	})
	t.Run("those of its failure domain in a large fleet", func(t *testing.T) {
		wantCoordinated(t, newLargeEntry(t, 2, 200), "z0-s0", "z0-s1")
	})
	t.Run("none by a VM that doesn't coordinate", func(t *testing.T) {
		wantCoordinated(t, newLargeEntry(t, 0.2, 200))
	})
	t.Run("without those that were evacuated since", func(t *testing.T) {
		e := newLargeEntry(t, 2, 200)
		wantCoordinated(t, e, "z0-s0", "z0-s1")
		e.Knowledge.ReplaceEvacuated([]bbregistry.Evacuation{{Zone: "z0", Number: 1}}, bbrevision.Revision{Number: 1})
		wantCoordinated(t, e)
	})
}

func TestOrderAtAVMWithoutACell(t *testing.T) {
	e := newLargeEntry(t, 0.2, 200)
	var verdict *bbjob.Verdict
	err := e.coordinate(context.Background(), bbjob.Order{
		ID:   "a",
		Zone: "z2",
	}, func(u bbjob.Update) error {
		verdict = u.Verdict
		return nil
	})
	want := &bbjob.Verdict{
		Elsewhere: true,
		Cell:      "z2-002",
	}
	if diff := cmp.Diff(want, verdict); diff != "" || err != nil {
		t.Errorf("error %v, verdict (-want +got):\n%s", err, diff)
	}
}

// Guards against an order that is named a cell without engines of its version by a VM that coordinates none.
func TestOrderWithAVersionAtAVMWithoutACell(t *testing.T) {
	e := newLargeEntry(t, 0.2, 200)
	e.Knowledge.ApplyEndpointUpdates([]bbregistry.Update{{
		Endpoint: bbregistry.Endpoint{
			ID:      "z1-s0",
			Service: "s",
			Zone:    "z1",
			Version: "v1",
		},
		Number: 1,
	}}, bbrevision.Revision{Number: 1})
	cell := ""
	err := e.coordinate(context.Background(), bbjob.Order{
		ID:      "a",
		Service: "s",
		Version: "v1",
		Zone:    "z2",
		Region:  "south",
	}, func(u bbjob.Update) error {
		cell = u.Verdict.Cell
		return nil
	})
	if cell != "z1-001" || err != nil {
		t.Errorf("cell of %q, error %v; want that of z1-001", cell, err)
	}
}

func TestRetryBudgetShare(t *testing.T) {
	if got := newLargeEntry(t, 2, 30).budgetShare(); got != 1 {
		t.Errorf("share of the only coordinator is %v, want all", got)
	}
	if got := newLargeEntry(t, 2, 200).budgetShare(); got != 1.0/3 {
		t.Errorf("share of one of three coordinators is %v, want a third", got)
	}
}

func TestServes(t *testing.T) {
	e := newLargeEntry(t, 2, 30)
	e.Knowledge.ReplaceEvacuated([]bbregistry.Evacuation{{Zone: "z1", Number: 1}}, bbrevision.Revision{Number: 1})
	for zone, want := range map[string]bool{"z0": true, "z1": false, "elsewhere": false} {
		if got := e.serves("s", zone); got != want {
			t.Errorf("%s has endpoints that may get work: %v, want %v", zone, got, want)
		}
	}
}
