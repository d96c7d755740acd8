// Package bbgateway serves callers: it finds the route and the account of a request, selects an endpoint
// or requests an engine from the coordinator, sends the request there and forwards the answer as it
// arrives.
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
	"bluebellhall/bluebelld/bbrecord"
	"bluebellhall/bluebelld/bbstartwait"
	"bluebellhall/bluebelld/bbstream"
	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbhedge"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpatience"
	"bluebellhall/core/bbplain"
	"bluebellhall/core/bbprovenance"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
	"bluebellhall/core/bbsuspect"
)

// Hooks connect the gateway to the rest of the process.
type Hooks struct {
	Now func() time.Duration
	// Index returns the configuration in force, or nil.
	Index func() *bbcatalog.Index
	// AwaitReady returns once this VM has a configuration and endpoints, or when it can't be expected to get them
	// soon; nil returns at once.
	AwaitReady func(ctx context.Context)
	// Endpoints returns the endpoints of a service that may get new work.
	Endpoints func(service string) []*bbregistry.Entry
	// MaySend reports whether this VM may send a request to an endpoint now, and which process of the
	// endpoint receives it.
	MaySend func(id string) (bbstanding.Process, bool)
	// RecordSignal records the load signal in an answer of an endpoint's process to a request that was sent at
	// the given time.
	RecordSignal func(p bbstanding.Process, w bbstanding.Signal, sent time.Duration)
	// GrantHolds reports whether a grant of a coordinator is within the limit that its engine has named.
	GrantHolds func(grant bbjob.Grant, coordinator string) bool
	// Permit reports whether one more request is within the limit that an endpoint of a plain service has named.
	Permit func(ctx context.Context, endpoint string) bool
	// BackoffUntil returns when the backoff ends that an endpoint has requested from this VM; 0 if there
	// is none.
	BackoffUntil func(id string) time.Duration
	Region       func(zone string) string
	// Zone returns the failure domain of a usable endpoint; empty if it is unknown.
	Zone func(endpoint string) string
	// VersionOf returns the version of the software of a usable endpoint, which is empty if its entry states none. It
	// returns false if the endpoint isn't usable.
	VersionOf func(endpoint string) (string, bool)
	// Unversioned reports whether no endpoint of a service states a version.
	Unversioned func(service string) bool
	// SoleVersion returns the version of a service if it has had no endpoints of another one for as long as a stream
	// may last.
	SoleVersion func(service string) (string, bool)
	// StreamBegan records which version of a service wrote the first event of the stream that an attempt gets, and the
	// content of the request.
	StreamBegan func(attempt string, content uint64, service, version string)
	// FindStream returns the record of the stream that began in an attempt or, if the caller doesn't state the attempt,
	// of the streams that a content got. It returns false if there is none, or if they differ. The streams can only have
	// begun at a service, or at one of several if that is empty.
	FindStream func(ctx context.Context, attempt string, content uint64, service string) (bbprovenance.Record, bool)
	// Order requests an engine from the coordinator. It also returns the name of the VM that answered.
	Order func(ctx context.Context, o bbjob.Order) (bbjob.Verdict, string, error)
	// Note reports the progress of a granted request to its coordinator.
	Note func(coordinator string, n bbjob.Note)
	Log  func(l bbrecord.Request)
	// RunFailed reports a run without a complete answer, unless the caller disconnected.
	RunFailed func(b bbrecord.FailedRun)
	// Answered reports that an endpoint answered.
	Answered func(endpoint string)
	// Succeeded reports a successful run of a content and when it began. Parts are those of its prompt that
	// other requests may have too; empty if it generated nothing.
	Succeeded func(content uint64, parts []uint64, began time.Duration)
	// Suspicion returns the verdict on a content, which is stricter if it may have crashed endpoints.
	Suspicion func(content uint64) bbsuspect.Verdict
	// RefusesPrompt reports whether a prompt with the given parts must not run, because one has crashed engines.
	RefusesPrompt func(parts []uint64) bool
	// NewWindow returns a new retry allowance for a service. It is called with the gateway's lock held.
	NewWindow func() *bballowance.Window
	// Leaving reports whether this VM is draining.
	Leaving func() bool
	// ExtraSends are the operators' settings of hedged requests; the zero value turns them off.
	ExtraSends bbfeature.ExtraSends
	// SharedMachines reports whether endpoints of the deployment share their machines with other work, which turns
	// on the parts with [bbfeature.ModeAuto]. Nil means that they don't.
	SharedMachines func() bool
	// EndpointSpeed says when plain endpoints are chosen by measured times; the zero value is never.
	EndpointSpeed bbfeature.Mode
}

// Gateway serves the callers of one VM.
type Gateway struct {
	codec bbcodec.Codec
	hooks Hooks
	// name, zone and region are those of this VM.
	name, zone, region string

	// waitCtx bounds the waits of requests for an engine; stopWaiting cancels it.
	waitCtx     context.Context
	stopWaiting context.CancelFunc

	// open counts the requests in progress, exchanges the open connections to endpoints.
	open, exchanges atomic.Int64
	// starting holds requests while this VM starts.
	starting bbstartwait.Holder

	mu      sync.Mutex
	chooser *bbplain.Chooser
	// patience estimates from the stated waits of a route's callers when they made their first attempt.
	patience *bbpatience.Table
	windows  bballowance.Windows
	hedger   *bbhedge.Hedger
}

