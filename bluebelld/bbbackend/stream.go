package bbbackend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"bluebellhall/core/bbmsg"
)

// completion is a request in the shape of common completion servers.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
}

// prompt is the part of a body that steers an engine.
type prompt struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// chunk is one event of a completion stream.
type chunk struct {
	Index   int `json:"index"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// completionOf builds the request for an engine. A body that is not an object with a
// prompt is the prompt itself.
func completionOf(e bbmsg.EndpointCall) completion {
	r := completion{
		Model:    e.Model,
		Prompt:   string(e.Body),
		Stream:   true,
		Priority: e.Priority,
	}
	var p prompt
	if json.Unmarshal(e.Body, &p) == nil && p.Prompt != "" {
		r.Prompt = p.Prompt
		r.MaxTokens = p.MaxTokens
	}
	return r
}

// The bounds of how tokens are gathered before they are passed on.
const (
	// gatherTokens is the most tokens in one piece of news.
	maxBatchTokens = 32
	// gatherTime is how long a token may wait for others.
	maxBatchDelay = 20 * time.Millisecond
	// maxLineBytes bounds a line of a stream.
	maxLineBytes = 1 << 20
)

// gatherer collects tokens into pieces of news.
type tokenBatcher struct {
	emit    func(bbmsg.CallUpdate)
	call    uint64
	offset  int
	tokens  []string
	firstAt time.Time
}

// add takes in a token, which must continue the stream. It returns false otherwise.
func (g *tokenBatcher) add(index int, token string) bool {
	if index != g.offset+len(g.tokens) {
		return false
	}
	if len(g.tokens) == 0 {
		g.firstAt = time.Now()
	}
	g.tokens = append(g.tokens, token)
	first := index == 0
	if first || len(g.tokens) >= maxBatchTokens || time.Since(g.firstAt) >= maxBatchDelay {
		g.flush()
	}
	return true
}

// flush passes on what was gathered.
func (g *tokenBatcher) flush() {
	if len(g.tokens) == 0 {
		return
	}
	g.emit(bbmsg.CallUpdate{
		Call:   g.call,
		Kind:   bbmsg.UpdateTokens,
		Offset: g.offset,
		Tokens: g.tokens,
	})
	g.offset += len(g.tokens)
	g.tokens = nil
}

// stream reads the events of a completion and reports tokens and the end. The news
// of the end carries the number of tokens of the whole stream.
func (c *Client) readStream(e bbmsg.EndpointCall, body io.Reader, watch *watchdog) {
	g := &tokenBatcher{
		emit:   c.handlers.CallUpdate,
		call:   e.Call,
		offset: e.FromOffset,
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for lines.Scan() {
		watch.reset()
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			g.flush()
			c.handlers.CallUpdate(bbmsg.CallUpdate{
				Call:   e.Call,
				Kind:   bbmsg.UpdateDone,
				Offset: g.offset,
			})
			return
		}
		if !addChunk(g, data) {
			break
		}
	}
	g.flush()
	c.reportFailure(e, true, watch.expired())
}

// addChunk takes in one event, and returns false when it does not fit the stream.
func addChunk(g *tokenBatcher, data []byte) bool {
	var k chunk
	if json.Unmarshal(data, &k) != nil || len(k.Choices) == 0 {
		return false
	}
	return g.add(k.Index, k.Choices[0].Text)
}
