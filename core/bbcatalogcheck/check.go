// Package bbcatalogcheck finds faults of a configuration before it is published.
package bbcatalogcheck

import (
	"fmt"
	"math"
	"slices"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfinding"
)

// say adds a finding of the check that runs. The field is empty for an entry as a whole.
type say func(field, format string, args ...any)

// check is one check; exactly one of its functions is set.
type check struct {
	code     string
	severity bbfinding.Severity
	route    func(v *view, i int, say say)
	service  func(v *view, i int, say say)
	account  func(v *view, i int, say say)
	limits   func(v *view, say say)
	catalog  func(v *view, say say)
}

// checks has all checks of one catalog, in the order of their findings.
var checks = slices.Concat(catalogChecks, routeChecks, stageChecks, serviceChecks, accountChecks, limitChecks)

var catalogChecks = []check{
	{
		code:     "no-routes",
		severity: bbfinding.SeverityWarning,
		catalog: func(v *view, say say) {
			if len(v.Catalog.Routes) == 0 {
				say("routes", "there are no routes, so every request is refused")
			}
		},
	},
	{
		code:     "version-zero",
		severity: bbfinding.SeverityError,
		catalog: func(v *view, say say) {
			if v.Catalog.Version == 0 {
				say("version", "the version is 0, which is never higher than that in force")
			}
		},
	},
}

// view is a catalog with the lookups that the checks need.
type view struct {
	*bbfinding.Lookup
	services map[string]*bbcatalog.Service
	// used has the services that a route names.
	used map[string]bool
}

func newView(c bbcatalog.Catalog) *view {
	v := &view{
		Lookup:   bbfinding.NewLookup(c),
		services: make(map[string]*bbcatalog.Service),
		used:     make(map[string]bool),
	}
	for _, r := range c.Routes {
		for _, s := range r.Shares {
			v.used[s.Service] = true
		}
		for _, s := range r.Stages {
			v.used[s.Service] = true
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		v.services[s.Name] = s
	}
	return v
}

// Check returns the findings about one catalog, ordered by place. They are the same for equal catalogs and at most
// bbfinding.MaxFindings and one.
func Check(c bbcatalog.Catalog) []bbfinding.Finding {
	v := newView(c)
	var findings []bbfinding.Finding
	for _, k := range checks {
		sayAt := func(p bbfinding.Place) say {
			return func(field, format string, args ...any) {
				findings = append(findings, bbfinding.Finding{
					Severity: k.severity,
					Code:     k.code,
					Place:    p,
					Field:    field,
					Text:     fmt.Sprintf(format, args...),
				})
			}
		}
		k.run(v, sayAt)
	}
	return bbfinding.Sort(findings)
}

// run applies the check to everything that it is about.
func (k check) run(v *view, sayAt func(bbfinding.Place) say) {
	switch {
	case k.route != nil:
		for i, r := range v.Catalog.Routes {
			k.route(v, i, sayAt(bbfinding.Entry(bbfinding.ListRoutes, i, r.Name)))
		}
	case k.service != nil:
		for i, s := range v.Catalog.Services {
			k.service(v, i, sayAt(bbfinding.Entry(bbfinding.ListServices, i, s.Name)))
		}
	case k.account != nil:
		for i, a := range v.Catalog.Accounts {
			k.account(v, i, sayAt(bbfinding.Entry(bbfinding.ListAccounts, i, a.Name)))
		}
	case k.limits != nil:
		k.limits(v, sayAt(bbfinding.Place{List: bbfinding.ListLimits}))
	case k.catalog != nil:
		k.catalog(v, sayAt(bbfinding.Place{}))
	}
}

// sayName adds the findings about the name of entry i: without one, or the same as an earlier one.
func sayName(first map[string]int, i int, name string, say say) {
	if name == "" {
		say("name", "the entry has no name")
		return
	}
	if k := first[name]; k != i {
		say("name", "the name is also that of entry %d", k)
	}
}

// isFinite reports whether a figure is neither infinite nor NaN.
func isFinite(n float64) bool {
	return !math.IsNaN(n) && !math.IsInf(n, 0)
}
