package bbcaller

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// Refusal is the body of every answer that is not the caller's result.
type Refusal struct {
	Outcome bbmsg.Outcome `json:"outcome"`
	Reason  bbmsg.Reason  `json:"reason,omitempty"`
	// RetryAfterMillis tells when to come back, 0 if that makes no sense.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
	// Repeatable is true when the same content may be sent under a new id.
	Repeatable bool `json:"repeatable"`
	// Request is the id without its signature.
	Request string `json:"request,omitempty"`
	// Detail is what the endpoint said of a failure.
	Detail string `json:"detail,omitempty"`
}

// statuses maps outcomes to HTTP statuses.
var statuses = map[bbmsg.Outcome]int{
	bbmsg.OutcomeNotRun:  http.StatusServiceUnavailable,
	bbmsg.OutcomeUnknown: http.StatusConflict,
	bbmsg.OutcomeFailed:  http.StatusBadGateway,
	bbmsg.OutcomeRan:     http.StatusGone,
	bbmsg.OutcomeInvalid: http.StatusBadRequest,
}

// reasonStatuses maps reasons that have a more telling status than their outcome.
var reasonStatuses = map[bbmsg.Reason]int{
	bbmsg.ReasonUnknownPipeline: http.StatusNotFound,
	bbmsg.ReasonUnknownService:  http.StatusNotFound,
	bbmsg.ReasonUnknownCall:     http.StatusNotFound,
	bbmsg.ReasonUnknownPath:     http.StatusNotFound,
	bbmsg.ReasonUnknownAccount:  http.StatusForbidden,
	bbmsg.ReasonBadTicket:       http.StatusUnauthorized,
	bbmsg.ReasonExpiredTicket:   http.StatusUnauthorized,
	bbmsg.ReasonBodyTooLarge:    http.StatusRequestEntityTooLarge,
	bbmsg.ReasonBodyDiffers:     http.StatusUnprocessableEntity,
	bbmsg.ReasonOverload:        http.StatusTooManyRequests,
	bbmsg.ReasonFairShare:       http.StatusTooManyRequests,
}

