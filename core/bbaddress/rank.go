// Package bbaddress chooses the entry VMs that a caller is told to use. There is no
// balancer before them: the answers themselves spread the load, from what the entry
// VMs tell each other of theirs.
//
// The first address is the home that the ticket of the answer names. A session goes
// to the winner of its rendezvous hash while the load of that VM is within a bound,
// other callers to the less loaded of two random VMs, so that VMs with the same old
// news don't all name the same one. The further addresses are for when the first does
// not answer; other failure domains come first.
package bbaddress

import (
	"slices"
	"time"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbticket"
)

const (
	// LoadFactor is the load of a VM, relative to the mean of those that may be named,
	// that it should stay below with a hundred callers for each VM; see BenchmarkSpread.
	LoadFactor = 1.25
	// sessionBound is the load relative to the mean from which a VM gets no more
	// sessions. It is below LoadFactor because loads are known late.
	sessionLoadFactor = 1.1
	// loadSlack is added to the bound, so that it does not bind at very little load.
	loadSlack = 4
	// spillFactor is the load relative to the mean of all regions from which a VM is
	// passed over for one of another region.
	spillFactor = 2
	// MaxAddresses is the most addresses in an answer.
	MaxAddresses = 4
	// staleAfter is the age from which a load is replaced by the mean.
	staleAfter = 3 * time.Second
	// keepSpread is the inverse of the part by which keep times vary, so that callers
	// don't come back together.
	keepJitterDivisor = 5
	// ticketGrace is how much longer a ticket lasts than its answer may be kept, for
	// requests on their way and the age of what is known of the home's clock.
	ticketGrace = 2 * time.Second
)

// Node is one entry VM as another one sees it.
type Node struct {
	// Name is the VM's and Hash is bbhash.Name of it.
	Name string
	Hash uint64
	// Address is host:port for callers.
	Address string
	// Domain and Region tell where it is.
	Domain string
	Region string
	// Incarnation and ClockMillis are the VM's own, as heard at HeardAt.
	Incarnation uint64
	ClockMillis int64
	HeardAt     time.Duration
	// Alive is false until the VM was heard and while it is lost.
	Alive bool
	// Leaving is from the membership list, Draining from the VM itself.
	Leaving  bool
	Draining bool
	// Load is the number of requests at home there, as heard at HeardAt.
	Load int
	// Handed counts the answers of this VM since HeardAt that named it first.
	NamedFirst int
}

// Query describes who asks.
type Query struct {
	// Session is SessionHash of account and session, 0 without a session.
	Session uint64
	// Region is where the caller is; empty if not known.
	Region string
}

// SessionHash returns the hash of an account's session, 0 for no session.
func SessionHash(account, session string) uint64 {
	if session == "" {
		return 0
	}
	return bbhash.Score(bbhash.Name(account), bbhash.Name(session))
}

// Ranker ranks entry VMs. It is not safe for concurrent use.
type Ranker struct {
	// Random returns uniformly distributed numbers.
	Random func() uint64
	// eligible and near are memory for one choice.
	eligible, inRegion []int
	// loads has the expected load of each node.
	loads []float64
}

// Rank returns the indices of up to MaxAddresses VMs, best first, and nothing when no
// VM may be named. A VM that is lost, leaving or draining is never named.
func (r *Ranker) Rank(now time.Duration, q Query, nodes []Node) []int {
	r.prepare(now, q, nodes)
	if len(r.eligible) == 0 {
		return nil
	}
	first := r.chooseHome(q, nodes)
	return r.addFallbacks(first, nodes)
}

