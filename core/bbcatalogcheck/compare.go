package bbcatalogcheck

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"bluebellhall/core/bbcatalog"
)

// The severity of a difference is a warning if requests that are served now are refused afterwards, and a note
// otherwise.

// comparison is one check of two catalogs.
type comparison struct {
	code     string
	severity Severity
	run      func(p *pair, say sayAt)
}

// sayAt adds a finding about a place. Places of the configuration in force are marked.
type sayAt func(p Place, inForce bool, field, format string, args ...any)

// pair is two catalogs with the lookups that comparisons need.
type pair struct {
	before, after *view
}

// comparisons has all checks of two catalogs, in the order of their findings.
var comparisons = []comparison{
	{
		code:     "version-not-higher",
		severity: SeverityError,
		run: func(p *pair, say sayAt) {
			if n, o := p.after.catalog.Version, p.before.catalog.Version; n <= o {
				say(Place{}, false, "version", "the version is %d, not above the %d in force, so VMs ignore the configuration", n, o)
			}
		},
	},
	{
		code:     "route-removed",
		severity: SeverityWarning,
		run: func(p *pair, say sayAt) {
			for i, r := range p.before.catalog.Routes {
				_, kept := p.after.firstRoute[r.Name]
				_, renamed := p.after.firstAddress[addressOf(r)]
				if !kept && !renamed {
					say(entry(ListRoutes, i, r.Name), true, "", "the route is removed")
				}
			}
		},
	},
	{
		code:     "route-renamed",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			for i, r := range p.before.catalog.Routes {
				_, kept := p.after.firstRoute[r.Name]
				if k, renamed := p.after.firstAddress[addressOf(r)]; !kept && renamed {
					say(entry(ListRoutes, i, r.Name), true, "name", "host and prefix are now those of the route %q", p.after.catalog.Routes[k].Name)
				}
			}
		},
	},
	{
		code:     "route-added",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(p.after.routeNames(), p.before.firstRoute, ListRoutes, false, "the route is new", say)
		},
	},
	{
		code:     "route-address",
		severity: SeverityWarning,
		run: routePairs(func(_ *pair, place Place, o, n *bbcatalog.Route, say sayAt) {
			if o.Host != n.Host || o.Prefix != n.Prefix {
				say(place, false, "prefix", "host and prefix: %s%s -> %s%s", o.Host, o.Prefix, n.Host, n.Prefix)
			}
		}),
	},
	{
		code:     "route-moved",
		severity: SeverityNote,
		run: routePairs(func(_ *pair, place Place, o, n *bbcatalog.Route, say sayAt) {
			if isMoved(o, n) {
				say(place, false, "shares", "requests move to other services: %s -> %s", fieldText(o.Shares), fieldText(n.Shares))
			}
		}),
	},
	{
		code:     "route-needs-key",
		severity: SeverityWarning,
		run: routePairs(func(p *pair, place Place, o, n *bbcatalog.Route, say sayAt) {
			if !p.before.needsKey(o) && p.after.needsKey(n) {
				say(place, false, "anonymous", "requests without a key were served and are answered with 401")
			}
		}),
	},
	{
		code:     "route-changed",
		severity: SeverityNote,
		run: routePairs(func(_ *pair, place Place, o, n *bbcatalog.Route, say sayAt) {
			except := []string{"host", "prefix"}
			if isMoved(o, n) {
				except = append(except, "shares")
			}
			sayDifferences(place, *o, *n, except, say)
		}),
	},
	{
		code:     "service-removed",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(p.before.serviceNames(), p.after.firstService, ListServices, true, "the service is removed", say)
		},
	},
	{
		code:     "service-added",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(p.after.serviceNames(), p.before.firstService, ListServices, false, "the service is new", say)
		},
	},
	{
		code:     "service-changed",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			for i, n := range p.after.catalog.Services {
				if k, ok := p.before.firstService[n.Name]; ok && p.after.firstService[n.Name] == i {
					sayDifferences(entry(ListServices, i, n.Name), p.before.catalog.Services[k], n, nil, say)
				}
			}
		},
	},
	{
		code:     "account-removed",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(p.before.accountNames(), p.after.firstAccount, ListAccounts, true, "the account is removed", say)
		},
	},
	{
		code:     "account-added",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			sayAbsent(p.after.accountNames(), p.before.firstAccount, ListAccounts, false, "the account is new", say)
		},
	},
	{
		code:     "account-changed",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			for i, n := range p.after.catalog.Accounts {
				if k, ok := p.before.firstAccount[n.Name]; ok && p.after.firstAccount[n.Name] == i {
					sayDifferences(entry(ListAccounts, i, n.Name), p.before.catalog.Accounts[k], n, []string{"keys"}, say)
				}
			}
		},
	},
	{
		code:     "keys-removed",
		severity: SeverityWarning,
		run: func(p *pair, say sayAt) {
			if len(p.after.catalog.Accounts) > 0 {
				sayKeys(p.before, p.after, true, "keys are removed (%d), and clients that use them are answered with 401", say)
			}
		},
	},
	{
		code:     "keys-added",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			sayKeys(p.after, p.before, false, "keys are new (%d)", say)
		},
	},
	{
		code:     "keys-moved",
		severity: SeverityWarning,
		run:      sayMovedKeys,
	},
	{
		code:     "keys-not-needed",
		severity: SeverityWarning,
		run: func(p *pair, say sayAt) {
			if len(p.before.catalog.Accounts) > 0 && len(p.after.catalog.Accounts) == 0 {
				say(Place{}, false, "accounts", "all accounts are removed, so requests need no key any more")
			}
		},
	},
	{
		code:     "limits-changed",
		severity: SeverityNote,
		run: func(p *pair, say sayAt) {
			sayDifferences(Place{List: ListLimits}, p.before.catalog.Limits, p.after.catalog.Limits, nil, say)
		},
	},
}

