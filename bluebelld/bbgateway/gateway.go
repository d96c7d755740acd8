// Package bbgateway serves callers: it finds the route and the account of a request, asks
// for an endpoint, sends the request there and passes the answer on as it arrives.
package bbgateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbpatience"
	"bluebellhall/core/bbplain"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
	"bluebellhall/core/bbsuspect"
)

// Request is what a caller's headers say.
type Request struct {
	// ID is new for each attempt of the caller.
	ID string
	// Key names the client account; empty if there is none.
	Key string
	// Wait is how long the caller waits; 0 if it doesn't say.
	Wait time.Duration
	// Prompt is set for requests that generate tokens.
	Prompt bbjob.Prompt
	// Pieces has the number of pieces of each stage; a stage beyond its end has one.
	Pieces []int
	// PieceKey names the input of the stages that need no results.
	PieceKey string
	// LastEvent is set when a caller goes on with a stream that broke off.
	LastEvent string
}

// Forward is what an endpoint is told besides the caller's own headers.
type Forward struct {
	// Endpoint is the one that should run the request; another one must turn it away.
	Endpoint string
	// Left is the time until the caller gives up.
	Left time.Duration
	// Account is the name of the client account; empty if there is none.
	Account string
	// HasAccounts is true when keys are in use, so that the caller's must not be passed on.
	HasAccounts bool
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Engine is true when the endpoint generates tokens.
	Engine bool
	// Staged is true when the route has stages; Inputs are the handles of their results.
	Staged bool
	Inputs []string
	// LastEvent is the last event that the caller has; empty if the answer begins anew.
	LastEvent string
}

// Reading is what an endpoint's answer says besides its status.
type Reading struct {
	// NotRun is true when the endpoint says that it didn't run the request.
	NotRun bool
	// Moved is true when another endpoint is at the address now.
	Moved bool
	// Other is true when the answer belongs to another request.
	Other bool
	// Signed is true when the answer bears the endpoint's receipt.
	Signed bool
	// Gone is true when an input of the request no longer exists.
	Gone bool
	// Word is what the endpoint says of itself.
	Word bbstanding.Word
}

// Codec translates headers.
type Codec struct {
	Decode func(r *http.Request) (Request, error)
	Encode func(caller http.Header, f Forward) http.Header
	Read   func(id string, a *bbchannel.Answer) Reading
	// Pass returns the headers of an endpoint's answer that the caller gets.
	Pass func(h http.Header) http.Header
}

