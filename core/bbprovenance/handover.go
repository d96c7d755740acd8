package bbprovenance

import (
	"slices"

	"bluebellhall/core/bbgossip"
)

const (
	// Copies is the number of VMs that are to hold a record, beside the VM that served the stream.
	Copies = 3
	// senders is the number of former holders that hand a record over: one of them may not have it yet, or may end before
	// it notices that the fleet has changed.
	senders = 2
)

// Handover decides which records a VM sends to which others when the fleet has changed: those that are to hold a record
// now and were not before get it from those that were.
type Handover struct {
	self string
	// leaving is true if this VM ends soon.
	leaving       bool
	before, after Placement
	// running are the processes that run now, including those that are leaving.
	running map[process]bool
}

// process identifies a process of a VM.
type process struct {
	name string
	boot int64
}

func processOf(m bbgossip.Member) process {
	return process{
		name: m.Name,
		boot: m.Boot,
	}
}

// NewHandover returns the handover of the VM with a name from one view of the fleet to the next.
func NewHandover(self string, before, after []bbgossip.Member) *Handover {
	h := &Handover{
		self:    self,
		before:  NewPlacement(Staying(before)),
		after:   NewPlacement(Staying(after)),
		running: make(map[process]bool, len(after)),
	}
	for _, m := range after {
		h.running[processOf(m)] = true
		h.leaving = h.leaving || m.Name == self && m.Leaving
	}
	return h
}

// SameHolders reports whether two views of a fleet, in the same order, place records on the same processes.
func SameHolders(a, b []bbgossip.Member) bool {
	return slices.EqualFunc(Staying(a), Staying(b), func(a, b bbgossip.Member) bool { return processOf(a) == processOf(b) })
}

// Recipients returns the VMs to which this one sends what has a hash.
func (h *Handover) Recipients(hash uint64) []bbgossip.Member {
	added := h.Added(hash)
	if len(added) == 0 || !h.sends(hash) {
		return nil
	}
	return added
}

// Added returns the VMs other than this one that are to hold what has a hash and were not before.
func (h *Handover) Added(hash uint64) []bbgossip.Member {
	before := h.before.First(hash, Copies)
	return slices.DeleteFunc(h.after.First(hash, Copies), func(m bbgossip.Member) bool {
		return m.Name == h.self || slices.ContainsFunc(before, func(b bbgossip.Member) bool { return processOf(b) == processOf(m) })
	})
}

// Fallbacks returns the VMs that may get what has a hash if a recipient can't be reached.
func (h *Handover) Fallbacks(hash uint64) []bbgossip.Member {
	first := h.after.First(hash, 2*Copies)
	return slices.DeleteFunc(first[min(Copies, len(first)):], func(m bbgossip.Member) bool { return m.Name == h.self })
}

// sends reports whether this VM hands over what has a hash: if it is one of the first former holders that still run, if
// none of them does, or if it is leaving, since what it alone knows would end with it.
func (h *Handover) sends(hash uint64) bool {
	if h.leaving {
		return true
	}
	left := slices.DeleteFunc(h.before.First(hash, Copies), func(m bbgossip.Member) bool { return !h.running[processOf(m)] })
	isSelf := func(m bbgossip.Member) bool { return m.Name == h.self }
	return len(left) == 0 || slices.ContainsFunc(left[:min(senders, len(left))], isSelf)
}
