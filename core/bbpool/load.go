package bbpool

import (
	"time"

	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

// HasProcess reports whether a process is that of an endpoint of this pool.
func (p *Pool) HasProcess(process bbstanding.Process) bool {
	w := p.workers[process.ID]
	return w != nil && w.born == process.Born
}

// ReportLoad records what the process of an endpoint reported of its load. It has no effect if the process has
// ended.
func (p *Pool) ReportLoad(now time.Duration, process bbstanding.Process, r bbspeed.Report) {
	if p.HasProcess(process) {
		p.workers[process.ID].speed.Report(now, r)
	}
}

// Slowness returns the estimated slowness of the endpoints that may get calls.
func (p *Pool) Slowness(now time.Duration) bbspeed.Summary {
	var s bbspeed.Summary
	for _, e := range p.endpoints {
		s.Add(p.workers[e.ID].currentSlowness(now))
	}
	return s
}

// setProcess sets the start of the endpoint's process. The reports of the process before it are discarded.
func (w *worker) setProcess(born int64) {
	if w.born != born {
		w.born = born
		w.speed.DropReport()
	}
}
