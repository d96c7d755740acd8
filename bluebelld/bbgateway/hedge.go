package bbgateway

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/bluebelld/bbreadahead"
	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbhedge"
	"bluebellhall/core/bbplain"
	"bluebellhall/core/bbstanding"
	"bluebellhall/core/bbsuspect"
)

// The values of bbrecord.Request.Hedge.
const (
	hedgeWon  = "won"
	hedgeLost = "lost"
)

// Hedges returns the counts of hedged requests of each service.
func (g *Gateway) Hedges() map[string]bbhedge.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hedger.Counts()
}

// hedgeShare counts a request and returns the operators' bound on the hedges of its service as a fraction of
// the requests; 0 if no request is hedged.
func (g *Gateway) hedgeShare(x *exchange) float64 {
	shared := g.hooks.SharedMachines != nil && g.hooks.SharedMachines()
	share := g.hooks.ExtraSends.ShareOf(x.service)
	if !g.hooks.ExtraSends.Mode.Enabled(shared) || share <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hedger.Request(g.hooks.Now(), x.service, share)
	return share
}

// offerHedged is as offer, and also sends a slow idempotent request to a second endpoint if the share isn't 0
// and the hedger permits it. It adds the second endpoint to avoid, and to runs a run that offer's caller
// doesn't count.
func (g *Gateway) offerHedged(ctx context.Context, x *exchange, e bbplain.Endpoint, runs *int, avoid map[string]bool, share float64) (bbhealth.Outcome, bool) {
	if share == 0 {
		return g.offer(ctx, x, e, *runs)
	}
	if x.Route.Kind != bbcatalog.KindIdempotent || *runs+1 >= x.Route.MaxAttempts {
		began := g.hooks.Now()
		outcome, again := g.offer(ctx, x, e, *runs)
		g.observe(x, outcome, g.hooks.Now()-began)
		return outcome, again
	}
	h := &hedged{
		gateway: g,
		x:       x,
		ctx:     ctx,
		runs:    *runs,
		avoid:   avoid,
		share:   share,
		ended:   make(chan *fetch, maxFetches),
	}
	defer h.close()
	h.send(e)
	f := h.wait()
	// A server error is not followed by a third run.
	repeatable := h.repeatable() && (!f.answered() || h.count((*fetch).ran) == 1)
	*runs += max(0, h.count((*fetch).broken)-1)
	return h.settle(f, repeatable)
}

// observe records what an attempt shows of the load of its service.
func (g *Gateway) observe(x *exchange, o bbhealth.Outcome, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch o {
	case bbhealth.OutcomeGood:
		g.hedger.Answered(g.hooks.Now(), x.service, x.Route.Name, took)
	case bbhealth.OutcomeFull:
		g.hedger.Rejected(g.hooks.Now(), x.service)
	}
}

// maxFetches is the number of endpoints that may have a request at the same time.
const maxFetches = 2

// hedged is an idempotent request that up to maxFetches endpoints have at the same time. All methods are
// called by the handler of the request, which alone writes to the caller.
type hedged struct {
	gateway *Gateway
	x       *exchange
	ctx     context.Context
	// runs is the number of earlier runs.
	runs  int
	avoid map[string]bool
	share float64
	// fetches are the attempts; the second one is the hedge. Running is the number of those that have not
	// been received from ended.
	fetches []*fetch
	running int
	ended   chan *fetch
}

// fetch is one attempt, whose answer a goroutine reads. Until the goroutine has sent it to hedged.ended, the
// handler may only use endpoint, cancel, arriving, received and closed.
type fetch struct {
	started
	endpoint bbplain.Endpoint
	cancel   context.CancelFunc
	// arriving is true once the head of an answer has arrived that isn't an error.
	arriving atomic.Bool
	// exchange is a copy of the request's, for the log of this attempt.
	exchange exchange
	signal   bbstanding.Signal
	outcome  bbhealth.Outcome
	// bodyErr is the error of reading the first maxBuffered bytes of the body.
	bodyErr error
	// took is the duration of the attempt.
	took time.Duration
	// cancelled is true if the attempt ended because it was cancelled, while the request went on.
	cancelled bool
	// panicked is what the goroutine panicked with.
	panicked any
	// received is true once the fetch has ended, closed once its endpoint's table entry is up to date.
	received, closed bool
}

// broken reports whether the endpoint gave no complete answer.
func (f *fetch) broken() bool {
	return f.outcome == bbhealth.OutcomeBroken || f.outcome == bbhealth.OutcomeGood && f.bodyErr != nil
}

// answered reports whether there is a complete answer, or the part of a long one that fits into the buffer.
func (f *fetch) answered() bool {
	return f.outcome == bbhealth.OutcomeGood && f.bodyErr == nil
}

