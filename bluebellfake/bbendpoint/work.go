package bbendpoint

import (
	"io"
	"net/http"
	"time"
)

// ColdHeader is the header of a 503 that says that the endpoint is cold.
const ColdHeader = "Bluebell-Cold"

// Job is one request that the endpoint took.
type Job struct {
	// Body is the whole body of the request.
	Body []byte
	// Request, Stage, Attempt and Session are from the request's headers.
	Request string
	Stage   string
	Attempt string
	Session string
	// Ended is closed when the process that runs the job ends.
	ProcessDone <-chan struct{}

	boot uint64
	// turn is the number of cold turns at acceptance.
	coldTransitions int
	exchange        int
}

// Work describes how a kind of endpoint treats requests.
type Work struct {
	// Check returns 0 or the status with which the request is not taken; may be nil.
	Check func(r *http.Request, body []byte) int
	// Run answers the request. It returns true when the job ran to its end.
	Run func(w http.ResponseWriter, r *http.Request, j *Job) bool
}

// Handler returns the handler of a kind of work with all faults applied.
func (e *Endpoint) Handler(k Work) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if !e.waitPause(r) {
			return
		}
		if e.matchesKillOn(body) {
			e.Crash()
			panic(http.ErrAbortHandler)
		}
		if k.Check != nil {
			if status := k.Check(r, body); status != 0 {
				e.reject(w, status)
				return
			}
		}
		e.admitAndRun(w, r, k, body)
	}
}

// take admits a request and runs it.
func (e *Endpoint) admitAndRun(w http.ResponseWriter, r *http.Request, k Work, body []byte) {
	j := &Job{
		Body:    body,
		Request: r.Header.Get("Bluebell-Request"),
		Stage:   r.Header.Get("Bluebell-Stage"),
		Attempt: r.Header.Get("Bluebell-Attempt"),
		Session: r.Header.Get("Bluebell-Session"),
	}
	verdict := e.admit(j)
	if verdict == verdictCrash {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if verdict != verdictAdmitted {
		e.reject(w, int(verdict))
		return
	}
	counter := &countingWriter{ResponseWriter: w}
	done := false
	defer func() { e.release(j, counter.written, done) }()
	if e.drawFailure() {
		http.Error(counter, "failed by command", http.StatusInternalServerError)
		return
	}
	done = k.Run(counter, r, j)
	if e.processEnded(j) || e.drawAnswerLoss() {
		panic(http.ErrAbortHandler)
	}
}

// verdict is verdictTaken, verdictFallsOver or the HTTP status of a refusal.
type verdict int

const (
	verdictAdmitted verdict = 0
	verdictCrash    verdict = 1
	verdictCold     verdict = http.StatusServiceUnavailable
	verdictFull     verdict = http.StatusTooManyRequests
)

// admit takes a request or says why not.
func (e *Endpoint) admit(j *Job) verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireColdStart()
	if time.Since(e.bootAt) < e.Settings.LoadingTime {
		e.recordColdSignal()
		return verdictCold
	}
	if !e.cold && e.inFlight >= e.Settings.WarmSlots+e.Settings.QueueSlots {
		return verdictFull
	}
	e.counts.Requests++
	e.addExchange(j)
	if e.cold && e.inFlight >= e.Settings.ColdSlots {
		e.counts.OverCold++
		if j.exchange < len(e.exchanges) {
			e.exchanges[j.exchange].OverCold = true
			e.exchanges[j.exchange].ColdSignaledAt = e.coldSignaledAt
		}
		if !e.coldSignalDelivered() {
			e.counts.OverColdUnwarned++
		}
		return verdictCrash
	}
	e.inFlight++
	j.boot = e.counts.Boot
	j.coldTransitions = e.coldTransitions
	j.ProcessDone = e.processDone
	e.recordLoad()
	return verdictAdmitted
}

// addExchange notes a taken request. The caller holds the lock.
func (e *Endpoint) addExchange(j *Job) {
	j.exchange = len(e.exchanges)
	if j.exchange >= MaxExchanges {
		return
	}
	e.exchanges = append(e.exchanges, Exchange{
		Request: j.Request,
		Stage:   j.Stage,
		Attempt: j.Attempt,
		At:      time.Now(),
		BytesIn: int64(len(j.Body)),
	})
}

// release ends a job and counts it towards the end of a cold start.
func (e *Endpoint) release(j *Job, written int64, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.exchange < len(e.exchanges) {
		e.exchanges[j.exchange].BytesOut = written
		e.exchanges[j.exchange].Done = done
	}
	if j.boot != e.counts.Boot {
		return
	}
	e.inFlight--
	if done {
		e.counts.Completed++
		e.completionsSinceCold++
	}
	if e.cold && e.completionsSinceCold >= e.Settings.WarmAfter {
		e.cold = false
	}
	e.recordLoad()
}

// over tells whether the process that took the job has ended.
func (e *Endpoint) processEnded(j *Job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.boot != e.counts.Boot
}

// reject answers a request that is not taken.
func (e *Endpoint) reject(w http.ResponseWriter, status int) {
	e.mu.Lock()
	e.counts.Rejected++
	e.mu.Unlock()
	if status == int(verdictCold) {
		w.Header().Set(ColdHeader, "1")
	}
	http.Error(w, "not taken: "+http.StatusText(status), status)
}

// loses draws whether the answer to a request that ran is lost with its connection.
func (e *Endpoint) drawAnswerLoss() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loseShare > 0 && e.random() < e.loseShare
}

// fails draws whether a request fails.
func (e *Endpoint) drawFailure() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failShare > 0 && e.random() < e.failShare
}

// waitPause waits for the end of a pause; false means that the caller went away.
func (e *Endpoint) waitPause(r *http.Request) bool {
	for {
		left := e.PauseLeft()
		if left == 0 {
			return true
		}
		if !waitAtMost(left, r.Context().Done()) {
			return false
		}
	}
}

// waitAtMost waits for a time, at most pauseLook; false means that gone came first.
func waitAtMost(d time.Duration, gone <-chan struct{}) bool {
	timer := time.NewTimer(min(d, pausePollInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
		return false
	}
}

// countingWriter counts the bytes of a body.
type countingWriter struct {
	http.ResponseWriter
	written int64
}

// Write writes a part of the body.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.written += int64(n)
	return n, err
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *countingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
