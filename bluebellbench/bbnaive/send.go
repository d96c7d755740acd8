package bbnaive

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

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/bluebellfake/bbengine"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbrule"

	"github.com/cockroachdb/errors"
)

// exchange is the state of one request.
type exchange struct {
	request bbload.Request
	due     time.Time
	id      string
	reply   bbload.Reply
}

// Send carries out a request; it has the type bbload.Send.
func (b *Balancer) Send(ctx context.Context, q bbload.Request, due time.Time) bbload.Reply {
	x := &exchange{
		request: q,
		due:     due,
		id:      b.newID(),
	}
	x.reply.IDs = []string{x.id}
	body := q.Body
	for number, stage := range b.stages(q.Pipeline, q.Service, q.Path) {
		output, err := b.stage(ctx, x, number, stage, body)
		if err != nil {
			x.reply.Outcome = bbmsg.OutcomeFailed
			x.reply.Reason = bbmsg.ReasonEndpointFailed
			return x.reply
		}
		body = output
	}
	x.reply.Outcome = bbmsg.OutcomeAnswered
	x.reply.Body = body
	return x.reply
}

// stage runs one stage and tries again when that fails.
func (b *Balancer) stage(ctx context.Context, x *exchange, number int, stage bbrule.Stage, body []byte) ([]byte, error) {
	last := errors.New("not tried")
	for try := range 1 + maxRetries {
		e := b.pick(target{
			service: stage.Service,
			model:   stage.Model,
		})
		if e == nil {
			return nil, errors.Newf("no endpoint of %s is live", stage.Service)
		}
		x.reply.Sends++
		a := attempt{
			exchange: x,
			endpoint: e,
			stage:    stage,
			number:   number,
			try:      try,
		}
		output, err := b.call(ctx, a, body)
		if err == nil {
			return output, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, last
}

// attempt is one try of one stage.
type attempt struct {
	exchange *exchange
	endpoint *bbrule.Endpoint
	stage    bbrule.Stage
	number   int
	try      int
}

// call sends one attempt, for at most half of the request's deadline.
func (b *Balancer) call(ctx context.Context, a attempt, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, a.exchange.request.Deadline/2)
	defer cancel()
	path := "/" + a.stage.Path
	if a.stage.Model != "" {
		path = "/v1/completions"
		body = completion(a, body)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.endpoint.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	r.Header.Set("Bluebell-Request", a.exchange.id)
	r.Header.Set("Bluebell-Stage", strconv.Itoa(a.number))
	r.Header.Set("Bluebell-Attempt", strconv.Itoa(a.try+1))
	r.Header.Set("Bluebell-Session", a.exchange.request.Session)
	answer, err := b.http.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Newf("call: status %d", answer.StatusCode)
	}
	if a.stage.Model != "" {
		return nil, a.exchange.readTokens(answer.Body)
	}
	output, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	return output, errors.Wrap(err, "call")
}

// completion makes the body for an engine from the output of the stage before.
func completion(a attempt, body []byte) []byte {
	var c bbengine.CompletionRequest
	if json.Unmarshal(body, &c) != nil || c.Prompt == "" {
		c.Prompt = string(body)
	}
	c.Model = a.stage.Model
	c.Stream = true
	data, err := json.Marshal(c)
	if err != nil {
		// A struct of strings and numbers can always be encoded.
		panic(err)
	}
	return data
}

// readTokens takes in a completion from its first token to its end.
func (x *exchange) readTokens(body io.Reader) error {
	x.reply.Tokens = nil
	x.reply.Gaps = nil
	last := time.Time{}
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var chunk bbengine.CompletionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
			return errors.Newf("chunk %q", data)
		}
		now := time.Now()
		if len(x.reply.Tokens) == 0 {
			x.reply.First = now.Sub(x.due)
		} else {
			x.reply.Gaps = append(x.reply.Gaps, now.Sub(last))
		}
		last = now
		x.reply.Tokens = append(x.reply.Tokens, chunk.Choices[0].Text)
	}
	return errors.New("stream without an end")
}
