package bbcatalogcheck

import (
	"fmt"
	"strings"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfinding"
	"bluebellhall/core/bbpool"
)

var stageChecks = []check{
	{
		code:     "stage-service",
		severity: bbfinding.SeverityError,
		route: stages(func(v *view, _ *bbcatalog.Route, n int, s bbcatalog.Stage, say say) {
			switch service := v.services[s.Service]; {
			case s.Service == "":
				say("stages", "stage %d has no service", n)
			case service == nil:
				say("stages", "the service %q of stage %d is not configured", s.Service, n)
			case service.Pool == nil:
				say("stages", "the service %q of stage %d has no capacity for stages", s.Service, n)
			}
		}),
	},
	{
		code:     "stage-order",
		severity: bbfinding.SeverityError,
		route: stages(func(_ *view, _ *bbcatalog.Route, n int, s bbcatalog.Stage, say say) {
			for _, k := range s.After {
				if k < 0 || k >= n {
					say("stages", "stage %d depends on stage %d, which is not an earlier one", n, k)
				}
			}
		}),
	},
	{
		code:     "stage-result",
		severity: bbfinding.SeverityError,
		route: stages(func(v *view, _ *bbcatalog.Route, n int, s bbcatalog.Stage, say say) {
			p := v.pool(s.Service)
			switch {
			case s.ResultBytes < 0 || !isFinite(s.ResultBytes):
				say("stages", "the result size of stage %d is %v, not at least 0", n, s.ResultBytes)
			case p != nil && p.ResultMemoryBytes > 0 && s.ResultBytes > usableMemory(p):
				say("stages", "a result of stage %d has %.0f bytes, but an endpoint of %q is filled with %.0f at most",
					n, s.ResultBytes, s.Service, usableMemory(p))
			}
		}),
	},
	{
		code:     "stage-batch",
		severity: bbfinding.SeverityWarning,
		route: stages(func(v *view, _ *bbcatalog.Route, n int, s bbcatalog.Stage, say say) {
			p := v.pool(s.Service)
			if p == nil || p.Batch < 2 || s.ResultBytes > usableMemory(p) {
				return
			}
			if need := float64(p.Batch) * s.ResultBytes; need > usableMemory(p) {
				say("stages", "the results of a call of %d pieces of stage %d have %.0f bytes, but an endpoint of %q is filled with %.0f at most",
					p.Batch, n, need, s.Service, usableMemory(p))
			}
		}),
	},
	{
		code:     "stage-lifetime",
		severity: bbfinding.SeverityWarning,
		route:    stages(checkLifetime),
	},
	{
		code:     "stages-above-timeout",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			r := &v.Catalog.Routes[i]
			if least := v.criticalPath(r); r.Timeout > 0 && least > r.Timeout {
				say("timeout", "the stages take at least %v one after the other, longer than the timeout of %v", least, r.Timeout)
			}
		},
	},
	{
		code:     "stages-above-objective",
		severity: bbfinding.SeverityWarning,
		route: func(v *view, i int, say say) {
			r := &v.Catalog.Routes[i]
			if least := v.criticalPath(r); r.Objective > 0 && least > r.Objective {
				say("objective", "the stages take at least %v one after the other, longer than the objective of %v",
					least, r.Objective)
			}
		},
	},
}

// stages returns a check of a route that runs another one for each stage.
func stages(check func(v *view, r *bbcatalog.Route, n int, s bbcatalog.Stage, say say)) func(*view, int, say) {
	return func(v *view, i int, say say) {
		r := &v.Catalog.Routes[i]
		for n, s := range r.Stages {
			check(v, r, n, s, say)
		}
	}
}

// checkLifetime tells of inputs that are gone before the shortest call that reads them ends.
func checkLifetime(v *view, r *bbcatalog.Route, n int, s bbcatalog.Stage, say say) {
	least := shortestCall(v.pool(s.Service))
	for _, k := range s.After {
		if k < 0 || k >= n {
			continue
		}
		if from := v.pool(r.Stages[k].Service); from != nil && from.ResultTTL < least {
			say("stages", "results of stage %d are kept for %v, shorter than the %v of a call of stage %d, which reads them",
				k, from.ResultTTL, least, n)
		}
	}
}

// pool returns the capacity for stages of a service, or nil.
func (v *view) pool(service string) *bbcatalog.Pool {
	if s := v.services[service]; s != nil {
		return s.Pool
	}
	return nil
}

// usableMemory returns the size of results to which VMs fill an endpoint, in bytes.
func usableMemory(p *bbcatalog.Pool) float64 {
	return bbpool.MemoryUtilization * p.ResultMemoryBytes
}

// shortestCall returns the time of a call of one piece; 0 if the service has no capacity for stages.
func shortestCall(p *bbcatalog.Pool) time.Duration {
	if p == nil {
		return 0
	}
	return max(0, p.CallTime) + max(0, p.PieceTime)
}

// criticalPath returns the least time that the stages of a route take together, when those that don't depend on each
// other run at once. Dependencies that are not earlier stages are left out.
func (v *view) criticalPath(r *bbcatalog.Route) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	var longest time.Duration
	for n, s := range r.Stages {
		for _, k := range s.After {
			if k >= 0 && k < n {
				ends[n] = max(ends[n], ends[k])
			}
		}
		ends[n] += shortestCall(v.pool(s.Service))
		longest = max(longest, ends[n])
	}
	return longest
}

// maxNames bounds the names in one message.
const maxNames = 3

// quoteSome returns the first names of a list, quoted, and the number of the others.
func quoteSome(names []string) string {
	var quoted []string
	for _, name := range names[:min(len(names), maxNames)] {
		quoted = append(quoted, fmt.Sprintf("%q", name))
	}
	text := strings.Join(quoted, ", ")
	if len(names) > maxNames {
		text += fmt.Sprintf(" and %d more", len(names)-maxNames)
	}
	return text
}
