package bbserver

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// cuts are links that are cut by command. They serve tests of partitions and exist
// only when the settings ask for them.
type blockedPeers struct {
	mu sync.Mutex
	// names has the peers, or PlatformName, that are cut off.
	names []string
}

// cutBody is the body of a command: the names that are cut off from now on.
type blockRequest struct {
	Names []string `json:"names"`
}

// maxCutBytes bounds a command.
const maxBlockRequestBytes = 1 << 16

// blocked tells whether a name is cut off.
func (c *blockedPeers) blocked(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.names, name)
}

// ServeHTTP takes a command and answers with the names that are cut off.
func (c *blockedPeers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b blockRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBlockRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.names = b.Names
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b)
}

// withCuts adds the command to the callers' interface and to the seams.
func withPeerBlocking(seams Hooks, handler http.Handler) (Hooks, http.Handler) {
	c := &blockedPeers{}
	before := seams.Blocked
	seams.Blocked = func(name string) bool {
		return c.blocked(name) || before != nil && before(name)
	}
	m := http.NewServeMux()
	m.Handle("POST /admin/cut", c)
	m.Handle("/", handler)
	return seams, m
}
