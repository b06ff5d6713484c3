package soak

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is an item of the store.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]entry // guarded by mu
	revision uint64           // guarded by mu
	oldest   uint64           // guarded by mu; changes up to it are forgotten
	changed  chan struct{}    // guarded by mu; closed at a change
	down     string           // guarded by mu; "", "busy" or "silent"
	away     map[string]bool  // guarded by mu; IPs that are turned away
	delay    time.Duration    // guarded by mu
	calm     time.Time        // guarded by mu; since when it has been without harm
}

func newStore() *store {
	return &store{items: map[string]entry{}, changed: make(chan struct{}), away: map[string]bool{}, calm: time.Now()}
}

// put writes an item; nil removes it.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := entry{Key: key, Revision: s.revision, Removed: value == nil}
	if value != nil {
		e.Value, _ = json.Marshal(value)
	}
	s.items[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
}

// harm changes how the store fares. It counts as calm again once all is undone.
func (s *store) harm(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.calm = time.Now()
}

// calmSince returns since when the store has been without harm; false during harm.
func (s *store) calmSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calm, s.down == "" && len(s.away) == 0 && s.delay == 0
}

func (s *store) forget() {
	s.harm(func(s *store) { s.oldest = s.revision })
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mu.Lock()
	down, away, delay := s.down, s.away[host], s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	switch {
	case down == "silent":
		<-r.Context().Done()
		return
	case down == "busy" || away:
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	if strings.HasSuffix(r.URL.Path, "kv-watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(w, "items", s.since(0, false))
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		http.Error(w, "forgotten", http.StatusGone)
		return
	}
	if changed := s.changed; s.revision <= after {
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		s.mu.Lock()
	}
	if s.down != "" {
		return // the watch is cut
	}
	s.write(w, "events", s.since(after, true))
}

// since is called with mu held.
func (s *store) since(after uint64, removals bool) []entry {
	list := []entry{}
	for _, e := range s.items {
		if e.Revision > after && (removals || !e.Removed) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b entry) int { return int(int64(a.Revision) - int64(b.Revision)) })
	return list
}

func (s *store) write(w http.ResponseWriter, field string, list []entry) {
	_ = json.NewEncoder(w).Encode(map[string]any{field: list, "has_more": false, "store_revision": s.revision})
}
