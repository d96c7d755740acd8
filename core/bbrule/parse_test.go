package bbrule

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbline"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const examples = "../../examples"

// valid is a text without findings that the cases of TestChecks add lines to.
const valid = `domain d region=r # x
service p kind=pool # x
service e kind=engine # x
service s kind=plain # x
call s/v1/do once # x
model m weight=1GB # x
endpoint a service=s address=127.0.0.1:1 domain=d # x
`

// validLines is the number of lines of valid.
var validLines = strings.Count(valid, "\n")

func TestChecks(t *testing.T) {
	cases := []struct {
		check  int
		add    string
		column int
	}{
		{check: bbline.CheckCharacter, add: "domain x region=r # a\x01", column: 22},
		{check: bbline.CheckCharacter, add: "domain \xff region=r # a", column: 8},
		{check: bbline.CheckLineSize, add: "# " + strings.Repeat("x", bbline.MaxLineBytes), column: bbline.MaxLineBytes + 1},
		{check: bbline.CheckUnknownKind, add: "domian x region=r # a", column: 1},
		{check: bbline.CheckNoComment, add: "domain x region=r", column: 18},
		{check: bbline.CheckNoComment, add: "domain x region=r # ", column: 19},
		{check: bbline.CheckNoSubject, add: "domain region=r # a", column: 1},
		{check: bbline.CheckName, add: "domain -x region=r # a", column: 8},
		{check: bbline.CheckName, add: "domain x region=r/s # a", column: 17},
		{check: bbline.CheckName, add: "model " + strings.Repeat("x", bbline.MaxNameBytes+1) + " weight=1B # a", column: 7},
		{check: bbline.CheckName, add: "call s idempotent # a", column: 6},
		{check: bbline.CheckName, add: "call s//x idempotent # a", column: 6},
		{check: bbline.CheckExtraWord, add: "domain x region=r and # a", column: 19},
		{check: bbline.CheckUnknownKey, add: "domain x region=r size=2 # a", column: 19},
		{check: bbline.CheckRepeatedKey, add: "domain x region=r region=s # a", column: 19},
		{check: bbline.CheckRepeatedKey, add: "limit body=1MB # a\nlimit body=2MB # a", column: 12},
		{check: bbline.CheckMissingKey, add: "domain x # a", column: 1},
		{check: bbline.CheckMissingKey, add: "limit # a", column: 1},
		{check: bbline.CheckValue, add: "service x kind=pond # a", column: 16},
		{check: bbline.CheckValue, add: "service x kind=pool reports=maybe # a", column: 29},
		{check: bbline.CheckValue, add: "call s/x once deadline=2 # a", column: 24},
		{check: bbline.CheckValue, add: "model x weight=14G # a", column: 16},
		{check: bbline.CheckValue, add: "model x weight=-1B # a", column: 16},
		{check: bbline.CheckValue, add: "account x weight=1.5 # a", column: 18},
		{check: bbline.CheckValue, add: "retry share=10 # a", column: 13},
		{check: bbline.CheckValue, add: "retry share=1.234% # a", column: 13},
		{check: bbline.CheckValue, add: "cost crossRegion=.5 # a", column: 18},
		{check: bbline.CheckValue, add: "endpoint x service=s address=host:1 domain=d # a", column: 30},
		{check: bbline.CheckValue, add: "endpoint x service=s address=127.0.0.1:0 domain=d # a", column: 30},
		{check: bbline.CheckValue, add: "pipeline x stages=p/a,,p/b # a", column: 23},
		{check: bbline.CheckRange, add: "call s/x once deadline=0s # a", column: 24},
		{check: bbline.CheckRange, add: "call s/x once deadline=61m # a", column: 24},
		{check: bbline.CheckRange, add: "model x weight=99999999999TB # a", column: 16},
		{check: bbline.CheckRange, add: "model x weight=0B # a", column: 16},
		{check: bbline.CheckRange, add: "account x weight=0 # a", column: 18},
		{check: bbline.CheckRange, add: "account x priority=4 # a", column: 20},
		{check: bbline.CheckRange, add: "retry share=50.01% # a", column: 13},
		{check: bbline.CheckRange, add: "cost crossRegion=1000000.1 # a", column: 18},
		{check: bbline.CheckRange, add: "limit body=65MB # a", column: 12},
		{check: bbline.CheckRange, add: "limit answer=11m # a", column: 14},
		{check: bbline.CheckRange, add: "endpoint x service=s address=127.0.0.1:2 domain=d warm=100001 # a", column: 56},
		{check: bbline.CheckRange, add: "pipeline x stages=p/a,p/a,p/a,p/a,p/a,p/a,p/a,p/a,p/a # a", column: 19},
		{check: bbline.CheckDuplicate, add: "domain d region=r # a", column: 8},
		{check: bbline.CheckDuplicate, add: "call s/v1/do once # a", column: 6},
		{check: bbline.CheckDuplicate, add: "out d # a\nout d # a", column: 5},
		{check: bbline.CheckAddress, add: "endpoint x service=s address=127.0.0.1:1 domain=d # a", column: 30},
		{check: bbline.CheckUnknownDomain, add: "out x # a", column: 5},
		{check: bbline.CheckUnknownDomain, add: "endpoint x service=s address=127.0.0.1:2 domain=x # a", column: 49},
		{check: bbline.CheckUnknownService, add: "call x/y once # a", column: 6},
		{check: bbline.CheckUnknownService, add: "call p/y once # a", column: 6},
		{check: bbline.CheckUnknownService, add: "endpoint x service=x address=127.0.0.1:2 domain=d # a", column: 20},
		{check: bbline.CheckUnknownService, add: "pipeline x stages=p/a,x/y # a", column: 23},
		{check: bbline.CheckUnknownModel, add: "endpoint x service=e model=x address=127.0.0.1:2 domain=d # a", column: 28},
		{check: bbline.CheckUnknownModel, add: "pipeline x stages=e@x # a", column: 21},
		{check: bbline.CheckUnknownCall, add: "pipeline x stages=s/v1/undo # a", column: 19},
		{check: bbline.CheckModelMisplaced, add: "endpoint x service=s model=m address=127.0.0.1:2 domain=d # a", column: 28},
		{check: bbline.CheckModelMisplaced, add: "pipeline x stages=e # a", column: 19},
		{check: bbline.CheckModelMisplaced, add: "pipeline x stages=p/a@m # a", column: 19},
		{check: bbline.CheckPathMisplaced, add: "pipeline x stages=e/v1@m # a", column: 19},
		{check: bbline.CheckPathMisplaced, add: "pipeline x stages=p # a", column: 19},
		{check: bbline.CheckColdSlots, add: "endpoint x service=s address=127.0.0.1:2 domain=d warm=1 cold=2 # a", column: 1},
		{check: bbline.CheckTooMany, add: "retry share=1% # a\nretry # a", column: 1},
		{check: bbline.CheckChoice, add: "call s/x # a", column: 10},
		{check: bbline.CheckChoice, add: "call s/x twice # a", column: 10},
		{check: bbline.CheckChoice, add: "call s/x once idempotent # a", column: 15},
	}
	checkClean(t, valid)
	seen := map[int]bool{
		bbline.CheckTextSize:     true,
		bbline.CheckNoDomain:     true,
		bbline.CheckTooManyFound: true,
	}
	for _, c := range cases {
		seen[c.check] = true
		t.Run(fmt.Sprintf("%d %.40q", c.check, c.add), func(t *testing.T) {
			line := validLines + 1 + strings.Count(c.add, "\n")
			checkFinds(t, valid+c.add, Finding{Line: line, Column: c.column, Check: c.check})
		})
	}
	t.Run("text size", func(t *testing.T) {
		text := valid + strings.Repeat("#\n", bbline.MaxTextBytes/2)
		checkFinds(t, text, Finding{Line: 1, Column: 1, Check: bbline.CheckTextSize})
	})
	t.Run("no domain", func(t *testing.T) {
		checkFinds(t, "", Finding{Line: 1, Column: 1, Check: bbline.CheckNoDomain})
	})
	t.Run("too many findings", func(t *testing.T) {
		_, findings := Parse(strings.Repeat("x\n", bbline.MaxFindings+7))
		last := findings[len(findings)-1]
		if len(findings) != bbline.MaxFindings+1 || last.Check != bbline.CheckTooManyFound {
			t.Errorf("%d findings, the last is %v", len(findings), last)
		}
	})
	for i, c := range bbline.Checks {
		if c.Number != i+1 || !seen[c.Number] {
			t.Errorf("check %d is out of order or has no case", c.Number)
		}
	}
}

