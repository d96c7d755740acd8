package bbgateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/bluebelld/bbrecord"
	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbregistry"
	"bluebellhall/core/bbstanding"
	"bluebellhall/core/bbsuspect"
)

// stubEndpoint is an endpoint whose answers are raw texts, one for each request in turn; the last one is
// repeated. An empty text closes the connection without an answer.
type stubEndpoint struct {
	address string

	mu      sync.Mutex
	answers []string
	// seen has the method, target and body of each request, last the event after which it resumes.
	seen []string
	last []string
}

func newStubEndpoint(t *testing.T, answers ...string) *stubEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &stubEndpoint{
		address: l.Addr().String(),
		answers: answers,
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *stubEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.seen = append(s.seen, fmt.Sprint(r.Method, " ", r.RequestURI, " ", string(body)))
	s.last = append(s.last, r.Header.Get("Last"))
	answer := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	s.mu.Unlock()
	io.WriteString(conn, answer)
}

func (s *stubEndpoint) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

func (s *stubEndpoint) lastEvents() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// The answers of stub endpoints. Signed and Notrun are headers of testCodec.
const (
	answerOK     = "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 4\r\n\r\ndone"
	answerNotRun = "HTTP/1.1 503 Full\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n"
	answerFailed = "HTTP/1.1 500 Failed\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nfail"
	answerCut    = "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 99\r\n\r\ndone"
	answerLost   = ""
	answerBare   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"
)

func stream(events ...string) string {
	return "HTTP/1.1 200 OK\r\nSigned: yes\r\n\r\n" + strings.Join(events, "")
}

// fixture is a gateway with some endpoints.
type fixture struct {
	gateway    *Gateway
	endpoint   []*stubEndpoint
	mu         sync.Mutex
	logged     []bbrecord.Request
	orders     []bbjob.Order
	notes      []bbjob.Note
	failedRuns []bbrecord.FailedRun
	// verdicts are returned one after the other; the last one is repeated. None means clear.
	verdicts []bbsuspect.Verdict
	// blocked has the endpoints to which nothing may be sent, backoffUntil the ends of backoffs.
	blocked      map[string]bool
	backoffUntil map[string]time.Duration
	// signals has the recorded load signals.
	signals []recordedSignal
	// succeeded has the contents that were reported as successful.
	succeeded []uint64
	// succeededParts has the parts of prompts that were reported as successful.
	succeededParts []uint64
	// refusesPrompt is called for each prompt; nil refuses none.
	refusesPrompt func(parts []uint64) bool
}

// recordedSignal is a load signal with the endpoint that sent it.
type recordedSignal struct {
	endpoint string
	signal   bbstanding.Signal
}

var testCodec = bbcodec.Codec{
	Decode: func(r *http.Request) (bbcodec.Request, error) {
		if r.Header.Get("Id") == "" {
			return bbcodec.Request{}, errors.New("no ID")
		}
		q := bbcodec.Request{
			ID:   r.Header.Get("Id"),
			Key:  r.Header.Get("Key"),
			Wait: 2 * time.Second,
		}
		for _, id := range strings.Fields(r.Header.Get("Parts")) {
			q.Prompt.Parts = append(q.Prompt.Parts, bbjob.Part{ID: id, Tokens: 1})
		}
		return q, nil
	},
	Encode: func(caller http.Header, f bbcodec.Forward) http.Header {
		h := caller.Clone()
		if f.LastEvent != "" {
			h.Set("Last", f.LastEvent)
		}
		return h
	},
	Read: func(_ string, a *bbchannel.Answer) bbcodec.AnswerInfo {
		return bbcodec.AnswerInfo{
			NotRun:     a.Header.Get("Notrun") != "",
			InputsGone: a.Header.Get("Gone") != "",
			Signed:     a.Header.Get("Signed") != "",
		}
	},
	CallerHeaders: func(h http.Header) http.Header { return h },
}

