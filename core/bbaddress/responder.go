package bbaddress

import (
	"time"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbmember"
	"bluebellhall/core/bbmsg"
	"bluebellhall/core/bbticket"
)

// Settings configures a Responder.
type Settings struct {
	// Self is this node's entry in the member list, and Incarnation that of its process.
	Self        bbmsg.Member
	Incarnation uint64
	// Keys are the signing keys of tickets.
	Keys bbticket.Keys
	// HeartbeatInterval is the time after which answers that named this node itself are no
	// longer added to its load.
	HeartbeatInterval time.Duration
	// Random returns uniformly distributed numbers.
	Random func() uint64
}

// Hooks return the state of the responder's own node.
type Hooks struct {
	// Load returns the number of requests whose home is this node.
	Load func() int
	// Draining returns whether this node has begun to drain.
	Draining func() bool
}

// Responder answers callers that ask which entry VMs to use. It is not safe for
// concurrent use.
type Responder struct {
	settings Settings
	hooks    Hooks
	members  *bbmember.Table
	ranker   *Ranker
	// ready is true once the node serves callers, and is never reset.
	ready bool
	// ttl is how long an answer may be kept.
	ttl time.Duration
	// namedFirst counts the answers that named each node first since it was last heard, and
	// for this node itself since the start of the interval that ends at namedFirstUntil.
	namedFirst      map[string]int
	namedFirstUntil time.Duration
	// longestTicket is the longest validity of any ticket in this incarnation.
	longestTicket time.Duration
}

// ticketMargin covers the time until all peers have heard that a node drains, and ticketGrace.
const ticketMargin = 5 * time.Second

// NewResponder returns the responder of a node that is not ready yet.
func NewResponder(s Settings, members *bbmember.Table, h Hooks) *Responder {
	return &Responder{
		settings: s,
		hooks:    h,
		members:  members,
		ranker: &Ranker{
			Random: s.Random,
		},
		namedFirst: make(map[string]int),
	}
}

// Answer returns the addresses of entry VMs for a caller, with a ticket for the first.
func (r *Responder) Answer(now time.Duration, a bbmsg.AddressRequest) bbmsg.AddressAnswer {
	answer := bbmsg.AddressAnswer{
		Call:   a.Call,
		Reason: bbmsg.ReasonNotReady,
	}
	if r.ready {
		r.fillAnswer(now, &answer, a)
	}
	return answer
}

// fillAnswer ranks the entry VMs for a caller. Callers connect to a near VM, so the region of the
// VM that is asked is taken for theirs.
func (r *Responder) fillAnswer(now time.Duration, answer *bbmsg.AddressAnswer, a bbmsg.AddressRequest) {
	nodes := r.nodes(now)
	ranked := r.ranker.Rank(now, Query{
		Session: SessionHash(a.Account, a.Session),
		Region:  r.settings.Self.Region,
	}, nodes)
	if len(ranked) == 0 {
		return
	}
	home := &nodes[ranked[0]]
	r.namedFirst[home.Name]++
	answer.Reason = bbmsg.ReasonNone
	answer.KeepMillis = r.ranker.KeepTime(r.ttl).Milliseconds()
	answer.Ticket = r.settings.Keys.Sign(Ticket(now, home, r.ttl))
	for _, i := range ranked {
		answer.Addresses = append(answer.Addresses, nodes[i].Address)
	}
}

// nodes returns the entry VMs as this node knows them, including itself.
func (r *Responder) nodes(now time.Duration) []Node {
	self := r.settings.Self
	nodes := []Node{
		{
			Name:        self.Name,
			Hash:        bbhash.Name(self.Name),
			Address:     self.Address,
			Domain:      self.Domain,
			Region:      self.Region,
			Incarnation: r.settings.Incarnation,
			ClockMillis: now.Milliseconds(),
			HeardAt:     now,
			Alive:       true,
			Draining:    r.hooks.Draining(),
			Load:        r.hooks.Load(),
			NamedFirst:  r.namedFirst[self.Name],
		},
	}
	for _, name := range r.members.PeerNames() {
		p := r.members.Peers[name]
		if !p.Listed {
			continue
		}
		nodes = append(nodes, Node{
			Name:        name,
			Hash:        bbhash.Name(name),
			Address:     p.Member.Address,
			Domain:      p.Member.Domain,
			Region:      p.Member.Region,
			Incarnation: p.Incarnation,
			ClockMillis: p.State.ClockMillis,
			HeardAt:     p.LastHeard,
			Alive:       p.Heard && p.Alive,
			Leaving:     p.Member.Leaving,
			Draining:    p.State.Draining,
			Load:        p.State.Load,
			NamedFirst:  r.namedFirst[name],
		})
	}
	return nodes
}

// Tick resets, once for each heartbeat interval, the count of answers that named this node:
// by then their callers have arrived, or the load is known as well as that of other nodes.
func (r *Responder) Tick(now time.Duration) {
	if now < r.namedFirstUntil {
		return
	}
	r.namedFirstUntil = now + r.settings.HeartbeatInterval
	r.namedFirst[r.settings.Self.Name] = 0
}

// PeerHeard resets the count of answers that named a peer, whose load was just reported.
func (r *Responder) PeerHeard(name string) { r.namedFirst[name] = 0 }

// SetTTL sets how long an answer may be kept, from the current rules.
func (r *Responder) SetTTL(ttl time.Duration) {
	r.ttl = ttl
	r.longestTicket = max(r.longestTicket, ttl+ticketMargin)
}

// LongestTicket returns the longest validity of any ticket since the process started.
func (r *Responder) LongestTicket() time.Duration { return r.longestTicket }

// SetReady makes Answer return addresses from now on. It is called once rules are in force.
func (r *Responder) SetReady() { r.ready = true }
