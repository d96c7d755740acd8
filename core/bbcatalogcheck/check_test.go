package bbcatalogcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfinding"
	"bluebellhall/core/bbfindingtest"
)

// Each fault gives its own findings and no others.
func TestCheck(t *testing.T) {
	bbfindingtest.WantLines(t, Check(bbfindingtest.Catalog()))
	seven := -7
	plain, chat, web, engine, embed := `routes[0] "plain"`, `routes[1] "chat"`, `services[0] "web"`, `services[2] "engine"`, `services[3] "embed"`
	cases := []struct {
		name  string
		fault func(c *bbcatalog.Catalog)
		want  []string
	}{
		{"no version", func(c *bbcatalog.Catalog) { c.Version = 0 }, []string{"error version-zero configuration"}},
		{"nothing", func(c *bbcatalog.Catalog) { c.Routes, c.Services, c.Accounts = nil, nil, nil }, []string{"warning no-routes configuration"}},
		{"no name", func(c *bbcatalog.Catalog) { c.Routes[0].Name = "" }, []string{"error route-name routes[0]"}},
		{"same route", func(c *bbcatalog.Catalog) { c.Routes[1].Name = "plain" }, []string{`error route-name routes[1] "plain"`}},
		{"same service", func(c *bbcatalog.Catalog) { c.Services = append(c.Services, c.Services[0]) }, []string{`error service-name services[5] "web"`}},
		{"same account", func(c *bbcatalog.Catalog) { c.Accounts[1].Name = "acme" }, []string{`error account-name accounts[1] "acme"`}},
		{"host with a port", func(c *bbcatalog.Catalog) { c.Routes[0].Host = "h:80" }, []string{"error route-host " + plain}},
		{"prefix", func(c *bbcatalog.Catalog) { c.Routes[0].Prefix = "/p" }, []string{"error route-prefix " + plain}},
		{"kind", func(c *bbcatalog.Catalog) { c.Routes[0].Kind = 9 }, []string{"error route-kind " + plain}},
		{"timeout", func(c *bbcatalog.Catalog) { c.Routes[0].Timeout = 0 }, []string{"error route-timeout " + plain}},
		{"objective", func(c *bbcatalog.Catalog) { c.Routes[0].Objective = -1 }, []string{"error route-objective " + plain}},
		{"attempts", func(c *bbcatalog.Catalog) { c.Routes[0].MaxAttempts = 0 }, []string{"error route-attempts " + plain}},
		{"route priority", func(c *bbcatalog.Catalog) { c.Routes[0].Priority = -1 }, []string{"error route-priority " + plain}},
		{"no service", func(c *bbcatalog.Catalog) { c.Routes[1].Shares = nil }, []string{"error route-service " + chat, "warning service-unused " + engine}},
		{"unknown service", func(c *bbcatalog.Catalog) { c.Routes[0].Shares[1].Service = "x" }, []string{"error route-service " + plain, `warning service-unused services[1] "web-2"`}},
		{"negative weight", func(c *bbcatalog.Catalog) { c.Routes[0].Shares[1].Weight = -1 }, []string{"error route-weights " + plain}},
		{"no weight", func(c *bbcatalog.Catalog) { c.Routes[1].Shares[0].Weight = 0 }, []string{"error route-weights " + chat, "warning share-zero " + chat}},
		{"weight 0", func(c *bbcatalog.Catalog) { c.Routes[0].Shares[1].Weight = 0 }, []string{"warning share-zero " + plain}},
		{"same address", func(c *bbcatalog.Catalog) { c.Routes[1].Prefix = "/p/" }, []string{"warning route-shadowed " + chat}},
		{"longer prefix", func(c *bbcatalog.Catalog) { c.Routes[1].Prefix = "/p/c/" }, nil},
		{"same share", func(c *bbcatalog.Catalog) { c.Routes[0].Shares = append(c.Routes[0].Shares, c.Routes[0].Shares[0]) }, []string{"warning share-repeated " + plain}},
		{"regions", func(c *bbcatalog.Catalog) { c.Accounts[0].Regions = []string{"west"} }, []string{"warning regions-exclusive " + chat}},
		{"objective above timeout", func(c *bbcatalog.Catalog) { c.Routes[0].Objective = 3 * time.Second }, []string{"warning objective-above-timeout " + plain}},
		{"attempts of one run", func(c *bbcatalog.Catalog) { c.Routes[0].Kind = bbcatalog.KindOnce }, []string{"warning attempts-unused " + plain}},
		{"resumable answer", func(c *bbcatalog.Catalog) { c.Routes[0].Resumable = true }, []string{"warning resumable-unused " + plain}},
		{"resumable once", func(c *bbcatalog.Catalog) { c.Routes[1].MaxAttempts = 1 }, []string{"note resumable-one-attempt " + chat}},
		{"pause", func(c *bbcatalog.Catalog) { c.Routes[0].Pause = 1 }, []string{"note pause-unused " + plain}},
		{"engine route", func(c *bbcatalog.Catalog) { c.Services[2].Engine = nil }, []string{"warning route-engine " + chat}},
		{"stage service", func(c *bbcatalog.Catalog) { c.Routes[1].Stages[1].Service = "web" }, []string{"error stage-service " + chat, `warning service-unused services[4] "rank"`}},
		{"stage of itself", func(c *bbcatalog.Catalog) { c.Routes[1].Stages[0].After = []int{0} }, []string{"error stage-order " + chat}},
		{"large result", func(c *bbcatalog.Catalog) { c.Routes[1].Stages[0].ResultBytes = 2e6 }, []string{"error stage-result " + chat}},
		// VMs fill memory to 96.5%: a larger result would wait for ever.
		{"result as large as the memory", func(c *bbcatalog.Catalog) { c.Routes[1].Stages[0].ResultBytes = 1e6 }, []string{"error stage-result " + chat}},
		{"large results", func(c *bbcatalog.Catalog) { c.Routes[1].Stages[0].ResultBytes = 3e5 }, []string{"warning stage-batch " + chat}},
		{"inputs gone", func(c *bbcatalog.Catalog) { c.Services[3].Pool.ResultTTL = 240 * time.Millisecond }, []string{"warning stage-lifetime " + chat, "warning pool-lifetime " + embed}},
		{"path above objective", func(c *bbcatalog.Catalog) { c.Services[3].Pool.CallTime = 1701 * time.Millisecond }, []string{"warning stages-above-objective " + chat}},
		{"path at objective", func(c *bbcatalog.Catalog) { c.Services[3].Pool.CallTime = 1700 * time.Millisecond }, nil},
		{"stages side by side", func(c *bbcatalog.Catalog) {
			c.Services[3].Pool.CallTime, c.Routes[1].Stages[1].After = 1900*time.Millisecond, nil
		}, nil},
		{"path above timeout", func(c *bbcatalog.Catalog) {
			c.Routes[1].Timeout, c.Routes[1].Objective = 490*time.Millisecond, 490*time.Millisecond
		}, []string{"error stages-above-timeout " + chat, "warning stages-above-objective " + chat}},
		{"connections", func(c *bbcatalog.Catalog) { c.Services[0].MaxConnections = -1 }, []string{"error service-connections " + web}},
		{"negative cold rate", func(c *bbcatalog.Catalog) { c.Services[0].ColdRate = -1 }, []string{"error cold-rate " + web}},
		{"cold rate 0", func(c *bbcatalog.Catalog) { c.Services[0].ColdRate = 0 }, []string{"note cold-unlimited " + web}},
		{"engine", func(c *bbcatalog.Catalog) { c.Services[2].Engine = &bbcatalog.Engine{} }, []string{"error engine-capacity " + engine, "error engine-capacity " + engine}},
		{"pool", func(c *bbcatalog.Catalog) { c.Services[3].Pool.Slots, c.Services[3].Pool.Queue = 0, -1 }, []string{"error pool-capacity " + embed, "error pool-capacity " + embed}},
		{"call time", func(c *bbcatalog.Catalog) { c.Services[3].Pool.CallTime = 0 }, []string{"error pool-times " + embed}},
		{"memory", func(c *bbcatalog.Catalog) { c.Services[4].Pool.ResultMemoryBytes = -1 }, []string{`error pool-memory services[4] "rank"`}},
		{"lifetime", func(c *bbcatalog.Catalog) { c.Services[3].Pool.ResultTTL = 390 * time.Millisecond }, []string{"warning pool-lifetime " + embed}},
		{"health path", func(c *bbcatalog.Catalog) { c.Services[0].HealthPath = "health" }, []string{"warning service-health-path " + web}},
		{"key of two", func(c *bbcatalog.Catalog) { c.Accounts[1].Keys = []string{"k2"} }, []string{`error account-key accounts[1] "bolt"`}},
		{"empty key", func(c *bbcatalog.Catalog) { c.Accounts[1].Keys = []string{""} }, []string{`error account-key accounts[1] "bolt"`}},
		{"key twice", func(c *bbcatalog.Catalog) { c.Accounts[1].Keys = []string{"k3", "k3"} }, []string{`warning account-key-repeated accounts[1] "bolt"`}},
		{"no keys", func(c *bbcatalog.Catalog) { c.Accounts[1].Keys = nil }, []string{`warning account-no-keys accounts[1] "bolt"`}},
		{"account priority", func(c *bbcatalog.Catalog) { c.Accounts[1].Priority = &seven }, []string{`error account-priority accounts[1] "bolt"`}},
		{"negative limit", func(c *bbcatalog.Catalog) { c.Limits.BodyBytes = -1 }, []string{"error limit-negative limits"}},
		{"no limits", func(c *bbcatalog.Catalog) { c.Limits.BodyBytes, c.Limits.IdleTime = 0, 0 }, []string{"warning limit-none limits", "note limit-no-time limits"}},
		{"small limits", func(c *bbcatalog.Catalog) { c.Limits.HeaderBytes, c.Limits.BodyBytes = 1999, 3999 }, []string{"warning limit-prompt limits", "warning limit-prompt limits"}},
		{"idle time", func(c *bbcatalog.Catalog) { c.Limits.IdleTime = 900 * time.Millisecond }, []string{"warning idle-below-header limits"}},
	}
	seen := make(map[string]bool)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := bbfindingtest.Catalog()
			tc.fault(&c)
			got := Check(c)
			bbfindingtest.WantLines(t, got, tc.want...)
			for _, f := range got {
				seen[f.Code] = true
			}
		})
	}
	for _, k := range checks {
		if !seen[k.code] {
			t.Errorf("no case has a finding of the check %s", k.code)
		}
	}
}