func TestAllFindingsAreReportedInOrder(t *testing.T) {
	text := "out z # x\ndomain d # x\nservice - kind=pool\n"
	_, findings := Parse(text)
	var got []string
	for _, f := range findings {
		got = append(got, fmt.Sprintf("%d:%d:%d", f.Line, f.Column, f.Check))
	}
	want := []string{"1:5:16", "2:1:11", "3:9:7", "3:20:5"}
	checkEqual(t, want, got)
}

func TestParseValues(t *testing.T) {
	text := "# the head\n\n" + strings.ReplaceAll(valid, "\n", "\r\n") +
		"endpoint b\tservice=e model=m address=[::1]:2 domain=d warm=9 cold=2 fencing=yes # Bat: # 4\n" +
		"pipeline q stages=p/v1/a,s/v1/do,e@m # y\nout d # z\nretry share=7.5% # v\ncost crossRegion=0.02 # w\n"
	set, findings := Parse(text)
	checkEqual(t, nil, findings)
	want := &RuleSet{
		Domains:  []Domain{{Name: "d", Region: "r", Out: true, AskedBy: "x", OutAskedBy: "z"}},
		Services: []Service{{Name: "p", Kind: KindPool, AskedBy: "x"}, {Name: "e", Kind: KindEngine, AskedBy: "x"}, {Name: "s", Kind: KindPlain, AskedBy: "x"}},
		Calls:    []Call{{Service: "s", Path: "v1/do", Deadline: 10 * time.Second, AskedBy: "x"}},
		Models:   []Model{{Name: "m", WeightBytes: 1e9, AskedBy: "x"}},
		Endpoints: []Endpoint{
			{Name: "a", Service: "s", Address: "127.0.0.1:1", Domain: "d", WarmSlots: 8, ColdSlots: 1, AskedBy: "x"},
			{Name: "b", Service: "e", Model: "m", Address: "[::1]:2", Domain: "d", WarmSlots: 9, ColdSlots: 2, ChecksFencing: true, AskedBy: "Bat: # 4"},
		},
		Pipelines: []Pipeline{{
			Name:     "q",
			Stages:   []Stage{{Service: "p", Path: "v1/a"}, {Service: "s", Path: "v1/do"}, {Service: "e", Model: "m"}},
			Deadline: 6 * time.Second,
			AskedBy:  "y",
		}},
		Limits: DefaultLimits(),
	}
	want.Limits.RetryShare = 0.075
	want.Limits.CrossRegionCost = 0.02
	want.Limits.AskedBy = LimitsAskedBy{RetryShare: "v", CrossRegionCost: "w"}
	checkEqual(t, want, set)
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"khangai", "corail"} {
		t.Run(name, func(t *testing.T) {
			checkClean(t, readExample(t, name))
		})
	}
	t.Run("broken", func(t *testing.T) {
		_, findings := Parse(readExample(t, "broken"))
		var b strings.Builder
		for _, f := range findings {
			fmt.Fprintln(&b, f)
		}
		checkGolden(t, filepath.Join("testdata", "broken.golden"), b.String())
	})
}

