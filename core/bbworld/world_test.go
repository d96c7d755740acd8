package bbworld

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbnode"
	"bluebellhall/core/bbticket"
)

const (
	step = 10 * time.Millisecond
	// coldSlots is the limit in the rules for each cold endpoint; all endpoints report that they are cold.
	coldSlots = 2
	testRules = `domain d region=r # Bat
service ledger kind=plain reports=yes # Bat
call ledger/v1/confirmations once deadline=3s # Bat
endpoint ledger-1 service=ledger address=127.0.0.1:1 domain=d warm=8 cold=2 # Bat
endpoint ledger-2 service=ledger address=127.0.0.1:2 domain=d warm=8 cold=2 # Bat
account herders weight=1 # Bat
limit answer=5s # Bat
`
)

var testKeys = bbticket.Keys{
	Current: []byte("a key of the test fleet"),
}

// TestMain fixes the seed of rapid; -rapid.seed=0 selects a random one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testList(entries ...string) bbmsg.MemberList {
	l := bbmsg.MemberList{Revision: 1}
	for _, name := range entries {
		port := name[1:]
		l.Members = append(l.Members, bbmsg.Member{
			Name:        name,
			Role:        bbmsg.RoleEntry,
			Address:     "127.0.0.1:10" + port,
			PeerAddress: "127.0.0.1:20" + port,
			Domain:      "d",
			Region:      "r",
		})
	}
	for i := 1; i <= 2; i++ {
		l.Members = append(l.Members, bbmsg.Member{
			Name:    fmt.Sprintf("ledger-%d", i),
			Role:    bbmsg.RoleEndpoint,
			Address: fmt.Sprintf("127.0.0.1:%d", i),
			Domain:  "d",
			Region:  "r",
		})
	}
	return l
}

func newWorld(random *rand.Rand, loss, late, doubled, broken float64) *World {
	w := New(Settings{
		Random: random,
		Times:  bbnode.DefaultTimes,
		Bounds: bbnode.DefaultBounds,
		Delays: func(_, _ string) []time.Duration {
			if random.Float64() < loss {
				return nil
			}
			delays := []time.Duration{time.Duration(random.IntN(60)) * time.Millisecond}
			if random.Float64() < late {
				delays[0] = time.Duration(random.IntN(5000)) * time.Millisecond
			}
			if random.Float64() < doubled {
				delays = append(delays, time.Duration(random.IntN(900))*time.Millisecond)
			}
			return delays
		},
		ServiceTime: func() time.Duration { return time.Duration(100+random.IntN(500)) * time.Millisecond },
		LoseAnswer:  func() bool { return random.Float64() < broken },
	}, testKeys, testList("a1", "a2", "a3", "a4"), bbmsg.RulesText{Revision: 1, Text: testRules})
	for _, name := range w.names {
		w.Start(name)
	}
	return w
}

// sentRequest is a request together with the calls that sent it.
type sentRequest struct {
	request bbmsg.CallerRequest
	calls   []uint64
}

// checkAgainstReference compares the answers with those of a single reliable process: an answer is
// that of the only run, notRun means that there was no run, and nothing runs twice.
func checkAgainstReference(t interface{ Errorf(string, ...any) }, w *World, requests []*sentRequest) (answered int) {
	for _, s := range requests {
		id := s.request.ID
		if w.Runs[id] > 1 {
			t.Errorf("%s ran %d times", id, w.Runs[id])
		}
		for _, call := range s.calls {
			for _, a := range w.Answers[call] {
				if a.Outcome == bbmsg.OutcomeNotRun && w.Runs[id] > 0 {
					t.Errorf("%s: notRun (%s), but ran %d times", id, a.Reason, w.Runs[id])
				}
				if a.Outcome != bbmsg.OutcomeAnswered {
					continue
				}
				answered++
				if diff := cmp.Diff(string(Reply(id, s.request.Body)), string(a.Body)); diff != "" {
					t.Errorf("answer of %s (-want +got):\n%s", id, diff)
				}
			}
			if len(w.Answers[call]) > 1 {
				t.Errorf("call %d of %s has %d answers", call, id, len(w.Answers[call]))
			}
		}
	}
	if w.MaxRunning > coldSlots {
		t.Errorf("a cold endpoint ran %d calls at once, want at most %d", w.MaxRunning, coldSlots)
	}
	return answered
}

func newRequest(ticket string, number int) *sentRequest {
	return &sentRequest{request: bbmsg.CallerRequest{
		ID:      fmt.Sprintf("%s.n%d", ticket, number),
		Account: "herders",
		Service: "ledger",
		Path:    "v1/confirmations",
		Body:    fmt.Appendf(nil, `{"lot":%d}`, number),
	}}
}

