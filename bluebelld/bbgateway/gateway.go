// Package bbgateway serves callers: it finds the route and the account of a request, asks
// for an endpoint, sends the request there and passes the answer on as it arrives.
package bbgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhall/bluebelld/bbadmission"
	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpatience"
	"bluebellhall/core/bbplain"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
	"bluebellhall/core/bbsuspect"
)

// Logged is one line on a request, written when it ends.
type RequestLog struct {
	ID, Route string
	// Kind is that of the route: read, once or stream.
	Kind string
	// Outcome is a word for how the request ended, Cause why if it wasn't answered.
	Outcome, Cause string
	// Endpoint is the last one that got the request, Coordinator the VM that granted it.
	Endpoint, Coordinator string
	Status, Tries         int
	// Limit is how long the request might take; 0 if it ended before that was known.
	Limit time.Duration
	// Granted, First and Took are the times from arrival to the grant of an engine, to the
	// first part of the answer and to the end.
	Granted, First, Took time.Duration
	// OnTime is true for answers within the objective.
	OnTime bool
	// Version is the configuration that was in force.
	Version uint64
	// Content names what the request asks, the same for each attempt of its caller; 0 if it
	// ended before that was known.
	Content uint64
}

// Broken is a run of a request at an endpoint that gave no whole answer.
type FailedRun struct {
	ID      string
	Content uint64
	// Endpoint is its ID, Cause how the exchange ended.
	Endpoint, Address string
	Cause             error
	// Ran is the time since the request was sent.
	Duration time.Duration
	// Silent is true when the time was over, rather than the connection.
	TimedOut bool
	// Begun is true when a part of the answer had arrived.
	AnswerStarted bool
}

// Seams are the gateway's effects on the outside.
type Hooks struct {
	Now func() time.Duration
	// Index returns the configuration in force, or nil.
	Index func() *bbcatalog.Index
	// Endpoints returns the endpoints of a service that may get new work.
	Endpoints func(service string) []*bbregistry.Entry
	// MaySend tells whether this VM may send something to an endpoint now, and which of its
	// processes gets it.
	MaySend func(id string) (bbstanding.Process, bool)
	// Heard takes in what a process of an endpoint says of itself.
	RecordSignal func(p bbstanding.Process, w bbstanding.Signal)
	// RestUntil returns when an endpoint that wants nothing of this VM may get something again; 0
	// if it may now.
	BackoffUntil func(id string) time.Duration
	Region       func(zone string) string
	// Order asks the coordinator for an engine and names who answered.
	Order func(ctx context.Context, o bbjob.Order) (bbjob.Verdict, string, error)
	// Note tells a coordinator of progress.
	Note func(coordinator string, n bbjob.Note)
	Log  func(l RequestLog)
	// Broke tells of a run without a whole answer, unless the caller left.
	RunFailed func(b FailedRun)
	// Answered tells that an endpoint answered.
	Answered func(endpoint string)
	// Succeeded tells of a run of a content that came to a good end, and when it began.
	Succeeded func(content uint64, began time.Duration)
	// Suspicion tells how a content is to be treated that may crash endpoints.
	Suspicion func(content uint64) bbsuspect.Verdict
	// Window returns the allowance for repeats of a service that is new; it is called under
	// a lock.
	NewWindow func() *bballowance.Window
	// Leaving is true once this VM is stopping.
	Leaving func() bool
}

// Gateway serves callers.
type Gateway struct {
	codec bbcodec.Codec
	hooks Hooks
	// name, zone and region are those of this VM.
	name, zone, region string

	// waiting ends when requests must wait no more for an engine; stopWaiting ends it.
	waitCtx     context.Context
	stopWaiting context.CancelFunc

	// open counts the requests in progress, exchanges the connections to endpoints.
	open, exchanges atomic.Int64

	mu      sync.Mutex
	chooser *bbplain.Chooser
	// patience has how long the callers of each route wait.
	patience *bbpatience.Table
	windows  bballowance.Windows
}

