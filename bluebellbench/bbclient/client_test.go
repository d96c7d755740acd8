package bbclient

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bluebellhall/bluebellbench/bbload"
	"bluebellhall/core/bbmsg"

	"github.com/google/go-cmp/cmp"
)

// script is an entry VM that answers messages in a fixed order.
type scriptedEntryVM struct {
	answers []string

	mu sync.Mutex
	// ids has the id of each message, offsets where each wants its stream to begin.
	ids             []string
	offsets         []string
	addressRequests int
}

// The answers of scripts.
const (
	dropConnection = "hang up"
	cutStream      = "cut stream"
	wholeStream    = "whole stream"
	restStream     = "rest of the stream"
	plainAnswer    = "plain answer"
)

var (
	chat  = bbload.Request{Kind: bbload.Kind{Pipeline: "p", Model: "m", Stream: true, MaxTokens: 4, Deadline: time.Minute}, Tag: "tag-1"}
	order = bbload.Request{Kind: bbload.Kind{Service: "s", Path: "v1/x", Once: true, Deadline: time.Minute}, Tag: "tag-1"}
)

func (s *scriptedEntryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/v1/addresses" {
		s.addressRequests++
		fmt.Fprintf(w, `{"addresses":[%q],"ticket":"t%d","keepMillis":60000}`, r.Host, s.addressRequests)
		return
	}
	id := r.Header.Get("Bluebell-Request-Id")
	s.ids = append(s.ids, id[:strings.Index(id, ".")]+id[len(id)-1:])
	s.offsets = append(s.offsets, r.Header.Get("Last-Event-ID"))
	answer := s.answers[min(len(s.ids), len(s.answers))-1]
	s.answer(w, answer)
}

func (s *scriptedEntryVM) answer(w http.ResponseWriter, answer string) {
	switch answer {
	case dropConnection:
		panic(http.ErrAbortHandler)
	case cutStream:
		writeTokens(w, 0, 2)
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case wholeStream:
		writeTokens(w, 0, 4)
		writeEnd(w)
	case restStream:
		writeTokens(w, 2, 4)
		writeEnd(w)
	case plainAnswer:
		fmt.Fprint(w, `{"tag":"tag-1"}`)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, answer)
	}
}

func writeTokens(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	quoted := fmt.Sprintf("%q", bbload.Completion(chat)[from:to])
	quoted = strings.ReplaceAll(quoted, `" "`, `","`)
	fmt.Fprintf(w, "id: %d\ndata: {\"tokens\":%s,\"offset\":%d}\n\n", to, quoted, from)
}

func writeEnd(w http.ResponseWriter) {
	fmt.Fprint(w, "event: end\ndata: {\"outcome\":\"answered\"}\n\n")
}

// ending is how an exchange ended.
type sendResult struct {
	Outcome bbmsg.Outcome
	IDs     string
	Offsets string
	Wrong   string
}

func TestSend(t *testing.T) {
	const (
		notRun  = `{"outcome":"notRun","reason":"overload"}`
		unknown = `{"outcome":"unknown","reason":"homeGone"}`
		expired = `{"outcome":"invalid","reason":"expiredTicket"}`
		failed  = `{"outcome":"failed","reason":"endpointFailed"}`
		invalid = `{"outcome":"invalid","reason":"unknownCall"}`
	)
	for _, c := range []struct {
		name    string
		request bbload.Request
		answers []string
		want    sendResult
	}{
		{"an answer at once", order, []string{plainAnswer}, sendResult{"answered", "t11", "", ""}},
		{"an answer lost is asked for under the same id", order, []string{dropConnection, plainAnswer}, sendResult{"answered", "t11 t11", "", ""}},
		{"not run is tried under a new id", order, []string{notRun, plainAnswer}, sendResult{"answered", "t11 t12", "", ""}},
		{"unknown ends a call that runs once", order, []string{unknown, plainAnswer}, sendResult{"unknown", "t11", "", ""}},
		{"an expired ticket is replaced", order, []string{expired, plainAnswer}, sendResult{"answered", "t11 t22", "", ""}},
		{"but not when an earlier message may have run", order, []string{dropConnection, expired, plainAnswer}, sendResult{"unknown", "t11 t11", "", ""}},
		{"a failure ends it", order, []string{failed, plainAnswer}, sendResult{"failed", "t11", "", ""}},
		{"so does a request that can't be accepted", order, []string{invalid, plainAnswer}, sendResult{"invalid", "t11", "", ""}},
		{"the number of messages is bounded", order, []string{dropConnection}, sendResult{"unknown", "t11 t11 t11 t11 t11 t11 t11 t11", "", ""}},
		{"a stream at once", chat, []string{wholeStream}, sendResult{"answered", "t11", "", ""}},
		{"a cut stream is resumed", chat, []string{cutStream, restStream}, sendResult{"answered", "t11 t11", " 2", ""}},
		{"tokens out of turn are not taken", chat, []string{restStream, wholeStream}, sendResult{"answered", "t11 t11", "", ""}},
		{"a lost home is not asked again for an idempotent request", chat, []string{cutStream, unknown, wholeStream}, sendResult{"answered", "t11 t11 t22", " 2", ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			checkSend(t, c.request, &scriptedEntryVM{answers: c.answers}, c.want)
		})
	}
}

func checkSend(t *testing.T, q bbload.Request, s *scriptedEntryVM, want sendResult) {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client, cleanup := New([]Node{{Address: strings.TrimPrefix(server.URL, "http://")}})
	t.Cleanup(cleanup)
	reply := client.Send(context.Background(), q, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	got := sendResult{
		Outcome: reply.Outcome,
		IDs:     strings.Join(s.ids, " "),
		Offsets: strings.TrimRight(strings.Join(s.offsets, " "), " "),
	}
	if reply.Outcome == bbmsg.OutcomeAnswered {
		got.Wrong = bbload.Verify(q, reply)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("exchange (-want +got):\n%s", diff)
	}
}

func TestAddresses(t *testing.T) {
	t.Run("an entry VM that does not answer is passed over", func(t *testing.T) {
		server := httptest.NewServer(&scriptedEntryVM{answers: []string{plainAnswer}})
		t.Cleanup(server.Close)
		client, cleanup := New([]Node{
			{Address: "127.0.0.1:1", Region: "near"},
			{Address: strings.TrimPrefix(server.URL, "http://"), Region: "far"},
		})
		t.Cleanup(cleanup)
		q := order
		q.Region = "near"
		if reply := client.Send(context.Background(), q, time.Now()); reply.Outcome != bbmsg.OutcomeAnswered {
			t.Errorf("outcome %s", reply.Outcome)
		}
	})
	t.Run("without any, nothing was run", func(t *testing.T) {
		client, cleanup := New([]Node{{Address: "127.0.0.1:1"}})
		t.Cleanup(cleanup)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		reply := client.Send(ctx, order, time.Now())
		if reply.Outcome != bbmsg.OutcomeNotRun || reply.Sends != 0 {
			t.Errorf("outcome %s after %d messages", reply.Outcome, reply.Sends)
		}
	})
}
