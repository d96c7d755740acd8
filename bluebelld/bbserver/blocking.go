package bbserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// blockedPeers has the peers whose links are blocked by POST /admin/cut. Tests simulate
// partitions with it; it exists only when the settings have testFaults.
type blockedPeers struct {
	mu sync.Mutex
	// names has the blocked peers, and PlatformName when the platform is blocked.
	names []string
}

// blockRequest is the body of POST /admin/cut: it replaces the list of blocked names.
type blockRequest struct {
	Names []string `json:"names"`
}

// maxBlockRequestBytes bounds the body of POST /admin/cut.
const maxBlockRequestBytes = 1 << 16

// blocked returns true while a name is blocked.
func (p *blockedPeers) blocked(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.names, name)
}

// ServeHTTP handles POST /admin/cut and answers with the names that are now blocked.
func (p *blockedPeers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b blockRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBlockRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.names = b.Names
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b)
}

// withPeerBlocking adds POST /admin/cut to the callers' interface, and the names that it
// blocks to Hooks.Blocked.
func withPeerBlocking(hooks Hooks, handler http.Handler) (Hooks, http.Handler) {
	p := &blockedPeers{}
	previous := hooks.Blocked
	hooks.Blocked = func(name string) bool {
		return p.blocked(name) || previous != nil && previous(name)
	}
	m := http.NewServeMux()
	m.Handle("POST /admin/cut", p)
	m.Handle("/", handler)
	return hooks, m
}