// New returns a gateway of a VM.
func New(name, zone, region string, c bbcodec.Codec, s Hooks) *Gateway {
	if s.Zone == nil {
		s.Zone = func(string) string { return "" }
	}
	if s.VersionOf == nil {
		s.VersionOf = func(string) (string, bool) { return "", true }
	}
	if s.Unversioned == nil {
		s.Unversioned = func(string) bool { return true }
	}
	if s.SoleVersion == nil {
		s.SoleVersion = func(string) (string, bool) { return "", false }
	}
	if s.StreamBegan == nil {
		s.StreamBegan = func(string, uint64, string, string) {}
	}
	if s.FindStream == nil {
		s.FindStream = func(context.Context, string, uint64, string) (bbprovenance.Record, bool) {
			return bbprovenance.Record{}, false
		}
	}
	if s.SharedMachines == nil {
		s.SharedMachines = func() bool { return false }
	}
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
		hedger: bbhedge.NewHedger(rand.Float64()),
	}
}

// StopWaiting refuses all requests that wait for an engine, now and from now on. The process ends soon,
// and another VM can serve a request better that has not begun to run.
func (g *Gateway) StopWaiting() {
	g.stopWaiting()
}

// defaultRetryAfter is the suggested retry delay if there is no estimate, for instance while this VM has no
// configuration yet.
const defaultRetryAfter = 500 * time.Millisecond

// exchange is one request of a caller in progress.
type exchange struct {
	bbadmission.Admitted
	w       http.ResponseWriter
	r       *http.Request
	service string
	// began and deadline are times of the monotonic clock of Hooks.Now.
	began    time.Duration
	deadline time.Duration
	// sent is true once a part of the answer has been sent to the caller; status is then the answer's.
	sent   bool
	status int
	// events are the IDs of the events that have been sent on a route whose streams may be resumed.
	events bbstream.IDs
	origin origin
	// parts are the parts of the prompt that other requests may have too.
	parts []uint64
	log   bbrecord.Request
}

// Open returns the number of requests in progress.
func (g *Gateway) Open() int64 {
	return g.open.Load()
}

// Exchanges returns the number of open connections to endpoints.
func (g *Gateway) Exchanges() int64 {
	return g.exchanges.Load()
}

// SetRetrySlack sets the number of retries of each service that this VM may make in a window regardless of the
// requests.
func (g *Gateway) SetRetrySlack(slack float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.windows.SetSlack(slack)
}

// RepeatsLeft returns the number of retries that the allowance of each plain service permits now.
func (g *Gateway) RepeatsLeft() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.windows.Left(g.hooks.Now())
}

// exchange sends a request to an endpoint. The body of its answer returns io.EOF only if it is complete.
func (g *Gateway) exchange(ctx context.Context, x *exchange, address string, r *http.Request) (*bbchannel.Answer, func(), error) {
	g.exchanges.Add(1)
	answer, cleanup, err := bbchannel.Exchange(ctx, address, r)
	if err != nil {
		g.exchanges.Add(-1)
		return nil, nil, err
	}
	x.log.Framing = answer.Framing.String()
	if x.Route.Kind == bbcatalog.KindStream && answer.Status < http.StatusMultipleChoices {
		answer.Body = bbstream.NewBody(answer.Body, answer.Framing == bbchannel.FramingConnection)
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
	if g.hooks.AwaitReady != nil && g.hooks.Index() == nil {
		g.starting.Hold(w, r, g.codec.Decode, g.hooks.AwaitReady)
	}
	if status, cause := g.admit(x); status != 0 {
		g.fail(x, status, cause, retryAfter(cause))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline-x.began)
	defer cancel()
	// Without a write deadline, a caller that doesn't read would keep the answer in memory forever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(x.deadline - x.began + time.Second))
	if x.needsCoordinator() {
		g.pipeline(ctx, x)
	} else {
		g.plain(ctx, x)
	}
	if !x.sent {
		// The caller is gone, or has closed only its own direction of the connection. Without an answer from here,
		// net/http would send an empty 200.
		panic(http.ErrAbortHandler)
	}
}

// admit validates a request and determines its route, content, deadline and service. It returns a status
// and a cause if the request ends here.
func (g *Gateway) admit(x *exchange) (status int, cause string) {
	x.Admitted, status, cause = bbadmission.Admit(x.w, x.r, g.hooks.Index(), g.codec.Decode)
	if x.Index != nil {
		x.log.Version = x.Index.Catalog.Version
	}
	if x.Route != nil {
		x.log.Route = x.Route.Name
		x.log.Kind = kindNames[x.Route.Kind]
	}
	if status != 0 {
		return status, cause
	}
	x.service = x.Route.Pick(rand.Float64())
	if !g.findOrigin(x.r.Context(), x) {
		return http.StatusServiceUnavailable, causeStreamUnknown
	}
	if x.needsCoordinator() {
		x.parts = x.Prompt.SharedParts(x.service)
	}
	if cause := g.quarantineCause(x); cause != "" {
		return http.StatusServiceUnavailable, cause
	}
	x.deadline = x.began + x.MaxWait()
	return 0, ""
}

// needsCoordinator reports whether the request needs a grant of the coordinator, because its route has
// stages or its service has engines.
func (x *exchange) needsCoordinator() bool {
	s := x.Index.Service(x.service)
	return len(x.Route.Stages) > 0 || (s != nil && s.Engine != nil)
}

// kindNames are the names of the kinds of routes in logs and metrics.
var kindNames = map[bbcatalog.Kind]string{
	bbcatalog.KindIdempotent: "read",
	bbcatalog.KindOnce:       "once",
	bbcatalog.KindStream:     "stream",
}
