package bbexperiment

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbscene"
)

// Policy is a scheduling policy, expressed as a change of the orders that the coordinator receives.
type Policy struct {
	Name string
	// Change returns the order that is sent in place of o.
	Change func(o bbjob.Order) bbjob.Order
}

// Policies are the current policy and its baselines.
var Policies = []Policy{
	{
		Name:   "present",
		Change: func(o bbjob.Order) bbjob.Order { return o },
	},
	{
		// One priority for all and no objective before the limit: first come, first served.
		Name: "arrival",
		Change: func(o bbjob.Order) bbjob.Order {
			o.Priority = 0
			o.Objective = o.Limit
			return o
		},
	},
	{
		// Deadlines count, priorities don't.
		Name: "deadline",
		Change: func(o bbjob.Order) bbjob.Order {
			o.Priority = 0
			return o
		},
	},
}

// KindResult counts the requests of one kind by outcome.
type KindResult struct {
	Requests, OnTime, Late, Refused int
}

// Result is the result of one simulation.
type Result struct {
	Pattern, Policy string
	Load            float64
	Seed            uint64
	Kinds           map[string]KindResult
	// Worth is the value of all answers as a share of the value if every request were answered on time.
	Worth float64
	// BatchFill is the share of the batch capacity of all calls that was used. MissingInputs is the number
	// of pieces and engine requests whose inputs were no longer stored, StorageFull the number of pieces
	// whose results found no memory, both as a share of all pieces.
	BatchFill, MissingInputs, StorageFull float64
}

// drainTime is how long a simulation continues after the last arrival.
const drainTime = 20 * time.Second

// Simulate runs a pattern once under a policy, at a multiple of its load.
func Simulate(p Pattern, policy Policy, load float64, seed uint64) Result {
	scene := bbscene.New(p.scene())
	random := rand.New(rand.NewPCG(seed, 0))
	end := millis(p.DurationMs)
	orders := make(map[string]bbjob.Order)
	for _, k := range p.Kinds {
		number := 0
		burst := max(1, k.BurstSize)
		for at := time.Duration(0); ; {
			rate := k.PerSecond * load * p.rateFactor(k.Name, at) / float64(burst)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break
			}
			for range burst {
				number++
				o := policy.Change(k.order(number, p.Zones[number%len(p.Zones)], random.Float64))
				orders[o.ID] = o
				scene.Arrive(at, o)
			}
		}
	}
	for _, e := range p.Events {
		at := millis(e.AtMs)
		if e.Slow != "" {
			scene.At(at, func() { scene.SetSlowdown(e.Slow, e.Factor) })
			scene.At(at+millis(e.ForMs), func() { scene.SetSlowdown(e.Slow, 1) })
		}
		if e.Replace {
			scene.At(at, func() { replaceCoordinator(scene, orders) })
		}
	}
	scene.Run(end + drainTime)
	return p.result(scene, policy, load, seed)
}

// failoverDelay is the time from the loss of a coordinator until its requests reach its successor.
const failoverDelay = 100 * time.Millisecond

// replaceCoordinator substitutes a coordinator with empty state for the current one. The origins of requests
// in progress send them again, to the new coordinator, with the stage results that they know of.
func replaceCoordinator(s *bbscene.Scene, orders map[string]bbjob.Order) {
	s.Replace()
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		outcome := s.Outcomes[id]
		if outcome == nil || outcome.First > 0 || outcome.Refused != "" {
			continue
		}
		o := orders[id]
		elapsed := s.Now + failoverDelay - outcome.Arrived
		o.Objective -= elapsed
		o.Limit -= elapsed
		o.Results = s.KnownResults[id]
		if o.Limit > 0 {
			s.Arrive(s.Now+failoverDelay, o)
		}
	}
}

// rateFactor returns the factor by which events multiply the arrival rate of a kind at a time.
func (p Pattern) rateFactor(kind string, at time.Duration) float64 {
	factor := 1.0
	for _, e := range p.Events {
		during := at >= millis(e.AtMs) && at < millis(e.AtMs+e.ForMs)
		if during && e.Slow == "" && !e.Replace && (e.Kind == "" || e.Kind == kind) {
			factor *= e.Factor
		}
	}
	return factor
}

// result computes the result of a simulation.
func (p Pattern) result(s *bbscene.Scene, policy Policy, load float64, seed uint64) Result {
	r := Result{
		Pattern: p.Name,
		Policy:  policy.Name,
		Load:    load,
		Seed:    seed,
		Kinds:   make(map[string]KindResult),
	}
	earned, possible := 0.0, 0.0
	for _, k := range p.Kinds {
		var n KindResult
		for id, o := range s.Outcomes {
			if !strings.HasPrefix(id, k.Name+"-") {
				continue
			}
			n.Requests++
			switch {
			case o.OnTime(millis(k.ObjectiveMs)):
				n.OnTime++
			case o.First > 0 && o.First-o.Arrived <= millis(k.LimitMs):
				n.Late++
			case o.Refused != "":
				n.Refused++
			}
		}
		r.Kinds[k.Name] = n
		earned += k.Worth*float64(n.OnTime) + k.LateWorth*float64(n.Late)
		possible += k.Worth * float64(n.Requests)
	}
	r.Worth = earned / max(possible, 1e-9)
	pieces := float64(max(1, s.Totals.Pieces))
	r.BatchFill = pieces / max(1, float64(s.Totals.Capacity))
	r.MissingInputs = float64(s.Totals.MissingInputs) / pieces
	r.StorageFull = float64(s.Totals.StorageFull) / pieces
	return r
}
