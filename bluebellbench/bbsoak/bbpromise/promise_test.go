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

// fakeEndpoints are a fake plain service and a fake engine, and the record to be checked.
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

// start starts a fake endpoint of a service that replaces the previous one.
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
		}, "v1", s, f.Ledger, 1, func() {})
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

// expectAttempt returns an attempt on a route and registers it with the ledger.
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

// sendTo sends an attempt directly to an endpoint.
func sendTo(t *testing.T, f *fakeEndpoints, service string, q bbstand.Request) bbstand.Reply {
	t.Helper()
	return bbstand.Send(t.Context(), http.DefaultClient, f.address[service], q)
}

// newTry returns a try that was sent a second ago and has just ended.
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

// wantViolation checks that the first violation found has a text; empty means no violation.
func wantViolation(t *testing.T, r Record, want string) {
	t.Helper()
	violations := Check(r).Violations
	if want == "" && len(violations) > 0 {
		t.Errorf("found %q, want no violation", violations)
	}
	if want != "" && (len(violations) == 0 || !strings.Contains(violations[0], want)) {
		t.Errorf("found %q, want a violation with %q", violations, want)
	}
}

// Each case violates one guarantee; those without a wanted text violate none.
func TestViolationsAreFound(t *testing.T) {
	for _, test := range []struct {
		name, want string
		arrange    func(t *testing.T, f *fakeEndpoints) []Try
		// faults is called after arrange, so that its times don't depend on how long the cases before take.
		faults func() []Fault
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
				return []Try{newTry(expectAttempt(f, "chat", "a"), answered(bbstand.Event("a", "v1", 1, 3)+bbstand.Event("a", "v1", 3, 3)))}
			},
		},
		{
			name: "event twice before the end",
			want: "the beginning of",
			arrange: func(_ *testing.T, f *fakeEndpoints) []Try {
				r := answered(bbstand.Event("a", "v1", 1, 3) + bbstand.Event("a", "v1", 1, 3))
				r.Whole = false
				return []Try{newTry(expectAttempt(f, "chat", "a"), r)}
			},
		},
		{
			name: "run that no caller asked for",
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
			want: "requests in a second while cold",
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
			name: "request to an evacuated failure domain",
			want: "after east was evacuated",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				f.Evacuated["east"] = []Interval{{From: time.Now().Add(-EvacuateTime - time.Second)}}
				q := expectAttempt(f, "once", "a")
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q))}
			},
		},
		{
			name: "request to an endpoint that is marked as leaving",
			want: "after it was marked as leaving",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				f.start(t, bbdeployment.PlainService, 0, true)
				f.LeavingSince[bbdeployment.PlainService] = time.Now().Add(-DrainTime - time.Second)
				q := expectAttempt(f, "once", "a")
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q))}
			},
		},
		{
			name: "request to an evacuated failure domain during an outage of the store",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				f.Evacuated["east"] = []Interval{{From: time.Now().Add(-EvacuateTime - time.Second)}}
				q := expectAttempt(f, "once", "a")
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q))}
			},
			faults: func() []Fault {
				return []Fault{{Name: "store down", VM: -1, Began: time.Now().Add(-time.Minute)}}
			},
		},
		{
			name: "request to a failure domain whose evacuation was in force before a fault of the store",
			want: "after east was evacuated",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				f.Evacuated["east"] = []Interval{{From: time.Now().Add(-EvacuateTime - 2*time.Second)}}
				q := expectAttempt(f, "once", "a")
				return []Try{newTry(q, sendTo(t, f, bbdeployment.PlainService, q))}
			},
			faults: func() []Fault {
				return []Fault{{Name: "store down", VM: -1, Store: true, Began: time.Now().Add(-time.Second)}}
			},
		},
		{
			name: "older version after a newer one",
			want: "later, an older one",
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
			name: "version that is applied too late",
			want: "didn't know version 1",
			arrange: func(_ *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "read", "a")
				q.Version = 1
				f.Versions[1] = time.Now().Add(-configTime - 2*time.Second)
				return []Try{newTry(q, bbstand.Reply{Status: http.StatusNotFound})}
			},
		},
		{
			name: "answer lost in a planned shutdown",
			want: "stopped as planned",
			arrange: func(t *testing.T, f *fakeEndpoints) []Try {
				q := expectAttempt(f, "once", "a")
				sendTo(t, f, bbdeployment.PlainService, q)
				return []Try{newTry(q, bbstand.Reply{Error: errors.New("closed")})}
			},
			faults: func() []Fault {
				return []Fault{{Name: "stop entry-0", Planned: true, Stop: true, Began: time.Now().Add(-2 * time.Second), Ended: time.Now().Add(time.Minute)}}
			},
		},
		{
			name: "too many retries",
			want: "retries in",
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
			if test.faults != nil {
				f.Faults = test.faults()
			}
			wantViolation(t, f.Record, test.want)
		})
	}
}
