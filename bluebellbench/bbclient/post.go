package bbclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bluebellhall/core/bbmsg"
)

// end is how one message ended.
type messageResult struct {
	// lost is true when there was no answer, or no end of it.
	incomplete bool

	Outcome          bbmsg.Outcome `json:"outcome"`
	Reason           bbmsg.Reason  `json:"reason"`
	RetryAfterMillis int64         `json:"retryAfterMillis"`
}

// tokens is a part of a token stream.
type tokenBatch struct {
	Tokens []string `json:"tokens"`
	Offset int      `json:"offset"`
}

// post sends one message and reads its answer.
func (c *Client) post(ctx context.Context, x *exchange) messageResult {
	r, err := newRequest(ctx, x)
	if err != nil {
		return messageResult{incomplete: true}
	}
	answer, err := c.http.Do(r)
	if err != nil {
		return messageResult{incomplete: true}
	}
	defer answer.Body.Close()
	if strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		return x.readStream(answer.Body)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return messageResult{incomplete: true}
	}
	if answer.StatusCode == http.StatusOK {
		return x.readFullAnswer(body)
	}
	var e messageResult
	if json.Unmarshal(body, &e) != nil || e.Outcome == "" {
		return messageResult{incomplete: true}
	}
	return e
}

// newRequest builds a message to the address whose turn it is.
func newRequest(ctx context.Context, x *exchange) (*http.Request, error) {
	q := x.request
	path := "/v1/services/" + q.Service + "/" + q.Path
	if q.Pipeline != "" {
		path = "/v1/pipelines/" + q.Pipeline
	}
	turn := (x.reply.Sends - 1) % len(x.addresses.Addresses)
	url := "http://" + x.addresses.Addresses[turn] + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(q.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the library repeats nothing by itself.
	r.GetBody = nil
	left := q.Deadline - time.Since(x.due)
	r.Header.Set("Bluebell-Request-Id", x.id)
	r.Header.Set("Bluebell-Account", q.Account)
	r.Header.Set("Bluebell-Budget-Millis", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if q.Session != "" {
		r.Header.Set("Bluebell-Session", q.Session)
	}
	if q.Stream {
		r.Header.Set("Accept", "text/event-stream")
	}
	if len(x.reply.Tokens) > 0 {
		r.Header.Set("Last-Event-ID", strconv.Itoa(len(x.reply.Tokens)))
	}
	return r, nil
}

// readWhole takes in an answer that came at once.
func (x *exchange) readFullAnswer(body []byte) messageResult {
	x.reply.Body = body
	if x.request.Model != "" {
		var whole tokenBatch
		if json.Unmarshal(body, &whole) == nil {
			x.reply.Tokens = whole.Tokens
			x.reply.First = time.Since(x.due)
		}
	}
	return messageResult{Outcome: bbmsg.OutcomeAnswered}
}

// readStream takes in a stream of tokens until its end event.
func (x *exchange) readStream(body io.Reader) messageResult {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxAnswerBytes)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "end" {
			return parseEndEvent([]byte(data))
		}
		if !x.appendTokens([]byte(data)) {
			return messageResult{incomplete: true}
		}
	}
	return messageResult{incomplete: true}
}

func parseEndEvent(data []byte) messageResult {
	var e messageResult
	if err := json.Unmarshal(data, &e); err != nil || e.Outcome == "" {
		return messageResult{incomplete: true}
	}
	return e
}

// take adds tokens to the answer. It returns false when they don't continue it.
func (x *exchange) appendTokens(data []byte) bool {
	var t tokenBatch
	if json.Unmarshal(data, &t) != nil || t.Offset != len(x.reply.Tokens) {
		return false
	}
	now := time.Now()
	if len(x.reply.Tokens) == 0 {
		x.reply.First = now.Sub(x.due)
	} else {
		gap := now.Sub(x.lastTokenAt) / time.Duration(max(len(t.Tokens), 1))
		for range t.Tokens {
			x.reply.Gaps = append(x.reply.Gaps, gap)
		}
	}
	x.lastTokenAt = now
	x.reply.Tokens = append(x.reply.Tokens, t.Tokens...)
	return true
}