func newFixture(t *testing.T, endpoints ...*stubEndpoint) (*fixture, string) {
	t.Helper()
	f := &fixture{
		endpoint: endpoints,
	}
	var entries []*bbregistry.Entry
	for i, e := range endpoints {
		entries = append(entries, &bbregistry.Entry{
			Endpoint: bbregistry.Endpoint{
				ID:      fmt.Sprint("e", i),
				Address: e.address,
				Zone:    "z",
			},
		})
	}
	route := func(name string, kind bbcatalog.Kind, attempts int) bbcatalog.Route {
		return bbcatalog.Route{
			Name:        name,
			Host:        "127.0.0.1",
			Prefix:      "/" + name + "/",
			Kind:        kind,
			Timeout:     2 * time.Second,
			Objective:   time.Second,
			MaxAttempts: attempts,
			Shares:      []bbcatalog.Share{{Service: "s", Weight: 1}},
			Anonymous:   name != "keyed",
		}
	}
	resumable := route("resume", bbcatalog.KindStream, 2)
	resumable.Resumable = true
	resumable.Shares[0].Service = "engine"
	plainStream := route("stream", bbcatalog.KindStream, 2)
	plainStream.Shares[0].Service = "engine"
	model := route("model", bbcatalog.KindIdempotent, 2)
	model.Shares[0].Service = "engine"
	index := bbcatalog.NewIndex(bbcatalog.Catalog{
		Version: 1,
		Routes: []bbcatalog.Route{
			route("read", bbcatalog.KindIdempotent, 2),
			route("once", bbcatalog.KindOnce, 2),
			route("keyed", bbcatalog.KindOnce, 1),
			resumable, plainStream, model,
		},
		Services: []bbcatalog.Service{{Name: "s"}, {Name: "engine", Engine: &bbcatalog.Engine{}}},
		Accounts: []bbcatalog.Account{{Name: "acme", Keys: []string{"k"}}},
		Limits:   bbcatalog.Limits{BodyBytes: 100, HeaderBytes: 1000},
	})
	began := time.Now()
	grants := 0
	f.gateway = New("vm", "z", "r", testCodec, Hooks{
		Now:        func() time.Duration { return time.Since(began) },
		Index:      func() *bbcatalog.Index { return index },
		Endpoints:  func(string) []*bbregistry.Entry { return entries },
		MaySend:    func(id string) (bbstanding.Process, bool) { return bbstanding.Process{ID: id}, !f.blocked[id] },
		GrantHolds: func(bbjob.Grant, string) bool { return true },
		Permit:     func(context.Context, string) bool { return true },
		RecordSignal: func(p bbstanding.Process, w bbstanding.Signal, _ time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.signals = append(f.signals, recordedSignal{p.ID, w})
		},
		BackoffUntil: func(id string) time.Duration { return f.backoffUntil[id] },
		Region:       func(string) string { return "r" },
		Order: func(_ context.Context, o bbjob.Order) (bbjob.Verdict, string, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.orders = append(f.orders, o)
			if grants >= len(entries) {
				return bbjob.Verdict{Refusal: &bbjob.Refusal{Reason: "none", RetryAfter: 700 * time.Millisecond}}, "", nil
			}
			e := entries[grants]
			grants++
			return bbjob.Verdict{Grant: &bbjob.Grant{ID: o.ID, Endpoint: e.ID, Address: e.Address}}, "", nil
		},
		Note: func(_ string, n bbjob.Note) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.notes = append(f.notes, n)
		},
		Log: func(l bbrecord.Request) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.logged = append(f.logged, l)
		},
		RunFailed: func(b bbrecord.FailedRun) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.failedRuns = append(f.failedRuns, b)
		},
		Answered: func(string) {},
		Succeeded: func(content uint64, parts []uint64, _ time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.succeeded = append(f.succeeded, content)
			f.succeededParts = append(f.succeededParts, parts...)
		},
		Suspicion:     func(uint64) bbsuspect.Verdict { return f.nextVerdict() },
		RefusesPrompt: func(parts []uint64) bool { return f.refusesPrompt != nil && f.refusesPrompt(parts) },
		NewWindow: func() *bballowance.Window {
			return &bballowance.Window{
				Span:  10 * time.Second,
				Slack: 100,
			}
		},
		Leaving: func() bool { return false },
	})
	server := httptest.NewServer(f.gateway)
	t.Cleanup(server.Close)
	return f, server.URL
}

