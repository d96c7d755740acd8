package bbendpoint

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bluebellhall/core/bbmsg"

	"github.com/gorilla/mux"
)

// Endpoint is the shared part of a running stand-in. Its methods may be called
// from any goroutine.
type Endpoint struct {
	// Settings are those in use, with defaults filled in. They don't change.
	Settings Settings

	listener *listener
	random   func() float64

	mu sync.Mutex
	// slow, failShare, loseShare and killOn are the faults in force.
	slowFactor float64
	failShare  float64
	loseShare  float64
	killOn     string
	// pausedUntil is the end of the last pause.
	pausedUntil time.Time
	cold        bool
	// shownAt is when it first showed that it is cold: by a report, a rejection or a
	// reset. It is zero while it has not. Slower answers are no sign, since load makes
	// them as slow.
	coldSignaledAt time.Time
	// bootAt is the time of the last start of the process.
	bootAt time.Time
	// ended is closed when the running process ends.
	processDone chan struct{}
	// turns counts the cold turns and the starts of the process.
	coldTransitions int
	// warmth counts the completions since the last cold turn.
	completionsSinceCold int
	// inFlight counts the requests taken and not ended in this boot.
	inFlight    int
	model       string
	counts      Counts
	loadHistory []loadState
	// exchanges has at most MaxExchanges entries.
	exchanges []Exchange
	// onCrash runs after each crash.
	onCrash []func()
}

// Start opens the endpoint's port and serves the handlers that mount adds.
// The clean-up function resets all connections and closes the port.
func Start(s Settings, mount func(*Endpoint, *mux.Router)) (*Endpoint, func(), error) {
	if err := s.Validate(); err != nil {
		return nil, nil, err
	}
	s = s.withDefaults()
	l, err := listen(s.Address)
	if err != nil {
		return nil, nil, err
	}
	e := newEndpoint(s, l)
	router := mux.NewRouter()
	e.mountShared(router)
	mount(e, router)
	server := &http.Server{
		Handler:  router,
		ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go server.Serve(l)
	cleanup := func() {
		server.Close()
		l.Close()
		e.endProcess()
	}
	return e, cleanup, nil
}

func newEndpoint(s Settings, l *listener) *Endpoint {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	e := &Endpoint{
		Settings:   s,
		listener:   l,
		random:     random.Float64,
		slowFactor: 1,
		cold:       !s.StartWarm,
		// A peer expects a started endpoint to be cold.
		coldSignaledAt: time.Now().Add(-coldSignalRoundTrip),
		bootAt:         time.Now(),
		processDone:    make(chan struct{}),
	}
	e.counts.Boot = uint64(time.Now().UnixMilli())
	e.recordLoad()
	return e
}

func (e *Endpoint) mountShared(router *mux.Router) {
	router.HandleFunc("/admin/faults", e.serveFaults).Methods(http.MethodPost)
	router.HandleFunc("/admin/counts", e.serveCounts).Methods(http.MethodGet)
	router.HandleFunc("/admin/exchanges", e.serveExchanges).Methods(http.MethodGet)
	if !e.Settings.HidesLoad {
		router.HandleFunc("/v1/load", e.serveLoad).Methods(http.MethodGet)
	}
}

// Address returns host:port of the endpoint.
func (e *Endpoint) Address() string {
	return e.listener.address
}

// OnCrash adds a function that runs after each crash.
func (e *Endpoint) OnCrash(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onCrash = append(e.onCrash, f)
}

// Apply changes the endpoint's behaviour.
func (e *Endpoint) Apply(f Faults) {
	e.mu.Lock()
	if f.SlowFactor != nil {
		e.slowFactor = max(*f.SlowFactor, 0)
	}
	if f.FailShare != nil {
		e.failShare = *f.FailShare
	}
	if f.LoseShare != nil {
		e.loseShare = *f.LoseShare
	}
	if f.KillOn != nil {
		e.killOn = *f.KillOn
	}
	if f.PauseMillis > 0 {
		e.pausedUntil = time.Now().Add(time.Duration(f.PauseMillis) * time.Millisecond)
	}
	e.mu.Unlock()
	if f.Silent {
		e.listener.silenceAll()
	}
	if f.Cold {
		e.TurnCold()
	}
	if f.Crash {
		e.Crash()
	}
}

// TurnCold makes the endpoint cold without any sign.
func (e *Endpoint) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.coldSignaledAt = time.Time{}
	e.coldTransitions++
	e.completionsSinceCold = 0
	e.recordLoad()
}

// show notes that the endpoint has shown that it is cold. The lock is held.
func (e *Endpoint) recordColdSignal() {
	if e.coldSignaledAt.IsZero() {
		e.coldSignaledAt = time.Now()
	}
}

// signTime is how long a sign is on its way to the owner, and a request that the owner
// sent before it saw the sign on its way back: two regions apart, with some room.
const coldSignalRoundTrip = 50 * time.Millisecond