// prepare collects the VMs that may be named, those near the caller, and the loads.
func (r *Ranker) prepare(now time.Duration, q Query, nodes []Node) {
	r.eligible = r.eligible[:0]
	r.inRegion = r.inRegion[:0]
	r.loads = r.loads[:0]
	// All VMs answer callers, so the answers of this one stand for as many. A session
	// is placed by its hash alone; its own answers must not drive it away.
	answers := len(nodes)
	if q.Session != 0 {
		answers = 1
	}
	for i := range nodes {
		n := &nodes[i]
		r.loads = append(r.loads, float64(n.Load+n.NamedFirst*answers))
		if !n.Alive || n.Leaving || n.Draining {
			continue
		}
		r.eligible = append(r.eligible, i)
		if q.Region == "" || n.Region == q.Region {
			r.inRegion = append(r.inRegion, i)
		}
	}
	mean := r.mean(r.eligible)
	for _, i := range r.eligible {
		if now-nodes[i].HeardAt > staleAfter {
			r.loads[i] = mean
		}
	}
	if len(r.inRegion) == 0 {
		r.inRegion = append(r.inRegion, r.eligible...)
	}
}

func (r *Ranker) mean(indices []int) float64 {
	sum := 0.0
	for _, i := range indices {
		sum += r.loads[i]
	}
	return sum / float64(max(len(indices), 1))
}

// first returns the home to name.
func (r *Ranker) chooseHome(q Query, nodes []Node) int {
	first := r.choose(q, r.inRegion, nodes)
	if r.loads[first] <= spillFactor*r.mean(r.eligible)+loadSlack {
		return first
	}
	return r.choose(q, r.eligible, nodes)
}

func (r *Ranker) choose(q Query, indices []int, nodes []Node) int {
	if q.Session == 0 {
		return r.betterOfTwo(indices)
	}
	return r.sessionHome(q, indices, nodes)
}

// betterOfTwo returns the less loaded of two random members.
func (r *Ranker) betterOfTwo(indices []int) int {
	count := uint64(len(indices))
	a := r.Random() % count
	if count == 1 {
		return indices[a]
	}
	b := (a + 1 + r.Random()%(count-1)) % count
	if r.loads[indices[b]] < r.loads[indices[a]] {
		return indices[b]
	}
	return indices[a]
}

// sessionHome returns the first member in the session's rendezvous order whose load is
// within the bound. One always is, because the bound is above the mean.
func (r *Ranker) sessionHome(q Query, indices []int, nodes []Node) int {
	bound := sessionLoadFactor*r.mean(indices) + loadSlack
	best := -1
	var bestScore uint64
	for _, i := range indices {
		score := bbhash.Score(nodes[i].Hash, q.Session)
		if r.loads[i] <= bound && (best < 0 || score > bestScore) {
			best = i
			bestScore = score
		}
	}
	return best
}

// withOthers adds further VMs to the first: in its region before other regions, other
// failure domains before its own, less loaded ones before others.
func (r *Ranker) addFallbacks(first int, nodes []Node) []int {
	home := &nodes[first]
	rank := func(i int) int {
		switch n := &nodes[i]; {
		case i == first:
			return 0
		case n.Region != home.Region:
			return 3
		case n.Domain == home.Domain:
			return 2
		default:
			return 1
		}
	}
	slices.SortFunc(r.eligible, func(a, b int) int {
		if d := rank(a) - rank(b); d != 0 {
			return d
		}
		if r.loads[a] != r.loads[b] {
			if r.loads[a] < r.loads[b] {
				return -1
			}
			return 1
		}
		return a - b
	})
	return slices.Clone(r.eligible[:min(len(r.eligible), MaxAddresses)])
}

// Keep returns how long a caller may keep an answer: somewhat less than the time to
// live of answers, at random.
func (r *Ranker) KeepTime(ttl time.Duration) time.Duration {
	spread := uint64(max(ttl, 0)) / keepJitterDivisor
	if spread == 0 {
		return ttl
	}
	return ttl - time.Duration(r.Random()%spread)
}

// Ticket returns the ticket that names a VM as home. It expires by the clock of that
// VM, ticketGrace after an answer given now with the full time to live has run out.
func Ticket(now time.Duration, home *Node, ttl time.Duration) bbticket.Ticket {
	clock := time.Duration(home.ClockMillis)*time.Millisecond + now - home.HeardAt
	return bbticket.Ticket{
		Home:         home.Name,
		Incarnation:  home.Incarnation,
		ExpiryMillis: (clock + ttl + ticketGrace).Milliseconds(),
	}
}
