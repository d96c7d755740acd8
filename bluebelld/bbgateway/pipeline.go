package bbgateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/bluebelld/bbstream"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbjob"
)

// maxGrants bounds the engines that one request is offered to.
const maxGrants = 5

// pipeline serves a request that needs an engine: the coordinator runs its stages and grants the engine.
func (g *Gateway) pipeline(ctx context.Context, x *exchange) {
	if g.refuseIfAllBackOff(x) {
		return
	}
	order := g.newOrder(x)
	var avoid []string
	runs := 0
	for x.log.Tries < maxGrants {
		now := g.hooks.Now()
		order.Limit = x.firstEventDeadline() - now
		order.Suspicion = g.hooks.Suspicion(x.Content)
		order.Avoid = g.withBackedOff(x, avoid)
		order.Version = x.origin.version
		order.Regions, order.CatalogVersion = g.regionsInForce(x)
		x.log.Regions = order.Regions
		verdict, coordinator, err := g.requestEngine(ctx, order)
		if err != nil || verdict.Grant == nil {
			g.endUngranted(ctx, x, runs, verdict)
			return
		}
		x.log.Tries++
		x.log.Endpoint = verdict.Grant.Endpoint
		x.log.Zone = g.hooks.Zone(x.log.Endpoint)
		x.log.Coordinator = coordinator
		if x.log.Granted == 0 {
			x.log.Granted = g.hooks.Now() - x.began
		}
		t := &attempt{
			exchange:    x,
			grant:       *verdict.Grant,
			coordinator: coordinator,
		}
		outcome, again := g.run(ctx, t, runs)
		if !again {
			return
		}
		if outcome == bbhealth.OutcomeBroken {
			runs++
		}
		order.Objective -= g.hooks.Now() - now
		order.InputsGone = t.inputsGone
		if !t.inputsGone && !t.late {
			avoid = append(avoid, t.grant.Endpoint)
		}
		order.Repeat = outcome.Sent()
	}
	g.giveUp(ctx, x, runs, "tries")
}

// requestEngine requests an engine from the coordinator. It stops waiting when StopWaiting is called.
func (g *Gateway) requestEngine(ctx context.Context, o bbjob.Order) (bbjob.Verdict, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.waitCtx, cancel)()
	return g.hooks.Order(ctx, o)
}

// newOrder returns the order for a request, without the fields that change with each attempt.
func (g *Gateway) newOrder(x *exchange) bbjob.Order {
	account := ""
	if x.Account != nil {
		account = x.Account.Name
	}
	return bbjob.Order{
		ID:        x.ID,
		Origin:    g.name,
		Route:     x.Route.Name,
		Service:   x.service,
		Account:   account,
		Key:       x.PieceKey,
		Prompt:    x.Prompt,
		Priority:  bbcatalog.Priority(x.Route, x.Account),
		Objective: x.Route.Objective,
		Elapsed:   g.elapsed(x),
		Resumable: x.Route.Resumable,
		Zone:      g.zone,
		Region:    g.region,
		BodyBytes: len(x.Body),
		Stages:    bbjob.Stages(x.Route, x.Pieces),

		Fingerprint: x.Content,
	}
}

// regionsInForce returns the regions in which the request may be served, and the version of the configuration in force.
func (g *Gateway) regionsInForce(x *exchange) ([]string, uint64) {
	index := cmp.Or(g.hooks.Index(), x.Index)
	return x.Regions(index), index.Catalog.Version
}

// elapsed returns the estimated time since the caller's first attempt, or 0 if that can't be estimated.
func (g *Gateway) elapsed(x *exchange) time.Duration {
	if x.Wait <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.patience.Elapsed(x.Route.Name, x.Wait, x.Route.Timeout)
}

// firstEventDeadline returns when the caller times out if no part of the answer has arrived by then. Once
// a part has been sent, it is the deadline of the whole request.
func (x *exchange) firstEventDeadline() time.Duration {
	within := x.Route.FirstEventWithin()
	if within == 0 || x.sent {
		return x.deadline
	}
	return min(x.deadline, x.began+within)
}

// endUngranted ends a request for which no engine was granted.
func (g *Gateway) endUngranted(ctx context.Context, x *exchange, runs int, v bbjob.Verdict) {
	if v.Refusal == nil {
		cause := "noCoordinator"
		if g.waitCtx.Err() != nil {
			cause = "leaving"
		}
		g.giveUp(ctx, x, runs, cause)
		return
	}
	if runs > 0 {
		g.giveUp(ctx, x, runs, v.Refusal.Reason)
		return
	}
	x.log.First = v.Refusal.Expected
	g.fail(x, http.StatusServiceUnavailable, v.Refusal.Reason, v.Refusal.RetryAfter)
}

