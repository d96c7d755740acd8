package bbpromise

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"bluebellhall/platform/bbstand"
)

// brokenOff returns a reply that broke off after a body.
func brokenOff(body string) bbstand.Reply {
	return bbstand.Reply{
		Status: http.StatusOK,
		Signed: true,
		Body:   body,
	}
}

// Each case is a stream of three events; those without a wanted text are right.
func TestStreamViolationsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		want string
		// first is the reply to attempt a. Second is the reply to attempt b, which takes the stream up after the given
		// event; empty if there is none.
		first, second string
		after         int
	}{
		"one answer": {
			first: bbstand.Event("a", "v1", 1, 3) + bbstand.Event("a", "v1", 2, 3) + bbstand.Event("a", "v1", 3, 3),
		},
		"goes on": {
			first:  bbstand.Event("a", "v1", 1, 3) + bbstand.Event("a", "v1", 2, 3)[:3],
			second: bbstand.Event("b", "v1", 2, 3) + bbstand.Event("b", "v1", 3, 3),
			after:  1,
		},
		"two versions in one answer": {
			want:  "stream a, received in 1 attempts, has events of the versions [v1 v2]",
			first: bbstand.Event("a", "v1", 1, 3) + bbstand.Event("a", "v2", 2, 3) + bbstand.Event("a", "v2", 3, 3),
		},
		"goes on at another version": {
			want:   "stream a, received in 2 attempts, has events of the versions [v1 v2]",
			first:  bbstand.Event("a", "v1", 1, 3),
			second: bbstand.Event("b", "v2", 2, 3) + bbstand.Event("b", "v2", 3, 3),
			after:  1,
		},
		"goes on and leaves an event out": {
			want:   "got",
			first:  bbstand.Event("a", "v1", 1, 3),
			second: bbstand.Event("b", "v1", 3, 3),
			after:  1,
		},
		"taken up after an event that wasn't received": {
			want:   "takes a up after event 2, it has 1",
			first:  bbstand.Event("a", "v1", 1, 3),
			second: bbstand.Event("b", "v1", 3, 3),
			after:  2,
		},
		"event without a version": {
			want:  "got",
			first: "id: 1\ndata: a 1 of 3\n\n",
		},
		"breaks off in a version": {
			first: bbstand.Event("a", "v1", 1, 3) + "event: v",
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeEndpoints(t)
			first := newTry(expectAttempt(f, "chat", "a"), brokenOff(c.first))
			f.Tries = []Try{first}
			if c.second != "" {
				q := expectAttempt(f, "chat", "b")
				q.Resumes, q.LastEvent = "a", c.after
				second := newTry(q, answered(c.second))
				second.Sent = first.Sent.Add(time.Millisecond)
				f.Tries = append(f.Tries, second)
			}
			wantViolation(t, f.Record, c.want)
		})
	}
}

// Each case has 20 new streams that began, and some that callers took up at another VM, where they were refused. Those
// without a wanted text violate nothing.
func TestStreamsThatDoNotGoOnAreFound(t *testing.T) {
	const want = "0 of 12 streams that were taken up went on, 20 of 20 new ones began"
	for name, c := range map[string]struct {
		want    string
		takenUp int
		arrange func(r *Record)
	}{
		"refused": {
			want:    want,
			takenUp: minTakenUp,
			arrange: func(*Record) {},
		},
		"too few to tell": {
			takenUp: minTakenUp - 1,
			arrange: func(*Record) {},
		},
		"one engine of the version is left": {
			takenUp: minTakenUp,
			arrange: func(r *Record) { r.Engines[1].Until = time.Now().Add(-time.Minute) },
		},
		"one engine has another version": {
			takenUp: minTakenUp,
			arrange: func(r *Record) { r.Engines[1].Version = "v2" },
		},
		"one engine is evacuated": {
			takenUp: minTakenUp,
			arrange: func(r *Record) { r.Evacuated["west"] = []Interval{{From: time.Now().Add(-time.Minute)}} },
		},
		"the VM was killed": {
			takenUp: minTakenUp,
			arrange: func(r *Record) { r.Faults = []Fault{{VM: 1, Began: time.Now().Add(-time.Minute)}} },
		},
		"another VM was killed": {
			want:    want,
			takenUp: minTakenUp,
			arrange: func(r *Record) { r.Faults = []Fault{{VM: 2, Began: time.Now().Add(-time.Minute)}} },
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeEndpoints(t)
			for _, zone := range []string{"east", "west"} {
				f.Engines = append(f.Engines, Serving{
					Interval: Interval{
						From: time.Now().Add(-time.Hour),
					},
					Version: "v1",
					Zone:    zone,
				})
			}
			for i := range 20 {
				id := fmt.Sprintf("%d", i)
				f.Tries = append(f.Tries, newTry(expectAttempt(f, "chat", id), brokenOff(bbstand.Event(id, "v1", 1, 3))))
				if i >= c.takenUp {
					continue
				}
				q := expectAttempt(f, "chat", id+"-again")
				q.Resumes, q.LastEvent = id, 1
				again := newTry(q, bbstand.Reply{Status: http.StatusServiceUnavailable})
				again.VM = 1
				f.Tries = append(f.Tries, again)
			}
			c.arrange(&f.Record)
			wantViolation(t, f.Record, c.want)
		})
	}
}
