package bblines

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const text = `
  1.20 vm-1 {"level":"info","vm":"vm-1","event":831,"message":"orderAccepted","id":"aa11","detail":"r","value":900,"time":1000}
not a line of ours
{"vm":"vm-1","event":841,"message":"callSent","call":7,"endpoint":"w1","detail":"desk pieces=3 waiting=9","value":300,"time":1010}
{"vm":"vm-1","event":834,"message":"piecesSent","id":"aa11","call":7,"endpoint":"w1","detail":"2","time":1010}
{"vm":"vm-1","event":834,"message":"piecesSent","id":"bb22","call":7,"endpoint":"w1","detail":"1","time":1010}
{"vm":"vm-2","event":841,"message":"callSent","call":7,"endpoint":"w2","time":1011}
{"vm":"vm-2","event":851,"message":"entryRequestEnded","id":"bb22","outcome":"answered","status":200,"took":12,"time":1500}
{"vm":"vm-2","event":851,"message":"entryRequestEnded","id":"aa11","outcome":"refused","cause":"deadline","status":503,"limit":4200,"took":4000,"time":5000}
{"vm":"vm-1","event":842,"message":"callDone","call":7,"endpoint":"w1","value":290,"time":1300}
{"vm":"vm-1","event":841,"message":"callSent","call":7,"endpoint":"w9","time":9000}
`

func read(t *testing.T) []Line {
	t.Helper()
	lines, passed, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	if passed != 2 {
		t.Errorf("passed over %d lines, want the 2 that are no events", passed)
	}
	return lines
}

func wantTitles(t *testing.T, lines []Line, want ...string) {
	t.Helper()
	var got []string
	for _, l := range lines {
		got = append(got, l.VM+" "+l.Title)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

func TestLinesOfARequest(t *testing.T) {
	wantTitles(t, RequestLines(read(t), "aa"),
		"vm-1 orderAccepted", "vm-1 callSent", "vm-1 piecesSent", "vm-1 callDone", "vm-2 entryRequestEnded")
}

func TestRequestsByOutcome(t *testing.T) {
	wantTitles(t, Requests(read(t), ""), "vm-2 entryRequestEnded")
	if got := Requests(read(t), "answered"); len(got) != 1 || got[0].ID != "bb22" {
		t.Errorf("answered requests %+v, want bb22", got)
	}
}

func TestExplain(t *testing.T) {
	got := Explain(RequestLines(read(t), "aa11"))
	want := []string{
		"vm-1 coordinated it and expected the first token after 900 ms.",
		"vm-2 ended it as refused with status 503 after 4000 ms: the stages were not done while there was time for the rest. " +
			"It has not run. It might take 4200 ms. Look next at: the calls in this time line: the one that took longest.",
		"Its longest part were the 3700 ms from callDone (vm-1) to entryRequestEnded (vm-2).",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
}

func TestRequestWithoutAnEnd(t *testing.T) {
	got := Explain(RequestLines(read(t), "aa11")[:2])
	if len(got) != 2 || !strings.Contains(got[1], "no last line") {
		t.Errorf("explanation %q, want it to say that the last line is missing", got)
	}
}

func TestCausesAreToldOnce(t *testing.T) {
	seen := make(map[string]bool)
	for _, c := range causes {
		if seen[c.Word] || c.Text == "" || c.Next == "" {
			t.Errorf("cause %q stands twice or lacks a text", c.Word)
		}
		seen[c.Word] = true
	}
}