// New returns a gateway of a VM.
func New(name, zone, region string, c bbcodec.Codec, s Hooks) *Gateway {
	waiting, stopWaiting := context.WithCancel(context.Background())
	return &Gateway{
		waitCtx:     waiting,
		stopWaiting: stopWaiting,
		codec:       c,
		hooks:       s,
		name:        name,
		zone:        zone,
		region:      region,
		chooser:     bbplain.NewChooser(),
		patience:    bbpatience.NewTable(),
		windows: bballowance.Windows{
			New: s.NewWindow,
		},
	}
}

// StopWaiting refuses the requests that wait for an engine, now and from now on: the process
// ends soon, and what has not begun is better served by another VM.
func (g *Gateway) StopWaiting() {
	g.stopWaiting()
}

// startRetryAfter is for callers of a VM that knows no configuration yet.
const defaultRetryAfter = 500 * time.Millisecond

// exchange is one request of a caller in progress.
type exchange struct {
	bbadmission.Admitted
	w       http.ResponseWriter
	r       *http.Request
	service string
	// began and limit are by the steady clock.
	began    time.Duration
	deadline time.Duration
	// sent is true once a part of the answer went to the caller.
	sent bool
	log  RequestLog
}

// Open returns the number of requests in progress.
func (g *Gateway) Open() int64 {
	return g.open.Load()
}

// Exchanges returns the number of open connections to endpoints.
func (g *Gateway) Exchanges() int64 {
	return g.exchanges.Load()
}

// RepeatsLeft returns the repeats that each plain service may have now.
func (g *Gateway) RepeatsLeft() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.windows.Left(g.hooks.Now())
}

// exchange sends a request to an endpoint.
func (g *Gateway) exchange(ctx context.Context, address string, r *http.Request) (*bbchannel.Answer, func(), error) {
	g.exchanges.Add(1)
	answer, cleanup, err := bbchannel.Exchange(ctx, address, r)
	if err != nil {
		g.exchanges.Add(-1)
		return nil, nil, err
	}
	return answer, func() {
		cleanup()
		g.exchanges.Add(-1)
	}, nil
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	x := &exchange{
		w:     w,
		r:     r,
		began: g.hooks.Now(),
	}
	if g.hooks.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if status, cause := g.admit(x); status != 0 {
		g.fail(x, status, cause, retryAfter(cause))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline-x.began)
	defer cancel()
	// A caller that doesn't read must not hold the answer in memory for ever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(x.deadline - x.began + time.Second))
	if x.needsCoordinator() {
		g.pipeline(ctx, x)
		return
	}
	g.plain(ctx, x)
}

// admit takes a request in. It returns a status and a cause if the request ends here.
func (g *Gateway) admit(x *exchange) (status int, cause string) {
	x.Admitted, status, cause = bbadmission.Admit(x.w, x.r, g.hooks.Index(), g.codec.Decode)
	if x.Index != nil {
		x.log.Version = x.Index.Catalog.Version
	}
	if x.Route != nil {
		x.log.Route = x.Route.Name
		x.log.Kind = kindNames[x.Route.Kind]
	}
	switch {
	case status != 0:
		return status, cause
	case g.isRefused(x):
		return http.StatusServiceUnavailable, causeSuspect
	}
	x.deadline = x.began + x.MaxWait()
	x.service = x.Route.Pick(rand.Float64())
	return 0, ""
}

// staged tells whether the request goes through the coordinator.
func (x *exchange) needsCoordinator() bool {
	s := x.Index.Service(x.service)
	return len(x.Route.Stages) > 0 || (s != nil && s.Engine != nil)
}

// kinds are the words for kinds of routes in logs and metrics.
var kindNames = map[bbcatalog.Kind]string{
	bbcatalog.KindIdempotent: "read",
	bbcatalog.KindOnce:       "once",
	bbcatalog.KindStream:     "stream",
}
