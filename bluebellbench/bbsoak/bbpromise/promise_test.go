package bbpromise

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"bluebellhall/bluebellbench/bbsoak/bbdeployment"
	"bluebellhall/core/bbcatalog"
	"bluebellhall/core/bbregistry"
	"bluebellhall/platform/bbledger"
	"bluebellhall/platform/bbstand"
)

// standIns are one endpoint of each kind that runs requests, and the record to be checked.
type fakeEndpoints struct {
	Record
	address map[string]string
}

func newFakeEndpoints(t *testing.T) *fakeEndpoints {
	t.Helper()
	f := &fakeEndpoints{
		Record: Record{
			Ledger:         bbledger.NewLedger(),
			Versions:       make(map[uint64]time.Time),
			Evacuated:      make(map[string][]Interval),
			LeavingSince:   make(map[string]time.Time),
			RecoveredAt:    time.Now().Add(time.Hour),
			RetriedService: bbdeployment.PlainService,
			ColdRate:       bbdeployment.ColdRate,
			Grace:          8 * time.Second,
			CheckTiming:    true,
		},
		address: make(map[string]string),
	}
	f.start(t, bbdeployment.PlainService, 0, false)
	f.start(t, bbdeployment.EngineService, 0, false)
	return f
}

// start starts an endpoint in the place of the former one.
func (f *fakeEndpoints) start(t *testing.T, service string, cold time.Duration, leaving bool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	for _, s := range bbdeployment.Services() {
		if s.Name != service {
			continue
		}
		e, cleanup, err := bbstand.NewEndpoint(address, bbregistry.Endpoint{
			ID:      service,
			Service: service,
			Zone:    "east",
			Cold:    cold,
		}, s, f.Ledger, 1, func() {})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cleanup)
		if leaving {
			e.MarkLeaving()
		}
	}
	f.address[service] = address
}

// of returns an attempt on a route, which the ledger expects.
func expectAttempt(f *fakeEndpoints, route, id string) bbstand.Request {
	q := bbstand.Request{
		Attempt: bbledger.Attempt{
			ID:  id,
			Key: "k",
		},
		Method: http.MethodPost,
		Host:   bbdeployment.Host,
		Path:   "/" + route + "/x",
		Wait:   2 * time.Second,
	}
	for _, r := range bbdeployment.Routes() {
		if r.Name == route {
			q.Route = r
		}
	}
	if q.Route.Engine {
		q.Tokens, q.Events, q.Pieces = 10, 3, []int{0, 0, 0}
	}
	q.Content = bbstand.Content(q.Method, q.Path, nil)
	f.Ledger.Expect(q.Attempt)
	return q
}

// at sends an attempt straight to an endpoint.
func sendTo(t *testing.T, f *fakeEndpoints, service string, q bbstand.Request) bbstand.Reply {
	t.Helper()
	return bbstand.Send(t.Context(), http.DefaultClient, f.address[service], q)
}

// try returns what a caller saw of an attempt, a while ago.
func newTry(q bbstand.Request, r bbstand.Reply) Try {
	return Try{
		Request: q,
		Reply:   r,
		Sent:    time.Now().Add(-time.Second),
		Ended:   time.Now(),
	}
}

func answered(body string) bbstand.Reply {
	return bbstand.Reply{
		Status: http.StatusOK,
		Whole:  true,
		Signed: true,
		Body:   body,
	}
}

// wantBroken checks that the checks find one kind of broken promise; empty means none.
func wantViolation(t *testing.T, r Record, want string) {
	t.Helper()
	broken := Check(r).Violations
	if want == "" && len(broken) > 0 {
		t.Errorf("found %q, want nothing", broken)
	}
	if want != "" && (len(broken) == 0 || !strings.Contains(broken[0], want)) {
		t.Errorf("found %q, want something with %q", broken, want)
	}
}

