// Package bbdecision has what a coordinator decides and what its VM answers: calls and grants to
// be made, results to be given up, lines for the log.
package bbdecision

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
)

// Output is what the VM has to do after a decision.
type Output struct {
	Calls    []*bbpool.Call
	Grants   []bbjob.Grant
	Refusals []bbjob.Refusal
	Releases []Release
	// Updates are what the origins of requests should know of their results.
	Updates map[string]bbjob.Update
	// Elsewhere are requests that another coordinator should take.
	Redirects []Redirect
	// Events are decisions for the log.
	Events []Event
}

// Elsewhere sends a request to another coordinator.
type Redirect struct {
	// ID is the request's.
	ID string
	// Cell is the name of the coordinator, empty for the next one of the same cell.
	Cell string
}

// Free names results that are not needed any more.
type Release struct {
	Address string
	Handles []string
}

// Event is a decision for the log. Empty fields don't apply.
type Event struct {
	Number bbevent.Number
	// Job is the request's ID.
	Job string
	// Call is the number of a call, Endpoint the one that it goes to.
	Call     uint64
	Endpoint string
	// Service is the one that a call is to, Pieces the number of its pieces.
	Service string
	Pieces  int
	Detail  string
	// Value is the time that the event's text names.
	Value time.Duration
}

// PieceResult is what an endpoint answered for one piece.
type PieceResult struct {
	// Handle names the result; empty if there is none.
	Handle string
	// Gone is true when an input no longer exists.
	InputMissing bool
	// Late is true when the request's time was over.
	Expired bool
	// NoRoom is true when the endpoint had no room for the result.
	StorageFull bool
}

// Status is the state of a coordinator, for metrics.
type Status struct {
	// Requests is the number of those in progress, Ungranted of those whose stages are done
	// and that wait for an engine.
	Requests, AwaitingEngine int
	// Waiting has the pieces that wait for a call, by service.
	Waiting map[string]int
	// Repeats has the repeats that each service may have now.
	RepeatBudgets map[string]float64
}
