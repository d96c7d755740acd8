package bbquarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"bluebellhall/bluebelld/bbpeer"
	"bluebellhall/core/bbgossip"
	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbsuspect"
)

// cluster is a number of VMs that exchange updates in virtual time.
type cluster struct {
	t      *testing.T
	mu     sync.Mutex
	random *rand.Rand
	vms    []*vm
	// unreachable are the VMs to which all sends fail.
	unreachable map[string]bool
	// forParts is true if the VMs exchange what they know of parts of prompts instead of contents.
	forParts bool
	// messages counts the updates that were delivered.
	messages int
	runs     uint64
}

// vm is one VM of a cluster.
type vm struct {
	*Quarantine
	member bbgossip.Member
	began  time.Time
	stop   func()
}

// inCluster runs a test with a number of VMs.
func inCluster(t *testing.T, vms int, test func(w *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &cluster{
			t:           t,
			random:      rand.New(rand.NewPCG(1, 1)),
			unreachable: make(map[string]bool),
		}
		for i := range vms {
			w.vms = append(w.vms, nil)
			w.start(i)
			// The clocks of the VMs differ, since each counts from its own start.
			time.Sleep(10 * time.Millisecond)
		}
		defer func() {
			for _, v := range w.vms {
				v.stop()
			}
			time.Sleep(retryFor + sendTimeout)
		}()
		test(w)
	})
}

// start starts a VM with an empty quarantine, in the place of the one that ran before.
func (w *cluster) start(i int) {
	if w.vms[i] != nil {
		w.vms[i].stop()
	}
	name := fmt.Sprint("vm", i)
	v := &vm{
		began: time.Now(),
		member: bbgossip.Member{
			Name: name,
			Peer: name,
			Boot: time.Now().UnixMilli(),
		},
	}
	hooks := Hooks{
		Now:         func() time.Duration { return time.Since(v.began) },
		Aggregators: func(hash uint64) []bbgossip.Member { return w.aggregators(name, hash) },
		Relays: func(relayed bool) []bbgossip.Member {
			if relayed {
				return nil
			}
			return w.others(name)
		},
		Send:           w.send,
		VerdictChanged: func(uint64, bbsuspect.Verdict, bbsuspect.Verdict) {},
		SendFailed:     func(string, int, error) {},
	}
	v.Quarantine = New(hooks)
	if w.forParts {
		v.Quarantine = NewParts(hooks).Quarantine
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	v.stop = cancel
	w.mu.Lock()
	w.vms[i] = v
	w.mu.Unlock()
	go v.Run(ctx)
}

func (w *cluster) others(name string) []bbgossip.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var others []bbgossip.Member
	for _, v := range w.vms {
		if v.member.Name != name {
			others = append(others, v.member)
		}
	}
	return others
}

// aggregators returns two VMs by rendezvous hash, without the one that asks.
func (w *cluster) aggregators(name string, hash uint64) []bbgossip.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []bbgossip.Member
	for _, v := range w.vms {
		all = append(all, v.member)
	}
	slices.SortFunc(all, func(a, b bbgossip.Member) int {
		if bbhash.Score(bbhash.Name(a.Name), hash) > bbhash.Score(bbhash.Name(b.Name), hash) {
			return -1
		}
		return 1
	})
	return slices.DeleteFunc(all[:min(2, len(all))], func(m bbgossip.Member) bool { return m.Name == name })
}

var errUnreachable = errors.New("no answer")

func (w *cluster) send(_ context.Context, peer string, s bbpeer.Suspects) error {
	w.mu.Lock()
	delay := time.Duration(1+w.random.IntN(14)) * time.Millisecond
	unreachable := w.unreachable[peer]
	w.mu.Unlock()
	time.Sleep(delay)
	if unreachable {
		return errUnreachable
	}
	w.mu.Lock()
	w.messages++
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.member.Name == peer })
	v := w.vms[i]
	w.mu.Unlock()
	v.Merge(s)
	return nil
}

