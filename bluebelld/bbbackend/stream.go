package bbbackend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"bluebellhall/core/bbmsg"
)

// completion is a request in the format of common completion servers.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
}

// prompt is the part of a request body that is translated for an engine.
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

// completionOf builds the request for an engine. A body that isn't a JSON object with a prompt is used as
// the prompt itself.
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

// Bounds of batches of tokens and of lines.
const (
	// maxBatchTokens bounds the tokens in one update.
	maxBatchTokens = 32
	// maxBatchDelay is how long a token may wait for further ones; it is checked when the next one arrives.
	maxBatchDelay = 20 * time.Millisecond
	// maxLineBytes bounds a line of a stream.
	maxLineBytes = 1 << 20
)

// tokenBatcher combines consecutive tokens into one update.
type tokenBatcher struct {
	emit    func(bbmsg.CallUpdate)
	call    uint64
	offset  int
	tokens  []string
	firstAt time.Time
}

// add adds a token to the batch. It returns false if the token's index doesn't continue the stream.
func (b *tokenBatcher) add(index int, token string) bool {
	if index != b.offset+len(b.tokens) {
		return false
	}
	if len(b.tokens) == 0 {
		b.firstAt = time.Now()
	}
	b.tokens = append(b.tokens, token)
	first := index == 0
	if first || len(b.tokens) >= maxBatchTokens || time.Since(b.firstAt) >= maxBatchDelay {
		b.flush()
	}
	return true
}

// flush emits the batch as an update.
func (b *tokenBatcher) flush() {
	if len(b.tokens) == 0 {
		return
	}
	b.emit(bbmsg.CallUpdate{
		Call:   b.call,
		Kind:   bbmsg.UpdateTokens,
		Offset: b.offset,
		Tokens: b.tokens,
	})
	b.offset += len(b.tokens)
	b.tokens = nil
}

// readStream reads the events of a completion and reports its tokens and its end. The final update of a
// complete stream carries the number of tokens of the whole stream, including those before FromOffset.
func (c *Client) readStream(e bbmsg.EndpointCall, body io.Reader, watch *watchdog) {
	b := &tokenBatcher{
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
			b.flush()
			c.handlers.CallUpdate(bbmsg.CallUpdate{
				Call:   e.Call,
				Kind:   bbmsg.UpdateDone,
				Offset: b.offset,
			})
			return
		}
		if !addChunk(b, data) {
			break
		}
	}
	b.flush()
	c.reportFailure(e, true, watch.expired())
}

// addChunk adds the token of one event. It returns false if the event is malformed or doesn't continue the
// stream.
func addChunk(b *tokenBatcher, data []byte) bool {
	var k chunk
	if json.Unmarshal(data, &k) != nil || len(k.Choices) == 0 {
		return false
	}
	return b.add(k.Index, k.Choices[0].Text)
}
