package bbcoordinator

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbdecision"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
)

// setEngines lists engines with the given versions, by ID. The failure domain of an engine is named like its version.
func setEngines(c *Coordinator, versions map[string]string) {
	listed := c.env.Endpoints
	c.env.Endpoints = func(service string) []*bbregistry.Entry {
		if service != "engine" {
			return listed(service)
		}
		v := simulatedVersions{
			listed: versions,
		}
		entries := v.entries(bbregistry.Entry{
			Endpoint: bbregistry.Endpoint{
				Service: "engine",
			},
		})
		for _, e := range entries {
			e.Zone = e.Version
		}
		return entries
	}
}

// versionOrder returns an order without stages that needs a version.
func versionOrder(id, version string) bbjob.Order {
	o := directOrder(id)
	o.Version = version
	return o
}

// wantGrants checks which engines are granted, with their versions.
func wantGrants(t *testing.T, out bbdecision.Output, want ...string) {
	t.Helper()
	var got []string
	for _, g := range out.Grants {
		got = append(got, g.Endpoint+" "+g.Version)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("granted engines (-want +got):\n%s", diff)
	}
}

// wantRefusals checks the reasons of refusals.
func wantRefusals(t *testing.T, out bbdecision.Output, want ...string) {
	t.Helper()
	var got []string
	for _, r := range out.Refusals {
		got = append(got, r.Reason)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reasons of refusals (-want +got):\n%s", diff)
	}
}

// Guards against a stream that waits until its deadline because the only engine of its version is the one at which it
// broke off.
func TestOrderThatAvoidsTheOnlyEngineOfItsVersion(t *testing.T) {
	c := newTestCoordinator()
	engines := map[string]string{"e1": "v1", "e2": "v2"}
	setEngines(c, engines)
	o := versionOrder("a", "v1")
	wantGrants(t, c.Submit(0, o), "e1 v1")
	o.Avoid = []string{"e1"}
	wantRefusals(t, c.Submit(10*time.Millisecond, o), noVersion)
	if c.Len() != 0 {
		t.Errorf("%d requests are left, want none", c.Len())
	}
}

// Guards against streams that keep their callers waiting for an engine that doesn't come.
func TestOrderWhoseVersionNoEngineHas(t *testing.T) {
	newCoordinator := func() (*Coordinator, map[string]string) {
		c := newTestCoordinator()
		engines := map[string]string{"e1": "v1", "e2": "v2"}
		setEngines(c, engines)
		return c, engines
	}
	t.Run("at its arrival", func(t *testing.T) {
		c, _ := newCoordinator()
		wantRefusals(t, c.Submit(0, versionOrder("a", "v3")), noVersion)
		if c.Len() != 0 {
			t.Errorf("%d requests in progress, want none", c.Len())
		}
	})
	t.Run("in the allowed regions", func(t *testing.T) {
		c, _ := newCoordinator()
		c.env.Region = func(zone string) string { return "region of " + zone }
		o := versionOrder("a", "v1")
		o.Regions = []string{"region of v2"}
		wantRefusals(t, c.Submit(0, o), noVersion)
	})
	t.Run("when its engine broke", func(t *testing.T) {
		c, engines := newCoordinator()
		wantGrants(t, c.Submit(0, versionOrder("a", "v1")), "e1 v1")
		delete(engines, "e1")
		wantRefusals(t, c.Submit(time.Second, versionOrder("a", "v1")), noVersion)
	})
	t.Run("when its order is repeated while its stages run", func(t *testing.T) {
		c, _ := newCoordinator()
		wantRefusals(t, c.Submit(0, testOrder("a", 1)))
		o := testOrder("a", 1)
		o.Version = "v3"
		wantRefusals(t, c.Submit(10*ms, o), noVersion)
	})
	t.Run("while its stages run", func(t *testing.T) {
		c, engines := newCoordinator()
		o := testOrder("a", 1)
		o.Version = "v1"
		wantRefusals(t, c.Submit(0, o))
		engines["e1"] = "v2"
		wantRefusals(t, c.Tick(10*ms), noVersion)
	})
}