// writeRefusal writes an outcome without a result.
func writeRefusal(w http.ResponseWriter, m bbmsg.Answer) {
	status, ok := reasonStatuses[m.Reason]
	if !ok {
		status, ok = statuses[m.Outcome]
	}
	if !ok {
		status = http.StatusInternalServerError
	}
	if m.RetryAfterMillis > 0 {
		seconds := (m.RetryAfterMillis + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set(HeaderOutcome, string(m.Outcome))
	writeJSON(w, status, refusalOf(m))
}

// refusalOf returns the body of a refusal.
func refusalOf(m bbmsg.Answer) Refusal {
	return Refusal{
		Outcome:          m.Outcome,
		Reason:           m.Reason,
		RetryAfterMillis: m.RetryAfterMillis,
		Repeatable:       m.Repeatable,
		Request:          publicID(m.ID),
		Detail:           string(m.Body),
	}
}

// publicID returns an id without the signature of its ticket, and nothing for none.
func publicID(id string) string {
	if id == "" {
		return ""
	}
	return bbticket.Redact(id)
}

// pipeline takes in a request for a pipeline.
func (a *API) pipeline(w http.ResponseWriter, r *http.Request) {
	a.serve(w, r, bbmsg.CallerRequest{
		Pipeline: mux.Vars(r)["pipeline"],
	})
}

// service takes in a request for a plain service.
func (a *API) service(w http.ResponseWriter, r *http.Request) {
	a.serve(w, r, bbmsg.CallerRequest{
		Service: mux.Vars(r)["service"],
		Path:    mux.Vars(r)["path"],
	})
}

// lookup asks for the outcome of an earlier request.
func (a *API) lookup(w http.ResponseWriter, r *http.Request) {
	q := bbmsg.CallerRequest{
		ID:         mux.Vars(r)["id"],
		LookupOnly: true,
	}
	reason := fillFromHeaders(&q, r.Header)
	a.forward(w, r, q, "", reason)
}

// serve reads a request and passes it to the core.
func (a *API) serve(w http.ResponseWriter, r *http.Request, q bbmsg.CallerRequest) {
	q.ID = r.Header.Get(HeaderRequestID)
	reason := fillFromHeaders(&q, r.Header)
	key := r.Header.Get(HeaderKey)
	if q.ID != "" {
		key = ""
	}
	if q.ID == "" && key == "" {
		reason = bbmsg.ReasonNoID
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.settings.MaxBodyBytes))
	if err != nil {
		reason = bbmsg.ReasonBodyTooLarge
	}
	q.Body = body
	a.forward(w, r, q, key, reason)
}

// fillFromHeaders takes the caller's wishes from the headers.
func fillFromHeaders(q *bbmsg.CallerRequest, h http.Header) bbmsg.Reason {
	q.Account = h.Get(HeaderAccount)
	q.Session = h.Get(HeaderSession)
	q.Stream = strings.Contains(h.Get("Accept"), "text/event-stream")
	budget, err := strconv.ParseInt(defaultTo(h.Get(HeaderBudget), "0"), 10, 64)
	if err != nil || budget < 0 {
		return bbmsg.ReasonBadHeader
	}
	offset, err := strconv.Atoi(defaultTo(h.Get(HeaderLastEvent), "0"))
	if err != nil || offset < 0 {
		return bbmsg.ReasonBadHeader
	}
	q.BudgetMillis = budget
	q.FromOffset = offset
	return bbmsg.ReasonNone
}

// pass gives a request to the core and writes its answers. A message that can't be
// accepted anywhere is answered at once.
func (a *API) forward(w http.ResponseWriter, r *http.Request, q bbmsg.CallerRequest, key string, reason bbmsg.Reason) {
	a.started.Inc(1)
	if reason != bbmsg.ReasonNone {
		a.refuse(w, q, bbmsg.OutcomeInvalid, reason)
		return
	}
	k, ok := a.calls.add()
	if !ok {
		a.refuse(w, q, bbmsg.OutcomeUnknown, bbmsg.ReasonTableFull)
		return
	}
	defer a.calls.remove(k)
	a.hooks.Input(bbmsg.Input{
		Caller: &bbmsg.CallerArrived{
			Call:    k.number,
			Request: q,
			Key:     key,
		},
	})
	if !a.write(w, r, k, q) {
		a.hooks.Input(bbmsg.Input{
			CallerDisconnected: &bbmsg.CallerDisconnected{
				Call: k.number,
			},
		})
	}
}

// refuse answers without the core.
func (a *API) refuse(w http.ResponseWriter, q bbmsg.CallerRequest, outcome bbmsg.Outcome, reason bbmsg.Reason) {
	a.refused.Inc(1)
	writeRefusal(w, bbmsg.Answer{
		ID:      q.ID,
		Outcome: outcome,
		Reason:  reason,
	})
}

// addresses answers which addresses a caller should use.
func (a *API) addresses(w http.ResponseWriter, r *http.Request) {
	k, ok := a.calls.add()
	if !ok {
		a.refuse(w, bbmsg.CallerRequest{}, bbmsg.OutcomeNotRun, bbmsg.ReasonTableFull)
		return
	}
	defer a.calls.remove(k)
	a.hooks.Input(bbmsg.Input{
		AddressRequest: &bbmsg.AddressRequest{
			Call:    k.number,
			Account: r.URL.Query().Get("account"),
			Session: r.URL.Query().Get("session"),
		},
	})
	timer := time.NewTimer(a.settings.AnswerTimeout)
	defer timer.Stop()
	select {
	case <-k.ready:
		a.writeAddresses(w, k)
	case <-timer.C:
		a.refuse(w, bbmsg.CallerRequest{}, bbmsg.OutcomeNotRun, bbmsg.ReasonNotReady)
	case <-r.Context().Done():
	}
}

// writeAddresses writes an address answer.
func (a *API) writeAddresses(w http.ResponseWriter, k *call) {
	k.mu.Lock()
	m := k.address
	k.mu.Unlock()
	if m == nil || m.Reason != bbmsg.ReasonNone {
		a.refuse(w, bbmsg.CallerRequest{}, bbmsg.OutcomeNotRun, bbmsg.ReasonNotReady)
		return
	}
	writeJSON(w, http.StatusOK, m)
}