// Logged is one line on a request, written when it ends.
type Logged struct {
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
type Broken struct {
	ID      string
	Content uint64
	// Endpoint is its ID, Cause how the exchange ended.
	Endpoint, Address string
	Cause             error
	// Ran is the time since the request was sent.
	Ran time.Duration
	// Silent is true when the time was over, rather than the connection.
	Silent bool
	// Begun is true when a part of the answer had arrived.
	Begun bool
}

// Seams are the gateway's effects on the outside.
type Seams struct {
	Now func() time.Duration
	// Index returns the configuration in force, or nil.
	Index func() *bbcatalog.Index
	// Endpoints returns the endpoints of a service that may get new work.
	Endpoints func(service string) []*bbregistry.Entry
	// MaySend tells whether this VM may send something to an endpoint now, and which of its
	// processes gets it.
	MaySend func(id string) (bbstanding.Process, bool)
	// Heard takes in what a process of an endpoint says of itself.
	Heard func(p bbstanding.Process, w bbstanding.Word)
	// RestUntil returns when an endpoint that wants nothing of this VM may get something again; 0
	// if it may now.
	RestUntil func(id string) time.Duration
	Region    func(zone string) string
	// Order asks the coordinator for an engine and names who answered.
	Order func(ctx context.Context, o bbjob.Order) (bbjob.Verdict, string, error)
	// Note tells a coordinator of progress.
	Note func(coordinator string, n bbjob.Note)
	Log  func(l Logged)
	// Broke tells of a run without a whole answer, unless the caller left.
	Broke func(b Broken)
	// Answered tells that an endpoint answered.
	Answered func(endpoint string)
	// Succeeded tells of a run of a content that came to a good end, and when it began.
	Succeeded func(content uint64, began time.Duration)
	// Suspicion tells how a content is to be treated that may crash endpoints.
	Suspicion func(content uint64) bbsuspect.Verdict
	// Window returns the allowance for repeats of a service that is new; it is called under
	// a lock.
	Window func() *bballowance.Window
	// Leaving is true once this VM is stopping.
	Leaving func() bool
}

// Gateway serves callers.
type Gateway struct {
	codec Codec
	seams Seams
	// name, zone and region are those of this VM.
	name, zone, region string

	// waiting ends when requests must wait no more for an engine; stopWaiting ends it.
	waiting     context.Context
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
func New(name, zone, region string, c Codec, s Seams) *Gateway {
	waiting, stopWaiting := context.WithCancel(context.Background())
	return &Gateway{
		waiting:     waiting,
		stopWaiting: stopWaiting,
		codec:       c,
		seams:       s,
		name:        name,
		zone:        zone,
		region:      region,
		chooser:     bbplain.NewChooser(),
		patience:    bbpatience.NewTable(),
		windows: bballowance.Windows{
			New: s.Window,
		},
	}
}

// StopWaiting refuses the requests that wait for an engine, now and from now on: the process
// ends soon, and what has not begun is better served by another VM.
func (g *Gateway) StopWaiting() {
	g.stopWaiting()
}

const (
	// startRetryAfter is for callers of a VM that knows no configuration yet.
	startRetryAfter = 500 * time.Millisecond
	// defaultWait is the wait of callers that name none on routes without a timeout.
	defaultWait = 30 * time.Second
	// defaultBody bounds bodies while no configuration sets a limit.
	defaultBody = 4 << 20
	// bodyTimeout bounds the reading of a caller's body.
	bodyTimeout = 10 * time.Second
)

// exchange is one request of a caller in progress.
type exchange struct {
	Request
	w       http.ResponseWriter
	r       *http.Request
	index   *bbcatalog.Index
	route   *bbcatalog.Route
	account *bbcatalog.Account
	service string
	body    []byte
	// content names what is asked.
	content uint64
	// began and limit are by the steady clock.
	began time.Duration
	limit time.Duration
	// sent is true once a part of the answer went to the caller.
	sent bool
	log  Logged
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
	return g.windows.Left(g.seams.Now())
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
		index: g.seams.Index(),
		began: g.seams.Now(),
	}
	if g.seams.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if status, cause := g.admit(x); status != 0 {
		g.fail(x, status, cause, retryAfter(cause))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.limit-x.began)
	defer cancel()
	// A caller that doesn't read must not hold the answer in memory for ever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(x.limit - x.began + time.Second))
	if x.staged() {
		g.pipeline(ctx, x)
		return
	}
	g.plain(ctx, x)
}

// staged tells whether the request goes through the coordinator.
func (x *exchange) staged() bool {
	s := x.index.Service(x.service)
	return len(x.route.Stages) > 0 || (s != nil && s.Engine != nil)
}

// admit finds the route and the account and reads the body. It returns a status and a
// cause if the request ends here.
func (g *Gateway) admit(x *exchange) (int, string) {
	q, err := g.codec.Decode(x.r)
	x.Request = q
	if x.index == nil {
		return http.StatusServiceUnavailable, "noConfiguration"
	}
	x.log.Version = x.index.Catalog.Version
	if most := x.index.Catalog.Limits.HeaderBytes; most > 0 && headBytes(x.r) > most {
		return http.StatusRequestHeaderFieldsTooLarge, "headSize"
	}
	if err != nil {
		return http.StatusBadRequest, "headers"
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return http.StatusBadRequest, "target"
	}
	x.route = x.index.Route(hostName(x.r.Host), path)
	if x.route == nil {
		return http.StatusNotFound, "noRoute"
	}
	x.log.Route = x.route.Name
	x.log.Kind = kinds[x.route.Kind]
	if x.index.NeedsKey(x.route) {
		x.account = x.index.Account(x.Key)
		if x.account == nil {
			return http.StatusUnauthorized, "unknownKey"
		}
	}
	if status, cause := x.readBody(); status != 0 {
		return status, cause
	}
	x.content = x.hashContent()
	if g.isRefused(x) {
		return http.StatusServiceUnavailable, suspect
	}
	x.limit = x.began + g.wait(x)
	x.service = x.route.Pick(rand.Float64())
	return 0, ""
}

// hashContent returns the hash of what is asked and by whom, without what is new for each attempt.
func (x *exchange) hashContent() uint64 {
	caller := x.Key
	if x.account != nil {
		caller = x.account.Name
	}
	return bbhash.Content([]byte(x.r.Method), []byte(x.r.Host), []byte(x.r.RequestURI), []byte(caller), x.body)
}

// headBytes returns the size of a request's head, as it would be written without spaces that
// mean nothing.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len("Host: ") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// kinds are the words for kinds of routes in logs and metrics.
var kinds = map[bbcatalog.Kind]string{
	bbcatalog.KindIdempotent: "read",
	bbcatalog.KindOnce:       "once",
	bbcatalog.KindStream:     "stream",
}

// wait returns the time that the caller may be kept waiting.
func (g *Gateway) wait(x *exchange) time.Duration {
	wait := x.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	if x.route.Timeout > 0 {
		wait = min(wait, x.route.Timeout)
	}
	return wait
}

// readBody reads the caller's body whole, so that it can be sent again.
func (x *exchange) readBody() (int, string) {
	most := x.index.Catalog.Limits.BodyBytes
	if most <= 0 {
		most = defaultBody
	}
	if x.r.ContentLength > most {
		return http.StatusRequestEntityTooLarge, "bodySize"
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return 0, ""
	}
	// A reader that can't have a deadline has its connection's.
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, most))
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, "bodySize"
	}
	if err != nil {
		return http.StatusBadRequest, "bodyBroken"
	}
	x.body = body
	return 0, ""
}

// hostName returns a host without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
