package bbmeter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func render(t *testing.T, m *Meter) string {
	t.Helper()
	var b strings.Builder
	if _, err := m.WriteTo(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestMetricsAsText(t *testing.T) {
	m := NewMeter()
	m.Count("requests", "refused", "late")
	m.Count("requests", "refused", "late")
	m.Time(40*time.Millisecond, "firstMs")
	m.Gauge("members", func() float64 { return 7 })
	want := "firstMs.count 1\nfirstMs.p50 40\nfirstMs.p90 40\nfirstMs.p99 40\nmembers 7\nrequests.refused.late 2\n"
	if diff := cmp.Diff(want, render(t, m)); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
}

// A service that is no longer collected is no longer shown.
func TestCollectedValuesFollowTheirSource(t *testing.T) {
	m := NewMeter()
	services := []string{"a", "b"}
	m.Collect(func(show func(value float64, parts ...string)) {
		for i, s := range services {
			show(float64(i), "waiting", s)
		}
	})
	if diff := cmp.Diff("waiting.a 0\nwaiting.b 1\n", render(t, m)); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
	services = services[:1]
	if diff := cmp.Diff("waiting.a 0\n", render(t, m)); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
}

func TestNamesAreBounded(t *testing.T) {
	m := NewMeter()
	for i := range 3 * maxNames {
		m.Count("requests", fmt.Sprint(i))
	}
	text := render(t, m)
	if got := strings.Count(text, "\n"); got != maxNames+1 {
		t.Errorf("%d metrics, want %d and one for the rest", got, maxNames+1)
	}
	if !strings.Contains(text, fmt.Sprintf("overflow.requests %d\n", 2*maxNames)) {
		t.Error("the metrics beyond the bound are not counted under one name")
	}
}
