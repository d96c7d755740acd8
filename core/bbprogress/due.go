package bbprogress

import (
	"time"

	"bluebellhall/core/bbjob"
	"bluebellhall/core/bburgency"
)

const (
	// EngineTime is the default time from a grant to the first token, without processing the prompt.
	EngineTime = 90 * time.Millisecond
	// rankStep is the delay added to the deadline for each step of priority when work is ordered. It
	// is about the longest time that requests in the deployment specifications can wait and be on time.
	rankStep = 1500 * time.Millisecond
)

// DueOf returns the latest start times and the priority of a stage.
func (j *Job) DueOf(stage int) bburgency.Due {
	left := float64(j.StageToFirstToken[stage]) / float64(max(j.Objective, 1))
	return bburgency.Due{
		StartBy:   j.Due - j.StageToFirstToken[stage],
		LastStart: j.Limit - j.StageToFirstToken[stage],
		// A request with less work left already holds results in memory, so it goes before others.
		PriorityDelay: time.Duration(min(1, left) * float64(Rank(j.Order.Priority))),
	}
}

// LateStages returns the stages that wait for their first call and can no longer be done in time for
// the objective. A stage with some results or running calls has priority and is not listed.
func (j *Job) LateStages(now time.Duration) []int {
	var late []int
	for i, s := range j.Stages {
		if s.Released && s.Left == len(s.Pieces) && s.queued() && j.DueOf(i).Late(now) {
			late = append(late, i)
		}
	}
	return late
}

// queued reports whether pieces are waiting for a call and none is in one.
func (s *Stage) queued() bool {
	waiting := false
	for _, p := range s.Pieces {
		if p.Calls > 0 {
			return false
		}
		waiting = waiting || p.Queued
	}
	return waiting
}

// Rank returns the delay added to the deadline of a request for its priority.
func Rank(priority int) time.Duration {
	return time.Duration(priority) * rankStep
}

// Future holds, by service, the pieces of stages that have not been released yet.
type Future map[string][]bburgency.Pieces

// Add adds the stages of a request that have not been released yet.
func (f Future) Add(now time.Duration, j *Job) {
	for i, s := range j.Order.Stages {
		if j.Stages[i].Released || s.Pieces == 0 {
			continue
		}
		f[s.Service] = append(f[s.Service], bburgency.Pieces{
			Urgency: j.DueOf(i).Urgency(now),
			Count:   s.Pieces,
		})
	}
}

// EstimateStageToFirstToken sets the time from the start of each stage to the first token, from the
// average time of an engine and of a call of each stage.
func (j *Job) EstimateStageToFirstToken(engine time.Duration, call func(s bbjob.Stage) time.Duration) {
	for i := len(j.Order.Stages) - 1; i >= 0; i-- {
		remaining := engine
		for k := i + 1; k < len(j.Order.Stages); k++ {
			for _, before := range j.Order.Stages[k].After {
				if before == i && j.Order.Stages[k].Pieces > 0 {
					remaining = max(remaining, j.StageToFirstToken[k])
				}
			}
		}
		j.StageToFirstToken[i] = remaining
		if s := j.Order.Stages[i]; s.Pieces > 0 {
			j.StageToFirstToken[i] += call(s)
		}
	}
}
