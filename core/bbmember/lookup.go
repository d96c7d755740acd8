package bbmember

import "sort"

// Incarnation returns the process incarnation last received from a node, 0 if none.
func (t *Table) Incarnation(name string) uint64 {
	if name == t.settings.Self.Name {
		return t.settings.Incarnation
	}
	if p, ok := t.Peers[name]; ok {
		return p.Incarnation
	}
	return 0
}

// Alive returns whether a node answers probes. This node itself always counts as alive.
func (t *Table) Alive(name string) bool {
	if name == t.settings.Self.Name {
		return true
	}
	p, ok := t.Peers[name]
	return ok && p.Heard && p.Alive
}

// AlivePeers returns the names of the peers that answer probes, sorted.
func (t *Table) AlivePeers() []string {
	var names []string
	for name, p := range t.Peers {
		if p.Heard && p.Alive {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// PeerNames returns the names of all peers, sorted.
func (t *Table) PeerNames() []string {
	names := make([]string, 0, len(t.Peers))
	for name := range t.Peers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
