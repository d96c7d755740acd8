package bbgateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/bluebelld/bbstartwait"
	"bluebellhall/core/bbcatalog"
)

// newStartingFixture returns a fixture without a configuration until AwaitReady has been called, and then only if it
// becomes ready.
func newStartingFixture(t *testing.T, becomesReady bool) (*fixture, string) {
	t.Helper()
	f, url := newFixture(t, newStubEndpoint(t, answerOK))
	index := f.gateway.hooks.Index
	var ready atomic.Bool
	f.gateway.hooks.Index = func() *bbcatalog.Index {
		if !ready.Load() {
			return nil
		}
		return index()
	}
	f.gateway.hooks.AwaitReady = func(context.Context) { ready.Store(becomesReady) }
	return f, url
}

// Load: all VMs have lost power, and callers arrive while the first ones start. Guards against refusals that use up
// the callers' retries within the moment until the configuration is there.
func TestRequestsWaitForTheConfiguration(t *testing.T) {
	t.Run("it arrives", func(t *testing.T) {
		f, url := newStartingFixture(t, true)
		body := strings.Repeat("a", 90)
		status, answer, err := send(t, url+"/once/", body)
		if status != http.StatusOK || answer != "done" || err != nil {
			t.Errorf("answer %d %q, error %v; want 200 done", status, answer, err)
		}
		if diff := cmp.Diff([]string{"POST /once/ " + body}, f.endpoint[0].requests()); diff != "" {
			t.Errorf("request at the endpoint (-want +got):\n%s", diff)
		}
	})
	t.Run("it doesn't arrive", func(t *testing.T) {
		f, url := newStartingFixture(t, false)
		wantAnswer(t, url+"/once/", http.StatusServiceUnavailable, "")
		wantRequests(t, f, 0)
	})
	t.Run("the body is too long", func(t *testing.T) {
		f, url := newStartingFixture(t, true)
		if status, _, err := send(t, url+"/once/", strings.Repeat("a", 2*bbstartwait.MaxHeldBody)); status != http.StatusRequestEntityTooLarge || err != nil {
			t.Errorf("status %d, error %v; want 413", status, err)
		}
		wantRequests(t, f, 0)
	})
	t.Run("too many wait", func(t *testing.T) {
		f, url := newStartingFixture(t, true)
		end := make(chan struct{})
		defer close(end)
		var held sync.WaitGroup
		held.Add(bbstartwait.MaxHeld)
		for range bbstartwait.MaxHeld {
			go f.gateway.starting.Hold(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/once/", nil), decodeNothing, func(context.Context) {
				held.Done()
				<-end
			})
		}
		held.Wait()
		wantAnswer(t, url+"/once/", http.StatusServiceUnavailable, "")
		wantRequests(t, f, 0)
	})
}

func decodeNothing(*http.Request) (bbcodec.Request, error) {
	return bbcodec.Request{}, nil
}

// Guards against a caller that sends its body slowly and is held without end.
func TestSlowBodyIsNotHeldWithoutEnd(t *testing.T) {
	var holder bbstartwait.Holder
	released := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holder.Hold(w, r, decodeNothing, func(context.Context) {})
		close(released)
	}))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 5\r\n\r\nhe"); err != nil {
		t.Fatal(err)
	}
	select {
	case <-released:
	case <-time.After(20 * time.Second):
		t.Error("the request is still held")
	}
}