// A configuration with very many faults doesn't fill the operator's terminal.
func TestFindingsAreBounded(t *testing.T) {
	got := Check(bbcatalog.Catalog{Version: 1, Routes: make([]bbcatalog.Route, 5000)})
	if len(got) != bbfinding.MaxFindings+1 {
		t.Fatalf("%d findings, want %d", len(got), bbfinding.MaxFindings+1)
	}
	if last := got[bbfinding.MaxFindings]; last.Code != bbfinding.CodeMore || last.Severity != bbfinding.SeverityError || !strings.Contains(last.Text, "more findings") {
		t.Errorf("the last finding is %+v, want the number of the others", last)
	}
}

// Checks must not panic, and their findings must be the same each time, whatever figures a configuration has.
func FuzzCheck(f *testing.F) {
	bbfindingtest.SeedFigures(f)
	f.Fuzz(func(t *testing.T, a, b string, n int, x float64, span int64) {
		c := bbfindingtest.FiguresCatalog(a, b, n, x, span)
		first := Check(c)
		if diff := cmp.Diff(first, Check(c)); diff != "" {
			t.Errorf("findings differ between two checks:\n%s", diff)
		}
		if len(first) > bbfinding.MaxFindings+1 {
			t.Errorf("%d findings", len(first))
		}
	})
}
