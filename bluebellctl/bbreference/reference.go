// Package bbreference writes the catalogues in code as pages in Markdown.
package bbreference

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbline"
)

// numbersPerGroup is how many event numbers a group has.
const numbersPerGroup = 100

// groups holds the headings of the groups of events by their hundreds.
var groupHeadings = map[bbevent.Number]string{
	1: "Node",
	2: "Configuration",
	3: "Membership and ownership",
	4: "Requests",
	5: "Endpoints",
	6: "Links between entry VMs",
	7: "Limits",
	8: "Entry VMs on a platform",
}

// Events returns the page of the event catalogue.
func Events() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Made from the catalogue in `core/bbevent` by `bluebellctl events --markdown`; edit it there.\n\n")
	b.WriteString("Every event carries its number, a stamp that orders the events of all processes, the node, and\n")
	b.WriteString("whichever of request, stage, attempt, endpoint and peer applies. The log has the title as its message.\n")
	b.WriteString("`bluebellctl timeline --kind TITLE` selects by title. Numbers are never reused.\n")
	last := bbevent.Number(0)
	for _, e := range bbevent.Catalogue {
		if group := e.Number / numbersPerGroup; group != last {
			last = group
			fmt.Fprintf(&b, "\n## %s\n\n| number | title | severity | meaning |\n| --- | --- | --- | --- |\n", groupHeadings[group])
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Title, e.Severity, e.Text)
	}
	return b.String()
}

// Section is a part of a page that is made from a table in code. It stands between
// two comment lines that name it.
type Section struct {
	// Name is unique among the sections.
	Name string
	// Text is the contents, with a line end.
	Text string
}

// RuleSections returns the parts of the page of the rules.
func RuleSections() []Section {
	return []Section{
		{
			Name: "kinds",
			Text: kinds(),
		},
		{
			Name: "checks",
			Text: checks(),
		},
	}
}

// Fill puts the sections into a page in place of what stands there.
func Fill(page string, sections []Section) (string, error) {
	for _, s := range sections {
		begin := fmt.Sprintf("<!-- begin %s -->\n", s.Name)
		end := fmt.Sprintf("<!-- end %s -->\n", s.Name)
		before, rest, hasBegin := strings.Cut(page, begin)
		_, after, hasEnd := strings.Cut(rest, end)
		if !hasBegin || !hasEnd {
			return "", errors.Newf("the page has no section %q", s.Name)
		}
		page = before + begin + "\n" + s.Text + "\n" + end + after
	}
	return page, nil
}

// kinds returns a part for each kind of rule.
func kinds() string {
	var parts []string
	for _, k := range bbline.Kinds {
		parts = append(parts, kind(k))
	}
	return strings.Join(parts, "\n")
}

// kind describes one kind of rule.
func kind(k bbline.Kind) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### `%s`\n\n%s At most %d lines.\n\n    %s\n", k.Name, k.Text, k.MaxLines, k.Example)
	if k.Subject != "" {
		fmt.Fprintf(&b, "\nNames a %s.", k.Subject)
	}
	if len(k.Choices) > 0 {
		fmt.Fprintf(&b, " Then the word `%s`.", strings.Join(k.Choices, "` or `"))
	}
	if k.Subject != "" {
		b.WriteString("\n")
	}
	if len(k.Keys) == 0 {
		return b.String()
	}
	b.WriteString("\n| key | value | when left out |\n| --- | --- | --- |\n")
	for _, key := range k.Keys {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", key.Name, key.Form, defaultText(key))
	}
	return b.String()
}

// leftOut tells what holds when a key is left out.
func defaultText(k bbline.Key) string {
	switch {
	case k.Required:
		return "refused"
	case k.Default == "":
		return "none"
	default:
		return "`" + k.Default + "`"
	}
}

// checks returns the table of checks.
func checks() string {
	var b strings.Builder
	b.WriteString("| check | title | what holds for a valid text |\n| --- | --- | --- |\n")
	for _, c := range bbline.Checks {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", c.Number, c.Title, c.Text)
	}
	return b.String()
}
