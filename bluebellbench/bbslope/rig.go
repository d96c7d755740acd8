package bbslope

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbnode"
	"bluebellhall/core/bbrule"
	"bluebellhall/core/bbticket"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// rigSettings size a rig.
type rigSettings struct {
	// entryVMs is the number of entry VMs, the node under test included.
	entryVMs int
	// endpoints is the number of engines and plain services, half of each.
	endpoints int
	// accounts is the number of client accounts.
	accounts int
	// batches is the number of token batches of a completion.
	batches int
}

const (
	// domains and regions shape the fleet as planned.
	domains = 4
	regions = 2
	// callBody and answerBody are the payloads of a plain call.
	callBody   = `{"lot":"K-2071","kilograms":118,"grade":"white","price":41.5}`
	answerBody = `{"request":"r","path":"v1/confirmations","confirmed":true}`
	// batchTokens is the number of tokens of a batch.
	batchTokens = 8
	// tickInterval is the time between two ticks of the manual clock.
	tickInterval = 10 * time.Millisecond
	// warmUpTime is the time until a node with peers that answer is confirmed.
	warmUpTime = 20 * time.Second
	// ruleDeadline is that of the pipeline and the call. A new owner waits that long before
	// it uses an endpoint that may still have calls of the former one.
	ruleDeadline = 5 * time.Second
)

// traffic counts the control messages of the node under test, both ways.
type traffic struct {
	messages int64
	bytes    int64
}

// rig drives the core of one node. Its peers answer probes and probe as often as they
// are probed; endpoints answer at once.
type rig struct {
	settings rigSettings
	node     *bbnode.Node
	now      time.Duration
	// inputs are for the next tick.
	inputs []bbmsg.Input
	// tickets are those of the node.
	ticket string
	calls  uint64
	// answered counts the calls answered and ended otherwise.
	answered int
	refused  map[bbmsg.Reason]int
	traffic  traffic
	rules    bbmsg.RulesText
	digest   uint64
}

// rulesText returns rules of a size.
func rulesText(s rigSettings) string {
	set := &bbrule.RuleSet{
		Services: []bbrule.Service{
			{Name: "generators", Kind: bbrule.KindEngine},
			{Name: "desk", Kind: bbrule.KindPlain},
		},
		Calls: []bbrule.Call{
			{Service: "desk", Path: "v1/confirmations", Deadline: ruleDeadline},
		},
		Models: []bbrule.Model{{Name: "m", WeightBytes: 1e9}},
		Pipelines: []bbrule.Pipeline{
			{Name: "chat", Stages: []bbrule.Stage{{Service: "generators", Model: "m"}}, Deadline: ruleDeadline},
		},
		Limits: bbrule.DefaultLimits(),
	}
	for i := range domains {
		set.Domains = append(set.Domains, bbrule.Domain{
			Name:   fmt.Sprintf("d%d", i),
			Region: fmt.Sprintf("r%d", i%regions),
		})
	}
	for i := range s.endpoints {
		set.Endpoints = append(set.Endpoints, endpoint(i))
	}
	for i := range max(s.accounts, 1) {
		set.Accounts = append(set.Accounts, bbrule.Account{
			Name:   fmt.Sprintf("a%d", i),
			Weight: 1,
		})
	}
	return bbrule.Format(set)
}

func endpoint(i int) bbrule.Endpoint {
	e := bbrule.Endpoint{
		Name:      fmt.Sprintf("e%d", i),
		Service:   "generators",
		Model:     "m",
		Address:   fmt.Sprintf("127.0.%d.%d:9000", i/250, 1+i%250),
		Domain:    fmt.Sprintf("d%d", (i/2)%domains),
		WarmSlots: 64,
		ColdSlots: 1,
	}
	if i%2 == 1 {
		e.Service = "desk"
		e.Model = ""
	}
	return e
}

// member returns an entry VM.
func member(i int) bbmsg.Member {
	return bbmsg.Member{
		Name:        fmt.Sprintf("entry-%d", i),
		Role:        bbmsg.RoleEntry,
		Address:     fmt.Sprintf("127.1.%d.%d:80", i/250, 1+i%250),
		PeerAddress: fmt.Sprintf("127.1.%d.%d:81", i/250, 1+i%250),
		Domain:      fmt.Sprintf("d%d", i%domains),
		Region:      fmt.Sprintf("r%d", i%domains%regions),
	}
}

// list returns the member list of a size.
func memberList(s rigSettings) bbmsg.MemberList {
	l := bbmsg.MemberList{Revision: 1}
	for i := range s.endpoints {
		e := endpoint(i)
		l.Members = append(l.Members, bbmsg.Member{
			Name:    e.Name,
			Role:    bbmsg.RoleEndpoint,
			Address: e.Address,
			Domain:  e.Domain,
			Region:  fmt.Sprintf("r%d", (i/2)%domains%regions),
		})
	}
	for i := range s.entryVMs {
		l.Members = append(l.Members, member(i))
	}
	return l
}

