package bbcatalog

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Index looks up routes, services and accounts of one catalog.
type Index struct {
	// Catalog is the indexed version.
	Catalog Catalog
	// byHost has the routes of each host, those with the longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Account
	// routes and accounts have both by name, also those that only earlier catalogs in force had, with nothing but their
	// regions: requests in progress keep these.
	routes   map[string]*Route
	accounts map[string]*Account
}

// maxRemoved bounds the removed routes, and the removed accounts, whose regions are kept.
const maxRemoved = 10000

// NewIndex returns the index of a catalog, which must not change afterwards.
func NewIndex(c Catalog) *Index {
	x := &Index{
		Catalog:  c,
		byHost:   make(map[string][]*Route, len(c.Routes)),
		services: make(map[string]*Service, len(c.Services)),
		byKey:    make(map[string]*Account),
		routes:   make(map[string]*Route, len(c.Routes)),
		accounts: make(map[string]*Account, len(c.Accounts)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
		x.routes[r.Name] = r
	}
	for _, routes := range x.byHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		x.accounts[c.Accounts[i].Name] = &c.Accounts[i]
		for _, key := range c.Accounts[i].Keys {
			x.byKey[key] = &c.Accounts[i]
		}
	}
	return x
}

// NewIndexAfter returns the index of a catalog that comes into force after another one; nil if it is the first.
func NewIndexAfter(c Catalog, former *Index) *Index {
	x := NewIndex(c)
	if former == nil {
		return x
	}
	for name, r := range former.routes {
		if x.routes[name] == nil && len(x.routes) < len(c.Routes)+maxRemoved {
			x.routes[name] = &Route{
				Name:    name,
				Regions: slices.Clone(r.Regions),
			}
		}
	}
	for name, a := range former.accounts {
		if x.accounts[name] == nil && len(x.accounts) < len(c.Accounts)+maxRemoved {
			x.accounts[name] = &Account{
				Name:    name,
				Regions: slices.Clone(a.Regions),
			}
		}
	}
	return x
}

// Route returns the route of the host with the longest prefix that matches the path, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of that name, or nil.
func (x *Index) Service(name string) *Service {
	return x.services[name]
}

// Account returns the account that holds a key, or nil.
func (x *Index) Account(key string) *Account {
	return x.byKey[key]
}

// NeedsKey reports whether requests of a route must carry a key.
func (x *Index) NeedsKey(r *Route) bool {
	return len(x.Catalog.Accounts) > 0 && !r.Anonymous
}

// Priority returns the priority class of an account's requests on a route; a may be nil.
func Priority(r *Route, a *Account) int {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// Allowed reports whether requests of a route and an account may be served in a region; a may be nil. If
// both list regions, the region must be in both lists.
func Allowed(r *Route, a *Account, region string) bool {
	return InRegions(r.Regions, region) && (a == nil || InRegions(a.Regions, region))
}

// noRegion stands for a route and an account that have no region in common.
const noRegion = "none"

// Regions returns the regions in which requests of a route and an account may be served; empty means all. The account
// may be nil.
func Regions(r *Route, a *Account) []string {
	if a == nil || len(a.Regions) == 0 {
		return r.Regions
	}
	if len(r.Regions) == 0 {
		return a.Regions
	}
	var both []string
	for _, region := range r.Regions {
		if Allowed(r, a, region) {
			both = append(both, region)
		}
	}
	if len(both) == 0 {
		return []string{noRegion}
	}
	return both
}

// RegionsOf returns the regions in which requests of the named route and account may be served; empty means all. The name
// of the account is empty if there is none. Those that have been removed keep the regions that they had last. It returns
// false if the configurations in force so far didn't have both.
func (x *Index) RegionsOf(route, account string) ([]string, bool) {
	r, a := x.routes[route], x.accounts[account]
	if r == nil || a == nil && account != "" {
		return nil, false
	}
	return Regions(r, a), true
}

// InRegions reports whether a region is in a list; an empty list has every region.
func InRegions(list []string, region string) bool {
	return len(list) == 0 || slices.Contains(list, region)
}

// Pick returns the service for a request of a route by weight. The draw is a random number in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Shares {
		left -= s.Weight
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// The gap between events after which callers abandon a stream, also before its first event, is the longest
// of these three, by the deployment specifications.
const (
	minStreamGap     = 2 * time.Second
	gapPerObjective  = 4
	gapPerUsualPause = 8
)

// FirstEventWithin returns the time after which the caller of a stream disconnects if no event has arrived;
// 0 for other requests.
func (r *Route) FirstEventWithin() time.Duration {
	if r.Kind != KindStream {
		return 0
	}
	return max(minStreamGap, gapPerObjective*r.Objective, gapPerUsualPause*r.Pause)
}
