// Package bbdecision defines the output of a coordinator, which its VM carries out: calls, grants
// and refusals, results to be released, redirects, and events for the log.
package bbdecision

import (
	"time"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpool"
	"bluebellhall/core/bbspeed"
)

// Output is what the VM has to carry out after a decision.
type Output struct {
	Calls    []*bbpool.Call
	Grants   []bbjob.Grant
	Refusals []bbjob.Refusal
	Releases []Release
	// Updates are the results that the origins of requests have to know of, by request ID.
	Updates map[string]bbjob.Update
	// Redirects are the requests that another coordinator should process.
	Redirects []Redirect
	// Events are the decisions to be logged.
	Events []Event
}

// Redirect transfers a request to another coordinator.
type Redirect struct {
	// ID is the request's.
	ID string
	// Cell is the cell whose coordinator should process the request; empty for the next
	// coordinator of the same cell.
	Cell string
}

// Release lists stored results of an endpoint that are no longer needed.
type Release struct {
	Address string
	Handles []string
}

// Event is a decision to be logged. Empty fields don't apply.
type Event struct {
	Number bbevent.Number
	// Job is the request's ID.
	Job string
	// Call is the number of a call, Endpoint the endpoint that is called.
	Call     uint64
	Endpoint string
	// Service is the service that is called, Pieces the number of pieces in the call.
	Service string
	Pieces  int
	Detail  string
	// Value is the duration that the catalogue entry of the event describes.
	Value time.Duration
}

// PieceResult is an endpoint's answer for one piece.
type PieceResult struct {
	// Handle identifies the stored result; empty if there is none.
	Handle string
	// InputMissing is true when an input is no longer stored.
	InputMissing bool
	// Expired is true when the time limit of the request had passed.
	Expired bool
	// StorageFull is true when the endpoint had no memory for the result.
	StorageFull bool
}

// Status is the state of a coordinator, for metrics.
type Status struct {
	// Requests is the number of requests in progress, AwaitingEngine the number of those
	// whose stages are done and that wait for the grant of an engine.
	Requests, AwaitingEngine int
	// Waiting is the number of pieces that wait for a call, by service.
	Waiting map[string]int
	// WaitingRequests is the number of requests that have started nothing and wait for capacity, by client account.
	WaitingRequests map[string]int
	// RepeatBudgets is the number of repeats that each service may have now.
	RepeatBudgets map[string]float64
	// Held is the number of pieces that wait for these budgets, and OnProbation that of endpoints whose last
	// call failed, by service; nil if there are none.
	Held, OnProbation map[string]int
	// Examined counts the requests, queued groups of pieces and engines that decisions have looked at. How
	// fast it grows tells what decisions cost.
	Examined uint64
	// Slowness is the estimated slowness of the endpoints of each pool, by service.
	Slowness map[string]bbspeed.Summary
}
