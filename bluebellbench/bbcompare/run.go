package bbcompare

import (
	"context"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbrule"

	"golang.org/x/sync/errgroup"
)

const (
	// warmUpLoad and warmUpTime are the load, relative to the capacity, and its length before a measurement.
	warmUpLoad = 0.3
	warmUpTime = 2 * time.Second
	// grace is how long callers wait for answers after their deadlines.
	grace = time.Second
	// idleTimeout bounds the wait for endpoints that still work on requests whose callers have left.
	idleTimeout      = 3 * time.Second
	idlePollInterval = 5 * time.Millisecond
)

// Pair has the results of both sides in a scenario.
type Pair struct {
	Scenario Scenario
	System   Measures
	Baseline Measures
}

// Run measures both sides in a scenario. They run at the same time, each with its own fake endpoints, so that
// other load on the machine affects both alike.
func Run(ctx context.Context, rules *bbrule.RuleSet, scenario Scenario, seed uint64) (Pair, error) {
	rules = shrink(rules, scenario.Deadline)
	pair := Pair{Scenario: scenario}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		var err error
		pair.System, err = runSide(ctx, rules, scenario, seed, startSystem)
		return err
	})
	group.Go(func() error {
		var err error
		pair.Baseline, err = runSide(ctx, rules, scenario, seed, startBaseline)
		return err
	})
	return pair, group.Wait()
}

// runSide starts one side, warms it up and measures it.
func runSide(ctx context.Context, rules *bbrule.RuleSet, scenario Scenario, seed uint64, start func(*bbrule.RuleSet, uint64) (*side, error)) (Measures, error) {
	plans, err := plan(rules, scenario, seed)
	if err != nil {
		return Measures{}, err
	}
	s, err := start(rules, seed)
	if err != nil {
		return Measures{}, err
	}
	defer s.cleanup()
	settings := bbload.RunSettings{Grace: grace}
	bbload.Run(ctx, settings, plans.warmUp, s.send)
	waitIdle(ctx, s)
	before := countsOf(s)
	begin := time.Now()
	stopSteps := schedule(s.fleet, scenario)
	results := bbload.Run(ctx, settings, plans.load, s.send)
	stopSteps()
	waitIdle(ctx, s)
	return measure(s, scenario, before, begin, results), ctx.Err()
}

// plans has the requests of the warm-up and of the measurement.
type plans struct {
	warmUp []bbload.Request
	load   []bbload.Request
}

func plan(rules *bbrule.RuleSet, scenario Scenario, seed uint64) (plans, error) {
	kinds := bbload.DefaultKinds(rules)
	warmUp, err := bbload.Plan(bbload.PlanSettings{
		Seed:     seed + 1,
		Rate:     warmUpLoad * Capacity(rules, kinds),
		Duration: warmUpTime,
		Kinds:    kinds,
	})
	if err != nil {
		return plans{}, err
	}
	if scenario.Kinds != nil {
		kinds = scenario.Kinds(rules)
	}
	load, err := bbload.Plan(bbload.PlanSettings{
		Seed:     seed,
		Rate:     scenario.Load * Capacity(rules, kinds),
		Duration: scenario.Duration,
		Kinds:    kinds,
	})
	return plans{
		warmUp: warmUp,
		load:   load,
	}, err
}

// schedule sets timers for the faults of a scenario; the returned function stops those that have not fired.
func schedule(f *bbfleet.Fleet, scenario Scenario) func() {
	var timers []*time.Timer
	for _, step := range scenario.Steps {
		timers = append(timers, time.AfterFunc(step.At, func() { step.Do(f) }))
	}
	if o := scenario.Outage; o != nil {
		domain := f.Rules.Domains[outageDomain].Name
		timers = append(timers,
			time.AfterFunc(o.Start, func() { f.SetOut(domain, true) }),
			time.AfterFunc(o.End, func() { f.SetOut(domain, false) }))
	}
	return func() {
		for _, t := range timers {
			t.Stop()
		}
	}
}

// waitIdle waits until no endpoint has work, for at most idleTimeout.
func waitIdle(ctx context.Context, s *side) {
	for end := time.Now().Add(idleTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(idlePollInterval) {
		if idle(s.fleet) {
			return
		}
	}
}

func idle(f *bbfleet.Fleet) bool {
	for _, e := range f.Endpoints {
		if e.InFlight() > 0 {
			return false
		}
	}
	return true
}
