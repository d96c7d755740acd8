package bbcoordinator

import (
	"time"

	"bluebellhall/core/bbjob"
)

// pieceState is how far a piece of a stage is.
type pieceState struct {
	// handle names the result once it is made.
	handle string
	// maker and address are those of the endpoint that keeps the result.
	maker   string
	address string
	zone    string
	// freed is true once the result was given up.
	freed bool
	// tries counts the calls that the piece was in.
	tries int
}

// stageState is how far a stage is.
type stageState struct {
	pieces []pieceState
	// released is true once the pieces were put into the pool.
	released bool
	// left counts the pieces without a result.
	left int
}

// job is a request in progress.
type job struct {
	order bbjob.Order
	// arrived, due and limit are by the steady clock of this VM.
	arrived time.Duration
	due     time.Duration
	limit   time.Duration
	// objective is the time that the request had to be on time when it arrived.
	objective time.Duration
	stages    []stageState
	// granted is the engine that the request was granted; empty if none.
	granted string
	// repeated is true when the next grant is not the first.
	repeated bool
	// tails has for each stage the time from its start to the first token, as it usually
	// takes.
	tails []time.Duration
}

// newJob returns the state of an order that has just arrived.
func newJob(now time.Duration, o bbjob.Order) *job {
	j := &job{
		order:     o,
		arrived:   now,
		due:       now + o.Objective,
		limit:     now + o.Limit,
		objective: o.Objective,
		stages:    make([]stageState, len(o.Stages)),
		tails:     make([]time.Duration, len(o.Stages)),
		repeated:  o.Repeat,
	}
	for i, s := range o.Stages {
		j.stages[i] = stageState{
			pieces: make([]pieceState, s.Pieces),
			left:   s.Pieces,
		}
	}
	return j
}

// ready tells whether all results that a stage needs are there.
func (j *job) ready(stage int) bool {
	for _, before := range j.order.Stages[stage].After {
		if j.stages[before].left > 0 {
			return false
		}
	}
	return true
}

// done tells whether all stages are.
func (j *job) done() bool {
	for i := range j.stages {
		if j.stages[i].left > 0 {
			return false
		}
	}
	return true
}

// final tells whether no other stage needs the results of a stage.
func (j *job) final(stage int) bool {
	for _, s := range j.order.Stages {
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

// inputs returns the handles of the results that a stage needs.
func (j *job) inputs(stage int) []string {
	var handles []string
	for _, before := range j.order.Stages[stage].After {
		for _, p := range j.stages[before].pieces {
			handles = append(handles, p.handle)
		}
	}
	return handles
}

// finals returns the handles that the engine needs, and their bytes by failure domain.
func (j *job) finals() ([]string, map[string]float64) {
	var handles []string
	bytes := make(map[string]float64)
	for i := range j.stages {
		if !j.final(i) {
			continue
		}
		for _, p := range j.stages[i].pieces {
			handles = append(handles, p.handle)
			bytes[p.zone] += j.order.Stages[i].ResultBytes
		}
	}
	return handles, bytes
}

// home returns the failure domain where a stage is best done: that of most of its inputs,
// or that of another final stage whose results are larger.
func (j *job) home(stage int) string {
	bytes := make(map[string]float64)
	for _, before := range j.order.Stages[stage].After {
		for _, p := range j.stages[before].pieces {
			bytes[p.zone] += j.order.Stages[before].ResultBytes
		}
	}
	best, most := "", 0.0
	for zone, b := range bytes {
		if b > most || (b == most && zone < best) {
			best, most = zone, b
		}
	}
	return best
}

// tail returns the least time from the start of what is left to the first token, for a
// request whose stages from a number on are not done.
func (j *job) tail(from int) time.Duration {
	longest := engineTime
	for i := from; i < len(j.stages); i++ {
		if j.stages[i].left > 0 && j.ready(i) {
			longest = max(longest, j.tails[i])
		}
	}
	return longest
}
