// Package bbcatalogdiff tells how a configuration differs from the one in force.
package bbcatalogdiff

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfinding"
)

// The severity of a difference is a warning if requests that are served now are refused afterwards, and a note
// otherwise.

// comparison is one check of two catalogs.
type comparison struct {
	code     string
	severity bbfinding.Severity
	run      func(p *pair, say sayAt)
}

// sayAt adds a finding about a place. Places of the configuration in force are marked.
type sayAt func(p bbfinding.Place, inForce bool, field, format string, args ...any)

// pair is two catalogs with the lookups that comparisons need.
type pair struct {
	before, after *bbfinding.Lookup
}

// comparisons has all checks of two catalogs, in the order of their findings.
var comparisons = []comparison{
	{
		code:     "version-not-higher",
		severity: bbfinding.SeverityError,
		run: func(p *pair, say sayAt) {
			if n, o := p.after.Catalog.Version, p.before.Catalog.Version; n <= o {
				say(bbfinding.Place{}, false, "version", "the version is %d, not above the %d in force, so VMs ignore the configuration", n, o)
			}
		},
	},
	{
		code:     "route-removed",
		severity: bbfinding.SeverityWarning,
		run: func(p *pair, say sayAt) {
			for i, r := range p.before.Catalog.Routes {
				_, kept := p.after.FirstRoute[r.Name]
				_, renamed := p.after.FirstAddress[bbfinding.AddressOf(r)]
				if !kept && !renamed {
					say(bbfinding.Entry(bbfinding.ListRoutes, i, r.Name), true, "", "the route is removed")
				}
			}
		},
	},
	{
		code:     "route-renamed",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			for i, r := range p.before.Catalog.Routes {
				_, kept := p.after.FirstRoute[r.Name]
				if k, renamed := p.after.FirstAddress[bbfinding.AddressOf(r)]; !kept && renamed {
					say(bbfinding.Entry(bbfinding.ListRoutes, i, r.Name), true, "name", "host and prefix are now those of the route %q", p.after.Catalog.Routes[k].Name)
				}
			}
		},
	},
	{
		code:     "route-added",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(routeNames(p.after), p.before.FirstRoute, bbfinding.ListRoutes, false, "the route is new", say)
		},
	},
	{
		code:     "route-address",
		severity: bbfinding.SeverityWarning,
		run: routePairs(func(_ *pair, place bbfinding.Place, o, n *bbcatalog.Route, say sayAt) {
			if o.Host != n.Host || o.Prefix != n.Prefix {
				say(place, false, "prefix", "host and prefix: %s%s -> %s%s", o.Host, o.Prefix, n.Host, n.Prefix)
			}
		}),
	},
	{
		code:     "route-moved",
		severity: bbfinding.SeverityNote,
		run: routePairs(func(_ *pair, place bbfinding.Place, o, n *bbcatalog.Route, say sayAt) {
			if isMoved(o, n) {
				say(place, false, "shares", "requests move to other services: %s -> %s", fieldText(o.Shares), fieldText(n.Shares))
			}
		}),
	},
	{
		code:     "route-needs-key",
		severity: bbfinding.SeverityWarning,
		run: routePairs(func(p *pair, place bbfinding.Place, o, n *bbcatalog.Route, say sayAt) {
			if !needsKey(p.before, o) && needsKey(p.after, n) {
				say(place, false, "anonymous", "requests without a key were served and are answered with 401")
			}
		}),
	},
	{
		code:     "route-changed",
		severity: bbfinding.SeverityNote,
		run: routePairs(func(_ *pair, place bbfinding.Place, o, n *bbcatalog.Route, say sayAt) {
			except := []string{"host", "prefix"}
			if isMoved(o, n) {
				except = append(except, "shares")
			}
			sayDifferences(place, *o, *n, except, say)
		}),
	},
	{
		code:     "service-removed",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(serviceNames(p.before), p.after.FirstService, bbfinding.ListServices, true, "the service is removed", say)
		},
	},
	{
		code:     "service-added",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(serviceNames(p.after), p.before.FirstService, bbfinding.ListServices, false, "the service is new", say)
		},
	},
	{
		code:     "service-changed",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			for i, n := range p.after.Catalog.Services {
				if k, ok := p.before.FirstService[n.Name]; ok && p.after.FirstService[n.Name] == i {
					sayDifferences(bbfinding.Entry(bbfinding.ListServices, i, n.Name), p.before.Catalog.Services[k], n, nil, say)
				}
			}
		},
	},
	{
		code:     "account-removed",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(accountNames(p.before), p.after.FirstAccount, bbfinding.ListAccounts, true, "the account is removed", say)
		},
	},
	{
		code:     "account-added",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(accountNames(p.after), p.before.FirstAccount, bbfinding.ListAccounts, false, "the account is new", say)
		},
	},
	{
		code:     "account-changed",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			for i, n := range p.after.Catalog.Accounts {
				if k, ok := p.before.FirstAccount[n.Name]; ok && p.after.FirstAccount[n.Name] == i {
					sayDifferences(bbfinding.Entry(bbfinding.ListAccounts, i, n.Name), p.before.Catalog.Accounts[k], n, []string{"keys"}, say)
				}
			}
		},
	},
	{
		code:     "keys-removed",
		severity: bbfinding.SeverityWarning,
		run: func(p *pair, say sayAt) {
			if len(p.after.Catalog.Accounts) > 0 {
				sayKeys(p.before, p.after, true, "keys are removed (%d), and clients that use them are answered with 401", say)
			}
		},
	},
	{
		code:     "keys-added",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			sayKeys(p.after, p.before, false, "keys are new (%d)", say)
		},
	},
	{
		code:     "keys-moved",
		severity: bbfinding.SeverityWarning,
		run:      sayMovedKeys,
	},
	{
		code:     "keys-not-needed",
		severity: bbfinding.SeverityWarning,
		run: func(p *pair, say sayAt) {
			if len(p.before.Catalog.Accounts) > 0 && len(p.after.Catalog.Accounts) == 0 {
				say(bbfinding.Place{}, false, "accounts", "all accounts are removed, so requests need no key any more")
			}
		},
	},
	{
		code:     "limits-changed",
		severity: bbfinding.SeverityNote,
		run: func(p *pair, say sayAt) {
			sayDifferences(bbfinding.Place{List: bbfinding.ListLimits}, p.before.Catalog.Limits, p.after.Catalog.Limits, nil, say)
		},
	},
}

