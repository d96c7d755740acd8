package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is an entry of the platform's store, or a tombstone.
type item struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store with the calls that the protocol page names for readers.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// refusing makes the store answer 503 to everything.
	refusing atomic.Bool
}

func newStore() *store {
	return &store{
		revision: 100,
		items:    make(map[string]item),
		changed:  make(chan struct{}),
	}
}

// put writes an entry; the return is the store's acknowledgement. It returns false if the store is down.
func (s *store) put(key string, value any) bool {
	if s.refusing.Load() {
		return false
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Data: data, Revision: s.revision, Created: s.revision}
	if former, ok := s.items[key]; ok {
		i.Created = former.Created
	}
	s.items[key] = i
	s.append(i)
	return true
}

// remove deletes an entry.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) append(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the store at an address.
func (s *store) listen(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("store: %v", err)
	}
	go func() { _ = http.Serve(l, s) }()
}

// ServeHTTP answers the reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	if s.refusing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/bluebellhall/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, map[string]any{"key": i.Key, "data": i.Data, "revision": i.Revision, "created": i.Created, "lease": 0, "at": at})
	case "/bluebellhall/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "/bluebellhall/kv-watch":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, err2 := strconv.Atoi(q.Get("waitMs"))
		if err != nil || err2 != nil || wait < 0 || wait > 30000 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	writeJSON(w, map[string]any{"entries": found[:min(len(found), pageSize)], "hasMore": len(found) > pageSize, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
		if s.refusing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