// loseEndpoint lets a VM observe the loss of an endpoint while content runs on it, after 50 ms.
func (w *cluster) loseEndpoint(i int, content uint64) {
	time.Sleep(50 * time.Millisecond)
	v := w.vms[i]
	now := time.Since(v.began)
	w.runs++
	v.RecordLoss(content, bbsuspect.Run{
		ID:       w.runs,
		Endpoint: fmt.Sprint("e", w.runs),
		Began:    now - 50*time.Millisecond,
		Ended:    now,
	})
}

// succeed lets a VM observe a successful run of content that took 50 ms.
func (w *cluster) succeed(i int, content uint64) {
	time.Sleep(50 * time.Millisecond)
	v := w.vms[i]
	v.RecordSuccess(content, time.Since(v.began)-50*time.Millisecond)
}

// wantAll checks the verdict of all VMs on content.
func (w *cluster) wantAll(content uint64, want bbsuspect.Verdict) {
	w.t.Helper()
	got := make(map[string]string)
	wanted := make(map[string]string)
	for _, v := range w.vms {
		got[v.member.Name] = v.Verdict(content).String()
		wanted[v.member.Name] = want.String()
	}
	if diff := cmp.Diff(wanted, got); diff != "" {
		w.t.Errorf("verdicts on content %d (-want +got):\n%s", content, diff)
	}
}

// wantAtMost checks that no VM has a stricter verdict on content.
func (w *cluster) wantAtMost(content uint64, most bbsuspect.Verdict) {
	w.t.Helper()
	for _, v := range w.vms {
		if got := v.Verdict(content); got > most {
			w.t.Errorf("verdict of %s on content %d is %v, want at most %v", v.member.Name, content, got, most)
		}
	}
}

// propagationTime is how long an update takes to reach all VMs.
const propagationTime = 200 * time.Millisecond

// When VMs counted only the losses that they saw themselves, content that arrived at another VM each time
// crashed an endpoint for each of them.
func TestLossesAtDifferentVMsAddUp(t *testing.T) {
	for content := range uint64(20) {
		content++
		inCluster(t, 7, func(w *cluster) {
			for i := range 2 {
				w.loseEndpoint(i, content)
				time.Sleep(propagationTime)
			}
			w.wantAll(content, bbsuspect.Alone)
			w.loseEndpoint(2, content)
			time.Sleep(propagationTime)
			w.wantAll(content, bbsuspect.Refused)
			w.wantAll(content+1, bbsuspect.Clear)
		})
	}
}

// The crash history of content was kept by the coordinator only, and lost with it.
func TestHistorySurvivesVMRestarts(t *testing.T) {
	t.Run("the aggregators restart, after the first loss one of them", func(t *testing.T) {
		inCluster(t, 7, func(w *cluster) {
			w.loseEndpoint(0, 1)
			time.Sleep(propagationTime)
			aggregator := w.aggregators("", 1)[0].Name
			w.start(slices.IndexFunc(w.vms, func(v *vm) bool { return v.member.Name == aggregator }))
			w.loseEndpoint(1, 1)
			time.Sleep(propagationTime)
			for _, m := range w.aggregators("", 1) {
				w.start(slices.IndexFunc(w.vms, func(v *vm) bool { return v.member.Name == m.Name }))
			}
			w.loseEndpoint(2, 1)
			time.Sleep(propagationTime + 2*refreshPeriod)
			w.wantAll(1, bbsuspect.Refused)
		})
	})
	t.Run("all but one restart", func(t *testing.T) {
		inCluster(t, 7, func(w *cluster) {
			for i := range 3 {
				w.loseEndpoint(i, 1)
				time.Sleep(propagationTime)
			}
			for i := range 6 {
				w.start(i)
			}
			time.Sleep(propagationTime + 2*refreshPeriod)
			w.wantAll(1, bbsuspect.Refused)
		})
	})
	t.Run("one was unreachable", func(t *testing.T) {
		inCluster(t, 3, func(w *cluster) {
			w.mu.Lock()
			w.unreachable["vm2"] = true
			w.mu.Unlock()
			for range 3 {
				w.loseEndpoint(0, 1)
			}
			time.Sleep(2 * retryFor)
			w.mu.Lock()
			w.unreachable["vm2"] = false
			w.mu.Unlock()
			time.Sleep(retryFor)
			w.wantAll(1, bbsuspect.Refused)
		})
	})
}

