package bbincident

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebellctl/bblines"
)

// writeLogs writes three log files into a new directory.
func writeLogs(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"a.log": `{"level":"info","vm":"a","event":831,"message":"orderAccepted","id":"aa11","value":900,"time":1000}` + "\n",
		"b.log": `{"level":"warn","vm":"b","event":851,"message":"entryRequestEnded","id":"aa11","outcome":"refused","cause":"late","status":503,"content":"7f","time":1001}` + "\n",
		"0.log": `{"level":"info","vm":"c","event":852,"message":"runBroke","id":"bb22","content":"7f","cause":"EOF","time":1002}` + "\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

func readAll(t *testing.T) []bblines.Line {
	t.Helper()
	lines, err := Read(writeLogs(t))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// wantSelected checks the VMs of the lines that a filter selects.
func wantSelected(t *testing.T, f Filter, want ...string) {
	t.Helper()
	lines, err := Select(readAll(t), f)
	if (err != nil) != (len(want) == 0) {
		t.Fatalf("error %v, want one only if nothing is selected", err)
	}
	var got []string
	for _, l := range lines {
		got = append(got, l.VM)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("VMs of the lines (-want +got):\n%s", diff)
	}
}

func TestSelect(t *testing.T) {
	wantSelected(t, Filter{}, "a", "b", "c")
	wantSelected(t, Filter{Request: "aa"}, "a", "b")
	wantSelected(t, Filter{Content: "7f"}, "b", "c")
	wantSelected(t, Filter{Kind: "orderAccepted"}, "a")
	wantSelected(t, Filter{Node: "b"}, "b")
	wantSelected(t, Filter{Warnings: true}, "b")
	wantSelected(t, Filter{Endpoint: "none"})
}

func TestExplainListsUnansweredRequests(t *testing.T) {
	var b strings.Builder
	if err := Explain(&b, readAll(t), ""); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("aa11  refused late 503\n", b.String()); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}

func TestMissingLogs(t *testing.T) {
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no error for a log path that does not exist, want one")
	}
	if err := Explain(&strings.Builder{}, readAll(t), "zz"); err == nil {
		t.Error("no error for a request that is not in the logs, want one")
	}
}