// giveUp ends a request that can't be served. Runs is the number of times that it may have run.
func (g *Gateway) giveUp(ctx context.Context, x *exchange, runs int, cause string) {
	switch {
	case errors.Is(x.r.Context().Err(), context.Canceled):
		g.logEnd(x, "left", "callerGone", 0)
		if x.sent {
			panic(http.ErrAbortHandler)
		}
	case x.sent:
		g.abort(x, cause)
	case runs > 0 && ctx.Err() != nil:
		g.fail(x, http.StatusGatewayTimeout, "timeOver", 0)
	case runs > 0:
		g.fail(x, http.StatusBadGateway, cause, 0)
	default:
		g.fail(x, http.StatusServiceUnavailable, cause, retryAfter(cause))
	}
}

// attempt is the use of one grant of an engine.
type attempt struct {
	*exchange
	grant       bbjob.Grant
	coordinator string
	// version is that of the engine's software; empty if it is unknown.
	version string
	// answerStarted is true once a part of the answer has arrived.
	answerStarted bool
	// firstEvent is when the first event of the answer was complete; 0 if there is none.
	firstEvent time.Duration
	// inputsGone is true if the engine reported that an input no longer exists.
	inputsGone bool
	// late is true if the grant was too old to be used.
	late bool
}

// run sends the request to the granted engine, forwards the answer and reports the outcome to the
// coordinator. Again reports whether another engine may be requested.
func (g *Gateway) run(ctx context.Context, t *attempt, runs int) (outcome bbhealth.Outcome, again bool) {
	note := bbjob.Note{
		ID:       t.ID,
		Endpoint: t.grant.Endpoint,
		Ended:    true,
	}
	defer func() {
		note.Outcome = outcome
		note.Again = again
		if t.late && t.log.Tries < maxGrants {
			// The next order gives the grant back. A note that came after it would end the next grant if that
			// is for the same engine.
			return
		}
		g.hooks.Note(t.coordinator, note)
	}()
	if cause := g.quarantineCause(t.exchange); cause != "" {
		g.giveUp(ctx, t.exchange, runs, cause)
		return bbhealth.OutcomeFull, false
	}
	if !g.grantHolds(t.exchange, t.grant) {
		t.late = true
		return bbhealth.OutcomeHeld, true
	}
	process, allowed := g.hooks.MaySend(t.grant.Endpoint)
	version, ok := g.versionAt(t.exchange, t.grant.Endpoint, t.grant.Version)
	t.version = version
	if !allowed || !ok || !g.hooks.GrantHolds(t.grant, t.coordinator) || !g.inGrantedRegions(t) {
		return bbhealth.OutcomeHeld, true
	}
	r := run{
		endpoint: t.grant.Endpoint,
		address:  t.grant.Address,
		began:    g.hooks.Now(),
	}
	answer, cleanup, err := g.exchange(ctx, t.exchange, t.grant.Address, g.endpointRequest(t.exchange, bbcodec.Forward{
		Endpoint:  t.grant.Endpoint,
		Priority:  bbcatalog.Priority(t.Route, t.Account),
		Engine:    true,
		Staged:    len(t.Route.Stages) > 0,
		Inputs:    t.grant.Inputs,
		LastEvent: t.LastEvent,
	}))
	if err != nil {
		outcome = bbcodec.Outcome(err, bbcodec.AnswerInfo{})
		if outcome == bbhealth.OutcomeBroken {
			g.reportFailedRun(ctx, t.exchange, r, err)
		}
		return outcome, g.retryOrFailStaged(ctx, t, outcome, runs)
	}
	defer cleanup()
	reading := g.codec.Read(t.ID, answer)
	g.hooks.RecordSignal(process, reading.Signal, r.began)
	outcome = bbcodec.Outcome(nil, reading)
	if outcome == bbhealth.OutcomeGood || outcome == bbhealth.OutcomeFull {
		g.hooks.Answered(t.grant.Endpoint)
	}
	switch {
	case reading.InputsGone:
		t.inputsGone = true
		return bbhealth.OutcomeFull, true
	case outcome == bbhealth.OutcomeFull || outcome == bbhealth.OutcomeMoved:
		return outcome, true
	case outcome == bbhealth.OutcomeBroken || (!reading.Signed && answer.Status < http.StatusMultipleChoices):
		g.reportFailedRun(ctx, t.exchange, r, errNoReceipt)
		return bbhealth.OutcomeBroken, g.retryOrFailStaged(ctx, t, bbhealth.OutcomeBroken, runs)
	}
	if t.sent && answer.Status != t.status {
		g.reportFailedRun(ctx, t.exchange, r, errors.Wrapf(errNotContinued, "status %d", answer.Status))
		return bbhealth.OutcomeBroken, g.retryOrFailStaged(ctx, t, bbhealth.OutcomeBroken, runs)
	}
	if err := g.stream(ctx, t, answer); err != nil {
		r.answerStarted = t.answerStarted
		r.firstEvent = t.firstEvent
		g.reportFailedRun(ctx, t.exchange, r, err)
		if g.hooks.Now() >= t.deadline || errors.Is(t.r.Context().Err(), context.Canceled) {
			// The deadline passed or the caller disconnected, which says nothing about the engine.
			g.giveUp(ctx, t.exchange, runs+1, "timeOver")
			return bbhealth.OutcomeFull, false
		}
		return bbhealth.OutcomeBroken, g.retryOrFailStaged(ctx, t, bbhealth.OutcomeBroken, runs)
	}
	var parts []uint64
	if answer.Status < http.StatusMultipleChoices {
		parts = t.parts
	}
	g.hooks.Succeeded(t.Content, parts, r.began)
	g.logEnd(t.exchange, "answered", "", answer.Status)
	return bbhealth.OutcomeGood, false
}