// Compare returns how a new catalog differs from the one in force, ordered by place; those about entries that the new
// one lacks come last. Repeated names stand for the first entry.
func Compare(inForce, c bbcatalog.Catalog) []Finding {
	p := &pair{
		before: newView(inForce),
		after:  newView(c),
	}
	var findings, removed []Finding
	for _, k := range comparisons {
		k.run(p, func(place Place, inForce bool, field, format string, args ...any) {
			f := Finding{
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
	return append(sortFindings(findings), sortFindings(removed)...)
}

// routePairs returns a comparison of the routes that both catalogs have.
func routePairs(check func(p *pair, place Place, o, n *bbcatalog.Route, say sayAt)) func(*pair, sayAt) {
	return func(p *pair, say sayAt) {
		for i := range p.after.catalog.Routes {
			n := &p.after.catalog.Routes[i]
			if k, ok := p.before.firstRoute[n.Name]; ok && p.after.firstRoute[n.Name] == i {
				check(p, entry(ListRoutes, i, n.Name), &p.before.catalog.Routes[k], n, say)
			}
		}
	}
}

// sayAbsent adds a finding for each name that the other catalog lacks.
func sayAbsent(names []string, other map[string]int, list List, inForce bool, text string, say sayAt) {
	for i, name := range names {
		if _, ok := other[name]; !ok {
			say(Place{list, i, name}, inForce, "", "%s", text)
		}
	}
}

// sayKeys adds a finding for each account of a catalog that has keys which no account of the other one has.
func sayKeys(v, other *view, inForce bool, format string, say sayAt) {
	for i, a := range v.catalog.Accounts {
		absent := 0
		for _, key := range a.Keys {
			if _, ok := other.firstKey[key]; !ok {
				absent++
			}
		}
		if absent > 0 {
			say(entry(ListAccounts, i, a.Name), inForce, "keys", format, absent)
		}
	}
}

// sayMovedKeys tells of keys that belong to an account of another name than before.
func sayMovedKeys(p *pair, say sayAt) {
	for i, a := range p.after.catalog.Accounts {
		for n, key := range a.Keys {
			k, ok := p.before.firstKey[key]
			if !ok || p.after.firstKey[key] != i {
				continue
			}
			if former := p.before.catalog.Accounts[k].Name; former != a.Name {
				say(entry(ListAccounts, i, a.Name), false, "keys", "key %d was a key of the account %q", n, former)
			}
		}
	}
}

func (v *view) needsKey(r *bbcatalog.Route) bool {
	return len(v.catalog.Accounts) > 0 && !r.Anonymous
}

func (v *view) routeNames() []string {
	var names []string
	for _, r := range v.catalog.Routes {
		names = append(names, r.Name)
	}
	return names
}

func (v *view) serviceNames() []string {
	var names []string
	for _, s := range v.catalog.Services {
		names = append(names, s.Name)
	}
	return names
}

func (v *view) accountNames() []string {
	var names []string
	for _, a := range v.catalog.Accounts {
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
func sayDifferences(place Place, o, n any, except []string, say sayAt) {
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
