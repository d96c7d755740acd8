package bbfleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

// healthy returns the status of a node without findings.
func healthy(name string) bbmsg.Status {
	return bbmsg.Status{
		Node:         name,
		Ready:        true,
		Confirmed:    true,
		Rules:        bbmsg.RulesStatus{Revision: 7, Digest: 1},
		ListRevision: 3,
		ListSeen:     3,
		Platform:     bbmsg.PlatformStatus{Up: true},
		Endpoints:    []bbmsg.EndpointDigest{{Name: "of-" + name}},
		Peers:        []bbmsg.PeerStatus{{Name: "other", Alive: true}},
	}
}

func TestFindings(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *bbmsg.Status)
		want   []string
	}{
		{name: "nothing", change: func(*bbmsg.Status) {}},
		{name: "starting", change: func(s *bbmsg.Status) { s.Ready = false; s.Confirmed = false }, want: []string{"b: not ready"}},
		{name: "unconfirmed", change: func(s *bbmsg.Status) { s.Confirmed = false }, want: []string{"b: not confirmed: it may not use cold endpoints that it owns"}},
		{name: "platform down", change: func(s *bbmsg.Status) { s.Platform = bbmsg.PlatformStatus{SinceMillis: 9} }, want: []string{"b: the configuration service has not answered for 9 ms"}},
		{name: "list behind", change: func(s *bbmsg.Status) { s.ListSeen = 4 }, want: []string{"b: uses revision 3 of the member list, but knows of revision 4"}},
		{name: "refused", change: func(s *bbmsg.Status) {
			s.Rules.Refused = []bbmsg.RefusedRules{{Revision: 8, Source: "platform", Findings: 2, First: "1:1: x"}}
		}, want: []string{"b: refused revision 8 of the rules from platform with 2 findings: 1:1: x"}},
		{name: "peer lost", change: func(s *bbmsg.Status) { s.Peers[0].Alive = false }, want: []string{"b: peer other does not answer its probes"}},
		{name: "rules behind", change: func(s *bbmsg.Status) { s.Rules = bbmsg.RulesStatus{Revision: 6} }, want: []string{"b: has revision 6 of the rules in force, another entry VM has 7"}},
		{name: "rules differ", change: func(s *bbmsg.Status) { s.Rules.Digest = 2 }, want: []string{"b: its text of revision 7 of the rules differs from that of another entry VM"}},
		{name: "two owners", change: func(s *bbmsg.Status) { s.Endpoints[0].Name = "of-a" }, want: []string{"of-a: claimed by several entry VMs when they were queried: [a b]"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			a, b := healthy("a"), healthy("b")
			test.change(&b)
			answers := Statuses(t.Context(), http.DefaultClient, []string{serve(t, "/v1/status", a), serve(t, "/v1/status", b)})
			checkEqual(t, test.want, texts(Findings(answers)))
		})
	}
}

func TestStatusesOfFailingNodes(t *testing.T) {
	broken := serve(t, "/v1/status", "text")
	missing := serve(t, "/elsewhere", healthy("x"))
	answers := Statuses(t.Context(), http.DefaultClient, []string{broken, missing, "127.0.0.1:1"})
	for i, want := range []string{"malformed answer", "answered 404", "no answer"} {
		if answers[i].Status != nil || !strings.HasPrefix(answers[i].Error, want) {
			t.Errorf("%+v, want error %q", answers[i], want)
		}
	}
	checkEqual(t, 3, len(Findings(answers)))
}

func TestTimeline(t *testing.T) {
	started := bbevent.Event{Stamp: 1, Number: bbevent.NodeStarted, Node: "a"}
	called := bbevent.Event{Stamp: 5, Number: bbevent.EndpointCalled, Node: "b", Request: "r1.n", Endpoint: "e"}
	lost := bbevent.Event{Stamp: 5, Number: bbevent.PeerLost, Node: "c", Peer: "a"}
	failed := bbevent.Event{Stamp: 9, Number: bbevent.EndpointFailed, Node: "b", Request: "r2.n", Endpoint: "e"}
	nodes := []string{
		serve(t, "/v1/events", bbmsg.EventPage{Events: []bbevent.Event{lost, failed}}),
		serve(t, "/v1/events", bbmsg.EventPage{Events: []bbevent.Event{started}, Lost: 4}),
		serve(t, "/v1/events", bbmsg.EventPage{Events: []bbevent.Event{called, failed}}),
		"127.0.0.1:1",
	}
	cases := []struct {
		name   string
		filter Filter
		want   []bbevent.Event
	}{
		{name: "all, sorted, without duplicates", want: []bbevent.Event{started, called, lost, failed}},
		{name: "request", filter: Filter{Request: "r1"}, want: []bbevent.Event{called}},
		{name: "endpoint", filter: Filter{Endpoint: "e"}, want: []bbevent.Event{called, failed}},
		{name: "node", filter: Filter{Node: "a"}, want: []bbevent.Event{started, lost}},
		{name: "kind", filter: Filter{Kind: "peerLost"}, want: []bbevent.Event{lost}},
		{name: "warnings", filter: Filter{Warnings: true}, want: []bbevent.Event{lost, failed}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			events, findings := Timeline(t.Context(), http.DefaultClient, nodes, 0, test.filter)
			checkEqual(t, test.want, events)
			checkEqual(t, 2, len(findings))
			checkEqual(t, "4 earlier events were dropped", findings[0].Text)
		})
	}
}

// serve starts a server that answers one path with a value as JSON, and returns its address.
func serve(t *testing.T, path string, value any) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != path {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(value)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func texts(findings []Finding) []string {
	var found []string
	for _, f := range findings {
		found = append(found, f.String())
	}
	return found
}

func checkEqual[T any](t *testing.T, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differs (-want +got):\n%s", diff)
	}
}
