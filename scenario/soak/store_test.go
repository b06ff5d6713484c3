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

// item is a key of the store with its value, as JSON.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Removed  bool   `json:"removed,omitempty"`
}

// store stands in for the platform's metadata store.
type store struct {
	mu          sync.Mutex
	items       map[string]item // guarded by mu
	revision    uint64          // guarded by mu
	droppedUpTo uint64          // guarded by mu; a watch from an older revision fails
	changed     chan struct{}   // guarded by mu; closed and replaced at each change
	outage      string          // guarded by mu; "" if none, "busy" for status 503, "silent" for no answer
	rejected    map[string]bool // guarded by mu; client IPs that get status 503
	delay       time.Duration   // guarded by mu; before each answer
	lastFault   time.Time       // guarded by mu; when a fault last began or ended
	era         uint64          // guarded by mu; rises each time the store goes back
	writes      []write         // guarded by mu; all that the store has not lost

	goingBack sync.Mutex // held while the store goes back, until what it lost is written again
}

// write is a write to the store.
type write struct {
	at    time.Time
	key   string
	value any
	item  item
}

func newStore() *store {
	return &store{items: map[string]item{}, changed: make(chan struct{}), rejected: map[string]bool{}, lastFault: time.Now(), era: 1}
}

// put writes an item. A nil value removes it.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := item{Key: key, Revision: s.revision, Removed: value == nil}
	if value != nil {
		e.Value, _ = json.Marshal(value)
	}
	s.items[key] = e
	s.writes = append(s.writes, write{at: time.Now(), key: key, value: value, item: e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// setFault changes the faults of the store and notes the time.
func (s *store) setFault(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.lastFault = time.Now()
}

// faultFreeSince returns when a fault last began or ended, and whether there is no
// fault now.
func (s *store) faultFreeSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastFault, s.outage == "" && len(s.rejected) == 0 && s.delay == 0
}

// dropHistory drops the change history, so that watches from an older revision fail.
func (s *store) dropHistory() {
	s.setFault(func(s *store) { s.droppedUpTo = s.revision })
}

// goBack restores the store from a copy of some time ago, and returns what it lost, the
// latest write of each key. Revisions go back and are given out again.
func (s *store) goBack(age time.Duration) []write {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := time.Now().Add(-age)
	kept := slices.IndexFunc(s.writes, func(w write) bool { return w.at.After(copied) })
	if kept < 0 {
		kept = len(s.writes)
	}
	latest, lost := map[string]write{}, []write(nil)
	for _, w := range s.writes[kept:] {
		latest[w.key] = w
	}
	for _, w := range s.writes[kept:] {
		if latest[w.key].item.Revision == w.item.Revision {
			lost = append(lost, w)
		}
	}
	s.writes, s.items, s.revision = s.writes[:kept:kept], map[string]item{}, 0
	for _, w := range s.writes {
		s.items[w.key], s.revision = w.item, w.item.Revision
	}
	s.era, s.lastFault = s.era+1, time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// putAgain writes what was lost, except keys that were written meanwhile.
func (s *store) putAgain(lost []write) {
	for _, l := range lost {
		s.mu.Lock()
		current := s.items[l.key]
		rewritten := slices.ContainsFunc(s.writes, func(w write) bool { return w.key == l.key && w.at.After(l.at) })
		s.mu.Unlock()
		if !rewritten && (l.value != nil || current.Key != "" && !current.Removed) {
			s.put(l.key, l.value)
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	clientIP, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mu.Lock()
	outage, rejected, delay := s.outage, s.rejected[clientIP], s.delay
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	time.Sleep(delay)
	switch {
	case outage == "silent":
		<-r.Context().Done()
		return
	case outage == "busy" || rejected:
		http.Error(w, "the store is unavailable", http.StatusServiceUnavailable)
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

// watch writes the items changed after a revision. If there are none, it waits up to
// wait_ms for a change.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo || after > s.revision {
		http.Error(w, "history dropped", http.StatusGone)
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
	if s.outage != "" || w.Header().Get("Store-Era") != strconv.FormatUint(s.era, 10) {
		return // an outage began during the watch, or the store went back
	}
	s.write(w, "events", s.since(after, true))
}

// since returns the items changed after a revision, oldest first, and removed items only
// if removals is set. The caller holds mu.
func (s *store) since(after uint64, removals bool) []item {
	list := []item{}
	for _, e := range s.items {
		if e.Revision > after && (removals || !e.Removed) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return int(int64(a.Revision) - int64(b.Revision)) })
	return list
}

func (s *store) write(w http.ResponseWriter, field string, list []item) {
	_ = json.NewEncoder(w).Encode(map[string]any{field: list, "has_more": false, "store_revision": s.revision})
}
