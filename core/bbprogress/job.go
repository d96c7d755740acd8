// Package bbprogress is how far a request is on its way through its stages to an engine: the
// pieces that are made, in work or lost, and what may begin next.
package bbprogress

import (
	"time"

	"bluebellhall/core/bbjob"
)

// Piece is how far a piece of a stage is.
type Piece struct {
	// Handle names the result once it is made.
	Handle string
	// Maker and address are those of the endpoint that keeps the result.
	Producer string
	Address  string
	Zone     string
	// Expires is when its maker gives the result up; 0 if that is not known.
	Expires time.Duration
	// MadeAt is when the result was made, or taken over from a former coordinator.
	CompletedAt time.Duration
	// Freed is true once the result was given up.
	Freed bool
	// Tries counts the calls that the piece was in.
	Tries int
	// Queued is true while the piece waits in a pool, Calls counts the calls in progress
	// that it is in and that are not late.
	Queued bool
	Calls  int
	// Fetched is true once an endpoint that works on the piece should have its inputs.
	Fetched bool
}

// Wanted tells whether the piece has to be put into its pool.
func (p *Piece) Wanted() bool {
	return p.Handle == "" && !p.Queued && p.Calls == 0
}

// Stage is how far a stage is.
type Stage struct {
	Pieces []Piece
	// Released is true once the pieces were put into the pool; it is taken back when they
	// have to be made again.
	Released bool
	// Left counts the pieces without a result.
	Left int
}

// Job is a request in progress.
type Job struct {
	Order bbjob.Order
	// Content is a number for what the order asks.
	Content uint64
	// Arrived, due and limit are by the steady clock of this VM.
	Arrived time.Duration
	Due     time.Duration
	Limit   time.Duration
	// Objective is the time that the request had to be on time when it arrived.
	Objective time.Duration
	Stages    []Stage
	// Granted is the engine that the request was granted; empty if none.
	Granted string
	// GrantedAt is when that was.
	GrantedAt time.Duration
	// Estimated is when the first token was expected at arrival, before any correction.
	Estimated time.Duration
	// Started is true once the first token was made.
	Started bool
	// Returning is true when the caller has asked before.
	Returning bool
	// Repeated is true when the next grant is not the first.
	Repeated bool
	// Untold are the stages whose results were given up since the origin was last told.
	UnreportedFreed []int
	// Wish is the failure domain of the engine that would suit best at arrival.
	PreferredZone string
	// Tails has for each stage the time from its start to the first token, as it usually
	// takes.
	StageToFirstToken []time.Duration
}

// NewJob returns the state of an order that has just arrived.
func NewJob(now time.Duration, o bbjob.Order) *Job {
	j := &Job{
		Order:             o,
		Content:           o.Content(),
		Arrived:           now,
		Due:               now + o.Objective - o.Elapsed,
		Limit:             now + o.Limit,
		Objective:         o.Objective,
		Stages:            make([]Stage, len(o.Stages)),
		StageToFirstToken: make([]time.Duration, len(o.Stages)),
		Repeated:          o.Repeat,
		Returning:         o.Elapsed > 0,
	}
	for i, s := range o.Stages {
		j.Stages[i] = Stage{
			Pieces: make([]Piece, s.Pieces),
			Left:   s.Pieces,
		}
	}
	return j
}

// InCalls tells whether an endpoint works on the request.
func (j *Job) InCalls() bool {
	for i := range j.Stages {
		for k := range j.Stages[i].Pieces {
			if j.Stages[i].Pieces[k].Calls > 0 {
				return true
			}
		}
	}
	return false
}

// LoseFinals gives up those inputs of the engine of which a function is true. It tells
// whether there are any.
func (j *Job) InvalidateEngineInputs(gone func(p *Piece) bool) bool {
	some := false
	for i := range j.Stages {
		if !j.FeedsEngineOnly(i) {
			continue
		}
		for k := range j.Stages[i].Pieces {
			p := &j.Stages[i].Pieces[k]
			if p.Handle != "" && !p.Freed && gone(p) {
				p.Freed = true
				some = true
			}
		}
	}
	return some
}

// Ready tells whether all results that a stage needs are there.
func (j *Job) Ready(stage int) bool {
	for _, before := range j.Order.Stages[stage].After {
		if j.Stages[before].Left > 0 {
			return false
		}
	}
	return true
}

// Done tells whether the engine has all that it needs. Stages whose results were used may
// be lost again.
func (j *Job) Done() bool {
	for i := range j.Stages {
		if j.Stages[i].Left > 0 && j.FeedsEngineOnly(i) {
			return false
		}
	}
	return true
}

// Needed tells whether the results of a stage are still of use: to the engine, or to a stage
// that isn't done.
func (j *Job) Needed(stage int) bool {
	if j.FeedsEngineOnly(stage) {
		return true
	}
	for i, s := range j.Order.Stages {
		for _, before := range s.After {
			if before == stage && j.Stages[i].Left > 0 {
				return true
			}
		}
	}
	return false
}

