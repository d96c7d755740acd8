package bbcatalogcheck

import (
	"fmt"
	"math"
	"slices"

	"bluebellhall/core/bbcatalog"
)

// say adds a finding of the check that runs. The field is empty for an entry as a whole.
type say func(field, format string, args ...any)

// check is one check; exactly one of its functions is set.
type check struct {
	code     string
	severity Severity
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
		severity: SeverityWarning,
		catalog: func(v *view, say say) {
			if len(v.catalog.Routes) == 0 {
				say("routes", "there are no routes, so every request is refused")
			}
		},
	},
	{
		code:     "version-zero",
		severity: SeverityError,
		catalog: func(v *view, say say) {
			if v.catalog.Version == 0 {
				say("version", "the version is 0, which is never higher than that in force")
			}
		},
	},
}

// view is a catalog with the lookups that the checks need.
type view struct {
	catalog  bbcatalog.Catalog
	services map[string]*bbcatalog.Service
	// The first entry of each name, key, and pair of host and prefix.
	firstRoute, firstService, firstAccount, firstKey map[string]int
	firstAddress                                     map[address]int
	// used has the services that a route names.
	used map[string]bool
}

// address is what selects a route.
type address struct {
	host, prefix string
}

func addressOf(r bbcatalog.Route) address {
	return address{
		host:   r.Host,
		prefix: r.Prefix,
	}
}

func newView(c bbcatalog.Catalog) *view {
	v := &view{
		catalog:      c,
		services:     make(map[string]*bbcatalog.Service),
		firstRoute:   make(map[string]int),
		firstService: make(map[string]int),
		firstAccount: make(map[string]int),
		firstKey:     make(map[string]int),
		firstAddress: make(map[address]int),
		used:         make(map[string]bool),
	}
	for i, r := range c.Routes {
		setFirst(v.firstRoute, r.Name, i)
		setFirst(v.firstAddress, addressOf(r), i)
		for _, s := range r.Shares {
			v.used[s.Service] = true
		}
		for _, s := range r.Stages {
			v.used[s.Service] = true
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		setFirst(v.firstService, s.Name, i)
		v.services[s.Name] = s
	}
	for i, a := range c.Accounts {
		setFirst(v.firstAccount, a.Name, i)
		for _, key := range a.Keys {
			setFirst(v.firstKey, key, i)
		}
	}
	return v
}

func setFirst[K comparable](first map[K]int, key K, i int) {
	if _, ok := first[key]; !ok {
		first[key] = i
	}
}

// Check returns the findings about one catalog, ordered by place. They are the same for equal catalogs and at most
// MaxFindings and one.
func Check(c bbcatalog.Catalog) []Finding {
	v := newView(c)
	var findings []Finding
	for _, k := range checks {
		sayAt := func(p Place) say {
			return func(field, format string, args ...any) {
				findings = append(findings, Finding{
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
	return sortFindings(findings)
}

// run applies the check to everything that it is about.
func (k check) run(v *view, sayAt func(Place) say) {
	switch {
	case k.route != nil:
		for i, r := range v.catalog.Routes {
			k.route(v, i, sayAt(entry(ListRoutes, i, r.Name)))
		}
	case k.service != nil:
		for i, s := range v.catalog.Services {
			k.service(v, i, sayAt(entry(ListServices, i, s.Name)))
		}
	case k.account != nil:
		for i, a := range v.catalog.Accounts {
			k.account(v, i, sayAt(entry(ListAccounts, i, a.Name)))
		}
	case k.limits != nil:
		k.limits(v, sayAt(Place{List: ListLimits}))
	case k.catalog != nil:
		k.catalog(v, sayAt(Place{}))
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
