// Package bbcaller serves the callers' HTTP interface: addresses, pipelines, services
// and requests, and the pages for operators: health, status, events and metrics.
package bbcaller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	metrics "github.com/rcrowley/go-metrics"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// The headers of the callers' interface.
const (
	// HeaderRequestID carries ticket.nonce.
	HeaderRequestID = "Bluebell-Request-Id"
	// HeaderKey carries a plain idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderAccount names the client account.
	HeaderAccount = "Bluebell-Account"
	// HeaderSession ties the requests of a conversation together.
	HeaderSession = "Bluebell-Session"
	// HeaderBudget is the caller's own deadline in milliseconds.
	HeaderBudget = "Bluebell-Budget-Millis"
	// HeaderOutcome tells the outcome of an answer.
	HeaderOutcome = "Bluebell-Outcome"
	// HeaderLastEvent is where a stream goes on, as browsers send it.
	HeaderLastEvent = "Last-Event-ID"
)

// Settings bound the interface.
type Settings struct {
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxCalls bounds the callers that wait at the same time.
	MaxCalls int
	// AnswerTimeout bounds the wait for the core's answer.
	AnswerTimeout time.Duration
}

// Backing is what the interface needs of the node.
type Hooks struct {
	// Input passes something to the core.
	Input func(i bbmsg.Input)
	// Status returns the node's status.
	Status func() bbmsg.Status
	// Events returns the events after a stamp, oldest first.
	Events func(after bbevent.Stamp) []bbevent.Event
	// Metrics is the node's registry.
	Metrics metrics.Registry
}

// API serves the interface. Make one with New.
type API struct {
	settings Settings
	hooks    Hooks
	calls    *calls
	// started and refused count calls.
	started metrics.Counter
	refused metrics.Counter
}

// New returns the interface and its handler.
func New(s Settings, b Hooks) (*API, http.Handler) {
	a := &API{
		settings: s,
		hooks:    b,
		calls:    newCalls(s.MaxCalls),
		started:  metrics.GetOrRegisterCounter("callsStarted", b.Metrics),
		refused:  metrics.GetOrRegisterCounter("callsRefused", b.Metrics),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/addresses", a.addresses).Methods(http.MethodGet)
	r.HandleFunc("/v1/pipelines/{pipeline}", a.pipeline).Methods(http.MethodPost)
	r.HandleFunc("/v1/services/{service}/{path:.+}", a.service).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", a.lookup).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", a.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/events", a.events).Methods(http.MethodGet)
	r.HandleFunc("/healthz", a.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", a.ready).Methods(http.MethodGet)
	r.HandleFunc("/metrics", a.metrics).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	return a, r
}

// notFound answers requests for pages that do not exist.
func notFound(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, bbmsg.Answer{
		Outcome: bbmsg.OutcomeInvalid,
		Reason:  bbmsg.ReasonUnknownPath,
	})
}

// health answers while the process runs.
func (a *API) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready answers with 200 once the node serves callers, and 503 before and while it drains.
func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	s := a.hooks.Status()
	if !s.Ready || s.Draining {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// status answers with the node's status.
func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.hooks.Status())
}

// events answers with the events after a stamp.
func (a *API) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(defaultTo(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		writeRefusal(w, bbmsg.Answer{
			Outcome: bbmsg.OutcomeInvalid,
			Reason:  bbmsg.ReasonBadQuery,
		})
		return
	}
	writeJSON(w, http.StatusOK, bbmsg.EventPage{
		Events: a.hooks.Events(bbevent.Stamp(after)),
	})
}

// metrics answers with all metrics as JSON.
func (a *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(a.hooks.Metrics, w)
}

// defaultTo returns a text, or another when it is empty.
func defaultTo(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// writeJSON writes an answer as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
