package bbcell

import (
	"maps"
	"slices"
	"time"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbplacement"
)

// reuseShare is the fraction of requests whose own part of the prompt is still in an engine's prefix cache
// if they are sent to the same cell: about a third by the deployment specifications.
const reuseShare = 0.33

// Home returns the failure domain whose cell should process an order that arrived in any failure domain.
// Orders with the same last prompt part get the same home, so that its engines have the prefix cached: one
// out of the whole fleet if the expected saving exceeds the cost of another region or if none in the region
// of arrival can serve the order, else one out of that region. Orders without a prompt stay where they
// arrived if they can be served there. Serves reports whether a failure domain can serve the order; if none
// can, Home returns that of the arrival.
func Home(o bbjob.Order, regions map[string]string, serves func(zone string) bool) string {
	var near, all []string
	for _, zone := range slices.Sorted(maps.Keys(regions)) {
		if !serves(zone) {
			continue
		}
		all = append(all, zone)
		if regions[zone] == o.Region {
			near = append(near, zone)
		}
	}
	parts := o.Prompt.Parts
	if len(parts) == 0 {
		if slices.Contains(near, o.Zone) {
			return o.Zone
		}
		parts = []bbjob.Part{{ID: o.ID}}
	}
	last := parts[len(parts)-1]
	if len(near) == 0 || expectedSaving(last) > bbplacement.CrossRegionCost(o.BodyBytes) {
		near = all
	}
	if home, ok := bbhash.Pick(near, last.ID); ok {
		return home
	}
	return o.Zone
}

// expectedSaving is the expected prefill time saved if orders with the same last part share a cell.
func expectedSaving(p bbjob.Part) time.Duration {
	return time.Duration(reuseShare * float64(bbplacement.RecomputeCost(p.Tokens)))
}
