package bbgateway

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbsuspect"
)

// wantSuspect sends a request and checks that it is refused as suspect, with the proper Retry-After.
func wantSuspect(t *testing.T, f *fixture, url string) {
	t.Helper()
	response := headOf(t, url)
	last := f.logged[len(f.logged)-1]
	got := []string{response.Status[:3], response.Header.Get("Retry-After"), last.Outcome, last.Cause}
	if diff := cmp.Diff([]string{"503", "5.000", "refused", causeSuspect}, got); diff != "" {
		t.Errorf("status, Retry-After, outcome and cause (-want +got):\n%s", diff)
	}
}

// Regression: content that crashes endpoints was sent to plain endpoints as often as its callers retried.
func TestRefusedContentReachesNoEndpoint(t *testing.T) {
	for _, path := range []string{"/read/", "/once/", "/resume/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, answerOK))
			f.verdicts = []bbsuspect.Verdict{bbsuspect.Refused}
			wantSuspect(t, f, url+path)
			wantRequests(t, f, 0)
		})
	}
}

// Regression: a granted request was sent although its content had been classified as refused meanwhile.
func TestVerdictIsCheckedBeforeEachSend(t *testing.T) {
	t.Run("with a grant", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\n")))
		// The verdicts on arrival, for the order and before sending.
		f.verdicts = []bbsuspect.Verdict{bbsuspect.Alone, bbsuspect.Alone, bbsuspect.Refused}
		wantSuspect(t, f, url+"/stream/")
		wantRequests(t, f, 0)
		if diff := cmp.Diff(bbsuspect.Alone, f.orders[0].Suspicion); diff != "" {
			t.Errorf("suspicion in the order (-want +got):\n%s", diff)
		}
	})
	t.Run("for a plain retry", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerLost), newStubEndpoint(t, answerOK))
		f.verdicts = []bbsuspect.Verdict{bbsuspect.Alone, bbsuspect.Refused}
		wantAnswer(t, url+"/read/", http.StatusBadGateway, "")
		wantRequests(t, f, 1, 0)
	})
	t.Run("after a rejection", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerNotRun), newStubEndpoint(t, answerOK))
		f.verdicts = []bbsuspect.Verdict{bbsuspect.Alone, bbsuspect.Refused}
		wantSuspect(t, f, url+"/once/")
		wantRequests(t, f, 1, 0)
	})
	t.Run("for a retry after a server error", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerFailed), newStubEndpoint(t, answerOK))
		f.verdicts = []bbsuspect.Verdict{bbsuspect.Alone, bbsuspect.Refused}
		wantAnswer(t, url+"/read/", http.StatusInternalServerError, "fail")
		wantRequests(t, f, 1, 0)
	})
	t.Run("for a stream to be resumed at another engine", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerLost), newStubEndpoint(t, stream("id: 1\ndata: a\n\n")))
		f.verdicts = []bbsuspect.Verdict{bbsuspect.Clear, bbsuspect.Clear, bbsuspect.Alone, bbsuspect.Refused}
		wantAnswer(t, url+"/resume/", http.StatusBadGateway, "")
		wantRequests(t, f, 1, 0)
	})
}

func TestSuccessfulRunsAreReported(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, answerLost, answerOK))
	wantAnswer(t, url+"/once/", http.StatusBadGateway, "")
	if len(f.succeeded) > 0 {
		t.Errorf("contents %x reported as successful, want none", f.succeeded)
	}
	wantAnswer(t, url+"/once/", http.StatusOK, "done")
	if diff := cmp.Diff([]uint64{f.failedRuns[0].Content}, f.succeeded); diff != "" {
		t.Errorf("contents reported as successful (-want +got):\n%s", diff)
	}
}
