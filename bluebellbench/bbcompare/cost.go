package bbcompare

import (
	"context"
	"runtime"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellbench/bbslope"
	"bluebellhall/core/bbrule"

	"github.com/cockroachdb/errors"
)

// costDuration is the time over which the requests of one measured point are spread.
const costDuration = 3 * time.Second

// costRates are the loads of the measured points, in requests a second.
var costRates = []float64{25, 50, 100, 200}

// Costs measures how the processor time of the whole process, which includes the fake endpoints and the
// callers, grows with the number of requests: through the system and directly to the endpoints. The difference
// of the slopes is the cost of a request at the entry VMs.
func Costs(ctx context.Context, rules *bbrule.RuleSet, seed uint64) ([]bbslope.Slope, error) {
	rules = shrink(rules, 0)
	// Enough slots that no queue forms.
	for i := range rules.Endpoints {
		rules.Endpoints[i].WarmSlots = costSlots
	}
	var slopes []bbslope.Slope
	for _, c := range []struct {
		name  string
		size  string
		start func(*bbrule.RuleSet, uint64) (*side, error)
		kinds []bbload.Kind
	}{
		{"through the system", "calls", startSystem, calls(rules)},
		{"straight to the endpoints", "calls", startBaseline, calls(rules)},
		{"through the system", "pipeline requests", startSystem, pipelines(rules)},
		{"straight to the endpoints", "pipeline requests", startBaseline, pipelines(rules)},
	} {
		points, err := costPoints(ctx, rules, c.kinds, seed, c.start)
		if err != nil {
			return nil, err
		}
		name := "processor time of everything over sockets, " + c.name
		slopes = append(slopes, bbslope.Fit(name, "µs", c.size, points))
	}
	return slopes, nil
}

// costSlots is the number of slots of each endpoint.
const costSlots = 256

// calls returns the calls to plain services of the default mix.
func calls(rules *bbrule.RuleSet) []bbload.Kind {
	var kinds []bbload.Kind
	for _, k := range bbload.DefaultKinds(rules) {
		if k.Pipeline == "" {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// costPoints measures one side at all rates.
func costPoints(ctx context.Context, rules *bbrule.RuleSet, kinds []bbload.Kind, seed uint64, start func(*bbrule.RuleSet, uint64) (*side, error)) ([]bbslope.Point, error) {
	s, err := start(rules, seed)
	if err != nil {
		return nil, err
	}
	defer s.cleanup()
	var points []bbslope.Point
	// The first rate is measured twice: the first run is a warm-up and its result is dropped.
	for i, rate := range append(costRates[:1:1], costRates...) {
		load, err := bbload.Plan(bbload.PlanSettings{
			Seed:     seed + uint64(i),
			Rate:     rate,
			Duration: costDuration,
			Kinds:    kinds,
		})
		if err != nil {
			return nil, err
		}
		runtime.GC()
		before := bbslope.ProcessorTime()
		results := bbload.Run(ctx, bbload.RunSettings{Grace: grace}, load, s.send)
		spent := bbslope.ProcessorTime() - before
		if i == 0 {
			continue
		}
		if a := bbload.Summarize(results).Attainment(); a.InTime < a.Requests {
			return nil, errors.Newf("cost: %d of %d requests were answered in time", a.InTime, a.Requests)
		}
		points = append(points, bbslope.Point{
			Size: float64(len(load)),
			Cost: bbslope.Micros(spent),
		})
	}
	return points, ctx.Err()
}
