// Package bbprogress tracks the progress of a request through its stages to an engine: which pieces
// are done, running or lost, and which stages may start next.
package bbprogress

import (
	"slices"
	"time"

	"bluebellhall/core/bbjob"
)

// Piece is the state of one piece of a stage.
type Piece struct {
	// Handle identifies the result; empty until there is one.
	Handle string
	// Producer, Address and Zone are those of the endpoint that stores the result.
	Producer string
	Address  string
	Zone     string
	// Expires is when the producer discards the result; 0 if unknown.
	Expires time.Duration
	// CompletedAt is when the result was received, or imported from an earlier coordinator.
	CompletedAt time.Duration
	// Freed is true once the result was released or invalidated.
	Freed bool
	// Tries counts the failed calls of the piece.
	Tries int
	// Queued is true exactly while the piece is in the queue of its pool; a piece with a result isn't. Calls
	// counts the running calls of the piece that are not overdue.
	Queued bool
	Calls  int
	// Held is true while the piece waits for the retry budget after a failed call; it is in no queue then.
	Held bool
	// Fetched is true once an endpoint that computes the piece should have fetched its inputs.
	Fetched bool
}

// Wanted reports whether the piece has to be put into its pool.
func (p *Piece) Wanted() bool {
	return p.Handle == "" && !p.Queued && !p.Held && p.Calls == 0
}

// Stage is the state of one stage.
type Stage struct {
	Pieces []Piece
	// Released is true once the pieces were put into the pool; it is reset when they
	// have to be computed again.
	Released bool
	// Left counts the pieces without a result.
	Left int
}

// Job is a request in progress.
type Job struct {
	Order bbjob.Order
	// Content is the hash of the content of the order.
	Content uint64
	// Parts are the parts of the prompt that other requests may have too.
	Parts []uint64
	// Arrived, Due and Limit are on the monotonic clock of this VM.
	Arrived time.Duration
	// OrderedAt is when the origin last sent an order for the request.
	OrderedAt time.Duration
	Due       time.Duration
	Limit     time.Duration
	// Objective is the time to the latency objective when the request arrived.
	Objective time.Duration
	Stages    []Stage
	// Excluded are the endpoints that the latest order avoids, without those that notes have added since.
	Excluded []string
	// Granted is the ID of the granted engine; empty if none.
	Granted string
	// GrantedAt is the time of the grant.
	GrantedAt time.Duration
	// NextPlacement is when a request for which no engine was available is placed again.
	NextPlacement time.Duration
	// Estimated is when the first token was expected at arrival, without the correction by the bias of
	// the route.
	Estimated time.Duration
	// EngineDelay is the part of that time from the end of the stages to the first token.
	EngineDelay time.Duration
	// QueueingDelay is the part of that time in which stages would wait for calls, as of the last estimate.
	QueueingDelay time.Duration
	// Started is true once the first token has arrived.
	Started bool
	// Returning is true if the caller has made an earlier attempt.
	Returning bool
	// Repeated is true if an earlier grant failed and the retry has not been charged to the retry
	// budget yet.
	Repeated bool
	// UnreportedFreed are the stages whose results were released since the last update to the origin.
	UnreportedFreed []int
	// PreferredZone is the failure domain of the engine that was the best choice at arrival.
	PreferredZone string
	// StageToFirstToken has for each stage the estimated time from its start to the first token.
	StageToFirstToken []time.Duration
}

