// Package bbcompare measures the system beside the naive baseline: the same load with
// the same seed against equal stand-ins over loopback, under the same faults.
package bbcompare

import (
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbrule"
)

// The sizes of the stand-ins. They are so small that the endpoints, not the machine
// that runs all of this, are the bottleneck.
const (
	engineSlots = 4
	// baseStepMicros and streamStepMicros are the times of an engine's step.
	baseStepMicros   = 20_000
	streamStepMicros = 1_000
	serviceMillis    = 5
	restartMillis    = 300
	reportLagMillis  = 300
	memberLagMillis  = 300
	// overloadDeadline replaces the deadlines of pipelines where queues are measured: a
	// load that is shorter than its deadlines would fit into them.
	overloadDeadline = 2 * time.Second
)

// entryVMs is the number of entry VMs of the system.
const entryVMs = 7

// shrink returns rules with the sizes of the stand-ins, and with another deadline for all
// pipelines unless that is 0.
func shrink(rules *bbrule.RuleSet, deadline time.Duration) *bbrule.RuleSet {
	small := *rules
	small.Endpoints = append([]bbrule.Endpoint(nil), rules.Endpoints...)
	for i := range small.Endpoints {
		if e := &small.Endpoints[i]; e.Model != "" {
			e.WarmSlots = engineSlots
			e.ColdSlots = min(e.ColdSlots, engineSlots)
		}
	}
	small.Pipelines = append([]bbrule.Pipeline(nil), rules.Pipelines...)
	for i := range small.Pipelines {
		if deadline > 0 {
			small.Pipelines[i].Deadline = deadline
		}
	}
	return &small
}

// fleetSettings returns the settings of the stand-ins.
func fleetSettings(seed uint64) bbfleet.Settings {
	return bbfleet.Settings{
		Platform: bbfleet.PlatformSettings{
			MemberLagMillis: memberLagMillis,
		},
		Endpoints: bbfleet.EndpointSettings{
			StartWarm:        true,
			RestartMillis:    restartMillis,
			ReportLagMillis:  reportLagMillis,
			BaseStepMicros:   baseStepMicros,
			StreamStepMicros: streamStepMicros,
			ServiceMillis:    serviceMillis,
		},
		FreePorts: true,
		Seed:      seed,
	}
}

// entryDomains spreads the entry VMs over the failure domains.
func entryDomains(rules *bbrule.RuleSet) []string {
	domains := make([]string, entryVMs)
	for i := range domains {
		domains[i] = rules.Domains[i%len(rules.Domains)].Name
	}
	return domains
}

// Capacity returns the rate of a mix, in requests a second, at which the engines of its
// busiest model are full.
func Capacity(rules *bbrule.RuleSet, kinds []bbload.Kind) float64 {
	step := time.Duration(baseStepMicros+engineSlots*streamStepMicros) * time.Microsecond
	slots := map[string]int{}
	for _, e := range rules.Endpoints {
		slots[e.Model] += e.WarmSlots
	}
	total := 0
	// work is the time of a slot that a request of the mix takes, by model.
	work := map[string]time.Duration{}
	for _, k := range kinds {
		total += k.Weight
		if k.Model != "" {
			work[k.Model] += time.Duration(k.Weight*k.MaxTokens) * step
		}
	}
	capacity := 0.0
	for model, w := range work {
		rate := float64(slots[model]) * float64(total) / w.Seconds()
		if capacity == 0 || rate < capacity {
			capacity = rate
		}
	}
	return capacity
}
