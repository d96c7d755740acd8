package bbcatalogcheck

import (
	"slices"
	"strings"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfinding"
)

var routeChecks = []check{
	{
		code:     "route-name",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			sayName(v.FirstRoute, i, v.Catalog.Routes[i].Name, say)
		},
	},
	{
		code:     "route-host",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			// Requests are matched by their host without its port. Only IPv6 addresses, in brackets, have colons.
			host := v.Catalog.Routes[i].Host
			if host == "" || strings.ContainsAny(host, "/ ") || strings.Contains(host, ":") && !strings.HasSuffix(host, "]") {
				say("host", "the host %q is not a host name without a port", host)
			}
		},
	},
	{
		code:     "route-prefix",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			if p := v.Catalog.Routes[i].Prefix; !strings.HasPrefix(p, "/") || !strings.HasSuffix(p, "/") {
				say("prefix", "the prefix %q doesn't begin and end with a slash", p)
			}
		},
	},
	{
		code:     "route-kind",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			switch k := v.Catalog.Routes[i].Kind; k {
			case bbcatalog.KindIdempotent, bbcatalog.KindOnce, bbcatalog.KindStream:
			default:
				say("kind", "the kind %d is unknown", int(k))
			}
		},
	},
	{
		code:     "route-timeout",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			if r := v.Catalog.Routes[i]; r.Timeout <= 0 {
				say("timeout", "the timeout is %v, not above 0", r.Timeout)
			}
		},
	},
	{
		code:     "route-objective",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			if r := v.Catalog.Routes[i]; r.Objective <= 0 {
				say("objective", "the objective is %v, not above 0", r.Objective)
			}
		},
	},
	{
		code:     "route-attempts",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			if r := v.Catalog.Routes[i]; r.MaxAttempts < 1 {
				say("maxAttempts", "%d attempts are allowed, not at least 1", r.MaxAttempts)
			}
		},
	},
	{
		code:     "route-priority",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			if r := v.Catalog.Routes[i]; r.Priority < 0 {
				say("priority", "the priority class is %d, but 0 is the most urgent", r.Priority)
			}
		},
	},
	{
		code:     "route-service",
		severity: bbfinding.SeverityError,
		route: func(v *view, i int, say say) {
			r := v.Catalog.Routes[i]
			if len(r.Shares) == 0 {
				say("shares", "the route has no service")
			}
			for _, s := range r.Shares {
				switch {
				case s.Service == "":
					say("shares", "the route has no service")
				case v.services[s.Service] == nil:
					say("shares", "the service %q is not configured", s.Service)
				}
			}
		},
	},
	{
		code:     "route-weights",
		severity: bbfinding.SeverityError,
		route:    checkWeights,
	},
	{
		code:     "route-shadowed",
		severity: bbfinding.SeverityWarning,
		route: func(v *view, i int, say say) {
			r := v.Catalog.Routes[i]
			if k := v.FirstAddress[bbfinding.AddressOf(r)]; k != i {
				say("prefix", "no request matches the route, since entry %d, %q, has the same host and prefix",
					k, v.Catalog.Routes[k].Name)
			}
		},
	},
	{
		code:     "share-repeated",
		severity: bbfinding.SeverityWarning,
		route: func(v *view, i int, say say) {
			seen := make(map[string]bool)
			for _, s := range v.Catalog.Routes[i].Shares {
				if seen[s.Service] && s.Service != "" {
					say("shares", "the service %q has several weights, which add up", s.Service)
				}
				seen[s.Service] = true
			}
		},
	},
	{
		code:     "share-zero",
		severity: bbfinding.SeverityWarning,
		route: func(v *view, i int, say say) {
			for _, s := range v.Catalog.Routes[i].Shares {
				if s.Weight == 0 {
					say("shares", "the service %q has weight 0, so no request goes there", s.Service)
				}
			}
		},
	},
	{
		code:     "regions-exclusive",
		severity: bbfinding.SeverityWarning,
		route:    checkRegions,
	},
	{
		code:     "objective-above-timeout",
		severity: bbfinding.SeverityWarning,
		route: func(v *view, i int, say say) {
			if r := v.Catalog.Routes[i]; r.Timeout > 0 && r.Objective > r.Timeout {
				say("objective", "the objective of %v is above the timeout of %v", r.Objective, r.Timeout)
			}
		},
	},
	{
		code:     "attempts-unused",
		severity: bbfinding.SeverityWarning,
		route: func(v *view, i int, say say) {
			r := v.Catalog.Routes[i]
			once := r.Kind == bbcatalog.KindOnce || r.Kind == bbcatalog.KindStream && !r.Resumable
			if once && r.MaxAttempts > 1 {
				say("maxAttempts", "%d attempts are allowed, but requests of this kind run once", r.MaxAttempts)
			}
		},
	},
	{
		code:     "resumable-unused",
		severity: bbfinding.SeverityWarning,
		route: func(v *view, i int, say say) {
			if r := v.Catalog.Routes[i]; r.Resumable && r.Kind != bbcatalog.KindStream {
				say("resumable", "the route is resumable, but its answers are not streams")
			}
		},
	},
	{
		code:     "resumable-one-attempt",
		severity: bbfinding.SeverityNote,
		route: func(v *view, i int, say say) {
			r := v.Catalog.Routes[i]
			if r.Resumable && r.Kind == bbcatalog.KindStream && r.MaxAttempts == 1 {
				say("maxAttempts", "the route is resumable, but with 1 attempt no other endpoint is asked to repeat a failed run")
			}
		},
	},
	{
		code:     "pause-unused",
		severity: bbfinding.SeverityNote,
		route: func(v *view, i int, say say) {
			if r := v.Catalog.Routes[i]; r.Pause > 0 && r.Kind != bbcatalog.KindStream {
				say("pause", "a pause between events is set, but the answers are not streams")
			}
		},
	},
	{
		code:     "route-engine",
		severity: bbfinding.SeverityWarning,
		route: func(v *view, i int, say say) {
			r := v.Catalog.Routes[i]
			for _, s := range r.Shares {
				if service := v.services[s.Service]; r.Engine && service != nil && service.Engine == nil {
					say("engine", "the route carries prompts, but the service %q has no engine capacity", s.Service)
				}
			}
		},
	},
}

// checkWeights tells of weights by which no service can be drawn.
func checkWeights(v *view, i int, say say) {
	r := v.Catalog.Routes[i]
	if len(r.Shares) == 0 {
		return
	}
	total := 0.0
	for _, s := range r.Shares {
		if s.Weight < 0 || !isFinite(s.Weight) {
			say("shares", "the weight of the service %q is %v, not a number of at least 0", s.Service, s.Weight)
			return
		}
		total += s.Weight
	}
	if total == 0 || !isFinite(total) {
		say("shares", "the weights sum to %v, not to a number above 0", total)
	}
}

// checkRegions tells of accounts whose requests on a route can't be served in any region. One finding names all of
// them, so that the number of findings doesn't grow with the product of routes and accounts.
func checkRegions(v *view, i int, say say) {
	r := &v.Catalog.Routes[i]
	if len(r.Regions) == 0 {
		return
	}
	var names []string
	for k := range v.Catalog.Accounts {
		a := &v.Catalog.Accounts[k]
		allowed := len(a.Regions) == 0 || slices.ContainsFunc(r.Regions, func(region string) bool {
			return bbcatalog.Allowed(r, a, region)
		})
		if !allowed {
			names = append(names, a.Name)
		}
	}
	if len(names) > 0 {
		say("regions", "the route has no region in common with %s, whose requests can't be served", quoteSome(names))
	}
}