// Guards against streams that are refused, or go on at another version, because the engines of theirs can't take them
// at the moment.
func TestOrderWaitsForItsVersion(t *testing.T) {
	for name, mode := range map[string]bbfeature.Mode{"late requests are refused": bbfeature.ModeOff, "late requests wait": bbfeature.ModeOn} {
		t.Run(name, func(t *testing.T) {
			c := newTestCoordinator()
			c.env.Features.Waiting = mode
			setEngines(c, map[string]string{"e1": "v1", "e2": "v2"})
			t.Run("in backoff", func(t *testing.T) {
				c.table("engine").Ended(0, "e1", "before", bbhealth.OutcomeUnreachable)
				out := c.Submit(0, versionOrder("a", "v1"))
				wantRefusals(t, out)
				wantGrants(t, out)
				wantGrants(t, c.Submit(0, versionOrder("b", "")), "e2 v2")
				out = c.Tick(time.Second)
				wantRefusals(t, out)
				wantGrants(t, out, "e1 v1")
			})
			t.Run("without a free place", func(t *testing.T) {
				c.table("engine").Ended(time.Second, "e1", "a", bbhealth.OutcomeGood)
				o := versionOrder("c", "v1")
				o.Prompt.Tokens = 9e4
				wantGrants(t, c.Submit(time.Second, o), "e1 v1")
				o.ID = "d"
				out := c.Submit(time.Second, o)
				wantRefusals(t, out)
				wantGrants(t, out)
				wantGrants(t, c.Cancel(2*time.Second, "c"), "e1 v1")
			})
		})
	}
}

// Guards against a stream that has begun under an earlier order of the request, and goes on at any version.
func TestVersionOfALaterOrder(t *testing.T) {
	newCoordinator := func() *Coordinator {
		c := newTestCoordinator()
		setEngines(c, map[string]string{"e1": "v1", "e2": "v2"})
		return c
	}
	t.Run("after a grant", func(t *testing.T) {
		c := newCoordinator()
		wantGrants(t, c.Submit(0, versionOrder("a", "")), "e1 v1")
		wantGrants(t, c.Submit(100*ms, versionOrder("a", "v2")), "e2 v2")
		// The last order was sent before the stream began, and arrives late.
		wantGrants(t, c.Submit(200*ms, versionOrder("a", "")), "e2 v2")
	})
	t.Run("before a grant", func(t *testing.T) {
		c := newCoordinator()
		o := testOrder("a", 1)
		calls := toSecond(t, c, o)
		o.Version = "v2"
		wantGrants(t, c.Submit(300*ms, o))
		wantGrants(t, c.CallDone(420*ms, calls[0].ID, "east", bbhealth.OutcomeGood, good(calls[0])), "e2 v2")
	})
}

// Guards against estimates for other cells, and of later requests, that take all engines for those of one version.
func TestEstimatesOfOtherRequests(t *testing.T) {
	c := newTestCoordinator()
	setEngines(c, map[string]string{"e1": "v1", "e2": "v2"})
	c.table("engine").Ended(0, "e1", "before", bbhealth.OutcomeUnreachable)
	c.Submit(0, versionOrder("a", "v1"))
	if _, ok := c.LoadEstimate(0).Engines["engine"]; !ok {
		t.Error("no estimate for the engines while those of a version are in backoff, want one")
	}
	out := c.Tick(time.Second)
	wantGrants(t, out, "e1 v1")
	c.Progress(time.Second, bbjob.Note{
		ID:       "a",
		Endpoint: "e1",
		Started:  true,
	})
	if bias := c.learned.Of("route").Bias; bias != 0 {
		t.Errorf("bias of the route is %v after a stream that went on, want 0", bias)
	}
}