// nextVerdict returns the next of the fixture's verdicts.
func (f *fixture) nextVerdict() bbsuspect.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.verdicts) == 0 {
		return bbsuspect.Clear
	}
	v := f.verdicts[0]
	if len(f.verdicts) > 1 {
		f.verdicts = f.verdicts[1:]
	}
	return v
}

// send sends a request and returns status, body and the error of reading it.
func send(t *testing.T, url, body string, header ...string) (int, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// headOf sends a request and returns the answer without its body.
func headOf(t *testing.T, url string) *http.Response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

// wantAnswer checks status and body of an answer.
func wantAnswer(t *testing.T, url string, status int, body string, header ...string) {
	t.Helper()
	gotStatus, gotBody, err := send(t, url, "hello", header...)
	if gotStatus != status || gotBody != body || err != nil {
		t.Errorf("answer %d %q, error %v; want %d %q", gotStatus, gotBody, err, status, body)
	}
}

// wantRequests checks how many requests each endpoint got.
func wantRequests(t *testing.T, f *fixture, want ...int) {
	t.Helper()
	var got []int
	for _, e := range f.endpoint {
		got = append(got, len(e.requests()))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests at the endpoints (-want +got):\n%s", diff)
	}
}

func TestPlainAnswer(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerOK))
	wantAnswer(t, url+"/once/a%2Fb?x=%20", http.StatusOK, "done")
	want := []string{"POST /once/a%2Fb?x=%20 hello"}
	if diff := cmp.Diff(want, f.endpoint[0].requests()); diff != "" {
		t.Errorf("request at the endpoint (-want +got):\n%s", diff)
	}
}

func TestRejectedRequestGoesToAnotherEndpoint(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerNotRun), newStubEndpoint(t, answerOK))
	wantAnswer(t, url+"/once/", http.StatusOK, "done")
	wantRequests(t, f, 1, 1)
}

func TestRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	for name, answer := range map[string]string{"lost": answerLost, "cut": answerCut, "without receipt": answerBare} {
		t.Run(name, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, answer), newStubEndpoint(t, answerOK))
			wantAnswer(t, url+"/once/", http.StatusBadGateway, "")
			wantRequests(t, f, 1, 0)
		})
	}
}

func TestIdempotentRequestIsRepeated(t *testing.T) {
	for name, answer := range map[string]string{"lost": answerLost, "cut": answerCut, "failed": answerFailed} {
		t.Run(name, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, answer), newStubEndpoint(t, answerOK))
			wantAnswer(t, url+"/read/", http.StatusOK, "done")
			wantRequests(t, f, 1, 1)
		})
	}
}

// Failed runs are identified by what was asked, whatever the request's ID.
func TestFailedRunsAreReportedWithTheirContent(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerLost))
	for _, ask := range []struct{ path, body, id string }{
		{"/once/a", "hello", "1"},
		{"/once/a", "hello", "2"},
		{"/once/a", "other", "3"},
		{"/once/b", "hello", "4"},
	} {
		wantBroken(t, url+ask.path, ask.body, ask.id)
	}
	contents := make(map[uint64][]string)
	for i, b := range f.failedRuns {
		contents[b.Content] = append(contents[b.Content], b.ID)
		if f.logged[i].Content != b.Content {
			t.Errorf("log record of request %s has content %x, want %x", b.ID, f.logged[i].Content, b.Content)
		}
	}
	got := slices.SortedFunc(maps.Values(contents), slices.Compare)
	if diff := cmp.Diff([][]string{{"1", "2"}, {"3"}, {"4"}}, got); diff != "" {
		t.Errorf("requests by content (-want +got):\n%s", diff)
	}
}

