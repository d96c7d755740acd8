package bbload

import (
	"context"
	"sync"
	"time"

	"bluebellhall/core/bbmsg"
)

const (
	// DefaultInFlight bounds the requests in flight.
	DefaultInFlight = 4096
	// DefaultGrace is how long a caller waits past its deadline, so that late answers
	// are told from lost ones.
	DefaultGrace = 3 * time.Second
)

// RunSettings bound a run.
type RunSettings struct {
	// InFlight bounds the requests in flight; one over it is not sent. 0 means
	// DefaultInFlight.
	InFlight int
	// Grace is how long callers wait past their deadline; 0 means DefaultGrace.
	Grace time.Duration
}

// Send carries out one request. It returns when the request ended for its caller or
// the context is over. Due is the time from which its times count.
type Send func(ctx context.Context, q Request, due time.Time) Reply

// Result is a request with its end.
type Result struct {
	Request Request
	Reply   Reply
	// Unsent is true when too many requests were in flight.
	Unsent bool
}

// Run sends the requests of a plan when they are due and returns their ends in the
// order of the plan. When the context ends, the rest is not sent.
func Run(ctx context.Context, s RunSettings, plan []Request, send Send) []Result {
	if s.InFlight == 0 {
		s.InFlight = DefaultInFlight
	}
	if s.Grace == 0 {
		s.Grace = DefaultGrace
	}
	results := make([]Result, len(plan))
	slots := make(chan struct{}, s.InFlight)
	start := time.Now()
	var running sync.WaitGroup
	for i, q := range plan {
		results[i].Request = q
		due := start.Add(q.Due)
		sleepUntil(ctx, due)
		if ctx.Err() != nil || !tryAcquire(slots) {
			results[i].Unsent = true
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			results[i].Reply = sendOne(ctx, s, q, due, send)
		})
	}
	running.Wait()
	return results
}

func sendOne(ctx context.Context, s RunSettings, q Request, due time.Time, send Send) Reply {
	ctx, cancel := context.WithDeadline(ctx, due.Add(q.Deadline+s.Grace))
	defer cancel()
	reply := send(ctx, q, due)
	reply.Total = time.Since(due)
	if reply.Outcome == bbmsg.OutcomeAnswered {
		reply.Wrong = Verify(q, reply)
	}
	return reply
}

func tryAcquire(slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
