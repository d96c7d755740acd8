package bbgateway

import (
	"net/http"
	"strings"
	"testing"
)

// Regression: a status from 600 on was forwarded to the caller, and an answer in the body of one below 100 was too.
func TestInvalidStatusIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999", "1000", "OK"} {
		for form, rest := range map[string]string{
			"with a length":    "Content-Length: 4\r\n\r\ndone",
			"up to the close":  "\r\nid: 2\ndata: b\n\n",
			"around an answer": "Content-Length: 99\r\n\r\n" + answerOK,
			"not run":          "Notrun: 1\r\nContent-Length: 0\r\n\r\n",
		} {
			answer := "HTTP/1.1 " + status + " X\r\nSigned: yes\r\n" + rest
			for _, path := range []string{"/once/", "/read/", "/model/", "/stream/", "/resume/"} {
				t.Run(strings.Join([]string{status, form, path}, " "), func(t *testing.T) {
					f, url := newFixture(t, newStubEndpoint(t, answer))
					wantAnswer(t, url+path, http.StatusBadGateway, "")
					wantFailedRuns(t, f, 1, 0)
				})
			}
			t.Run(status+" "+form+" resumed", func(t *testing.T) {
				f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\nid")), newStubEndpoint(t, answer))
				wantAborted(t, url+"/resume/")
				wantFailedRuns(t, f, 2, 0)
			})
			t.Run(status+" "+form+" hedged", func(t *testing.T) {
				e := newLateEndpoint(t, answer)
				f, url := newHedgingFixture(t, e, e)
				wantAnswer(t, url+"/read/", http.StatusBadGateway, "")
				wantFailedRuns(t, f, 2, 0)
			})
		}
	}
}
