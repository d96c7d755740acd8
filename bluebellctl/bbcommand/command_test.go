package bbcommand

import (
	"bytes"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/core/bbevent"
	"bluebellhall/core/bbmsg"
)

var update = flag.Bool("update", false, "regenerate the golden files")

const (
	small  = "testdata/rules.txt"
	broken = "../../examples/broken/rules.txt"
)

// testNow is the wall clock time that the commands get.
var testNow = time.UnixMilli(1_000_000_000)

func TestOutput(t *testing.T) {
	node := serveNode(t)
	cases := []struct {
		golden    string
		arguments string
		code      int
	}{
		{golden: "check", arguments: "check " + small, code: ExitOK},
		{golden: "checkBroken", arguments: "check " + broken, code: ExitFindings},
		{golden: "checkJSON", arguments: "check --json " + broken, code: ExitFindings},
		{golden: "explainPipeline", arguments: "explain --pipeline quality --domain khovd --session s " + small, code: ExitOK},
		{golden: "explainCall", arguments: "explain --call ledger/v1/confirmations --domain khovd " + small, code: ExitOK},
		{golden: "explainLive", arguments: "explain --call ledger/v1/lots --domain khovd --nodes NODE " + small, code: ExitOK},
		{golden: "explainNoEndpoint", arguments: "explain --call portal/v1/quotes --domain khovd --nodes NODE " + small, code: ExitFindings},
		{golden: "explainJSON", arguments: "explain --call ledger/v1/lots --domain khovd --json " + small, code: ExitOK},
		{golden: "drain", arguments: "drain " + small + " khovd", code: ExitOK},
		{golden: "drainLast", arguments: "drain " + small + " altai", code: ExitFindings},
		{golden: "drainJSON", arguments: "drain --json " + small + " altai", code: ExitFindings},
		{golden: "return", arguments: "return " + small + " arkhangai", code: ExitOK},
		{golden: "timelineNoAnswer", arguments: "timeline --nodes 127.0.0.1:1", code: ExitFindings},
		{golden: "drainLive", arguments: "drain --nodes NODE " + small + " khovd", code: ExitOK},
		{golden: "compareNothing", arguments: "compare " + small + " " + small, code: ExitOK},
		{golden: "status", arguments: "status --nodes NODE", code: ExitFindings},
		{golden: "statusJSON", arguments: "status --json --nodes NODE", code: ExitFindings},
		{golden: "timeline", arguments: "timeline --nodes NODE", code: ExitOK},
		{golden: "timelineSince", arguments: "timeline --since 1s --json --nodes NODE", code: ExitOK},
		{golden: "help", arguments: "--help", code: ExitOK},
	}
	for _, test := range cases {
		t.Run(test.golden, func(t *testing.T) {
			code, out, err := run(t, strings.ReplaceAll(test.arguments, "NODE", node))
			checkEqual(t, test.code, code)
			checkEqual(t, "", err)
			checkGolden(t, test.golden, strings.ReplaceAll(out, node, "NODE"))
		})
	}
}

func TestUsage(t *testing.T) {
	cases := []struct {
		arguments string
		want      string
	}{
		{arguments: "", want: "a command is required"},
		{arguments: "nonsense", want: `unknown command "nonsense"`},
		{arguments: "check", want: "got 0 arguments, want 1"},
		{arguments: "check nowhere", want: "read rules file"},
		{arguments: "check --nonsense x", want: "see bluebellctl check --help"},
		{arguments: "status", want: `"nodes" not set`},
		{arguments: "status --nodes here", want: `"here" is not host:port`},
		{arguments: "timeline --nodes a:1 --content 7f", want: "--content requires --logs"},
		{arguments: "timeline --nodes a:1 --kind x", want: `no event has the title "x"`},
		{arguments: "explain --domain khovd " + small, want: "exactly one of --pipeline and --call"},
		{arguments: "explain --domain x --pipeline quality " + small, want: `failure domain "x" is not declared`},
		{arguments: "explain --domain khovd --pipeline x " + small, want: `pipeline "x" is not declared`},
		{arguments: "explain --domain khovd --call x/y " + small, want: `call "x/y" is not declared`},
		{arguments: "explain --domain khovd --pipeline quality --nodes 127.0.0.1:1 " + small, want: "127.0.0.1:1: no answer"},
		{arguments: "return " + small + " khovd", want: `failure domain "khovd" is already in service`},
		{arguments: "events x", want: "got 1 arguments, want 0"},
	}
	for _, test := range cases {
		t.Run(test.arguments, func(t *testing.T) {
			code, _, err := run(t, test.arguments)
			checkEqual(t, ExitUsage, code)
			if !strings.Contains(err, test.want) {
				t.Errorf("error %q, want %q", err, test.want)
			}
		})
	}
}