func TestWorld(t *testing.T) {
	t.Run("nothing fails", func(t *testing.T) {
		w := newWorld(rand.New(rand.NewPCG(1, 2)), 0, 0, 0, 0)
		w.Run(8*time.Second, step)
		call := w.RequestTicket("a1", "herders")
		w.Run(step, step)
		var requests []*sentRequest
		for i := range 8 {
			s := newRequest(w.Tickets[call], i)
			s.calls = append(s.calls, w.Send(w.names[i%4], s.request), w.Send(w.names[(i+1)%4], s.request))
			requests = append(requests, s)
			w.Run(300*time.Millisecond, step)
		}
		w.Run(4*time.Second, step)
		if got := checkAgainstReference(t, w, requests); got != 16 {
			t.Errorf("%d calls answered, want 16; answers: %v", got, w.Answers)
		}
	})
}

func TestDrain(t *testing.T) {
	w := newWorld(rand.New(rand.NewPCG(1, 2)), 0, 0, 0, 0)
	w.Run(8*time.Second, step)
	call := w.RequestTicket("a1", "herders")
	w.Run(step, step)
	s := newRequest(w.Tickets[call], 1)
	home := strings.Split(s.request.ID, ".")[1]
	other := w.names[(slices.Index(w.names, home)+1)%len(w.names)]
	s.calls = append(s.calls, w.Send(other, s.request))
	w.Run(step, step)
	w.Drain(home)
	w.Run(12*time.Second, step)
	if w.Stopped != 1 {
		t.Fatalf("%d processes stopped, want 1", w.Stopped)
	}
	s.calls = append(s.calls, w.Send(other, s.request))
	w.Run(time.Second, step)
	if got := checkAgainstReference(t, w, []*sentRequest{s}); got != 2 {
		t.Errorf("%d calls answered, want 2, the second by the successor; answers: %v", got, w.Answers)
	}
}

// TestAgainstNaive injects random losses, delays, duplicated messages, partitions, pauses, crashes,
// restarts, graceful stops and changed lists. A longer run:
// go test ./bbworld -run AgainstNaive -rapid.checks=2000 -rapid.seed=0
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(r, "loss")
		late := rapid.SampledFrom([]float64{0, 0.05}).Draw(r, "late")
		w := newWorld(random, loss, late, 0.1, rapid.SampledFrom([]float64{0, 0.1}).Draw(r, "broken"))
		w.Run(6*time.Second, step)
		var requests []*sentRequest
		for number := range rapid.IntRange(5, 25).Draw(r, "requests") {
			w.fault(r)
			for asked := range rapid.IntRange(1, 3).Draw(r, "asked") {
				node := rapid.SampledFrom(w.names).Draw(r, "node asked")
				call := w.RequestTicket(node, "herders")
				w.Run(step, step)
				if ticket := w.Tickets[call]; ticket != "" {
					count := rapid.SampledFrom([]int{1, 1, 12}).Draw(r, "burst")
					requests = append(requests, w.burst(node, ticket, 1000*number+100*asked, count)...)
				}
			}
			for range rapid.IntRange(0, 4).Draw(r, "repeats") {
				if len(requests) == 0 {
					break
				}
				s := rapid.SampledFrom(requests).Draw(r, "request")
				s.calls = append(s.calls, w.Send(rapid.SampledFrom(w.names).Draw(r, "receiver"), s.request))
			}
			w.Run(time.Duration(rapid.IntRange(1, 60).Draw(r, "steps"))*step, step)
		}
		w.Run(8*time.Second, step)
		checkAgainstReference(r, w, requests)
	})
}

// burst sends several new requests to a node.
func (w *World) burst(node, ticket string, number, count int) []*sentRequest {
	var requests []*sentRequest
	for i := range count {
		s := newRequest(ticket, number+i)
		s.calls = append(s.calls, w.Send(node, s.request))
		requests = append(requests, s)
	}
	return requests
}

// fault injects one random change of a node or of the list.
func (w *World) fault(r *rapid.T) {
	name := rapid.SampledFrom(w.names).Draw(r, "node")
	n := w.Nodes[name]
	switch rapid.IntRange(0, 9).Draw(r, "fault") {
	case 0:
		w.Crash(name)
	case 1:
		n.Paused = !n.Paused
	case 2:
		n.Partitioned = !n.Partitioned
	case 3, 4:
		if n.Core == nil {
			w.Start(name)
		}
		n.Paused = false
		n.Partitioned = false
	case 5, 6:
		w.changeList(r)
	case 7:
		w.Drain(name)
	}
}

// changeList publishes a list with some of the entry VMs. Half of the lists consist of the nodes
// that aren't partitioned and are sent only to these.
func (w *World) changeList(r *rapid.T) {
	subset := rapid.SliceOfNDistinct(rapid.SampledFrom(w.names), 1, len(w.names), rapid.ID[string])
	names := subset.Draw(r, "names")
	readers := subset.Draw(r, "readers")
	if connected := w.connectedNodes(); len(connected) > 0 && rapid.Bool().Draw(r, "side") {
		names, readers = connected, connected
	}
	slices.Sort(names)
	list := testList(names...)
	list.Revision = w.list.Revision + 1
	w.Publish(list, readers...)
}

// connectedNodes returns the nodes that aren't partitioned.
func (w *World) connectedNodes() []string {
	var names []string
	for _, name := range w.names {
		if !w.Nodes[name].Partitioned {
			names = append(names, name)
		}
	}
	return names
}
