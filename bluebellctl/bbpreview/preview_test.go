package bbpreview

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"
)

const text = `domain d region=r # x
domain e region=r # x
service s kind=pool # x
service g kind=engine # x
model m weight=1B # x
endpoint s1 service=s address=127.0.0.1:1 domain=d warm=4 # x
endpoint s2 service=s address=127.0.0.1:2 domain=e warm=3 cold=2 # x
endpoint g1 service=g model=m address=127.0.0.1:3 domain=d # x
endpoint g2 service=g address=127.0.0.1:4 domain=e # x
model n weight=1B # x
pipeline p stages=s/a,g@m # x
pipeline q stages=g@n # x
`

func TestDrain(t *testing.T) {
	before := parse(t, text)
	after, err := WithDomainOut(before, "d", true)
	if err != nil {
		t.Fatal(err)
	}
	statuses := []*bbmsg.Status{{Endpoints: []bbmsg.EndpointDigest{{Name: "s1", InFlight: 2, Queued: 1}, {Name: "s2", InFlight: 2}}}}
	want := Preview{
		Services: []ServiceChange{
			{Service: "s", Leaving: []string{"s1"}, EndpointsBefore: 2, EndpointsAfter: 1, SlotsBefore: 7, SlotsAfter: 3, Busy: 5, Moving: 3},
			{Service: "g", Leaving: []string{"g1"}, EndpointsBefore: 2, EndpointsAfter: 1, SlotsBefore: 16, SlotsAfter: 8},
		},
		Findings: []string{
			"service s has 5 requests and would have 3 slots",
			"pipeline p: stage 2 has no endpoint left that is declared for it",
		},
	}
	checkEqual(t, want, Compare(before, after, statuses))
}

func TestReturn(t *testing.T) {
	before := parse(t, text+"out e # x\n")
	after, err := WithDomainOut(before, "e", false)
	if err != nil {
		t.Fatal(err)
	}
	want := Preview{
		Services: []ServiceChange{
			{Service: "s", Joining: []string{"s2"}, EndpointsBefore: 1, EndpointsAfter: 2, SlotsBefore: 4, SlotsAfter: 7, ColdSlots: 2, Busy: -1, Moving: -1},
			{Service: "g", Joining: []string{"g2"}, EndpointsBefore: 1, EndpointsAfter: 2, SlotsBefore: 8, SlotsAfter: 16, ColdSlots: 1, Busy: -1, Moving: -1},
		},
	}
	checkEqual(t, want, Compare(before, after, nil))
	back := Compare(after, before, nil)
	checkEqual(t, []string{"s2"}, back.Services[0].Leaving)
}

func TestLastEndpoint(t *testing.T) {
	preview := Compare(parse(t, text+"out e # x\n"), parse(t, text+"out d # x\nout e # x\n"), nil)
	checkEqual(t, []string{
		"service s has no endpoint left",
		"service g has no endpoint left",
		"pipeline p: stage 1 has no endpoint left that is declared for it",
		"pipeline p: stage 2 has no endpoint left that is declared for it",
	}, preview.Findings)
}

func TestNothingChanges(t *testing.T) {
	checkEqual(t, Preview{Services: []ServiceChange{}}, Compare(parse(t, text), parse(t, text+"account a # x\n"), nil))
}

func TestWithDomainRefuses(t *testing.T) {
	for domain, out := range map[string]bool{"d": false, "z": true} {
		if _, err := WithDomainOut(parse(t, text), domain, out); err == nil {
			t.Errorf("%s was changed", domain)
		}
	}
}

// TestEveryDomainOfTheExamplesCanLeave keeps the examples fit for their deployments.
func TestEveryDomainOfTheExamplesCanLeave(t *testing.T) {
	for _, name := range []string{"khangai", "corail"} {
		content, err := os.ReadFile("../../examples/" + name + "/rules.txt")
		if err != nil {
			t.Fatal(err)
		}
		before := parse(t, string(content))
		for _, d := range before.Domains {
			after, err := WithDomainOut(before, d.Name, true)
			if err != nil {
				t.Fatal(err)
			}
			checkEqual(t, nil, Compare(before, after, nil).Findings)
		}
	}
}

func parse(t *testing.T, text string) *bbrule.RuleSet {
	t.Helper()
	set, findings := bbrule.Parse(text)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	return set
}

func checkEqual[T any](t *testing.T, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differs (-want +got):\n%s", diff)
	}
}