// NewJob returns the state of an order that has just arrived.
func NewJob(now time.Duration, o bbjob.Order) *Job {
	j := &Job{
		Order:             o,
		Excluded:          o.Avoid,
		Content:           o.Content(),
		Parts:             o.Prompt.SharedParts(o.Service),
		Arrived:           now,
		OrderedAt:         now,
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

// InCalls reports whether an endpoint is computing a piece of the request.
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

// Begun reports whether a piece of the request has a result or is being computed.
func (j *Job) Begun() bool {
	for i := range j.Stages {
		if j.Stages[i].Left < len(j.Stages[i].Pieces) {
			return true
		}
	}
	return j.InCalls()
}

// InvalidateEngineInputs marks those inputs of the engine as freed that satisfy a predicate. It
// reports whether there are any.
func (j *Job) InvalidateEngineInputs(missing func(p *Piece) bool) bool {
	found := false
	for i := range j.Stages {
		if !j.FeedsEngineOnly(i) {
			continue
		}
		for k := range j.Stages[i].Pieces {
			p := &j.Stages[i].Pieces[k]
			if p.Handle != "" && !p.Freed && missing(p) {
				p.Freed = true
				found = true
			}
		}
	}
	return found
}

// Ready reports whether the stages that a stage depends on are done. Their results may have been lost again,
// see InputsAvailable.
func (j *Job) Ready(stage int) bool {
	for _, before := range j.Order.Stages[stage].After {
		if j.Stages[before].Left > 0 {
			return false
		}
	}
	return true
}

// Needed reports whether the results of a stage are still needed: by the engine, or by a stage that
// isn't done and is needed itself.
func (j *Job) Needed(stage int) bool {
	var visited [bbjob.MaxStages]bool
	return j.leadsToEngine(stage, &visited)
}

// leadsToEngine reports whether a chain of stages that are not done connects a stage to the engine, apart
// from the stages that were visited before.
func (j *Job) leadsToEngine(stage int, visited *[bbjob.MaxStages]bool) bool {
	if j.FeedsEngineOnly(stage) {
		return true
	}
	visited[stage] = true
	for i, s := range j.Order.Stages {
		if j.Stages[i].Left > 0 && !visited[i] && slices.Contains(s.After, stage) && j.leadsToEngine(i, visited) {
			return true
		}
	}
	return false
}

// FeedsEngineOnly reports whether no other stage needs the results of a stage.
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

// ShouldDefer reports whether a stage should not start yet: only the engine needs its results, and
// another stage that is still to be released isn't ready, so the results would only take up memory.
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

// ResultsOf returns the results of a stage in the form that is sent to the origin.
func (j *Job) ResultsOf(stage int) []bbjob.StageResult {
	var results []bbjob.StageResult
	for k, p := range j.Stages[stage].Pieces {
		results = append(results, bbjob.StageResult{
			Stage:    stage,
			Piece:    k,
			Handle:   p.Handle,
			Producer: p.Producer,
			Address:  p.Address,
			Zone:     p.Zone,
			Freed:    p.Freed,
		})
	}
	return results
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

// EngineInputs returns the handles that the engine needs, and their total size by failure domain.
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

// PreferredStageZone returns the failure domain in which a stage should run: the one that holds most
// bytes of its inputs, or PreferredZone if it has none.
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

// MoveBytes returns the bytes that are moved between failure domains if pieces of a stage run outside
// its preferred one: each piece fetches all its inputs. For a stage without inputs its results
// are counted instead.
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

// RemainingToFirstToken returns the minimum time from the start of the remaining stages to the first
// token.
func (j *Job) RemainingToFirstToken() time.Duration {
	longest := EngineTime
	for i := range j.Stages {
		if j.Stages[i].Left > 0 && j.Ready(i) {
			longest = max(longest, j.StageToFirstToken[i])
		}
	}
	return longest
}

// FetchedAll reports whether all consumers of the results of a stage have fetched them. It returns
// false for stages that feed the engine.
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

// ResetMissing resets the pieces whose results were freed although they are still needed, so that they are
// computed again: the inputs of pieces that wait for a call, and those of the engine until one is granted.
func (j *Job) ResetMissing() {
	for changed := true; changed; {
		changed = false
		for i := range j.Stages {
			if j.Granted == "" && j.FeedsEngineOnly(i) {
				changed = j.resetFreed(i) || changed
			}
			if !j.awaitsCall(i) || !j.Needed(i) {
				continue
			}
			for _, before := range j.Order.Stages[i].After {
				changed = j.resetFreed(before) || changed
			}
		}
	}
}

// awaitsCall reports whether pieces of a stage are queued or have yet to be.
func (j *Job) awaitsCall(stage int) bool {
	st := &j.Stages[stage]
	for k := range st.Pieces {
		if p := &st.Pieces[k]; p.Queued || p.Held || (!st.Released && p.Wanted()) {
			return true
		}
	}
	return false
}

// Queued reports whether pieces of a stage are queued.
func (j *Job) Queued(stage int) bool {
	return slices.ContainsFunc(j.Stages[stage].Pieces, func(p Piece) bool { return p.Queued })
}

// resetFreed resets the pieces of a stage whose results were freed. It reports whether there are any.
func (j *Job) resetFreed(stage int) bool {
	st := &j.Stages[stage]
	lost := false
	for k := range st.Pieces {
		p := &st.Pieces[k]
		if p.Handle == "" || !p.Freed {
			continue
		}
		// A call that still runs computes the piece again.
		*p = Piece{
			Tries: p.Tries,
			Calls: p.Calls,
		}
		st.Left++
		st.Released = false
		lost = true
	}
	return lost
}

// InputsAvailable reports whether all results that a stage needs exist.
func (j *Job) InputsAvailable(stage int) bool {
	for _, before := range j.Order.Stages[stage].After {
		if !j.resultsAvailable(before) {
			return false
		}
	}
	return true
}

// Done reports whether all results that the engine needs exist. Results of earlier stages may have been lost
// again after their use.
func (j *Job) Done() bool {
	for i := range j.Stages {
		if j.FeedsEngineOnly(i) && !j.resultsAvailable(i) {
			return false
		}
	}
	return true
}

// resultsAvailable reports whether all results of a stage exist.
func (j *Job) resultsAvailable(stage int) bool {
	for k := range j.Stages[stage].Pieces {
		if p := &j.Stages[stage].Pieces[k]; p.Handle == "" || p.Freed {
			return false
		}
	}
	return true
}
