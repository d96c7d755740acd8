package bbgateway

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbjob"
	"bluebellhall/core/bbsuspect"
)

// wantSuspect sends a request and checks that it is refused as suspect, with the proper Retry-After.
func wantSuspect(t *testing.T, f *fixture, url string) {
	t.Helper()
	wantQuarantined(t, f, url, causeSuspect)
}

func wantQuarantined(t *testing.T, f *fixture, url, cause string) {
	t.Helper()
	response := headOf(t, url)
	last := f.logged[len(f.logged)-1]
	got := []string{response.Status[:3], response.Header.Get("Retry-After"), last.Outcome, last.Cause}
	if diff := cmp.Diff([]string{"503", "5.000", "refused", cause}, got); diff != "" {
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

// sharedParts returns the parts that requests in the tests share.
func sharedParts(ids ...string) []uint64 {
	p := bbjob.Prompt{}
	for _, id := range append(ids, "own") {
		p.Parts = append(p.Parts, bbjob.Part{ID: id, Tokens: 1})
	}
	return p.SharedParts("engine")
}

// Regression: requests with a part that had crashed engines reached further ones, since no two were alike.
func TestPromptWithARefusedPartReachesNoEngine(t *testing.T) {
	for _, path := range []string{"/stream/", "/resume/"} {
		t.Run("on arrival"+path, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, stream("data: a\n\n")))
			f.refusesPrompt = func([]uint64) bool { return true }
			wantQuarantined(t, f, url+path, causeSuspectPart)
			wantRequests(t, f, 0)
			if len(f.orders) > 0 {
				t.Errorf("%d orders, want none", len(f.orders))
			}
		})
		t.Run("after the grant"+path, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, stream("data: a\n\n")))
			calls := 0
			f.refusesPrompt = func([]uint64) bool {
				calls++
				return calls > 1
			}
			wantQuarantined(t, f, url+path, causeSuspectPart)
			wantRequests(t, f, 0)
		})
	}
	t.Run("before it is resumed", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerLost), newStubEndpoint(t, stream("data: a\n\n")))
		calls := 0
		f.refusesPrompt = func([]uint64) bool {
			calls++
			return calls > 2
		}
		wantAnswer(t, url+"/resume/", http.StatusBadGateway, "")
		wantRequests(t, f, 1, 0)
	})
	t.Run("only prompts for engines have parts", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, answerOK))
		f.refusesPrompt = func(parts []uint64) bool { return len(parts) > 0 }
		wantAnswer(t, url+"/once/", http.StatusOK, "done", "Parts", "a own")
		if status, _, _ := send(t, url+"/stream/", "", "Parts", "a own"); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
	})
}

func TestPartsOfRunsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		answer            string
		failed, succeeded []uint64
		hasEvent          bool
	}{
		"success":               {answer: stream("data: a\n\n"), succeeded: sharedParts("a", "b")},
		"no answer":             {answer: answerLost, failed: sharedParts("a", "b")},
		"cut after an event":    {answer: stream("data: a\n\nda"), failed: sharedParts("a", "b"), hasEvent: true},
		"cut before an event":   {answer: stream("da"), failed: sharedParts("a", "b")},
		"an error says nothing": {answer: answerFailed},
	} {
		t.Run(name, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, c.answer))
			// How the answer ends is checked elsewhere.
			_, _, _ = send(t, url+"/stream/", "", "Parts", "a b own")
			f.mu.Lock()
			defer f.mu.Unlock()
			var failed []uint64
			for _, r := range f.failedRuns {
				failed = append(failed, r.Parts...)
				if (r.SinceFirstEvent > 0) != c.hasEvent {
					t.Errorf("first event %v before the failure, want one: %t", r.SinceFirstEvent, c.hasEvent)
				}
			}
			if diff := cmp.Diff([][]uint64{c.failed, c.succeeded}, [][]uint64{failed, f.succeededParts}); diff != "" {
				t.Errorf("parts of failed and successful runs (-want +got):\n%s", diff)
			}
		})
	}
}
