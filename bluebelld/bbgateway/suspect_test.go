package bbgateway

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbsuspect"
)

// wantSuspect sends a request and checks that it is refused as suspect, with the time to come back.
func wantSuspect(t *testing.T, f *fixture, url string) {
	t.Helper()
	response := headOf(t, url)
	last := f.logged[len(f.logged)-1]
	got := []string{response.Status[:3], response.Header.Get("Retry-After"), last.Outcome, last.Cause}
	if diff := cmp.Diff([]string{"503", "5.000", "refused", causeSuspect}, got); diff != "" {
		t.Errorf("status, time to come back, outcome and cause (-want +got):\n%s", diff)
	}
}

// Content that crashes endpoints was sent to plain endpoints as often as its callers asked.
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

// A request that had its grant was sent though its content had been found out in the meantime.
func TestVerdictIsCheckedBeforeEachSend(t *testing.T) {
	t.Run("with a grant", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\n")))
		// On arrival, with the order, and before it is sent.
		f.verdicts = []bbsuspect.Verdict{bbsuspect.Alone, bbsuspect.Alone, bbsuspect.Refused}
		wantSuspect(t, f, url+"/stream/")
		wantRequests(t, f, 0)
		if diff := cmp.Diff(bbsuspect.Alone, f.orders[0].Suspicion); diff != "" {
			t.Errorf("suspicion that the coordinator is told of (-want +got):\n%s", diff)
		}
	})
	t.Run("for a plain repeat", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerLost), newStubEndpoint(t, answerOK))
		f.verdicts = []bbsuspect.Verdict{bbsuspect.Alone, bbsuspect.Refused}
		wantAnswer(t, url+"/read/", http.StatusBadGateway, "")
		wantRequests(t, f, 1, 0)
	})
	t.Run("for one that was not run at first", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerNotRun), newStubEndpoint(t, answerOK))
		f.verdicts = []bbsuspect.Verdict{bbsuspect.Alone, bbsuspect.Refused}
		wantSuspect(t, f, url+"/once/")
		wantRequests(t, f, 1, 0)
	})
	t.Run("for a repeat after a failure", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerFailed), newStubEndpoint(t, answerOK))
		f.verdicts = []bbsuspect.Verdict{bbsuspect.Alone, bbsuspect.Refused}
		wantAnswer(t, url+"/read/", http.StatusInternalServerError, "fail")
		wantRequests(t, f, 1, 0)
	})
	t.Run("for a stream that would go on elsewhere", func(t *testing.T) {
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
		t.Errorf("contents %x came to a good end, want none", f.succeeded)
	}
	wantAnswer(t, url+"/once/", http.StatusOK, "done")
	if diff := cmp.Diff([]uint64{f.failedRuns[0].Content}, f.succeeded); diff != "" {
		t.Errorf("contents that came to a good end (-want +got):\n%s", diff)
	}
}
