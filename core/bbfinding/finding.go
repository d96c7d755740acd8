// Package bbfinding describes what checks and comparisons of configurations find, and at which entries.
package bbfinding

import (
	"cmp"
	"fmt"
	"slices"
)

// Severity says what a finding means for requests.
type Severity string

const (
	// SeverityError is for configurations by which requests can't be served as written.
	SeverityError Severity = "error"
	// SeverityWarning is for entries that have no effect, and for limits that contradict each other.
	SeverityWarning Severity = "warning"
	// SeverityNote is for what may be intended.
	SeverityNote Severity = "note"
)

// List is a part of a catalog.
type List string

const (
	// ListCatalog stands for the catalog as a whole.
	ListCatalog List = ""
	// ListRoutes has the routes.
	ListRoutes List = "routes"
	// ListServices has the services.
	ListServices List = "services"
	// ListAccounts has the client accounts.
	ListAccounts List = "accounts"
	// ListLimits has the limits of callers; it has no entries.
	ListLimits List = "limits"
)

// Place is the entry of a catalog that a finding concerns.
type Place struct {
	List List `json:"list"`
	// Index is the number of the entry, from 0; it is 0 where the list has no entries.
	Index int `json:"index"`
	// Name is the name of the entry, which may be empty.
	Name string `json:"name"`
}

// Entry returns the place of an entry of a list.
func Entry(list List, index int, name string) Place {
	return Place{
		List:  list,
		Index: index,
		Name:  name,
	}
}

// String returns the place in the form routes[3] "name".
func (p Place) String() string {
	switch {
	case p.List == ListCatalog:
		return "configuration"
	case p.List == ListLimits:
		return string(p.List)
	case p.Name == "":
		return fmt.Sprintf("%s[%d]", p.List, p.Index)
	default:
		return fmt.Sprintf("%s[%d] %q", p.List, p.Index, p.Name)
	}
}

// Finding is one fault or difference.
type Finding struct {
	Severity Severity `json:"severity"`
	// Code names the check and doesn't change between versions.
	Code  string `json:"code"`
	Place Place  `json:"place"`
	// Field is the field of the entry, such as timeout or pool.batch; empty for the entry as a whole.
	Field string `json:"field"`
	// InForce is true when the place is in the configuration in force, because the new one lacks the entry.
	InForce bool `json:"inForce"`
	// Text is the message for the operator.
	Text string `json:"text"`
}

// MaxFindings bounds the findings of one list; one more finding tells how many were left out.
const MaxFindings = 1000

// CodeMore is the code of the finding that tells how many were left out.
const CodeMore = "more-findings"

// listOrder is the order of the findings of a configuration.
var listOrder = []List{ListCatalog, ListRoutes, ListServices, ListAccounts, ListLimits}

// Sort orders findings by place, keeps the order of those at one place, and bounds them.
func Sort(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(listOrder, a.Place.List), slices.Index(listOrder, b.Place.List)),
			cmp.Compare(a.Place.Index, b.Place.Index),
		)
	})
	if len(findings) <= MaxFindings {
		return findings
	}
	// The finding that replaces the others is as severe as the worst of them.
	worst := SeverityNote
	for _, f := range findings[MaxFindings:] {
		if f.Severity == SeverityError || worst == SeverityNote {
			worst = f.Severity
		}
	}
	return append(findings[:MaxFindings:MaxFindings], Finding{
		Severity: worst,
		Code:     CodeMore,
		Text:     fmt.Sprintf("%d more findings are not listed", len(findings)-MaxFindings),
	})
}