// Each promise is broken on purpose once, and kept once.
func TestViolationsAreFound(t *testing.T) {
	for _, test := range []struct {
		name, want string
		arrange    func(t *testing.T, f *fakeEndpoints) []Try
		faults     []Fault
	}{
		{
			name: "nothing",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q, s := expectAttempt(f, "once", "a"), expectAttempt(f, "chat", "b")
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q)), newTry(s, sendTo(t, f, bbdeployment.EngineService, s))}
			},
		},
		{
			name: "second run",
			want: "ran 2 times",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "once", "a")
				sendTo(t, f, bbdeployment.PlainService, q)
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q))}
			},
		},
		{
			name: "third run of a request that may be repeated once",
			want: "its route allows 2",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "read", "a")
				sendTo(t, f, bbdeployment.PlainService, q)
				sendTo(t, f, bbdeployment.PlainService, q)
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q))}
			},
		},
		{
			name: "refused after a run",
			want: "was answered 503 and ran",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "once", "a")
				sendTo(t, f, bbdeployment.PlainService, q)
				return []Try{newTry(q, bbstand.Reply{Status: http.StatusServiceUnavailable})}
			},
		},
		{
			name: "answer of another request",
			want: `got "done b"`,
			arrange: func(_ *testing.T, f *fakeEndpoints) []Try {
				return []Try{newTry(expectAttempt(f, "once", "a"), answered("done b"))}
			},
		},
		{
			name: "answer without a receipt",
			want: "without a receipt",
			arrange: func(_ *testing.T, f *fakeEndpoints) []Try {
				r := answered("done a")
				r.Signed = false
				return []Try{newTry(expectAttempt(f, "once", "a"), r)}
			},
		},
		{
			name: "event left out",
			want: "want",
			arrange: func(_ *testing.T, f *fakeEndpoints) []Try {
				return []Try{newTry(expectAttempt(f, "chat", "a"), answered(bbstand.Event("a", 1, 3)+bbstand.Event("a", 3, 3)))}
			},
		},
		{
			name: "event twice before the end",
			want: "the beginning of",
			arrange: func(_ *testing.T, f *fakeEndpoints) []Try {
				r := answered(bbstand.Event("a", 1, 3) + bbstand.Event("a", 1, 3))
				r.Whole = false
				return []Try{newTry(expectAttempt(f, "chat", "a"), r)}
			},
		},
		{
			name: "run that nobody asked for",
			want: "no caller sent",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "once", "a")
				q.ID = "b"
				sendTo(t, f, bbdeployment.PlainService, q)
				return nil
			},
		},
		{
			name: "changed body",
			want: "runs a as",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "once", "a")
				q.Body = "changed"
				sendTo(t, f, bbdeployment.PlainService, q)
				return nil
			},
		},
		{
			name: "run at another service",
			want: "which is for lookup",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "once", "a")
				q.Events = 1
				sendTo(t, f, bbdeployment.EngineService, q)
				return nil
			},
		},
		{
			name: "input left out",
			want: "1 are missing",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "chat", "a")
				q.Pieces = []int{0, 0, 1}
				f.Ledger.Expect(q.Attempt)
				sendTo(t, f, bbdeployment.EngineService, q)
				return nil
			},
		},
		{
			name: "too much for a cold engine",
			want: "was cold and got",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				f.start(t, bbdeployment.EngineService, time.Minute, false)
				for i := range 20 {
					q := expectAttempt(f, "chat", fmt.Sprint("a", i))
					go bbstand.Send(context.WithoutCancel(t.Context()), http.DefaultClient, f.address[bbdeployment.EngineService], q)
				}
				time.Sleep(500 * time.Millisecond)
				return nil
			},
		},
		{
			name: "work for a failure domain that is out",
			want: "after east was taken out",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				f.Evacuated["east"] = []Interval{{From: time.Now().Add(-EvacuateTime - time.Second)}}
				q := expectAttempt(f, "once", "a")
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q))}
			},
		},
		{
			name: "work for an endpoint that has said that it leaves",
			want: "after it had said that it leaves",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				f.start(t, bbdeployment.PlainService, 0, true)
				f.LeavingSince[bbdeployment.PlainService] = time.Now().Add(-DrainTime - time.Second)
				q := expectAttempt(f, "once", "a")
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q))}
			},
		},
		{
			name: "the same beside an outage",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				f.Evacuated["east"] = []Interval{{From: time.Now().Add(-EvacuateTime - time.Second)}}
				q := expectAttempt(f, "once", "a")
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q))}
			},
			faults: []Fault{{Name: "store down", VM: -1, Began: time.Now().Add(-time.Minute)}},
		},
		{
			name: "older version after a newer one",
			want: "later an older one",
			arrange: func(_ *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "read", "a")
				q.Version = 1
				f.Versions[1] = time.Now()
				early, late := newTry(q, answered("done a")), newTry(q, bbstand.Reply{Status: http.StatusNotFound})
				early.Ended = time.Now().Add(-2 * time.Second)
				return []Try{early, late}
			},
		},
		{
			name: "version that comes late",
			want: "didn't know version 1",
			arrange: func(_ *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "read", "a")
				q.Version = 1
				f.Versions[1] = time.Now().Add(-configTime - 2*time.Second)
				return []Try{newTry(q, bbstand.Reply{Status: http.StatusNotFound})}
			},
		},
		{
			name: "answer lost in a planned stop",
			want: "stopped as planned",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "once", "a")
				sendTo(t, f, bbdeployment.PlainService, q)
				return []Try{newTry(q, bbstand.Reply{Error: errors.New("closed")})}
			},
			faults: []Fault{{Name: "stop entry-0", Planned: true, Stop: true, Began: time.Now().Add(-2 * time.Second), Ended: time.Now().Add(time.Minute)}},
		},
		{
			name: "too many repeats",
			want: "repeats in",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "read", "a")
				q.Route.Kind = bbcatalog.KindIdempotent
				for range budgetSlack + 3 {
					sendTo(t, f, bbdeployment.PlainService, q)
				}
				return nil
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFakeEndpoints(t)
			f.Tries = test.arrange(t, f)
			f.Faults = test.faults
			wantViolation(t, f.Record, test.want)
		})
	}
}
