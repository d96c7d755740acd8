package bbgateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/core/bballowance"
	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbhedge"
)

// lateEndpoint is an endpoint that makes the steps of each answer in turn: texts to send and times to wait.
type lateEndpoint struct {
	stubEndpoint
	// closed counts the connections that were closed during a wait.
	closed atomic.Int32
}

const never = time.Minute

func newLateEndpoint(t *testing.T, steps ...any) *lateEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := new(lateEndpoint)
	e.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, steps)
		}
	}()
	return e
}

func (e *lateEndpoint) serve(conn net.Conn, steps []any) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.seen = append(e.seen, r.RequestURI)
	e.mu.Unlock()
	gone := make(chan struct{})
	go func() {
		conn.Read(make([]byte, 1))
		close(gone)
	}()
	for _, step := range steps {
		switch step := step.(type) {
		case string:
			io.WriteString(conn, step)
		case time.Duration:
			select {
			case <-time.After(step):
			case <-gone:
				e.closed.Add(1)
				return
			}
		}
	}
}

// hedgeDelay is long enough that no endpoint answers late by chance.
const hedgeDelay = 100 * time.Millisecond

// newHedgingFixture returns a gateway that hedges requests after hedgeDelay.
func newHedgingFixture(t *testing.T, endpoints ...*lateEndpoint) (*fixture, string) {
	t.Helper()
	var stubs []*stubEndpoint
	for _, e := range endpoints {
		stubs = append(stubs, &e.stubEndpoint)
	}
	f, url := newFixture(t, stubs...)
	g := f.gateway
	g.hooks.ExtraSends = bbfeature.ExtraSends{
		Mode:  bbfeature.ModeOn,
		Share: bbfeature.MaxShare,
	}
	g.windows.New = func() *bballowance.Window {
		return &bballowance.Window{
			Span:  10 * time.Second,
			Ratio: 1,
		}
	}
	for range 100 {
		g.hedger.Request(0, "s", bbfeature.MaxShare)
		g.hedger.Answered(0, "s", "read", hedgeDelay)
		g.windows.Of("s").Request(0)
	}
	return f, url
}

const (
	soon  = 250 * time.Millisecond
	later = 600 * time.Millisecond
)

func answer(status, body string) string {
	return "HTTP/1.1 " + status + " X\r\nSigned: yes\r\nContent-Length: 5\r\n\r\n" + body
}

