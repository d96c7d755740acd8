package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: kv-range and kv-watch of PROTOCOL.md.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
}

type item struct {
	Key      string `json:"key"`
	Data     []byte `json:"data,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{
		revision: 100,
		items:    make(map[string]item),
	}
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(item{
		Key:  key,
		Data: data,
	})
}

func (s *store) remove(key string) {
	s.change(item{
		Key:     key,
		Deleted: true,
	})
}

func (s *store) change(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	s.history = append(s.history, i)
	if i.Deleted {
		delete(s.items, i.Key)
		return
	}
	s.items[i.Key] = i
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	if strings.HasSuffix(r.URL.Path, "/kv-range") {
		s.mu.Lock()
		found := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				found = append(found, i)
			}
		}
		at := s.revision
		s.mu.Unlock()
		sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
		_ = json.NewEncoder(w).Encode(map[string]any{
			"entries": found,
			"hasMore": false,
			"at":      at,
		})
		return
	}
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	for until := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(4 * time.Millisecond) {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at := s.revision
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(until) || r.Context().Err() != nil {
			_ = json.NewEncoder(w).Encode(map[string]any{
				"events": events,
				"at":     at,
			})
			return
		}
	}
}
