package bbline

import (
	"cmp"
	"fmt"
	"slices"
)

// The numbers of the checks. Numbers are never reused.
const (
	CheckTextSize       = 1
	CheckCharacter      = 2
	CheckLineSize       = 3
	CheckUnknownKind    = 4
	CheckNoComment      = 5
	CheckNoSubject      = 6
	CheckName           = 7
	CheckExtraWord      = 8
	CheckUnknownKey     = 9
	CheckRepeatedKey    = 10
	CheckMissingKey     = 11
	CheckValue          = 12
	CheckRange          = 13
	CheckDuplicate      = 14
	CheckAddress        = 15
	CheckUnknownDomain  = 16
	CheckUnknownService = 17
	CheckUnknownModel   = 18
	CheckUnknownCall    = 19
	CheckModelMisplaced = 20
	CheckPathMisplaced  = 21
	CheckColdSlots      = 22
	CheckTooMany        = 23
	CheckNoDomain       = 24
	CheckChoice         = 25
	CheckTooManyFound   = 26
)

// Check describes one check of a rules text.
type Check struct {
	// Number is unique among the checks.
	Number int
	// Title is a short name in camel case, unique among the checks.
	Title string
	// Text describes what is checked and how to correct a line that fails.
	Text string
}

// Checks lists every check by number. The table in docs/RULES.md is generated from it.
var Checks = []Check{
	{Number: CheckTextSize, Title: "textSize", Text: "The text is at most 1048576 bytes. Leave out keys that have their default."},
	{Number: CheckCharacter, Title: "character", Text: "The text is UTF-8 without control characters other than tab and line ends."},
	{Number: CheckLineSize, Title: "lineSize", Text: "A line is at most 4096 bytes."},
	{Number: CheckUnknownKind, Title: "unknownKind", Text: "The first word of a line is a kind of rule."},
	{Number: CheckNoComment, Title: "noComment", Text: "A rule ends with # and a comment that says who asked for it."},
	{Number: CheckNoSubject, Title: "noSubject", Text: "The kind is followed by the name that the rule is about."},
	{Number: CheckName, Title: "name", Text: "A name has 1 to 64 letters, digits, dots, underscores or hyphens and starts with a letter or digit. A path consists of such names separated by slashes."},
	{Number: CheckExtraWord, Title: "extraWord", Text: "Every further word is key=value, without spaces around the equals sign."},
	{Number: CheckUnknownKey, Title: "unknownKey", Text: "The key is one of those of the kind of rule."},
	{Number: CheckRepeatedKey, Title: "repeatedKey", Text: "A key occurs at most once in a line, and a setting at most once in the text."},
	{Number: CheckMissingKey, Title: "missingKey", Text: "Required keys are given, and a setting line sets at least one key."},
	{Number: CheckValue, Title: "value", Text: "The value has the form of its key."},
	{Number: CheckRange, Title: "range", Text: "The value lies within the bounds of its key."},
	{Number: CheckDuplicate, Title: "duplicate", Text: "A name is declared at most once for its kind, and a failure domain taken out at most once."},
	{Number: CheckAddress, Title: "address", Text: "No two endpoints have the same address."},
	{Number: CheckUnknownDomain, Title: "unknownDomain", Text: "Every failure domain that a rule refers to is declared."},
	{Number: CheckUnknownService, Title: "unknownService", Text: "Every service that a rule refers to is declared, and calls belong to a plain one."},
	{Number: CheckUnknownModel, Title: "unknownModel", Text: "Every model that a rule refers to is declared."},
	{Number: CheckUnknownCall, Title: "unknownCall", Text: "A stage of a plain service refers to a declared call."},
	{Number: CheckModelMisplaced, Title: "modelMisplaced", Text: "Only engines have models, and a stage of an engine has one."},
	{Number: CheckPathMisplaced, Title: "pathMisplaced", Text: "A stage of a pool has a path; a stage of an engine has none."},
	{Number: CheckColdSlots, Title: "coldSlots", Text: "The cold slots of an endpoint are at most its warm ones."},
	{Number: CheckTooMany, Title: "tooMany", Text: "No kind has more lines than its maximum."},
	{Number: CheckNoDomain, Title: "noDomain", Text: "At least one failure domain is declared."},
	{Number: CheckChoice, Title: "choice", Text: "Where a kind requires one of several words, exactly one of them follows the name."},
	{Number: CheckTooManyFound, Title: "tooManyFound", Text: "At most 1000 findings are listed; the rest are counted."},
}

// Finding is one error in a rules text.
type Finding struct {
	// Line and Column start at 1 and count bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Check is the number of the check that failed.
	Check int `json:"check"`
	// Text is the message for the operator.
	Text string `json:"text"`
}

// String returns the finding as line:Column: text (check number).
func (f Finding) String() string {
	return fmt.Sprintf("%d:%d: %s (check %d)", f.Line, f.Column, f.Text, f.Check)
}

// compareFindings orders findings by position, then by check and text.
func compareFindings(a, b Finding) int {
	return cmp.Or(
		cmp.Compare(a.Line, b.Line),
		cmp.Compare(a.Column, b.Column),
		cmp.Compare(a.Check, b.Check),
		cmp.Compare(a.Text, b.Text),
	)
}

// SortFindings sorts findings by position. At most MaxFindings are kept; one more finding
// reports how many were dropped.
func SortFindings(findings []Finding) []Finding {
	slices.SortFunc(findings, compareFindings)
	if len(findings) <= MaxFindings {
		return findings
	}
	dropped := len(findings) - MaxFindings
	last := findings[MaxFindings]
	return append(findings[:MaxFindings:MaxFindings], Finding{
		Line:   last.Line,
		Column: last.Column,
		Check:  CheckTooManyFound,
		Text:   fmt.Sprintf("%d more findings are not listed", dropped),
	})
}
