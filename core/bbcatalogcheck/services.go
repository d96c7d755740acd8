package bbcatalogcheck

import (
	"strings"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfinding"
)

var serviceChecks = []check{
	{
		code:     "service-name",
		severity: bbfinding.SeverityError,
		service: func(v *view, i int, say say) {
			sayName(v.FirstService, i, v.Catalog.Services[i].Name, say)
		},
	},
	{
		code:     "service-connections",
		severity: bbfinding.SeverityError,
		service: func(v *view, i int, say say) {
			if s := v.Catalog.Services[i]; s.MaxConnections < 0 {
				say("maxConnections", "%d connections are allowed, not at least 0", s.MaxConnections)
			}
		},
	},
	{
		code:     "cold-rate",
		severity: bbfinding.SeverityError,
		service: func(v *view, i int, say say) {
			if s := v.Catalog.Services[i]; s.ColdRate < 0 || !isFinite(s.ColdRate) {
				say("coldRate", "the cold rate is %v, not at least 0", s.ColdRate)
			}
		},
	},
	{
		code:     "engine-capacity",
		severity: bbfinding.SeverityError,
		service: func(v *view, i int, say say) {
			e := v.Catalog.Services[i].Engine
			if e == nil {
				return
			}
			if e.Slots <= 0 {
				say("engine.slots", "an endpoint has %d slots for requests, not above 0", e.Slots)
			}
			if !(e.Tokens > 0) || !isFinite(e.Tokens) {
				say("engine.tokens", "an endpoint has memory for %v tokens, not above 0", e.Tokens)
			}
		},
	},
	{
		code:     "pool-capacity",
		severity: bbfinding.SeverityError,
		service: pools(func(p *bbcatalog.Pool, say say) {
			if p.Slots <= 0 {
				say("pool.slots", "an endpoint has %d slots for calls, not above 0", p.Slots)
			}
			if p.Queue < 0 {
				say("pool.queue", "an endpoint queues %d calls, not at least 0", p.Queue)
			}
			if p.Batch < 1 {
				say("pool.batch", "a call has at most %d pieces, not at least 1", p.Batch)
			}
		}),
	},
	{
		code:     "pool-times",
		severity: bbfinding.SeverityError,
		service: pools(func(p *bbcatalog.Pool, say say) {
			if p.CallTime <= 0 {
				say("pool.callTime", "the time of a call is %v, not above 0", p.CallTime)
			}
			if p.PieceTime < 0 {
				say("pool.pieceTime", "the time of a piece is %v, not at least 0", p.PieceTime)
			}
			if p.ResultTTL <= 0 {
				say("pool.resultTTL", "results are kept for %v, not above 0", p.ResultTTL)
			}
		}),
	},
	{
		code:     "pool-memory",
		severity: bbfinding.SeverityError,
		service: pools(func(p *bbcatalog.Pool, say say) {
			if !(p.ResultMemoryBytes > 0) || !isFinite(p.ResultMemoryBytes) {
				say("pool.resultMemoryBytes", "an endpoint has memory for %v bytes of results, not above 0", p.ResultMemoryBytes)
			}
		}),
	},
	{
		code:     "pool-lifetime",
		severity: bbfinding.SeverityWarning,
		service: pools(func(p *bbcatalog.Pool, say say) {
			longest := longestCall(p)
			if p.ResultTTL > 0 && p.ResultTTL < longest {
				say("pool.resultTTL", "results are kept for %v, shorter than the %v of a call of %d pieces", p.ResultTTL, longest, p.Batch)
			}
		}),
	},
	{
		code:     "service-unused",
		severity: bbfinding.SeverityWarning,
		service: func(v *view, i int, say say) {
			if s := v.Catalog.Services[i]; s.Name != "" && !v.used[s.Name] {
				say("", "no route uses the service")
			}
		},
	},
	{
		code:     "service-health-path",
		severity: bbfinding.SeverityWarning,
		service: func(v *view, i int, say say) {
			if s := v.Catalog.Services[i]; s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
				say("healthPath", "the path of the health check is %q, which doesn't begin with a slash", s.HealthPath)
			}
		},
	},
	{
		code:     "cold-unlimited",
		severity: bbfinding.SeverityNote,
		service: func(v *view, i int, say say) {
			// Whether endpoints have a cold time is in their own entries, not in the configuration.
			if s := v.Catalog.Services[i]; s.ColdRate == 0 {
				say("coldRate", "the cold rate is 0, so endpoints that report a cold time take requests without a limit meanwhile")
			}
		},
	},
}

// pools returns a check of a service's capacity for stages.
func pools(check func(p *bbcatalog.Pool, say say)) func(*view, int, say) {
	return func(v *view, i int, say say) {
		if p := v.Catalog.Services[i].Pool; p != nil {
			check(p, say)
		}
	}
}

// longestCall returns the time of a call with all pieces, up to maxCall.
func longestCall(p *bbcatalog.Pool) time.Duration {
	seconds := p.CallTime.Seconds() + float64(p.Batch)*p.PieceTime.Seconds()
	return time.Duration(min(seconds, maxCall.Seconds()) * float64(time.Second)).Round(time.Microsecond)
}

// maxCall bounds the time of a call, so that a large batch doesn't overflow time.Duration.
const maxCall = 10000 * time.Hour