func TestEventsListsTheCatalogue(t *testing.T) {
	code, out, _ := run(t, "events")
	checkEqual(t, ExitOK, code)
	checkEqual(t, len(bbevent.Catalogue), strings.Count(out, "\n"))
	var entries []eventEntry
	_, out, _ = run(t, "events --json")
	if err := json.Unmarshal([]byte(out), &entries); err != nil {
		t.Fatal(err)
	}
	checkEqual(t, eventEntries(), entries)
}

// TestCommandsHaveHelp checks that each command has a usage line and a description.
func TestCommandsHaveHelp(t *testing.T) {
	for _, c := range newRoot(&Environment{}).Commands {
		if c.Usage == "" || c.Description == "" {
			t.Errorf("%s has no help", c.Name)
		}
	}
}

// run executes a command line and returns the exit code and what was printed.
func run(t *testing.T, arguments string) (code int, out, err string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	env := Environment{
		Out:      &stdout,
		Err:      &stderr,
		ReadFile: os.ReadFile,
		Client:   http.DefaultClient,
		Now:      func() time.Time { return testNow },
	}
	code = Run(t.Context(), env, append([]string{"bluebellctl"}, strings.Fields(arguments)...))
	return code, stdout.String(), stderr.String()
}

// serveNode serves the status and events of an entry VM and returns its address.
func serveNode(t *testing.T) string {
	t.Helper()
	status := bbmsg.Status{
		Node: "entry-1", Domain: "khovd", Region: "west", Ready: true,
		Rules: bbmsg.RulesStatus{Revision: 7}, ListRevision: 3, ListSeen: 3,
		DomainsOut: []string{"arsmall"},
		HeldBack:   []bbmsg.HeldBack{{Endpoint: "ledger-1", Reason: bbmsg.ReasonUnconfirmed}},
		Endpoints: []bbmsg.EndpointDigest{
			{Name: "ledger-1", State: bbmsg.StateCold, Queued: 1, WaitMillis: 40},
			{Name: "ledger-2", State: bbmsg.StateWarm, Window: 16, InFlight: 2},
		},
		Peers: []bbmsg.PeerStatus{{Name: "entry-2", HeardMillis: 9000}},
	}
	old := bbevent.Event{Stamp: bbevent.StampAt(testNow.Add(-time.Minute)), Number: bbevent.NodeStarted, Node: "entry-1"}
	late := bbevent.Event{Stamp: bbevent.StampAt(testNow), Number: bbevent.StageDispatched, Node: "entry-1", Request: "t.n", Attempt: 1, Endpoint: "ledger-3", Peer: "entry-2", Detail: "x"}
	unknown := bbevent.Event{Stamp: late.Stamp + 1, Number: 999, Node: "entry-1"}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/status" {
			_ = json.NewEncoder(w).Encode(status)
			return
		}
		page := bbmsg.EventPage{Events: []bbevent.Event{old, late, unknown}}
		if r.URL.Query().Get("after") != "0" {
			page.Events = page.Events[1:]
		}
		_ = json.NewEncoder(w).Encode(page)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func checkEqual[T any](t *testing.T, want, got T) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differs (-want +got):\n%s", diff)
	}
}

func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, string(want), got)
}
