package bbgateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/core/bbstanding"
)

// The word is taken in whatever the answer was.
func TestLoadSignalsAreRecorded(t *testing.T) {
	for name, test := range map[string]struct{ path, answer string }{
		"plain answer":  {"/once/", answerOK},
		"failure":       {"/once/", answerFailed},
		"turned away":   {"/once/", answerNotRun},
		"stream":        {"/stream/", stream("id: 1\ndata: a\n\n")},
		"broken stream": {"/stream/", answerCut},
		"no receipt":    {"/resume/", answerBare},
	} {
		t.Run(name, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, strings.Replace(test.answer, "\r\n", "\r\nLeaving: yes\r\n", 1)))
			f.gateway.codec.Read = func(id string, a *bbchannel.Answer) bbcodec.AnswerInfo {
				r := testCodec.Read(id, a)
				r.Signal.Leaving = a.Header.Get("Leaving") != ""
				return r
			}
			// Whether the answer can be read to its end doesn't matter.
			_, _, _ = send(t, url+test.path, "hello")
			f.mu.Lock()
			defer f.mu.Unlock()
			if len(f.signals) != 1 || f.signals[0].endpoint != "e0" || !f.signals[0].signal.Leaving {
				t.Errorf("heard %+v, want that e0 leaves", f.signals)
			}
		})
	}
}

// Requests were sent to endpoints that had asked this VM for rest.
func TestBackedOffEndpointsGetNoRequests(t *testing.T) {
	for _, path := range []string{"/once/", "/read/"} {
		t.Run(path, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, answerOK), newStubEndpoint(t, answerOK))
			f.backoffUntil = map[string]time.Duration{"e0": time.Hour}
			for range 5 {
				wantAnswer(t, url+path, http.StatusOK, "done")
			}
			wantRequests(t, f, 0, 5)
		})
	}
	t.Run("the coordinator is told", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\n")), newStubEndpoint(t))
		f.backoffUntil = map[string]time.Duration{"e1": time.Hour}
		wantAnswer(t, url+"/stream/", http.StatusOK, "id: 1\ndata: a\n\n")
		if diff := cmp.Diff([]string{"e1"}, f.orders[0].Avoid); diff != "" {
			t.Errorf("engines to be avoided (-want +got):\n%s", diff)
		}
	})
}

// While all endpoints rest, requests are refused at once, and come back spread over some time after
// the first one is awake.
func TestAllEndpointsBackOff(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, answerOK), newStubEndpoint(t, answerOK))
			const rest = 100 * time.Second
			f.backoffUntil = map[string]time.Duration{"e0": rest, "e1": 2 * rest}
			times := make(map[string]bool)
			for range 4 {
				response := headOf(t, url+path)
				after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				if response.StatusCode != http.StatusServiceUnavailable || err != nil || after < 70 || after > (1+backoffJitter)*rest.Seconds() {
					t.Errorf("status %d, to come back in %v s; want 503 and about 100 to 125", response.StatusCode, after)
				}
				times[response.Header.Get("Retry-After")] = true
			}
			if len(times) < 2 {
				t.Errorf("all callers come back after %v s, want them spread", times)
			}
			wantRequests(t, f, 0, 0)
		})
	}
}

// A grant that was made before the endpoint's word arrived isn't used, and counts as no repeat.
func TestGrantOfABlockedEndpointIsNotUsed(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\n")), newStubEndpoint(t, stream("id: 1\ndata: b\n\n")))
	f.blocked = map[string]bool{"e0": true}
	wantAnswer(t, url+"/stream/", http.StatusOK, "id: 1\ndata: b\n\n")
	wantRequests(t, f, 0, 1)
	if o := f.orders[1]; o.Repeat || len(o.Avoid) != 1 || o.Avoid[0] != "e0" {
		t.Errorf("second order repeats %t and avoids %v, want no repeat that avoids e0", o.Repeat, o.Avoid)
	}
}

func TestBlockedPlainEndpointGetsNoRequests(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerOK), newStubEndpoint(t, answerOK))
	f.blocked = map[string]bool{"e0": true, "e1": true}
	if status, _, err := send(t, url+"/once/", "hello"); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("status %d, error %v; want 503", status, err)
	}
	wantRequests(t, f, 0, 0)
	if len(f.signals) > 0 {
		t.Errorf("heard %+v of endpoints that got nothing", []bbstanding.Signal{f.signals[0].signal})
	}
}
