package bbknowledge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbregistry"
)

// clock is a manual clock.
type clock struct {
	now time.Duration
}

func newTestKnowledge() (*Knowledge, *clock) {
	c := &clock{
		now: time.Second,
	}
	return NewKnowledge(func() time.Duration { return c.now }), c
}

// list makes these the endpoints that the platform lists.
func list(k *Knowledge, ids ...string) {
	var s bbregistry.Snapshot
	for _, id := range ids {
		s.Endpoints = append(s.Endpoints, bbregistry.Endpoint{
			ID:      id,
			Service: "s",
			Zone:    "z",
		})
	}
	k.UpdateEndpoints(func(t *bbregistry.Table, now time.Duration, grace bool) {
		t.ReplaceEndpoints(now, s, grace)
	})
}

func wantUsable(t *testing.T, k *Knowledge, want ...string) {
	t.Helper()
	var got []string
	for _, e := range k.Usable("s") {
		got = append(got, e.ID)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("usable endpoints (-want +got):\n%s", diff)
	}
}

func TestConfigurationNeverRegresses(t *testing.T) {
	k, _ := newTestKnowledge()
	for _, version := range []uint64{5, 3, 5, 9, 8} {
		k.OfferCatalog(bbcatalog.Catalog{
			Version: version,
		}, "test")
	}
	if got := k.Index().Catalog.Version; got != 9 {
		t.Errorf("version %d is in force, want 9", got)
	}
}

func TestEndpointsAfterAnOutage(t *testing.T) {
	k, c := newTestKnowledge()
	list(k, "a", "b")
	k.RecordPlatformFailure()
	c.now += 5 * time.Second
	k.RecordPlatformAnswer()
	list(k, "b")
	wantUsable(t, k, "a", "b")
	c.now += 2 * time.Second
	wantUsable(t, k, "b")
}

func TestEndpointsWithoutAnOutage(t *testing.T) {
	k, _ := newTestKnowledge()
	list(k, "a", "b")
	k.RecordPlatformAnswer()
	list(k, "b")
	wantUsable(t, k, "b")
}

func TestApplyPeerDelta(t *testing.T) {
	k, _ := newTestKnowledge()
	list(k, "a")
	k.UpdateEndpoints(func(table *bbregistry.Table, _ time.Duration, _ bool) { table.Revision = 10 })
	zones := map[string]string{"z": "r"}
	t.Run("older endpoints are not taken", func(t *testing.T) {
		if _, taken := k.ApplyPeerDelta(bbregistry.Delta{Revision: 9, Removed: []string{"a"}}, 0, zones); taken {
			t.Error("endpoints of an older revision were taken, want them refused")
		}
		wantUsable(t, k, "a")
	})
	t.Run("a failure domain that is out is told", func(t *testing.T) {
		turned, taken := k.ApplyPeerDelta(bbregistry.Delta{Revision: 11, OperatorRevision: 11, Evacuated: []string{"z"}}, 0, zones)
		if diff := cmp.Diff(map[string]bool{"z": true}, turned); diff != "" || !taken {
			t.Errorf("taken %v, failure domains that turned (-want +got):\n%s", taken, diff)
		}
		wantUsable(t, k)
	})
}

func TestSourceHealth(t *testing.T) {
	k, c := newTestKnowledge()
	want := func(when string, silent, outdated bool) {
		t.Helper()
		gotSilent, gotOutdated := k.SourceHealth()
		if diff := cmp.Diff([]bool{silent, outdated}, []bool{gotSilent, gotOutdated}); diff != "" {
			t.Errorf("%s: the VM that is followed is silent, has lost the platform (-want +got):\n%s", when, diff)
		}
	}
	k.RecordSourceAnswer()
	k.ApplyPeerDelta(bbregistry.Delta{Revision: 1}, 100*time.Millisecond, nil)
	want("just followed", false, false)
	c.now += sourceTimeout
	want("silent for a moment less", false, true)
	c.now++
	want("silent", true, true)
	k.RecordSourceAnswer()
	want("back without the platform", false, true)
	k.ApplyPeerDelta(bbregistry.Delta{Revision: 1}, 0, nil)
	want("back", false, false)
}

// What a VM tells of the platform is as old as what it was told itself.
func TestStoreAge(t *testing.T) {
	k, c := newTestKnowledge()
	k.RecordPlatformAnswer()
	c.now += 3 * time.Second
	if got := k.StoreAge(); got != 3*time.Second {
		t.Errorf("age %v of a VM that the platform turns away, want 3s", got)
	}
	k.ApplyPeerDelta(bbregistry.Delta{Revision: 1}, 200*time.Millisecond, nil)
	if got := k.StoreAge(); got != 200*time.Millisecond {
		t.Errorf("age %v of a VM that follows another, want 200ms", got)
	}
}

func TestNotReadyWithoutEndpoints(t *testing.T) {
	k, _ := newTestKnowledge()
	k.OfferCatalog(bbcatalog.Catalog{
		Version: 1,
	}, "test")
	k.UpdateOperatorState(func(t *bbregistry.Table) { t.SetZoneEvacuated("z", true) })
	if ready, _, _ := k.Ready(); ready {
		t.Error("ready before the endpoints are known, want not")
	}
	list(k, "a")
	if ready, _, _ := k.Ready(); !ready {
		t.Error("not ready though all is known")
	}
}
