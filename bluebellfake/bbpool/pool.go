// Package bbpool is the stand-in of stage pools (encoders, retrievers, rerankers)
// and of plain services, which record each run by its request.
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
	// DefaultServiceTime is the time of one run.
	DefaultServiceTime = 5 * time.Millisecond
	// MaxRuns bounds the records of runs; a full table takes no further work.
	MaxRuns = 1 << 18
)

// Settings describe a stage pool's or plain service's endpoint.
type Settings struct {
	// Endpoint is what all endpoints share.
	Endpoint bbendpoint.Settings
	// Kind is KindPool or KindPlain.
	Kind bbrule.ServiceKind
	// ServiceTime is the time of one run; 0 means DefaultServiceTime.
	ServiceTime time.Duration
}

// Run is what an endpoint knows of the runs of one request.
type Run struct {
	// Request is the request id in the header.
	Request string `json:"request"`
	// Path is the call and Content a hash of the body.
	Path    string `json:"path"`
	Content string `json:"content"`
	// Count is how often it ran to its end.
	Count int `json:"count"`
}

// runKey tells the records of runs apart.
type runKey struct {
	request string
	path    string
	content string
}

// PoolAnswer is the output of a stage pool.
type PoolAnswer struct {
	// Input is the hash of what came in.
	Input string `json:"input"`
	Path  string `json:"path"`
	// Tag is the mark in what came in, empty if there is none.
	Tag string `json:"tag,omitempty"`
	// Prompt and MaxTokens are passed on from what came in, for an engine after it.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
}

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	Request string `json:"request"`
	Path    string `json:"path"`
	// Run counts the runs of the request on this endpoint.
	Run int `json:"run"`
	// Tag is the mark in what came in, empty if there is none.
	Tag string `json:"tag,omitempty"`
}

// Pool is a running stand-in. Its methods may be called from any goroutine.
type Pool struct {
	*bbendpoint.Endpoint

	settings Settings
	// slots has room for the requests that run at once.
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

// ContentHash names a content in the records of runs.
func ContentHash(body []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(body))
}

// work takes a slot and the time of one run. It returns false when the process
// ended or, for work that may be cancelled, when the caller went away.
func (p *Pool) simulateRun(r *http.Request, j *bbendpoint.Job, cancels bool) bool {
	var gone <-chan struct{}
	if cancels {
		gone = r.Context().Done()
	}
	select {
	case p.slots <- struct{}{}:
	case <-gone:
		return false
	case <-j.ProcessDone:
		return false
	}
	defer func() { <-p.slots }()
	return p.waitServiceTime(gone, j)
}

// rest lasts for the time of one run and all pauses that fall into it.
func (p *Pool) waitServiceTime(gone <-chan struct{}, j *bbendpoint.Job) bool {
	d := time.Duration(float64(p.settings.ServiceTime) * p.SlowdownFactor())
	for d > 0 {
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-gone:
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

// runStage answers as an encoder, retriever or reranker.
func (p *Pool) runStage(w http.ResponseWriter, r *http.Request, j *bbendpoint.Job) bool {
	if !p.simulateRun(r, j, true) {
		return false
	}
	var passed PoolAnswer
	json.Unmarshal(j.Body, &passed)
	bbendpoint.WriteJSON(w, http.StatusOK, PoolAnswer{
		Input:     ContentHash(j.Body),
		Path:      mux.Vars(r)["path"],
		Tag:       bbendpoint.Tag(j.Body),
		Prompt:    passed.Prompt,
		MaxTokens: passed.MaxTokens,
	})
	return true
}

// checkRoom refuses work when the table of runs is full.
func (p *Pool) checkRunCapacity(*http.Request, []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.runs) >= MaxRuns {
		return http.StatusTooManyRequests
	}
	return 0
}

// runPlain runs a call of a plain service; it goes on when the caller goes away.
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

// record counts a run and returns the runs of its request so far.
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
