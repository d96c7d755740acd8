// Package bbfindingtest has the configurations and assertions with which checks and comparisons of configurations are
// tested.
package bbfindingtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfinding"
)

// Catalog returns a configuration without findings: a plain route, a stream with two stages, an engine.
func Catalog() bbcatalog.Catalog {
	pool := func(name string) bbcatalog.Service {
		return bbcatalog.Service{Name: name, ColdRate: 5, Pool: &bbcatalog.Pool{
			Slots: 1, Queue: 2, Batch: 4, CallTime: 200 * time.Millisecond, PieceTime: 50 * time.Millisecond,
			ResultMemoryBytes: 1e6, ResultTTL: 4 * time.Second,
		}}
	}
	return bbcatalog.Catalog{
		Version: 7,
		Routes: []bbcatalog.Route{
			{
				Name: "plain", Host: "h", Prefix: "/p/", Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2,
				Shares: []bbcatalog.Share{{Service: "web", Weight: 9}, {Service: "web-2", Weight: 1}},
			},
			{
				Name: "chat", Host: "h", Prefix: "/c/", Kind: bbcatalog.KindStream, Timeout: 6 * time.Second,
				Objective: 2 * time.Second, Pause: 100 * time.Millisecond, MaxAttempts: 2, Resumable: true, Engine: true,
				Shares:  []bbcatalog.Share{{Service: "engine", Weight: 1}},
				Stages:  []bbcatalog.Stage{{Service: "embed", ResultBytes: 1000}, {Service: "rank", After: []int{0}, ResultBytes: 10}},
				Regions: []string{"north", "south"},
			},
		},
		Services: []bbcatalog.Service{
			{Name: "web", ColdRate: 5, HealthPath: "/health"}, {Name: "web-2", ColdRate: 5},
			{Name: "engine", ColdRate: 5, Engine: &bbcatalog.Engine{Slots: 10, Tokens: 10000}},
			pool("embed"), pool("rank"),
		},
		Accounts: []bbcatalog.Account{
			{Name: "acme", Keys: []string{"k1", "k2"}, Regions: []string{"north"}}, {Name: "bolt", Keys: []string{"k3"}},
		},
		Limits: bbcatalog.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTime: time.Second, IdleTime: 5 * time.Second},
	}
}

// lines returns findings without their texts.
func lines(findings []bbfinding.Finding) []string {
	var all []string
	for _, f := range findings {
		line := fmt.Sprintf("%s %s %s", f.Severity, f.Code, f.Place)
		if f.InForce {
			line += " in force"
		}
		all = append(all, line)
	}
	return all
}

// WantLines compares findings without their texts, each in the form error code place.
func WantLines(t *testing.T, got []bbfinding.Finding, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, lines(got)); diff != "" {
		t.Errorf("findings (-want +got):\n%s\nall: %+v", diff, got)
	}
}

// SeedFigures adds usual and extreme figures of FiguresCatalog.
func SeedFigures(f *testing.F) {
	f.Add("a", "b", 0, 1.5, int64(1000))
	f.Add("", "\x00", -1, -1e300, int64(-1<<63))
	f.Add("s", "s", 1<<62, 1e308, int64(1<<63-1))
}

// FiguresCatalog returns a configuration that has the same figures in all of its fields; span is a duration in
// nanoseconds.
func FiguresCatalog(a, b string, n int, x float64, span int64) bbcatalog.Catalog {
	d := time.Duration(span)
	return bbcatalog.Catalog{
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
}