// Many callers request the same content, and an outage ends several endpoints at once.
func TestContentOfManyCallersIsNotBlamedForAnOutage(t *testing.T) {
	t.Run("endpoints that end at the same time", func(t *testing.T) {
		inCluster(t, 7, func(w *cluster) {
			time.Sleep(50 * time.Millisecond)
			for i, v := range w.vms {
				now := time.Since(v.began)
				for k := range 3 {
					v.RecordLoss(1, bbsuspect.Run{
						ID:       uint64(10*i + k + 1),
						Endpoint: fmt.Sprint("e", k),
						Began:    now - 50*time.Millisecond,
						Ended:    now,
					})
				}
			}
			time.Sleep(propagationTime)
			w.wantAtMost(1, bbsuspect.Watched)
		})
	})
	t.Run("successful runs between", func(t *testing.T) {
		inCluster(t, 7, func(w *cluster) {
			for i := range 12 {
				w.loseEndpoint(i%7, 1)
				time.Sleep(propagationTime)
				w.succeed((i+1)%7, 1)
				time.Sleep(propagationTime)
				w.wantAtMost(1, bbsuspect.Watched)
			}
		})
	})
	t.Run("a VM that has lost its connections to endpoints", func(t *testing.T) {
		inCluster(t, 7, func(w *cluster) {
			for _, v := range w.vms {
				w.unreachable[v.member.Name] = true
			}
			for i := range 3 {
				w.loseEndpoint(0, 1)
				time.Sleep(propagationTime)
				w.succeed(1+i, 1)
			}
			w.mu.Lock()
			clear(w.unreachable)
			w.mu.Unlock()
			time.Sleep(retryFor)
			w.wantAll(1, bbsuspect.Clear)
		})
	})
	t.Run("a VM that missed the report of the successful run", func(t *testing.T) {
		inCluster(t, 7, func(w *cluster) {
			for range 3 {
				w.loseEndpoint(0, 1)
			}
			time.Sleep(propagationTime)
			w.wantAll(1, bbsuspect.Refused)
			w.mu.Lock()
			w.unreachable["vm0"] = true
			w.mu.Unlock()
			w.succeed(3, 1)
			time.Sleep(2 * retryFor)
			w.mu.Lock()
			clear(w.unreachable)
			w.mu.Unlock()
			// Its next loss makes it send its outdated history to the others.
			w.loseEndpoint(0, 1)
			time.Sleep(propagationTime)
			w.wantAtMost(1, bbsuspect.Watched)
		})
	})
}

// Requests that were sent to an endpoint which was already down, and whose connections were reset, were
// counted as its crashes: three of them within a few milliseconds led to a refusal.
func TestContentSentToALostEndpointIsNotBlamed(t *testing.T) {
	inCluster(t, 1, func(w *cluster) {
		v := w.vms[0]
		run := func(content uint64, endpoint string, began time.Duration) {
			w.runs++
			v.RecordLoss(content, bbsuspect.Run{
				ID:       w.runs,
				Endpoint: endpoint,
				Began:    began,
				Ended:    began + time.Millisecond,
			})
		}
		want := func(content uint64, want bbsuspect.Verdict) {
			t.Helper()
			if got := v.Verdict(content); got != want {
				t.Errorf("verdict on content %d is %v, want %v", content, got, want)
			}
		}
		now := time.Since(v.began)
		// Three endpoints are lost while they run content 1. Content 2 ran on the first of them.
		for i, endpoint := range []string{"a", "b", "c"} {
			run(1, endpoint, now+time.Duration(i)*time.Millisecond)
		}
		run(2, "a", now)
		want(1, bbsuspect.Refused)
		want(2, bbsuspect.Watched)
		// Content 3 is sent to all three while they are down.
		for i, endpoint := range []string{"a", "b", "c", "a", "b", "c"} {
			run(3, endpoint, now+time.Duration(10+2*i)*time.Millisecond)
		}
		want(3, bbsuspect.Clear)
		// Endpoint a is back because it answered, b because its downTimeout has passed.
		time.Sleep(100 * time.Millisecond)
		v.RecordAnswer("a")
		run(3, "a", now+200*time.Millisecond)
		want(3, bbsuspect.Watched)
		run(3, "b", now+downTimeout+10*time.Millisecond)
		want(3, bbsuspect.Alone)
	})
}

