package bborder

import (
	"slices"
	"time"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
)

const (
	// shortUse is the utilization of its slots from which a model counts as short of capacity.
	shortUse = 0.9
	// spareUse is the maximum utilization of a model that would remain after it lost an endpoint.
	spareUse = 0.5
)

// usage is the capacity of a model and the demand for it.
type usage struct {
	// slots is the sum of the warm slots of the endpoints that have the model, and
	// endpoints their number.
	slots     int
	endpoints int
	// demand is the number of requests in flight and queued on these endpoints, queued that of the
	// queued ones alone.
	demand int
	queued int
}

// Tick returns the next order to load a model, if one is due: at most one per call, within this
// node's share of the rate of the weight store.
func (t *Table) Tick(now time.Duration, v View) []bbmsg.Output {
	t.expire(now)
	t.accrueBudget(now, v)
	uses := usageByModel(v.Rows)
	t.noteShort(now, v, uses)
	for _, r := range v.Rows {
		model := t.wanted(now, v, uses, r)
		if model == "" || !t.affords(v, model) {
			continue
		}
		outputs := t.Give(now, v, r, bbmsg.OrderLoad, model)
		if outputs != nil {
			t.loadBudget -= float64(weight(v, model))
			return outputs
		}
	}
	return nil
}

// expire drops orders whose result has not arrived in time. The loads are then decided anew.
func (t *Table) expire(now time.Duration) {
	for name, o := range t.Open {
		if now >= o.Until {
			delete(t.Open, name)
		}
	}
}

// accrueBudget adds to the bytes that may be loaded, up to the size of the largest model.
func (t *Table) accrueBudget(now time.Duration, v View) {
	if t.started {
		share := float64(v.Rate) / float64(max(v.Owners, 1))
		t.loadBudget += share * (now - t.budgetUpdatedAt).Seconds()
	}
	t.started = true
	t.budgetUpdatedAt = now
	largest := int64(0)
	for _, m := range v.Models {
		largest = max(largest, m.WeightBytes)
	}
	t.loadBudget = min(t.loadBudget, float64(largest))
}

func (t *Table) affords(v View, model string) bool {
	return v.Rate > 0 && t.loadBudget >= float64(weight(v, model))
}

func weight(v View, model string) int64 {
	for _, m := range v.Models {
		if m.Name == model {
			return m.WeightBytes
		}
	}
	return 0
}

// usable reports whether an endpoint accepts new work.
func usable(r Row) bool {
	return r.Digest.State != bbmsg.StateOut && r.Digest.State != bbmsg.StateLeaving
}

func usageByModel(rows []Row) map[string]usage {
	uses := map[string]usage{}
	for _, r := range rows {
		if r.Digest.Model == "" || !usable(r) {
			continue
		}
		u := uses[r.Digest.Model]
		u.slots += r.Rule.WarmSlots
		u.endpoints++
		u.demand += r.Digest.InFlight + r.Digest.Queued
		u.queued += r.Digest.Queued
		uses[r.Digest.Model] = u
	}
	return uses
}

func (u usage) short() bool {
	return u.endpoints == 0 || u.queued > 0 && float64(u.demand) >= shortUse*float64(u.slots)
}

// spare reports whether the model can do without a number of its slots.
func (u usage) spare(slots int) bool {
	return u.endpoints > 1 && float64(u.demand) <= spareUse*float64(u.slots-slots)
}

// noteShort records since when each wanted model has been short of capacity.
func (t *Table) noteShort(now time.Duration, v View, uses map[string]usage) {
	for model := range t.shortSince {
		if !slices.Contains(v.Wanted, model) || !uses[model].short() {
			delete(t.shortSince, model)
		}
	}
	for _, model := range v.Wanted {
		if _, noted := t.shortSince[model]; !noted && uses[model].short() {
			t.shortSince[model] = now
		}
	}
}

// wanted returns the model that an endpoint of this node should load, or "". An endpoint with
// no model loads that of its rule. One with a model switches to a model that has been
// short for ShortTime if it is idle, its own model can spare it, and it ranks first
// among the endpoints of which this is true, so that only one endpoint switches at a time.
func (t *Table) wanted(now time.Duration, v View, uses map[string]usage, r Row) string {
	if !r.Owned || !r.Reported || !usable(r) {
		return ""
	}
	if r.Digest.Model == "" {
		return r.Rule.Model
	}
	for _, model := range v.Wanted {
		since, short := t.shortSince[model]
		if !short || now-since < t.settings.ShortTime {
			continue
		}
		if yieldCandidate(v.Rows, uses, model) == r.Rule.Name {
			return model
		}
	}
	return ""
}

// yieldCandidate returns the name of the endpoint that should switch to a model, or "". Endpoints
// whose rule names the model have precedence.
func yieldCandidate(rows []Row, uses map[string]usage, model string) string {
	best := ""
	var bestScore uint64
	bestHome := false
	for _, r := range rows {
		if !canYield(r, uses, model) {
			continue
		}
		home := r.Rule.Model == model
		score := bbhash.Score(bbhash.Name(r.Rule.Name), bbhash.Name(model))
		if best == "" || home && !bestHome || home == bestHome && score > bestScore {
			best = r.Rule.Name
			bestScore = score
			bestHome = home
		}
	}
	return best
}

// canYield reports whether an endpoint is idle and its model can spare it for another one.
func canYield(r Row, uses map[string]usage, model string) bool {
	own := r.Digest.Model
	if own == "" || own == model || !usable(r) {
		return false
	}
	if r.Digest.InFlight+r.Digest.Queued > 0 {
		return false
	}
	return uses[own].spare(r.Rule.WarmSlots)
}
