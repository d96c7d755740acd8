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

// The load signal in an answer is recorded, whatever else the answer says.
func TestLoadSignalsAreRecorded(t *testing.T) {
	for name, test := range map[string]struct{ path, answer string }{
		"plain answer":  {"/once/", answerOK},
		"failure":       {"/once/", answerFailed},
		"rejected":      {"/once/", answerNotRun},
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
				t.Errorf("recorded signals %+v, want one that e0 is draining", f.signals)
			}
		})
	}
}

// Regression: requests were sent to endpoints that had requested backoff from this VM.
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
	t.Run("order to the coordinator", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\n")), newStubEndpoint(t))
		f.backoffUntil = map[string]time.Duration{"e1": time.Hour}
		wantAnswer(t, url+"/stream/", http.StatusOK, "id: 1\ndata: a\n\n")
		if diff := cmp.Diff([]string{"e1"}, f.orders[0].Avoid); diff != "" {
			t.Errorf("engines to be avoided (-want +got):\n%s", diff)
		}
	})
}

// While all endpoints have requested backoff, requests are refused at once. Their Retry-After is spread
// over some time after the end of the earliest backoff.
func TestAllEndpointsBackOff(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, answerOK), newStubEndpoint(t, answerOK))
			const backoff = 100 * time.Second
			f.backoffUntil = map[string]time.Duration{"e0": backoff, "e1": 2 * backoff}
			times := make(map[string]bool)
			for range 4 {
				response := headOf(t, url+path)
				after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				if response.StatusCode != http.StatusServiceUnavailable || err != nil || after < 70 || after > (1+backoffJitter)*backoff.Seconds() {
					t.Errorf("status %d, Retry-After %v s; want 503 and about 100 to 125", response.StatusCode, after)
				}
				times[response.Header.Get("Retry-After")] = true
			}
			if len(times) < 2 {
				t.Errorf("all callers have the same Retry-After of %v s, want different ones", times)
			}
			wantRequests(t, f, 0, 0)
		})
	}
}

// A grant isn't used if the endpoint is blocked by the time the request would be sent. The next order
// doesn't count as a retry.
func TestGrantOfABlockedEndpointIsNotUsed(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\n")), newStubEndpoint(t, stream("id: 1\ndata: b\n\n")))
	f.blocked = map[string]bool{"e0": true}
	wantAnswer(t, url+"/stream/", http.StatusOK, "id: 1\ndata: b\n\n")
	wantRequests(t, f, 0, 1)
	if o := f.orders[1]; o.Repeat || len(o.Avoid) != 1 || o.Avoid[0] != "e0" {
		t.Errorf("second order has Repeat %t and Avoid %v, want false and e0", o.Repeat, o.Avoid)
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
		t.Errorf("recorded signals %+v of endpoints that got no request", []bbstanding.Signal{f.signals[0].signal})
	}
}