// Compare returns how a new catalog differs from the one in force, ordered by place; those about entries that the new
// one lacks come last. Repeated names stand for the first entry.
func Compare(inForce, c bbcatalog.Catalog) []bbfinding.Finding {
	p := &pair{
		before: bbfinding.NewLookup(inForce),
		after:  bbfinding.NewLookup(c),
	}
	var findings, removed []bbfinding.Finding
	for _, k := range comparisons {
		k.run(p, func(place bbfinding.Place, inForce bool, field, format string, args ...any) {
			f := bbfinding.Finding{
				Severity: k.severity,
				Code:     k.code,
				Place:    place,
				Field:    field,
				InForce:  inForce,
				Text:     fmt.Sprintf(format, args...),
			}
			if inForce {
				removed = append(removed, f)
				return
			}
			findings = append(findings, f)
		})
	}
	return append(bbfinding.Sort(findings), bbfinding.Sort(removed)...)
}

// routePairs returns a comparison of the routes that both catalogs have.
func routePairs(check func(p *pair, place bbfinding.Place, o, n *bbcatalog.Route, say sayAt)) func(*pair, sayAt) {
	return func(p *pair, say sayAt) {
		for i := range p.after.Catalog.Routes {
			n := &p.after.Catalog.Routes[i]
			if k, ok := p.before.FirstRoute[n.Name]; ok && p.after.FirstRoute[n.Name] == i {
				check(p, bbfinding.Entry(bbfinding.ListRoutes, i, n.Name), &p.before.Catalog.Routes[k], n, say)
			}
		}
	}
}

// sayAbsent adds a finding for each name that the other catalog lacks.
func sayAbsent(names []string, other map[string]int, list bbfinding.List, inForce bool, text string, say sayAt) {
	for i, name := range names {
		if _, ok := other[name]; !ok {
			say(bbfinding.Entry(list, i, name), inForce, "", "%s", text)
		}
	}
}

// sayKeys adds a finding for each account of a catalog that has keys which no account of the other one has.
func sayKeys(l, other *bbfinding.Lookup, inForce bool, format string, say sayAt) {
	for i, a := range l.Catalog.Accounts {
		absent := 0
		for _, key := range a.Keys {
			if _, ok := other.FirstKey[key]; !ok {
				absent++
			}
		}
		if absent > 0 {
			say(bbfinding.Entry(bbfinding.ListAccounts, i, a.Name), inForce, "keys", format, absent)
		}
	}
}

// sayMovedKeys tells of keys that belong to an account of another name than before.
func sayMovedKeys(p *pair, say sayAt) {
	for i, a := range p.after.Catalog.Accounts {
		for n, key := range a.Keys {
			k, ok := p.before.FirstKey[key]
			if !ok || p.after.FirstKey[key] != i {
				continue
			}
			if former := p.before.Catalog.Accounts[k].Name; former != a.Name {
				say(bbfinding.Entry(bbfinding.ListAccounts, i, a.Name), false, "keys", "key %d was a key of the account %q", n, former)
			}
		}
	}
}