// newRig starts a node and lets it run until it is confirmed.
func newRig(s rigSettings) (*rig, error) {
	text := rulesText(s)
	if _, findings := bbrule.Parse(text); len(findings) > 0 {
		return nil, errors.Newf("rules of the rig: %s", findings[0])
	}
	r := &rig{
		settings: s,
		refused:  map[bbmsg.Reason]int{},
		rules:    bbmsg.RulesText{Revision: 1, Text: text},
		digest:   bbrule.Digest(text),
	}
	r.node = bbnode.New(bbnode.Settings{
		Self:        member(0),
		Incarnation: 1,
		Keys:        bbticket.Keys{Current: []byte("key of the slopes")},
		Random:      rand.New(rand.NewPCG(1, 4)),
		Times:       bbnode.DefaultTimes,
		Bounds:      bbnode.DefaultBounds,
	})
	members := memberList(s)
	r.inputs = append(r.inputs,
		bbmsg.Input{Platform: &bbmsg.PlatformState{Up: true}},
		bbmsg.Input{Rules: &r.rules},
		bbmsg.Input{List: &members})
	r.advance(warmUpTime)
	r.inputs = append(r.inputs, bbmsg.Input{AddressRequest: &bbmsg.AddressRequest{Call: r.nextCall(), Account: "a0"}})
	r.tick()
	if r.ticket == "" {
		return nil, errors.Newf("a rig of %d entry VMs gives no ticket", s.entryVMs)
	}
	return r, nil
}

func (r *rig) nextCall() uint64 {
	r.calls++
	return r.calls
}

// run ticks for a time.
func (r *rig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.tick()
	}
}

// tick moves the clock and carries out what the node wants.
func (r *rig) tick() {
	r.now += tickInterval
	inputs := r.inputs
	r.inputs = nil
	for _, o := range r.node.Tick(r.now, inputs) {
		r.handleOutput(o)
	}
}

func (r *rig) handleOutput(o bbmsg.Output) {
	switch {
	case o.Call != nil:
		r.answerCall(*o.Call)
	case o.Answer != nil && o.Answer.Outcome == bbmsg.OutcomeAnswered:
		r.answered++
	case o.Answer != nil && o.Answer.Outcome != bbmsg.OutcomePending:
		r.refused[o.Answer.Reason]++
	case o.Probe != nil:
		r.answerProbe(*o.Probe)
	case o.Reply != nil:
		r.count(o.Reply.Reply)
	case o.Send != nil:
		r.count(o.Send.Envelope)
	case o.Addresses != nil:
		r.ticket = o.Addresses.Ticket
	case o.Poll != nil:
		r.inputs = append(r.inputs, bbmsg.Input{Report: &bbmsg.LoadReport{
			Endpoint: o.Poll.Endpoint,
			Boot:     1,
		}})
	}
}

// count adds a control message to the traffic, in the codec of the links.
func (r *rig) count(message any) {
	data, err := cbor.Marshal(message)
	if err != nil {
		// Messages are plain structs, which can always be encoded.
		panic(err)
	}
	r.traffic.messages++
	r.traffic.bytes += int64(len(data))
}

// answerProbe lets the peer answer and probe in turn.
func (r *rig) answerProbe(p bbmsg.ProbeOut) {
	r.count(p.Probe)
	knowledge := r.peerState(p)
	reply := bbmsg.ProbeReply{
		From:        p.To,
		Incarnation: 1,
		Sequence:    p.Probe.Sequence,
		Ready:       true,
		State:       knowledge,
	}
	probe := bbmsg.Probe{
		From:        p.To,
		Incarnation: 1,
		Sequence:    p.Probe.Sequence,
		State:       knowledge,
	}
	r.count(reply)
	r.count(probe)
	r.inputs = append(r.inputs, bbmsg.Input{Reply: &reply}, bbmsg.Input{Probe: &probe})
}

// peerKnowledge returns what a peer tells: as many digests as the node itself tells.
func (r *rig) peerState(p bbmsg.ProbeOut) bbmsg.NodeState {
	return bbmsg.NodeState{
		ListRevision:  1,
		RulesRevision: 1,
		RulesDigest:   r.digest,
		Endpoints:     p.Probe.State.Endpoints,
	}
}

// answerCall lets an endpoint answer at once.
func (r *rig) answerCall(c bbmsg.EndpointCall) {
	if c.Kind == string(bbrule.KindEngine) {
		for i := range r.settings.batches {
			r.addCallUpdate(bbmsg.CallUpdate{
				Call:   c.Call,
				Kind:   bbmsg.UpdateTokens,
				Offset: i * batchTokens,
				Tokens: tokens(),
			})
		}
	}
	r.addCallUpdate(bbmsg.CallUpdate{
		Call:   c.Call,
		Kind:   bbmsg.UpdateDone,
		Status: 200,
		Body:   []byte(answerBody),
	})
}

func (r *rig) addCallUpdate(n bbmsg.CallUpdate) {
	r.inputs = append(r.inputs, bbmsg.Input{CallUpdate: &n})
}

func tokens() []string {
	batch := make([]string, batchTokens)
	for i := range batch {
		batch[i] = "w000000 "
	}
	return batch
}

// requests sends a number of requests, some each tick, and runs until all ended.
func (r *rig) sendRequests(count int, pipeline string) error {
	const perTick = 16
	before := r.answered
	for sent := 0; sent < count; {
		for range min(perTick, count-sent) {
			sent++
			r.inputs = append(r.inputs, bbmsg.Input{Caller: r.newArrival(pipeline)})
		}
		r.tick()
	}
	r.advance(time.Second)
	if answered := r.answered - before; answered != count {
		return errors.Newf("%d of %d requests were answered, refusals %v", answered, count, r.refused)
	}
	return nil
}

func (r *rig) newArrival(pipeline string) *bbmsg.CallerArrived {
	call := r.nextCall()
	q := bbmsg.CallerRequest{
		ID:       fmt.Sprintf("%s.n%d", r.ticket, call),
		Account:  "a0",
		Pipeline: pipeline,
		Stream:   pipeline != "",
		Body:     []byte(callBody),
	}
	if pipeline == "" {
		q.Service = "desk"
		q.Path = "v1/confirmations"
	}
	return &bbmsg.CallerArrived{
		Call:    call,
		Request: q,
	}
}
