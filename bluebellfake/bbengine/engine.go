package bbengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bluebellhall/bluebellfake/bbendpoint"
	"bluebellhall/core/bbmsg"

	"github.com/gorilla/mux"
)

// OffsetHeader has the index of the first token to send.
const OffsetHeader = "Bluebell-From-Offset"

// Engine is a running stand-in. Its methods may be called from any goroutine.
type Engine struct {
	*bbendpoint.Endpoint

	settings  Settings
	scheduler *scheduler

	mu    sync.Mutex
	cache *prefixCache
	// fence is the largest fencing number seen, and orders has the orders carried
	// out, at most maxOrders.
	fence  int64
	orders []bbmsg.Order
	// loads counts the load orders, so that only the newest takes effect.
	loadGeneration int
	role           string
}

// Start opens the engine's port. The clean-up function resets all connections and
// stops the work.
func Start(s Settings) (*Engine, func(), error) {
	s = s.withDefaults()
	e := &Engine{
		settings: s,
		cache:    newPrefixCache(s.CacheBytes, s.EventLag, s.Endpoint.Seed),
	}
	endpoint, stop, err := bbendpoint.Start(s.Endpoint, e.mount)
	if err != nil {
		return nil, nil, err
	}
	endpoint.OnCrash(e.clearPrefixCache)
	cleanup := func() {
		stop()
		e.scheduler.stop()
	}
	return e, cleanup, nil
}

func (e *Engine) mount(endpoint *bbendpoint.Endpoint, router *mux.Router) {
	e.Endpoint = endpoint
	e.scheduler = newScheduler(e.settings, endpoint)
	endpoint.SetModel(e.settings.Model)
	work := endpoint.Handler(bbendpoint.Work{
		Check: e.check,
		Run:   e.run,
	})
	router.HandleFunc("/v1/completions", work).Methods(http.MethodPost)
	router.HandleFunc("/v1/cacheEvents", e.serveEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
}

// forget drops what a process has in its memory.
func (e *Engine) clearPrefixCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

// CompletionRequest is the body of a request for a completion.
type CompletionRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens is the length of the completion; 0 means DefaultTokens.
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Priority is from 0, the highest, to 3.
	Priority int `json:"priority"`
}

// CompletionChunk is one token of a completion.
type CompletionChunk struct {
	// Index is the offset of the token in the completion.
	Index   int      `json:"index"`
	Choices []Choice `json:"choices"`
}

// Choice is the text of a chunk.
type Choice struct {
	Text string `json:"text"`
}

// check refuses requests that the engine can't take.
func (e *Engine) check(r *http.Request, body []byte) int {
	var request CompletionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return http.StatusBadRequest
	}
	if request.MaxTokens < 0 || request.MaxTokens > MaxTokens {
		return http.StatusBadRequest
	}
	if _, err := parseOffset(r); err != nil {
		return http.StatusBadRequest
	}
	if request.Model == "" || request.Model != e.Model() {
		return http.StatusNotFound
	}
	return 0
}

func parseOffset(r *http.Request) (int, error) {
	text := r.Header.Get(OffsetHeader)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	return int(n), err
}

// run streams a completion.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, j *bbendpoint.Job) bool {
	var request CompletionRequest
	json.Unmarshal(j.Body, &request)
	offset, _ := parseOffset(r)
	if request.MaxTokens == 0 {
		request.MaxTokens = DefaultTokens
	}
	s := &stream{
		priority:    request.Priority,
		prefill:     e.prefill(j.Session, request.Prompt),
		next:        min(offset, request.MaxTokens),
		end:         request.MaxTokens,
		callerDone:  r.Context().Done(),
		processDone: j.ProcessDone,
	}
	s.tokens = make(chan int, s.end-s.next+1)
	e.scheduler.add(s)
	return writeStream(w, s, request)
}

// prefill returns the bytes of a prompt that are not in the prefix cache, and
// puts the prompt in.
func (e *Engine) prefill(session, prompt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.use(prefixKey(session, prompt), len(prompt), time.Now())
	e.CountPrefix(cached > 0)
	return len(prompt) - cached
}

// writeStream sends tokens as server-sent events until the stream ends.
func writeStream(w http.ResponseWriter, s *stream, request CompletionRequest) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if err := control.Flush(); err != nil {
		return false
	}
	for {
		select {
		case <-s.callerDone:
			return false
		case <-s.processDone:
			return false
		case index, more := <-s.tokens:
			if !more {
				w.Write([]byte("data: [DONE]\n\n"))
				return true
			}
			writeToken(w, index, request)
			if err := control.Flush(); err != nil {
				return false
			}
		}
	}
}

func writeToken(w http.ResponseWriter, index int, request CompletionRequest) {
	chunk := CompletionChunk{
		Index:   index,
		Choices: []Choice{{Text: Token(request.Model, request.Prompt, index)}},
	}
	text, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	w.Write([]byte("data: "))
	w.Write(text)
	w.Write([]byte("\n\n"))
}
