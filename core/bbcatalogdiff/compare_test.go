package bbcatalogdiff

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfinding"
	"bluebellhall/core/bbfindingtest"
)

// newerCatalog returns the tests' configuration as its next version.
func newerCatalog() bbcatalog.Catalog {
	c := bbfindingtest.Catalog()
	c.Version++
	return c
}

// Each difference gives its own findings and no others.
func TestCompare(t *testing.T) {
	bbfindingtest.WantLines(t, Compare(bbfindingtest.Catalog(), newerCatalog()))
	cases := []struct {
		name   string
		change func(c *bbcatalog.Catalog)
		want   []string
	}{
		{"same version", func(c *bbcatalog.Catalog) { c.Version-- }, []string{"error version-not-higher configuration"}},
		{"route removed", func(c *bbcatalog.Catalog) { c.Routes = c.Routes[1:] }, []string{`warning route-removed routes[0] "plain" in force`}},
		{"route added", func(c *bbcatalog.Catalog) { c.Routes = append(c.Routes, bbcatalog.Route{Name: "new", Prefix: "/n/"}) }, []string{`note route-added routes[2] "new"`}},
		{"route renamed", func(c *bbcatalog.Catalog) { c.Routes[0].Name = "new" }, []string{`note route-added routes[0] "new"`, `note route-renamed routes[0] "plain" in force`}},
		{"routes in another order", func(c *bbcatalog.Catalog) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }, nil},
		{"prefix", func(c *bbcatalog.Catalog) { c.Routes[0].Prefix = "/q/" }, []string{`warning route-address routes[0] "plain"`}},
		{"moved", func(c *bbcatalog.Catalog) { c.Routes[1].Shares[0].Service = "web" }, []string{`note route-moved routes[1] "chat"`}},
		{"service removed", func(c *bbcatalog.Catalog) { c.Services = c.Services[:4] }, []string{`note service-removed services[4] "rank" in force`}},
		{"service added", func(c *bbcatalog.Catalog) { c.Services = append(c.Services, bbcatalog.Service{Name: "new"}) }, []string{`note service-added services[5] "new"`}},
		{"batch", func(c *bbcatalog.Catalog) { c.Services[3].Pool.Batch = 8 }, []string{`note service-changed services[3] "embed"`}},
		{"account removed", func(c *bbcatalog.Catalog) { c.Accounts = c.Accounts[:1] }, []string{`note account-removed accounts[1] "bolt" in force`, `warning keys-removed accounts[1] "bolt" in force`}},
		{"account added", func(c *bbcatalog.Catalog) {
			c.Accounts = append(c.Accounts, bbcatalog.Account{Name: "new", Keys: []string{"k4"}})
		}, []string{`note account-added accounts[2] "new"`, `note keys-added accounts[2] "new"`}},
		{"account changed", func(c *bbcatalog.Catalog) { c.Accounts[0].Regions = nil }, []string{`note account-changed accounts[0] "acme"`}},
		{"key moved", func(c *bbcatalog.Catalog) {
			c.Accounts[0].Keys, c.Accounts[1].Keys = []string{"k1"}, []string{"k2", "k3"}
		}, []string{`warning keys-moved accounts[1] "bolt"`}},
		{"no accounts", func(c *bbcatalog.Catalog) { c.Accounts = nil }, []string{"warning keys-not-needed configuration", `note account-removed accounts[0] "acme" in force`, `note account-removed accounts[1] "bolt" in force`}},
		{"limits", func(c *bbcatalog.Catalog) { c.Limits.BodyBytes = 9 }, []string{"note limits-changed limits"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newerCatalog()
			tc.change(&c)
			bbfindingtest.WantLines(t, Compare(bbfindingtest.Catalog(), c), tc.want...)
		})
	}
	t.Run("key needed", func(t *testing.T) {
		before := bbfindingtest.Catalog()
		before.Routes[0].Anonymous = true
		bbfindingtest.WantLines(t, Compare(before, newerCatalog()), `warning route-needs-key routes[0] "plain"`, `note route-changed routes[0] "plain"`)
	})
}

// A change names the field with the old and the new value, and never a key.
func TestCompareTexts(t *testing.T) {
	c := newerCatalog()
	priority := 1
	c.Routes[0].Objective = 1500 * time.Millisecond
	c.Routes[0].Shares[0].Weight = 3
	c.Services[3].Pool.Batch = 8
	c.Services[3].Pool.ResultMemoryBytes = 18e6
	c.Accounts[0].Regions = nil
	c.Services[2].Engine = nil
	c.Accounts[0].Priority, c.Accounts[0].Keys = &priority, []string{"secret"}
	var got []string
	for _, f := range Compare(bbfindingtest.Catalog(), c) {
		got = append(got, f.Text)
	}
	want := []string{
		"objective: 1s -> 1.5s",
		`shares: "web" 9, "web-2" 1 -> "web" 3, "web-2" 1`,
		"engine: 10 slots, 10000 tokens -> none",
		"pool.batch: 4 -> 8",
		"pool.resultMemoryBytes: 1000000 -> 18000000",
		"priority: none -> 1",
		`regions: "north" -> all`,
		"keys are new (1)",
		"keys are removed (2), and clients that use them are answered with 401",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("texts (-want +got):\n%s", diff)
	}
}

// Comparisons must not panic, and their findings must be the same each time, whatever figures a configuration has.
func FuzzCompare(f *testing.F) {
	bbfindingtest.SeedFigures(f)
	f.Fuzz(func(t *testing.T, a, b string, n int, x float64, span int64) {
		c := bbfindingtest.FiguresCatalog(a, b, n, x, span)
		first := Compare(bbfindingtest.Catalog(), c)
		if diff := cmp.Diff(first, Compare(bbfindingtest.Catalog(), c)); diff != "" {
			t.Errorf("findings differ between two comparisons:\n%s", diff)
		}
		if len(first) > 2*(bbfinding.MaxFindings+1) {
			t.Errorf("%d findings", len(first))
		}
		if same := Compare(c, c); len(same) != 1 {
			t.Errorf("a configuration differs from itself: %s", fmt.Sprint(same))
		}
	})
}
