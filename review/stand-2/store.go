package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Store stands in for the platform's metadata store.
type Store struct {
	Address string

	server   *http.Server
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

// NewStore starts a store on an address.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hornbeamtray/kv-range", s.list)
	mux.HandleFunc("GET /hornbeamtray/kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Put writes an item as JSON.
func (s *Store) Put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if before, found := s.items[key]; found {
		it.Created = before.Created
	}
	s.items[key] = it
	s.note(it)
}

// Remove removes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("path_prefix"), r.FormValue("after")
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	reply(w, map[string]any{"items": list, "has_more": false, "store_revision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list, revision, changed := []item{}, s.revision, s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("path_prefix")) {
				list = append(list, it)
			}
		}
		s.mu.Unlock()
		if len(list) > 0 {
			reply(w, map[string]any{"events": list, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": list, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