// Final tells whether no other stage needs the results of a stage.
func (j *Job) FeedsEngineOnly(stage int) bool {
	for _, s := range j.Order.Stages {
		if s.Pieces == 0 {
			continue
		}
		for _, before := range s.After {
			if before == stage {
				return false
			}
		}
	}
	return true
}

// Early tells whether the results of a stage would only wait: the engine alone needs them,
// and a stage that doesn't need them is yet to begin.
func (j *Job) ShouldDefer(stage int) bool {
	if !j.FeedsEngineOnly(stage) {
		return false
	}
	for i, s := range j.Order.Stages {
		if i != stage && s.Pieces > 0 && !j.Stages[i].Released && !j.Ready(i) {
			return true
		}
	}
	return false
}

// MadeOf returns the results of a stage as its origin should know them.
func (j *Job) ResultsOf(stage int) []bbjob.StageResult {
	var made []bbjob.StageResult
	for k, p := range j.Stages[stage].Pieces {
		made = append(made, bbjob.StageResult{
			Stage:    stage,
			Piece:    k,
			Handle:   p.Handle,
			Producer: p.Producer,
			Address:  p.Address,
			Zone:     p.Zone,
			Freed:    p.Freed,
		})
	}
	return made
}

// Inputs returns the handles of the results that a stage needs.
func (j *Job) Inputs(stage int) []string {
	var handles []string
	for _, before := range j.Order.Stages[stage].After {
		for _, p := range j.Stages[before].Pieces {
			handles = append(handles, p.Handle)
		}
	}
	return handles
}

// Finals returns the handles that the engine needs, and their bytes by failure domain.
func (j *Job) EngineInputs() ([]string, map[string]float64) {
	var handles []string
	bytes := make(map[string]float64)
	for i := range j.Stages {
		if !j.FeedsEngineOnly(i) {
			continue
		}
		for _, p := range j.Stages[i].Pieces {
			handles = append(handles, p.Handle)
			bytes[p.Zone] += j.Order.Stages[i].ResultBytes
		}
	}
	return handles, bytes
}

// Home returns the failure domain where a stage is best done: that of most of its inputs,
// or that of a likely engine.
func (j *Job) PreferredStageZone(stage int) string {
	bytes := make(map[string]float64)
	for _, before := range j.Order.Stages[stage].After {
		for _, p := range j.Stages[before].Pieces {
			bytes[p.Zone] += j.Order.Stages[before].ResultBytes
		}
	}
	best, most := "", 0.0
	if len(bytes) == 0 {
		return j.PreferredZone
	}
	for zone, b := range bytes {
		if b > most || (b == most && zone < best) {
			best, most = zone, b
		}
	}
	return best
}

// MoveBytes returns what goes between failure domains when pieces of a stage are not done at
// its home: each piece fetches all its inputs.
func (j *Job) MoveBytes(stage, pieces int) float64 {
	o := j.Order.Stages[stage]
	if len(o.After) == 0 {
		return float64(pieces) * o.ResultBytes
	}
	inputs := 0.0
	for _, before := range o.After {
		inputs += float64(j.Order.Stages[before].Pieces) * j.Order.Stages[before].ResultBytes
	}
	return float64(pieces) * inputs
}

// Tail returns the least time from the start of what is left to the first token.
func (j *Job) RemainingToFirstToken() time.Duration {
	longest := EngineTime
	for i := range j.Stages {
		if j.Stages[i].Left > 0 && j.Ready(i) {
			longest = max(longest, j.StageToFirstToken[i])
		}
	}
	return longest
}

// FetchedAll tells whether everything that needs the results of a stage has them.
func (j *Job) FetchedAll(stage int) bool {
	for i, s := range j.Order.Stages {
		for _, before := range s.After {
			if before != stage {
				continue
			}
			for _, p := range j.Stages[i].Pieces {
				if p.Handle == "" && !p.Fetched {
					return false
				}
			}
		}
	}
	return !j.FeedsEngineOnly(stage)
}

// Rewind makes the stages that a stage needs be done again where their results are gone.
func (j *Job) Rewind(stage int) {
	j.Stages[stage].Released = false
	for _, before := range j.Order.Stages[stage].After {
		j.RecomputeFreed(before)
	}
}

// Remake makes a stage be done again as far as its results are gone.
func (j *Job) RecomputeFreed(stage int) {
	st := &j.Stages[stage]
	lost := false
	for k := range st.Pieces {
		p := &st.Pieces[k]
		if p.Handle != "" && p.Freed {
			*p = Piece{
				Tries: p.Tries,
			}
			st.Left++
			lost = true
		}
	}
	if lost {
		j.Rewind(stage)
	}
}

// RemakeFinals makes the inputs of the engine be made again as far as they are gone.
func (j *Job) RecomputeEngineInputs() {
	for i := range j.Stages {
		if j.FeedsEngineOnly(i) {
			j.RecomputeFreed(i)
		}
	}
}

// InputsKept tells whether all results that a stage needs still exist.
func (j *Job) InputsKept(stage int) bool {
	for _, before := range j.Order.Stages[stage].After {
		for _, p := range j.Stages[before].Pieces {
			if p.Freed {
				return false
			}
		}
	}
	return true
}
