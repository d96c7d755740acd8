// Package bbload is an open-loop load generator: requests are sent when they are due,
// regardless of answers to earlier ones, and latencies count from when they were due.
package bbload

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"bluebellhall/bluebellfake/bbengine"
	"bluebellhall/core/bbmsg"
)

// Kind is a kind of request in a load.
type Kind struct {
	// Name identifies the kind in reports.
	Name string
	// Weight is its share of the load relative to other kinds, at least 1.
	Weight int
	// Account is the client account and Region the region of its callers.
	Account string
	Region  string
	// Pipeline is set for a pipeline request; for a call, Service and Path are.
	Pipeline string
	Service  string
	Path     string
	// Model is the model of the last stage, empty when that stage is not a model engine.
	Model string
	// Stream requests the tokens as a stream.
	Stream bool
	// Once is true for calls that must run at most once.
	Once bool
	// Deadline is the time in which the complete answer must arrive, from when the request is due.
	Deadline time.Duration
	// PromptBytes is the size of the prompt and MaxTokens the length of the completion.
	PromptBytes int
	MaxTokens   int
	// Sessions is the number of sessions that the requests are spread over; 0 means none.
	Sessions int
	// Mark is added to the prompt unchanged, after the tag.
	Mark string
	// SameContent is true when all requests of the kind have the same content, as when a
	// caller sends a failed request again and again under new ids.
	SameContent bool
}

// Request is one request of a load.
type Request struct {
	Kind
	// Number is the index of the request in the load, from 0.
	Number int
	// Due is when it is to be sent, as an offset from the start of the load.
	Due time.Duration
	// Tag is returned in the answer. It is unique in a load, except for kinds with SameContent.
	Tag string
	// Session is one of the kind's sessions.
	Session string
	// Body is the request body.
	Body []byte
}

// Reply is the result of a request as its caller sees it.
type Reply struct {
	Outcome bbmsg.Outcome
	Reason  bbmsg.Reason
	// IDs has every request id used, oldest first; Sends counts the messages sent.
	IDs   []string
	Sends int
	// First is the time to the first token and Total that to the end, both from when the
	// request was due.
	First time.Duration
	Total time.Duration
	// Gaps has the inter-token times.
	Gaps []time.Duration
	// Tokens or Body is the answer.
	Tokens []string
	Body   []byte
	// Wrong says why an answer is incomplete or belongs to another request; empty if it is correct.
	Wrong string
}

// InTime returns whether the complete and correct answer arrived within the deadline.
func (p Reply) InTime(q Request) bool {
	return p.Outcome == bbmsg.OutcomeAnswered && p.Wrong == "" && p.Total <= q.Deadline
}

// requestBody is the request body of all kinds.
type requestBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
}

// encodeBody returns the request body of a kind with a tag, with the prompt padded to PromptBytes.
func encodeBody(k Kind, tag string) []byte {
	prompt := tag + " " + k.Mark
	if missing := k.PromptBytes - len(prompt); missing > 0 {
		prompt += strings.Repeat("x", missing)
	}
	data, err := json.Marshal(requestBody{
		Prompt:    prompt,
		MaxTokens: k.MaxTokens,
	})
	if err != nil {
		// A struct of a string and a number can always be encoded.
		panic(err)
	}
	return data
}

// taggedAnswer is the part of an answer that identifies its request.
type taggedAnswer struct {
	Tag string `json:"tag"`
}

// Verify returns why an answer is not the complete and correct answer to a request, or "".
func Verify(q Request, p Reply) string {
	if q.Model == "" {
		var t taggedAnswer
		if err := json.Unmarshal(p.Body, &t); err != nil {
			return "invalid JSON: " + err.Error()
		}
		if t.Tag != q.Tag {
			return fmt.Sprintf("answer to %q", t.Tag)
		}
		return ""
	}
	want := Completion(q)
	if len(p.Tokens) != len(want) {
		return fmt.Sprintf("%d tokens of %d", len(p.Tokens), len(want))
	}
	if !slices.Equal(p.Tokens, want) {
		return "tokens of another completion"
	}
	return ""
}

// Completion returns the tokens that the fake engine generates for a request whose
// last stage is an engine.
func Completion(q Request) []string {
	count := q.MaxTokens
	if count == 0 {
		count = bbengine.DefaultTokens
	}
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = bbengine.Token(q.Model, q.Tag, i)
	}
	return tokens
}