// warned tells whether the owner could have seen that the endpoint is cold before it
// sent a request that arrives now. The lock is held.
func (e *Endpoint) coldSignalDelivered() bool {
	return !e.coldSignaledAt.IsZero() && time.Since(e.coldSignaledAt) >= coldSignalRoundTrip
}

// Crash resets all connections and starts the process anew, cold.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	e.counts.Crashes++
	e.counts.Boot++
	e.coldTransitions++
	e.cold = true
	e.completionsSinceCold = 0
	e.inFlight = 0
	e.bootAt = time.Now()
	close(e.processDone)
	e.processDone = make(chan struct{})
	e.recordLoad()
	hooks := e.onCrash
	e.mu.Unlock()
	reset := e.listener.restart(e.Settings.RestartTime)
	e.mu.Lock()
	e.coldSignaledAt = time.Time{}
	if reset > 0 {
		e.recordColdSignal()
	}
	e.mu.Unlock()
	for _, f := range hooks {
		f()
	}
}

// end stops the work of the running process for good.
func (e *Endpoint) endProcess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.processDone)
	e.processDone = make(chan struct{})
}

// Cold tells whether the endpoint is cold.
func (e *Endpoint) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireColdStart()
	return e.cold
}

// SetModel states the loaded model for the load reports.
func (e *Endpoint) SetModel(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model = model
	e.recordLoad()
}

// Model returns the loaded model, empty if none.
func (e *Endpoint) Model() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model
}

// Counts returns what was counted since Start.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// CountPrefix adds one look-up in a prefix cache to the counts.
func (e *Endpoint) CountPrefix(hit bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.PrefixLookups++
	if hit {
		e.counts.PrefixHits++
	}
}

// InFlight returns the number of requests at work now.
func (e *Endpoint) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// Exchanges returns a copy of the list of requests taken.
func (e *Endpoint) Exchanges() []Exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Exchange(nil), e.exchanges...)
}

// Factor returns by how much working times are stretched now.
func (e *Endpoint) SlowdownFactor() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireColdStart()
	if e.cold {
		return e.slowFactor * ColdFactor
	}
	return e.slowFactor
}

// PauseLeft returns how long the running pause still lasts.
func (e *Endpoint) PauseLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(time.Until(e.pausedUntil), 0)
}

// warmByTime ends a cold start whose time is over. The caller holds the lock.
func (e *Endpoint) expireColdStart() {
	if !e.cold || e.Settings.WarmTime == 0 {
		return
	}
	if time.Since(e.bootAt) < e.Settings.WarmTime {
		return
	}
	e.cold = false
	e.recordLoad()
}

func (e *Endpoint) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.exemptFromFaults.Store(true)
	}
	w.Header().Set("Connection", "close")
	e.Apply(f)
}

func (e *Endpoint) serveCounts(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, e.Counts())
}

func (e *Endpoint) serveExchanges(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, e.Exchanges())
}

func (e *Endpoint) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !e.waitPause(r) {
		return
	}
	WriteJSON(w, http.StatusOK, e.Report())
}

// WriteJSON writes a value as an answer with the given status.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

// state is the endpoint's load from a point in time on.
type loadState struct {
	at       time.Time
	boot     uint64
	cold     bool
	inFlight int
	model    string
}

// pushState notes the load of now. The caller holds the lock.
func (e *Endpoint) recordLoad() {
	e.trimLoadHistory()
	e.loadHistory = append(e.loadHistory, loadState{
		at:       time.Now(),
		boot:     e.counts.Boot,
		cold:     e.cold,
		inFlight: e.inFlight,
		model:    e.model,
	})
}

// trimStates drops states that no report needs any more. The caller holds the lock.
func (e *Endpoint) trimLoadHistory() {
	shown := time.Now().Add(-e.Settings.ReportLag)
	first := 0
	for first+1 < len(e.loadHistory) && !e.loadHistory[first+1].at.After(shown) {
		first++
	}
	first = max(first, len(e.loadHistory)-maxLoadHistory+1)
	e.loadHistory = append(e.loadHistory[:0], e.loadHistory[first:]...)
}

// Report returns the load report that the endpoint publishes now.
func (e *Endpoint) Report() bbmsg.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireColdStart()
	e.trimLoadHistory()
	s := e.loadHistory[0]
	if s.cold && s.boot == e.counts.Boot {
		e.recordColdSignal()
	}
	running := min(s.inFlight, e.Settings.WarmSlots)
	return bbmsg.LoadReport{
		Endpoint:  e.Settings.Name,
		Boot:      s.boot,
		Cold:      s.cold,
		Running:   running,
		Waiting:   s.inFlight - running,
		Model:     s.model,
		LagMillis: e.Settings.ReportLag.Milliseconds(),
	}
}

// holdsKill tells whether a body crashes the endpoint.
func (e *Endpoint) matchesKillOn(body []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.killOn != "" && strings.Contains(string(body), e.killOn)
}
