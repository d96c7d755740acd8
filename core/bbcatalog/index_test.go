package bbcatalog

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func testIndex() *Index {
	first := 0
	return NewIndex(Catalog{
		Version: 7,
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/", Regions: []string{"north", "south"}},
			{Name: "long", Host: "h", Prefix: "/a/b/"},
			{Name: "open", Host: "h", Prefix: "/open/", Anonymous: true},
			{Name: "other", Host: "i", Prefix: "/a/"},
		},
		Services: []Service{{Name: "s"}},
		Accounts: []Account{{Name: "acme", Keys: []string{"k1", "k2"}, Priority: &first, Regions: []string{"north"}}},
	})
}

func wantRoute(t *testing.T, x *Index, host, path, want string) {
	t.Helper()
	got := ""
	if r := x.Route(host, path); r != nil {
		got = r.Name
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("route of %s%s (-want +got):\n%s", host, path, diff)
	}
}

func TestRoute(t *testing.T) {
	x := testIndex()
	wantRoute(t, x, "h", "/a/x", "short")
	wantRoute(t, x, "h", "/a/b/x", "long")
	wantRoute(t, x, "h", "/a/b", "short")
	wantRoute(t, x, "h", "/a", "")
	wantRoute(t, x, "i", "/a/b/x", "other")
	wantRoute(t, x, "unknown", "/a/", "")
}

func TestAccounts(t *testing.T) {
	x := testIndex()
	if a := x.Account("k2"); a == nil || a.Name != "acme" {
		t.Errorf("account of k2 is %+v, want acme", a)
	}
	if a := x.Account(""); a != nil {
		t.Errorf("account without a key is %+v, want none", a)
	}
	if x.NeedsKey(x.Route("h", "/open/")) {
		t.Error("an anonymous route needs a key, want not")
	}
	if !x.NeedsKey(x.Route("h", "/a/")) {
		t.Error("a route needs no key, want one")
	}
}

func TestAllowedRegions(t *testing.T) {
	x := testIndex()
	r, a := x.Route("h", "/a/x"), x.Account("k1")
	for region, want := range map[string]bool{"north": true, "south": false, "west": false} {
		if got := Allowed(r, a, region); got != want {
			t.Errorf("%s allowed for route and account: %v, want %v", region, got, want)
		}
	}
	if !Allowed(r, nil, "south") {
		t.Error("south is not allowed for the route alone, want it to be")
	}
}

func TestPriority(t *testing.T) {
	x := testIndex()
	r := &Route{Priority: 2}
	if got := Priority(r, x.Account("k1")); got != 0 {
		t.Errorf("priority %d with an account that has one, want 0", got)
	}
	if got := Priority(r, nil); got != 2 {
		t.Errorf("priority %d without an account, want 2", got)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b", 1: "b"} {
		if got := r.Pick(draw); got != want {
			t.Errorf("draw %v picks %s, want %s", draw, got, want)
		}
	}
}

func TestFirstEventWithin(t *testing.T) {
	r := Route{Kind: KindStream, Objective: 1800 * time.Millisecond, Pause: 250 * time.Millisecond}
	if got := r.FirstEventWithin(); got != 7200*time.Millisecond {
		t.Errorf("callers of the stream leave after %v, want 7.2s", got)
	}
	if got := (&Route{Kind: KindOnce, Objective: time.Second}).FirstEventWithin(); got != 0 {
		t.Errorf("callers of a plain request leave after %v, want no such bound", got)
	}
}
