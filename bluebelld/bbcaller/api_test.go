package bbcaller

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	metrics "github.com/rcrowley/go-metrics"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// rig is an interface whose core answers as a test wishes.
type fixture struct {
	api    *API
	url    string
	inputs []bbmsg.Input
}

// newRig starts a server; core is called for each input.
func newFixture(t *testing.T, core func(r *fixture, i bbmsg.Input)) *fixture {
	t.Helper()
	r := &fixture{}
	var handler http.Handler
	r.api, handler = New(Settings{
		MaxBodyBytes:  16,
		MaxCalls:      2,
		AnswerTimeout: 30 * time.Second,
	}, Hooks{
		Input: func(i bbmsg.Input) {
			r.inputs = append(r.inputs, i)
			if core != nil {
				core(r, i)
			}
		},
		Status:  func() bbmsg.Status { return bbmsg.Status{Ready: true} },
		Events:  func(bbevent.Stamp) []bbevent.Event { return nil },
		Metrics: metrics.NewRegistry(),
	})
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	r.url = s.URL
	return r
}

// answers makes a core that gives these answers to every caller.
func answers(list ...bbmsg.Answer) func(*fixture, bbmsg.Input) {
	return func(r *fixture, i bbmsg.Input) {
		if i.Caller == nil {
			return
		}
		for _, m := range list {
			m.Call = i.Caller.Call
			m.ID = i.Caller.Request.ID
			r.api.Answer(m)
		}
	}
}

// do sends a request with headers in pairs.
func (r *fixture) do(t *testing.T, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(data)
}

func checkRefusal(t *testing.T, response *http.Response, body string, status int, want Refusal) {
	t.Helper()
	if response.StatusCode != status {
		t.Errorf("status %d, want %d", response.StatusCode, status)
	}
	var got Refusal
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}

func TestBadInputIsAnsweredAtOnce(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
		want    Refusal
	}{
		{name: "no id", method: "POST", path: "/v1/pipelines/p", status: 400,
			want: Refusal{Outcome: "invalid", Reason: "noId"}},
		{name: "body too large", method: "POST", path: "/v1/pipelines/p", body: strings.Repeat("x", 17),
			headers: []string{HeaderRequestID, "b1.a.1.2.m.n"}, status: 413,
			want: Refusal{Outcome: "invalid", Reason: "bodyTooLarge", Request: "b1.a.1.2.n"}},
		{name: "budget is no number", method: "POST", path: "/v1/services/s/c",
			headers: []string{HeaderKey, "k", HeaderBudget, "soon"}, status: 400,
			want: Refusal{Outcome: "invalid", Reason: "badHeader"}},
		{name: "unknown page", method: "GET", path: "/v1/nothing", status: 404,
			want: Refusal{Outcome: "invalid", Reason: "unknownPath"}},
		{name: "stamp is no number", method: "GET", path: "/v1/events?after=x", status: 400,
			want: Refusal{Outcome: "invalid", Reason: "badQuery"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, nil)
			response, body := r.do(t, c.method, c.path, c.body, c.headers...)
			checkRefusal(t, response, body, c.status, c.want)
			if len(r.inputs) != 0 {
				t.Errorf("the core got %d inputs, want none", len(r.inputs))
			}
		})
	}
}

func TestOutcomesHaveStatuses(t *testing.T) {
	cases := []struct {
		answer bbmsg.Answer
		status int
		want   Refusal
	}{
		{answer: bbmsg.Answer{Outcome: "notRun", Reason: "overload", RetryAfterMillis: 1500, Repeatable: true}, status: 429,
			want: Refusal{Outcome: "notRun", Reason: "overload", RetryAfterMillis: 1500, Repeatable: true, Request: "b1.a.1.2.n"}},
		{answer: bbmsg.Answer{Outcome: "unknown", Reason: "homeGone"}, status: 409,
			want: Refusal{Outcome: "unknown", Reason: "homeGone", Request: "b1.a.1.2.n"}},
		{answer: bbmsg.Answer{Outcome: "failed", Reason: "endpointFailed", Body: []byte("why")}, status: 502,
			want: Refusal{Outcome: "failed", Reason: "endpointFailed", Request: "b1.a.1.2.n", Detail: "why"}},
		{answer: bbmsg.Answer{Outcome: "ran", Reason: "retention"}, status: 410,
			want: Refusal{Outcome: "ran", Reason: "retention", Request: "b1.a.1.2.n"}},
	}
	for _, c := range cases {
		t.Run(string(c.answer.Outcome), func(t *testing.T) {
			r := newFixture(t, answers(c.answer))
			response, body := r.do(t, "POST", "/v1/services/s/c", "{}", HeaderRequestID, "b1.a.1.2.m.n")
			checkRefusal(t, response, body, c.status, c.want)
		})
	}
}

