package bbknowledge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbrevision"
)

// at returns a revision of a store that names no eras.
func at(number uint64) bbrevision.Revision {
	return bbrevision.Revision{
		Number: number,
	}
}

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

// list replaces the endpoints with those that the platform lists.
func list(k *Knowledge, ids ...string) {
	var s bbregistry.Snapshot
	for _, id := range ids {
		s.Endpoints = append(s.Endpoints, bbregistry.Endpoint{
			ID:      id,
			Service: "s",
			Zone:    "z",
		})
	}
	k.ReplaceEndpoints(s)
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
	k.ApplyEndpointUpdates(nil, at(10))
	changed := make(map[string]bool)
	k.OnEvacuation(func(zone string, evacuated bool, _ string) { changed[zone] = evacuated })
	t.Run("older endpoints are not applied", func(t *testing.T) {
		if k.ApplyPeerDelta(bbregistry.Delta{Revision: at(9), Removed: []string{"a"}}, 0, "b") {
			t.Error("endpoints of an older revision were applied, want them ignored")
		}
		wantUsable(t, k, "a")
	})
	t.Run("changes that don't continue what was read are not applied", func(t *testing.T) {
		if !k.NeedsWholeDelta() || k.ApplyPeerDelta(bbregistry.Delta{Revision: at(11)}, 0, "b") {
			t.Error("changes were applied to what was read from the platform")
		}
	})
	t.Run("an evacuated failure domain is notified", func(t *testing.T) {
		applied := k.ApplyPeerDelta(bbregistry.Delta{
			Revision:         at(11),
			OperatorRevision: at(11),
			Evacuated:        []string{"z"},
			Whole:            true,
			Put:              []bbregistry.Endpoint{{ID: "a", Service: "s", Zone: "z"}},
		}, 0, "b")
		if diff := cmp.Diff(map[string]bool{"z": true}, changed); diff != "" || !applied {
			t.Errorf("applied %v, failure domains whose evacuation changed (-want +got):\n%s", applied, diff)
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
			t.Errorf("%s: source is silent, source has lost the platform (-want +got):\n%s", when, diff)
		}
	}
	k.RecordSourceAnswer()
	k.ApplyPeerDelta(bbregistry.Delta{Revision: at(1)}, 100*time.Millisecond, "b")
	want("source has just answered", false, false)
	c.now += sourceTimeout
	want("just before the timeout of the source", false, true)
	c.now++
	want("source is silent", true, true)
	k.RecordSourceAnswer()
	want("source is back without the platform", false, true)
	k.ApplyPeerDelta(bbregistry.Delta{Revision: at(1)}, 0, "b")
	want("source is back", false, false)
}

// The age of endpoints that came from the source is counted from the platform's answer to the source.
func TestStoreAge(t *testing.T) {
	k, c := newTestKnowledge()
	k.RecordPlatformAnswer()
	c.now += 3 * time.Second
	if got := k.StoreAge(); got != 3*time.Second {
		t.Errorf("age %v without further answers of the platform, want 3s", got)
	}
	k.ApplyPeerDelta(bbregistry.Delta{Revision: at(1)}, 200*time.Millisecond, "b")
	if got := k.StoreAge(); got != 200*time.Millisecond {
		t.Errorf("age %v of a VM that follows a source, want 200ms", got)
	}
}

func TestNotReadyWithoutEndpoints(t *testing.T) {
	k, _ := newTestKnowledge()
	k.OfferCatalog(bbcatalog.Catalog{
		Version: 1,
	}, "test")
	k.ReplaceEvacuated([]bbregistry.Evacuation{{Zone: "z", Number: 1}}, at(1))
	if ready, _, _ := k.Ready(); ready {
		t.Error("ready before the endpoints are known, want not")
	}
	list(k, "a")
	if ready, _, _ := k.Ready(); !ready {
		t.Error("not ready though configuration and endpoints are known")
	}
}

// Guards against VMs that carry back what they knew of the store before it came back from an older copy.
func TestPeersOfAnEarlierEraAreNotFollowed(t *testing.T) {
	k, _ := newTestKnowledge()
	for _, step := range []struct {
		name  string
		delta bbregistry.Delta
		want  bool
	}{
		{"the first endpoints", bbregistry.Delta{Revision: bbrevision.Revision{Era: 1, Number: 90}, Whole: true}, true},
		{"a later era with a lower number", bbregistry.Delta{Revision: bbrevision.Revision{Era: 2, Number: 5}}, true},
		{"the earlier era", bbregistry.Delta{Revision: bbrevision.Revision{Era: 1, Number: 91}}, false},
		{"a later revision of this era", bbregistry.Delta{Revision: bbrevision.Revision{Era: 2, Number: 6}}, true},
		{"a later revision of a build without eras", bbregistry.Delta{Number: 7}, true},
		{"an earlier revision of a build without eras", bbregistry.Delta{Number: 6}, false},
	} {
		if applied := k.ApplyPeerDelta(step.delta, 0, "b"); applied != step.want {
			t.Errorf("%s: applied %t, want %t", step.name, applied, step.want)
		}
	}
}

// Guards against changes of an earlier era, or known ones, that undo what a VM has learned from another one
// while it waited for them.
func TestUpdatesThatDoNotContinueWhatIsKnown(t *testing.T) {
	k, _ := newTestKnowledge()
	list(k, "a")
	k.ApplyPeerDelta(bbregistry.Delta{Revision: bbrevision.Revision{Era: 2, Number: 9}, Whole: true}, 0, "b")
	put := []bbregistry.Update{{Endpoint: bbregistry.Endpoint{ID: "a", Service: "s"}, Number: 8}}
	if k.ApplyEndpointUpdates(put, bbrevision.Revision{Era: 1, Number: 8}) {
		t.Error("updates of an earlier era were applied")
	}
	if !k.ApplyEndpointUpdates(put, bbrevision.Revision{Era: 2, Number: 8}) {
		t.Error("known updates of this era don't count as a continuation")
	}
	wantUsable(t, k)
	if k.ReplaceEndpoints(bbregistry.Snapshot{Revision: bbrevision.Revision{Era: 1, Number: 99}}) {
		t.Error("a list of an earlier era was applied")
	}
}

// Guards against the loss of endpoints whose entries lapse just after the store has come back from an older copy,
// though no call has failed meanwhile.
func TestEntriesThatLapseAfterAReturn(t *testing.T) {
	k, c := newTestKnowledge()
	s := bbregistry.Snapshot{
		Revision:  bbrevision.Revision{Era: 1, Number: 9},
		Endpoints: []bbregistry.Endpoint{{ID: "a", Service: "s"}},
	}
	k.ReplaceEndpoints(s)
	s.Revision = bbrevision.Revision{Era: 2, Number: 3}
	k.ReplaceEndpoints(s)
	c.now += time.Second
	removal := []bbregistry.Update{{Endpoint: bbregistry.Endpoint{ID: "a"}, Number: 4, Removed: true}}
	k.ApplyEndpointUpdates(removal, bbrevision.Revision{Era: 2, Number: 4})
	wantUsable(t, k, "a")
	c.now += 2 * time.Second
	wantUsable(t, k)
}

// Guards against a VM that notices only at its next poll that it is ready or has to read the platform.
func TestChanged(t *testing.T) {
	k, _ := newTestKnowledge()
	for _, step := range []struct {
		name   string
		change func()
		want   bool
	}{
		{"it ceases to read", func() { k.SetReadsPlatform(false) }, true},
		{"it still doesn't read", func() { k.SetReadsPlatform(false) }, false},
		{"a list without a configuration", func() { list(k, "a") }, false},
		{"the configuration", func() { k.OfferCatalog(bbcatalog.Catalog{Version: 1}, "test") }, true},
		{"a later configuration", func() { k.OfferCatalog(bbcatalog.Catalog{Version: 2}, "test") }, false},
		{"it begins to read", func() { k.SetReadsPlatform(true) }, true},
	} {
		changed := k.Changed()
		step.change()
		select {
		case <-changed:
			if !step.want {
				t.Errorf("%s: notified, want no notice", step.name)
			}
		default:
			if step.want {
				t.Errorf("%s: not notified", step.name)
			}
		}
	}
}

// Guards against streams that go on at an endpoint whose version isn't known any more, and against versions that are
// forgotten while their endpoints finish streams.
func TestVersions(t *testing.T) {
	k, _ := newTestKnowledge()
	entry := func(id, version string, leaving bool) bbregistry.Endpoint {
		return bbregistry.Endpoint{
			ID:      id,
			Service: "s",
			Zone:    "z",
			Version: version,
			Leaving: leaving,
		}
	}
	k.ReplaceEndpoints(bbregistry.Snapshot{
		Endpoints: []bbregistry.Endpoint{entry("a", "v1.1", false), entry("b", "v1", true), entry("c", "", false)},
	})
	if diff := cmp.Diff([]string{"", "v1", "v1.1"}, k.Versions("s")); diff != "" {
		t.Errorf("versions (-want +got):\n%s", diff)
	}
	want := func(id, version string, known bool) {
		t.Helper()
		if got, ok := k.VersionOf(id); got != version || ok != known {
			t.Errorf("version of %s is %q, %v; want %q, %v", id, got, ok, version, known)
		}
	}
	want("a", "v1.1", true)
	want("b", "", false)
	want("c", "", true)
	want("nobody", "", false)
}