// An answer of the wrong endpoint, a crash that isn't reported, or a request that runs too often would each
// cost more than a slow answer.
func TestHedgedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		first  []any
		second []any
		status int
		body   string
		// requests and closed are counted for each endpoint; hedge is that of the log.
		requests, closed []int
		hedge            string
		// failed has the endpoints of the runs that were reported as failed.
		failed string
	}{
		"second wins": {"read", []any{never}, []any{answer("200", "two..")}, 200, "two..", []int{1, 1, 0}, []int{1, 0}, "won", ""},
		"first wins":  {"read", []any{soon, answer("200", "one..")}, []any{never}, 200, "one..", []int{1, 1, 0}, []int{0, 1}, "lost", ""},
		"not found is an answer": {"read", []any{never}, []any{answer("404", "two..")}, 404, "two..", []int{1, 1, 0},
			[]int{1, 0}, "won", ""},
		"first fails": {"read", []any{soon, answer("500", "one..")}, []any{later, answer("200", "two..")}, 200, "two..", []int{1, 1, 0},
			[]int{0, 0}, "won", ""},
		"both fail, second sooner": {"read", []any{later, answer("500", "one..")}, []any{answer("502", "two..")}, 500, "one..",
			[]int{1, 1, 0}, []int{0, 0}, "lost", ""},
		"second crashes": {"read", []any{later, answer("200", "one..")}, []any{answerLost}, 200, "one..", []int{1, 1, 0},
			[]int{0, 0}, "lost", "e1"},
		"first crashes": {"read", []any{soon, answerCut}, []any{later, answer("200", "two..")}, 200, "two..", []int{1, 1, 0},
			[]int{0, 0}, "won", "e0"},
		"both crash, all attempts used": {"read", []any{soon, answerLost}, []any{soon, answerBare}, 502, "", []int{1, 1, 0},
			[]int{0, 0}, "lost", "e0 e1"},
		"first fails, second crashes": {"read", []any{soon, answer("500", "one..")}, []any{later}, 500, "one..", []int{1, 1, 0},
			[]int{0, 0}, "lost", "e1"},
		"second is full, first crashes": {"read", []any{soon, answerLost}, []any{answerNotRun}, 200, "three", []int{1, 1, 1},
			[]int{0, 0}, "lost", "e0"},
		"at most once":     {"once", []any{later, answer("200", "one..")}, []any{never}, 200, "one..", []int{1, 0, 0}, []int{0, 0}, "", ""},
		"quick":            {"read", []any{answer("200", "one..")}, []any{never}, 200, "one..", []int{1, 0, 0}, []int{0, 0}, "", ""},
		"answer has begun": {"read", []any{answer("200", "o"), later, "ne.."}, []any{never}, 200, "one..", []int{1, 0, 0}, []int{0, 0}, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second := newLateEndpoint(t, c.first...), newLateEndpoint(t, c.second...)
			f, url := newHedgingFixture(t, first, second, newLateEndpoint(t, answer("200", "three")))
			wantAnswer(t, url+"/"+c.path+"/", c.status, c.body)
			wantRequests(t, f, c.requests...)
			wantEventually(t, "closed connections", c.closed, func() []int {
				return []int{int(first.closed.Load()), int(second.closed.Load())}
			})
			wantEventually(t, "open connections", 0, func() int { return int(f.gateway.Exchanges()) })
			wantEventually(t, "requests logged", 1, func() int {
				f.mu.Lock()
				defer f.mu.Unlock()
				return len(f.logged)
			})
			f.mu.Lock()
			defer f.mu.Unlock()
			var failed []string
			for _, r := range f.failedRuns {
				if r.TimedOut {
					r.Endpoint += " timed out"
				}
				failed = append(failed, r.Endpoint)
			}
			slices.Sort(failed)
			if diff := cmp.Diff([]string{c.hedge, c.failed}, []string{f.logged[0].Hedge, strings.Join(failed, " ")}); diff != "" {
				t.Errorf("hedge and failed runs (-want +got):\n%s", diff)
			}
		})
	}
}

// wantEventually checks that a value is reached within a second.
func wantEventually[T any](t *testing.T, what string, want T, get func() T) {
	t.Helper()
	var diff string
	for range 100 {
		if diff = cmp.Diff(want, get()); diff == "" {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%s (-want +got):\n%s", what, diff)
}

// Hedging that is not in force must not send a request twice.
func TestHedgingNotInForce(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"off":                  func(f *fixture) { f.gateway.hooks.ExtraSends.Mode = bbfeature.ModeOff },
		"machines not shared":  func(f *fixture) { f.gateway.hooks.ExtraSends.Mode = bbfeature.ModeAuto },
		"no share":             func(f *fixture) { f.gateway.hooks.ExtraSends.Services = map[string]float64{"s": 0} },
		"single attempt":       func(f *fixture) { f.gateway.hooks.Index().Catalog.Routes[0].MaxAttempts = 1 },
		"second must not send": func(f *fixture) { f.blocked = map[string]bool{"e1": true} },
		"full endpoints": func(f *fixture) {
			f.gateway.hedger.Rejected(f.gateway.hooks.Now(), "s")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, url := newHedgingFixture(t, newLateEndpoint(t, later, answer("200", "one..")), newLateEndpoint(t, never))
			change(f)
			wantAnswer(t, url+"/read/", http.StatusOK, "one..")
			wantRequests(t, f, 1, 0)
		})
	}
}

