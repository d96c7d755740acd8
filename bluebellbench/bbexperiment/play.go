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

// Policy is how requests are told to the coordinator.
type Policy struct {
	Name string
	// Change changes an order before it is sent.
	Change func(o bbjob.Order) bbjob.Order
}

// Policies are the present policy and its baselines.
var Policies = []Policy{
	{
		Name:   "present",
		Change: func(o bbjob.Order) bbjob.Order { return o },
	},
	{
		// All are alike and nothing is too late: first come, first served.
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

// KindResult is what became of the requests of one kind.
type KindResult struct {
	Requests, OnTime, Late, Refused int
}

// Result is what became of one play.
type Result struct {
	Pattern, Policy string
	Load            float64
	Seed            uint64
	Kinds           map[string]KindResult
	// Worth is what was earned of what could be.
	Worth float64
	// Fill is the share of the places of calls that were used; Gone and NoRoom are pieces that
	// were not made for want of inputs or room, as a share of all.
	BatchFill, MissingInputs, StorageFull float64
}

// settleTime is how long a scene goes on after the last arrival.
const drainTime = 20 * time.Second

// Play plays a pattern once.
func Simulate(p Pattern, policy Policy, load float64, seed uint64) Result {
	scene := bbscene.New(p.scene())
	random := rand.New(rand.NewPCG(seed, 0))
	end := millis(p.DurationMs)
	orders := make(map[string]bbjob.Order)
	for _, k := range p.Kinds {
		number := 0
		clump := max(1, k.BurstSize)
		for at := time.Duration(0); ; {
			rate := k.PerSecond * load * p.rateFactor(k.Name, at) / float64(clump)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break
			}
			for range clump {
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

// handoverTime is how long after the loss of a coordinator its requests reach the next one.
const failoverDelay = 100 * time.Millisecond

// replace puts another coordinator in the place of the present one, to which the origins of
// requests in progress turn with what they know.
func replaceCoordinator(s *bbscene.Scene, orders map[string]bbjob.Order) {
	s.Replace()
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		done := s.Outcomes[id]
		if done == nil || done.First > 0 || done.Refused != "" {
			continue
		}
		o := orders[id]
		passed := s.Now + failoverDelay - done.Arrived
		o.Objective -= passed
		o.Limit -= passed
		o.Results = s.KnownResults[id]
		if o.Limit > 0 {
			s.Arrive(s.Now+failoverDelay, o)
		}
	}
}

// factor returns how many times as many requests of a kind arrive at a time.
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

// result sums up a play.
func (p Pattern) result(s *bbscene.Scene, policy Policy, load float64, seed uint64) Result {
	r := Result{
		Pattern: p.Name,
		Policy:  policy.Name,
		Load:    load,
		Seed:    seed,
		Kinds:   make(map[string]KindResult),
	}
	earned, owed := 0.0, 0.0
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
		owed += k.Worth * float64(n.Requests)
	}
	r.Worth = earned / max(owed, 1e-9)
	pieces := float64(max(1, s.Totals.Pieces))
	r.BatchFill = pieces / max(1, float64(s.Totals.Capacity))
	r.MissingInputs = float64(s.Totals.MissingInputs) / pieces
	r.StorageFull = float64(s.Totals.StorageFull) / pieces
	return r
}