func TestLostEndpointsAreBounded(t *testing.T) {
	l := make(losses)
	for i := range 3 * maxLosses {
		l.record(bbsuspect.Run{
			Endpoint: fmt.Sprint("e", i),
			Ended:    time.Duration(i),
		})
	}
	if len(l) > maxLosses {
		t.Errorf("%d endpoints are remembered, want at most %d", len(l), maxLosses)
	}
}

// The loss of an endpoint that ran many requests isn't sent to all VMs.
func TestSingleLossIsSentToAggregatorsOnly(t *testing.T) {
	inCluster(t, 12, func(w *cluster) {
		v := w.vms[0]
		now := time.Since(v.began)
		for content := range uint64(90) {
			v.RecordLoss(content+1, bbsuspect.Run{
				ID:       content + 1,
				Endpoint: "e",
				Began:    now - 50*time.Millisecond,
				Ended:    now,
			})
		}
		time.Sleep(propagationTime)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.messages > 2*len(w.vms) {
			t.Errorf("%d messages on one lost endpoint, want at most two for each VM", w.messages)
		}
	})
}

// While a VM is unreachable, the updates for it are collected in one message, which is delivered once it
// is reachable again.
func TestUpdatesForAnUnreachableVMAreBatched(t *testing.T) {
	inCluster(t, 2, func(w *cluster) {
		w.mu.Lock()
		w.unreachable["vm1"] = true
		w.mu.Unlock()
		const contents = 2*maxBatch + 10
		v := w.vms[0]
		for i := range uint64(contents) {
			now := time.Since(v.began)
			for k := range uint64(2) {
				v.RecordLoss(i+1, bbsuspect.Run{
					ID:       2*i + k + 1,
					Endpoint: fmt.Sprint("e", 2*i+k),
					Began:    now + time.Duration(2*k)*time.Microsecond,
					Ended:    now + time.Duration(2*k+1)*time.Microsecond,
				})
			}
			if i%50 == 0 {
				time.Sleep(2 * batchDelay)
			}
		}
		v.mu.Lock()
		messages := len(v.sending)
		v.mu.Unlock()
		if messages > 2 {
			t.Errorf("%d messages are being sent to one VM, want a report and a relay at most", messages)
		}
		w.mu.Lock()
		clear(w.unreachable)
		w.mu.Unlock()
		time.Sleep(retryFor)
		for i := range uint64(contents) {
			if got := w.vms[1].Verdict(i + 1); got != bbsuspect.Alone {
				t.Fatalf("verdict on content %d is %v at the VM that was unreachable, want %v", i+1, got, bbsuspect.Alone)
			}
		}
	})
}

func TestPeerUpdatesAreBounded(t *testing.T) {
	inCluster(t, 2, func(w *cluster) {
		var update bbpeer.Suspects
		for i := range 3 * maxContents {
			update.Suspects = append(update.Suspects, bbmsg.Suspect{
				Fingerprint: uint64(i + 1),
				Runs:        []bbmsg.SuspectRun{{ID: 1, BeganAgo: time.Second}},
			})
		}
		w.vms[0].Merge(update)
		if watched, _ := w.vms[0].Counts(); watched > maxBatch {
			t.Errorf("%d contents of one message are watched, want at most %d", watched, maxBatch)
		}
	})
}

func TestContentWithoutFingerprintIsClear(t *testing.T) {
	inCluster(t, 2, func(w *cluster) {
		for range 5 {
			w.loseEndpoint(0, 0)
		}
		time.Sleep(propagationTime)
		w.wantAll(0, bbsuspect.Clear)
	})
}