// inGrantedRegions reports whether the configuration in force allows the request in the region of the granted engine. A
// later configuration, by which the coordinator has granted it, has the last word.
func (g *Gateway) inGrantedRegions(t *attempt) bool {
	if _, version := g.regionsInForce(t.exchange); t.grant.CatalogVersion > version {
		return true
	}
	return g.inRegions(t.exchange, g.hooks.Zone(t.grant.Endpoint))
}

// grantHolds reports whether a grant is recent enough to be used. Each late grant of a request doubles the age up to which
// the next one may be used: an order that is sent again after a freeze is answered soon, so that the next grant is late
// only if all messages take long. These are late by the same time and don't come at once.
func (g *Gateway) grantHolds(x *exchange, grant bbjob.Grant) bool {
	grant.ValidFor <<= min(x.log.LateGrants, maxGrants)
	if grant.HoldsAt(g.hooks.Now()) {
		return true
	}
	x.log.LateGrants++
	return false
}

// retryOrFailStaged reports whether a request without a complete answer may be sent to another engine, and
// ends the request if not.
func (g *Gateway) retryOrFailStaged(ctx context.Context, t *attempt, o bbhealth.Outcome, runs int) bool {
	mayGoOn := ctx.Err() == nil && (!t.sent || t.resumable()) && g.canContinue(t.exchange)
	if mayGoOn && o == bbhealth.OutcomeUnreachable {
		return true
	}
	repeatable := t.Route.Kind == bbcatalog.KindIdempotent || (t.Route.Kind == bbcatalog.KindStream && t.Route.Resumable)
	if mayGoOn && repeatable && runs+1 < t.Route.MaxAttempts {
		return true
	}
	if o == bbhealth.OutcomeBroken {
		runs++
	}
	g.giveUp(ctx, t.exchange, runs, "broken")
	return false
}

// resumable reports whether another engine can go on with an answer of which a part has been sent. What follows an
// error, an answer that isn't a stream or an event without an ID could only be the whole answer once more.
func (x *exchange) resumable() bool {
	return x.Route.Kind == bbcatalog.KindStream && x.Route.Resumable && x.status < http.StatusMultipleChoices && x.events.Resumable()
}

// stream forwards an answer as it arrives. An error means that the endpoint's answer broke off; without
// one, the answer has been forwarded completely.
func (g *Gateway) stream(ctx context.Context, t *attempt, a *bbchannel.Answer) error {
	if a.Status >= http.StatusMultipleChoices {
		return g.deliver(ctx, t.exchange, a)
	}
	body, isStream := a.Body.(*bbstream.Body)
	events := bbstream.New(t.Route.Resumable, &t.events)
	if t.sent {
		events = bbstream.Resume(&t.events)
	}
	flusher := http.NewResponseController(t.w)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 && !t.answerStarted {
			t.answerStarted = true
			if t.log.First == 0 {
				t.log.First = g.hooks.Now() - t.began
			}
			g.hooks.Note(t.coordinator, bbjob.Note{
				ID:       t.ID,
				Endpoint: t.grant.Endpoint,
				Started:  true,
			})
		}
		if t.firstEvent == 0 && isStream && body.HasEvent() {
			t.firstEvent = g.hooks.Now()
		}
		complete, unusable := events.Add(buffer[:n])
		if unusable != nil {
			return unusable
		}
		if len(complete) > 0 {
			if !t.sent {
				g.streamBegins(t.exchange, t.version)
				g.sendHead(t.exchange, a, -1)
			}
			g.write(ctx, t.exchange, complete)
			if t.events.Last != "" {
				t.LastEvent = t.events.Last
			}
			if err := flusher.Flush(); err != nil {
				g.abort(t.exchange, "callerGone")
			}
		}
		if errors.Is(err, io.EOF) {
			if !t.sent {
				g.sendHead(t.exchange, a, a.Length)
			}
			g.write(ctx, t.exchange, events.Rest())
			return nil
		}
		if err != nil {
			return err
		}
	}
}