// good reports whether the answer may go to the caller at once.
func (f *fetch) good() bool {
	return f.answered() && f.answer.Status < http.StatusInternalServerError
}

// ran reports whether the request may have run.
func (f *fetch) ran() bool {
	return f.broken() || f.answered()
}

// send begins an attempt. Its goroutine ends when the context does.
func (h *hedged) send(e bbplain.Endpoint) {
	ctx, cancel := context.WithCancel(h.ctx)
	f := &fetch{
		endpoint: e,
		cancel:   cancel,
		exchange: *h.x,
	}
	h.fetches = append(h.fetches, f)
	h.running++
	go func() {
		defer func() {
			if f.panicked = recover(); f.panicked != nil {
				f.outcome = bbhealth.OutcomeHeld
			}
			h.ended <- f
		}()
		h.gateway.fetch(ctx, f)
		f.cancelled = ctx.Err() != nil && h.ctx.Err() == nil
	}()
}

// fetch makes an attempt and reads its answer up to the size of the buffer.
func (g *Gateway) fetch(ctx context.Context, f *fetch) {
	began := g.hooks.Now()
	f.started = g.start(ctx, &f.exchange, f.endpoint)
	switch {
	case f.held:
		f.outcome = bbhealth.OutcomeHeld
	case f.err != nil:
		f.outcome = bbcodec.Outcome(f.err, bbcodec.AnswerInfo{})
	default:
		reading := g.codec.Read(f.exchange.ID, f.answer)
		f.signal = reading.Signal
		f.outcome = bbcodec.Outcome(nil, reading)
		if f.outcome == bbhealth.OutcomeGood && !reading.Signed && f.answer.Status < http.StatusMultipleChoices {
			f.outcome = bbhealth.OutcomeBroken
		}
		if f.outcome == bbhealth.OutcomeGood {
			f.arriving.Store(f.answer.Status < http.StatusInternalServerError)
			f.buffer()
		}
	}
	f.took = g.hooks.Now() - began
}

// buffer reads the answer up to the size of the buffer, and has its body begin with that again.
func (f *fetch) buffer() {
	f.answer.Body, f.bodyErr = bbreadahead.Read(f.answer.Body, maxBuffered)
}

// receive takes over an attempt that has ended, with the panic of its goroutine if it had one.
func (h *hedged) receive(f *fetch) {
	h.running--
	f.received = true
	if f.panicked != nil {
		panic(f.panicked)
	}
}

// repeatable reports whether the request may run once more after the attempts so far.
func (h *hedged) repeatable() bool {
	return h.runs+h.count((*fetch).ran)+h.running < h.x.Route.MaxAttempts
}

// count returns the number of ended attempts with a property.
func (h *hedged) count(property func(*fetch) bool) int {
	n := 0
	for _, f := range h.fetches {
		if f.received && property(f) {
			n++
		}
	}
	return n
}

// wait waits until an attempt has a good answer, or all have ended, and returns the one that decides. It sends
// the hedge in the meantime.
func (h *hedged) wait() *fetch {
	g := h.gateway
	g.mu.Lock()
	delay := g.hedger.Delay(g.hooks.Now(), h.x.service, h.x.Route.Name, h.x.Route.Objective)
	g.mu.Unlock()
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	limit := time.NewTimer(time.Duration(firstTimeoutFactor * float64(h.x.Route.Objective)))
	defer limit.Stop()
	for {
		select {
		case f := <-h.ended:
			h.receive(f)
			if f.good() || h.running == 0 {
				return h.decisive()
			}
		case <-hedge.C:
			h.hedge()
		case <-limit.C:
			h.expire()
		}
	}
}

// expire ends an attempt that may still be followed by another one, as offer does.
func (h *hedged) expire() {
	if h.running > 1 || !h.repeatable() {
		return
	}
	for _, f := range h.fetches {
		if !f.received {
			f.cancel()
		}
	}
}

// hedge sends the request to a second endpoint if that is permitted.
func (h *hedged) hedge() {
	g := h.gateway
	if h.ctx.Err() != nil || h.fetches[0].arriving.Load() || h.x.log.Tries >= maxOffers {
		return
	}
	reason := h.permit((*bbhedge.Hedger).Check)
	if reason == bbhedge.Permitted && g.hooks.Suspicion(h.x.Content) != bbsuspect.Clear {
		// Content that may crash endpoints must not reach two at once.
		reason = bbhedge.Suspect
	}
	if reason != bbhedge.Permitted {
		h.deny(reason)
		return
	}
	e, ok := g.choose(h.x, h.avoid)
	if !ok {
		h.deny(bbhedge.NoEndpoint)
		return
	}
	if reason := h.permit((*bbhedge.Hedger).Take); reason != bbhedge.Permitted {
		g.release(e, bbhealth.OutcomeHeld)
		h.deny(reason)
		return
	}
	h.avoid[e.ID] = true
	h.x.log.Tries++
	h.send(e)
}

