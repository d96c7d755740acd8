// Package bbcompare measures the system and the naive baseline under the same load and faults, with the same
// seed, each against fake endpoints with the same settings over loopback.
package bbcompare

import (
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbfleet"
	"bluebellhall/core/bbrule"
)

// The sizes of the fake endpoints. They are so small that the endpoints are the bottleneck and not the
// machine that runs everything.
const (
	engineSlots = 4
	// baseStepMicros is the time of an engine's step, to which streamStepMicros is added for each stream.
	baseStepMicros   = 20_000
	streamStepMicros = 1_000
	serviceMillis    = 5
	restartMillis    = 300
	reportLagMillis  = 300
	memberLagMillis  = 300
	// overloadDeadline replaces the deadlines of pipelines in scenarios that measure queues: with deadlines
	// longer than the load, the backlog could still be served within them.
	overloadDeadline = 2 * time.Second
)

// entryVMs is the number of entry VMs of the system.
const entryVMs = 7

// shrink returns a copy of rules with the engines' slots reduced to engineSlots, and with the given
// deadline for all pipelines unless it is 0.
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

// fleetSettings returns the settings of the fake platform and endpoints.
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

// entryDomains returns the failure domain of each entry VM, assigned round-robin.
func entryDomains(rules *bbrule.RuleSet) []string {
	domains := make([]string, entryVMs)
	for i := range domains {
		domains[i] = rules.Domains[i%len(rules.Domains)].Name
	}
	return domains
}

// Capacity returns the rate of a mix, in requests a second, at which all slots of the model that is the
// bottleneck are busy.
func Capacity(rules *bbrule.RuleSet, kinds []bbload.Kind) float64 {
	step := time.Duration(baseStepMicros+engineSlots*streamStepMicros) * time.Microsecond
	slots := map[string]int{}
	for _, e := range rules.Endpoints {
		slots[e.Model] += e.WarmSlots
	}
	total := 0
	// work is the slot time that the requests of the mix need, by model.
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
