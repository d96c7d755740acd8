// Package bbpool implements fakes of stage pools (encoders, retrievers, rerankers) and of
// plain services. Plain services record each run under the id of its request.
package bbpool

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/core/bbrule"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
)

const (
	// DefaultServiceTime is the duration of one run.
	DefaultServiceTime = 5 * time.Millisecond
	// MaxRuns bounds the table of runs; when it is full, a plain service rejects all requests.
	MaxRuns = 1 << 18
)

// Settings configure the endpoint of a stage pool or plain service.
type Settings struct {
	// Endpoint has the settings that all endpoints share.
	Endpoint bbendpoint.Settings
	// Kind is KindPool or KindPlain.
	Kind bbrule.ServiceKind
	// ServiceTime is the duration of one run; 0 means DefaultServiceTime.
	ServiceTime time.Duration
}

// Run is the record of the completed runs of one call with the same body on an endpoint.
type Run struct {
	// Request is the request id from the request's header.
	Request string `json:"request"`
	// Path is the path of the call, and Content a hash of the body.
	Path    string `json:"path"`
	Content string `json:"content"`
	// Count is how often it ran to completion.
	Count int `json:"count"`
}

// runKey identifies a record of runs.
type runKey struct {
	request string
	path    string
	content string
}

// PoolAnswer is the response of a stage pool.
type PoolAnswer struct {
	// Input is the hash of the request's body.
	Input string `json:"input"`
	Path  string `json:"path"`
	// Tag is the tag in the request's body, empty if there is none.
	Tag string `json:"tag,omitempty"`
	// Prompt and MaxTokens are copied from the request's body for an engine stage that follows.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
}

// PlainAnswer is the response of a plain service.
type PlainAnswer struct {
	Request string `json:"request"`
	Path    string `json:"path"`
	// Run is the number of runs so far on this endpoint with the same request id, path and body.
	Run int `json:"run"`
	// Tag is the tag in the request's body, empty if there is none.
	Tag string `json:"tag,omitempty"`
}

// Pool is a running fake endpoint. Its methods may be called from any goroutine.
type Pool struct {
	*bbendpoint.Endpoint

	settings Settings
	// slots is a semaphore for the requests that run at once.
	slots chan struct{}

	mu   sync.Mutex
	runs map[runKey]int
}

// Start opens the endpoint's port. The clean-up function resets all connections.
func Start(s Settings) (*Pool, func(), error) {
	if s.Kind != bbrule.KindPool && s.Kind != bbrule.KindPlain {
		return nil, nil, errors.Newf("kind: %q is neither pool nor plain", s.Kind)
	}
	if s.ServiceTime == 0 {
		s.ServiceTime = DefaultServiceTime
	}
	p := &Pool{
		settings: s,
		slots:    make(chan struct{}, max(s.Endpoint.WarmSlots, 1)),
		runs:     map[runKey]int{},
	}
	_, cleanup, err := bbendpoint.Start(s.Endpoint, p.mount)
	if err != nil {
		return nil, nil, err
	}
	return p, cleanup, nil
}

func (p *Pool) mount(endpoint *bbendpoint.Endpoint, router *mux.Router) {
	p.Endpoint = endpoint
	router.HandleFunc("/admin/runs", p.serveRuns).Methods(http.MethodGet)
	work := bbendpoint.Work{Run: p.runStage}
	if p.settings.Kind == bbrule.KindPlain {
		work = bbendpoint.Work{
			Check: p.checkRunCapacity,
			Run:   p.runPlain,
		}
	}
	router.HandleFunc("/{path:.*}", endpoint.Handler(work)).Methods(http.MethodPost)
}

// ContentHash returns the hash that identifies a body in the records of runs.
func ContentHash(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// simulateRun waits for a slot and then for the duration of one run. It returns false if the
// process ended or, for cancellable work, the caller disconnected.
func (p *Pool) simulateRun(r *http.Request, j *bbendpoint.Job, cancellable bool) bool {
	var callerDone <-chan struct{}
	if cancellable {
		callerDone = r.Context().Done()
	}
	select {
	case p.slots <- struct{}{}:
	case <-callerDone:
		return false
	case <-j.ProcessDone:
		return false
	}
	defer func() { <-p.slots }()
	return p.waitServiceTime(callerDone, j)
}

// waitServiceTime waits for the duration of one run and for any pause at its end.
func (p *Pool) waitServiceTime(callerDone <-chan struct{}, j *bbendpoint.Job) bool {
	d := time.Duration(float64(p.settings.ServiceTime) * p.SlowdownFactor())
	for d > 0 {
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-callerDone:
			timer.Stop()
			return false
		case <-j.ProcessDone:
			timer.Stop()
			return false
		}
		d = p.PauseLeft()
	}
	return true
}

// runStage responds as an encoder, retriever or reranker does.
func (p *Pool) runStage(w http.ResponseWriter, r *http.Request, j *bbendpoint.Job) bool {
	if !p.simulateRun(r, j, true) {
		return false
	}
	var input PoolAnswer
	json.Unmarshal(j.Body, &input)
	bbendpoint.WriteJSON(w, http.StatusOK, PoolAnswer{
		Input:     ContentHash(j.Body),
		Path:      mux.Vars(r)["path"],
		Tag:       bbendpoint.Tag(j.Body),
		Prompt:    input.Prompt,
		MaxTokens: input.MaxTokens,
	})
	return true
}

// checkRunCapacity rejects a request with 429 when the table of runs is full.
func (p *Pool) checkRunCapacity(*http.Request, []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.runs) >= MaxRuns {
		return http.StatusTooManyRequests
	}
	return 0
}

// runPlain runs a call of a plain service. It is not cancelled when the caller disconnects.
func (p *Pool) runPlain(w http.ResponseWriter, r *http.Request, j *bbendpoint.Job) bool {
	if !p.simulateRun(r, j, false) {
		return false
	}
	path := mux.Vars(r)["path"]
	run := p.record(j, path)
	bbendpoint.WriteJSON(w, http.StatusOK, PlainAnswer{
		Request: j.Request,
		Path:    path,
		Run:     run,
		Tag:     bbendpoint.Tag(j.Body),
	})
	return true
}

// record counts a run and returns the number of runs with the same key so far.
func (p *Pool) record(j *bbendpoint.Job, path string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := runKey{
		request: j.Request,
		path:    path,
		content: ContentHash(j.Body),
	}
	p.runs[key]++
	return p.runs[key]
}

// Runs returns the records of all runs, sorted by request, path and content.
func (p *Pool) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := make([]Run, 0, len(p.runs))
	for key, count := range p.runs {
		runs = append(runs, Run{
			Request: key.request,
			Path:    key.path,
			Content: key.content,
			Count:   count,
		})
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

func compareRuns(a, b Run) int {
	if c := strings.Compare(a.Request, b.Request); c != 0 {
		return c
	}
	if c := strings.Compare(a.Path, b.Path); c != 0 {
		return c
	}
	return strings.Compare(a.Content, b.Content)
}

func (p *Pool) serveRuns(w http.ResponseWriter, _ *http.Request) {
	bbendpoint.WriteJSON(w, http.StatusOK, p.Runs())
}
