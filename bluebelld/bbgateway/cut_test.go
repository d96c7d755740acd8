package bbgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The framings of an answer that ends in order, each with the body that it is given.
var framings = map[string]func(body string) string{
	"connection": func(body string) string { return answerHead + "\r\n" + body },
	"length": func(body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", answerHead, len(body), body)
	},
	"chunks": func(body string) string {
		text := answerHead + "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		return text + "0\r\n\r\n"
	},
}

const answerHead = "HTTP/1.1 200 OK\r\nSigned: yes\r\n"

// cutStreams are streams that end inside their second event.
var cutStreams = map[string]string{
	"in a field name":              "id: 1\ndata: a\n\ni",
	"in an ID":                     "id: 1\ndata: a\n\nid: 2",
	"after an ID":                  "id: 1\ndata: a\n\nid: 2\n",
	"in data":                      "id: 1\ndata: a\n\nid: 2\ndata: b",
	"before the empty line":        "id: 1\ndata: a\n\nid: 2\ndata: b\n",
	"before the empty line, CR LF": "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n",
	"before the empty line, CR":    "id: 1\rdata: a\r\rid: 2\rdata: b\r",
	"in a comment":                 "id: 1\ndata: a\n\n: pi",
}

// eachCutStream runs a subtest for each framing of each stream that ends inside an event.
func eachCutStream(t *testing.T, test func(t *testing.T, answer string)) {
	for framing, frame := range framings {
		for place, body := range cutStreams {
			t.Run(framing+"/"+place, func(t *testing.T) { test(t, frame(body)) })
		}
	}
}

// wantAborted sends a request and checks that its answer doesn't look complete.
func wantAborted(t *testing.T, url string) {
	t.Helper()
	if status, body, err := send(t, url, ""); err == nil {
		t.Errorf("answer %d %q looks complete, want the connection to be aborted", status, body)
	}
}

// wantFailedRuns checks how many runs were reported as failed and as successful.
func wantFailedRuns(t *testing.T, f *fixture, failed, succeeded int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if diff := cmp.Diff([2]int{failed, succeeded}, [2]int{len(f.failedRuns), len(f.succeeded)}); diff != "" {
		t.Errorf("failed and successful runs (-want +got):\n%s", diff)
	}
}

// wantAnswered checks which of the failed runs are reported as answered, so that they don't count as crashes.
func wantAnswered(t *testing.T, f *fixture, want ...bool) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var got []bool
	for _, r := range f.failedRuns {
		got = append(got, r.Answered)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("failed runs that are reported as answered (-want +got):\n%s", diff)
	}
}

// Regression: a stream that ended inside an event was forwarded as complete if its connection closed in order.
func TestStreamCutInsideAnEventIsAborted(t *testing.T) {
	eachCutStream(t, func(t *testing.T, answer string) {
		f, url := newFixture(t, newStubEndpoint(t, answer), newStubEndpoint(t, stream("id: 2\ndata: b\n\n")))
		wantAborted(t, url+"/stream/")
		wantRequests(t, f, 1, 0)
		wantFailedRuns(t, f, 1, 0)
	})
}

// Regression: a resumable stream that ended inside an event was forwarded as complete instead of resumed.
func TestStreamCutInsideAnEventIsResumed(t *testing.T) {
	eachCutStream(t, func(t *testing.T, answer string) {
		f, url := newFixture(t, newStubEndpoint(t, answer), newStubEndpoint(t, stream("id: 2\ndata: b\n\n")))
		status, body, err := send(t, url+"/resume/", "")
		body = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(body)
		if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; status != http.StatusOK || body != want || err != nil {
			t.Errorf("answer %d %q, error %v; want %q", status, body, err, want)
		}
		wantRequests(t, f, 1, 1)
		if last := f.endpoint[1].lastEvents(); !cmp.Equal([]string{"1"}, last) {
			t.Errorf("second engine was asked to resume after %q, want 1", last)
		}
		wantFailedRuns(t, f, 1, 1)
	})
	t.Run("no engine is left", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\nid: 2\nda")))
		wantAborted(t, url+"/resume/")
		wantFailedRuns(t, f, 1, 0)
	})
}

