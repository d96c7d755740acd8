package bbnode

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// garbage fills messages with random values, most of them invalid.
type garbage struct {
	random *rand.Rand
	// words are strings that have a meaning for the node.
	words []string
	// ticket is a valid ticket, from which request ids are formed.
	ticket string
	calls  uint64
}

// request returns a valid request, so that the node has requests that garbage can disturb.
func (g *garbage) request() bbmsg.Input {
	g.calls++
	q := bbmsg.CallerRequest{
		ID:      fmt.Sprintf("%s.%d", g.ticket, g.calls),
		Account: "a",
	}
	switch g.random.IntN(3) {
	case 0:
		q.Pipeline = "p"
	case 1:
		q.Service, q.Path = "s", "once"
	default:
		q.Service, q.Path = "s", "again"
	}
	return bbmsg.Input{
		Caller: &bbmsg.CallerArrived{
			Call:    g.calls,
			Request: q,
		},
	}
}

// fill sets a value of any type in the messages to a random one.
func (g *garbage) fill(v reflect.Value, depth int) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			g.fill(v.Field(i), depth)
		}
	case reflect.Pointer:
		if depth > 0 && g.random.IntN(2) == 0 {
			v.Set(reflect.New(v.Type().Elem()))
			g.fill(v.Elem(), depth-1)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), g.random.IntN(3), 3))
		for i := range v.Len() {
			g.fill(v.Index(i), depth-1)
		}
	case reflect.String:
		v.SetString(g.words[g.random.IntN(len(g.words))])
	case reflect.Bool:
		v.SetBool(g.random.IntN(4) == 0)
	case reflect.Int, reflect.Int64:
		v.SetInt([]int64{0, 1, 2, 7, -1, -1 << 62, 1 << 62}[g.random.IntN(7)])
	case reflect.Uint64:
		v.SetUint([]uint64{0, 1, 2, 1 << 63}[g.random.IntN(4)])
	case reflect.Uint8:
		v.SetUint(uint64(g.random.IntN(256)))
	}
}

// input returns an input with exactly one field set, to random content.
func (g *garbage) input() bbmsg.Input {
	var i bbmsg.Input
	v := reflect.ValueOf(&i).Elem()
	field := v.Field(g.random.IntN(v.NumField()))
	if field.Kind() == reflect.Bool || field.Type() == reflect.TypeFor[*bbmsg.RulesText]() {
		return i
	}
	field.Set(reflect.New(field.Type().Elem()))
	g.fill(field.Elem(), 3)
	return i
}

const garbageRules = `domain d region=r # test
service s kind=plain # test
service g kind=engine reports=yes # test
model m weight=1GB # test
call s/once once deadline=1s # test
call s/again idempotent deadline=1s # test
endpoint e1 service=s address=127.0.0.1:1 domain=d warm=2 cold=1 # test
endpoint e2 service=g model=m address=127.0.0.1:2 domain=d warm=2 cold=1 fencing=yes # test
pipeline p stages=s/again,g@m deadline=2s # test
account a weight=1 priority=1 # test
`

// TestGarbageDoesNotPanic sends a node messages that no correct peer, caller or endpoint
// sends. The node may drop or refuse them and must not panic.
func TestGarbageDoesNotPanic(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(*testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			keys := bbticket.Keys{Current: []byte("0123456789abcdef")}
			n := New(Settings{
				Self:        bbmsg.Member{Name: "n1", Role: bbmsg.RoleEntry, Domain: "d", Region: "r"},
				Incarnation: 1,
				Keys:        keys,
				Random:      random,
				Times:       DefaultTimes,
				Bounds:      DefaultBounds,
			})
			n.Tick(time.Second, []bbmsg.Input{
				{Rules: &bbmsg.RulesText{Revision: 1, Text: garbageRules}},
				{List: &bbmsg.MemberList{Revision: 1, Members: []bbmsg.Member{
					{Name: "e1", Role: bbmsg.RoleEndpoint, Domain: "d", Region: "r"},
					{Name: "e2", Role: bbmsg.RoleEndpoint, Domain: "d", Region: "r"},
					{Name: "n1", Role: bbmsg.RoleEntry, Domain: "d", Region: "r"},
					{Name: "n2", Role: bbmsg.RoleEntry, Domain: "d", Region: "r"},
				}}},
			})
			ticket := keys.Sign(bbticket.Ticket{Home: "n1", Incarnation: 1, ExpiryMillis: 1 << 40})
			g := &garbage{
				random: random,
				ticket: ticket,
				words: []string{"", "n1", "n2", "n3", "e1", "e2", "s", "g", "m", "p", "a", "d", "r", "once", "again", ticket + ".1",
					"k1.abc", "done", "tokens", "refused", "broken", "failed", "rejected", "unsent", "cold", "warm", "moved", "entry", "\x00"},
			}
			now := time.Second
			for range 400 {
				now += time.Duration(random.IntN(200)) * time.Millisecond
				n.Tick(now, []bbmsg.Input{g.request(), g.input(), g.input(), g.input()})
				n.Status(now)
			}
		})
	}
}