// wantBroken sends a request and checks that it fails with status 502.
func wantBroken(t *testing.T, url, body, id string) {
	t.Helper()
	if status, _, err := send(t, url, body, "Id", id); status != http.StatusBadGateway || err != nil {
		t.Errorf("status %d, error %v; want 502", status, err)
	}
}

func TestErrorOfTheEndpointIsForwarded(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerFailed))
	wantAnswer(t, url+"/once/", http.StatusInternalServerError, "fail")
	wantRequests(t, f, 1)
}

func TestAllEndpointsFull(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerNotRun), newStubEndpoint(t, answerNotRun))
	wantAnswer(t, url+"/once/", http.StatusServiceUnavailable, "")
	wantRequests(t, f, 1, 1)
}

func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerOK))
	wantAnswer(t, url+"/unknown/", http.StatusNotFound, "")
	wantAnswer(t, url+"/keyed/", http.StatusUnauthorized, "")
	wantAnswer(t, url+"/keyed/", http.StatusUnauthorized, "", "Key", "wrong")
	wantAnswer(t, url+"/once/", http.StatusBadRequest, "", "Id", "")
	if status, _, _ := send(t, url+"/once/", strings.Repeat("x", 101)); status != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d for a body over the limit, want 413", status)
	}
	wantAnswer(t, url+"/once/", http.StatusRequestHeaderFieldsTooLarge, "", "X", strings.Repeat("x", 1000))
	wantRequests(t, f, 0)
	wantAnswer(t, url+"/keyed/", http.StatusOK, "done", "Key", "k")
}

// A request that is refused while the VM has no configuration is logged with its ID.
func TestRefusedRequestsAreLoggedWithTheirID(t *testing.T) {
	f, url := newFixture(t)
	f.gateway.hooks.Index = func() *bbcatalog.Index { return nil }
	wantAnswer(t, url+"/once/", http.StatusServiceUnavailable, "")
	if diff := cmp.Diff([]string{"1 noConfiguration"}, []string{f.logged[0].ID + " " + f.logged[0].Cause}); diff != "" {
		t.Errorf("ID and cause (-want +got):\n%s", diff)
	}
}

func TestResumableStreamContinuesAtAnotherEngine(t *testing.T) {
	f, url := newFixture(t,
		newStubEndpoint(t, "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 999\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"),
		newStubEndpoint(t, stream("id: 3\ndata: c\n\n")))
	wantAnswer(t, url+"/resume/", http.StatusOK, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	wantRequests(t, f, 1, 1)
}

func TestNonResumableStreamIsAborted(t *testing.T) {
	f, url := newFixture(t,
		newStubEndpoint(t, "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 999\r\n\r\nid: 1\ndata: a\n\n"),
		newStubEndpoint(t, stream("id: 2\ndata: b\n\n")))
	if _, body, err := send(t, url+"/stream/", ""); err == nil {
		t.Errorf("body %q looks complete, want the connection to be aborted", body)
	}
	wantRequests(t, f, 1, 0)
}

func TestRejectedStreamGoesToAnotherEngine(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerNotRun), newStubEndpoint(t, stream("id: 1\ndata: a\n\n")))
	wantAnswer(t, url+"/stream/", http.StatusOK, "id: 1\ndata: a\n\n")
	wantRequests(t, f, 1, 1)
	if diff := cmp.Diff([]string{"e0"}, f.orders[1].Avoid); diff != "" {
		t.Errorf("engines to be avoided by the second order (-want +got):\n%s", diff)
	}
}

