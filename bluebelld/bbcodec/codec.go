// Package bbcodec has what the headers of callers and endpoints say, as types whose fields say what
// they hold. An adapter translates them.
package bbcodec

import (
	"net/http"
	"time"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbstanding"
)

// Request is what a caller's headers say.
type Request struct {
	// ID is new for each attempt of the caller.
	ID string
	// Key names the client account; empty if there is none.
	Key string
	// Wait is how long the caller waits; 0 if it doesn't say.
	Wait time.Duration
	// Prompt is set for requests that generate tokens.
	Prompt bbjob.Prompt
	// Pieces has the number of pieces of each stage; a stage beyond its end has one.
	Pieces []int
	// PieceKey names the input of the stages that need no results.
	PieceKey string
	// LastEvent is set when a caller goes on with a stream that broke off.
	LastEvent string
}

// Forward is what an endpoint is told besides the caller's own headers.
type Forward struct {
	// Endpoint is the one that should run the request; another one must turn it away.
	Endpoint string
	// Left is the time until the caller gives up.
	Remaining time.Duration
	// Account is the name of the client account; empty if there is none.
	Account string
	// HasAccounts is true when keys are in use, so that the caller's must not be passed on.
	HasAccounts bool
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Engine is true when the endpoint generates tokens.
	Engine bool
	// Staged is true when the route has stages; Inputs are the handles of their results.
	Staged bool
	Inputs []string
	// LastEvent is the last event that the caller has; empty if the answer begins anew.
	LastEvent string
}

// Reading is what an endpoint's answer says besides its status.
type AnswerInfo struct {
	// NotRun is true when the endpoint says that it didn't run the request.
	NotRun bool
	// Moved is true when another endpoint is at the address now.
	OtherEndpoint bool
	// Other is true when the answer belongs to another request.
	OtherRequest bool
	// Signed is true when the answer bears the endpoint's receipt.
	Signed bool
	// Gone is true when an input of the request no longer exists.
	InputsGone bool
	// Word is what the endpoint says of itself.
	Signal bbstanding.Signal
}

// Codec translates headers.
type Codec struct {
	Decode func(r *http.Request) (Request, error)
	Encode func(caller http.Header, f Forward) http.Header
	Read   func(id string, a *bbchannel.Answer) AnswerInfo
	// Pass returns the headers of an endpoint's answer that the caller gets.
	CallerHeaders func(h http.Header) http.Header
}
