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
	// queued is true while the piece waits in a pool, calls counts the calls in progress
	// that it is in.
	queued bool
	calls  int
	// fetched is true once an endpoint that works on the piece should have its inputs.
	fetched bool
}

// wanted tells whether the piece has to be put into its pool.
func (p *pieceState) wanted() bool {
	return p.handle == "" && !p.queued && p.calls == 0
}

// stageState is how far a stage is.
type stageState struct {
	pieces []pieceState
	// released is true once the pieces were put into the pool; it is taken back when they
	// have to be made again.
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
	// grantedAt is when that was.
	grantedAt time.Duration
	// estimated is when the first token was expected at arrival, before any correction.
	estimated time.Duration
	// started is true once the first token was made.
	started bool
	// returning is true when the caller was refused before and has come back.
	returning bool
	// repeated is true when the next grant is not the first.
	repeated bool
	// wish is the failure domain of the engine that would suit best at arrival.
	wish string
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

// inCalls tells whether an endpoint works on the request.
func (j *job) inCalls() bool {
	for i := range j.stages {
		for k := range j.stages[i].pieces {
			if j.stages[i].pieces[k].calls > 0 {
				return true
			}
		}
	}
	return false
}

// lose gives up what a stage needs, because some of it is gone and nobody knows which.
func (j *job) lose(stage int) {
	for _, before := range j.order.Stages[stage].After {
		for k := range j.stages[before].pieces {
			j.stages[before].pieces[k].freed = true
		}
	}
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

// early tells whether the results of a stage would only wait: the engine alone needs them,
// and a stage that doesn't need them is yet to begin.
func (j *job) early(stage int) bool {
	if !j.final(stage) {
		return false
	}
	for i, s := range j.order.Stages {
		if i != stage && s.Pieces > 0 && !j.stages[i].released && !j.ready(i) {
			return true
		}
	}
	return false
}

// madeOf returns the results of a stage as its origin should know them.
func (j *job) madeOf(stage int) []bbjob.Made {
	var made []bbjob.Made
	for k, p := range j.stages[stage].pieces {
		made = append(made, bbjob.Made{
			Stage:   stage,
			Piece:   k,
			Handle:  p.handle,
			Maker:   p.maker,
			Address: p.address,
			Zone:    p.zone,
			Freed:   p.freed,
		})
	}
	return made
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
// or that of a likely engine.
func (j *job) home(stage int) string {
	bytes := make(map[string]float64)
	for _, before := range j.order.Stages[stage].After {
		for _, p := range j.stages[before].pieces {
			bytes[p.zone] += j.order.Stages[before].ResultBytes
		}
	}
	best, most := "", 0.0
	if len(bytes) == 0 {
		return j.wish
	}
	for zone, b := range bytes {
		if b > most || (b == most && zone < best) {
			best, most = zone, b
		}
	}
	return best
}

// moveBytes returns what goes between failure domains when pieces of a stage are not done at
// its home: each piece fetches all its inputs.
func (j *job) moveBytes(stage, pieces int) float64 {
	o := j.order.Stages[stage]
	if len(o.After) == 0 {
		return float64(pieces) * o.ResultBytes
	}
	inputs := 0.0
	for _, before := range o.After {
		inputs += float64(j.order.Stages[before].Pieces) * j.order.Stages[before].ResultBytes
	}
	return float64(pieces) * inputs
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

// fetchedAll tells whether everything that needs the results of a stage has them.
func (j *job) fetchedAll(stage int) bool {
	for i, s := range j.order.Stages {
		for _, before := range s.After {
			if before != stage {
				continue
			}
			for _, p := range j.stages[i].pieces {
				if p.handle == "" && !p.fetched {
					return false
				}
			}
		}
	}
	return !j.final(stage)
}

// rewind makes the stages that a stage needs be done again where their results are gone.
func (j *job) rewind(stage int) {
	j.stages[stage].released = false
	for _, before := range j.order.Stages[stage].After {
		j.remake(before)
	}
}

// remake makes a stage be done again as far as its results are gone.
func (j *job) remake(stage int) {
	st := &j.stages[stage]
	lost := false
	for k := range st.pieces {
		p := &st.pieces[k]
		if p.handle != "" && p.freed {
			*p = pieceState{
				tries: p.tries,
			}
			st.left++
			lost = true
		}
	}
	if lost {
		j.rewind(stage)
	}
}