// An engine that reported missing inputs isn't avoided: it can run the request once they are recomputed.
func TestInputsGoneIsReportedToTheCoordinator(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, "HTTP/1.1 409 Gone\r\nNotrun: 1\r\nGone: 1\r\nContent-Length: 0\r\n\r\n"), newStubEndpoint(t, stream("id: 1\ndata: a\n\n")))
	wantAnswer(t, url+"/stream/", http.StatusOK, "id: 1\ndata: a\n\n")
	if o := f.orders[1]; !o.InputsGone || len(o.Avoid) > 0 {
		t.Errorf("second order has InputsGone %t, Avoid %v; want true and none", o.InputsGone, o.Avoid)
	}
}

// A caller that states a shorter wait than others is retrying. Its order has the time since the first
// attempt.
func TestCoordinatorGetsTheTimeSinceTheFirstAttempt(t *testing.T) {
	f, url := newFixture(t)
	wait := 2 * time.Second
	f.gateway.codec.Decode = func(*http.Request) (bbcodec.Request, error) {
		return bbcodec.Request{
			ID:   "1",
			Wait: wait,
		}, nil
	}
	for _, wait = range []time.Duration{2 * time.Second, 500 * time.Millisecond} {
		wantAnswer(t, url+"/stream/", http.StatusServiceUnavailable, "")
	}
	if diff := cmp.Diff([]time.Duration{0, 1500 * time.Millisecond}, []time.Duration{f.orders[0].Elapsed, f.orders[1].Elapsed}); diff != "" {
		t.Errorf("time since the first attempt (-want +got):\n%s", diff)
	}
}

func TestOpenRequestsAreCounted(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerNotRun, answerLost, stream("data: a\n\n")))
	for _, path := range []string{"/once/", "/read/", "/stream/", "/unknown/"} {
		if _, _, err := send(t, url+path, "hello"); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([2]int64{}, [2]int64{f.gateway.Open(), f.gateway.Exchanges()}); diff != "" {
		t.Errorf("open requests and exchanges (-want +got):\n%s", diff)
	}
	if left := f.gateway.RepeatsLeft()["s"]; left <= 0 || left >= 100 {
		t.Errorf("%v retries left, want a part of the allowance", left)
	}
}

func TestRefusalOfTheCoordinator(t *testing.T) {
	_, url := newFixture(t)
	response := headOf(t, url+"/stream/")
	got := [2]string{response.Status[:3], response.Header.Get("Retry-After")}
	if diff := cmp.Diff([2]string{"503", "0.700"}, got); diff != "" {
		t.Errorf("status and Retry-After (-want +got):\n%s", diff)
	}
}

func TestDisconnectedCallerEndsTheRun(t *testing.T) {
	closed := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	reached := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		b := bufio.NewReader(conn)
		if _, err := http.ReadRequest(b); err != nil {
			return
		}
		close(reached)
		io.Copy(io.Discard, b)
		close(closed)
	}()
	_, url := newFixture(t, &stubEndpoint{address: l.Addr().String()})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/once/", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "1")
	if response, err := http.DefaultClient.Do(r); err == nil {
		response.Body.Close()
		t.Error("answered, want the caller to be disconnected")
	}
	<-closed
}

func TestWaitingRequestsAreRefusedAtShutdown(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerOK))
	waits := make(chan struct{})
	f.gateway.hooks.Order = func(ctx context.Context, _ bbjob.Order) (bbjob.Verdict, string, error) {
		close(waits)
		<-ctx.Done()
		if !errors.Is(ctx.Err(), context.Canceled) {
			t.Error("the request waited until its deadline, want it to be refused at once")
		}
		return bbjob.Verdict{}, "", ctx.Err()
	}
	go func() {
		<-waits
		f.gateway.StopWaiting()
	}()
	wantAnswer(t, url+"/stream/", http.StatusServiceUnavailable, "")
	wantRequests(t, f, 0)
	if diff := cmp.Diff("leaving", f.logged[0].Cause); diff != "" {
		t.Errorf("cause of the refusal (-want +got):\n%s", diff)
	}
}