// A third attempt is made only if both of a hedged request gave no answer and the route permits it.
func TestAttemptsAfterAHedge(t *testing.T) {
	for name, c := range map[string]struct {
		first, second string
		status        int
		body          string
		requests      []int
	}{
		"both crash":       {answerLost, answerLost, 200, "three", []int{1, 1, 1, 0}},
		"both fail":        {answer("500", "one.."), answer("500", "two.."), 500, "one..", []int{1, 1, 0, 0}},
		"one answers":      {answerLost, answer("200", "two.."), 200, "two..", []int{1, 1, 0, 0}},
		"crash, then fail": {answerLost, answer("500", "two.."), 500, "two..", []int{1, 1, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, url := newHedgingFixture(t, newLateEndpoint(t, soon, c.first), newLateEndpoint(t, later, c.second),
				newLateEndpoint(t, answer("200", "three")), newLateEndpoint(t, answer("200", "four.")))
			f.gateway.hooks.Index().Catalog.Routes[0].MaxAttempts = 3
			wantAnswer(t, url+"/read/", c.status, c.body)
			wantRequests(t, f, c.requests...)
		})
	}
}

// A caller that leaves must not keep two endpoints busy.
func TestCallerOfHedgedRequestLeaves(t *testing.T) {
	first, second := newLateEndpoint(t, never), newLateEndpoint(t, never)
	f, url := newHedgingFixture(t, first, second)
	ctx, cancel := context.WithTimeout(t.Context(), later)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/read/", strings.NewReader("hello"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", "1")
	if _, err := http.DefaultClient.Do(r); err == nil {
		t.Fatal("an answer, want none")
	}
	wantEventually(t, "closed connections", []int32{1, 1}, func() []int32 {
		return []int32{first.closed.Load(), second.closed.Load()}
	})
	wantEventually(t, "open requests", 0, func() int { return int(f.gateway.Open()) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.failedRuns) > 0 || f.logged[0].Outcome != "left" {
		t.Errorf("%d failed runs, outcome %q; want none, left", len(f.failedRuns), f.logged[0].Outcome)
	}
}

// Answers longer than the buffer that arrive at the same time must not be mixed.
func TestHedgedAnswersAreNotMixed(t *testing.T) {
	const length = 3 * maxBuffered
	var endpoints []*lateEndpoint
	for _, letter := range []string{"a", "b"} {
		body := strings.Repeat(letter, length/2)
		endpoints = append(endpoints, newLateEndpoint(t, soon,
			"HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 393216\r\n\r\n", body, 5*time.Millisecond, body))
	}
	f, url := newHedgingFixture(t, endpoints...)
	// On a busy machine the answers take longer than the fixture's timeouts, at which they are cut.
	routes := f.gateway.hooks.Index().Catalog.Routes
	for i := range routes {
		routes[i].Timeout = time.Minute
	}
	decode := f.gateway.codec.Decode
	f.gateway.codec.Decode = func(r *http.Request) (bbcodec.Request, error) {
		q, err := decode(r)
		q.Wait = time.Minute
		return q, err
	}
	done := make(chan string)
	const requests = 30
	for range requests {
		go func() {
			status, body, err := send(t, url+"/read/", "hello")
			switch {
			case status != http.StatusOK || err != nil || len(body) != length:
				done <- fmt.Sprintf("status %d, error %v, %d bytes; want 200 and %d", status, err, len(body), length)
			case body != strings.Repeat(body[:1], length):
				done <- "answers are mixed"
			default:
				done <- ""
			}
		}()
	}
	for range requests {
		if fault := <-done; fault != "" {
			t.Error(fault)
		}
	}
	if c := f.gateway.Hedges()["s"]; c.Sent == 0 || c.Sent != c.Won+c.Lost {
		t.Errorf("counts %+v, want some hedges, each won or lost", c)
	}
}

// The reasons of a denied hedge are shown to operators.
func TestDeniedHedgeIsCounted(t *testing.T) {
	f, url := newHedgingFixture(t, newLateEndpoint(t, soon, answer("200", "one..")))
	wantAnswer(t, url+"/read/", http.StatusOK, "one..")
	want := map[bbhedge.Reason]int{bbhedge.NoEndpoint: 1}
	if diff := cmp.Diff(want, f.gateway.Hedges()["s"].Denied); diff != "" {
		t.Errorf("denied (-want +got):\n%s", diff)
	}
}
