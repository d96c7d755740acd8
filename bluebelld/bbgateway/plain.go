package bbgateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbplain"
	"bluebellhall/core/bbstanding"
)

const (
	// shedRetryAfter is the suggested retry delay if no endpoint took the request. Requests for plain
	// services are short, so capacity should be available by then.
	shedRetryAfter = 100 * time.Millisecond
	// maxOffers bounds the endpoints to which one request is offered, including those that rejected it or
	// could not be reached.
	maxOffers = 4
	// firstTimeoutFactor times the objective is the time limit of an attempt that may still be followed
	// by another one. Only idempotent requests have such attempts.
	firstTimeoutFactor = 1.5
)

// plain serves a request without stages that a single endpoint answers.
func (g *Gateway) plain(ctx context.Context, x *exchange) {
	if g.refuseIfAllBackOff(x) {
		return
	}
	now := g.hooks.Now()
	g.mu.Lock()
	g.windows.Of(x.service).Request(now)
	g.mu.Unlock()
	share := g.hedgeShare(x)
	avoid := make(map[string]bool)
	runs := 0
	cause := "noEndpoint"
	for x.log.Tries < maxOffers {
		e, ok := g.choose(x, avoid)
		if !ok {
			break
		}
		avoid[e.ID] = true
		x.log.Tries++
		x.log.Endpoint, x.log.Zone = e.ID, e.Zone
		outcome, again := g.offerHedged(ctx, x, e, &runs, avoid, share)
		if x.sent || !again {
			return
		}
		if outcome == bbhealth.OutcomeBroken {
			runs++
		}
		cause = outcome.String()
		if refused := g.quarantineCause(x); refused != "" {
			cause = refused
			break
		}
		if outcome.Sent() && !g.mayRepeat(x) {
			break
		}
	}
	if runs > 0 {
		g.fail(x, http.StatusBadGateway, cause, 0)
		return
	}
	after := shedRetryAfter
	if isQuarantine(cause) {
		after = retryAfter(cause)
	}
	g.fail(x, http.StatusServiceUnavailable, cause, after)
}

// choose selects an endpoint for the request among those in a region that the configuration in force allows and
// that have not requested backoff.
func (g *Gateway) choose(x *exchange, avoid map[string]bool) (bbplain.Endpoint, bool) {
	x.log.Regions = x.Regions(g.hooks.Index())
	entries := g.hooks.Endpoints(x.service)
	list := make([]bbplain.Endpoint, 0, len(entries))
	for _, e := range entries {
		region := g.hooks.Region(e.Zone)
		if x.origin.begun && e.Version != x.origin.version {
			continue
		}
		if !bbcatalog.InRegions(x.log.Regions, region) || g.hooks.BackoffUntil(e.ID) > 0 {
			continue
		}
		list = append(list, bbplain.Endpoint{
			ID:      e.ID,
			Address: e.Address,
			Zone:    e.Zone,
			Region:  region,
			Born:    e.StartedMillis,
			Cold:    e.Cold > 0,
		})
	}
	return g.chooseEndpoint(x, list, avoid)
}

// inRegions reports whether the configuration in force allows the request in a failure domain. It is called before each
// send: the configuration may have changed since the endpoint was chosen.
func (g *Gateway) inRegions(x *exchange, zone string) bool {
	return bbcatalog.InRegions(x.Regions(g.hooks.Index()), g.hooks.Region(zone))
}

// mayRepeat reports whether the retry allowance of the request's service permits one more retry, and
// consumes it.
func (g *Gateway) mayRepeat(x *exchange) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.windows.Of(x.service).Take(g.hooks.Now(), 1)
}

// offer sends the request to one endpoint. Again reports whether another one may get it.
func (g *Gateway) offer(ctx context.Context, x *exchange, e bbplain.Endpoint, runs int) (outcome bbhealth.Outcome, again bool) {
	repeatable := x.Route.Kind == bbcatalog.KindIdempotent && runs+1 < x.Route.MaxAttempts
	tryCtx := ctx
	if repeatable {
		var cancel context.CancelFunc
		tryCtx, cancel = context.WithTimeout(ctx, time.Duration(firstTimeoutFactor*float64(x.Route.Objective)))
		defer cancel()
	}
	return g.settle(ctx, x, e, g.start(tryCtx, x, e), repeatable)
}

// started is an attempt whose endpoint has begun to answer, or has failed to.
type started struct {
	// ctx bounds the attempt.
	ctx     context.Context
	run     run
	process bbstanding.Process
	// version is that of the endpoint's software; empty if it is unknown.
	version string
	// held is true if nothing was sent, because the endpoint must not get the request.
	held   bool
	answer *bbchannel.Answer
	// cleanup closes the connection; nil without an answer.
	cleanup func()
	err     error
}

