package bbcompare

import (
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbrule"
)

// Scenario is a load with faults.
type Scenario struct {
	// Name selects the scenario on the command line; Title is its heading in reports.
	Name  string
	Title string
	// Load is the request rate relative to the capacity of the engines.
	Load float64
	// Duration is the time over which the requests are spread.
	Duration time.Duration
	// Deadline replaces the deadlines of all pipelines; 0 keeps those of the rules.
	Deadline time.Duration
	// Kinds returns the mix of requests; nil means bbload.DefaultKinds.
	Kinds func(*bbrule.RuleSet) []bbload.Kind
	// Steps are the faults, sorted by time.
	Steps []Step
	// Outage is set if a failure domain is taken out of service and brought back.
	Outage *Outage
}

// Step is a fault at a time after the start of the load.
type Step struct {
	At time.Duration
	Do func(*bbfleet.Fleet)
}

// Outage is the time, after the start of the load, during which the second failure domain of the rules
// is out of service.
type Outage struct {
	Start time.Duration
	End   time.Duration
}

const (
	// usualDuration is the duration of most scenarios.
	usualDuration = 3 * time.Second
	// faultTime is the time of most faults after the start of the load.
	faultTime = time.Second
	// poison is a text in prompts that crashes engines.
	poison = "poison-7"
)

// Scenarios returns all scenarios in the order of the report.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Title: "Steady load", Load: 0.4, Duration: usualDuration},
		{Name: "overload0.5", Title: "Load of 0.5 times the capacity", Load: 0.5, Duration: usualDuration, Kinds: pipelines, Deadline: overloadDeadline},
		{Name: "overload1", Title: "Load of the capacity", Load: 1, Duration: usualDuration, Kinds: pipelines, Deadline: overloadDeadline},
		{Name: "overload2", Title: "Load of 2 times the capacity", Load: 2, Duration: usualDuration, Kinds: pipelines, Deadline: overloadDeadline},
		{Name: "overload4", Title: "Load of 4 times the capacity", Load: 4, Duration: usualDuration, Kinds: pipelines, Deadline: overloadDeadline},
		{Name: "accounts", Title: "One large account among small ones, 2 times the capacity", Load: 2, Duration: usualDuration, Kinds: oneLargeAccount, Deadline: overloadDeadline},
		{Name: "cold", Title: "Everything turns cold at once", Load: 0.4, Duration: usualDuration, Steps: []Step{
			{At: faultTime, Do: turnAllCold},
		}},
		{Name: "domain", Title: "A failure domain is taken out of service and brought back", Load: 0.4, Duration: 5 * time.Second, Outage: &Outage{
			Start: faultTime,
			End:   3500 * time.Millisecond,
		}},
		{Name: "killed", Title: "Endpoints are killed", Load: 0.4, Duration: usualDuration, Steps: []Step{
			{At: faultTime, Do: crashFirstEndpoints},
		}},
		{Name: "silent", Title: "All open connections to endpoints go silent", Load: 0.4, Duration: usualDuration, Steps: []Step{
			{At: faultTime, Do: silenceConnections},
		}},
		{Name: "poison", Title: "A request that crashes endpoints is sent repeatedly", Load: 0.4, Duration: usualDuration, Kinds: withPoison, Steps: []Step{
			{At: 0, Do: crashOnPoison},
		}},
		{Name: "lostAnswers", Title: "Answers of plain services are lost after the run", Load: 0.4, Duration: usualDuration, Steps: []Step{
			{At: faultTime, Do: loseSomeAnswers},
		}},
	}
}

// pipelines returns the pipelines of the default mix.
func pipelines(rules *bbrule.RuleSet) []bbload.Kind {
	var kinds []bbload.Kind
	for _, k := range bbload.DefaultKinds(rules) {
		if k.Pipeline != "" {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// The weights of the accounts' requests in the mix of oneLargeAccount.
const (
	largeShare = 40
	smallShare = 1
)

// oneLargeAccount returns pipelines with most of the requests from the first account.
func oneLargeAccount(rules *bbrule.RuleSet) []bbload.Kind {
	kinds := pipelines(rules)
	for i := range kinds {
		kinds[i].Weight = smallShare
		if kinds[i].Account == rules.Accounts[0].Name {
			kinds[i].Weight = largeShare
		}
	}
	return kinds
}

// poisonShare is the weight of the requests that crash engines.
const poisonShare = 10

// withPoison returns the default mix and requests with equal content that crash engines.
func withPoison(rules *bbrule.RuleSet) []bbload.Kind {
	kinds := bbload.DefaultKinds(rules)
	bad := pipelines(rules)[0]
	bad.Name = "poison"
	bad.Weight = poisonShare
	bad.Mark = poison
	bad.SameContent = true
	return append(kinds, bad)
}

func turnAllCold(f *bbfleet.Fleet) {
	for _, e := range f.Endpoints {
		e.TurnCold()
	}
}

// lostAnswerShare is the share of the answers of plain services that are lost.
const lostAnswerShare = 0.3

// loseSomeAnswers makes plain services drop the answers to a share of their calls after running them.
func loseSomeAnswers(f *bbfleet.Fleet) {
	share := lostAnswerShare
	for _, p := range f.Pools {
		p.Apply(bbendpoint.Faults{LoseShare: &share})
	}
}

func silenceConnections(f *bbfleet.Fleet) {
	for _, e := range f.Endpoints {
		e.Apply(bbendpoint.Faults{Silent: true})
	}
}

// crashFirstEndpoints crashes the first endpoint of each service.
func crashFirstEndpoints(f *bbfleet.Fleet) {
	seen := map[string]bool{}
	for _, e := range f.Rules.Endpoints {
		if !seen[e.Service] {
			f.Endpoints[e.Name].Crash()
		}
		seen[e.Service] = true
	}
}

func crashOnPoison(f *bbfleet.Fleet) {
	text := poison
	for _, e := range f.Engines {
		e.Apply(bbendpoint.Faults{KillOn: &text})
	}
}
