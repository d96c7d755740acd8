// Package bbload is an open-loop load generator: requests are sent when they are due,
// whatever the answers to earlier ones, and times count from when they were due.
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

// Kind is a kind of request of a load.
type Kind struct {
	// Name tells kinds apart in reports.
	Name string
	// Weight is its share of the load relative to others, at least 1.
	Weight int
	// Account is the client account and Region where its callers are.
	Account string
	Region  string
	// Pipeline is set for pipelines, else Service and Path are.
	Pipeline string
	Service  string
	Path     string
	// Model is the model of the last stage, empty when it is no engine.
	Model string
	// Stream asks for tokens as they come.
	Stream bool
	// Once is true for calls that run at most once.
	Once bool
	// Deadline is when the whole answer must be there.
	Deadline time.Duration
	// PromptBytes and MaxTokens size a completion.
	PromptBytes int
	MaxTokens   int
	// Sessions is the number of conversations that the requests belong to; 0 means none.
	Sessions int
	// Mark is put into the body as it is.
	Mark string
	// Repeated is true when all requests of the kind have one content, as when a caller
	// sends a failed request again and again under new ids.
	SameContent bool
}

// Request is one request of a load.
type Request struct {
	Kind
	// Number counts the requests of a load from 0.
	Number int
	// Due is when it is to be sent, from the start of the load.
	Due time.Duration
	// Tag is unique in a load, but for repeated kinds, and comes back in the answer.
	Tag string
	// Session is one of the kind's conversations.
	Session string
	// Body is what is sent.
	Body []byte
}

// Reply is how a request ended for its caller.
type Reply struct {
	Outcome bbmsg.Outcome
	Reason  bbmsg.Reason
	// IDs has every request id used, oldest first; Sends counts the messages.
	IDs   []string
	Sends int
	// First and Total are the times to the first token and to the end, from when the
	// request was due.
	First time.Duration
	Total time.Duration
	// Gaps has the times between tokens.
	Gaps []time.Duration
	// Tokens or Body is the answer.
	Tokens []string
	Body   []byte
	// Wrong says why an answer is not the whole answer to its request; empty if it is.
	Wrong string
}

// InTime tells whether the whole answer to the request was there in time.
func (p Reply) InTime(q Request) bool {
	return p.Outcome == bbmsg.OutcomeAnswered && p.Wrong == "" && p.Total <= q.Deadline
}

// content is the body of all requests of a load.
type requestBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
}

// body makes the body of a request.
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

// tagged is the part of an answer that names its request.
type taggedAnswer struct {
	Tag string `json:"tag"`
}

// Verify says why an answer is not the whole answer to a request, or returns "".
func Verify(q Request, p Reply) string {
	if q.Model == "" {
		var t taggedAnswer
		if err := json.Unmarshal(p.Body, &t); err != nil {
			return "no JSON: " + err.Error()
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

// Completion returns the tokens that answer a request of a pipeline with an engine at
// its end.
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