// Regression: a stream whose connection closed before its first event was forwarded as complete.
func TestStreamCutBeforeItsFirstEventIsNotAnswered(t *testing.T) {
	for name, body := range map[string]string{"no body": "", "only a comment": ": hello\n\n"} {
		t.Run(name, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, stream(body)))
			if status, body, err := send(t, url+"/stream/", ""); status == http.StatusOK && err == nil {
				t.Errorf("answer %d %q looks complete", status, body)
			}
			wantFailedRuns(t, f, 1, 0)
		})
	}
	t.Run("inside the first event of a resumable stream", func(t *testing.T) {
		f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\nda")), newStubEndpoint(t, stream("id: 1\ndata: a\n\n")))
		wantAnswer(t, url+"/resume/", http.StatusOK, "id: 1\ndata: a\n\n")
		wantRequests(t, f, 1, 1)
	})
	t.Run("no other engine", func(t *testing.T) {
		_, url := newFixture(t, newStubEndpoint(t, stream("id: 1\nda")))
		wantAnswer(t, url+"/resume/", http.StatusBadGateway, "")
	})
}

func TestCompleteStreamIsForwardedWhole(t *testing.T) {
	for name, body := range map[string]string{
		"LF":                "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"CR LF":             "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"CR":                "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"mixed":             "id: 1\rdata: a\n\r\nid: 2\r\ndata: b\r\n\n",
		"a comment at last": "data: a\n\n: end\n",
		"more empty lines":  "data: a\n\n\n\r\n",
	} {
		for framing, frame := range framings {
			for _, path := range []string{"/stream/", "/resume/"} {
				t.Run(framing+path+name, func(t *testing.T) {
					f, url := newFixture(t, newStubEndpoint(t, frame(body)))
					wantAnswer(t, url+path, http.StatusOK, body)
					wantFailedRuns(t, f, 0, 1)
				})
			}
		}
	}
	t.Run("no events, by length", func(t *testing.T) {
		_, url := newFixture(t, newStubEndpoint(t, framings["length"]("")))
		wantAnswer(t, url+"/stream/", http.StatusOK, "")
	})
}

// The end of the connection is the only end that a body of another kind without a length has.
func TestAnswerUpToTheCloseIsComplete(t *testing.T) {
	f, url := newFixture(t, newStubEndpoint(t, framings["connection"]("done")))
	wantAnswer(t, url+"/once/", http.StatusOK, "done")
	wantFailedRuns(t, f, 0, 1)
}

// Regression: a caller of HTTP/1.0, for which only the end of the connection ends a stream, could not tell an
// aborted stream from a complete one.
func TestAbortedStreamResetsTheConnectionOfAnOldCaller(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		whole  bool
	}{
		"cut":      {stream("id: 1\ndata: a\n\nid: 2"), false},
		"complete": {stream("id: 1\ndata: a\n\n"), true},
	} {
		t.Run(name, func(t *testing.T) {
			_, url := newFixture(t, newStubEndpoint(t, c.answer))
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, "POST /stream/ HTTP/1.0\r\nHost: 127.0.0.1\r\nId: 1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(conn)
			if c.whole != (err == nil) {
				t.Errorf("answer %q, error %v; want it to look complete: %t", body, err, c.whole)
			}
		})
	}
}

// Regression: a run that was to go on after an event and began anew, or left events out, was appended to the stream,
// so that the caller got events twice or not at all.
func TestBegunStreamGetsEachEventOnce(t *testing.T) {
	const begun = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		rest string
		// continues is true if the rest goes on after the first two events.
		continues bool
	}{
		"the rest":                    {"id: 3\ndata: c\n\nid: 4\ndata: d\n\n", true},
		"the rest after a comment":    {": hello\n\nid: 3\ndata: c\n\n", true},
		"all from the first event on": {"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", false},
		"the last event again":        {"id: 2\ndata: b\n\nid: 3\ndata: c\n\n", false},
		"one event left out":          {"id: 4\ndata: d\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, stream(begun+"id: 3\nda")), newStubEndpoint(t, stream(c.rest)))
			status, body, err := send(t, url+"/resume/", "")
			want := begun
			if c.continues {
				want += c.rest
			}
			if status != http.StatusOK || (err == nil) != c.continues || body != want {
				t.Errorf("answer %d %q, error %v; want %q, complete: %t", status, body, err, want, c.continues)
			}
			wantRequests(t, f, 1, 1)
			if !c.continues {
				wantFailedRuns(t, f, 2, 0)
				wantAnswered(t, f, false, true)
			}
		})
	}
}

