// Package bbcodec defines the contents of the headers exchanged with callers and endpoints, independent of
// the header names. A platform's adapter provides the codec that translates between them.
package bbcodec

import (
	"net/http"
	"time"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbstanding"
)

// Request holds the headers of a caller's request.
type Request struct {
	// ID identifies one attempt of the caller.
	ID string
	// Key identifies the client account; empty if there is none.
	Key string
	// Wait is how long the caller waits for the answer; 0 if unspecified.
	Wait time.Duration
	// Prompt is set for requests that generate tokens.
	Prompt bbjob.Prompt
	// Pieces has the number of pieces of each stage; stages beyond its end have one piece.
	Pieces []int
	// PieceKey identifies the input of the stages that need no results of other stages.
	PieceKey string
	// Resumes is the ID of the attempt that brought the first event of the stream that the caller takes up; empty if it
	// isn't stated.
	Resumes string
	// LastEvent is the ID of the last event that a caller got before its stream was interrupted; empty
	// if it doesn't resume a stream.
	LastEvent string
}

// Forward holds the headers that an endpoint gets in addition to the caller's own.
type Forward struct {
	// Endpoint is the ID of the intended endpoint; any other endpoint at the address must reject the
	// request.
	Endpoint string
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Account is the name of the client account; empty if there is none.
	Account string
	// HasAccounts is true if client accounts are configured, so that the caller's key must not be forwarded.
	HasAccounts bool
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// Engine is true when the endpoint generates tokens.
	Engine bool
	// Staged is true if the route has stages. Inputs are then the handles of their results.
	Staged bool
	Inputs []string
	// LastEvent is the ID of the last event that the caller has; empty if the answer starts from the
	// beginning.
	LastEvent string
}

// AnswerInfo holds the headers of an endpoint's answer.
type AnswerInfo struct {
	// NotRun is true if the endpoint states that it didn't run the request.
	NotRun bool
	// OtherEndpoint is true if the address now belongs to another endpoint.
	OtherEndpoint bool
	// OtherRequest is true if the answer belongs to another request.
	OtherRequest bool
	// Signed is true if the answer carries the endpoint's receipt.
	Signed bool
	// InputsGone is true if an input of the request no longer exists.
	InputsGone bool
	// Signal is the endpoint's load signal.
	Signal bbstanding.Signal
}

// Codec translates between headers and their contents.
type Codec struct {
	// Decode reads the headers of a caller's request.
	Decode func(r *http.Request) (Request, error)
	// Encode returns the headers to send to an endpoint, given the caller's.
	Encode func(caller http.Header, f Forward) http.Header
	// Read reads the headers of an endpoint's answer to the request with the given ID.
	Read func(id string, a *bbchannel.Answer) AnswerInfo
	// CallerHeaders returns those headers of an endpoint's answer that are forwarded to the caller.
	CallerHeaders func(h http.Header) http.Header
}
