package bbpromise

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

// began is when the records below begin.
var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(seconds float64) time.Time {
	return began.Add(time.Duration(seconds * float64(time.Second)))
}

// sentAt returns a try of an attempt at a VM at a time.
func sentAt(id string, vm int, seconds float64) Try {
	return Try{
		Request: bbstand.Request{
			Attempt: bbledger.Attempt{
				ID: id,
			},
		},
		VM:   vm,
		Sent: after(seconds),
	}
}

// wantFound checks that one thing was found, or nothing.
func wantAddedViolation(t *testing.T, c *checker, want string) {
	t.Helper()
	found := strings.Join(c.violations, "\n")
	if (want == "") != (found == "") || !strings.Contains(found, want) {
		t.Errorf("found %q, want %q", found, want)
	}
}

func TestSignalsAreChecked(t *testing.T) {
	leaves := bbledger.Signal{
		Endpoint: "llm-1-1",
		Attempt:  "a",
		Leaving:  true,
		At:       after(0),
	}
	rests := bbledger.Signal{
		Endpoint:   "llm-1-1",
		Attempt:    "a",
		RetryAfter: 3 * time.Second,
		At:         after(0),
	}
	for _, test := range []struct {
		name  string
		said  bbledger.Signal
		tries []Try
		// arrivals are those of the tries after the first, as long after the beginning.
		arrivals []float64
		faults   []Fault
		want     string
	}{
		{"late work for one that leaves", leaves, []Try{sentAt("a", 1, 0), sentAt("b", 1, 2.6)}, []float64{2.7}, nil, "had passed on"},
		{"work in time", leaves, []Try{sentAt("a", 1, 0), sentAt("b", 1, 2.4)}, []float64{2.7}, nil, ""},
		{"late work of another VM", leaves, []Try{sentAt("a", 1, 0), sentAt("b", 2, 2.6)}, []float64{2.7}, nil, ""},
		{"late work after a restart", leaves, []Try{sentAt("a", 1, 0), sentAt("b", 1, 2.6)}, []float64{2.7}, []Fault{{VM: 1, Began: after(1), Ended: after(2)}}, ""},
		{"late work, the way was cut", leaves, []Try{sentAt("a", 1, 0), sentAt("b", 1, 2.6)}, []float64{2.7}, []Fault{{Name: "to llm-1: silence", VM: -1, Began: after(0), Ended: after(2)}}, ""},
		{"late work, another way was cut", leaves, []Try{sentAt("a", 1, 0), sentAt("b", 1, 2.6)}, []float64{2.7}, []Fault{{Name: "to llm-10: silence", VM: -1, Began: after(0), Ended: after(2)}}, "had passed on"},
		{"three requests in a rest", rests, []Try{sentAt("a", 1, 0), sentAt("b", 1, 1), sentAt("c", 1, 1), sentAt("d", 1, 1)}, []float64{1, 2, 2.9}, nil, "3 requests"},
		{"two in it, one right after it began, one after it", rests, []Try{sentAt("a", 1, 0), sentAt("b", 1, 1), sentAt("c", 1, 1), sentAt("d", 1, 1), sentAt("e", 1, 1)}, []float64{0.4, 1, 2, 3.1}, nil, ""},
		{"three of several VMs", rests, []Try{sentAt("a", 1, 0), sentAt("b", 1, 1), sentAt("c", 2, 1), sentAt("d", 3, 1)}, []float64{1, 2, 2.9}, nil, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &checker{
				Record: Record{
					Tries:  test.tries,
					Faults: test.faults,
				},
			}
			var arrivals []bbledger.Arrival
			for i, at := range test.arrivals {
				arrivals = append(arrivals, bbledger.Arrival{
					Endpoint: "llm-1-1",
					Attempt:  test.tries[i+1].Request.ID,
					At:       after(at),
				})
			}
			c.checkSignals([]bbledger.Signal{test.said}, arrivals)
			wantAddedViolation(t, c, test.want)
		})
	}
}

func TestPoisonIsChecked(t *testing.T) {
	for _, test := range []struct {
		name string
		// crashes and others are the times of what reached endpoints, with and without a crash.
		crashes, others []float64
		call            bool
		faults          []Fault
		want            string
	}{
		{"four later retries", []float64{0, 1, 2, 7, 8}, []float64{9, 10}, false, nil, "4 retries"},
		{"three later retries", []float64{0, 1, 2, 7, 8}, []float64{9}, false, nil, ""},
		{"many early ones", []float64{0, 1, 2, 3, 4, 5, 5.9}, nil, false, nil, ""},
		{"later ones of a VM that has started", []float64{0, 1, 2, 7, 8, 9, 10}, nil, false, []Fault{{VM: 0, Began: after(5), Ended: after(6.5)}}, ""},
		{"calls with pieces", []float64{0, 1, 2}, []float64{7, 8, 9, 10}, true, nil, "4 retries"},
		{"two crashes", []float64{0, 1}, []float64{7, 8, 9, 10}, false, nil, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &checker{
				Record: Record{
					Faults: test.faults,
				},
			}
			var reaches []bbledger.PoisonArrival
			for i, at := range append(append([]float64(nil), test.crashes...), test.others...) {
				id := fmt.Sprint("a", i)
				c.Tries = append(c.Tries, sentAt(id, 0, at))
				reaches = append(reaches, bbledger.PoisonArrival{
					Content:  "x",
					Attempt:  id,
					Endpoint: fmt.Sprint("e", i),
					Call:     test.call,
					Crashed:  i < len(test.crashes),
					At:       after(at),
				})
			}
			c.checkPoison(reaches)
			wantAddedViolation(t, c, test.want)
		})
	}
}
