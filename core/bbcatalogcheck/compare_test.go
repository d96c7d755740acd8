package bbcatalogcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
)

// newerCatalog returns testCatalog as its next version.
func newerCatalog() bbcatalog.Catalog {
	c := testCatalog()
	c.Version++
	return c
}

// Each difference gives its own findings and no others.
func TestCompare(t *testing.T) {
	wantLines(t, Compare(testCatalog(), newerCatalog()))
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
			wantLines(t, Compare(testCatalog(), c), tc.want...)
		})
	}
	t.Run("key needed", func(t *testing.T) {
		before := testCatalog()
		before.Routes[0].Anonymous = true
		wantLines(t, Compare(before, newerCatalog()), `warning route-needs-key routes[0] "plain"`, `note route-changed routes[0] "plain"`)
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
	for _, f := range Compare(testCatalog(), c) {
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

// A configuration with very many faults doesn't fill the operator's terminal.
func TestFindingsAreBounded(t *testing.T) {
	got := Check(bbcatalog.Catalog{Version: 1, Routes: make([]bbcatalog.Route, 5000)})
	if len(got) != MaxFindings+1 {
		t.Fatalf("%d findings, want %d", len(got), MaxFindings+1)
	}
	if last := got[MaxFindings]; last.Code != CodeMore || last.Severity != SeverityError || !strings.Contains(last.Text, "more findings") {
		t.Errorf("the last finding is %+v, want the number of the others", last)
	}
}

// Checks must not panic, and their findings must be the same each time, whatever figures a configuration has.
func FuzzCheck(f *testing.F) {
	f.Add("a", "b", 0, 1.5, int64(1000))
	f.Add("", "\x00", -1, -1e300, int64(-1<<63))
	f.Add("s", "s", 1<<62, 1e308, int64(1<<63-1))
	f.Fuzz(func(t *testing.T, a, b string, n int, x float64, span int64) {
		d := time.Duration(span)
		c := bbcatalog.Catalog{
			Routes: []bbcatalog.Route{
				{
					Name: a, Host: b, Prefix: a, Kind: bbcatalog.Kind(n), Timeout: d, Objective: -d, MaxAttempts: n,
					Shares:  []bbcatalog.Share{{Service: a, Weight: x}, {Service: b, Weight: -x}},
					Stages:  []bbcatalog.Stage{{Service: a, After: []int{n}, ResultBytes: x}, {Service: b, After: []int{0, n}}},
					Regions: []string{a},
				},
				{Name: b, Host: b, Prefix: a},
			},
			Services: []bbcatalog.Service{{
				Name: a, ColdRate: x, Engine: &bbcatalog.Engine{Slots: n, Tokens: x},
				Pool: &bbcatalog.Pool{Slots: n, Batch: n, CallTime: d, PieceTime: d, ResultMemoryBytes: x, ResultTTL: d},
			}},
			Accounts: []bbcatalog.Account{{Name: a, Keys: []string{a, b}, Regions: []string{b}}, {Name: b, Keys: []string{a}}},
			Limits:   bbcatalog.Limits{HeaderBytes: n, BodyBytes: span, HeaderTime: d, IdleTime: -d},
		}
		first := append(Check(c), Compare(testCatalog(), c)...)
		if diff := cmp.Diff(first, append(Check(c), Compare(testCatalog(), c)...)); diff != "" {
			t.Errorf("findings differ between two checks:\n%s", diff)
		}
		if len(first) > 3*(MaxFindings+1) {
			t.Errorf("%d findings", len(first))
		}
		if same := Compare(c, c); len(same) != 1 {
			t.Errorf("a configuration differs from itself: %s", fmt.Sprint(same))
		}
	})
}