func needsKey(l *bbfinding.Lookup, r *bbcatalog.Route) bool {
	return len(l.Catalog.Accounts) > 0 && !r.Anonymous
}

func routeNames(l *bbfinding.Lookup) []string {
	var names []string
	for _, r := range l.Catalog.Routes {
		names = append(names, r.Name)
	}
	return names
}

func serviceNames(l *bbfinding.Lookup) []string {
	var names []string
	for _, s := range l.Catalog.Services {
		names = append(names, s.Name)
	}
	return names
}

func accountNames(l *bbfinding.Lookup) []string {
	var names []string
	for _, a := range l.Catalog.Accounts {
		names = append(names, a.Name)
	}
	return names
}

// isMoved reports whether requests of a route go to other services than before.
func isMoved(o, n *bbcatalog.Route) bool {
	return !slices.Equal(destinations(o), destinations(n))
}

// destinations returns the services that get requests of a route, sorted.
func destinations(r *bbcatalog.Route) []string {
	var names []string
	for _, s := range r.Shares {
		if s.Weight > 0 {
			names = append(names, s.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// sayDifferences adds a finding for each field of an entry that has changed, except those that other comparisons are
// about.
func sayDifferences(place bbfinding.Place, o, n any, except []string, say sayAt) {
	differences("", reflect.ValueOf(o), reflect.ValueOf(n), func(field, from, to string) {
		if !slices.Contains(except, field) {
			say(place, false, field, "%s: %s -> %s", field, from, to)
		}
	})
}

// differences calls a function for each field of two structs of one type that differs, in the order of the fields.
func differences(prefix string, o, n reflect.Value, emit func(field, from, to string)) {
	for i := range o.NumField() {
		name := o.Type().Field(i).Name
		field := prefix + strings.ToLower(name[:1]) + name[1:]
		from, to := o.Field(i), n.Field(i)
		if from.Kind() == reflect.Pointer && from.Type().Elem().Kind() == reflect.Struct && !from.IsNil() && !to.IsNil() {
			differences(field+".", from.Elem(), to.Elem(), emit)
			continue
		}
		if a, b := fieldText(from.Interface()), fieldText(to.Interface()); a != b {
			emit(field, a, b)
		}
	}
}

// kindTexts are the kinds in messages.
var kindTexts = map[bbcatalog.Kind]string{
	bbcatalog.KindIdempotent: "may run again",
	bbcatalog.KindOnce:       "runs once",
	bbcatalog.KindStream:     "stream",
}

// fieldText returns the value of a field as text. Equal values have equal texts, and different ones different texts.
func fieldText(value any) string {
	switch value := value.(type) {
	case bbcatalog.Kind:
		if text, ok := kindTexts[value]; ok {
			return text
		}
		return fmt.Sprintf("kind %d", int(value))
	case *int:
		if value == nil {
			return "none"
		}
		return fmt.Sprint(*value)
	case string:
		return fmt.Sprintf("%q", value)
	case float64:
		// Without an exponent up to sizes of memory that occur.
		if math.Abs(value) < 1e15 {
			return strconv.FormatFloat(value, 'f', -1, 64)
		}
		return fmt.Sprint(value)
	case []string:
		// The lists that are compared have regions.
		if len(value) == 0 {
			return "all"
		}
		return listText(value)
	case []bbcatalog.Share:
		return eachText(value, func(s bbcatalog.Share) string { return fmt.Sprintf("%q %v", s.Service, s.Weight) })
	case []bbcatalog.Stage:
		return eachText(value, func(s bbcatalog.Stage) string {
			return fmt.Sprintf("%q after %v, %v bytes", s.Service, s.After, s.ResultBytes)
		})
	case *bbcatalog.Engine:
		if value == nil {
			return "none"
		}
		return fmt.Sprintf("%d slots, %v tokens", value.Slots, value.Tokens)
	case *bbcatalog.Pool:
		if value == nil {
			return "none"
		}
		return fmt.Sprintf("%d slots, %d queued, batch of %d, call %v, piece %v, %v bytes for %v", value.Slots, value.Queue,
			value.Batch, value.CallTime, value.PieceTime, value.ResultMemoryBytes, value.ResultTTL)
	case time.Duration:
		return value.String()
	default:
		return fmt.Sprint(value)
	}
}

// listText returns a list of names as text.
func listText(names []string) string {
	return eachText(names, func(name string) string { return fmt.Sprintf("%q", name) })
}

// eachText returns the elements of a list as text, or none.
func eachText[T any](list []T, text func(T) string) string {
	if len(list) == 0 {
		return "none"
	}
	var texts []string
	for _, e := range list {
		texts = append(texts, text(e))
	}
	return strings.Join(texts, ", ")
}
