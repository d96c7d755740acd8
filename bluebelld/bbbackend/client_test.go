package bbbackend

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// testWait bounds the waits of the tests.
const testWait = 30 * time.Second

// run makes one call and returns its news up to the end.
func run(t *testing.T, e bbmsg.EndpointCall, began time.Time) []bbmsg.CallUpdate {
	t.Helper()
	news := make(chan bbmsg.CallUpdate, 100)
	c, cleanup := New(Handlers{
		CallUpdate: func(n bbmsg.CallUpdate) { news <- n },
	})
	defer cleanup()
	c.Start(e, began)
	var all []bbmsg.CallUpdate
	for {
		select {
		case n := <-news:
			all = append(all, n)
			if n.Kind != bbmsg.UpdateTokens {
				return all
			}
		case <-time.After(testWait):
			t.Fatal("the call does not end")
		}
	}
}

// call returns a call to a server.
func call(server *httptest.Server) bbmsg.EndpointCall {
	return bbmsg.EndpointCall{
		Call:          1,
		Address:       strings.TrimPrefix(server.URL, "http://"),
		Kind:          "pool",
		Path:          "v1/run",
		Body:          []byte(`{}`),
		TimeoutMillis: testWait.Milliseconds(),
	}
}

// serve starts a server with one handler.
func serve(t *testing.T, h http.HandlerFunc) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

func checkKind(t *testing.T, news []bbmsg.CallUpdate, want bbmsg.CallUpdateKind) {
	t.Helper()
	if got := news[len(news)-1].Kind; got != want {
		t.Errorf("the call ended as %s, want %s", got, want)
	}
}

func TestFinalUpdateOfACall(t *testing.T) {
	statuses := []struct {
		name   string
		status int
		cold   bool
		kind   string
		want   bbmsg.CallUpdateKind
	}{
		{name: "answered", status: 200, want: bbmsg.UpdateDone},
		{name: "full", status: 429, want: bbmsg.UpdateRejected},
		{name: "cold", status: 503, cold: true, want: bbmsg.UpdateRejected},
		{name: "a 503 that does not say that nothing ran", status: 503, want: bbmsg.UpdateFailed},
		{name: "model not loaded", status: 404, kind: "engine", want: bbmsg.UpdateRejected},
		{name: "an error after the request was taken", status: 500, want: bbmsg.UpdateFailed},
		{name: "a 404 of a service", status: 404, want: bbmsg.UpdateFailed},
	}
	for _, c := range statuses {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				if c.cold {
					w.Header().Set(coldHeader, "1")
				}
				w.WriteHeader(c.status)
			})
			e := call(s)
			if c.kind != "" {
				e.Kind = c.kind
			}
			checkKind(t, run(t, e, time.Now()), c.want)
		})
	}
	t.Run("nobody listens: unsent", func(t *testing.T) {
		s := serve(t, func(http.ResponseWriter, *http.Request) {})
		e := call(s)
		s.Close()
		checkKind(t, run(t, e, time.Now()), bbmsg.UpdateUnsent)
	})
	t.Run("the connection breaks after the request: broken", func(t *testing.T) {
		s := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		checkKind(t, run(t, call(s), time.Now()), bbmsg.UpdateBroken)
	})
	t.Run("no progress: broken", func(t *testing.T) {
		release := make(chan struct{})
		defer close(release)
		s := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
		e := call(s)
		e.SilenceMillis = 20
		checkKind(t, run(t, e, time.Now()), bbmsg.UpdateBroken)
	})
	t.Run("held back too long after the decision: unsent, and really not sent", func(t *testing.T) {
		var got atomic.Int32
		s := serve(t, func(http.ResponseWriter, *http.Request) { got.Add(1) })
		e := call(s)
		e.SendWithinMillis = 10
		checkKind(t, run(t, e, time.Now().Add(-time.Second)), bbmsg.UpdateUnsent)
		if got.Load() != 0 {
			t.Error("the request was sent")
		}
	})
}

func TestOnceGetsAFreshConnection(t *testing.T) {
	var fresh atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			fresh.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	ended := make(chan struct{}, 4)
	c, cleanup := New(Handlers{
		CallUpdate: func(bbmsg.CallUpdate) { ended <- struct{}{} },
	})
	defer cleanup()
	e := call(s)
	e.Once = true
	for range 3 {
		c.Start(e, time.Now())
		<-ended
	}
	if got := fresh.Load(); got != 3 {
		t.Errorf("3 calls used %d connections, want 3", got)
	}
}

func TestStream(t *testing.T) {
	stream := func(t *testing.T, from int, text string) []bbmsg.CallUpdate {
		t.Helper()
		s := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, text) })
		e := call(s)
		e.Kind = kindEngine
		e.FromOffset = from
		return run(t, e, time.Now())
	}
	event := func(index int, token string) string {
		return fmt.Sprintf("data: {\"index\":%d,\"choices\":[{\"text\":%q}]}\n\n", index, token)
	}
	t.Run("whole, resumed from an offset", func(t *testing.T) {
		news := stream(t, 2, event(2, "c")+event(3, "d")+"data: [DONE]\n\n")
		var tokens []string
		for _, n := range news {
			tokens = append(tokens, n.Tokens...)
		}
		if diff := cmp.Diff([]string{"c", "d"}, tokens); diff != "" {
			t.Errorf("tokens (-want +got):\n%s", diff)
		}
		checkKind(t, news, bbmsg.UpdateDone)
		if got := news[len(news)-1].Offset; got != 4 {
			t.Errorf("the end names %d tokens, want 4", got)
		}
	})
	t.Run("cut off: broken", func(t *testing.T) {
		checkKind(t, stream(t, 0, event(0, "a")), bbmsg.UpdateBroken)
	})
	t.Run("a gap: broken", func(t *testing.T) {
		checkKind(t, stream(t, 0, event(0, "a")+event(2, "c")+"data: [DONE]\n\n"), bbmsg.UpdateBroken)
	})
	t.Run("no JSON: broken", func(t *testing.T) {
		checkKind(t, stream(t, 0, "data: {\n\ndata: [DONE]\n\n"), bbmsg.UpdateBroken)
	})
}

func TestEndpointsGetNoAuthenticationCode(t *testing.T) {
	got := make(chan string, 1)
	server := serve(t, func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("Bluebell-Request") })
	keys := bbticket.Keys{Current: []byte("key")}
	e := call(server)
	e.Attempt.ID = keys.Sign(bbticket.Ticket{Home: "a", Incarnation: 1, ExpiryMillis: 2}) + ".n"
	run(t, e, time.Now())
	if diff := cmp.Diff("b1.a.1.2.n", <-got); diff != "" {
		t.Errorf("id (-want +got):\n%s", diff)
	}
}
