package bbcoordinator

import (
	"time"

	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

// ReportLoad records the load that the process of an endpoint stated in an answer. Processes of other services than
// those of the pools, and those that have ended, are ignored.
func (c *Coordinator) ReportLoad(now time.Duration, process bbstanding.Process, r bbspeed.Report) {
	if !r.SharesMachine() {
		return
	}
	for _, p := range c.pools {
		if !p.HasProcess(process) {
			continue
		}
		c.sharedMachines = true
		if c.env.Features.EndpointSpeed.Enabled(c.sharedMachines) {
			p.ReportLoad(now, process, r)
		}
	}
}

// SharedMachines reports whether an endpoint of the pools has ever stated the speed of its machine.
func (c *Coordinator) SharedMachines() bool {
	return c.sharedMachines
}
