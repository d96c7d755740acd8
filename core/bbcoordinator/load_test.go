package bbcoordinator

import (
	"testing"

	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

// Only a fourth figure of an endpoint that runs stages may turn on behaviour that earlier deployments don't have,
// and operators may keep it off.
func TestSharedMachines(t *testing.T) {
	slow := bbspeed.Report{Running: 1, Places: 1, Slowness: 2.5, Valid: true}
	known := bbstanding.Process{ID: "s1"}
	for name, x := range map[string]struct {
		mode    bbfeature.Mode
		process bbstanding.Process
		report  bbspeed.Report
		shared  bool
		slowest float64
	}{
		"auto":                   {bbfeature.ModeAuto, known, slow, true, 2.5},
		"off":                    {bbfeature.ModeOff, known, slow, true, 1},
		"no settings":            {"", known, slow, true, 1},
		"three figures":          {bbfeature.ModeOn, known, bbspeed.Report{Running: 1, Places: 1, Valid: true}, false, 1},
		"invalid":                {bbfeature.ModeOn, known, bbspeed.Report{Slowness: 2.5}, false, 1},
		"engine":                 {bbfeature.ModeOn, bbstanding.Process{ID: "e1"}, slow, false, 1},
		"process that has ended": {bbfeature.ModeOn, bbstanding.Process{ID: "s1", Born: 7}, slow, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestCoordinator()
			c.env.Features.EndpointSpeed = x.mode
			toSecond(t, c, testOrder("a", 1))
			now := 300 * ms
			c.ReportLoad(now, x.process, x.report)
			if got := c.SharedMachines(); got != x.shared {
				t.Errorf("machines are shared: %t, want %t", got, x.shared)
			}
			if got := c.Status(now).Slowness["second"].Max; got != x.slowest {
				t.Errorf("largest slowness %.2f, want %.2f", got, x.slowest)
			}
		})
	}
}
