package bbpromise

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

// crashingPart records requests with a crashing part, one a second: the first crash engines, the others reach them.
// It also records sound requests before the first crash and, from 8 s after the fifth, some of which begin.
func crashingPart(f *fakeEndpoints, crashes, arrivals, begun, sound int) []bbledger.PartArrival {
	start := time.Now()
	send := func(id, part string, at time.Time) {
		q := expectAttempt(f, "chat", id)
		q.Parts, q.CrashPart = []string{"first", "own"}, part
		if part != "" {
			q.Parts = []string{"first", part, "own"}
		}
		f.Ledger.Expect(q.Attempt)
		f.Tries = append(f.Tries, Try{
			Request: q,
			Reply:   bbstand.Reply{Status: 503},
			Sent:    at,
			Ended:   at,
		})
	}
	run := func(id string) {
		f.Ledger.BeginRun(id, "e", "llm", bbstand.Content("POST", "/chat/x", nil), "")
	}
	for i := range sound {
		send(fmt.Sprint("before", i), "", start.Add(-time.Second))
		run(fmt.Sprint("before", i))
		send(fmt.Sprint("after", i), "", start.Add(time.Minute))
		if i < begun {
			run(fmt.Sprint("after", i))
		}
	}
	var list []bbledger.PartArrival
	for i := range arrivals {
		at := start.Add(time.Duration(i) * time.Second)
		id := fmt.Sprint("bad", i)
		send(id, "bad", at)
		list = append(list, bbledger.PartArrival{Part: "bad", Attempt: id, Endpoint: "e", Crashed: i < crashes, At: at})
	}
	send("last", "bad", start.Add(2*time.Minute))
	return list
}

func TestPartsThatCrashEnginesAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		crashes, arrivals, begun, sound int
		want                            string
	}{
		"stopped after the fifth crash":   {crashes: 5, arrivals: 5 + 4 + 3, begun: 20, sound: 20},
		"one too many":                    {crashes: 5, arrivals: 5 + 4 + 4, begun: 20, sound: 20, want: "reached engines 4 times more"},
		"half of the sound requests lost": {crashes: 3, arrivals: 3, begun: 10, sound: 20},
		"more sound requests lost":        {crashes: 3, arrivals: 3, begun: 9, sound: 20, want: "9 of 20 sound requests"},
		"few sound requests":              {crashes: 3, arrivals: 3, begun: 0, sound: 19},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeEndpoints(t)
			checker := &checker{}
			arrivals := crashingPart(f, c.crashes, c.arrivals, c.begun, c.sound)
			checker.Record = f.Record
			checker.checkParts(arrivals)
			if got := strings.Join(checker.violations, "; "); (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
				t.Errorf("violations %q, want %q", got, c.want)
			}
		})
	}
}