// start sends the request to one endpoint and reads the head of its answer.
func (g *Gateway) start(ctx context.Context, x *exchange, e bbplain.Endpoint) started {
	s := started{
		ctx: ctx,
	}
	process, allowed := g.hooks.MaySend(e.ID)
	if !allowed || !g.inRegions(x, e.Zone) || !g.hooks.Permit(ctx, e.ID) || !g.inRegions(x, e.Zone) {
		s.held = true
		return s
	}
	version, ok := g.versionAt(x, e.ID, "")
	if !ok {
		s.held = true
		return s
	}
	s.process, s.version = process, version
	s.run = run{
		endpoint: e.ID,
		address:  e.Address,
		began:    g.hooks.Now(),
	}
	s.answer, s.cleanup, s.err = g.exchange(ctx, x, e.Address, g.endpointRequest(x, bbcodec.Forward{
		Endpoint: e.ID,
		Priority: bbcatalog.Priority(x.Route, x.Account),
	}))
	if s.err == nil {
		g.recordAnswer(x, e, s.process, s.run, s.answer, g.codec.Read(x.ID, s.answer))
	}
	return s
}

// settle gives the answer of an attempt to the caller. If there is none, it reports the failure; again reports
// whether another endpoint may get the request.
func (g *Gateway) settle(ctx context.Context, x *exchange, e bbplain.Endpoint, s started, repeatable bool) (outcome bbhealth.Outcome, again bool) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.chooser.Done(g.hooks.Now(), e.ID, outcome)
	}()
	if s.held {
		return bbhealth.OutcomeHeld, true
	}
	tryCtx, r, process, answer, err := s.ctx, s.run, s.process, s.answer, s.err
	if err != nil {
		if outcome = bbcodec.Outcome(err, bbcodec.AnswerInfo{}); outcome == bbhealth.OutcomeBroken {
			g.reportFailedRun(tryCtx, x, r, err)
		}
		return g.retryOrFailPlain(ctx, x, outcome, repeatable)
	}
	defer s.cleanup()
	reading := g.codec.Read(x.ID, answer)
	g.hooks.RecordSignal(process, reading.Signal, r.began)
	outcome = bbcodec.Outcome(nil, reading)
	if outcome == bbhealth.OutcomeGood || outcome == bbhealth.OutcomeFull {
		g.hooks.Answered(e.ID)
	}
	switch outcome {
	case bbhealth.OutcomeFull, bbhealth.OutcomeMoved:
		return outcome, true
	case bbhealth.OutcomeBroken:
		g.reportFailedRun(tryCtx, x, r, errNoReceipt)
		return g.retryOrFailPlain(ctx, x, outcome, repeatable)
	}
	if answer.Status >= http.StatusInternalServerError && repeatable && g.mayRepeat(x) {
		return bbhealth.OutcomeGood, g.retryFailed(ctx, x, answer)
	}
	if !reading.Signed && answer.Status < http.StatusMultipleChoices {
		g.reportFailedRun(tryCtx, x, r, errNoReceipt)
		return g.retryOrFailPlain(ctx, x, bbhealth.OutcomeBroken, repeatable)
	}
	if answer.Status < http.StatusMultipleChoices {
		g.streamBegins(x, s.version)
	}
	if err := g.deliver(ctx, x, answer); err != nil {
		r.answerStarted = true
		g.reportFailedRun(tryCtx, x, r, err)
		if x.sent {
			outcome = bbhealth.OutcomeBroken
			g.abort(x, "endpointBroke")
		}
		return g.retryOrFailPlain(ctx, x, bbhealth.OutcomeBroken, repeatable)
	}
	g.hooks.Succeeded(x.Content, nil, r.began)
	g.logEnd(x, "answered", "", answer.Status)
	return bbhealth.OutcomeGood, false
}

// retryFailed retries an idempotent request at another endpoint after the first one answered with a
// server error. If that isn't possible, the error response goes to the caller. It always returns false,
// since the request has ended.
func (g *Gateway) retryFailed(ctx context.Context, x *exchange, failed *bbchannel.Answer) bool {
	e, ok := g.choose(x, map[string]bool{
		x.log.Endpoint: true,
	})
	if ok && g.quarantineCause(x) == "" {
		x.log.Tries++
		x.log.Endpoint, x.log.Zone = e.ID, e.Zone
		if _, again := g.offer(ctx, x, e, x.Route.MaxAttempts); x.sent || !again {
			return false
		}
	}
	if err := g.deliver(ctx, x, failed); err != nil {
		if x.sent {
			g.abort(x, "endpointBroke")
		}
		g.fail(x, http.StatusBadGateway, "broken", 0)
		return false
	}
	g.logEnd(x, "answered", "endpointFailed", failed.Status)
	return false
}

// retryOrFailPlain reports whether a request without a complete answer may be offered to another endpoint,
// and ends the request if not.
func (g *Gateway) retryOrFailPlain(ctx context.Context, x *exchange, o bbhealth.Outcome, repeatable bool) (bbhealth.Outcome, bool) {
	switch {
	case errors.Is(x.r.Context().Err(), context.Canceled):
		g.logEnd(x, "left", "callerGone", 0)
		return o, false
	case o == bbhealth.OutcomeUnreachable && ctx.Err() == nil:
		return o, true
	case ctx.Err() != nil:
		g.fail(x, http.StatusGatewayTimeout, "timeOver", 0)
		return o, false
	case repeatable:
		return o, true
	}
	g.fail(x, http.StatusBadGateway, "broken", 0)
	return o, false
}
