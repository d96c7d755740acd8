// Package bbaddress chooses the entry VMs whose addresses a caller is given. There is no
// load balancer in front of them: the answers themselves spread the load, based on the
// loads that the entry VMs report to each other.
//
// The first address is that of the home, the entry VM that the ticket of the answer names
// as responsible for the caller's requests. A session is assigned to the winner of its
// rendezvous hash while the load of that VM is within a bound, other callers to the less
// loaded of two random VMs, so that VMs with the same stale loads don't all choose the same
// one. The further addresses are fallbacks for when the first does not answer; those in
// other failure domains come first.
package bbaddress

import (
	"slices"
	"time"

	"bluebellhall/core/bbhash"
	"bluebellhall/core/bbticket"
)

const (
	// LoadFactor is the upper limit intended for the load of a VM, relative to the mean of
	// the eligible VMs, with a hundred callers for each VM; see BenchmarkSpread.
	LoadFactor = 1.25
	// sessionLoadFactor is the load relative to the mean above which a VM gets no more
	// sessions. It is below LoadFactor because loads are known with a delay.
	sessionLoadFactor = 1.1
	// loadSlack is added to a load bound, so that it has no effect at very low load.
	loadSlack = 4
	// spillFactor is the load relative to the mean of all regions above which a VM is
	// skipped for one of any region.
	spillFactor = 2
	// MaxAddresses is the maximum number of addresses in an answer.
	MaxAddresses = 4
	// staleAfter is the age from which a load is replaced by the mean.
	staleAfter = 3 * time.Second
	// keepJitterDivisor is the inverse of the part of the time to live that is subject to
	// jitter, so that callers don't ask again at the same time.
	keepJitterDivisor = 5
	// ticketGrace is how much longer a ticket is valid than its answer may be kept. It covers
	// requests in transit and the error of the estimate of the home's clock.
	ticketGrace = 2 * time.Second
)

// Node is the state of one entry VM as another one knows it.
type Node struct {
	// Name is the VM's name and Hash is bbhash.Name of it.
	Name string
	Hash uint64
	// Address is host:port for callers.
	Address string
	// Domain and Region are the location of the VM.
	Domain string
	Region string
	// Incarnation and ClockMillis are as the VM itself reported them at HeardAt.
	Incarnation uint64
	ClockMillis int64
	HeardAt     time.Duration
	// Alive is false until the VM was heard for the first time, and while it is lost.
	Alive bool
	// Leaving is from the member list, Draining was reported by the VM itself.
	Leaving  bool
	Draining bool
	// Load is the number of requests whose home is the VM, as reported at HeardAt.
	Load int
	// NamedFirst counts the answers of this node since HeardAt whose first address is the VM.
	NamedFirst int
}

// Query describes the caller that asks for addresses.
type Query struct {
	// Session is the SessionHash of account and session, 0 without a session.
	Session uint64
	// Region is the location of the caller; empty if not known.
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
	// eligible and inRegion are buffers for one choice: the VMs that may be named, and those
	// of them in the caller's region.
	eligible, inRegion []int
	// loads has the expected load of each node.
	loads []float64
}

// Rank returns the indices of up to MaxAddresses VMs, best first, or nothing when no VM is
// eligible. A VM that is lost, leaving or draining is not eligible.
func (r *Ranker) Rank(now time.Duration, q Query, nodes []Node) []int {
	r.prepare(now, q, nodes)
	if len(r.eligible) == 0 {
		return nil
	}
	first := r.chooseHome(q, nodes)
	return r.addFallbacks(first, nodes)
}

// prepare collects the eligible VMs, those of the caller's region, and the expected loads.
func (r *Ranker) prepare(now time.Duration, q Query, nodes []Node) {
	r.eligible = r.eligible[:0]
	r.inRegion = r.inRegion[:0]
	r.loads = r.loads[:0]
	// All VMs answer callers, so each answer of this one is assumed to have a counterpart at
	// every other VM. A session is placed by its hash alone; the answers to it must not move
	// it elsewhere.
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

// chooseHome returns the home for the caller.
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

// betterOfTwo returns the less loaded of two random members of indices.
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

// sessionHome returns the first VM of indices in the session's rendezvous order whose load
// is within the bound. There always is one, because the bound is above the mean.
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

// addFallbacks returns the home followed by the fallbacks: its region before other regions,
// in its region other failure domains before its own, then by load.
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

// KeepTime returns how long a caller may keep an answer: the time to live of answers
// reduced by a random part of it, less than 1/keepJitterDivisor.
func (r *Ranker) KeepTime(ttl time.Duration) time.Duration {
	spread := uint64(max(ttl, 0)) / keepJitterDivisor
	if spread == 0 {
		return ttl
	}
	return ttl - time.Duration(r.Random()%spread)
}

// Ticket returns the ticket that names a VM as home. It expires by the clock of that VM,
// ticketGrace after the full time to live of an answer given now.
func Ticket(now time.Duration, home *Node, ttl time.Duration) bbticket.Ticket {
	clock := time.Duration(home.ClockMillis)*time.Millisecond + now - home.HeardAt
	return bbticket.Ticket{
		Home:         home.Name,
		Incarnation:  home.Incarnation,
		ExpiryMillis: (clock + ttl + ticketGrace).Milliseconds(),
	}
}
