package bbprogress

import (
	"time"

	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
)

const (
	// EngineTime is the usual time from a grant to the first token, without the prompt.
	EngineTime = 90 * time.Millisecond
	// rankStep is how much later a request goes for each step of priority: about the longest
	// time that requests of the users' sheets can wait and still be on time.
	rankStep = 1500 * time.Millisecond
)

// DueOf returns when a stage has to begin.
func (j *Job) DueOf(stage int) bbpool.Due {
	left := float64(j.StageToFirstToken[stage]) / float64(max(j.Objective, 1))
	return bbpool.Due{
		StartBy:   j.Due - j.StageToFirstToken[stage],
		LastStart: j.Limit - j.StageToFirstToken[stage],
		// What has come far takes room already and goes before what has not.
		PriorityDelay: time.Duration(min(1, left) * float64(Rank(j.Order.Priority))),
	}
}

// LateStages returns the stages that wait for their first call and can't be done in time for an
// answer that is on time. What remains of a stage goes first and is not among them.
func (j *Job) LateStages(now time.Duration) []int {
	var late []int
	for i, s := range j.Stages {
		if s.Released && s.Left == len(s.Pieces) && s.queued() && j.DueOf(i).Late(now) {
			late = append(late, i)
		}
	}
	return late
}

// queued tells whether pieces wait for a call and none is in one.
func (s *Stage) queued() bool {
	some := false
	for _, p := range s.Pieces {
		if p.Calls > 0 {
			return false
		}
		some = some || p.Queued
	}
	return some
}

// Rank is how much later a request of a priority goes.
func Rank(priority int) time.Duration {
	return time.Duration(priority) * rankStep
}

// Future is the pieces that requests in progress will bring to services later.
type Future map[string][]futurePieces

type futurePieces struct {
	urgency time.Duration
	pieces  int
}

// Add counts the stages of a request that are still to come.
func (f Future) Add(now time.Duration, j *Job) {
	for i, s := range j.Order.Stages {
		if j.Stages[i].Released || s.Pieces == 0 {
			continue
		}
		f[s.Service] = append(f[s.Service], futurePieces{
			urgency: j.DueOf(i).Urgency(now),
			pieces:  s.Pieces,
		})
	}
}

// Before counts the pieces for a service that go before an urgency.
func (f Future) Before(service string, urgency time.Duration) int {
	n := 0
	for _, w := range f[service] {
		if w.urgency <= urgency {
			n += w.pieces
		}
	}
	return n
}

// MeasureTails fills in the time from the start of each stage to the first token, from the
// usual time of an engine and of each stage's call.
func (j *Job) EstimateStageToFirstToken(engine time.Duration, call func(s bbjob.Stage) time.Duration) {
	for i := len(j.Order.Stages) - 1; i >= 0; i-- {
		rest := engine
		for k := i + 1; k < len(j.Order.Stages); k++ {
			for _, before := range j.Order.Stages[k].After {
				if before == i && j.Order.Stages[k].Pieces > 0 {
					rest = max(rest, j.StageToFirstToken[k])
				}
			}
		}
		j.StageToFirstToken[i] = rest
		if s := j.Order.Stages[i]; s.Pieces > 0 {
			j.StageToFirstToken[i] += call(s)
		}
	}
}
