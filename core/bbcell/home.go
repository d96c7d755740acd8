package bbcell

import (
	"maps"
	"slices"
	"time"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbplacement"
)

// reuseShare is the part of requests whose own part of the prompt an engine still keeps when
// they meet it: about a third on the users' sheets.
const reuseShare = 0.33

// Home returns the failure domain whose cell should take an order that arrived in another one.
// Requests that share their last part meet in one cell, so that its engines keep what was read:
// in one of the whole fleet where that saves more than the way there costs, else in one of the
// region. Serves tells whether a failure domain may serve the order; if none does, it is that of
// the arrival.
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

// gain is what it is expected to save that requests with a part meet.
func expectedSaving(p bbjob.Part) time.Duration {
	return time.Duration(reuseShare * float64(bbplacement.RecomputeCost(p.Tokens)))
}