// permit asks the hedger.
func (h *hedged) permit(ask func(*bbhedge.Hedger, time.Duration, string, float64, *bballowance.Window) bbhedge.Reason) bbhedge.Reason {
	g := h.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return ask(g.hedger, g.hooks.Now(), h.x.service, h.share, g.windows.Of(h.x.service))
}

func (h *hedged) deny(reason bbhedge.Reason) {
	h.gateway.mu.Lock()
	defer h.gateway.mu.Unlock()
	h.gateway.hedger.Denied(h.x.service, reason)
}

// release ends the use of an endpoint by an attempt that doesn't settle the request.
func (g *Gateway) release(e bbplain.Endpoint, o bbhealth.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Done(g.hooks.Now(), e.ID, o)
}

// decisive returns the attempt that decides how the request goes on: the first with a good answer, else with a
// server error, else the first that may have run.
func (h *hedged) decisive() *fetch {
	for _, property := range []func(*fetch) bool{(*fetch).good, (*fetch).answered, (*fetch).ran} {
		for _, f := range h.fetches {
			if f.received && property(f) {
				return f
			}
		}
	}
	return h.fetches[0]
}

// settle cancels the other attempt and gives the answer of the decisive one to the caller, as Gateway.settle.
func (h *hedged) settle(f *fetch, repeatable bool) (bbhealth.Outcome, bool) {
	g := h.gateway
	for _, other := range h.fetches {
		if other == f {
			continue
		}
		other.cancel()
		if other.received {
			h.conclude(other)
		}
	}
	f.closed = true
	h.observe(f)
	h.x.log.Endpoint, h.x.log.Zone = f.endpoint.ID, f.endpoint.Zone
	h.x.log.Framing = f.exchange.log.Framing
	if len(h.fetches) > 1 {
		won := f == h.fetches[1] && f.good()
		h.x.log.Hedge = hedgeLost
		if won {
			h.x.log.Hedge = hedgeWon
		}
		g.mu.Lock()
		g.hedger.Ended(h.x.service, won)
		g.mu.Unlock()
	}
	return g.settle(h.ctx, h.x, f.endpoint, f.started, repeatable)
}

// conclude closes an attempt that doesn't settle the request, and reports its failure unless it was cancelled.
func (h *hedged) conclude(f *fetch) {
	g := h.gateway
	f.closed = true
	if f.cleanup != nil {
		f.cleanup()
	}
	if f.answer != nil {
		g.hooks.RecordSignal(f.process, f.signal, f.run.began)
		if f.answered() || f.outcome == bbhealth.OutcomeFull {
			g.hooks.Answered(f.endpoint.ID)
		}
	}
	outcome := f.outcome
	switch {
	case f.cancelled && (f.broken() || f.outcome == bbhealth.OutcomeUnreachable):
		outcome = bbhealth.OutcomeHeld
	case f.broken():
		outcome = bbhealth.OutcomeBroken
		// The attempt's own context may have been cancelled after the failure.
		g.reportFailedRun(h.ctx, h.x, f.failedRun(), f.cause())
	}
	h.observe(f)
	g.release(f.endpoint, outcome)
}

// observe records what an attempt shows of the load. One that was cancelled took at least as long.
func (h *hedged) observe(f *fetch) {
	switch {
	case f.answered(), f.cancelled && f.broken():
		h.gateway.observe(h.x, bbhealth.OutcomeGood, f.took)
	case f.outcome == bbhealth.OutcomeFull:
		h.gateway.observe(h.x, f.outcome, f.took)
	}
}

// failedRun returns the run of a broken attempt.
func (f *fetch) failedRun() run {
	r := f.run
	r.answerStarted = f.bodyErr != nil
	return r
}

// cause returns why an attempt is broken.
func (f *fetch) cause() error {
	switch {
	case f.err != nil:
		return f.err
	case f.bodyErr != nil:
		return f.bodyErr
	}
	return errNoReceipt
}

// close cancels the attempts that have not ended, waits for their goroutines and closes their connections.
func (h *hedged) close() {
	for _, f := range h.fetches {
		f.cancel()
	}
	for h.running > 0 {
		f := <-h.ended
		h.running--
		f.received = true
	}
	var panicked any
	for _, f := range h.fetches {
		if !f.closed {
			h.conclude(f)
			panicked = cmp.Or(panicked, f.panicked)
		}
	}
	if panicked != nil {
		panic(panicked)
	}
}