// TestExampleSizes compares the examples with the sizes of the two deployments.
func TestExampleSizes(t *testing.T) {
	want := map[string]map[string]int{
		"khangai": {"generators": 10, "encoders": 3, "retrievers": 3, "rerankers": 3, "ledger": 3, "portal": 3, "cooperatives": 5, "shipping": 5},
		"corail":  {"generators": 10, "encoders": 3, "retrievers": 3, "rerankers": 3, "bookings": 3, "tickets": 3, "concessions": 4, "reminders": 5},
	}
	for name, sizes := range want {
		set, _ := Parse(readExample(t, name))
		got := map[string]int{}
		for service, endpoints := range NewIndex(set).ServiceEndpoints {
			got[service] = len(endpoints)
		}
		checkEqual(t, sizes, got)
		checkEqual(t, []int{3, 5}, []int{len(set.Domains), len(set.Accounts)})
	}
}

func TestKindExamples(t *testing.T) {
	for _, k := range bbline.Kinds {
		_, findings := Parse(k.Example)
		findings = slices.DeleteFunc(findings, func(f Finding) bool {
			return f.Check >= bbline.CheckUnknownDomain && f.Check <= bbline.CheckUnknownCall || f.Check == bbline.CheckNoDomain
		})
		if len(findings) > 0 {
			t.Errorf("%s: %v", k.Example, findings)
		}
	}
}

func TestIndex(t *testing.T) {
	set, _ := Parse(valid + "endpoint b service=s address=127.0.0.1:2 domain=d # x\nout d # x\n")
	x := NewIndex(set)
	checkEqual(t, []*Endpoint{&set.Endpoints[0], &set.Endpoints[1]}, x.ServiceEndpoints["s"])
	checkEqual(t, x.ServiceEndpoints["s"], x.DomainEndpoints["d"])
	checkEqual(t, &set.Calls[0], x.Call("s", "v1/do"))
	checkEqual(t, (*Call)(nil), x.Call("s", "v1/undo"))
	checkEqual(t, "r", x.Region("d"))
	checkEqual(t, true, x.IsOut(x.Endpoints["a"]))
}

func readExample(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(examples, name, "rules.txt"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func checkClean(t *testing.T, text string) {
	t.Helper()
	set, findings := Parse(text)
	for _, f := range findings {
		t.Error(f)
	}
	if set == nil {
		t.Error("no rule set")
	}
}

// checkFinds checks that the text is refused and that the wanted finding is among its findings,
// whatever its message.
func checkFinds(t *testing.T, text string, want Finding) {
	t.Helper()
	set, findings := Parse(text)
	if set != nil {
		t.Error("a rule set despite findings")
	}
	for i := range findings {
		if findings[i].Text == "" {
			t.Error("a finding without a message")
		}
		findings[i].Text = ""
	}
	if !slices.Contains(findings, want) {
		t.Errorf("want %+v among the findings %+v", want, findings)
	}
}

func checkEqual[T any](t *testing.T, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differs (-want +got):\n%s", diff)
	}
}

func checkGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, string(want), got)
}