func TestAnswers(t *testing.T) {
	id := []string{HeaderRequestID, "b1.a.1.2.m.n"}
	stream := append([]string{"Accept", "text/event-stream"}, id...)
	part := bbmsg.Answer{Outcome: bbmsg.OutcomePending, Tokens: []string{"a", "b"}}
	t.Run("plain body", func(t *testing.T) {
		r := newFixture(t, answers(bbmsg.Answer{Outcome: bbmsg.OutcomeAnswered, Body: []byte(`{"x":1}`)}))
		_, body := r.do(t, "POST", "/v1/services/s/c", "", id...)
		checkText(t, body, `{"x":1}`)
	})
	t.Run("tokens of a whole answer", func(t *testing.T) {
		r := newFixture(t, answers(bbmsg.Answer{Outcome: bbmsg.OutcomeAnswered, Tokens: []string{"a", "b"}}))
		_, body := r.do(t, "POST", "/v1/pipelines/p", "", id...)
		checkText(t, body, `{"tokens":["a","b"],"text":"ab"}`+"\n")
	})
	t.Run("stream: each token once though parts overlap", func(t *testing.T) {
		r := newFixture(t, answers(part, bbmsg.Answer{Outcome: bbmsg.OutcomeAnswered, Offset: 1, Tokens: []string{"b", "c"}}))
		_, body := r.do(t, "POST", "/v1/pipelines/p", "", stream...)
		checkText(t, body, "id: 2\ndata: {\"tokens\":[\"a\",\"b\"],\"offset\":0}\n\n"+
			"id: 3\ndata: {\"tokens\":[\"c\"],\"offset\":2}\n\n"+
			"event: end\ndata: {\"outcome\":\"answered\",\"repeatable\":false,\"request\":\"b1.a.1.2.n\",\"tokens\":3}\n\n")
	})
	t.Run("stream: a gap is not passed off as a whole answer", func(t *testing.T) {
		r := newFixture(t, answers(part, bbmsg.Answer{Outcome: bbmsg.OutcomeAnswered, Offset: 3, Tokens: []string{"d"}}))
		_, body := r.do(t, "POST", "/v1/pipelines/p", "", stream...)
		checkText(t, body, "id: 2\ndata: {\"tokens\":[\"a\",\"b\"],\"offset\":0}\n\n"+
			"event: end\ndata: {\"outcome\":\"unknown\",\"reason\":\"silent\",\"repeatable\":false,\"request\":\"b1.a.1.2.n\",\"tokens\":2}\n\n")
	})
	t.Run("stream: resumed beyond its end, it names the number of tokens that there are", func(t *testing.T) {
		r := newFixture(t, answers(bbmsg.Answer{Outcome: bbmsg.OutcomeAnswered, Offset: 8}))
		_, body := r.do(t, "POST", "/v1/pipelines/p", "", append([]string{HeaderLastEvent, "30"}, stream...)...)
		checkText(t, body, "event: end\ndata: {\"outcome\":\"answered\",\"repeatable\":false,\"request\":\"b1.a.1.2.n\",\"tokens\":8}\n\n")
	})
	t.Run("too many callers", func(t *testing.T) {
		r := newFixture(t, nil)
		for range 2 {
			r.api.calls.add()
		}
		response, body := r.do(t, "POST", "/v1/pipelines/p", "", id...)
		checkRefusal(t, response, body, 409, Refusal{Outcome: "unknown", Reason: "tableFull", Request: "b1.a.1.2.n"})
	})
}

func checkText(t *testing.T, got, want string) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
}
