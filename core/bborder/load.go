package bborder

import (
	"slices"
	"time"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
)

const (
	// shortUse is the share of its slots that a model uses when it is short of capacity.
	shortUse = 0.9
	// spareUse is the share that a model may use at most after an endpoint has left it.
	spareUse = 0.5
)

// use is how much of its capacity a model uses.
type usage struct {
	// slots is the sum of the warm slots of the endpoints that have the model, and
	// endpoints their number.
	slots     int
	endpoints int
	// demand is the number of requests in flight and waiting there.
	demand int
	queued int
}

// Tick returns due orders to load models: at most one each time, within this node's
// share of the rate of the weight store.
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

// expire gives up orders whose answer has not come. Loads are then decided anew.
func (t *Table) expire(now time.Duration) {
	for name, o := range t.Open {
		if now >= o.Until {
			delete(t.Open, name)
		}
	}
}

// save adds to what may be loaded, up to the largest model.
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

// usable returns true for endpoints that get new work.
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

// spare returns true when the model does without a number of its slots.
func (u usage) spare(slots int) bool {
	return u.endpoints > 1 && float64(u.demand) <= spareUse*float64(u.slots-slots)
}

// noteShort follows since when each wanted model is short.
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

// wanted returns the model that an endpoint of this node should load, or "". One with
// no model gets that of its rule. One with a model gives way to a model that has been
// short for a while if it is idle, its own model can spare it, and it ranks first
// among those of which this is true, so that only one endpoint changes at a time.
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

// first returns the name of the endpoint that gives way to a model, or "". Endpoints
// whose rule names the model go first.
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

// gives returns true when an endpoint can give way to a model.
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