// Regression: an error with which an engine answered when a stream was to go on was appended to the stream, which
// then looked complete.
func TestBegunStreamGetsNothingButItsRest(t *testing.T) {
	for name, c := range map[string]struct {
		head, body string
		// sent is what the caller gets beyond the first event, notRun whether the second engine reports that it
		// has not run the request.
		sent   string
		notRun bool
	}{
		"500 without a body":       {head: "500 Failed\r\nSigned: yes"},
		"500 with a body":          {head: "500 Failed\r\nSigned: yes", body: "fail"},
		"500 with events":          {head: "500 Failed\r\nSigned: yes", body: "id: 2\ndata: b\n\n"},
		"500 without receipt":      {head: "500 Failed", body: "fail"},
		"404":                      {head: "404 Unknown\r\nSigned: yes", body: "none"},
		"302":                      {head: "302 Found\r\nSigned: yes\r\nLocation: /", body: "gone"},
		"206":                      {head: "206 Partial\r\nSigned: yes", body: "id: 2\ndata: b\n\n"},
		"200 without receipt":      {head: "200 OK", body: "id: 2\ndata: b\n\n"},
		"200 that begins anew":     {head: "200 OK\r\nSigned: yes", body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
		"200 without an ID":        {head: "200 OK\r\nSigned: yes", body: "data: b\n\n"},
		"200 without an ID, later": {head: "200 OK\r\nSigned: yes", body: "data: b\n\nid: 2\ndata: b\n\n"},
		"200 of another kind":      {head: "200 OK\r\nSigned: yes", body: "{\n\n}\n\n"},
		"200 that breaks off":      {head: "200 OK\r\nSigned: yes", body: "id: 2\nda"},
		"200 that breaks off, later": {
			head: "200 OK\r\nSigned: yes",
			body: "id: 2\ndata: b\n\nid: 3\nda",
			sent: "id: 2\ndata: b\n\n",
		},
		"503 not run": {head: "503 Full\r\nNotrun: 1", notRun: true},
		"409 not run": {head: "409 Gone\r\nNotrun: 1\r\nGone: 1", notRun: true},
	} {
		for framing, frame := range framings {
			t.Run(framing+"/"+name, func(t *testing.T) {
				answer := strings.Replace(frame(c.body), answerHead, "HTTP/1.1 "+c.head+"\r\n", 1)
				f, url := newFixture(t, newStubEndpoint(t, frame("id: 1\ndata: a\n\nid: 2\nda")), newStubEndpoint(t, answer))
				status, body, err := send(t, url+"/resume/", "")
				if want := "id: 1\ndata: a\n\n" + c.sent; status != http.StatusOK || err == nil || body != want {
					t.Errorf("answer %d %q, error %v; want %q and the connection to be aborted", status, body, err, want)
				}
				wantRequests(t, f, 1, 1)
				if c.notRun {
					wantFailedRuns(t, f, 1, 0)
					return
				}
				wantFailedRuns(t, f, 2, 0)
			})
		}
	}
	for name, answer := range map[string]string{
		"204":         "HTTP/1.1 204 Empty\r\nSigned: yes\r\n\r\n",
		"no answer":   answerLost,
		"broken head": "HTTP/1.1 200",
		"cut length":  "HTTP/1.1 200 OK\r\nSigned: yes\r\nContent-Length: 99\r\n\r\n",
		"cut chunks":  "HTTP/1.1 200 OK\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n",
		"only a head": stream(),
	} {
		t.Run(name, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, stream("id: 1\ndata: a\n\nid: 2\nda")), newStubEndpoint(t, answer))
			wantAborted(t, url+"/resume/")
			wantRequests(t, f, 1, 1)
			wantFailedRuns(t, f, 2, 0)
		})
	}
}

// Regression: an answer of which a part had been sent, and that can't go on after that part, was followed by the whole
// answer of another engine.
func TestBegunAnswerThatCannotGoOnIsAborted(t *testing.T) {
	const long = maxBuffered + copyBuffer
	cutChunks := func(head, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
	}
	for name, c := range map[string]struct{ path, cut, whole string }{
		"idempotent, by an engine": {"/model/", cutChunks("200 OK", "do"), answerOK},
		"long error on a resumable route": {
			"/resume/", cutChunks("500 Failed", strings.Repeat("x", long)), cutChunks("500 Failed", strings.Repeat("x", long)) + "0\r\n\r\n",
		},
		"events without IDs": {"/resume/", stream("data: a\n\nda"), stream("data: a\n\ndata: b\n\n")},
		"last event without an ID": {
			"/resume/", stream("id: 1\ndata: a\n\ndata: b\n\nda"), stream("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
		},
		"long answer of a plain service": {"/read/", cutChunks("200 OK", strings.Repeat("x", long)), answerOK},
		"long error of a plain service":  {"/once/", cutChunks("500 Failed", strings.Repeat("x", long)), answerOK},
	} {
		t.Run(name, func(t *testing.T) {
			f, url := newFixture(t, newStubEndpoint(t, c.cut), newStubEndpoint(t, c.whole))
			wantAborted(t, url+c.path)
			wantRequests(t, f, 1, 0)
			wantFailedRuns(t, f, 1, 0)
		})
	}
}
