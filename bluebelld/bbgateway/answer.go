package bbgateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbsuspect"
)

const (
	// maxHeld bounds the part of an answer that is held until it is whole.
	maxBuffered = 128 << 10
	// copyBuffer is the size of the pieces in which longer answers are passed on.
	copyBuffer = 8 << 10
	// maxRetryAfter bounds what a refused caller is told; maxRestAfter does where endpoints have
	// said how long they want nothing.
	maxRetryAfter        = 5 * time.Second
	maxBackoffRetryAfter = 5 * time.Minute
)

// fail ends a request with an answer of this VM. Statuses 429 and 503 promise that the
// request has not run.
func (g *Gateway) fail(x *exchange, status int, cause string, retryAfter time.Duration) {
	h := x.w.Header()
	h["Date"] = nil
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		most := maxRetryAfter
		if cause == causeResting {
			most = maxBackoffRetryAfter
		}
		seconds := min(retryAfter, most).Seconds()
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
	x.sent = true
	outcome := "refused"
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		outcome = "failed"
	}
	g.logEnd(x, outcome, cause, status)
}

// ended writes the line on a request that has ended.
func (g *Gateway) logEnd(x *exchange, outcome, cause string, status int) {
	x.log.ID = x.ID
	x.log.Content = x.Content
	x.log.Outcome = outcome
	x.log.Cause = cause
	x.log.Status = status
	x.log.Took = g.hooks.Now() - x.began
	x.log.Limit = max(0, x.deadline-x.began)
	reached := x.log.First
	if reached == 0 {
		reached = x.log.Took
	}
	x.log.OnTime = outcome == "answered" && x.Route != nil && reached <= x.Route.Objective
	if x.log.Kind == "" {
		x.log.Kind = "none"
	}
	g.hooks.Log(x.log)
}

// abort ends a request whose answer has begun by closing the caller's connection, so that
// it can't be taken for whole.
func (g *Gateway) abort(x *exchange, cause string) {
	g.logEnd(x, "cut", cause, 0)
	panic(http.ErrAbortHandler)
}

// outgoing returns the request as an endpoint gets it.
func (g *Gateway) endpointRequest(x *exchange, f bbcodec.Forward) *http.Request {
	f.Remaining = x.deadline - g.hooks.Now()
	f.HasAccounts = len(x.Index.Catalog.Accounts) > 0
	if x.Account != nil {
		f.Account = x.Account.Name
	}
	r := &http.Request{
		Method: x.r.Method,
		URL: &url.URL{
			Opaque: x.r.RequestURI,
		},
		Host:   x.r.Host,
		Header: g.codec.Encode(x.r.Header, f),
	}
	if len(x.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(x.Body))
		r.ContentLength = int64(len(x.Body))
	}
	return r
}

// classify tells what an exchange with an endpoint says of it; answer is nil if there was
// an error.
func classify(err error, reading bbcodec.AnswerInfo) bbhealth.Outcome {
	switch {
	case errors.Is(err, bbchannel.ErrUnreachable):
		return bbhealth.OutcomeUnreachable
	case err != nil || reading.OtherRequest:
		return bbhealth.OutcomeBroken
	case reading.OtherEndpoint:
		return bbhealth.OutcomeMoved
	case reading.NotRun:
		return bbhealth.OutcomeFull
	}
	return bbhealth.OutcomeGood
}

// run is one try of a request at an endpoint.
type run struct {
	endpoint, address string
	began             time.Duration
	// begun is true once a part of the answer has arrived.
	answerStarted bool
}

// broke tells of a run that gave no whole answer, unless the caller left; ctx is the one that
// bounded it.
func (g *Gateway) reportFailedRun(ctx context.Context, x *exchange, r run, cause error) {
	if errors.Is(x.r.Context().Err(), context.Canceled) {
		return
	}
	g.hooks.RunFailed(FailedRun{
		ID:            x.ID,
		Content:       x.Content,
		Endpoint:      r.endpoint,
		Address:       r.address,
		Cause:         cause,
		Duration:      g.hooks.Now() - r.began,
		TimedOut:      ctx.Err() != nil,
		AnswerStarted: r.answerStarted,
	})
}

// suspect is the cause of refusals of content that crashes endpoints.
const causeSuspect = "suspect"

// retryAfter returns when the caller of a request that has not run should come back.
func retryAfter(cause string) time.Duration {
	if cause == causeSuspect {
		return bbsuspect.RetryAfter
	}
	return defaultRetryAfter
}

// isRefused tells whether the content of a request must not reach an endpoint.
func (g *Gateway) isRefused(x *exchange) bool {
	return g.hooks.Suspicion(x.Content) == bbsuspect.Refused
}

// errNoReceipt is the cause when an answer is of another request or bears no receipt.
var errNoReceipt = errors.New("answer without the endpoint's receipt")

// start sends the head of an endpoint's answer to the caller.
func (g *Gateway) sendHead(x *exchange, a *bbchannel.Answer, length int64) {
	h := x.w.Header()
	for name, values := range g.codec.CallerHeaders(a.Header) {
		h[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			// The library would fill these in.
			h[name] = nil
		}
	}
	h.Del("Content-Length")
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.w.WriteHeader(a.Status)
	x.sent = true
}

// maxAnswer bounds an answer that isn't a stream and doesn't say its length, in bytes.
const maxAnswerBytes = 64 << 20

// errLongAnswer is the cause when an answer is longer than maxAnswer.
var errLongAnswer = errors.New("answer is too long")

// deliver passes a whole answer on. It holds back short ones until they are whole, so
// that a broken one can still be repeated; the error is the endpoint's. A part of the answer may
// have been sent before it.
func (g *Gateway) deliver(ctx context.Context, x *exchange, a *bbchannel.Answer) error {
	held, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if err != nil {
		return err
	}
	if len(held) < maxBuffered {
		if x.r.Method == http.MethodHead {
			g.sendHead(x, a, a.Length)
			return nil
		}
		g.sendHead(x, a, int64(len(held)))
		g.write(ctx, x, held)
		return nil
	}
	g.sendHead(x, a, a.Length)
	g.write(ctx, x, held)
	buffer := make([]byte, copyBuffer)
	for sent := len(held); ; {
		n, err := a.Body.Read(buffer)
		if sent += n; a.Length < 0 && sent > maxAnswerBytes {
			return errLongAnswer
		}
		g.write(ctx, x, buffer[:n])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// write passes bytes on; a caller that has left ends the request.
func (g *Gateway) write(ctx context.Context, x *exchange, data []byte) {
	if len(data) == 0 {
		return
	}
	if _, err := x.w.Write(data); err != nil {
		g.abort(x, "callerGone")
	}
	if ctx.Err() != nil {
		g.abort(x, "timeOver")
	}
}
