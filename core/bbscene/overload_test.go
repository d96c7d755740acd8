package bbscene

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bluebellhall/core/bbfeature"
	"bluebellhall/core/bbjob"
)

// mail has the pools of a deployment whose stages have little room to spare.
func mail(waiting bbfeature.Mode) Settings {
	return Settings{
		Pools: []Pool{
			testPool("portal", 19, 16, 11*ms, 36e6),
			testPool("desk", 15, 60, 2900*time.Microsecond, 7.9e6),
			testPool("board", 18, 84, 2*ms, 1.1e6),
		},
		Engines:      60,
		Zones:        []string{"a", "b", "c", "d", "e", "f"},
		Latency:      5 * ms,
		RetrySlack:   184,
		RetryRefused: true,
		Features: bbfeature.Settings{
			Waiting: waiting,
		},
	}
}

// kind is a kind of request of the mail deployment.
type kind struct {
	name             string
	priority         int
	objective, limit time.Duration
	perSecond        float64
	stages           func(i int) []bbjob.Stage
}

// mailChain returns a chain of three stages with large results in some requests.
func mailChain(large ...int) func(i int) []bbjob.Stage {
	return func(i int) []bbjob.Stage {
		return []bbjob.Stage{
			{Service: "portal", ResultBytes: 1.5e6, Pieces: large[i%len(large)]},
			{Service: "portal", ResultBytes: 8e3, Pieces: 1},
			{Service: "desk", After: []int{1}, ResultBytes: 60e3, Pieces: 6},
			{Service: "board", After: []int{2}, ResultBytes: 6e3, Pieces: []int{4, 7, 10, 13, 16}[i%5]},
		}
	}
}

// digests have one stage with large results in seven of ten requests.
func digests(i int) []bbjob.Stage {
	return []bbjob.Stage{{Service: "portal", ResultBytes: 1.5e6, Pieces: []int{2, 0, 1, 5, 0, 2, 3, 0, 1, 4}[i%10]}}
}

var mailKinds = []kind{
	{"digest", 0, 800 * ms, 6 * time.Second, 127, digests},
	{"label", 1, 1500 * ms, 6 * time.Second, 159, mailChain(0)},
	{"chat", 2, 3 * time.Second, 20 * time.Second, 47, mailChain(0, 2, 0, 1, 0)},
}

// load schedules a kind at a multiple of its usual rate, for an account out of sixteen of which a few are large.
func (k kind) load(s *Scene, name string, times float64, from, until time.Duration) {
	gap := time.Duration(3 / (times * k.perSecond) * float64(time.Second))
	i := 0
	for at := from; at < until; at += gap {
		for range 3 {
			i++
			o := order(fmt.Sprintf("%s%s%d", k.name, name, i), k.priority, k.stages(i))
			o.Objective, o.Limit = k.objective, k.limit
			o.Account = fmt.Sprint("account", min(i*i*7919%97%31, 15))
			o.Prompt.Tokens, o.Prompt.Output = 1500, 20
			s.Arrive(at, o)
		}
	}
}

// served returns the shares of a kind that were on time and that got an answer.
func (k kind) served(s *Scene) (punctual, answered float64) {
	all := 0.0
	for id, o := range s.Outcomes {
		if !strings.HasPrefix(id, k.name) {
			continue
		}
		all++
		if o.First > 0 {
			answered++
		}
		if o.OnTime(k.objective) {
			punctual++
		}
	}
	return punctual / all, answered / all
}

// credit is what the answers to a kind are worth: a late one, a seventh of one that is on time.
func credit(punctual, answered float64) float64 {
	return punctual + (answered-punctual)/7
}

// playMail plays six seconds of the usual load with some trouble.
func playMail(waiting bbfeature.Mode, trouble func(s *Scene)) *Scene {
	s := New(mail(waiting))
	for _, k := range mailKinds {
		k.load(s, "", 1, 0, 6*time.Second)
	}
	trouble(s)
	s.Run(13 * time.Second)
	return s
}

// Load: a burst of one kind of request exceeds the capacity of a stage by a tenth for some seconds, also while a third
// of its workers are slow. Guards against an order in which nearly all requests miss their objective by a little, and
// against one that helps a kind of request at the cost of another.
func TestBurstBeyondCapacity(t *testing.T) {
	burst := func(s *Scene) { mailKinds[1].load(s, "burst", 1.5, time.Second, 5*time.Second) }
	for name, trouble := range map[string]func(s *Scene){
		"sound workers": burst,
		"slow workers": func(s *Scene) {
			burst(s)
			for i := range 5 {
				s.SetSlowdown(fmt.Sprint("desk-", i), 5)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			refusing, waiting := playMail(bbfeature.ModeOff, trouble), playMail(bbfeature.ModeOn, trouble)
			for _, k := range mailKinds {
				before, answeredBefore := k.served(refusing)
				after, answered := k.served(waiting)
				t.Logf("%s: %.3f on time and %.3f answered, without waiting %.3f and %.3f", k.name, after, answered, before, answeredBefore)
				if credit(after, answered) < credit(before, answeredBefore) {
					t.Errorf("%s: credit of %.3f, want at least that without waiting, %.3f", k.name, credit(after, answered), credit(before, answeredBefore))
				}
			}
		})
	}
}

// Load: one of sixteen accounts sends six times as much as all others together. Guards against its taking what the
// others would have got.
func TestBurstOfOneAccountLeavesTheOthersTheirShare(t *testing.T) {
	s := playMail(bbfeature.ModeOn, func(s *Scene) {
		for at := time.Second; at < 5*time.Second; at += 4 * time.Millisecond {
			o := order(fmt.Sprint("greedy", at), 1, mailKinds[1].stages(0))
			o.Objective, o.Limit = mailKinds[1].objective, mailKinds[1].limit
			o.Account = "greedy"
			s.Arrive(at, o)
		}
	})
	greedy := kind{
		name:      "greedy",
		objective: mailKinds[1].objective,
	}
	large, _ := greedy.served(s)
	others, answered := mailKinds[1].served(s)
	t.Logf("on time: %.3f of the large account, %.3f of the others, %.3f of whom are answered", large, others, answered)
	if others < large {
		t.Errorf("%.3f of the others on time, want at least as many as of the account that sends most, %.3f", others, large)
	}
}
